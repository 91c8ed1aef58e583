package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// hedgeDelay is the time without a response of this process after which a submission is also forwarded, and the
	// pause before it is forwarded to a further process. A slow store still responds within it.
	hedgeDelay = 300 * time.Millisecond
	// maxHedges limits the processes to which one submission is forwarded while this process handles it, and so the
	// additional load on a store that is slow for every process.
	maxHedges = 2
)

// hedge is a submission that this process handles and, if its store fails or does not respond in time, other processes
// too. The first success is the response. The submission is stored once in any case, because its write requires that
// the job's id is unused.
type hedge struct {
	relay *Relay
	call  *http.Request
	body  []byte
	// peers are the processes that have not been tried yet.
	peers   []string
	results chan outcome
	// pending is the number of processes whose result is not known yet.
	pending int
	// local is the response of this process. It is valid once localDone is closed.
	local     *heldResponse
	localDone chan struct{}
	// unknown is set if a process may have stored the job without a response.
	unknown bool
	// final is the response of another process that was neither a success nor a refusal; nil if there was none.
	final *peerResponse
}

func newHedge(relay *Relay, call *http.Request, body []byte) *hedge {
	return &hedge{
		relay: relay, call: call, body: body, results: make(chan outcome, maxHedges),
		local: &heldResponse{header: http.Header{}, status: http.StatusOK}, localDone: make(chan struct{}),
	}
}

// serve writes the response of this process, or the success of another one that comes first.
func (hedge *hedge) serve(writer http.ResponseWriter) {
	go hedge.handleLocally()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case <-hedge.localDone:
		if !hedge.local.storeFailed() {
			hedge.local.write(writer)
			return
		}
	case <-timer.C:
	}
	hedge.peers = hedge.relay.candidates(maxHedges)
	hedge.forwardToNext()
	timer.Reset(hedgeDelay)
	done := hedge.localDone
	for done != nil || hedge.pending > 0 || len(hedge.peers) > 0 {
		select {
		case <-done:
			if !hedge.local.storeFailed() {
				hedge.local.write(writer)
				return
			}
			done = nil
		case result := <-hedge.results:
			hedge.pending--
			if result.response != nil && result.response.succeeded() {
				result.response.write(writer)
				return
			}
			hedge.record(result)
			hedge.forwardToNext()
		case <-timer.C:
			hedge.forwardToNext()
			timer.Reset(hedgeDelay)
		}
	}
	hedge.writeFailure(writer)
}

func (hedge *hedge) handleLocally() {
	defer close(hedge.localDone)
	request := *hedge.call
	request.Body = io.NopCloser(bytes.NewReader(hedge.body))
	hedge.relay.Local.ServeHTTP(hedge.local, &request)
}

// forwardToNext forwards the submission to the next process that has not been tried, if there is one.
func (hedge *hedge) forwardToNext() {
	if len(hedge.peers) == 0 {
		return
	}
	peer := hedge.peers[0]
	hedge.peers = hedge.peers[1:]
	hedge.pending++
	go func() {
		result := hedge.relay.forwardTo(hedge.call, peer, hedge.body)
		hedge.relay.recordOutcome(hedge.call, result)
		hedge.results <- result
	}()
}

// record keeps what a process without a success says about the submission.
func (hedge *hedge) record(result outcome) {
	hedge.unknown = hedge.unknown || result.unknown
	if result.response != nil {
		hedge.final = result.response
	}
}

// writeFailure writes the response after no process has succeeded. The outcome is unknown if an attempt of any process
// got no response: the refusal of another one is not true of that attempt.
func (hedge *hedge) writeFailure(writer http.ResponseWriter) {
	switch {
	case hedge.local.status == http.StatusGatewayTimeout:
		hedge.local.write(writer)
	case hedge.unknown:
		writer.WriteHeader(http.StatusGatewayTimeout)
	case hedge.final != nil:
		hedge.final.write(writer)
	default:
		hedge.local.write(writer)
	}
}

// heldResponse is the response of this process until it is known that no other process gives a better one.
type heldResponse struct {
	header  http.Header
	status  int
	content bytes.Buffer
}

// Header returns the header of the response.
func (held *heldResponse) Header() http.Header { return held.header }

// WriteHeader sets the status.
func (held *heldResponse) WriteHeader(status int) { held.status = status }

// Write appends to the body.
func (held *heldResponse) Write(content []byte) (int, error) { return held.content.Write(content) }

// storeFailed reports whether the response says that the store refused the request or did not respond to it.
func (held *heldResponse) storeFailed() bool {
	return held.status == http.StatusServiceUnavailable || held.status == http.StatusGatewayTimeout
}

// write passes the response on to the caller.
func (held *heldResponse) write(writer http.ResponseWriter) {
	for name, values := range held.header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(held.status)
	// An error means that the caller has disconnected, so there is nothing left to do.
	_, _ = writer.Write(held.content.Bytes())
}
