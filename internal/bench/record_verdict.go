package bench

import (
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// finish records a verdict, the final decision about a job. It records a violation if the job's history does not permit
// the verdict.
func (record *record) finish(finish scheduler.Finish) {
	state, ok := record.jobs[finish.Key]
	if !ok || state.phase != phaseWaiting {
		record.addViolation(RuleVerdict, "verdict on %s, which is unknown, holds accelerators or already has a verdict",
			finish.Key)
		return
	}
	if !record.verdictPermitted(state, finish.Verdict) {
		record.addViolation(RuleVerdict,
			"%s: verdict %d, may have run %t, completed %t, cancelled %t, failed on %d workers: %s",
			finish.Key, finish.Verdict, state.mayHaveRun, state.completed, state.cancelled, len(state.failedOn),
			finish.Reason)
	}
	state.phase = phaseFinished
	record.markChanged(state)
	same := func(other *jobRecord) bool { return other == state }
	organisation := state.job.Key.Organisation
	record.active = slices.DeleteFunc(record.active, same)
	record.byOrganisation[organisation] = slices.DeleteFunc(record.byOrganisation[organisation], same)
}

// verdictPermitted reports whether the job's history permits a verdict. Failed requires failures on three workers, or
// on one if the job is not idempotent. Unknown requires that the job may have run, that no attempt has completed, and
// that the job is not idempotent or has become infeasible.
func (record *record) verdictPermitted(state *jobRecord, verdict scheduler.Verdict) bool {
	idempotent := state.job.Profile.Idempotent
	switch verdict {
	case scheduler.VerdictCompleted:
		return state.completed
	case scheduler.VerdictCancelled:
		return state.cancelled
	case scheduler.VerdictNotRun:
		return !state.mayHaveRun
	case scheduler.VerdictFailed:
		return len(state.failedOn) >= 3 || (!idempotent && len(state.failedOn) > 0)
	case scheduler.VerdictUnknown:
		return state.mayHaveRun && !state.completed && (!idempotent || record.infeasible(state))
	}
	return false
}

// infeasible reports whether the job's organisation is unknown, or the job's shape exceeds the organisation's quota or
// does not fit on the current workers even if they are empty.
func (record *record) infeasible(state *jobRecord) bool {
	organisation := record.config.Organisations[state.job.Key.Organisation]
	if organisation == nil || organisation.Quota > 0 && state.job.Profile.Shape.Total() > organisation.Quota {
		return true
	}
	count := record.copies(*state.job.Profile.Shape, func(worker *workerRecord) fleet.Accelerators {
		if worker.terminated || worker.worker.Leaving {
			return 0
		}
		return worker.worker.Accelerators
	})
	return count == 0
}
