package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Limits of one search for gangs to move.
const (
	// compactionSteps is the number of search steps after which a compaction tries no further job.
	compactionSteps = 5000
	// compactionWorkers and compactionRacks limit the workers and racks among which accelerators are searched.
	compactionWorkers = 64
	compactionRacks   = 16
)

// compact frees accelerators for waiting jobs that find no place. It moves preemptible work when the gain exceeds the
// work lost, at most once in each compaction interval. To move work is to evict its gang, so that the job runs on other
// workers or later. For a starving job for which nothing can be moved, it reserves workers.
func (core *Core) compact(now time.Time) {
	core.nextCompaction = time.Time{}
	if core.waitingJobs == 0 {
		return
	}
	if now.Before(core.lastCompaction.Add(core.settings.CompactionInterval)) {
		core.nextCompaction = core.lastCompaction.Add(core.settings.CompactionInterval)
		return
	}
	core.lastCompaction = now
	core.nextCompaction = now.Add(core.settings.CompactionInterval)
	maxSteps := core.steps + compactionSteps
	core.pass(now, func(now time.Time, job *jobState) bool {
		if core.steps >= maxSteps {
			return false
		}
		if core.evictFromReserved(now, job) || core.evictFor(now, job) {
			return true
		}
		core.reserve(now, job)
		return false
	}, passCompaction)
}

// accrueLossBudgets adds to each loss budget its share of the accelerator time used since the last call.
func (core *Core) accrueLossBudgets(now time.Time) {
	held := core.acceleratorsInUse()
	if !core.budgetUpdated.IsZero() {
		elapsed := now.Sub(core.budgetUpdated).Seconds()
		accrue := func(budget *float64, share float64) {
			*budget = min(*budget+share*held*elapsed, share*held*budgetWindow.Seconds())
		}
		accrue(&core.lossBudget, core.settings.LossShare)
		accrue(&core.fairLossBudget, core.settings.FairLossShare)
		accrue(&core.consolidation.budget, core.settings.ConsolidationLossShare)
	}
	core.budgetUpdated = now
}

// acceleratorsInUse returns the number of accelerators that attempts hold.
func (core *Core) acceleratorsInUse() float64 {
	held := 0.0
	for _, owner := range core.organisations {
		held += float64(owner.account.inUse)
	}
	return held
}

// overservedFactor is the factor by which the attained service of one organisation, divided by its guarantee, must
// exceed that of another before work of the first is evicted in favour of the second.
const overservedFactor = 2

// budgetWindow limits each loss budget to the amount that accrues in this time.
const budgetWindow = time.Hour

// evictFor frees accelerators for a waiting job by moving preemptible work. It prefers work of organisations with much
// more attained service, charged to fairLossBudget. Otherwise it moves any movable work, charged to lossBudget.
func (core *Core) evictFor(now time.Time, job *jobState) bool {
	gain := core.gain(now, job)
	holdings, victims, loss := core.planEviction(now, job, core.overservedOn)
	if holdings != nil && loss <= min(gain, core.fairLossBudget) {
		core.fairLossBudget -= loss
		core.claim(now, job, holdings, victims, "evicts work with more attained service")
		return true
	}
	if min(gain, core.lossBudget) <= 0 {
		return false
	}
	holdings, victims, loss = core.planEviction(now, job, core.movableOn)
	if holdings == nil || loss > min(gain, core.lossBudget) || !core.victimsMayMove(now, job, holdings, victims) {
		return false
	}
	core.lossBudget -= loss
	core.claim(now, job, holdings, victims, "frees accelerators by moving work")
	return true
}

// planEviction chooses accelerators for a job and the gangs to evict from them. It also returns the work lost. The
// holdings are nil if the job does not fit.
func (core *Core) planEviction(now time.Time, job *jobState, list victimsFunc) ([]holding, []*jobState, float64) {
	holdings := core.assemble(job.shape(), core.evictionCandidates(now, job, list))
	if holdings == nil {
		return nil, nil, 0
	}
	victims, enough := core.chooseVictims(now, job, holdings, list)
	if !enough {
		return nil, nil, 0
	}
	return holdings, victims, core.totalLoss(now, victims)
}

// overservedOn lists the gangs on a worker that can be moved, can checkpoint, are idempotent and belong to an
// organisation that is overserved: its attained service, divided by its guarantee, exceeds that of the job's
// organisation by more than overservedFactor.
func (core *Core) overservedOn(now time.Time, job *jobState, machine *worker) []*jobState {
	return slices.DeleteFunc(core.movableOn(now, job, machine), func(gang *jobState) bool {
		overserved := gang.organisation.priority > overservedFactor*job.organisation.priority
		return !overserved || gang.organisation == job.organisation ||
			!gang.spec.Profile.Checkpoint || !gang.spec.Profile.Idempotent
	})
}

