package formerterm

import (
	"math"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/term"
)

// TestLastOrder guards against taking a former controller for one that has ceased while it can still send orders.
func TestLastOrder(t *testing.T) {
	asked := former{token: 10, holder: testHolder(10)}
	same := func(phase term.Phase, token, since int64) Status {
		return Status{
			Name: "vm10", Instance: "10", ServingMS: 60000, Phase: phase, SinceMS: since, Token: revision(token),
		}
	}
	other := func(name string, serving int64) Status {
		return Status{Name: name, Instance: "other", ServingMS: serving, Phase: term.Leading, SinceMS: 1, Token: 10}
	}
	const now = 100 * time.Second
	tests := []struct {
		name   string
		status Status
		want   time.Duration
		proven bool
	}{
		{"process that has just started", other("vm10", 0), now, true},
		{"process that started 2 s ago, by a clock that may be fast", other("vm10", 2000), now - 1960*time.Millisecond, true},
		{"VM that has taken over the address", other("vm11", 2000), 0, false},
		{"status without an instance", Status{Name: "vm10", ServingMS: 2000, Phase: term.Idle}, 0, false},
		{"empty status", Status{}, 0, false},
		{"holder that still leads", same(term.Leading, 10, 3000), 0, false},
		{"holder that leads an earlier term", same(term.Leading, 9, 3000), 0, false},
		{"holder whose campaign is not over", same(term.Campaigning, 0, 3000), 0, false},
		{"holder in an unknown phase", same("", 0, 3000), 0, false},
		{"holder that is idle", same(term.Idle, 0, 1000), now - 980*time.Millisecond, true},
		{"holder that leads a later term", same(term.Leading, 11, 1000), now - 980*time.Millisecond, true},
		{"process with a negative age", other("vm10", -1), 0, false},
		{"idle for a negative time", same(term.Idle, 0, -1), 0, false},
		{"process with an age that overflows", other("vm10", math.MaxInt64), 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, proven := lastOrder(asked, test.status, now); proven != test.proven || got != test.want {
				t.Errorf("last order at %s, %t, want %s, %t", got, proven, test.want, test.proven)
			}
		})
	}
}

// TestActivity guards against a status that tells more than the process knows.
func TestActivity(t *testing.T) {
	now := time.Hour
	activity := &Activity{Name: "vm0", Instance: "a", Clock: func() time.Duration { return now }}
	activity.RecordServing()
	now += 3 * time.Second
	activity.RecordPhase(term.Leading, 7)
	now += 1999 * time.Microsecond
	want := Status{Name: "vm0", Instance: "a", ServingMS: 3001, Phase: term.Leading, SinceMS: 1, Token: 7}
	if status := activity.Status(); status != want {
		t.Errorf("status %+v, want %+v", status, want)
	}
}
