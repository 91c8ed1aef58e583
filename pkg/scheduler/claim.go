package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// claim assigns holdings to a waiting job and evicts the victims, the gangs that use them. The job starts once the
// victims have ended.
func (core *Core) claim(now time.Time, job *jobState, holdings []holding, victims []*jobState, reason string) {
	core.dequeue(job)
	job.phase = phaseClaiming
	job.reason = reason
	core.allocate(job, holdings, true)
	core.claims = append(core.claims, job)
	for _, victim := range victims {
		core.evict(now, victim, job.skipGrace && job.urgent(), fmt.Sprintf("%s for job %s", reason, job.spec.Key))
	}
}

// dropClaim frees the accelerators of a claim. It neither queues nor ends the job.
func (core *Core) dropClaim(job *jobState) {
	core.release(job)
	job.phase = phaseWaiting
	core.claims = slices.DeleteFunc(core.claims, func(other *jobState) bool { return other == job })
}

// suspendedClaim is a claim whose accelerators are temporarily not assigned to its job.
type suspendedClaim struct {
	job      *jobState
	holdings []holding
	cell     *cell
}

// suspendClaims releases the claims of jobs that cannot be preempted.
func (core *Core) suspendClaims() []suspendedClaim {
	var suspended []suspendedClaim
	for _, claim := range slices.Clone(core.claims) {
		core.steps++
		if !claim.preemptible {
			suspended = append(suspended, suspendedClaim{claim, claim.holdings, claim.cell})
			core.dropClaim(claim)
		}
	}
	return suspended
}

// resumeClaims assigns the accelerators of suspended claims to their jobs again. A job whose claim no longer fits
// beside the cells is queued again. If that job has become infeasible, endInfeasibleJobs ends it later in the same
// decision.
func (core *Core) resumeClaims(now time.Time, suspended []suspendedClaim) {
	for _, claim := range suspended {
		if !claim.fits() {
			core.enqueue(now, claim.job)
			continue
		}
		claim.job.phase = phaseClaiming
		core.allocate(claim.job, claim.holdings, true)
		core.claims = append(core.claims, claim.job)
		if claim.cell != nil && slices.Equal(claim.cell.holdings, claim.holdings) {
			core.occupy(claim.cell, claim.job)
		}
	}
}

// fits reports whether the claim's workers are usable and no cell of another organisation covers its accelerators.
func (claim suspendedClaim) fits() bool {
	for _, holding := range claim.holdings {
		machine := holding.worker
		if !machine.usable() || machine.pinnedLimit(claim.job).quotient(claim.job.perMember) < holding.members {
			return false
		}
	}
	return true
}

// dropOutrankedClaims drops the claims that must yield to a job that reclaims cells of its organisation. These are
// claims of other organisations that borrow from the cells and, if the job is urgent, claims of less urgent jobs of its
// organisation. The jobs of these claims do not run yet, and the gangs evicted for them are about to end. It also frees
// the resources that are kept for moved jobs. It reports whether it dropped or freed any.
func (core *Core) dropOutrankedClaims(now time.Time, job *jobState) bool {
	var outranked []*jobState
	for _, claim := range core.claims {
		core.steps++
		own := claim.organisation == job.organisation
		if own && job.urgent() && claim.spec.Profile.Urgency < job.spec.Profile.Urgency ||
			!own && claim.preemptible && claim.borrowsFrom(job.organisation) {
			outranked = append(outranked, claim)
		}
	}
	for _, claim := range outranked {
		core.dropClaim(claim)
		core.requeue(now, claim)
	}
	return core.dropDestinations() || len(outranked) > 0
}

// borrowsFrom reports whether, on a worker with cells of the owner, the job's organisation uses more than its own cells
// and the job has a part in that use.
func (job *jobState) borrowsFrom(owner *organisation) bool {
	for _, holding := range job.holdings {
		own := holding.worker.share(job.organisation.index)
		if own.used[0] > own.cell[0] && holding.worker.share(owner.index).cell[0] > 0 {
			return true
		}
	}
	return false
}

// settleClaims starts the jobs whose claimed accelerators have become free. It drops the claims that can no longer be
// met and queues their jobs again.
func (core *Core) settleClaims(now time.Time) {
	for i := len(core.claims) - 1; i >= 0; i-- {
		job := core.claims[i]
		if core.claimCanBeMet(job) {
			continue
		}
		core.dropClaim(job)
		core.requeue(now, job)
	}
	pending := core.claims[:0]
	for _, job := range core.claims {
		if !core.claimReady(job) {
			pending = append(pending, job)
			continue
		}
		core.activateClaim(job)
		core.place(now, job, job.reason)
	}
	clear(core.claims[len(pending):])
	core.claims = pending
}

// claimCanBeMet reports whether the claimed workers are usable and the evicted gangs on them are still expected to free
// enough accelerators.
func (core *Core) claimCanBeMet(job *jobState) bool {
	for _, holding := range job.holdings {
		core.steps++
		machine := holding.worker
		if !machine.usable() || machine.available()[0] < 0 {
			return false
		}
	}
	return true
}

// claimReady reports whether all claimed accelerators are free.
func (core *Core) claimReady(job *jobState) bool {
	for _, holding := range job.holdings {
		machine := holding.worker
		if !machine.free.plus(machine.claimed).covers(job.perMember.times(holding.members)) {
			return false
		}
	}
	return true
}
