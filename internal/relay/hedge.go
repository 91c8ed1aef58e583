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
	peers []string
	// results receives the result of each attempt, that of this process included.
	results chan outcome
	// pending is the number of attempts whose result is not known yet.
	pending  int
	outcomes outcomes
	// overLimit is set if this process has refused the submission because of a limit of its organisation. Another process
	// may accept it only because it has not read the latest jobs of the organisation yet.
	overLimit bool
}

func newHedge(relay *Relay, call *http.Request, body []byte) *hedge {
	return &hedge{
		relay: relay, call: call, body: body, results: make(chan outcome, maxHedges+1),
		outcomes: outcomes{method: call.Method},
	}
}

// serve writes the first success of this process or another one. Without one it waits for all attempts that have begun,
// since one of them may have stored the job, and writes what they tell together.
func (hedge *hedge) serve(writer http.ResponseWriter) {
	hedge.pending++
	go hedge.handleLocally()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	hedged := false
	for hedge.pending > 0 || len(hedge.peers) > 0 {
		select {
		case result := <-hedge.results:
			hedge.pending--
			hedge.outcomes.add(result)
			hedge.overLimit = hedge.overLimit || result.overLimit()
			if hedge.outcomes.executed != nil {
				hedge.outcomes.executed.write(writer)
				return
			}
		case <-timer.C:
			timer.Reset(hedgeDelay)
		}
		if hedge.outcomes.settled() || hedge.overLimit {
			hedge.peers = nil
			continue
		}
		if !hedged {
			hedged = true
			hedge.peers = hedge.relay.candidates(maxHedges)
			timer.Reset(hedgeDelay)
		}
		hedge.forwardToNext()
	}
	hedge.outcomes.answer().write(writer)
}

func (hedge *hedge) handleLocally() {
	request := *hedge.call
	request.Body = io.NopCloser(bytes.NewReader(hedge.body))
	recorder := newResponseRecorder()
	hedge.relay.Local.ServeHTTP(recorder, &request)
	hedge.results <- outcome{response: recorder.response()}
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
		attempt := outcomes{method: hedge.call.Method}
		attempt.add(result)
		hedge.relay.recordOutcome(hedge.call, attempt)
		hedge.results <- result
	}()
}
