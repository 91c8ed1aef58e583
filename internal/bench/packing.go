package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// packingTries is how often guaranteesFit tries to place all guaranteed shapes, each time in another order, before it
// reports that they do not fit.
const packingTries = 40

// cell is one copy of a guaranteed shape of an organisation. A guarantee has as many cells as its count.
type cell struct {
	organisation fleet.OrganisationID
	shape        fleet.Shape
}

// packing is an attempt to place the cells of all guarantees at the same time. The cells of an organisation may contain
// its own non-preemptible work, but not that of other organisations.
type packing struct {
	record *record
	// fixed counts the accelerators that non-preemptible work holds, and cells those that placed cells occupy, by
	// worker and organisation.
	fixed map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators
	cells map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators
	// blocked is, for each worker, the sum over the organisations of the larger of fixed and cells. The larger one is
	// enough because an organisation's non-preemptible work may run inside its cells.
	blocked map[fleet.WorkerID]fleet.Accelerators
	// random makes place select one group in three at random, to try other packings. If random is nil, place always
	// selects the best group.
	random *rand.Rand
	// countForeign is true if accelerators do not count as available while they are held by leases unknown to the
	// scheduler or are on a worker that refused a placement.
	countForeign bool
}

// checkReclaimable checks that a non-preemptible job that was just placed leaves enough capacity for all guarantees. It
// records a violation if the guarantees would fit on the fleet without the job but do not fit with it. Leases that are
// unknown to the scheduler, and the refusals that they cause, end soon, so the scheduler may count their accelerators
// as occupied or not. The violation is recorded only if it occurs in both cases. While the workers of a data centre that
// was taken back return step by step, the record does not know which of them are in use, and checks nothing.
func (record *record) checkReclaimable(state *jobRecord) {
	if state.job.Profile.Preemptible() || record.returning {
		return
	}
	for _, countForeign := range []bool{false, true} {
		if record.guaranteesFit(nil, countForeign) || !record.guaranteesFit(state, countForeign) {
			return
		}
	}
	record.addViolation(RuleUnreclaimable, "%s on %s beside %s", state.job.Key, state.members[0].Worker,
		record.describeFixed())
}

// describeFixed describes the situation of a violation: the placed non-preemptible work, the workers that are not fully
// usable, and the guaranteed shapes.
func (record *record) describeFixed() string {
	var text strings.Builder
	for _, state := range record.active {
		for _, member := range state.members {
			if !state.job.Profile.Preemptible() {
				fmt.Fprintf(&text, "%s holds %d on %s; ", state.job.Key, member.Accelerators, member.Worker)
			}
		}
	}
	for _, worker := range record.order {
		if worker.lost || worker.terminated || worker.worker.Leaving || worker.quarantined || worker.busy ||
			worker.foreign > 0 || worker.evacuated {
			fmt.Fprintf(&text, "%s lost %t terminated %t leaving %t quarantined %t busy %t foreign %d evacuated %t; ",
				worker.worker.ID, worker.lost, worker.terminated, worker.worker.Leaving, worker.quarantined,
				worker.busy, worker.foreign, worker.evacuated)
		}
	}
	for _, cell := range record.guaranteedCells() {
		fmt.Fprintf(&text, "%s is guaranteed %s; ", cell.organisation, cell.shape)
	}
	return text.String()
}

// guaranteesFit reports whether all guaranteed shapes can be placed at the same time beside the non-preemptible work of
// all jobs but the ignored one. If countForeign is true, the capacity excludes accelerators that are held by leases
// unknown to the scheduler, and workers that refused a placement.
func (record *record) guaranteesFit(ignored *jobRecord, countForeign bool) bool {
	fixed := map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators{}
	for _, state := range record.active {
		if state == ignored || state.job.Profile.Preemptible() {
			continue
		}
		for _, member := range state.members {
			if fixed[member.Worker] == nil {
				fixed[member.Worker] = map[fleet.OrganisationID]fleet.Accelerators{}
			}
			fixed[member.Worker][state.job.Key.Organisation] += member.Accelerators
		}
	}
	cells := record.guaranteedCells()
	random := rand.New(rand.NewPCG(1, 1))
	for try := range packingTries {
		packing := newPacking(record, fixed)
		packing.countForeign = countForeign
		if try > 0 {
			packing.random = random
			random.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
		}
		if packing.placeAll(cells) {
			return true
		}
	}
	return false
}

