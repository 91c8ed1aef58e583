package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Costs of evicting a gang, as time lost by each of its accelerators.
const (
	// checkpointCost is the time to save and to resume.
	checkpointCost = 5 * time.Second
	// abandonedCost is the penalty for a gang that must not run twice, since a missed checkpoint ends it.
	abandonedCost = 10 * time.Minute
)

// loss estimates the accelerator time that evicting a gang loses.
func (core *Core) loss(now time.Time, job *entry) float64 {
	perAccelerator := now.Sub(job.began)
	if job.job.Profile.Checkpoint {
		perAccelerator = checkpointCost
		if !job.job.Profile.Idempotent {
			perAccelerator += abandonedCost
		}
	}
	return (perAccelerator + time.Second).Seconds() * float64(job.total)
}

// displaceable reports whether a claim of a job in its own cells may evict a gang of its organisation.
func (entry *entry) displaceable(gang *entry) bool {
	return entry.urgent() && gang.preemptible && gang.organisation == entry.organisation &&
		gang.job.Profile.Urgency < entry.job.Profile.Urgency
}

// reclaimRoom returns what a job can have on a worker in its organisation's cells by evicting.
func (entry *entry) reclaimRoom(machine *worker) resources {
	own := machine.share(entry.organisation.tenant)
	used := own.used
	if entry.urgent() {
		for _, gang := range machine.gangs {
			if entry.displaceable(gang) && gang.eviction == evictionNone {
				used = used.minus(gang.unit.times(machine.membersOf(gang)))
			}
		}
	}
	return own.cell.minus(used).positive()
}

// excess tracks what each tenant's work that can be preempted uses beyond its cells on one worker, while
// victims are chosen.
type excess map[int]resources

func excessOf(machine *worker) excess {
	result := excess{}
	for _, share := range machine.shares {
		result[share.tenant] = share.used.minus(share.cell.atLeast(share.pinned))
	}
	return result
}

// victimsOn lists the gangs on a worker that a job's claim may evict, cheapest first.
func (core *Core) victimsOn(now time.Time, job *entry, machine *worker) []*entry {
	over := excessOf(machine)
	var victims []*entry
	for _, gang := range machine.gangs {
		core.steps++
		if !gang.preemptible || gang.eviction != evictionNone || gang.cancelled {
			continue
		}
		foreign := gang.organisation != job.organisation && over[gang.organisation.tenant][0] > 0
		if foreign || job.displaceable(gang) {
			victims = append(victims, gang)
		}
	}
	core.sortByLoss(now, victims)
	return victims
}

// totalLoss sums the losses of gangs.
func (core *Core) totalLoss(now time.Time, gangs []*entry) float64 {
	total := 0.0
	for _, gang := range gangs {
		total += core.loss(now, gang)
	}
	return total
}

// sortByLoss orders gangs by the loss for each accelerator that is freed.
func (core *Core) sortByLoss(now time.Time, gangs []*entry) {
	slices.SortStableFunc(gangs, func(left, right *entry) int {
		return cmp.Compare(core.loss(now, left)/float64(left.total), core.loss(now, right)/float64(right.total))
	})
}

// available returns what is free or about to become free on a worker.
func (worker *worker) available() resources { return worker.free.plus(worker.ending) }

