package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// placeTasks submits a job with the given number of tasks and places them. It returns the job and the functions that are
// due once the placement is stored, which send the starts.
func (test *testLoop) placeTasks(count int) (*job, []func()) {
	job := test.submit(1, workload.Step{
		Tasks: count, Each: workload.Resources{Millicores: 1000, MemoryMiB: 100, Accelerators: 0}, LongRunning: true,
	})
	test.plan()
	due := job.onStored
	job.onStored = nil
	return job, due
}

// TestNoStartToNextIncarnationWhileItsLinkWaits guards against a start that is sent through the link of the former
// incarnation although another one has responded and its link waits for minRestartInterval. The deadline of the start is
// by the clock of the former incarnation and can be far ahead of the new clock, so that the lease does not end.
func TestNoStartToNextIncarnationWhileItsLinkWaits(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		job, due := loop.placeTasks(1)
		loop.restartedAt[worker.entry.ID] = loop.clock()
		loop.handlePollResponse(worker.link, loop.clock(), Listing{Incarnation: 2, Clock: 1})
		if _, waits := loop.restarts[worker.entry.ID]; !waits {
			t.Fatal("the link of the next incarnation does not wait")
		}
		for _, send := range due {
			send()
		}
		loop.pump(100 * time.Millisecond)
		if len(fake.running) > 0 || job.record.Occurrences[0].Steps[0].Tasks[0].Phase == progress.Placed {
			t.Errorf("the next incarnation runs %v, and the task is %v; want no start and the task waiting", fake.running,
				job.record.Occurrences[0].Steps[0].Tasks[0].Phase)
		}
	})
}

// TestNoStartWhileEntryIsContested guards against a placed task that starts on a worker after an entry was put off which
// says that the worker has restarted and drains.
func TestNoStartWhileEntryIsContested(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		_, due := loop.placeTasks(1)
		entry := worker.entry
		entry.Incarnation++
		entry.Draining, entry.Remaining = true, 8*time.Second
		loop.observeWorker(entry)
		if _, contested := loop.contested[entry.ID]; !contested {
			t.Fatal("the entry was not put off")
		}
		for _, send := range due {
			send()
		}
		loop.pump(100 * time.Millisecond)
		if len(fake.running) > 0 {
			t.Errorf("the worker runs %v, want no start", fake.running)
		}
	})
}

// TestUnstoredEndAfterRemoval guards against the acknowledgement of an end that is not stored, because its worker was
// removed, is listed again in the same incarnation and lists the end again. The next controller would start its task
// again.
func TestUnstoredEndAfterRemoval(t *testing.T) {
	withPlacedTask(t, func(loop *testLoop, _ *recordingWorkers, worker *worker, job *job) {
		job.onStored = nil
		ends := []RunEnd{{Number: 1, Task: workload.TaskID{Job: job.ID}, Run: 1, How: progress.RunDone}}
		loop.processEnds(worker, ends)
		entry := worker.entry
		loop.markUnlisted(entry.ID)
		worker.unresponsive = true
		loop.sweep()
		loop.observeWorker(entry)
		returned := loop.workers[entry.ID]
		loop.processEnds(returned, ends)
		if returned.acknowledgeable() != 0 {
			t.Errorf("ends up to %d can be acknowledged before they are stored, want none", returned.acknowledgeable())
		}
		returned.link.cancel()
	})
}

// silencedWorker answers no poll while silent is set.
type silencedWorker struct {
	*fakeWorker
	silent atomic.Bool
}

func (worker *silencedWorker) Poll(ctx context.Context, entry WorkerEntry, order PollOrder) (Listing, error) {
	if worker.silent.Load() {
		return Listing{}, errors.New("connection refused")
	}
	return worker.fakeWorker.Poll(ctx, entry, order)
}

// TestRunsOfWorkerThatRestartsAgainAndAgain guards against runs that are never given up, because the worker does not
// answer and each of its entries names a later incarnation.
func TestRunsOfWorkerThatRestartsAgainAndAgain(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		loop.FormerLeaseLimit = 8 * time.Second
		silenced := &silencedWorker{fakeWorker: fake}
		loop.Workers = silenced
		loop.startTasks(1)
		loop.pump(time.Second)
		silenced.silent.Store(true)
		for range 20 {
			loop.pump(2 * time.Second)
			entry := worker.entry
			entry.Incarnation++
			entry.ReadAt = time.Now()
			loop.observeWorker(entry)
		}
		if len(worker.runs) > 0 {
			t.Errorf("%d runs are placed on a worker that has not answered for 40 s, want none", len(worker.runs))
		}
	})
}

