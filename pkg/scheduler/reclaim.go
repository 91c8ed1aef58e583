package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Costs of an eviction, as time lost by each accelerator of the gang.
const (
	// checkpointCost is the time to save a checkpoint and to resume from it.
	checkpointCost = 5 * time.Second
	// missedCheckpointCost is the penalty for a gang that must not run twice: its job ends if the checkpoint comes
	// after the grace period.
	missedCheckpointCost = 10 * time.Minute
)

// loss estimates the accelerator-seconds of work that are lost if a gang is evicted. A gang whose job has ignored a
// checkpoint request before is expected to ignore the next one.
func (core *Core) loss(now time.Time, job *jobState) float64 {
	perAccelerator := now.Sub(job.began)
	if job.spec.Profile.Checkpoint && !job.ignoredCheckpoint {
		perAccelerator = checkpointCost
		if !job.spec.Profile.Idempotent {
			perAccelerator += missedCheckpointCost
		}
	}
	return (perAccelerator + time.Second).Seconds() * float64(job.total)
}

// mayEvictOwn reports whether a claim of the job in its organisation's cells may evict a gang of the same
// organisation. Only an urgent job may evict such a gang, and only a less urgent one.
func (job *jobState) mayEvictOwn(gang *jobState) bool {
	return job.urgent() && gang.preemptible && gang.organisation == job.organisation &&
		gang.spec.Profile.Urgency < job.spec.Profile.Urgency
}

// reclaimable returns the resources in the cells of the job's organisation on a worker that the job can get, after
// evictions if necessary.
func (job *jobState) reclaimable(machine *worker) resources {
	own := machine.share(job.organisation.index)
	used := own.used
	if job.urgent() {
		for _, gang := range machine.gangs {
			if job.mayEvictOwn(gang) && gang.eviction == evictionNone {
				used = used.minus(gang.perMember.times(machine.membersOf(gang)))
			}
		}
	}
	return own.cell.minus(used).positive()
}

// excess holds, by the index of each organisation, the resources on one worker that the organisation's preemptible work
// uses beyond the organisation's cells. It is updated while victims, the gangs to evict, are chosen.
type excess map[int]resources

func excessOf(machine *worker) excess {
	result := excess{}
	for _, share := range machine.shares {
		result[share.organisationIndex] = share.used.minus(share.cell.atLeast(share.pinned))
	}
	return result
}

// victimsOn lists the gangs on a worker that may be evicted for a job that reclaims cells of its organisation, cheapest
// first. These are preemptible gangs of other organisations that borrow accelerators there, and the gangs that
// mayEvictOwn allows.
func (core *Core) victimsOn(now time.Time, job *jobState, machine *worker) []*jobState {
	over := excessOf(machine)
	var victims []*jobState
	for _, gang := range machine.gangs {
		core.steps++
		if !gang.preemptible || gang.eviction != evictionNone || gang.cancelled {
			continue
		}
		borrower := gang.organisation != job.organisation && over[gang.organisation.index][0] > 0
		if borrower || job.mayEvictOwn(gang) {
			victims = append(victims, gang)
		}
	}
	core.sortByLoss(now, victims)
	return victims
}

// totalLoss sums the losses of gangs.
func (core *Core) totalLoss(now time.Time, gangs []*jobState) float64 {
	total := 0.0
	for _, gang := range gangs {
		total += core.loss(now, gang)
	}
	return total
}

// sortByLoss orders gangs by the work lost for each accelerator that their eviction frees, least first.
func (core *Core) sortByLoss(now time.Time, gangs []*jobState) {
	slices.SortStableFunc(gangs, func(left, right *jobState) int {
		return cmp.Compare(core.loss(now, left)/float64(left.total), core.loss(now, right)/float64(right.total))
	})
}

// available returns the resources on a worker that are free or that gangs being evicted are expected to free.
func (worker *worker) available() resources { return worker.free.plus(worker.evicting) }

