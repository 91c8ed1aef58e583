package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// recordingWorkers notes the life for which each order was meant, and leaves listings open.
type recordingWorkers struct {
	mu            sync.Mutex
	starts, stops []progress.Incarnation
}

func (workers *recordingWorkers) Start(_ context.Context, worker WorkerEntry, _ StartOrder) (WorkerClock, error) {
	workers.mu.Lock()
	defer workers.mu.Unlock()
	workers.starts = append(workers.starts, worker.Incarnation)
	return 0, nil
}

func (workers *recordingWorkers) Stop(_ context.Context, worker WorkerEntry, _ StopOrder) (WorkerClock, error) {
	workers.mu.Lock()
	defer workers.mu.Unlock()
	workers.stops = append(workers.stops, worker.Incarnation)
	return 0, nil
}

func (*recordingWorkers) Throttle(context.Context, WorkerEntry, ThrottleOrder) (WorkerClock, error) {
	return 0, nil
}

func (*recordingWorkers) Poll(ctx context.Context, _ WorkerEntry, _ PollOrder) (Listing, error) {
	<-ctx.Done()
	return Listing{}, ctx.Err()
}

// inConnectedLoop runs a test with one connected worker on which one task is placed. Its start is the job's last
// function of after.
func inConnectedLoop(t *testing.T, test func(*testLoop, *recordingWorkers, *worker, *job)) {
	synctest.Test(t, func(t *testing.T) {
		orders := &recordingWorkers{}
		loop := newTestLoop(t, 1)
		loop.Workers, loop.LeaseDuration = orders, 5*time.Second
		known := loop.workers["w0000"]
		loop.connect(known, known.entry, 1, 0)
		known.settled = true
		job := loop.submit(1, workload.Step{
			Tasks: 1, Each: workload.Resources{Millicores: 1000, MemoryMiB: 100, Accelerators: 1}, Estimate: time.Second,
		})
		loop.plan()
		if len(known.runs) != 1 || len(job.after) != 1 {
			t.Fatalf("%d runs and %d starts after a plan, want one each", len(known.runs), len(job.after))
		}
		test(loop, orders, known, job)
		known.link.cancel()
		_ = loop.group.Wait()
	})
}

// secondLife lets the worker start anew.
func (test *testLoop) secondLife(worker *worker) {
	entry := worker.entry
	entry.Incarnation++
	test.beginLife(worker, entry)
}

// Guards against a start that a worker's next life carries out: the room there is free for others by then.
func TestStartIsForOneLife(t *testing.T) {
	inConnectedLoop(t, func(loop *testLoop, orders *recordingWorkers, known *worker, job *job) {
		job.after[0]()
		loop.secondLife(known)
		synctest.Wait()
		for _, life := range orders.starts {
			if life != 1 {
				t.Errorf("start is sent to life %d, want 1", life)
			}
		}
	})
}

// Guards against a start that is sent after its worker began a new life, when a listing may already have shown that
// nothing runs there.
func TestNoStartAfterNewLife(t *testing.T) {
	inConnectedLoop(t, func(loop *testLoop, orders *recordingWorkers, known *worker, job *job) {
		loop.secondLife(known)
		job.after[0]()
		synctest.Wait()
		if len(orders.starts) > 0 {
			t.Errorf("starts are sent to lives %v, want none", orders.starts)
		}
		task := job.record.Occurrences[0].Steps[0].Tasks[0]
		if len(known.runs) > 0 || task.Phase != progress.Waiting {
			t.Errorf("%d runs are left, task is %v; want none and waiting", len(known.runs), task.Phase)
		}
	})
}

// Guards against a run that goes on in a worker's next life after it was to stop: its start may have arrived there.
func TestStopFollowsNewLife(t *testing.T) {
	inConnectedLoop(t, func(loop *testLoop, orders *recordingWorkers, known *worker, job *job) {
		job.after[0]()
		synctest.Wait()
		loop.stopJob(job)
		synctest.Wait()
		loop.secondLife(known)
		synctest.Wait()
		if len(orders.stops) == 0 || orders.stops[len(orders.stops)-1] != 2 {
			t.Errorf("stops are sent to lives %v, want the last one to life 2", orders.stops)
		}
	})
}
