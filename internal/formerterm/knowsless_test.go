package formerterm

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
)

// TestKnowsLess guards against a process that knows no former controllers and takes the term before one that knows them, and
// against an election that is delayed where no process knows more.
func TestKnowsLess(t *testing.T) {
	held := []keyvalue.Change{begin(10)}
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  bool
	}{
		{name: "no listing"},
		{name: "first process", steps: []step{{full: true}}},
		{name: "process that joins others", steps: []step{{full: true, changes: held}}, at: time.Second, want: true},
		{name: "process that joined long ago", steps: []step{{full: true, changes: held}}, at: testLimit},
		{
			name: "listing that missed terms", at: 21 * time.Second, want: true,
			steps: []step{{full: true, changes: held}, {at: 20 * time.Second, full: true, changes: []keyvalue.Change{begin(30)}}},
		},
		{
			name: "listing that missed none", at: 21 * time.Second,
			steps: []step{{full: true, changes: held}, {at: 20 * time.Second, full: true, changes: held}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observer := newObserver()
			for _, step := range test.steps {
				observer.now = step.at
				observer.Apply(step.changes, step.full)
			}
			observer.now = test.at
			if got := observer.KnowsLess(); got != test.want {
				t.Errorf("knows less: %t, want %t", got, test.want)
			}
		})
	}
}
