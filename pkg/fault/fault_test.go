package fault

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestRetriableKindsProveNotRun guards against a kind that is marked as retriable although the request may have run, so
// that a retry could run it twice.
func TestRetriableKindsProveNotRun(t *testing.T) {
	for _, kind := range Kinds() {
		answer := AnswerFor(kind)
		if answer.Retriable && answer.Effect != EffectNotRun {
			t.Errorf("%s is retriable but does not prove that the request did not run", kind)
		}
		if answer.Code == 0 || answer.HTTP == 0 {
			t.Errorf("%s lacks a code or an HTTP status", kind)
		}
	}
}

// TestFromErrorFindsWrappedKind guards against losing the kind of an error that is wrapped.
func TestFromErrorFindsWrappedKind(t *testing.T) {
	err := errors.Wrap(New(QueueFull, "limit of %d reached", 3), "submit")
	if got := FromError(err).Kind; got != QueueFull {
		t.Errorf("FromError() of a wrapped error = %s, want %s", got, QueueFull)
	}
	if got := FromError(errors.New("boom")).Kind; got != Internal {
		t.Errorf("FromError() of an error without a kind = %s, want %s", got, Internal)
	}
}

// TestDocumentedTable guards against differences between the table of kinds in the documentation and the one in the
// code.
func TestDocumentedTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	effects := map[Effect]string{EffectNotRun: "not run", EffectUnknown: "unknown", EffectRan: "ran"}
	for _, kind := range Kinds() {
		answer := AnswerFor(kind)
		retriable := "no"
		if answer.Retriable {
			retriable = "yes"
		}
		row := fmt.Sprintf("| `%s` | %s | %d | %s | %s |",
			kind, answer.Code, answer.HTTP, effects[answer.Effect], retriable)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/ERRORS.md lacks the row\n%s", row)
		}
	}
	if rows := strings.Count(string(page), "\n| `"); rows != len(Kinds()) {
		t.Errorf("docs/ERRORS.md has %d rows, want %d", rows, len(Kinds()))
	}
}

// TestMessageNamesTheKindOnce guards against a response that names its kind twice or not at all. The Connect code of a
// response names some kinds already.
func TestMessageNamesTheKindOnce(t *testing.T) {
	tests := []struct {
		fault *Error
		want  string
	}{
		{New(NotFound, "no job x"), "no job x"},
		{New(InvalidArgument, "is missing").WithField("job_id"), "job_id: is missing"},
		{New(QueueFull, "limit of 3"), "queue_full: limit of 3"},
	}
	for _, test := range tests {
		if got := test.fault.Message(); got != test.want {
			t.Errorf("Message() = %q, want %q", got, test.want)
		}
	}
}

// TestNotSent guards against reporting a call as not run although it may have reached the server. Only a failure to
// connect proves that it did not.
func TestNotSent(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"connection refused", errors.Wrap(&net.OpError{Op: "dial", Err: errors.New("refused")}, "call"), true},
		{"connection reset after it was established", &net.OpError{Op: "read", Err: errors.New("reset")}, false},
		{"error that is not from the network", errors.New("timeout"), false},
	}
	for _, test := range tests {
		if got := NotSent(test.err); got != test.want {
			t.Errorf("%s: NotSent() = %t, want %t", test.name, got, test.want)
		}
	}
}
