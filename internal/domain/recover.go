package domain

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// foundAttempt is an attempt of a job, reconstructed from the job's record or from the labels (job, attempt, owner)
// that the workers report with the leases.
type foundAttempt struct {
	attempt    fleet.Attempt
	owner      string
	unrecorded bool
	gangSize   int
	members    []worker.Member
}

// startRecovery begins to determine whether an attempt of a job is running. The waiting times of tryRecover, which
// section 2.3 of the design defines, start now.
func (owner *owner) startRecovery(job *job) {
	owner.setPhase(job, phaseRecovering)
	job.recoveryStart = time.Now()
	job.pendingFinish = nil
	owner.setMembers(job, recordMembers(&job.record))
	owner.recovering[job.record.Key()] = true
}

// applyConflictingRecord replaces the state of a job by the record that another process wrote. The recovery of the job
// starts, or the job is removed from the owner's state if it has ended. A cancellation that the record does not contain
// is kept and written, because its caller may have been told that it is accepted.
func (owner *owner) applyConflictingRecord(job *job, record *Record, revision platform.StoreRevision) {
	owner.service.count("records_overtaken", 1)
	owner.logger.Warn("job record changed by another process", "job", record.Job, "organisation", record.Organisation,
		"attempt", record.Attempt, "state", record.State)
	owner.removeFromCore(job)
	owner.releaseLeases(job)
	delete(owner.unsaved, record.Key())
	delete(owner.awaitingStore, record.Key())
	job.uncertainWrites = make(map[string]bool)
	job.revision = revision
	cancelled := job.record.CancelRequested
	job.record = *record
	if record.State == StateEnded {
		owner.removeJob(job)
		return
	}
	owner.startRecovery(job)
	if cancelled && !record.CancelRequested {
		job.record.CancelRequested = true
		owner.saveLater(job)
	}
}

// releaseLeases stops renewing the leases of a job and adds them to the unmatched leases, which resolveUnmatched stops
// or matches to an attempt later.
func (owner *owner) releaseLeases(job *job) {
	owner.setPhase(job, phaseDone)
	for _, member := range job.members {
		endsBy, ok := owner.manager.EndsBy(member.Worker, member.Lease)
		if !ok {
			continue
		}
		owner.manager.TrackWithoutRenewal(member, endsBy)
		owner.addUnmatched(member.Worker, member.Lease, job.record.Key())
	}
}

// recoverAll tries to complete the recovery of each job in recovery.
func (owner *owner) recoverAll(now time.Time) {
	for key := range owner.recovering {
		job := owner.jobs[key]
		if job == nil || job.phase != phaseRecovering {
			delete(owner.recovering, key)
			continue
		}
		if owner.coreRemovalDone(job, now) {
			owner.tryRecover(job, now)
		}
	}
}

// tryRecover completes the recovery of a job if that is possible now. A complete running gang is adopted at once.
// Otherwise, the latest attempt is kept in recovery until the state of each member is certain: its worker has reported
// it, or the lease must have ended. If a member is still active, the recovery also waits until no command of a former
// owner can take effect, and the gang is then stopped. A job without an attempt is enqueued once the domain has
// settled.
func (owner *owner) tryRecover(job *job, now time.Time) {
	attempts := owner.findAttempts(job)
	for _, attempt := range attempts {
		if owner.isRunning(attempt) {
			owner.adoptGang(job, attempt)
			return
		}
	}
	settled := now.Sub(job.recoveryStart) >= owner.service.Timing.TakeoverDelay()
	if len(attempts) == 0 {
		if settled && owner.settled {
			delete(owner.recovering, job.record.Key())
			owner.enqueue(job)
		}
		return
	}
	latest := attempts[0]
	states, active, certain := owner.inspectMembers(job, latest, now)
	if !certain || active > 0 && !settled {
		return
	}
	delete(owner.recovering, job.record.Key())
	owner.setAttempt(job, latest)
	if active == 0 {
		owner.endRecoveredAttempt(job, states)
		return
	}
	for _, member := range latest.members {
		owner.manager.TrackWithoutRenewal(member, job.recoveryStart.Add(owner.service.Timing.MaxLeaseLifetime()))
	}
	owner.stopGang(job)
}

// findAttempts returns the attempts of a job that may be running, the latest first: the attempt in the record, and
// the unrecorded attempts that are named by the labels of leases.
func (owner *owner) findAttempts(job *job) []foundAttempt {
	var attempts []foundAttempt
	for _, lease := range owner.manager.LeasesOf(job.record.Key()) {
		attempt := fleet.Attempt(lease.Label.GetAttempt())
		if attempt < job.record.Attempt || !lease.Label.GetUnrecorded() {
			continue
		}
		attempts = addToAttempt(attempts, lease)
	}
	if job.record.State == StateStarting {
		attempts = append(attempts, foundAttempt{
			attempt:  job.record.Attempt,
			gangSize: len(job.record.Members),
			members:  recordMembers(&job.record),
		})
	}
	return latestFirst(attempts)
}

// addToAttempt adds a lease to the attempt that its label names.
func addToAttempt(attempts []foundAttempt, lease worker.Lease) []foundAttempt {
	label := lease.Label
	member := worker.Member{Worker: lease.Worker, Lease: lease.ID, Accelerators: lease.Accelerators}
	for i := range attempts {
		if attempts[i].attempt == fleet.Attempt(label.Attempt) && attempts[i].owner == label.Owner {
			attempts[i].members = append(attempts[i].members, member)
			return attempts
		}
	}
	return append(attempts, foundAttempt{
		attempt:    fleet.Attempt(label.Attempt),
		owner:      label.Owner,
		unrecorded: true,
		gangSize:   int(label.GangMembers),
		members:    []worker.Member{member},
	})
}

