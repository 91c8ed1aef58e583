package fault

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a kind whose answer tells the caller to repeat a request that may have run.
func TestRetriableKindsProveNotRun(t *testing.T) {
	for _, kind := range Kinds() {
		answer := AnswerFor(kind)
		if answer.Retriable && answer.Effect != EffectNotRun {
			t.Errorf("%s is retriable but does not prove that the request did not run", kind)
		}
		if answer.Code == 0 || answer.HTTP == 0 {
			t.Errorf("%s has no code or HTTP status", kind)
		}
	}
}

// Guards against losing the kind when an error is wrapped.
func TestOfFindsWrappedKind(t *testing.T) {
	err := errors.Wrap(New(QueueFull, "bound of %d reached", 3), "submit")
	if got := FromError(err).Kind; got != QueueFull {
		t.Errorf("Of() = %s, want %s", got, QueueFull)
	}
	if got := FromError(errors.New("boom")).Kind; got != Internal {
		t.Errorf("Of() of a foreign error = %s, want %s", got, Internal)
	}
}

// Guards against a documented table of kinds that differs from the one in the code.
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
		row := fmt.Sprintf("| `%s` | %s | %d | %s | %s |", kind, answer.Code, answer.HTTP, effects[answer.Effect], retriable)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/ERRORS.md lacks the row\n%s", row)
		}
	}
	if rows := strings.Count(string(page), "\n| `"); rows != len(Kinds()) {
		t.Errorf("docs/ERRORS.md has %d rows, want %d", rows, len(Kinds()))
	}
}

// Guards against an answer that names its kind twice, or not at all.
func TestMessageNamesTheKindOnce(t *testing.T) {
	tests := []struct {
		fault *Error
		want  string
	}{
		{New(NotFound, "no job x"), "no job x"},
		{New(InvalidArgument, "is missing").WithField("job_id"), "job_id: is missing"},
		{New(QueueFull, "bound of 3"), "queue_full: bound of 3"},
	}
	for _, test := range tests {
		if got := test.fault.Message(); got != test.want {
			t.Errorf("Message() = %q, want %q", got, test.want)
		}
	}
}

// TestNotSent guards refusals that say "not run" against calls that may have reached the other side.
func TestNotSent(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"no connection", errors.Wrap(&net.OpError{Op: "dial", Err: errors.New("refused")}, "call"), true},
		{"the connection broke", &net.OpError{Op: "read", Err: errors.New("reset")}, false},
		{"another error", errors.New("timeout"), false},
	}
	for _, test := range tests {
		if got := NotSent(test.err); got != test.want {
			t.Errorf("%s: %t, want %t", test.name, got, test.want)
		}
	}
}
