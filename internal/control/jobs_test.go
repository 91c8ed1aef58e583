package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const testJobID fleet.JobID = "0000000000000001"

func statusChange(state progress.State, revision keyvalue.Revision) []keyvalue.Change {
	return []keyvalue.Change{{Item: keyvalue.Item{
		Key: ledger.StatusKey(testJobID), Value: ledger.Encode(ledger.Status{State: state}), Revision: revision,
	}}}
}

// TestCancellationBeforeJob guards against tasks that start although their job was cancelled, because the cancellation
// arrived before the job or before an older status of it.
func TestCancellationBeforeJob(t *testing.T) {
	running, cancelled := statusChange(progress.Running, 5), statusChange(progress.Cancelled, 9)
	tests := []struct {
		name         string
		before, then [][]keyvalue.Change
	}{
		{"before the job", [][]keyvalue.Change{running, cancelled}, nil},
		{"before an older status and the job", [][]keyvalue.Change{cancelled, running}, nil},
		{"after the job", nil, [][]keyvalue.Change{running, cancelled}},
		{"after the job, before an older status", nil, [][]keyvalue.Change{cancelled, running}},
		{"before the job, older status after it", [][]keyvalue.Change{cancelled}, [][]keyvalue.Change{running}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			for _, changes := range test.before {
				loop.observeStatuses(changes)
			}
			job := loop.submit(1, workload.Step{Tasks: 1, Estimate: time.Second})
			for _, changes := range test.then {
				loop.observeStatuses(changes)
			}
			loop.plan()
			if job.open() || placedTasks(job) > 0 {
				t.Errorf("job is open: %t, with %d placed tasks", job.open(), placedTasks(job))
			}
		})
	}
}

// removalStore returns err for each transaction and counts them.
type removalStore struct {
	keyvalue.Store
	err     error
	commits int
}

func (store *removalStore) Commit(context.Context, keyvalue.Txn) (keyvalue.Revision, error) {
	store.commits++
	return 1, store.err
}

// TestRemovalWithoutResponse guards against an ended job whose tasks are placed again, because the removal of its
// documents failed and they are listed again. It also guards against documents that stay until the next term.
func TestRemovalWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &removalStore{err: keyvalue.ErrNoAnswer}
		loop, began := newTestLoop(t, 1), time.Now()
		loop.Store, loop.Retention, loop.Clock = store, time.Minute, func() time.Duration { return time.Since(began) }
		job := loop.submit(1, workload.Step{
			Tasks: 1, Each: workload.Resources{Millicores: 1}, MaxPerWorker: 1, Estimate: time.Second,
		})
		document := keyvalue.Change{Item: keyvalue.Item{
			Key: ledger.JobKey(job.ID), Value: ledger.Encode(job.Job), Revision: 1,
		}}
		loop.observeStatuses(statusChange(progress.Cancelled, 2))
		for range 3 {
			time.Sleep(2 * expiryInterval)
			loop.sweep()
			synctest.Wait()
			loop.handleEvents()
			loop.observeJobs([]keyvalue.Change{document})
			loop.plan()
		}
		if again := loop.jobs[job.ID]; again != nil && placedTasks(again) > 0 {
			t.Error("task of the ended job is placed")
		}
		store.err = nil
		time.Sleep(2 * expiryInterval)
		loop.sweep()
		synctest.Wait()
		loop.handleEvents()
		if loop.jobs[job.ID] != nil || store.commits < 2 {
			t.Errorf("job is kept: %t, after %d transactions; want it removed by a later one",
				loop.jobs[job.ID] != nil, store.commits)
		}
		_ = loop.group.Wait()
	})
}

// TestEndOfRemovedJobIsAcknowledged guards against a worker whose ends are no longer acknowledged, because a job was
// removed between the end of its last run and the write of its record.
func TestEndOfRemovedJobIsAcknowledged(t *testing.T) {
	for _, err := range []error{nil, keyvalue.ErrNoAnswer} {
		withPlacedTask(t, func(loop *testLoop, _ *recordingWorkers, worker *worker, job *job) {
			synctest.Wait()
			loop.Store, loop.Retention, loop.now = &removalStore{err: err}, time.Minute, 2*expiryInterval
			job.onStored = nil
			loop.observeStatuses(statusChange(progress.Cancelled, 2))
			loop.processEnds(worker, []RunEnd{
				{Number: 1, Task: workload.TaskID{Job: job.ID}, Run: 1, How: progress.RunStopped},
			})
			loop.sweep()
			synctest.Wait()
			loop.observeJobs([]keyvalue.Change{{Item: keyvalue.Item{Key: ledger.JobKey(job.ID)}, Deleted: true}})
			loop.handleEvents()
			if loop.jobs[job.ID] != nil || worker.acknowledgeable() != 1 {
				t.Errorf("outcome of the removal %v: job is kept: %t, ends up to %d can be acknowledged; want 1", err,
					loop.jobs[job.ID] != nil, worker.acknowledgeable())
			}
		})
	}
}