// latestFirst drops unrecorded attempts that the record now contains, and puts the latest attempt first.
func latestFirst(attempts []foundAttempt) []foundAttempt {
	var kept []foundAttempt
	for i, attempt := range attempts {
		if i < len(attempts)-1 && attempt.unrecorded && sharesLease(attempt, attempts[len(attempts)-1]) {
			continue
		}
		kept = append(kept, attempt)
	}
	for i := range kept {
		if kept[i].attempt > kept[0].attempt {
			kept[0], kept[i] = kept[i], kept[0]
		}
	}
	return kept
}

func sharesLease(a, b foundAttempt) bool {
	for _, left := range a.members {
		for _, right := range b.members {
			if left.Lease == right.Lease {
				return true
			}
		}
	}
	return false
}

// isRunning reports whether an attempt is a complete running gang: every member is running or has completed, and at
// least one member is running.
func (owner *owner) isRunning(attempt foundAttempt) bool {
	if len(attempt.members) != attempt.gangSize {
		return false
	}
	running := 0
	for _, member := range attempt.members {
		lease, _ := owner.manager.Lease(member.Worker, member.Lease)
		switch lease.State {
		case workerv1.TaskState_TASK_STATE_RUNNING, workerv1.TaskState_TASK_STATE_CHECKPOINTING:
			running++
		case workerv1.TaskState_TASK_STATE_COMPLETED:
		default:
			return false
		}
	}
	return running > 0
}

// inspectMembers returns the states of an attempt's members and the number of members that hold accelerators. certain
// is false while the current state of a member is unknown and its lease may still be active.
func (owner *owner) inspectMembers(
	job *job, attempt foundAttempt, now time.Time,
) (states []workerv1.TaskState, active int, certain bool) {
	timing := owner.service.Timing
	settledAt := job.recoveryStart.Add(timing.TakeoverDelay())
	certain = true
	for _, member := range attempt.members {
		lease, ok := owner.manager.Lease(member.Worker, member.Lease)
		state := workerv1.TaskState_TASK_STATE_UNSPECIFIED
		switch {
		case ok && !lease.Active():
			state = lease.State
		case ok && owner.manager.Reachable(member.Worker):
			state = lease.State
			active++
		case now.Sub(job.recoveryStart) >= timing.MaxLeaseLifetime():
		case !ok && owner.manager.SyncedSince(member.Worker, settledAt):
		default:
			certain = false
		}
		states = append(states, state)
	}
	return states, active, certain
}

// setAttempt makes a found attempt the current attempt of the job.
func (owner *owner) setAttempt(job *job, attempt foundAttempt) {
	job.record.Attempt = attempt.attempt
	job.record.State = StateStarting
	job.record.Members = nil
	for _, member := range attempt.members {
		job.record.Members = append(job.record.Members, RecordMember(member))
	}
	job.unrecorded = attempt.unrecorded
	job.missingLeases = make(map[fleet.LeaseID]bool)
	job.checkpointing, job.evictOnStart, job.attemptEnded = false, false, false
	job.startFailed, job.evictedFor = nil, ""
	owner.setMembers(job, attempt.members)
}

// adoptGang takes over a complete running gang.
func (owner *owner) adoptGang(job *job, attempt foundAttempt) {
	owner.setAttempt(job, attempt)
	delete(owner.recovering, job.record.Key())
	owner.manager.RenewGang(attempt.members, job.recoveryStart.Add(owner.service.Timing.MaxLeaseLifetime()))
	recovered := scheduler.GangRecovered{Job: job.record.schedulerJob(), Attempt: attempt.attempt}
	recovered.Job.Attempts = attempt.attempt - 1
	for _, member := range attempt.members {
		recovered.Members = append(recovered.Members,
			scheduler.Member{Worker: member.Worker, Accelerators: member.Accelerators})
	}
	owner.setPhase(job, phaseRunning)
	job.inCore = true
	job.coreAttempt = attempt.attempt
	job.record.Begun = attempt.attempt
	now := time.Now()
	owner.core.Apply(now, recovered)
	owner.service.count("gangs_recovered", 1)
	owner.logger.Info("gang recovered", "job", job.record.Job, "organisation", job.record.Organisation,
		"attempt", attempt.attempt, "members", len(attempt.members), "unrecorded", attempt.unrecorded)
	if attempt.unrecorded {
		owner.saveLater(job)
	}
	if job.record.CancelRequested {
		owner.core.Apply(now, scheduler.JobCancelled{Key: job.record.Key()})
	}
	owner.updateForeignOfMembers(job.members)
	owner.checkGang(job)
}

// endRecoveredAttempt ends or requeues a job after a found attempt that holds no accelerators any more. An attempt of a
// non-idempotent job counts as lost if no worker reports that a member ran but not every worker reports that the lease
// was released without a start.
func (owner *owner) endRecoveredAttempt(job *job, states []workerv1.TaskState) {
	ran, released := false, true
	for _, state := range states {
		switch state {
		case workerv1.TaskState_TASK_STATE_RELEASED:
		case workerv1.TaskState_TASK_STATE_UNSPECIFIED:
			released = false
		default:
			ran, released = true, false
		}
	}
	if ran || !released && !job.record.Profile.Idempotent {
		owner.attemptEnded(job, states)
		return
	}
	if !released {
		job.record.Begun = job.record.Attempt
	}
	job.record.State = StateQueued
	owner.enqueue(job)
	if !job.record.Profile.Idempotent {
		owner.saveLater(job)
	}
}
