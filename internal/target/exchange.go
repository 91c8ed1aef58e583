package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// verdict states whether an attempt proves that the request ran on the target and, if so, with which result.
type verdict int

const (
	// verdictUnknown means that the request may have run and may still be running.
	verdictUnknown verdict = iota
	// verdictNotRun means that the request did not run and will not run.
	verdictNotRun
	// verdictCompleted means that the whole answer to this request arrived.
	verdictCompleted
	// verdictFailed means that the whole answer arrived and reports that the request failed on the target.
	verdictFailed
)

// attemptResult is the result of one attempt to run a request on a target.
type attemptResult struct {
	verdict verdict
	answer  []byte
	reason  string
	// refused is set when the target declined to begin the request.
	refused bool
	// leaving is set when the response announces that the target will leave the fleet.
	leaving bool
	// crossed is set when the response belongs to another request.
	crossed bool
}

// streamError has the same fields as the HTTP/2 stream error of net/http, so that errors.As copies that error into it.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns a short description.
func (failure streamError) Error() string { return "stream error" }

// refusedStream is the HTTP/2 error code REFUSED_STREAM, by which a server reports that it did not process a request
// at all.
const refusedStream = 0x7

// traceWrite returns a context whose trace sets wrote when bytes of the request may have been written.
func traceWrite(ctx context.Context, wrote *atomic.Bool) context.Context {
	// net/http calls WroteHeaderField while it encodes the header, before the first byte reaches the connection.
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	})
}

// exchange sends one request on a reserved connection, reads the response and returns the result.
func exchange(
	ctx context.Context, conn *connection, to *url.URL, id string, body []byte, maxAnswer fleet.Bytes,
) attemptResult {
	var wrote atomic.Bool
	response, err := conn.client.RoundTrip(newRequest(traceWrite(ctx, &wrote), to, id, body))
	if err != nil {
		return classifySendError(ctx, err, wrote.Load())
	}
	defer func() { _ = response.Body.Close() }()
	outcome := readAnswer(response, id, maxAnswer)
	outcome.leaving = response.Header.Get("Leaving") == "true"
	return outcome
}

func newRequest(ctx context.Context, to *url.URL, id string, body []byte) *http.Request {
	request := &http.Request{
		Method: http.MethodPost,
		URL:    to,
		Host:   to.Host,
		Header: http.Header{"Request-Id": {id}, "Content-Type": {"application/octet-stream"}},
		Body:   http.NoBody,
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	return request.WithContext(ctx)
}

// classifySendError returns the result of an attempt without a response. When the connection ends, net/http returns
// only after it has stopped writing the request, so wrote is final. When the context ends, net/http returns at once and
// may still write the request, so the request may still run although wrote is false.
func classifySendError(ctx context.Context, err error, wrote bool) attemptResult {
	var refusal streamError
	switch {
	case ctx.Err() == nil && !wrote:
		return attemptResult{verdict: verdictNotRun, reason: "the connection ended before the request was written"}
	case errors.As(err, &refusal) && refusal.Code == refusedStream:
		return attemptResult{verdict: verdictNotRun, reason: "the target refused the stream", refused: true}
	case ctx.Err() != nil:
		return attemptResult{reason: "the target did not respond within the longest request time"}
	}
	return attemptResult{reason: "the connection ended before the response arrived"}
}

// readAnswer reads the answer from a response and returns the result of the attempt.
func readAnswer(response *http.Response, id string, maxAnswer fleet.Bytes) attemptResult {
	if response.Header.Get("Request-Id") != id {
		return attemptResult{reason: "the response belongs to another request", crossed: true}
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Not-Begun") == "true" {
		return attemptResult{verdict: verdictNotRun, reason: "the target did not begin the request", refused: true}
	}
	answer, problem := readBody(response, maxAnswer)
	switch {
	case problem != "":
		return attemptResult{reason: problem}
	case response.StatusCode/100 == 2:
		return attemptResult{verdict: verdictCompleted, answer: answer}
	}
	reason := "the target responded with " + strings.TrimSpace(http.StatusText(response.StatusCode))
	return attemptResult{verdict: verdictFailed, answer: answer, reason: reason}
}

// readBody reads an answer. It returns a problem if the answer has no declared length, is shorter or longer than its
// declared length, or is larger than maxAnswer.
func readBody(response *http.Response, maxAnswer fleet.Bytes) (answer []byte, problem string) {
	switch {
	case response.ContentLength < 0:
		return nil, "the answer has no length"
	case response.ContentLength > int64(maxAnswer):
		return nil, "the answer exceeds the limit"
	}
	answer = make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, answer); err != nil {
		return nil, "the answer is shorter than its length"
	}
	// Only the end of the stream proves that no data follows.
	if n, err := response.Body.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		return nil, "the answer does not end at its length"
	}
	return answer, ""
}