// guaranteedCells returns a cell for each copy of each guaranteed shape, the largest first.
func (record *record) guaranteedCells() []cell {
	var cells []cell
	for _, id := range sortedOrganisations(record.config) {
		for _, guarantee := range record.config.Organisations[id].Guarantees {
			for range guarantee.Count {
				cells = append(cells, cell{id, guarantee.Shape})
			}
		}
	}
	slices.SortStableFunc(cells, func(a, b cell) int { return largestFirst(a.shape, b.shape) })
	return cells
}

func newPacking(record *record, fixed map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators) *packing {
	packing := &packing{
		record:  record,
		fixed:   fixed,
		cells:   map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators{},
		blocked: map[fleet.WorkerID]fleet.Accelerators{},
	}
	for worker, held := range fixed {
		for _, accelerators := range held {
			packing.blocked[worker] += accelerators
		}
	}
	return packing
}

func (packing *packing) placeAll(cells []cell) bool {
	for _, cell := range cells {
		if !packing.place(cell) {
			return false
		}
	}
	return true
}

// place puts one cell, a copy of a guaranteed shape, into the group of adjacent workers that has the most
// non-preemptible work of the cell's organisation outside its other cells, and among equal groups into the one with the
// least capacity. It returns false if no group has enough capacity.
func (packing *packing) place(cell cell) bool {
	capacity, own := map[string]int{}, map[string]fleet.Accelerators{}
	var groups []string
	for _, worker := range packing.record.order {
		group := worker.groups[cell.shape.Adjacency]
		if _, ok := capacity[group]; !ok {
			groups = append(groups, group)
		}
		capacity[group] += int(packing.available(worker, cell.organisation) / cell.shape.Accelerators)
		if packing.cells[worker.worker.ID][cell.organisation] == 0 {
			own[group] += packing.fixed[worker.worker.ID][cell.organisation]
		}
	}
	groups = slices.DeleteFunc(groups, func(group string) bool { return capacity[group] < cell.shape.Members })
	if len(groups) == 0 {
		return false
	}
	best := slices.MinFunc(groups, func(a, b string) int {
		return cmp.Or(cmp.Compare(own[b], own[a]), cmp.Compare(capacity[a], capacity[b]))
	})
	if packing.random != nil && packing.random.IntN(3) == 0 {
		best = groups[packing.random.IntN(len(groups))]
	}
	packing.fill(cell, best)
	return true
}

// available returns how many accelerators of a worker the next copy of one of an organisation's guaranteed shapes may
// use. It includes those that hold the organisation's own non-preemptible work, which may run inside the copy.
func (packing *packing) available(worker *workerRecord, organisation fleet.OrganisationID) fleet.Accelerators {
	if worker.lost || worker.terminated || worker.worker.Leaving || worker.evacuated {
		return 0
	}
	id := worker.worker.ID
	own := max(packing.fixed[id][organisation], packing.cells[id][organisation])
	others := packing.blocked[id] - own
	if packing.countForeign && worker.busy {
		return 0
	}
	if packing.countForeign {
		others += worker.foreign
	}
	return worker.worker.Accelerators - others - packing.cells[id][organisation]
}

// fill places the members of a cell, a copy of a guaranteed shape, on the workers of a group. It begins with the
// workers that have the most non-preemptible work of the cell's organisation.
func (packing *packing) fill(cell cell, group string) {
	var workers []*workerRecord
	for _, worker := range packing.record.order {
		if worker.groups[cell.shape.Adjacency] == group {
			workers = append(workers, worker)
		}
	}
	slices.SortStableFunc(workers, func(a, b *workerRecord) int {
		return int(packing.fixed[b.worker.ID][cell.organisation] - packing.fixed[a.worker.ID][cell.organisation])
	})
	missing := cell.shape.Members
	for _, worker := range workers {
		for missing > 0 && packing.available(worker, cell.organisation) >= cell.shape.Accelerators {
			packing.addMember(worker.worker.ID, cell)
			missing--
		}
	}
}

// addMember places one member of a cell, a copy of a guaranteed shape, on a worker.
func (packing *packing) addMember(id fleet.WorkerID, cell cell) {
	if packing.cells[id] == nil {
		packing.cells[id] = map[fleet.OrganisationID]fleet.Accelerators{}
	}
	before := max(packing.fixed[id][cell.organisation], packing.cells[id][cell.organisation])
	packing.cells[id][cell.organisation] += cell.shape.Accelerators
	after := max(packing.fixed[id][cell.organisation], packing.cells[id][cell.organisation])
	packing.blocked[id] += after - before
}
