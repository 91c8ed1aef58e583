// Package relay forwards callers' requests to another entry process if this one cannot reach the store, so that callers
// connected to this process are neither refused nor given an outdated state.
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
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/formerterm"
	"github.com/quetzalstall/quetzalstall/internal/handover"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
)

const (
	// attemptTimeout limits the forwarding of a request to one process.
	attemptTimeout = 700 * time.Millisecond
	// maxAttempts limits the processes that are tried for one request, so that the caller gets a response well before
	// its deadline.
	maxAttempts = 3
	// avoidTime is the time for which no request is forwarded to a process that did not serve a forwarded request.
	avoidTime = 2 * time.Second
	// revisionHeader is the header with a revision of the configuration. In a forwarded request it is the lowest
	// revision with which the request may be handled. In the response it is the revision with which the request was
	// handled, or a newer one.
	revisionHeader = "Quetzalstall-Config-Revision"
	// retryAfter is the Retry-After delay sent to callers, in seconds.
	retryAfter = "1"
	// maxResponseBytes limits the part of a process's response that is read.
	maxResponseBytes = 1 << 20
)

// Relay handles the requests of callers in this process. It forwards them while this process cannot reach the store, and
// if the store fails a request before that is known. Its exported fields are set before the first request.
type Relay struct {
	// Local serves requests in this process.
	Local http.Handler
	// CutOff reports whether other processes should serve the callers of this one, because it cannot reach the store or
	// because its configuration is outdated.
	CutOff func() bool
	// ConfigRevision returns the revision of the configuration in force in this process.
	ConfigRevision func() int64
	// Peers returns the addresses at which other processes serve forwarded requests.
	Peers func() []string
	// BodyLimit returns the maximum size of the body of a request, in bytes.
	BodyLimit func() int64
	Client    *http.Client
	Logger    hclog.Logger
	Metrics   gometrics.Registry

	mu sync.Mutex
	// highestRevision is the highest configuration revision with which a forwarded request was handled. This process
	// handles no request with an older configuration, even when it reaches the store again but has not read the newer
	// configuration yet.
	highestRevision int64
	// preferredPeer is the address of the process that served the latest forwarded request. This process is tried first
	// for the next requests, so that callers get consistent responses from one process.
	preferredPeer string
	// avoidedUntil maps the address of a process to the time until which no request is forwarded to it.
	avoidedUntil map[string]time.Time
}

// ServeHTTP handles one request of a caller, in this process or by forwarding it.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	limit := relay.BodyLimit()
	body, err := io.ReadAll(io.LimitReader(call.Body, limit+1))
	if err != nil || int64(len(body)) > limit {
		call.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), call.Body))
		relay.serveLocally(writer, call)
		return
	}
	if relay.CutOff() || relay.configOutdated() {
		relay.serveThroughPeer(writer, call, body)
		return
	}
	if call.Method != http.MethodPost {
		call.Body = io.NopCloser(bytes.NewReader(body))
		relay.Local.ServeHTTP(writer, call)
		return
	}
	newHedge(relay, call, body).serve(writer)
}

// serveThroughPeer forwards a request that this process has not handled. If no other process can have executed it, this
// process handles it as well as the others can.
func (relay *Relay) serveThroughPeer(writer http.ResponseWriter, call *http.Request, body []byte) {
	outcomes := relay.forward(call, body)
	relay.recordOutcome(call, outcomes)
	answer := outcomes.answer()
	if answer == nil || answer == outcomes.refused {
		call.Body = io.NopCloser(bytes.NewReader(body))
		relay.serveLocally(writer, call)
		return
	}
	answer.write(writer)
}