// cellCandidates lists the workers on which members fit in the cells of the job's organisation once the work that the
// job may evict has ended.
func (core *Core) cellCandidates(job *jobState) []candidate {
	var candidates []candidate
	for _, machine := range job.organisation.cellWorkers {
		core.steps++
		if !machine.usable() || job.avoids(machine) {
			continue
		}
		if slots := job.reclaimable(machine).quotient(job.perMember); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	return candidates
}

// reclaimCandidates lists the workers on which members fit in the cells of the job's organisation after evictions, with
// the work lost by these.
func (core *Core) reclaimCandidates(now time.Time, job *jobState) []candidate {
	var candidates []candidate
	for _, reclaimable := range core.cellCandidates(job) {
		slots, cost := core.evictionCost(now, job, reclaimable.worker, reclaimable.members, core.victimsOn)
		if slots > 0 {
			candidates = append(candidates, candidate{reclaimable.worker, slots, cost})
		}
	}
	return candidates
}

// victimsFunc lists the gangs on a worker that may be evicted for a job, cheapest first.
type victimsFunc func(now time.Time, job *jobState, machine *worker) []*jobState

// evictionCost returns how many of the members fit on a worker after evictions, and the work lost for each of these
// members.
func (core *Core) evictionCost(
	now time.Time, job *jobState, machine *worker, members int, list victimsFunc,
) (int, float64) {
	available := machine.available()
	if available.covers(job.perMember.times(members)) {
		return members, 0
	}
	cost := 0.0
	for _, victim := range list(now, job, machine) {
		cost += core.loss(now, victim)
		available = available.plus(victim.perMember.times(machine.membersOf(victim)))
		if available.covers(job.perMember.times(members)) {
			return members, cost / float64(members)
		}
	}
	fit := min(available.quotient(job.perMember), members)
	return fit, cost / float64(max(fit, 1))
}

// reclaim claims accelerators for a job in its organisation's cells and evicts the work on them. If it finds none, it
// first drops claims over which the job takes precedence. It may move a cell to accelerators that can be emptied with
// less work lost.
func (core *Core) reclaim(now time.Time, job *jobState) bool {
	holdings, victims, found := core.planReclaim(now, job)
	if !found && core.dropOutrankedClaims(now, job) {
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

// planReclaim chooses accelerators for a job in its organisation's cells and the gangs to evict from them. It reports
// whether the job fits after these evictions.
func (core *Core) planReclaim(now time.Time, job *jobState) ([]holding, []*jobState, bool) {
	holdings := core.assemble(job.shape(), core.reclaimCandidates(now, job))
	if holdings == nil {
		return nil, nil, false
	}
	victims, enough := core.chooseVictims(now, job, holdings, core.victimsOn)
	return holdings, victims, enough
}

// chooseVictims chooses the gangs to evict so that a claim of the holdings fits. Gangs with the least work lost for
// each accelerator that the claim needs are chosen first. It reports whether the evictions suffice.
func (core *Core) chooseVictims(
	now time.Time, job *jobState, holdings []holding, list victimsFunc,
) ([]*jobState, bool) {
	need := shortage{job: job, missing: map[*worker]resources{}, over: map[*worker]excess{}}
	var candidates []*jobState
	seen := map[*jobState]struct{}{}
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
	scores := make(map[*jobState]float64, len(candidates))
	for _, candidate := range candidates {
		scores[candidate] = core.loss(now, candidate) / float64(max(need.useful(candidate), 1))
	}
	slices.SortStableFunc(candidates, func(left, right *jobState) int {
		return cmp.Compare(scores[left], scores[right])
	})
	var victims []*jobState
	for _, candidate := range candidates {
		core.steps++
		if len(need.missing) == 0 {
			break
		}
		if need.useful(candidate) > 0 {
			need.recordVictim(candidate)
			victims = append(victims, candidate)
		}
	}
	return dropUnneededVictims(job, holdings, victims), len(need.missing) == 0
}

// shortage holds the resources that a claim still lacks on each worker. It is updated while the gangs to evict are
// chosen.
type shortage struct {
	job     *jobState
	missing map[*worker]resources
	over    map[*worker]excess
}

// add records the resources that the claim lacks on the worker of a holding and reports whether it lacks any.
func (shortage *shortage) add(holding holding) bool {
	machine := holding.worker
	lack := shortage.job.perMember.times(holding.members).minus(machine.available())
	if lack.positive() == (resources{}) {
		return false
	}
	shortage.missing[machine] = lack
	shortage.over[machine] = excessOf(machine)
	return true
}

// useful returns how many of the accelerators that the claim lacks would become free for it by the eviction of a gang.
func (shortage *shortage) useful(gang *jobState) int64 {
	useful := int64(0)
	for _, held := range gang.holdings {
		lack, ok := shortage.missing[held.worker]
		if !ok {
			continue
		}
		own := gang.organisation == shortage.job.organisation
		if own || shortage.over[held.worker][gang.organisation.index][0] > 0 {
			useful += min(max(lack[0], 1), gang.perMember.times(held.members)[0])
		}
	}
	return useful
}

// recordVictim reduces the shortage by what the eviction of a gang frees.
func (shortage *shortage) recordVictim(gang *jobState) {
	for _, held := range gang.holdings {
		freed := gang.perMember.times(held.members)
		if over, ok := shortage.over[held.worker]; ok {
			over[gang.organisation.index] = over[gang.organisation.index].minus(freed)
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

// dropUnneededVictims removes the victims without whose eviction the claim still fits, the most expensive first.
func dropUnneededVictims(job *jobState, holdings []holding, victims []*jobState) []*jobState {
	surplus := map[*worker]resources{}
	for _, holding := range holdings {
		surplus[holding.worker] = holding.worker.available().minus(job.perMember.times(holding.members))
	}
	for _, victim := range victims {
		for _, held := range victim.holdings {
			if left, ok := surplus[held.worker]; ok {
				surplus[held.worker] = left.plus(victim.perMember.times(held.members))
			}
		}
	}
	for i := len(victims) - 1; i >= 0; i-- {
		needed := false
		for _, held := range victims[i].holdings {
			left, ok := surplus[held.worker]
			needed = needed || ok && !left.covers(victims[i].perMember.times(held.members))
		}
		if needed {
			continue
		}
		for _, held := range victims[i].holdings {
			if left, ok := surplus[held.worker]; ok {
				surplus[held.worker] = left.minus(victims[i].perMember.times(held.members))
			}
		}
		victims = slices.Delete(victims, i, i+1)
	}
	return victims
}
