package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// observeJobs adds accepted jobs and removes deleted ones.
func (loop *dispatcher) observeJobs(changes []keyvalue.Change) {
	for _, change := range changes {
		id := fleet.JobID(change.Key[len(ledger.JobPrefix):])
		if change.Deleted {
			loop.invalidJobs.Remove(change.Key)
			loop.removeJob(id)
			continue
		}
		if loop.jobs[id] != nil || loop.invalidRecords[id] {
			continue
		}
		accepted, err := decodeJob(id, change.Item)
		if err != nil {
			loop.invalidJobs.Reject(change.Key, err)
			continue
		}
		loop.invalidJobs.Accept(change.Key)
		loop.addJob(accepted, change.Revision)
	}
	loop.planNeeded = true
}

// decodeJob reads the document of a job, which is stored under its id. Under another key it would replace the job with
// that id, whose tasks would start again.
func decodeJob(id fleet.JobID, item keyvalue.Item) (workload.Job, error) {
	accepted, err := ledger.Decode[workload.Job](item)
	if err != nil {
		return accepted, err
	}
	if accepted.ID != id {
		return accepted, errors.Errorf("the document is that of job %.64q", accepted.ID)
	}
	return accepted, accepted.Check()
}

// removeJob drops a job whose documents were deleted from the store. No version of its record is stored any more. If
// the job has ended, the functions that wait for one are called: some of them allow the acknowledgement of ends.
func (loop *dispatcher) removeJob(id fleet.JobID) {
	job := loop.jobs[id]
	delete(loop.jobs, id)
	delete(loop.openJobs, id)
	delete(loop.dirty, id)
	delete(loop.unpublished, job)
	if job == nil || job.open() {
		return
	}
	onStored := job.onStored
	job.onStored = nil
	for _, after := range onStored {
		after()
	}
}

func (loop *dispatcher) addJob(accepted workload.Job, revision keyvalue.Revision) {
	added := &job{
		Job: accepted, criticalPath: accepted.CriticalPath(), footprint: progress.FootprintOf(accepted),
		policy: accepted.Policy, record: progress.New(accepted), runs: map[*run]bool{},
	}
	added.status = ledger.StatusEntry{
		Status: ledger.Status{
			State: progress.Queued, Profile: accepted.Profile, Organisation: accepted.Organisation,
			Scheduled: accepted.Schedule.Count > 0, Memory: ledger.MemoryOf(accepted),
		},
		// One transaction writes a job and its first status, so they have the same revision.
		Revision: revision,
	}
	if known, ok := loop.pendingStatuses[accepted.ID]; ok {
		delete(loop.pendingStatuses, accepted.ID)
		if known.State == unknownState {
			loop.replaceStatus(added, known.Revision)
		} else {
			added.status = known
		}
	}
	item, ok := loop.pendingRecords[accepted.ID]
	delete(loop.pendingRecords, accepted.ID)
	if !ok {
		loop.jobs[accepted.ID], loop.openJobs[accepted.ID] = added, added
		loop.headroom.add(loop.clock(), added)
		loop.Logger.Info("job taken", "job", string(accepted.ID), "profile", string(accepted.Profile),
			"waited_ms", time.Since(accepted.Accepted).Milliseconds())
		return
	}
	record, err := ledger.Decode[progress.Record](item)
	if err != nil || !record.Matches(accepted) {
		// Without the record it is unknown which tasks have run, so no task of the job may start.
		loop.invalidRecords[accepted.ID] = true
		delete(loop.dirty, accepted.ID)
		loop.Logger.Error("invalid record; no task of the job is started", "key", item.Key)
		return
	}
	loop.jobs[accepted.ID], loop.openJobs[accepted.ID] = added, added
	added.record, added.recordRevision = &record, item.Revision
	added.record.Restore(added.status.State)
	loop.publish(added)
	if record.State == progress.Queued && added.status.State == progress.Running {
		// An earlier version has stored that state with the first placement.
		loop.markDirty(added)
	}
	loop.restoreRuns(added)
	if !added.open() {
		loop.stopJob(added)
	}
}

// restoreRuns adds the runs of a job that a former controller placed. The first listing of each worker in this term
// shows which of its runs still exist.
func (loop *dispatcher) restoreRuns(job *job) {
	for id, task := range job.placed() {
		restored := &run{
			task: id, number: task.Run, job: job, need: job.Steps[id.Step].Need(), startedAt: loop.clock(),
			startSent: true, restored: true, listedAfter: loop.started - 1,
			isolated: job.record.Suspected(job.Job, id), seenEarlier: task.Crashes.Seen == task.Run,
		}
		loop.addRestored(restored, task.At)
	}
}

// observeStatuses applies changed statuses of jobs, among them cancellations.
func (loop *dispatcher) observeStatuses(changes []keyvalue.Change) {
	for _, change := range changes {
		id, ok := ledger.JobOfStatus(change.Key)
		if !ok {
			continue
		}
		if change.Deleted {
			loop.invalidStatuses.Remove(change.Key)
			continue
		}
		entry := loop.readStatus(change.Item)
		job := loop.jobs[id]
		if job == nil {
			if entry.Revision > loop.pendingStatuses[id].Revision {
				loop.pendingStatuses[id] = entry
			}
			continue
		}
		loop.adoptStatus(job, entry)
	}
}

// readStatus returns the status in an item, or one with unknownState.
func (loop *dispatcher) readStatus(item keyvalue.Item) ledger.StatusEntry {
	status, err := ledger.DecodeStatus(item)
	if err != nil {
		loop.invalidStatuses.Reject(item.Key, err)
		status = ledger.Status{State: unknownState}
	} else {
		loop.invalidStatuses.Accept(item.Key)
	}
	return ledger.StatusEntry{Status: status, Revision: item.Revision}
}

// unknownState is the state in a status document that cannot be read.
const unknownState progress.State = ""

// replaceStatus has the status of a job written again, because the document in the store cannot be read. Its revision
// is needed for that: with another one, each write would conflict and end the term.
func (loop *dispatcher) replaceStatus(job *job, revision keyvalue.Revision) {
	job.status.Revision = revision
	if !job.status.State.Terminal() {
		job.status.State = unknownState
		loop.markDirty(job)
	}
}

func (loop *dispatcher) adoptStatus(job *job, entry ledger.StatusEntry) {
	if entry.Revision <= job.status.Revision {
		return
	}
	if entry.State == unknownState {
		loop.replaceStatus(job, entry.Revision)
		return
	}
	job.status = entry
	if entry.State == progress.Cancelled {
		loop.Logger.Info("job cancelled", "job", string(job.ID), "status_revision", int64(entry.Revision))
		loop.stopJob(job)
	}
	loop.planNeeded = true
}

// stopJob stops every run of a job.
func (loop *dispatcher) stopJob(job *job) {
	for run := range job.runs {
		loop.stopRun(run, "job has ended")
	}
}
