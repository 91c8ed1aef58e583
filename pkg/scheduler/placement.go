package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// candidate is a worker that can hold members of a gang, possibly after evictions.
type candidate struct {
	worker  *worker
	members int
	// cost is the cost of each member that is placed on the worker: the accelerator-seconds lost by evictions, unless
	// the search prefers workers by another measure.
	cost float64
}

// assemble chooses holdings for all members from candidates, or returns nil if the candidates do not suffice. It
// considers each group of workers that are close enough for the shape, such as those of one rack. It prefers the group
// with the least cost, then the group that could hold the fewest further members.
func (core *Core) assemble(shape fleet.Shape, candidates []candidate) []holding {
	if !slices.IsSortedFunc(candidates, byLocation) {
		slices.SortFunc(candidates, byLocation)
	}
	var best []holding
	bestCost, bestLeft := 0.0, 0
	for len(candidates) > 0 {
		size := 1
		for size < len(candidates) && adjacent(shape.Adjacency, candidates[0].worker, candidates[size].worker) {
			size++
		}
		group := candidates[:size]
		candidates = candidates[size:]
		core.steps += uint64(len(group))
		holdings, cost, left := takeCheapest(shape.Members, group)
		if holdings == nil {
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && left < bestLeft {
			best, bestCost, bestLeft = holdings, cost, left
		}
	}
	return best
}

// byLocation orders candidates so that those of the same data centre, and within it those of the same rack, are next to
// each other.
func byLocation(left, right candidate) int { return compareLocation(left.worker, right.worker) }

func compareLocation(left, right *worker) int {
	if order := cmp.Compare(left.zone.serial, right.zone.serial); order != 0 {
		return order
	}
	if order := cmp.Compare(left.rack.serial, right.rack.serial); order != 0 {
		return order
	}
	return cmp.Compare(left.slot, right.slot)
}

// adjacent reports whether the adjacency allows members of one gang on both workers.
func adjacent(adjacency fleet.Adjacency, left, right *worker) bool {
	switch adjacency {
	case fleet.AdjacencyWorker:
		return left == right
	case fleet.AdjacencyRack:
		return left.rack == right.rack
	default:
		return left.zone == right.zone
	}
}

// takeCheapest places members on candidates of one group, those with the least cost first and, at the same cost, those
// that hold the fewest members. It returns the holdings, their cost and the number of further members that the group
// could hold. The holdings are nil if the group is too small.
func takeCheapest(members int, group []candidate) ([]holding, float64, int) {
	capacity := 0
	for _, candidate := range group {
		capacity += candidate.members
	}
	if capacity < members {
		return nil, 0, 0
	}
	slices.SortStableFunc(group, func(left, right candidate) int {
		if order := cmp.Compare(left.cost, right.cost); order != 0 {
			return order
		}
		return cmp.Compare(left.members, right.members)
	})
	var holdings []holding
	cost, missing := 0.0, members
	for _, candidate := range group {
		taken := min(candidate.members, missing)
		holdings = append(holdings, holding{candidate.worker, taken})
		cost += candidate.cost * float64(taken)
		missing -= taken
		if missing == 0 {
			break
		}
	}
	return holdings, cost, capacity - members
}

// avoids reports whether the job avoids the worker because an attempt of the job failed there.
func (job *jobState) avoids(machine *worker) bool {
	return !job.mayUseFailedOn && len(job.failedOn) > 0 && slices.Contains(job.failedOn, machine.ID)
}

// freeSlots returns how many members may start on a worker now, including, for a preemptible job, in cells of other
// organisations.
func (job *jobState) freeSlots(machine *worker) int {
	if job.avoids(machine) {
		return 0
	}
	if job.preemptible {
		return machine.free.quotient(job.perMember)
	}
	return machine.freeForPinned(job).quotient(job.perMember)
}

// openSlots returns how many members may start now on accelerators of a worker that no cell covers.
func (job *jobState) openSlots(machine *worker) int {
	if job.avoids(machine) {
		return 0
	}
	return machine.open.quotient(job.perMember)
}

// ownSlots returns how many members may start on a worker now in cells of the job's organisation.
func (job *jobState) ownSlots(machine *worker) int {
	if job.avoids(machine) || !machine.usable() {
		return 0
	}
	return machine.unusedCells(job.organisation.index).atMost(machine.free).quotient(job.perMember)
}

// findOwn searches for free accelerators in the cells of the job's organisation.
func (core *Core) findOwn(job *jobState) []holding {
	var candidates []candidate
	for _, machine := range job.organisation.cellWorkers {
		core.steps++
		if slots := job.ownSlots(machine); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	return core.assemble(job.shape(), candidates)
}

// searchKey identifies searches through an index that find the same places for every organisation.
type searchKey struct {
	view  view
	shape fleet.Shape
}

// findIn searches for holdings through the index of a view. After a search that found nothing, it does not repeat the
// search for the same view and shape, for any organisation, until capacity may have become free. This does not apply
// after the search of a job that avoids workers, since other jobs may use these workers.
func (core *Core) findIn(job *jobState, index view, slots func(*worker) int) []holding {
	key := searchKey{index, job.shape()}
	if version, failed := core.failedSearches[key]; failed && version == core.capacityVersion {
		return nil
	}
	search := search{core, index, job.shape(), slots}
	holdings := search.find()
	if holdings == nil && len(job.failedOn) == 0 {
		core.failedSearches[key] = core.capacityVersion
	}
	return holdings
}

// findOpen searches for free accelerators that no cell covers.
func (core *Core) findOpen(job *jobState) []holding { return core.findIn(job, viewOpen, job.openSlots) }

// findAny searches for free accelerators wherever the job may run. For a job that cannot be preempted, it combines the
// cells of its organisation with accelerators outside cells. For such a job it returns nil if its shape is guaranteed
// or nothing is free in the cells.
func (core *Core) findAny(job *jobState) []holding {
	if job.preemptible {
		return core.findIn(job, viewFree, job.freeSlots)
	}
	if job.guaranteed() || !core.hasOwnFree(job) {
		return nil
	}
	return core.assemble(job.shape(), core.mixedCandidates(job))
}

// findWithoutReclaim searches for free accelerators that a job may use instead of reclaiming cells of its organisation,
// and returns the reason for their choice. Only a job that can be moved at little loss borrows accelerators of cells.
func (core *Core) findWithoutReclaim(job *jobState) (holdings []holding, reason string) {
	if holdings := core.findOpen(job); holdings != nil {
		return holdings, "free accelerators outside cells"
	}
	if !job.spec.Profile.Checkpoint || !job.preemptible || job.urgent() {
		return nil, ""
	}
	return core.findAny(job), "free accelerators, with borrowing instead of a reclaim"
}

// hasOwnFree reports whether any accelerator is free in the organisation's cells.
func (core *Core) hasOwnFree(job *jobState) bool {
	for _, machine := range job.organisation.cellWorkers {
		core.steps++
		if machine.usable() && machine.unusedCells(job.organisation.index).atMost(machine.free)[0] > 0 {
			return true
		}
	}
	return false
}

// mixedCandidates lists the workers on which members may start in cells of the job's organisation or outside cells.
func (core *Core) mixedCandidates(job *jobState) []candidate {
	var candidates []candidate
	seen := map[*worker]struct{}{}
	add := func(machine *worker) {
		core.steps++
		if _, known := seen[machine]; known || !machine.usable() {
			return
		}
		seen[machine] = struct{}{}
		if slots := job.freeSlots(machine); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	for _, machine := range job.organisation.cellWorkers {
		add(machine)
	}
	for _, zone := range core.zones {
		for key := int(job.shape().Accelerators); key < len(zone.buckets[viewOpen]); key++ {
			slots := zone.buckets[viewOpen][key].slots
			for slot := slots.next(0); slot >= 0; slot = slots.next(slot + 1) {
				add(zone.workers[slot])
			}
		}
	}
	return candidates
}
