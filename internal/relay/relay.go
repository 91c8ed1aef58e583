// Package relay passes callers' requests on to another entry process while this one does not reach the store, so that a
// caller whose connection ends here is neither refused nor told an old state.
package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/handover"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
)

const (
	// tryTimeout bounds one try at another process.
	tryTimeout = 700 * time.Millisecond
	// mostTries is how many processes are tried for one request, so that an answer comes well before callers give up.
	mostTries = 3
	// avoidTime is how long a process that did not serve a request is not tried again.
	avoidTime = 2 * time.Second
	// revisionHeader carries the least revision of the configuration by which a request may be handled, and in an answer
	// the one by which it was.
	revisionHeader = "Quetzalstall-Config-Revision"
	// retryAfter is when callers come back, in seconds.
	retryAfter = "1"
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 1 << 20
)

// Relay serves callers. Its exported fields are set before the first request.
type Relay struct {
	// Local serves requests in this process.
	Local http.Handler
	// StoreLost reports whether this process does not reach the store.
	StoreLost func() bool
	// ConfigRevision returns the revision of the configuration in force in this process.
	ConfigRevision func() int64
	// Peers returns the addresses at which other processes serve relayed requests.
	Peers func() []string
	// BodyLimit bounds the body of a request, in bytes.
	BodyLimit func() int64
	Client    *http.Client
	Logger    hclog.Logger
	Metrics   gometrics.Registry

	mu sync.Mutex
	// shown is the newest configuration by which a relayed request was handled. This process never handles one by an
	// older configuration afterwards, also when it reaches the store again and has not heard of the newer one yet.
	shown int64
	// serving is the process that served the latest request; one process is kept, so that callers see one view.
	serving string
	// avoided tells until when processes are not tried.
	avoided map[string]time.Time
}

// ServeHTTP answers one request of a caller.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	if !relay.StoreLost() && !relay.behind() {
		relay.Local.ServeHTTP(writer, call)
		return
	}
	limit := relay.BodyLimit()
	body, err := io.ReadAll(io.LimitReader(call.Body, limit+1))
	if err != nil || int64(len(body)) > limit {
		call.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), call.Body))
		relay.serveHere(writer, call)
		return
	}
	found := relay.pass(call, body)
	relay.note(call, found)
	switch {
	case found.answer != nil:
		found.answer.write(writer)
	case found.open:
		// A process may have carried the request out, so that a refusal would not be true.
		writer.WriteHeader(http.StatusGatewayTimeout)
	default:
		call.Body = io.NopCloser(bytes.NewReader(body))
		relay.serveHere(writer, call)
	}
}

// serveHere answers by this process, or refuses if its configuration is older than one that callers have seen.
func (relay *Relay) serveHere(writer http.ResponseWriter, call *http.Request) {
	if relay.behind() {
		writer.Header().Set("Retry-After", retryAfter)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	relay.Local.ServeHTTP(writer, call)
}

// behind reports whether callers were shown a newer configuration than that of this process.
func (relay *Relay) behind() bool { return relay.ConfigRevision() < relay.newest() }

func (relay *Relay) newest() int64 {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	return relay.shown
}

// outcome is what became of a relayed request.
type outcome struct {
	answer *answer
	// open is set if a process may have carried the request out without an answer.
	open bool
	peer string
}

// pass tries other processes until one serves the request. If all refuse, this process knows as much as they do. Trying
// another is safe after a lost answer: all requests are idempotent by the id of their job.
func (relay *Relay) pass(call *http.Request, body []byte) outcome {
	var found outcome
	for _, peer := range relay.candidates() {
		got, err := relay.try(call, peer, body)
		switch {
		case err == nil && !got.refused():
			relay.keep(peer, got.revision)
			return outcome{answer: got, peer: peer}
		case err != nil && !fault.NotSent(err):
			found.open = true
		}
		relay.avoid(peer)
	}
	return found
}

// candidates returns the processes to try: the one that served last, then others in random order.
func (relay *Relay) candidates() []string {
	peers := relay.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	relay.mu.Lock()
	defer relay.mu.Unlock()
	now := time.Now()
	peers = slices.DeleteFunc(peers, func(peer string) bool { return now.Before(relay.avoided[peer]) })
	if at := slices.Index(peers, relay.serving); at > 0 {
		peers[0], peers[at] = peers[at], peers[0]
	}
	return peers[:min(len(peers), mostTries)]
}

func (relay *Relay) keep(peer string, revision int64) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.serving, relay.shown = peer, max(relay.shown, revision)
}