// roomCandidates lists the workers on which the organisation's cells have room that it does not use itself.
func (core *Core) roomCandidates(job *entry) []candidate {
	var candidates []candidate
	for _, machine := range job.organisation.cellWorkers {
		core.steps++
		if !machine.usable() || job.avoids(machine) {
			continue
		}
		if slots := job.reclaimRoom(machine).quotient(job.unit); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	return candidates
}

// reclaimCandidates lists the workers with own cells that could hold members after evictions.
func (core *Core) reclaimCandidates(now time.Time, job *entry) []candidate {
	var candidates []candidate
	for _, room := range core.roomCandidates(job) {
		slots, cost := core.evictionCost(now, job, room.worker, room.members, core.victimsOn)
		if slots > 0 {
			candidates = append(candidates, candidate{room.worker, slots, cost})
		}
	}
	return candidates
}

// victimsFunc lists the gangs on a worker that may be evicted for a job, cheapest first.
type victimsFunc func(now time.Time, job *entry, machine *worker) []*entry

// evictionCost returns how many of the members the victims on a worker make room for, and the loss for each.
func (core *Core) evictionCost(
	now time.Time, job *entry, machine *worker, members int, list victimsFunc,
) (int, float64) {
	room := machine.available()
	if room.covers(job.unit.times(members)) {
		return members, 0
	}
	cost := 0.0
	for _, victim := range list(now, job, machine) {
		cost += core.loss(now, victim)
		room = room.plus(victim.unit.times(machine.membersOf(victim)))
		if room.covers(job.unit.times(members)) {
			return members, cost / float64(members)
		}
	}
	fit := min(room.quotient(job.unit), members)
	return fit, cost / float64(max(fit, 1))
}

// reclaim claims accelerators in the job's own cells and evicts the work that is in the way.
func (core *Core) reclaim(now time.Time, job *entry) bool {
	holdings, victims, found := core.planReclaim(now, job)
	if !found && core.dropLesserClaims(now, job) {
		holdings, victims, found = core.planReclaim(now, job)
	}
	if found && core.rebindCheaper(now, job, victims) {
		holdings, victims, found = core.planReclaim(now, job)
	}
	if !found {
		return false
	}
	core.claim(now, job, holdings, victims, "reclaims the guarantee of "+string(job.organisation.id))
	return true
}

// planReclaim chooses accelerators in the job's own cells and the gangs to evict from them.
func (core *Core) planReclaim(now time.Time, job *entry) ([]holding, []*entry, bool) {
	holdings := core.assemble(job.shape(), core.reclaimCandidates(now, job))
	if holdings == nil {
		return nil, nil, false
	}
	victims, enough := core.chooseVictims(now, job, holdings, core.victimsOn)
	return holdings, victims, enough
}

// chooseVictims picks the gangs to evict so that a claim fits: the least loss for each accelerator that is
// needed and freed goes first. It reports whether they suffice.
func (core *Core) chooseVictims(
	now time.Time, job *entry, holdings []holding, list victimsFunc,
) ([]*entry, bool) {
	need := shortage{job: job, missing: map[*worker]resources{}, over: map[*worker]excess{}}
	var candidates []*entry
	seen := map[*entry]struct{}{}
	for _, holding := range holdings {
		if !need.add(holding) {
			continue
		}
		for _, victim := range list(now, job, holding.worker) {
			if _, known := seen[victim]; !known {
				seen[victim] = struct{}{}
				candidates = append(candidates, victim)
			}
		}
	}
	scores := make(map[*entry]float64, len(candidates))
	for _, candidate := range candidates {
		scores[candidate] = core.loss(now, candidate) / float64(max(need.useful(candidate), 1))
	}
	slices.SortStableFunc(candidates, func(left, right *entry) int { return cmp.Compare(scores[left], scores[right]) })
	var victims []*entry
	for _, candidate := range candidates {
		core.steps++
		if len(need.missing) == 0 {
			break
		}
		if need.useful(candidate) > 0 {
			need.free(candidate)
			victims = append(victims, candidate)
		}
	}
	return dropNeedless(job, holdings, victims), len(need.missing) == 0
}

// shortage is what a claim lacks on each worker while victims are chosen.
type shortage struct {
	job     *entry
	missing map[*worker]resources
	over    map[*worker]excess
}

// add notes what a holding lacks and reports whether that is anything.
func (shortage *shortage) add(holding holding) bool {
	machine := holding.worker
	lack := shortage.job.unit.times(holding.members).minus(machine.available())
	if lack.positive() == (resources{}) {
		return false
	}
	shortage.missing[machine] = lack
	shortage.over[machine] = excessOf(machine)
	return true
}

// useful returns how many of a gang's accelerators the claim lacks and may take.
func (shortage *shortage) useful(gang *entry) int64 {
	useful := int64(0)
	for _, held := range gang.holdings {
		lack, ok := shortage.missing[held.worker]
		if !ok {
			continue
		}
		own := gang.organisation == shortage.job.organisation
		if own || shortage.over[held.worker][gang.organisation.tenant][0] > 0 {
			useful += min(max(lack[0], 1), gang.unit.times(held.members)[0])
		}
	}
	return useful
}

// free notes that a gang is evicted.
func (shortage *shortage) free(gang *entry) {
	for _, held := range gang.holdings {
		freed := gang.unit.times(held.members)
		if tenants, ok := shortage.over[held.worker]; ok {
			tenants[gang.organisation.tenant] = tenants[gang.organisation.tenant].minus(freed)
		}
		if lack, ok := shortage.missing[held.worker]; ok {
			lack = lack.minus(freed)
			shortage.missing[held.worker] = lack
			if lack.positive() == (resources{}) {
				delete(shortage.missing, held.worker)
			}
		}
	}
}

// dropNeedless spares the victims without which the claim fits as well, the dearest choices first.
func dropNeedless(job *entry, holdings []holding, victims []*entry) []*entry {
	spared := map[*worker]resources{}
	for _, holding := range holdings {
		spared[holding.worker] = holding.worker.available().minus(job.unit.times(holding.members))
	}
	for _, victim := range victims {
		for _, held := range victim.holdings {
			if left, ok := spared[held.worker]; ok {
				spared[held.worker] = left.plus(victim.unit.times(held.members))
			}
		}
	}
	for i := len(victims) - 1; i >= 0; i-- {
		needed := false
		for _, held := range victims[i].holdings {
			left, ok := spared[held.worker]
			needed = needed || ok && !left.covers(victims[i].unit.times(held.members))
		}
		if needed {
			continue
		}
		for _, held := range victims[i].holdings {
			if left, ok := spared[held.worker]; ok {
				spared[held.worker] = left.minus(victims[i].unit.times(held.members))
			}
		}
		victims = slices.Delete(victims, i, i+1)
	}
	return victims
}
