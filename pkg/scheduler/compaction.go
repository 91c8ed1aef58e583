package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Bounds of one search for gangs to move.
const (
	// compactionSteps bounds the steps after which no further job is tried in one decision.
	compactionSteps   = 5000
	compactionWorkers = 64
	compactionRacks   = 16
)

// compact makes room for waiting jobs that find no place by moving preemptible work, when the gain exceeds
// the work lost. It runs at most once in each compaction interval.
func (core *Core) compact(now time.Time) {
	core.nextCompaction = time.Time{}
	if core.waiting == 0 {
		return
	}
	if now.Before(core.compacted.Add(core.settings.CompactionInterval)) {
		core.nextCompaction = core.compacted.Add(core.settings.CompactionInterval)
		return
	}
	core.compacted = now
	core.nextCompaction = now.Add(core.settings.CompactionInterval)
	bound := core.steps + compactionSteps
	core.pass(now, func(now time.Time, job *entry) bool {
		if core.steps >= bound {
			return false
		}
		if core.displaceReserved(now, job) || core.displace(now, job) {
			return true
		}
		core.reserve(now, job)
		return false
	}, passCompaction)
}

// earn adds the share of the accelerator time in use since the last time to the budget for lost work.
func (core *Core) earn(now time.Time) {
	held := 0.0
	for _, owner := range core.organisations {
		held += float64(owner.account.rate)
	}
	if !core.earned.IsZero() {
		elapsed := now.Sub(core.earned).Seconds()
		core.budget += core.settings.LossShare * held * elapsed
		core.budget = min(core.budget, core.settings.LossShare*held*budgetWindow.Seconds())
		core.fairBudget += core.settings.FairLossShare * held * elapsed
		core.fairBudget = min(core.fairBudget, core.settings.FairLossShare*held*budgetWindow.Seconds())
	}
	core.earned = now
}

// overservedFactor is by how much the attained service of two organisations over their guarantees differs
// before work of one is moved for the other.
const overservedFactor = 2

// budgetWindow bounds the time over which an unused budget for lost work is saved.
const budgetWindow = time.Hour

// displace claims room for a waiting job by moving preemptible work: first that of organisations with much
// more attained service, then any.
func (core *Core) displace(now time.Time, job *entry) bool {
	gain := core.gain(now, job)
	holdings, victims, loss := core.planDisplacement(now, job, core.overservedOn)
	if holdings != nil && loss <= min(gain, core.fairBudget) {
		core.fairBudget -= loss
		core.claim(now, job, holdings, victims, "has attained less service than what it displaces")
		return true
	}
	if min(gain, core.budget) <= 0 {
		return false
	}
	holdings, victims, loss = core.planDisplacement(now, job, core.movableOn)
	if holdings == nil || loss > min(gain, core.budget) || !core.movable(now, job, holdings, victims) {
		return false
	}
	core.budget -= loss
	core.claim(now, job, holdings, victims, "makes room by moving work")
	return true
}

// planDisplacement chooses accelerators and the gangs to evict from them, with the work lost.
func (core *Core) planDisplacement(now time.Time, job *entry, list victimsFunc) ([]holding, []*entry, float64) {
	holdings := core.assemble(job.shape(), core.displaceCandidates(now, job, list))
	if holdings == nil {
		return nil, nil, 0
	}
	victims, enough := core.chooseVictims(now, job, holdings, list)
	if !enough {
		return nil, nil, 0
	}
	return holdings, victims, core.totalLoss(now, victims)
}

// overservedOn lists the gangs on a worker that can checkpoint and belong to organisations with much more
// attained service over their guarantee than the job's.
func (core *Core) overservedOn(now time.Time, job *entry, machine *worker) []*entry {
	return slices.DeleteFunc(core.movableOn(now, job, machine), func(gang *entry) bool {
		much := gang.organisation.priority > overservedFactor*job.organisation.priority
		return !much || gang.organisation == job.organisation || !gang.job.Profile.Checkpoint || !gang.job.Profile.Idempotent
	})
}

// gain estimates the accelerator time that a start now saves. A job that has waited for some time is taken
// to wait as long again; declared run times play no part.
func (core *Core) gain(now time.Time, job *entry) float64 {
	return now.Sub(job.waiting).Seconds() * float64(job.total) * core.settings.GainFactor
}

// movable reports whether the victims find room elsewhere or have attained so much service that the job
// goes first.
func (core *Core) movable(now time.Time, job *entry, holdings []holding, victims []*entry) bool {
	spare := int64(0)
	for _, zone := range core.zones {
		spare += zone.totals[viewFree]
	}
	for _, holding := range holdings {
		spare -= min(max(holding.worker.free[0], 0), job.unit[0]*int64(holding.members))
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
func (core *Core) movableOn(now time.Time, job *entry, machine *worker) []*entry {
	over := excessOf(machine)
	var victims []*entry
	for _, gang := range machine.gangs {
		core.steps++
		settled := gang.phase == phaseRunning && now.Sub(gang.began) >= core.settings.MinRun
		if !gang.preemptible || !settled || gang.eviction != evictionNone || gang.cancelled {
			continue
		}
		own := gang.organisation == job.organisation
		if own && (gang.urgent() || gang.job.Profile.Urgency > job.job.Profile.Urgency) {
			continue
		}
		if gang.urgent() && (gang.cell != nil || core.hasIdleCell(gang)) {
			continue
		}
		if own || over[gang.organisation.tenant][0] > 0 {
			victims = append(victims, gang)
		}
	}
	core.sortByLoss(now, victims)
	return victims
}

// displaceCandidates lists workers that could hold members if gangs were moved.
func (core *Core) displaceCandidates(now time.Time, job *entry, list victimsFunc) []candidate {
	var candidates []candidate
	machines := job.reservation
	if machines == nil {
		machines = core.roomiest(job.shape())
	}
	for _, machine := range machines {
		core.steps++
		if !machine.usable() || job.avoids(machine) {
			continue
		}
		most := machine.capacity.quotient(job.unit)
		if !job.preemptible {
			most = machine.pinnedLimit(job).quotient(job.unit)
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

// roomiest lists the workers with the most free accelerators, as far as a shape can use them.
func (core *Core) roomiest(shape fleet.Shape) []*worker {
	if shape.Adjacency == fleet.AdjacencyRack {
		return core.roomiestRacks(int64(shape.Total()))
	}
	var machines []*worker
	for _, zone := range core.zones {
		bound := len(machines) + compactionWorkers/len(core.zones) + 1
		if shape.Adjacency == fleet.AdjacencyDataCentre {
			bound = len(machines) + min(2*shape.Members, compactionWorkers)
		}
		for key := len(zone.buckets[viewFree]) - 1; key >= 0 && len(machines) < bound; key-- {
			slots := zone.buckets[viewFree][key].slots
			for slot := slots.next(0); slot >= 0 && len(machines) < bound; slot = slots.next(slot + 1) {
				machines = append(machines, zone.workers[slot])
			}
		}
	}
	return machines
}

// roomiestRacks lists the workers of the racks with the most free accelerators.
func (core *Core) roomiestRacks(total int64) []*worker {
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