func (relay *Relay) avoid(peer string) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	now := time.Now()
	if relay.avoided == nil {
		relay.avoided = map[string]time.Time{}
	}
	for known, until := range relay.avoided {
		if now.After(until) {
			delete(relay.avoided, known)
		}
	}
	relay.avoided[peer] = now.Add(avoidTime)
}

func (relay *Relay) try(call *http.Request, peer string, body []byte) (*answer, error) {
	// The caller may hang up; what was begun for it is finished all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.Context()), tryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+peer+call.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = call.Host
	request.Header = call.Header.Clone()
	request.Header.Del("Connection")
	handover.RemoveLeaseHeader(request.Header)
	request.Header.Set(revisionHeader, strconv.FormatInt(max(relay.newest(), relay.ConfigRevision()), 10))
	response, err := relay.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	revision, err := strconv.ParseInt(response.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return nil, err
	}
	return &answer{status: response.StatusCode, header: response.Header, content: content, revision: revision}, nil
}

func (relay *Relay) note(call *http.Request, found outcome) {
	told := "not_served"
	fields := []any{"method", call.Method, "path", call.URL.Path, "peer", found.peer}
	switch {
	case found.answer != nil:
		told = "answered"
		fields = append(fields, "status", found.answer.status)
	case found.open:
		told = "unknown"
	}
	metrics.Count(relay.Metrics, metrics.Name("relayed_requests", "outcome", told))
	relay.Logger.Info("request relayed", append(fields, "outcome", told)...)
}

// answer is what another process answered.
type answer struct {
	status  int
	header  http.Header
	content []byte
	// revision is that of the configuration by which the request was handled, or of a newer one.
	revision int64
}

// refused reports whether the answer says that the process cannot serve the request now.
func (answer *answer) refused() bool {
	return answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests
}

func (answer *answer) write(writer http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Allow"} {
		if value := answer.header.Get(name); value != "" {
			writer.Header().Set(name, value)
		}
	}
	writer.WriteHeader(answer.status)
	// A caller that has gone needs no answer.
	_, _ = writer.Write(answer.content)
}

// PeerHandler serves requests that other processes pass on. A process that does not reach the store, or has an older
// configuration than the other, refuses them at once. It passes nothing on, so that no request goes round in circles.
type PeerHandler struct {
	Local          http.Handler
	StoreLost      func() bool
	ConfigRevision func() int64
}

// ServeHTTP answers one request of another process.
func (peer PeerHandler) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	marked := &markedWriter{ResponseWriter: writer, revision: peer.ConfigRevision}
	least, err := strconv.ParseInt(call.Header.Get(revisionHeader), 10, 64)
	if err != nil || peer.StoreLost() || peer.ConfigRevision() < least {
		marked.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	peer.Local.ServeHTTP(marked, call)
}

// markedWriter adds the revision of the configuration to an answer. It is read when the answer is decided, since a
// refusal may have read a newer configuration first.
type markedWriter struct {
	http.ResponseWriter
	revision func() int64
}

// WriteHeader writes the status with the revision.
func (marked *markedWriter) WriteHeader(status int) {
	marked.Header().Set(revisionHeader, strconv.FormatInt(marked.revision(), 10))
	marked.ResponseWriter.WriteHeader(status)
}
