package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// cell is one guaranteed shape of an organisation. It is bound while accelerators are assigned to it; only work that
// can be evicted for the organisation may borrow them.
type cell struct {
	owner *organisation
	shape fleet.Shape
	// holdings lists the accelerators of the cell, by worker. It is empty while the cell is not bound.
	holdings []holding
	// occupant is the job of the cell's own shape that runs in the cell or claims it; nil if there is none.
	occupant *jobState
}

// cellKind is the owner and the shape of a cell. Cells of the same kind are interchangeable.
type cellKind struct {
	owner *organisation
	shape fleet.Shape
}

func (cell *cell) kind() cellKind { return cellKind{cell.owner, cell.shape} }

// configChanged applies a newer configuration. Existing cells that it still guarantees keep their accelerators; among
// cells of the same kind, bound ones are kept first.
func (core *Core) configChanged(now time.Time, config *profile.Config) {
	if config == nil || core.config != nil && config.Revision < core.config.Revision {
		return
	}
	core.config = config
	wanted := core.wantedCells(config)
	var kept []*cell
	boundFirst := slices.Clone(core.cells)
	slices.SortStableFunc(boundFirst, func(left, right *cell) int {
		return cmp.Compare(min(len(right.holdings), 1), min(len(left.holdings), 1))
	})
	for _, cell := range boundFirst {
		if wanted[cell.kind()] > 0 {
			wanted[cell.kind()]--
			kept = append(kept, cell)
			continue
		}
		core.unbind(cell)
	}
	core.cells = kept
	core.unbound = slices.DeleteFunc(core.unbound, func(cell *cell) bool { return !slices.Contains(kept, cell) })
	for _, fresh := range newCells(core.organisations) {
		if wanted[fresh.kind()] > 0 {
			wanted[fresh.kind()]--
			core.cells = append(core.cells, fresh)
			core.unbound = append(core.unbound, fresh)
		}
	}
	core.evacuationsChanged(now)
	core.recheckFeasibility = true
	core.repack = true
	core.capacityFreed()
}

// wantedCells returns the number of guaranteed cells of each kind in a configuration. It also replaces the
// configuration and the sum of the guarantees of every organisation.
func (core *Core) wantedCells(config *profile.Config) map[cellKind]int {
	for _, owner := range core.organisations {
		owner.config = nil
		owner.guaranteed = 0
	}
	ids := make([]fleet.OrganisationID, 0, len(config.Organisations))
	for id := range config.Organisations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	wanted := map[cellKind]int{}
	for _, id := range ids {
		owner := core.organisation(id)
		owner.config = config.Organisations[id]
		for _, guarantee := range owner.config.Guarantees {
			wanted[cellKind{owner, guarantee.Shape}] += guarantee.Count
			owner.guaranteed += fleet.Accelerators(guarantee.Count) * guarantee.Shape.Total()
		}
	}
	return wanted
}

// newCells returns new, unbound cells for all guarantees of the organisations.
func newCells(owners []*organisation) []*cell {
	var cells []*cell
	for _, owner := range owners {
		if owner.config == nil {
			continue
		}
		for _, guarantee := range owner.config.Guarantees {
			for range guarantee.Count {
				cells = append(cells, &cell{owner: owner, shape: guarantee.Shape})
			}
		}
	}
	return cells
}

// bind assigns accelerators to a cell.
func (core *Core) bind(cell *cell, holdings []holding) {
	cell.holdings = holdings
	perMember := resourcesOf(cell.shape)
	for _, holding := range holdings {
		share := holding.worker.editShare(cell.owner.index)
		share.cell = share.cell.plus(perMember.times(holding.members))
		holding.worker.cells = append(holding.worker.cells, cell)
		core.refresh(holding.worker)
		core.steps++
	}
	cell.owner.cellsChanged = true
	core.cellsChanged = true
}