// serveLocally handles the request in this process. It refuses the request if a forwarded request was handled with a
// newer configuration than this process has.
func (relay *Relay) serveLocally(writer http.ResponseWriter, call *http.Request) {
	if relay.configOutdated() {
		writer.Header().Set("Retry-After", retryAfter)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	relay.Local.ServeHTTP(writer, call)
}

// configOutdated reports whether a forwarded request was handled with a newer configuration than this process has.
func (relay *Relay) configOutdated() bool { return relay.ConfigRevision() < relay.highestSeen() }

func (relay *Relay) highestSeen() int64 {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	return relay.highestRevision
}

// forward sends the request to other processes, one after the other, until one serves it or refuses it for good. After a
// lost response it is safe to try the next process, because the job id makes all requests idempotent.
func (relay *Relay) forward(call *http.Request, body []byte) outcomes {
	outcomes := outcomes{method: call.Method}
	for _, peer := range relay.candidates(maxAttempts) {
		outcomes.add(relay.forwardTo(call, peer, body))
		if outcomes.settled() {
			break
		}
	}
	return outcomes
}

// forwardTo sends the request to one process.
func (relay *Relay) forwardTo(call *http.Request, peer string, body []byte) outcome {
	response, revision, err := relay.attempt(call, peer, body)
	if err != nil {
		relay.avoidPeer(peer)
		return outcome{unknown: !fault.NotSent(err), peer: peer}
	}
	if response.unavailable() {
		relay.avoidPeer(peer)
	} else {
		relay.preferPeer(peer, revision)
	}
	return outcome{response: response, peer: peer}
}

// candidates returns the addresses of the processes to try, at most the given number: first the process that served the latest forwarded request,
// then other processes in random order. It omits processes that did not serve a request within the last avoidTime.
func (relay *Relay) candidates(limit int) []string {
	peers := relay.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	relay.mu.Lock()
	defer relay.mu.Unlock()
	now := time.Now()
	peers = slices.DeleteFunc(peers, func(peer string) bool { return now.Before(relay.avoidedUntil[peer]) })
	if at := slices.Index(peers, relay.preferredPeer); at > 0 {
		peers[0], peers[at] = peers[at], peers[0]
	}
	return peers[:min(len(peers), limit)]
}

func (relay *Relay) preferPeer(peer string, revision int64) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.preferredPeer, relay.highestRevision = peer, max(relay.highestRevision, revision)
}

func (relay *Relay) avoidPeer(peer string) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	now := time.Now()
	if relay.avoidedUntil == nil {
		relay.avoidedUntil = map[string]time.Time{}
	}
	for known, until := range relay.avoidedUntil {
		if now.After(until) {
			delete(relay.avoidedUntil, known)
		}
	}
	relay.avoidedUntil[peer] = now.Add(avoidTime)
}

// attempt sends the request to one process and returns its response with the revision of the configuration with which
// the request was handled, or a newer one.
func (relay *Relay) attempt(call *http.Request, peer string, body []byte) (*response, int64, error) {
	// The forwarded request is completed even if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.Context()), attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(
		ctx, call.Method, "http://"+peer+call.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Host = call.Host
	request.Header = call.Header.Clone()
	request.Header.Del("Connection")
	handover.RemoveLeaseHeader(request.Header)
	formerterm.RemoveStatusHeader(request.Header)
	request.Header.Set(revisionHeader, strconv.FormatInt(max(relay.highestSeen(), relay.ConfigRevision()), 10))
	received, err := relay.Client.Do(request)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// Connections that fall silent often do so together. The next attempt opens a new one.
			relay.Client.CloseIdleConnections()
		}
		return nil, 0, err
	}
	defer received.Body.Close()
	content, err := io.ReadAll(io.LimitReader(received.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseInt(received.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return nil, 0, err
	}
	kept := http.Header{}
	for _, name := range []string{"Content-Type", "Allow"} {
		if values := received.Header.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return &response{status: received.StatusCode, header: kept, content: content}, revision, nil
}

func (relay *Relay) recordOutcome(call *http.Request, outcomes outcomes) {
	outcomeLabel := "not_served"
	fields := []any{"method", call.Method, "path", call.URL.Path, "attempts", outcomes.attempts}
	answer := outcomes.answer()
	switch {
	case answer == nil || answer == outcomes.refused:
	case answer == outcomes.executed || answer == outcomes.final:
		outcomeLabel = "answered"
		fields = append(fields, "status", answer.status)
	default:
		outcomeLabel = "unknown"
	}
	metrics.Count(relay.Metrics, metrics.Name("relayed_requests", "outcome", outcomeLabel))
	relay.Logger.Info("request relayed", append(fields, "outcome", outcomeLabel)...)
}

// PeerHandler serves requests that other processes forward. It refuses a request at once if this process cannot reach
// the store or has an older configuration than the process that forwarded the request. It never forwards a request
// itself, which prevents forwarding loops.
type PeerHandler struct {
	Local http.Handler
	// CutOff is as for Relay.
	CutOff         func() bool
	ConfigRevision func() int64
}

// ServeHTTP handles one request that another process forwarded.
func (handler PeerHandler) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	wrapped := &revisionWriter{ResponseWriter: writer, revision: handler.ConfigRevision}
	minRevision, err := strconv.ParseInt(call.Header.Get(revisionHeader), 10, 64)
	if err != nil || handler.CutOff() || handler.ConfigRevision() < minRevision {
		wrapped.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handler.Local.ServeHTTP(wrapped, call)
}

// revisionWriter adds the revision of the configuration to a response. It reads the revision when the status is
// written, since the handler may have read a newer configuration before it refuses a request.
type revisionWriter struct {
	http.ResponseWriter
	revision func() int64
}

// WriteHeader sets the revision header and writes the status.
func (writer *revisionWriter) WriteHeader(status int) {
	writer.Header().Set(revisionHeader, strconv.FormatInt(writer.revision(), 10))
	writer.ResponseWriter.WriteHeader(status)
}
