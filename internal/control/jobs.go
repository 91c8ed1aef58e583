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

// decodeJob reads the document of a job, which is stored under its id. Under another key it would replace the job with that
// id, whose tasks would start again.
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

// removeJob drops a job whose documents were deleted from the store.
func (loop *dispatcher) removeJob(id fleet.JobID) {
	delete(loop.jobs, id)
	delete(loop.openJobs, id)
	delete(loop.dirty, id)
}

func (loop *dispatcher) addJob(accepted workload.Job, revision keyvalue.Revision) {
	added := &job{Job: accepted, policy: accepted.Policy, record: progress.New(accepted)}
	added.status = ledger.StatusEntry{
		Status: ledger.Status{
			State: progress.Queued, Profile: accepted.Profile, Organisation: accepted.Organisation,
			Scheduled: accepted.Schedule.Count > 0,
		},
		// One transaction writes a job and its first status, so they have the same revision.
		Revision: revision,
	}
	if known, ok := loop.pendingStatuses[accepted.ID]; ok {
		added.status = known
		delete(loop.pendingStatuses, accepted.ID)
	}
	item, ok := loop.pendingRecords[accepted.ID]
	delete(loop.pendingRecords, accepted.ID)
	if !ok {
		loop.jobs[accepted.ID], loop.openJobs[accepted.ID] = added, added
		loop.arrivals.add(loop.clock(), added)
		loop.Logger.Info("job taken", "job", string(accepted.ID), "profile", string(accepted.Profile),
			"waited_ms", time.Since(accepted.Accepted).Milliseconds())
		return
	}
	record, err := ledger.Decode[progress.Record](item)
	if err != nil || !record.Matches(accepted) {
		// Without the record it is unknown which tasks have run, so no task of the job may start.
		loop.invalidRecords[accepted.ID] = true
		loop.Logger.Error("invalid record; no task of the job is started", "key", item.Key)
		return
	}
	loop.jobs[accepted.ID], loop.openJobs[accepted.ID] = added, added
	added.record, added.recordRevision = &record, item.Revision
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
			isolated: job.record.Crashes(job.Job, id).Suspected(),
		}
		loop.addRestored(restored, task.At)
	}
}

// observeStatuses applies changed statuses of jobs, among them cancellations.
func (loop *dispatcher) observeStatuses(changes []keyvalue.Change) {
	for _, change := range changes {
		id, ok := ledger.JobOfStatus(change.Key)
		if !ok || change.Deleted {
			continue
		}
		status, err := ledger.Decode[ledger.Status](change.Item)
		if err != nil {
			loop.Logger.Error("invalid status document ignored", "key", change.Key, "error", err.Error())
			continue
		}
		entry := ledger.StatusEntry{Status: status, Revision: change.Revision}
		job := loop.jobs[id]
		if job == nil {
			loop.pendingStatuses[id] = entry
			continue
		}
		loop.adoptStatus(job, entry)
	}
}

func (loop *dispatcher) adoptStatus(job *job, entry ledger.StatusEntry) {
	if entry.Revision <= job.status.Revision {
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
	for _, run := range loop.runsOf(job) {
		loop.stopRun(run, "job has ended")
	}
}

// runsOf returns the placed runs of a job that have not ended.
func (loop *dispatcher) runsOf(job *job) []*run {
	var runs []*run
	for id, task := range job.placed() {
		worker := loop.workers[task.At.Worker]
		if worker == nil {
			continue
		}
		if run := worker.runs[id]; run != nil {
			runs = append(runs, run)
		}
	}
	return runs
}