// TestReportOfContestedEntryIsAsOldAsItWasRead guards against starts by a capacity that is no longer known, because the
// entry of the worker was put off for longer than MaxReportAge.
func TestReportOfContestedEntryIsAsOldAsItWasRead(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		loop.MaxReportAge = 3 * time.Second
		entry := worker.entry
		entry.Address, entry.Revision, entry.ReadAt = "other", 9, time.Now()
		loop.observeWorker(entry)
		loop.pump(10 * time.Second)
		if _, contested := loop.contested[entry.ID]; !contested {
			t.Fatal("the entry was not put off")
		}
		worker.unresponsive = true
		loop.sweep()
		if worker.link.entry.Address != "other" {
			t.Fatal("the entry was not followed")
		}
		if loop.capacityKnown(worker) {
			t.Error("the capacity counts as known by a report that was read 10 s ago, want unknown after 3 s")
		}
	})
}

// TestNoStartAttemptWhileLinkWaits guards against a further attempt of a start that reaches the next incarnation of its
// worker with a deadline by the clock of the former one, while the replacement of the link waits.
func TestNoStartAttemptWhileLinkWaits(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		fake.set(func() { fake.loseStarts, fake.lateStart = true, time.Hour })
		loop.startTasks(1)
		loop.pump(100 * time.Millisecond)
		loop.restartedAt[worker.entry.ID] = loop.clock()
		loop.handlePollResponse(worker.link, loop.clock(), Listing{Incarnation: 2, Clock: 1})
		fake.set(func() { fake.loseStarts = false })
		loop.pump(900 * time.Millisecond)
		if len(fake.running) > 0 {
			t.Errorf("the next incarnation runs %v, want no start", fake.running)
		}
	})
}

// TestStopsAndRunsAfterLinkWaited guards against runs that are left on a worker, or whose end is not noticed, because the
// worker restarted while their job was being cancelled and the replacement of its link waited.
func TestStopsAndRunsAfterLinkWaited(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		job := loop.startTasks(3)
		loop.pump(time.Second)
		fake.set(func() { fake.refuseStops = true })
		loop.stopJob(job)
		loop.pump(100 * time.Millisecond)
		loop.restartedAt[worker.entry.ID] = loop.clock()
		loop.handlePollResponse(worker.link, loop.clock(), Listing{Incarnation: 2, Clock: 1})
		fake.set(func() { fake.refuseStops = false })
		loop.pump(3500 * time.Millisecond)
		if len(fake.running) > 0 || len(worker.runs) > 0 || worker.link.entry.Incarnation != 2 {
			t.Errorf("the worker runs %v, %d runs are placed there, and its incarnation is %d; want none and 2", fake.running,
				len(worker.runs), worker.link.entry.Incarnation)
		}
	})
}

// TestDrainingWorkerWithContestedEntry guards against starts and a missing evacuation on an idle worker that restarts and
// drains while the replacement of its link waits.
func TestDrainingWorkerWithContestedEntry(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		loop.restartedAt[worker.entry.ID] = loop.clock()
		loop.handlePollResponse(worker.link, loop.clock(), Listing{Incarnation: 2, Clock: 1})
		entry := worker.entry
		entry.Incarnation, entry.Draining, entry.Remaining, entry.ReadAt = 2, true, 8*time.Second, time.Now()
		loop.observeWorker(entry)
		loop.pump(2 * time.Second)
		if !worker.entry.Draining || !worker.listed || worker.link.entry.Incarnation != 2 {
			t.Errorf("2 s after its entry the worker drains: %t, is listed: %t, and has incarnation %d; want true, true, 2",
				worker.entry.Draining, worker.listed, worker.link.entry.Incarnation)
		}
	})
}

// TestEntryOfIdleWorkerIsFollowedSoon guards against a worker that gets no task for long after it comes back under a new
// incarnation or address, because its entry was put off or the pauses between polls have grown.
func TestEntryOfIdleWorkerIsFollowedSoon(t *testing.T) {
	for _, change := range []func(*WorkerEntry){
		func(entry *WorkerEntry) { entry.Incarnation++ },
		func(entry *WorkerEntry) { entry.Address = "other" },
	} {
		withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
			silenced := &silencedWorker{fakeWorker: fake}
			loop.Workers = silenced
			silenced.silent.Store(true)
			worker.link.check()
			loop.pump(10 * time.Second)
			silenced.silent.Store(false)
			entry := worker.entry
			change(&entry)
			entry.ReadAt = time.Now()
			loop.observeWorker(entry)
			loop.pump(1500 * time.Millisecond)
			if !worker.usable(loop.clock()) {
				t.Error("the worker is not usable 1.5 s after its entry, want usable")
			}
		})
	}
}