// gain estimates the accelerator-seconds of waiting that are saved if a job starts now. Without a start, a job is
// expected to wait as long again as it has waited so far; declared run times are not used.
func (core *Core) gain(now time.Time, job *jobState) float64 {
	return now.Sub(job.queuedAt).Seconds() * float64(job.total) * core.settings.GainFactor
}

// victimsMayMove reports whether enough accelerators are free elsewhere for the victims. Victims at a lower priority
// level than the job are not counted, since the job goes before them.
func (core *Core) victimsMayMove(now time.Time, job *jobState, holdings []holding, victims []*jobState) bool {
	spare := int64(0)
	for _, zone := range core.zones {
		spare += zone.totals[viewFree]
	}
	for _, holding := range holdings {
		spare -= min(max(holding.worker.free[0], 0), job.perMember[0]*int64(holding.members))
	}
	level := core.level(now, job)
	for _, victim := range victims {
		if core.level(now, victim) <= level {
			spare -= int64(victim.total)
		}
	}
	return spare >= 0
}

// movableOn lists the gangs on a worker that may be moved for a job, cheapest first. These are preemptible, have run
// for Settings.MinRun and belong to the job's organisation or to one that borrows accelerators there. Of the job's own
// organisation, neither urgent gangs nor gangs more urgent than the job are moved. Urgent gangs that occupy or could
// claim a cell of their shape are not moved either.
func (core *Core) movableOn(now time.Time, job *jobState, machine *worker) []*jobState {
	over := excessOf(machine)
	var victims []*jobState
	for _, gang := range machine.gangs {
		core.steps++
		pastMinRun := gang.phase == phaseRunning && now.Sub(gang.began) >= core.settings.MinRun
		if !gang.preemptible || !pastMinRun || gang.eviction != evictionNone || gang.cancelled {
			continue
		}
		own := gang.organisation == job.organisation
		if own && (gang.urgent() || gang.spec.Profile.Urgency > job.spec.Profile.Urgency) {
			continue
		}
		if gang.urgent() && (gang.cell != nil || core.hasClaimableCell(gang)) {
			continue
		}
		if own || over[gang.organisation.index][0] > 0 {
			victims = append(victims, gang)
		}
	}
	core.sortByLoss(now, victims)
	return victims
}

// evictionCandidates lists workers that can hold members of a job after gangs are evicted. If workers are reserved for
// the job, it lists only these.
func (core *Core) evictionCandidates(now time.Time, job *jobState, list victimsFunc) []candidate {
	var candidates []candidate
	machines := job.reservation
	if machines == nil {
		machines = core.mostFreeWorkers(job.shape())
	}
	for _, machine := range machines {
		core.steps++
		if !machine.usable() || job.avoids(machine) {
			continue
		}
		most := machine.capacity.quotient(job.perMember)
		if !job.preemptible {
			most = machine.pinnedLimit(job).quotient(job.perMember)
		}
		if most = min(most, job.shape().Members); most == 0 {
			continue
		}
		slots, cost := core.evictionCost(now, job, machine, most, list)
		if slots > 0 {
			candidates = append(candidates, candidate{machine, slots, cost})
		}
	}
	return candidates
}

// mostFreeWorkers lists, up to a limit, the workers with the most free accelerators. For shapes that must fit in a
// rack, it lists all workers of the racks with the most free accelerators.
func (core *Core) mostFreeWorkers(shape fleet.Shape) []*worker {
	if shape.Adjacency == fleet.AdjacencyRack {
		return core.workersOfMostFreeRacks(int64(shape.Total()))
	}
	var machines []*worker
	for _, zone := range core.zones {
		limit := len(machines) + compactionWorkers/len(core.zones) + 1
		if shape.Adjacency == fleet.AdjacencyDataCentre {
			limit = len(machines) + min(2*shape.Members, compactionWorkers)
		}
		for key := len(zone.buckets[viewFree]) - 1; key >= 0 && len(machines) < limit; key-- {
			slots := zone.buckets[viewFree][key].slots
			for slot := slots.next(0); slot >= 0 && len(machines) < limit; slot = slots.next(slot + 1) {
				machines = append(machines, zone.workers[slot])
			}
		}
	}
	return machines
}

// workersOfMostFreeRacks lists the workers of the compactionRacks racks with the most free accelerators, among the
// racks with at least the given number of accelerators in total.
func (core *Core) workersOfMostFreeRacks(total int64) []*worker {
	var racks []*rack
	for _, zone := range core.zones {
		for _, rack := range zone.racks {
			core.steps++
			capacity := int64(0)
			for _, machine := range rack.workers {
				capacity += machine.capacity[0]
			}
			if capacity >= total {
				racks = append(racks, rack)
			}
		}
	}
	slices.SortStableFunc(racks, func(left, right *rack) int {
		return cmp.Compare(right.totals[viewFree], left.totals[viewFree])
	})
	var machines []*worker
	for _, rack := range racks[:min(len(racks), compactionRacks)] {
		machines = append(machines, rack.workers...)
	}
	return machines
}
