package scheduler

import (
	"slices"
	"time"
)

// maxReservations limits the number of jobs in the domain with reserved workers, so that most workers stay open to work
// that cannot be preempted.
const maxReservations = 4

// reservationGain limits the work that evictions for a job with reserved workers may lose, as a share of the gain of
// starting the job. With a limit of the whole gain, such evictions lost up to 2.4% of the accelerator time in the
// policy benchmark, whose limit is 2%.
const reservationGain = 0.1

// reserve reserves workers for a job that has waited for Settings.StarvationTime. Other jobs that cannot be preempted
// then start on these workers only in cells of their organisations; preemptible jobs may use them in the meantime. Run
// times are not predicted: the workers with the least work that cannot be evicted are chosen.
func (core *Core) reserve(now time.Time, job *jobState) {
	starving := now.Sub(job.queuedAt) >= core.settings.StarvationTime
	if !starving || job.reservation != nil || len(core.reservations) >= maxReservations {
		return
	}
	for _, other := range core.reservations {
		if other.organisation == job.organisation {
			return
		}
	}
	holdings := core.assemble(job.shape(), core.reservable(job))
	if holdings == nil {
		return
	}
	for _, holding := range holdings {
		job.reservation = append(job.reservation, holding.worker)
		holding.worker.reserved = job
		core.refresh(holding.worker)
	}
	core.reservations = append(core.reservations, job)
}

// reservable lists the workers that could be reserved for a job, in the data centre with the most free accelerators.
// The cost of each worker is the number of accelerators on it that the job cannot take by evictions.
func (core *Core) reservable(job *jobState) []candidate {
	var mostFree *zone
	for _, zone := range core.zones {
		if mostFree == nil || zone.totals[viewFree] > mostFree.totals[viewFree] {
			mostFree = zone
		}
	}
	if mostFree == nil {
		return nil
	}
	var candidates []candidate
	for _, machine := range mostFree.workers {
		core.steps++
		if machine == nil || !machine.usable() || machine.reserved != nil || job.avoids(machine) {
			continue
		}
		capacity := machine.capacity
		if !job.preemptible {
			capacity = machine.emptyCapacity(job.organisation.index)
		}
		if slots := capacity.quotient(job.perMember); slots > 0 {
			candidates = append(candidates, candidate{machine, slots, float64(machine.unevictable(job))})
		}
	}
	return candidates
}

// unevictable counts the accelerators on a worker that a job cannot take by evicting work.
func (worker *worker) unevictable(job *jobState) int64 {
	count := int64(0)
	for _, share := range worker.shares {
		if share.organisationIndex != job.organisation.index {
			count += min(share.used[0], max(share.cell[0], share.pinned[0]))
		} else {
			count += share.pinned[0]
		}
	}
	return count
}

// unreserve ends a job's reservation.
func (core *Core) unreserve(job *jobState) {
	if job.reservation == nil {
		return
	}
	for _, machine := range job.reservation {
		machine.reserved = nil
		core.refresh(machine)
	}
	job.reservation = nil
	core.reservations = slices.DeleteFunc(core.reservations, func(other *jobState) bool { return other == job })
	core.capacityVersion++
}

// dropUnusableReservations ends each reservation with a worker that may get no new work.
func (core *Core) dropUnusableReservations() {
	for _, job := range slices.Clone(core.reservations) {
		if slices.ContainsFunc(job.reservation, func(machine *worker) bool { return !machine.usable() }) {
			core.unreserve(job)
		}
	}
}

// startReserved starts a job on the workers that are reserved for it if all members fit there now.
func (core *Core) startReserved(now time.Time, job *jobState) bool {
	if job.reservation == nil {
		return false
	}
	var candidates []candidate
	for _, machine := range job.reservation {
		if slots := job.freeSlots(machine); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	holdings := core.assemble(job.shape(), candidates)
	return holdings != nil && core.start(now, job, holdings, "the workers reserved for it are free")
}

// evictFromReserved evicts the movable work on the workers that are reserved for a job, if the job then fits and the
// loss is within the reservationGain share of the gain.
func (core *Core) evictFromReserved(now time.Time, job *jobState) bool {
	if job.reservation == nil {
		return false
	}
	holdings, victims, loss := core.planEviction(now, job, core.movableOn)
	if holdings == nil || loss > core.gain(now, job)*reservationGain {
		return false
	}
	core.lossBudget -= loss
	core.claim(now, job, holdings, victims, "evicts the remaining work on the workers reserved for it")
	return true
}
