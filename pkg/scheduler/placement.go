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
	groups := groupByAdjacency(shape.Adjacency, candidates)
	var best []holding
	bestCost, bestLeft := 0.0, 0
	for _, group := range groups {
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

// groupByAdjacency splits candidates into the groups in which a gang may run, in order of appearance.
func groupByAdjacency(adjacency fleet.Adjacency, candidates []candidate) [][]candidate {
	var groups [][]candidate
	index := map[any]int{}
	for _, candidate := range candidates {
		var key any
		switch adjacency {
		case fleet.AdjacencyWorker:
			key = candidate.worker
		case fleet.AdjacencyRack:
			key = candidate.worker.rack
		default:
			key = candidate.worker.zone
		}
		at, ok := index[key]
		if !ok {
			at = len(groups)
			index[key] = at
			groups = append(groups, nil)
		}
		groups[at] = append(groups[at], candidate)
	}
	return groups
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

// avoids reports whether the job failed on the worker before.
func (entry *entry) avoids(machine *worker) bool {
	return len(entry.failedOn) > 0 && slices.Contains(entry.failedOn, machine.ID)
}

// freeSlots returns how many members may start on a worker now, borrowing included.
func (entry *entry) freeSlots(machine *worker) int {
	if entry.avoids(machine) {
		return 0
	}
	if entry.preemptible {
		return machine.free.quotient(entry.unit)
	}
	return machine.pinnedRoom(entry.organisation.tenant).quotient(entry.unit)
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

// findOpen looks for free accelerators that no cell covers.
func (core *Core) findOpen(job *entry) []holding {
	search := search{core, viewOpen, job.shape(), job.openSlots}
	return search.find()
}

// findAny looks for free accelerators wherever the job may run.
func (core *Core) findAny(job *entry) []holding {
	if job.preemptible {
		search := search{core, viewFree, job.shape(), job.freeSlots}
		return search.find()
	}
	if len(job.organisation.cellWorkers) == 0 {
		return nil
	}
	return core.assemble(job.shape(), core.mixedCandidates(job))
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