// unbind releases the accelerators of a cell. A job that occupied the cell keeps its accelerators.
func (core *Core) unbind(cell *cell) {
	if cell.occupant != nil {
		core.vacate(cell.occupant)
	}
	perMember := resourcesOf(cell.shape)
	for _, holding := range cell.holdings {
		machine := holding.worker
		share := machine.editShare(cell.owner.index)
		share.cell = share.cell.minus(perMember.times(holding.members))
		at := slices.Index(machine.cells, cell)
		machine.cells = slices.Delete(machine.cells, at, at+1)
		machine.dropEmptyShares()
		core.refresh(machine)
		core.steps++
	}
	cell.holdings = nil
	cell.owner.cellsChanged = true
	core.cellsChanged = true
}

// unbindUnfitCells unbinds all cells of a worker if it may hold no cells any more or if its capacity has become too
// small for them.
func (core *Core) unbindUnfitCells(machine *worker) {
	if machine.mayHoldCells() && core.cellsFit(machine) {
		return
	}
	for len(machine.cells) > 0 {
		unfit := machine.cells[0]
		core.unbind(unfit)
		core.unbound = append(core.unbound, unfit)
	}
}

// cellsFit reports whether the capacity of a worker suffices for the cells that are bound to it.
func (core *Core) cellsFit(machine *worker) bool {
	var covered resources
	for _, share := range machine.shares {
		covered = covered.plus(share.cell)
	}
	return machine.capacity.covers(covered)
}

// smallFleetSize is the largest number of workers plus cells of a small fleet. On a small fleet with unbound cells, all
// cells are packed anew whenever capacity for cells may have become free. A larger fleet is packed anew only after
// changes of its workers or its configuration, since packing 12,000 workers takes longer than a decision may.
const smallFleetSize = 2000

// repackIfSmall requests that all cells are packed anew, which may bind more of them, if some are unbound and the fleet
// is small.
func (core *Core) repackIfSmall() {
	if len(core.unbound) > 0 && core.presentWorkers+len(core.cells) <= smallFleetSize {
		core.repack = true
	}
}

// bindCells binds the unbound cells for which there is a place, and updates what is derived from the bound cells.
func (core *Core) bindCells(now time.Time) {
	if core.ready() && len(core.unbound) > 0 && core.bindVersionTried != core.bindVersion {
		core.unbound = core.bindMostDemandingFirst(core.unbound)
		if len(core.unbound) > 0 && core.repack {
			core.bindOverClaims(now)
		}
		core.bindVersionTried = core.bindVersion
		core.repack = false
	}
	if core.cellsChanged {
		core.cellsChanged = false
		core.refreshCellWorkers()
		maps.DeleteFunc(core.feasibilityCache, func(query feasibilityQuery, _ bool) bool { return !query.preemptible })
		core.capacityVersion++
	}
}

// bindOverClaims binds cells as if no claims of jobs that cannot be preempted existed, since these jobs do not run yet.
// If cells are still unbound, it calls repackCells. It then drops the claims whose accelerators are covered by cells of
// other organisations.
func (core *Core) bindOverClaims(now time.Time) {
	suspended := core.suspendClaims()
	if len(suspended) > 0 {
		core.unbound = core.bindMostDemandingFirst(core.unbound)
	}
	if len(core.unbound) > 0 {
		core.repackCells()
	}
	core.resumeClaims(now, suspended)
}

// bindMostDemandingFirst binds cells in the order of moreDemanding and returns those that find no place.
func (core *Core) bindMostDemandingFirst(cells []*cell) []*cell {
	ordered := slices.Clone(cells)
	slices.SortStableFunc(ordered, moreDemanding)
	return core.bindInOrder(ordered)
}