// TestRestoredRunKeepsItsLease guards against the loss of a sound run of a former controller, because the clock of its
// worker is not known before the first response.
func TestRestoredRunKeepsItsLease(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		loop.startTasks(1)
		loop.pump(time.Second)
		loop.restorePlaced(worker)
		fake.set(func() {
			fake.began = fake.began.Add(-time.Hour)
			fake.leaseUntil = fake.clock() + WorkerClock(500*time.Millisecond)
		})
		loop.term.Clock = loop.Clock
		entry := worker.entry
		entry.ReadAt = time.Now()
		loop.observeWorker(entry)
		loop.pump(10 * time.Second)
		if len(fake.running) != 1 || len(worker.runs) != 1 {
			t.Errorf("the worker runs %v, and %d runs are placed there; want one", fake.running, len(worker.runs))
		}
	})
}

// TestUnexpectedRunOnRestartedWorker guards against a worker that stays out of use, and a task that never starts again,
// because the worker restarted while it refused the stop of an unexpected run.
func TestUnexpectedRunOnRestartedWorker(t *testing.T) {
	for _, silent := range []bool{false, true} {
		withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
			job := loop.startTasks(1)
			loop.pump(time.Second)
			fake.set(func() { fake.refuseStops = true })
			loop.loseTrack(worker, job)
			loop.pump(3 * time.Second)
			if len(worker.unexpected) != 1 {
				t.Fatalf("%d unexpected runs, want 1", len(worker.unexpected))
			}
			fake.set(func() { fake.running, fake.ends, fake.refuseStops = nil, nil, false })
			worker.unresponsive = silent
			entry := worker.entry
			entry.Incarnation, entry.ReadAt = entry.Incarnation+1, time.Now()
			loop.observeWorker(entry)
			loop.pump(time.Second)
			if !silent {
				loop.handlePollResponse(worker.link, loop.clock(), Listing{Incarnation: entry.Incarnation, Clock: 1})
			}
			loop.pump(1500 * time.Millisecond)
			if len(worker.unexpected) > 0 || len(loop.unexpectedRuns) > 0 || !worker.usable(loop.clock()) {
				t.Errorf("silent: %t: %d unexpected runs, %d of tasks, worker is usable: %t; want 0, 0, true", silent,
					len(worker.unexpected), len(loop.unexpectedRuns), worker.usable(loop.clock()))
			}
		})
	}
}

// TestWithheldEndAtNextAddress guards against the acknowledgement of a withheld end through the link to another address
// of the same incarnation, and against one that is withheld in the next incarnation, whose ends have other numbers.
func TestWithheldEndAtNextAddress(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
			worker.lastEnd = 1
			worker.withhold(1)
			worker.unresponsive = true
			entry := worker.entry
			entry.Address, entry.ReadAt = "other", time.Now()
			if restarted {
				entry.Incarnation++
			}
			loop.observeWorker(entry)
			if acknowledgeable := worker.acknowledgeable(); acknowledgeable != 0 || len(worker.withheldEnds) > 0 == restarted {
				t.Errorf("restarted: %t: ends up to %d can be acknowledged and %d are withheld", restarted, acknowledgeable,
					len(worker.withheldEnds))
			}
		})
	}
}

// TestClaimOnRemovedWorker guards against starts beyond the capacity of a worker that was removed and is listed again
// before the next plan, because the drop of a claim frees capacity there that was reserved on the former state.
func TestClaimOnRemovedWorker(t *testing.T) {
	withFakeWorker(t, func(loop *testLoop, fake *fakeWorker, worker *worker) {
		each := workload.Resources{Accelerators: 8}
		loop.claims[workload.TaskID{Job: "claiming"}] = &claim{places: []fleet.WorkerID{worker.entry.ID}, each: each}
		worker.reserved = each
		loop.markUnlisted(worker.entry.ID)
		worker.unresponsive = true
		loop.sweep()
		loop.observeWorker(worker.entry)
		loop.plan()
		returned := loop.workers[worker.entry.ID]
		if returned == worker || returned.reserved != (workload.Resources{}) {
			t.Errorf("%v is reserved on the worker that was removed and is back, want nothing", returned.reserved)
		}
		returned.link.cancel()
	})
}
