package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// claim accounts holdings to a waiting job and evicts victims. The job starts when they have ended.
func (core *Core) claim(now time.Time, job *entry, holdings []holding, victims []*entry, reason string) {
	core.dequeue(job)
	job.phase = phaseClaiming
	job.reason = reason
	core.take(job, holdings, true)
	core.claims = append(core.claims, job)
	for _, victim := range victims {
		core.evict(now, victim, job.hurried && job.urgent(), fmt.Sprintf("%s for job %s", reason, job.job.Key))
	}
}

// dropClaim gives a claim up.
func (core *Core) dropClaim(job *entry) {
	core.release(job)
	job.phase = phaseWaiting
	core.claims = slices.DeleteFunc(core.claims, func(other *entry) bool { return other == job })
}

// suspendedClaim is a claim whose accelerators are not accounted to its job for the time being.
type suspendedClaim struct {
	job      *entry
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

// resumeClaims accounts suspended claims again. Jobs whose claim would take what a cell covers are queued again;
// checkFeasibility follows and ends those that a change made infeasible.
func (core *Core) resumeClaims(now time.Time, suspended []suspendedClaim) {
	for _, claim := range suspended {
		if !claim.fits() {
			core.enqueue(now, claim.job)
			continue
		}
		claim.job.phase = phaseClaiming
		core.take(claim.job, claim.holdings, true)
		core.claims = append(core.claims, claim.job)
		if claim.cell != nil && slices.Equal(claim.cell.holdings, claim.holdings) {
			core.occupy(claim.cell, claim.job)
		}
	}
}

// fits reports whether the cells leave room for the claim.
func (claim suspendedClaim) fits() bool {
	for _, holding := range claim.holdings {
		machine := holding.worker
		if !machine.usable() || machine.pinnedLimit(claim.job).quotient(claim.job.unit) < holding.members {
			return false
		}
	}
	return true
}

// dropLesserClaims gives up the claims that a job's claim of its organisation's cells precedes: those of
// borrowers on the cells, and those of less urgent jobs of the organisation if the job is urgent. They hold
// nothing yet, and what they evicted is about to end. It reports whether there were any.
func (core *Core) dropLesserClaims(now time.Time, job *entry) bool {
	var lesser []*entry
	for _, claim := range core.claims {
		core.steps++
		own := claim.organisation == job.organisation
		if own && job.urgent() && claim.job.Profile.Urgency < job.job.Profile.Urgency ||
			!own && claim.preemptible && claim.borrowsFrom(job.organisation) {
			lesser = append(lesser, claim)
		}
	}
	for _, claim := range lesser {
		core.dropClaim(claim)
		core.requeue(now, claim)
	}
	return len(lesser) > 0
}

// borrowsFrom reports whether a gang or claim exceeds its organisation's cells on a worker with cells of
// another organisation.
func (entry *entry) borrowsFrom(owner *organisation) bool {
	for _, holding := range entry.holdings {
		own := holding.worker.share(entry.organisation.tenant)
		if own.used[0] > own.cell[0] && holding.worker.share(owner.tenant).cell[0] > 0 {
			return true
		}
	}
	return false
}

// settleClaims starts the jobs whose claimed accelerators are free and gives up claims that cannot be met.
func (core *Core) settleClaims(now time.Time) {
	for i := len(core.claims) - 1; i >= 0; i-- {
		job := core.claims[i]
		if core.claimHolds(job) {
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
		core.confirm(job)
		core.place(now, job, job.reason)
	}
	clear(core.claims[len(pending):])
	core.claims = pending
}

// claimHolds reports whether a claim can still be met.
func (core *Core) claimHolds(job *entry) bool {
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
func (core *Core) claimReady(job *entry) bool {
	for _, holding := range job.holdings {
		machine := holding.worker
		if !machine.free.plus(machine.claimed).covers(job.unit.times(holding.members)) {
			return false
		}
	}
	return true
}
