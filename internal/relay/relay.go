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

// serveThroughPeer forwards a request that this process has not handled.
func (relay *Relay) serveThroughPeer(writer http.ResponseWriter, call *http.Request, body []byte) {
	result := relay.forward(call, body)
	relay.recordOutcome(call, result)
	switch {
	case result.response != nil:
		result.response.write(writer)
	case result.unknown:
		// Another process may have executed the request, so the response must not claim that the request was refused.
		writer.WriteHeader(http.StatusGatewayTimeout)
	default:
		call.Body = io.NopCloser(bytes.NewReader(body))
		relay.serveLocally(writer, call)
	}
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

// outcome is the result of the attempts to forward one request.
type outcome struct {
	response *peerResponse
	// unknown is set if a process may have executed the request although no response was received.
	unknown bool
	peer    string
}

// forward sends the request to other processes, one after the other, until one serves it. If all of them refuse the
// request, the outcome has neither a response nor unknown set, and this process can handle the request as well as the
// other processes can. After a lost response it is safe to try the next process, because the job id makes all requests
// idempotent.
func (relay *Relay) forward(call *http.Request, body []byte) outcome {
	var result outcome
	for _, peer := range relay.candidates(maxAttempts) {
		tried := relay.forwardTo(call, peer, body)
		if tried.response != nil {
			return tried
		}
		result.unknown = result.unknown || tried.unknown
	}
	return result
}

// forwardTo sends the request to one process.
func (relay *Relay) forwardTo(call *http.Request, peer string, body []byte) outcome {
	response, err := relay.attempt(call, peer, body)
	if err == nil && !response.refused() {
		relay.preferPeer(peer, response.revision)
		return outcome{response: response, peer: peer}
	}
	relay.avoidPeer(peer)
	return outcome{unknown: err != nil && !fault.NotSent(err), peer: peer}
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

func (relay *Relay) attempt(call *http.Request, peer string, body []byte) (*peerResponse, error) {
	// The forwarded request is completed even if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.Context()), attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(
		ctx, call.Method, "http://"+peer+call.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = call.Host
	request.Header = call.Header.Clone()
	request.Header.Del("Connection")
	handover.RemoveLeaseHeader(request.Header)
	request.Header.Set(revisionHeader, strconv.FormatInt(max(relay.highestSeen(), relay.ConfigRevision()), 10))
	response, err := relay.Client.Do(request)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// Connections that fall silent often do so together. The next attempt opens a new one.
			relay.Client.CloseIdleConnections()
		}
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	revision, err := strconv.ParseInt(response.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return nil, err
	}
	return &peerResponse{
		status: response.StatusCode, header: response.Header, content: content, revision: revision,
	}, nil
}

func (relay *Relay) recordOutcome(call *http.Request, result outcome) {
	outcomeLabel := "not_served"
	fields := []any{"method", call.Method, "path", call.URL.Path, "peer", result.peer}
	switch {
	case result.response != nil:
		outcomeLabel = "answered"
		fields = append(fields, "status", result.response.status)
	case result.unknown:
		outcomeLabel = "unknown"
	}
	metrics.Count(relay.Metrics, metrics.Name("relayed_requests", "outcome", outcomeLabel))
	relay.Logger.Info("request relayed", append(fields, "outcome", outcomeLabel)...)
}

// peerResponse is the response of another process.
type peerResponse struct {
	status  int
	header  http.Header
	content []byte
	// revision is the revision of the configuration with which the request was handled, or a newer one.
	revision int64
}

// refused reports whether the status of the response means that the process cannot serve the request at present.
func (response *peerResponse) refused() bool {
	return response.status == http.StatusServiceUnavailable || response.status == http.StatusTooManyRequests
}

// succeeded reports whether the request was executed.
func (response *peerResponse) succeeded() bool { return response.status/100 == 2 }

func (response *peerResponse) write(writer http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Allow"} {
		if value := response.header.Get(name); value != "" {
			writer.Header().Set(name, value)
		}
	}
	writer.WriteHeader(response.status)
	// An error means that the caller has disconnected, so there is nothing left to do.
	_, _ = writer.Write(response.content)
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
