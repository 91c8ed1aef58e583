package control

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// smallTask is a step with tasks that run until they are stopped.
func smallTask(count int) workload.Step {
	return workload.Step{
		Tasks: count, Each: workload.Resources{Millicores: 50, MemoryMiB: 100}, LongRunning: true,
	}
}

// sendStored sends the orders that wait for the job's record.
func sendStored(job *job) {
	send := job.onStored
	job.onStored = nil
	for _, order := range send {
		order()
	}
}

// TestEndedRunsDelayNoStop guards against runs that have ended while their stops were refused, and that then take the
// turns of the stops that are still needed.
func TestEndedRunsDelayNoStop(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		ending, cancelled := loop.submit(1, smallTask(400)), loop.submit(1, smallTask(1))
		loop.submit(1, smallTask(1))
		loop.plan()
		for _, job := range loop.jobs {
			sendStored(job)
		}
		loop.pump(time.Second)
		if len(fake.runningNow()) != 402 {
			t.Fatalf("%d runs are at work, want 402", len(fake.runningNow()))
		}
		fake.set(func() { fake.refuseStops = true })
		loop.stopJob(ending)
		loop.pump(3 * time.Second)
		fake.set(func() {
			for index := range 400 {
				fake.end(runID{workload.TaskID{Job: ending.ID, Index: index}, 1}, progress.RunFailed)
			}
		})
		loop.pump(2 * time.Second)
		if len(worker.runs) != 2 {
			t.Fatalf("%d runs are placed, want the 2 that have not ended", len(worker.runs))
		}
		fake.set(func() { fake.refuseStops = false })
		before := fake.stopCount()
		loop.stopJob(cancelled)
		loop.pump(3900 * time.Millisecond)
		for _, id := range fake.runningNow() {
			if id.task.Job == cancelled.ID {
				t.Errorf(
					"the run goes on 3.9 s after its job was cancelled; %d stops reached the worker, which accepts them",
					fake.stopCount()-before)
			}
		}
	})
}

// neverStarting is a worker that loses each start, so that the start is never carried out.
type neverStarting struct{ *fakeWorker }

func (neverStarting) Start(ctx context.Context, _ WorkerEntry, _ StartOrder) (WorkerClock, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestLostStartEndsWithItsDeadline guards against a task that stays placed for as long as a worker refuses the stop of
// a start which had no answer. Once the worker's clock is past the deadline of the last attempt, it refuses the start.
func TestLostStartEndsWithItsDeadline(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		loop.Workers = neverStarting{fake}
		fake.set(func() { fake.refuseStops = true })
		job := loop.startTasks(1)
		loop.pump(30 * time.Second)
		if task := job.record.Occurrences[0].Steps[0].Tasks[0]; task.Phase != progress.Waiting || len(worker.runs) > 0 {
			t.Errorf(
				"30 s after a start with a deadline of 5 s, the task is %q, and %d runs are placed but none listed",
				task.Phase, len(worker.runs))
		}
	})
}

// submitSteps adds an accepted job of several steps.
func (test *testLoop) submitSteps(steps ...workload.Step) *job {
	job := test.submit(1, steps[0])
	accepted := job.Job
	accepted.Steps = steps
	test.removeJob(job.ID)
	test.addJob(accepted, 1)
	return test.dispatcher.jobs[job.ID]
}

// steadyWorker lists steady progress for all its runs, so that they do not count as slow.
type steadyWorker struct{ *fakeWorker }

func (worker steadyWorker) Poll(ctx context.Context, entry WorkerEntry, order PollOrder) (Listing, error) {
	listing, err := worker.fakeWorker.Poll(ctx, entry, order)
	for i := range listing.Running {
		listing.Running[i].Percent = int(time.Since(worker.began) * 100 / time.Minute)
	}
	return listing, err
}

// TestCancelledGangIsStoppedAfterOneMemberIsDone guards against a run of a cancelled job that goes on because another
// member of its gang was done, after which no task of the gang counts as placed.
func TestCancelledGangIsStoppedAfterOneMemberIsDone(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		gang := workload.Step{
			Tasks: 2, Each: workload.Resources{Millicores: 500, MemoryMiB: 100}, Gang: true, Estimate: time.Minute,
		}
		loop.Workers = steadyWorker{fake}
		last := smallTask(1)
		last.After = []int{0}
		job := loop.submitSteps(gang, last)
		loop.plan()
		sendStored(job)
		loop.pump(time.Second)
		if len(fake.runningNow()) != 2 {
			t.Fatalf("%d runs are at work, want 2", len(fake.runningNow()))
		}
		fake.set(func() { fake.end(runID{workload.TaskID{Job: job.ID}, 1}, progress.RunDone) })
		loop.pump(time.Second)
		loop.stopJob(job)
		loop.pump(6 * time.Second)
		if len(fake.runningNow()) > 0 {
			t.Errorf("6 s after its job was stopped, the worker runs %v, and %d stops arrived",
				fake.runningNow(), fake.stopCount())
		}
	})
}

