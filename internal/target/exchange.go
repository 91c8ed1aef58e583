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

// verdict is what one attempt proves about the request.
type verdict int

const (
	// verdictUnknown: it may have run, and may still run.
	verdictUnknown verdict = iota
	// verdictNotRun: it did not run and will not.
	verdictNotRun
	// verdictCompleted: the whole answer to this request arrived.
	verdictCompleted
	// verdictFailed: the whole answer arrived and reports a failure of the target's own.
	verdictFailed
)

// result is the end of one attempt.
type result struct {
	verdict verdict
	answer  []byte
	reason  string
	// refused is set when the target declined to begin.
	refused bool
	// leaving is set when the target says that it leaves.
	leaving bool
	// crossed is set when the answer belongs to another request.
	crossed bool
}

// streamError has the form of the HTTP/2 stream error of net/http, which errors.As fills in by that form.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns a short description.
func (failure streamError) Error() string { return "stream error" }

// refusedStream is the HTTP/2 code by which a server says that it did not process a request at all.
const refusedStream = 0x7

// traceWrite returns a context that notes in wrote when bytes of the request may have been written.
func traceWrite(ctx context.Context, wrote *atomic.Bool) context.Context {
	// net/http calls WroteHeaderField while it encodes the header, before the first byte reaches the connection.
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	})
}

// exchange sends one request on a reserved connection and reads its answer.
func exchange(ctx context.Context, link *link, to *url.URL, id string, body []byte, maxAnswer fleet.Bytes) result {
	var wrote atomic.Bool
	response, err := link.client.RoundTrip(newRequest(traceWrite(ctx, &wrote), to, id, body))
	if err != nil {
		return sendFailure(ctx, err, wrote.Load())
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

// sendFailure judges an attempt without an answer. When the connection ends, net/http waits until the request
// is no longer being written; when the context ends, it does not, so nothing is proven then.
func sendFailure(ctx context.Context, err error, wrote bool) result {
	var refusal streamError
	switch {
	case ctx.Err() == nil && !wrote:
		return result{verdict: verdictNotRun, reason: "the connection ended before the request was written"}
	case errors.As(err, &refusal) && refusal.Code == refusedStream:
		return result{verdict: verdictNotRun, reason: "the target refused the stream", refused: true}
	case ctx.Err() != nil:
		return result{reason: "the target did not answer within the longest request time"}
	}
	return result{reason: "the connection ended before the answer arrived"}
}

func readAnswer(response *http.Response, id string, maxAnswer fleet.Bytes) result {
	if response.Header.Get("Request-Id") != id {
		return result{reason: "the answer belongs to another request", crossed: true}
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Not-Begun") == "true" {
		return result{verdict: verdictNotRun, reason: "the target did not begin the request", refused: true}
	}
	answer, problem := readWhole(response, maxAnswer)
	switch {
	case problem != "":
		return result{reason: problem}
	case response.StatusCode/100 == 2:
		return result{verdict: verdictCompleted, answer: answer}
	}
	reason := "the target answered " + strings.TrimSpace(http.StatusText(response.StatusCode))
	return result{verdict: verdictFailed, answer: answer, reason: reason}
}

func readWhole(response *http.Response, maxAnswer fleet.Bytes) (answer []byte, problem string) {
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
	// The end of the stream proves that nothing follows.
	if n, err := response.Body.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		return nil, "the answer does not end at its length"
	}
	return answer, ""
}
