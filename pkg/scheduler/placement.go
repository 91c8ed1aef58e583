package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// candidate is a worker that could hold members of a gang at a cost.
type candidate struct {
	worker  *worker
	members int
	// cost is the accelerator-seconds lost for each member that is taken.
	cost float64
}

// assemble chooses holdings for all members from candidates, or nil. It prefers the adjacent group with the
// least cost and then the one that leaves the least unused.
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
		holdings, cost, left := pick(shape.Members, group)
		if holdings == nil {
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && left < bestLeft {
			best, bestCost, bestLeft = holdings, cost, left
		}
	}
	return best
}

// byLocation orders candidates so that those of one rack and of one data centre follow each other.
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

// adjacent reports whether members of one gang may run on both workers.
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

// pick takes members from one group by cost, then from the fullest workers. It also returns the cost and
// the members that the group could hold beyond those taken.
func pick(members int, group []candidate) ([]holding, float64, int) {
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

// avoids reports whether the job keeps off the worker, since it failed there.
func (entry *entry) avoids(machine *worker) bool {
	return !entry.lenient && len(entry.failedOn) > 0 && slices.Contains(entry.failedOn, machine.ID)
}

// freeSlots returns how many members may start on a worker now, borrowing included.
func (entry *entry) freeSlots(machine *worker) int {
	if entry.avoids(machine) {
		return 0
	}
	if entry.preemptible {
		return machine.free.quotient(entry.unit)
	}
	return machine.pinnedRoom(entry).quotient(entry.unit)
}

// openSlots returns how many members may start on a worker now where no cell is.
func (entry *entry) openSlots(machine *worker) int {
	if entry.avoids(machine) {
		return 0
	}
	return machine.open.quotient(entry.unit)
}

// ownSlots returns how many members may start on a worker now in cells of the job's organisation.
func (entry *entry) ownSlots(machine *worker) int {
	if entry.avoids(machine) || !machine.usable() {
		return 0
	}
	return machine.ownRoom(entry.organisation.tenant).atMost(machine.free).quotient(entry.unit)
}

// findOwn looks for free accelerators in the organisation's cells.
func (core *Core) findOwn(job *entry) []holding {
	var candidates []candidate
	for _, machine := range job.organisation.cellWorkers {
		core.steps++
		if slots := job.ownSlots(machine); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	return core.assemble(job.shape(), candidates)
}

// searchKey names a search whose result does not depend on the job's organisation.
type searchKey struct {
	in    view
	shape fleet.Shape
}

// findIn looks through the index of a view. A search that failed is not repeated before capacity becomes
// free, whichever organisation asks.
func (core *Core) findIn(job *entry, in view, slots func(*worker) int) []holding {
	key := searchKey{in, job.shape()}
	if version, failed := core.exhausted[key]; failed && version == core.version {
		return nil
	}
	search := search{core, in, job.shape(), slots}
	holdings := search.find()
	if holdings == nil && len(job.failedOn) == 0 {
		core.exhausted[key] = core.version
	}
	return holdings
}

// findOpen looks for free accelerators that no cell covers.
func (core *Core) findOpen(job *entry) []holding { return core.findIn(job, viewOpen, job.openSlots) }

// findAny looks for free accelerators wherever the job may run.
func (core *Core) findAny(job *entry) []holding {
	if job.preemptible {
		return core.findIn(job, viewFree, job.freeSlots)
	}
	if job.guaranteed() || !core.hasOwnFree(job) {
		return nil
	}
	return core.assemble(job.shape(), core.mixedCandidates(job))
}

// hasOwnFree reports whether any accelerator is free in the organisation's cells.
func (core *Core) hasOwnFree(job *entry) bool {
	for _, machine := range job.organisation.cellWorkers {
		core.steps++
		if machine.usable() && machine.ownRoom(job.organisation.tenant).atMost(machine.free)[0] > 0 {
			return true
		}
	}
	return false
}

// mixedCandidates lists workers with the organisation's cells and workers with open accelerators.
func (core *Core) mixedCandidates(job *entry) []candidate {
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