// TestLateEndThatFailsJobStopsItsRuns guards against runs of a failed job that go on because the end that made it fail
// was listed after its run was given up.
func TestLateEndThatFailsJobStopsItsRuns(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		step := smallTask(2)
		step.LongRunning, step.Estimate = false, time.Minute
		loop.Workers = steadyWorker{fake}
		job := loop.submit(1, step)
		job.policy.MaxAttempts = 1
		loop.plan()
		sendStored(job)
		loop.pump(time.Second)
		fake.set(func() { fake.refuseStops = true })
		lost := workload.TaskID{Job: job.ID}
		loop.endRun(worker.runs[lost], progress.RunLost, "", "test")
		loop.pump(time.Second)
		fake.set(func() {
			fake.refuseStops = false
			fake.end(runID{lost, 1}, progress.RunFailed)
		})
		loop.pump(4 * time.Second)
		if job.record.State != progress.Failed {
			t.Fatalf("the job is %v, want failed", job.record.State)
		}
		if len(fake.runningNow()) > 0 {
			t.Errorf("4 s after the job failed, the worker runs %v", fake.runningNow())
		}
	})
}

// restartedWorker answers stops as its next incarnation does, whose clock starts anew, and no poll.
type restartedWorker struct {
	*fakeWorker
	restarted atomic.Bool
}

func (worker *restartedWorker) Stop(ctx context.Context, entry WorkerEntry, order StopOrder) (WorkerClock, error) {
	if !worker.restarted.Load() {
		return worker.fakeWorker.Stop(ctx, entry, order)
	}
	return WorkerClock(100 * time.Millisecond), nil
}

func (worker *restartedWorker) Poll(ctx context.Context, entry WorkerEntry, order PollOrder) (Listing, error) {
	// A poll that is open when the worker crashes fails too.
	if listing, err := worker.fakeWorker.Poll(ctx, entry, order); !worker.restarted.Load() {
		return listing, err
	}
	return Listing{}, errors.New("connection refused")
}

// TestStopConfirmedByNextIncarnationKeepsLeaseEnd guards against the clock of a restarted worker, taken from the answer
// to a stop, which moves the end of the leases granted to the former incarnation out by its whole uptime.
func TestStopConfirmedByNextIncarnationKeepsLeaseEnd(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		restarting := &restartedWorker{fakeWorker: fake}
		loop.Workers = restarting
		job := loop.submit(1, smallTask(1))
		loop.plan()
		sendStored(job)
		loop.pump(10 * time.Minute)
		restarting.restarted.Store(true)
		loop.stopJob(job)
		loop.pump(30 * time.Second)
		if len(worker.runs) > 0 {
			t.Errorf("%d runs are placed 30 s after the worker ceased to respond, with leases of 5 s", len(worker.runs))
		}
	})
}

// switchedWorker loses starts, or fails polls, while the flags are set.
type switchedWorker struct {
	*fakeWorker
	loseStart, failPolls atomic.Bool
}

func (worker *switchedWorker) Start(ctx context.Context, entry WorkerEntry, order StartOrder) (WorkerClock, error) {
	if worker.loseStart.Load() {
		return neverStarting{}.Start(ctx, entry, order)
	}
	return worker.fakeWorker.Start(ctx, entry, order)
}

func (worker *switchedWorker) Poll(ctx context.Context, entry WorkerEntry, order PollOrder) (Listing, error) {
	if listing, err := worker.fakeWorker.Poll(ctx, entry, order); !worker.failPolls.Load() {
		return listing, err
	}
	return Listing{}, &RefusalError{Reason: RefusedUnhealthy}
}

// TestNoStartAfterItsRunHasEnded guards against a start after its run has expired: polls grant no lease while all runs
// are stopping, so that one failed poll between sendStart and the grant of the lease of the start is enough.
func TestNoStartAfterItsRunHasEnded(t *testing.T) {
	// One processor lets the loop end the run before the goroutine starts, as on a busy VM.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		switched := &switchedWorker{fakeWorker: fake}
		switched.loseStart.Store(true)
		loop.Workers = switched
		fake.set(func() { fake.refuseStops = true })
		loop.startTasks(1)
		loop.pump(10 * time.Second)
		job := loop.submit(1, smallTask(1))
		loop.plan()
		switched.loseStart.Store(false)
		switched.failPolls.Store(true)
		for range 20 {
			loop.pump(50 * time.Millisecond)
			if worker.unresponsive {
				break
			}
		}
		placed := worker.runs[workload.TaskID{Job: job.ID}]
		if placed == nil {
			t.Fatal("the run ended before its record was stored")
		}
		sendStored(job)
		loop.sweep()
		ended := placed.ended.Load()
		loop.pump(time.Second)
		if ended && len(fake.runningNow()) > 0 {
			t.Errorf("the worker runs %v, but the task is %q and may start elsewhere", fake.runningNow(),
				job.record.Occurrences[0].Steps[0].Tasks[0].Phase)
		}
	})
}

// TestNoStartAttemptAfterOrderToStop guards against further attempts to start a run once it is to be stopped: with its
// stop refused, they start a task of a cancelled job.
func TestNoStartAttemptAfterOrderToStop(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, _ *worker) {
		switched := &switchedWorker{fakeWorker: fake}
		switched.loseStart.Store(true)
		loop.Workers = switched
		fake.set(func() { fake.refuseStops = true })
		job := loop.startTasks(1)
		loop.pump(100 * time.Millisecond)
		loop.stopJob(job)
		switched.loseStart.Store(false)
		loop.pump(time.Second)
		if len(fake.runningNow()) > 0 {
			t.Errorf("the worker runs %v, whose start was sent again after its job was stopped", fake.runningNow())
		}
	})
}
