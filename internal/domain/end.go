package domain

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// finishJob ends a job by the decision of the core. A gang that still holds accelerators is stopped first. If the owner
// has removed the job from the core, the decision only confirms the removal.
func (owner *owner) finishJob(decision scheduler.Finish) {
	job := owner.jobs[decision.Key]
	if job == nil {
		return
	}
	if !job.coreRemovalAt.IsZero() {
		job.coreRemovalAt = time.Time{}
		return
	}
	if !job.inCore {
		return
	}
	job.pendingFinish = &decision
	switch job.phase {
	case phaseStarting:
		job.evictOnStart = true
	case phaseRunning:
		owner.stopGang(job)
	case phaseQueued:
		job.inCore = false
		owner.endJob(job, decision.Verdict, decision.Kind, decision.Reason)
	}
}

// outcome returns the outcome that callers see, given the scheduler's verdict on the job and the results of the job's
// attempts.
func (job *job) outcome(verdict scheduler.Verdict) callerv1.Outcome {
	// An earlier owner may have started an idempotent job without a record of the attempt.
	neverRan := job.record.Begun == 0 && !(job.takenOver && job.record.Profile.Idempotent)
	completed := job.attemptEnded && job.attemptResult == scheduler.EndCompleted
	switch {
	case completed:
		return callerv1.Outcome_OUTCOME_COMPLETED
	case verdict == scheduler.VerdictCancelled:
		return callerv1.Outcome_OUTCOME_CANCELLED
	case verdict == scheduler.VerdictFailed && job.memberFailed:
		return callerv1.Outcome_OUTCOME_FAILED
	case verdict != scheduler.VerdictCompleted && neverRan:
		return callerv1.Outcome_OUTCOME_NOT_RUN
	default:
		return callerv1.Outcome_OUTCOME_UNKNOWN
	}
}

// endJob makes the outcome of a job final and writes it to the store.
func (owner *owner) endJob(job *job, verdict scheduler.Verdict, kind fault.Kind, reason string) {
	record := &job.record
	outcome := job.outcome(verdict)
	record.State = StateEnded
	record.Outcome = outcome.String()
	record.Kind = kind
	record.Reason = reason
	record.Ended = time.Now().UTC()
	owner.setPhase(job, phaseDone)
	job.inCore = false
	owner.countEnd(record, outcome)
	owner.logger.Info("job ended", "job", record.Job, "organisation", record.Organisation,
		"attempt", record.Attempt, "outcome", outcomeName(outcome), "kind", kind, "reason", reason)
	owner.saveLater(job)
}

// endUnrepeatable ends a non-idempotent job whose last attempt may have run and cannot be resumed.
func (owner *owner) endUnrepeatable(job *job) {
	if job.memberFailed {
		owner.endJob(job, scheduler.VerdictFailed, fault.TargetFailed, "a member failed, and the job is not idempotent")
		return
	}
	owner.endJob(job, scheduler.VerdictUnknown, fault.AnswerLost,
		"an attempt may have run, its end is not known, and the job is not idempotent")
}

// endOrRequeue ends or requeues a job after an attempt. It handles jobs that are not in the core, about which the core
// makes no decisions.
func (owner *owner) endOrRequeue(job *job, result scheduler.EndResult) {
	switch {
	case result == scheduler.EndCompleted:
		owner.endJob(job, scheduler.VerdictCompleted, "", "")
	case job.record.CancelRequested:
		owner.endJob(job, scheduler.VerdictCancelled, "", "cancelled")
	case !job.record.mayRunAgain():
		owner.endUnrepeatable(job)
	default:
		owner.enqueue(job)
		if !job.record.Profile.Idempotent || result == scheduler.EndCheckpointed {
			owner.saveLater(job)
		}
	}
}

// removeEndedJob removes a job whose end is in the store from the owner's state, and acknowledges the ends of its
// leases to the workers.
func (owner *owner) removeEndedJob(job *job) {
	for _, lease := range owner.manager.LeasesOf(job.record.Key()) {
		owner.manager.Forget(lease.Worker, lease.ID)
	}
	for _, member := range append(job.previousMembers, job.members...) {
		owner.manager.Forget(member.Worker, member.Lease)
	}
	owner.removeJob(job)
}

// cancel records a cancellation and passes it to the core. It reports false if the job is not in this owner's state. It
// calls done once the write of the cancellation or of the job's end has succeeded or failed other than by a conflict.
func (owner *owner) cancel(key fleet.JobKey, done func()) bool {
	job := owner.jobs[key]
	if job == nil {
		return false
	}
	repeated := job.record.CancelRequested || job.phase == phaseDone
	if repeated && !job.saving && !owner.unsaved[key] {
		done()
		return true
	}
	job.saveCallbacks = append(job.saveCallbacks, owner.cancellationSaved(job, done))
	if repeated {
		return true
	}
	job.record.CancelRequested = true
	owner.service.count("cancellations", 1)
	switch {
	case job.phase == phaseAwaitingStore:
		delete(owner.awaitingStore, key)
		owner.endJob(job, scheduler.VerdictCancelled, "", "cancelled")
	case job.phase == phaseQueued && owner.settled:
		owner.core.Apply(time.Now(), scheduler.JobCancelled{Key: key})
		owner.saveLater(job)
	default:
		// The cancellation is written first. Otherwise, a new owner that finds the gang stopped could start it again.
		owner.save(job, func(saveResult) {
			if job.inCore {
				owner.core.Apply(time.Now(), scheduler.JobCancelled{Key: key})
			}
		})
	}
	return true
}

// cancellationSaved returns a callback that calls done after a write that contains the cancellation of a job. If the
// write conflicted with that of another process, the cancellation is written again first.
func (owner *owner) cancellationSaved(job *job, done func()) func(saveResult) {
	return func(result saveResult) {
		if result.conflicting != nil && owner.jobs[job.record.Key()] == job {
			owner.save(job, owner.cancellationSaved(job, done))
			return
		}
		done()
	}
}

func outcomeName(outcome callerv1.Outcome) string {
	name := outcome.String()
	return name[len("OUTCOME_"):]
}
