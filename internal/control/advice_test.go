package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestRefusedTickets guards against a worker that refuses every ticket and is asked about and started on again and
// again, at the cost of a request to the adviser and two writes each. It also guards against a ticket that expired on
// its way and delays the next start.
func TestRefusedTickets(t *testing.T) {
	tests := []struct {
		name string
		// starts is the number of starts with the same ticket, all of which are refused.
		starts   int
		interval time.Duration
		restarts bool
		most     int
		least    int
	}{
		{"always refused", 1, 10 * time.Millisecond, false, 12, 4},
		{"always refused, four tasks", 4, 10 * time.Millisecond, false, 12, 4},
		{"refused now and then", 1, 15 * time.Second, false, 4, 4},
		{"refused by each incarnation", 1, 5 * time.Second, true, 12, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			worker, step := loop.workers["w0000"], workload.StepID{Job: testJobID}
			refused := 0
			for ; loop.now < time.Minute; loop.now += test.interval {
				if _, decided := loop.advice.current(step, worker, loop.now); decided {
					continue
				}
				refused++
				loop.recordAdvice(step, map[fleet.WorkerID]progress.Incarnation{
					worker.entry.ID: worker.entry.Incarnation,
				}, map[fleet.WorkerID]Ticket{worker.entry.ID: "ticket"}, loop.now+time.Second, nil)
				for range test.starts {
					loop.advice.drop(step, worker.entry.ID, loop.now)
				}
				if test.restarts {
					worker.entry.Incarnation++
				}
			}
			if refused > test.most || refused < test.least {
				t.Errorf("%d refused tickets in a minute, want %d to %d", refused, test.least, test.most)
			}
		})
	}
}