// bindInOrder binds cells in the given order and returns those without a place.
func (core *Core) bindInOrder(ordered []*cell) []*cell {
	var left []*cell
	failed := map[cellKind]bool{}
	for _, cell := range ordered {
		if failed[cell.kind()] {
			left = append(left, cell)
			continue
		}
		holdings := core.findCellHoldings(cell)
		if holdings == nil {
			failed[cell.kind()] = true
			left = append(left, cell)
			continue
		}
		core.bind(cell, holdings)
	}
	return left
}

// findCellHoldings searches for accelerators to which a cell can be bound: no cell covers them, and work of other
// organisations on them can be evicted. On a small fleet it prefers the accelerators that findOverOwnWork finds.
func (core *Core) findCellHoldings(cell *cell) []holding {
	perMember, index := resourcesOf(cell.shape), cell.owner.index
	if core.presentWorkers+len(core.cells) <= smallFleetSize {
		if holdings := core.findOverOwnWork(cell); holdings != nil {
			return holdings
		}
	}
	search := search{core, viewBind, cell.shape, func(machine *worker) int {
		return machine.bindableFor(index).quotient(perMember)
	}}
	return search.find()
}

// findOverOwnWork searches for accelerators for a cell. It prefers accelerators outside cells that belong to
// non-preemptible jobs of the cell's owner, and returns nil if there are none of these. The indexes do not count them,
// since cells of other organisations cannot be bound to them, so it visits all workers.
func (core *Core) findOverOwnWork(cell *cell) []holding {
	perMember, index := resourcesOf(cell.shape), cell.owner.index
	var candidates []candidate
	covers := false
	for _, zone := range core.zones {
		for _, machine := range zone.workers {
			core.steps++
			if machine == nil || !machine.mayHoldCells() {
				continue
			}
			own := machine.share(index)
			gain := -float64(own.pinned.minus(own.cell).positive()[0])
			if slots := machine.bindableFor(index).quotient(perMember); slots > 0 {
				candidates = append(candidates, candidate{machine, slots, gain})
				covers = covers || gain < 0
			}
		}
	}
	if !covers {
		return nil
	}
	return core.assemble(cell.shape, candidates)
}

// moreDemanding orders cells by the accelerators that they need on one worker, then by adjacency, closest first, and
// then by size.
func moreDemanding(left, right *cell) int {
	if order := cmp.Compare(perWorkerDemand(right.shape), perWorkerDemand(left.shape)); order != 0 {
		return order
	}
	if order := cmp.Compare(right.shape.Adjacency, left.shape.Adjacency); order != 0 {
		return order
	}
	return cmp.Compare(right.shape.Total(), left.shape.Total())
}

// perWorkerDemand returns the accelerators that a gang of a shape needs at least on one worker.
func perWorkerDemand(shape fleet.Shape) fleet.Accelerators {
	if shape.Adjacency == fleet.AdjacencyWorker {
		return shape.Total()
	}
	return shape.Accelerators
}

// refreshCellWorkers updates cellsOf and cellWorkers of the organisations whose cells were bound or unbound.
func (core *Core) refreshCellWorkers() {
	changed := map[*organisation]map[*worker]struct{}{}
	for _, owner := range core.organisations {
		if owner.cellsChanged {
			owner.cellsChanged = false
			owner.cellWorkers = nil
			owner.cellsOf = map[fleet.Shape][]*cell{}
			changed[owner] = map[*worker]struct{}{}
		}
	}
	for _, cell := range core.cells {
		seen, ok := changed[cell.owner]
		if !ok {
			continue
		}
		if len(cell.holdings) > 0 {
			cell.owner.cellsOf[cell.shape] = append(cell.owner.cellsOf[cell.shape], cell)
		}
		for _, holding := range cell.holdings {
			core.steps++
			if _, known := seen[holding.worker]; !known {
				seen[holding.worker] = struct{}{}
				cell.owner.cellWorkers = append(cell.owner.cellWorkers, holding.worker)
			}
		}
	}
	for owner := range changed {
		slices.SortFunc(owner.cellWorkers, compareLocation)
		owner.cellCapacityVersion++
	}
}
