package relay

import (
	"bytes"
	"cmp"
	"net/http"
	"strconv"
)

// response is the response of a process, or of this one, to one attempt to handle a request.
type response struct {
	status  int
	header  http.Header
	content []byte
}

// unavailable reports whether the status means that the process cannot serve the request at present.
func (response *response) unavailable() bool {
	return response.status == http.StatusServiceUnavailable || response.status == http.StatusTooManyRequests
}

// executed reports whether the response proves what became of the request, whatever other attempts have done: it was
// executed, or there is no such job and none can be stored by another attempt. The answer to a query is that of any
// process.
func (response *response) executed(method string) bool {
	switch method {
	case http.MethodPost, http.MethodDelete:
		return response.status/100 == 2 || response.status == http.StatusGone
	}
	return !response.unavailable() && response.status != http.StatusGatewayTimeout
}

func (response *response) write(writer http.ResponseWriter) {
	for name, values := range response.header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(response.status)
	// An error means that the caller has disconnected, so there is nothing left to do.
	_, _ = writer.Write(response.content)
}

// outcome is the result of one attempt to handle a request.
type outcome struct {
	// response is nil if there was none.
	response *response
	// unknown is set if the process may have executed the request although no response was received.
	unknown bool
	// peer is the address of the process, empty for this one.
	peer string
}

// overLimit reports whether this process has refused the request because of a limit.
func (result outcome) overLimit() bool {
	return result.peer == "" && result.response != nil && result.response.status == http.StatusTooManyRequests
}

// String names the process and its response, for the log.
func (result outcome) String() string {
	process := cmp.Or(result.peer, "here")
	switch {
	case result.response != nil:
		return process + ": " + strconv.Itoa(result.response.status)
	case result.unknown:
		return process + ": no response"
	}
	return process + ": not reached"
}

// outcomes joins the results of all attempts to handle one request. Once any attempt may have executed the request, no
// refusal by another one is the answer to the caller.
type outcomes struct {
	method string
	// executed, final and refused are the first responses that prove that the request was executed, that refuse it for
	// good, and that refuse it at present; nil if there was none.
	executed, final, refused *response
	// unknown is set if a process may have executed the request without a response that says so, and unanswered is the
	// response of such a process, if it has sent one.
	unknown    bool
	unanswered *response
	// attempts says for each attempt, in order, which process was tried and how it has responded, for the log.
	attempts []string
}

// add joins the result of an attempt.
func (outcomes *outcomes) add(result outcome) {
	response := result.response
	switch {
	case response == nil:
		outcomes.unknown = outcomes.unknown || result.unknown
	case response.executed(outcomes.method):
		keepFirst(&outcomes.executed, response)
	case response.status == http.StatusGatewayTimeout:
		outcomes.unknown = true
		keepFirst(&outcomes.unanswered, response)
	case response.unavailable():
		keepFirst(&outcomes.refused, response)
	default:
		keepFirst(&outcomes.final, response)
	}
	outcomes.attempts = append(outcomes.attempts, result.String())
}

func keepFirst(kept **response, response *response) {
	if *kept == nil {
		*kept = response
	}
}

// settled reports whether a further attempt cannot improve the answer.
func (outcomes *outcomes) settled() bool { return outcomes.executed != nil || outcomes.final != nil }

// answer returns the response to the caller. It returns nil if no process has responded and none can have executed the
// request.
func (outcomes *outcomes) answer() *response {
	switch {
	case outcomes.executed != nil:
		return outcomes.executed
	case outcomes.unanswered != nil:
		return outcomes.unanswered
	case outcomes.unknown:
		return &response{status: http.StatusGatewayTimeout}
	case outcomes.final != nil:
		return outcomes.final
	}
	return outcomes.refused
}

// responseRecorder keeps the response of this process until it is known that no other process gives a better one.
type responseRecorder struct {
	header  http.Header
	status  int
	content bytes.Buffer
}

func newResponseRecorder() *responseRecorder {
	return &responseRecorder{header: http.Header{}, status: http.StatusOK}
}

// Header returns the header of the response.
func (recorder *responseRecorder) Header() http.Header { return recorder.header }

// WriteHeader sets the status.
func (recorder *responseRecorder) WriteHeader(status int) { recorder.status = status }

// Write appends to the body.
func (recorder *responseRecorder) Write(content []byte) (int, error) {
	return recorder.content.Write(content)
}

func (recorder *responseRecorder) response() *response {
	return &response{status: recorder.status, header: recorder.header, content: recorder.content.Bytes()}
}
