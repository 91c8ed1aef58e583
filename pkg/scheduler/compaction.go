package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Limits of one search for gangs to move.
const (
	// compactionSteps is the number of steps after which a compaction tries no further job.
	compactionSteps   = 5000
	compactionWorkers = 64
	compactionRacks   = 16
)

// compact frees accelerators for waiting jobs that find no place. It moves preemptible work when the gain exceeds the
// work lost, at most once in each compaction interval. To move work is to evict it, so that it runs on other workers or
// later.
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

// accrueLossBudget adds a share of the accelerator time used since the last call to each budget for lost work.
func (core *Core) accrueLossBudget(now time.Time) {
	held := 0.0
	for _, owner := range core.organisations {
		held += float64(owner.account.inUse)
	}
	if !core.budgetUpdated.IsZero() {
		elapsed := now.Sub(core.budgetUpdated).Seconds()
		core.lossBudget += core.settings.LossShare * held * elapsed
		core.lossBudget = min(core.lossBudget, core.settings.LossShare*held*budgetWindow.Seconds())
		core.fairLossBudget += core.settings.FairLossShare * held * elapsed
		core.fairLossBudget = min(core.fairLossBudget, core.settings.FairLossShare*held*budgetWindow.Seconds())
	}
	core.budgetUpdated = now
}

// overservedFactor is the factor by which the attained service over the guarantee of one organisation must exceed that
// of another before work of the first is moved for the second.
const overservedFactor = 2

// budgetWindow limits each unused budget for lost work to the amount that accrues in this time.
const budgetWindow = time.Hour

// evictFor frees accelerators for a waiting job by moving preemptible work: if possible, only work of organisations
// with much more attained service, otherwise any.
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

// planEviction chooses accelerators and the gangs to evict from them. It also returns the work lost.
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

// overservedOn lists the gangs on a worker that can checkpoint, are idempotent and belong to organisations with much
// more attained service over their guarantee than the job's organisation.
func (core *Core) overservedOn(now time.Time, job *jobState, machine *worker) []*jobState {
	return slices.DeleteFunc(core.movableOn(now, job, machine), func(gang *jobState) bool {
		overserved := gang.organisation.priority > overservedFactor*job.organisation.priority
		return !overserved || gang.organisation == job.organisation ||
			!gang.spec.Profile.Checkpoint || !gang.spec.Profile.Idempotent
	})
}

// gain estimates the accelerator-seconds of waiting that starting a job now saves. A job is expected to wait as long
// again as it has waited so far; declared run times are not used.
func (core *Core) gain(now time.Time, job *jobState) float64 {
	return now.Sub(job.queuedAt).Seconds() * float64(job.total) * core.settings.GainFactor
}

// victimsMayMove reports whether enough accelerators are free for the victims elsewhere. A victim at a lower priority
// level than the job needs none, since the job goes first.
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

// movableOn lists the gangs on a worker that may be moved for a job, cheapest first.
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

// evictionCandidates lists workers that can hold members after gangs are moved.
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

// mostFreeWorkers lists the workers with the most free accelerators among which a gang of a shape can be placed.
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

// workersOfMostFreeRacks lists the workers of the racks with the most free accelerators, among those racks that are
// large enough.
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
