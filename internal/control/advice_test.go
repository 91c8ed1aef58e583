package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestRefusedTickets guards against repeated advice and starts, each with two writes, for a worker that refuses every
// ticket, and against a pause after a ticket that expired on its way.
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

// failingAdviser permits every worker, except that calls for some jobs fail.
type failingAdviser struct {
	failing map[fleet.JobID]bool
	calls   int
}

func (adviser *failingAdviser) Advise(
	_ context.Context, step workload.StepID, workers []fleet.WorkerID,
) (Tickets, error) {
	adviser.calls++
	if adviser.failing[step.Job] {
		return Tickets{}, errors.New("status 500")
	}
	tickets := map[fleet.WorkerID]Ticket{}
	for _, id := range workers {
		tickets[id] = "ticket"
	}
	return Tickets{ByWorker: tickets}, nil
}

// TestAdviceFailsForSomeSteps guards against steps that never get advice, because the calls for more urgent ones fail.
func TestAdviceFailsForSomeSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, began := newTestLoop(t, 2), time.Now()
		adviser := &failingAdviser{failing: map[fleet.JobID]bool{}}
		loop.Adviser, loop.Clock = adviser, func() time.Duration { return time.Since(began) }
		var jobs []*job
		for priority := range 5 {
			job := loop.submit(workload.Priority(priority), workload.Step{
				Tasks: 1, Each: workload.Resources{Accelerators: 1}, Estimate: time.Minute,
			})
			job.policy.Advice = workload.Advice{Validity: 3 * time.Second}
			adviser.failing[job.ID] = priority < 4
			jobs = append(jobs, job)
		}
		for time.Since(began) < 5*time.Second {
			loop.plan()
			time.Sleep(50 * time.Millisecond)
			loop.handleEvents()
		}
		if placed := placedTasks(jobs[4]); placed != 1 {
			t.Errorf("%d tasks of the job with advice are placed, want 1", placed)
		}
		adviser.failing = nil
		for range 60 {
			loop.plan()
			time.Sleep(50 * time.Millisecond)
			loop.handleEvents()
		}
		for _, job := range jobs {
			if placedTasks(job) != 1 {
				t.Errorf("job of priority %d is not placed 3 s after the last failure", job.policy.Priority)
			}
		}
		_ = loop.group.Wait()
	})
}
