package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// cell is one guaranteed shape, bound to accelerators or not.
type cell struct {
	owner *organisation
	shape fleet.Shape
	// holdings is empty while the cell is not bound.
	holdings []holding
	// occupant is the job of the cell's shape that runs or claims here; nil if there is none.
	occupant *entry
}

// cellKind is what equal cells have in common.
type cellKind struct {
	owner *organisation
	shape fleet.Shape
}

func (cell *cell) kind() cellKind { return cellKind{cell.owner, cell.shape} }

// configChanged takes a newer configuration over. Cells that both configurations have stay where they are.
func (core *Core) configChanged(config *profile.Config) {
	if config == nil || core.config != nil && config.Revision < core.config.Revision {
		return
	}
	core.config = config
	wanted := core.wantedCells(config)
	var kept []*cell
	bound := slices.Clone(core.cells)
	slices.SortStableFunc(bound, func(left, right *cell) int {
		return cmp.Compare(min(len(right.holdings), 1), min(len(left.holdings), 1))
	})
	for _, cell := range bound {
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
	core.recheck = true
	core.repack = true
	core.freed()
}

// wantedCells counts the cells of a configuration and gives every organisation its document.
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

// newCells lists all cells of the organisations' documents.
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

// bind covers accelerators by a cell.
func (core *Core) bind(cell *cell, holdings []holding) {
	cell.holdings = holdings
	unit := resourcesOf(cell.shape)
	for _, holding := range holdings {
		share := holding.worker.editShare(cell.owner.tenant)
		share.cell = share.cell.plus(unit.times(holding.members))
		holding.worker.cells = append(holding.worker.cells, cell)
		core.refresh(holding.worker)
		core.steps++
	}
	cell.owner.cellsMoved = true
	core.cellsMoved = true
}

// unbind uncovers the accelerators of a cell.
func (core *Core) unbind(cell *cell) {
	if cell.occupant != nil {
		core.vacate(cell.occupant)
	}
	unit := resourcesOf(cell.shape)
	for _, holding := range cell.holdings {
		machine := holding.worker
		share := machine.editShare(cell.owner.tenant)
		share.cell = share.cell.minus(unit.times(holding.members))
		at := slices.Index(machine.cells, cell)
		machine.cells = slices.Delete(machine.cells, at, at+1)
		machine.dropEmptyShares()
		core.refresh(machine)
		core.steps++
	}
	cell.holdings = nil
	cell.owner.cellsMoved = true
	core.cellsMoved = true
}

// breakCells unbinds the cells of a worker that can no longer hold them.
func (core *Core) breakCells(machine *worker) {
	if machine.bindableState() && core.cellsFit(machine) {
		return
	}
	for len(machine.cells) > 0 {
		broken := machine.cells[0]
		core.unbind(broken)
		core.unbound = append(core.unbound, broken)
	}
}

// cellsFit reports whether a worker whose capacity changed still holds its cells.
func (core *Core) cellsFit(machine *worker) bool {
	var covered resources
	for _, share := range machine.shares {
		covered = covered.plus(share.cell)
	}
	return machine.capacity.covers(covered)
}

// smallFleet bounds the workers and cells of a fleet that is repacked whenever a worker has more room for cells
// during a shortfall. A repacking of 12,000 workers takes longer than a decision may.
const smallFleet = 2000

// repackIfSmall notes that a repacking may reduce the shortfall, unless the fleet is too large to repack often.
func (core *Core) repackIfSmall() {
	if len(core.unbound) > 0 && core.present+len(core.cells) <= smallFleet {
		core.repack = true
	}
}

// bindCells binds the cells that are not bound, as far as they find a place.
func (core *Core) bindCells(now time.Time) {
	if core.ready() && len(core.unbound) > 0 && core.bindTried != core.bindVersion {
		core.unbound = core.bindEach(core.unbound)
		if len(core.unbound) > 0 && core.repack {
			core.bindOverClaims(now)
		}
		core.bindTried = core.bindVersion
		core.repack = false
	}
	if core.cellsMoved {
		core.cellsMoved = false
		core.listCellWorkers()
		maps.DeleteFunc(core.feasible, func(question feasibility, _ bool) bool { return !question.preemptible })
		core.version++
	}
}

// bindOverClaims binds cells as if nothing were claimed for work that cannot be preempted, since that work does not
// run yet. It repacks all cells when that binds more of them. A claim that the cells leave no room for is given up.
func (core *Core) bindOverClaims(now time.Time) {
	suspended := core.suspendClaims()
	if len(suspended) > 0 {
		core.unbound = core.bindEach(core.unbound)
	}
	if len(core.unbound) > 0 {
		core.repackCells()
	}
	core.resumeClaims(now, suspended)
}

// bindEach binds cells in an order that places the most demanding first, and returns those without a place.
func (core *Core) bindEach(cells []*cell) []*cell {
	ordered := slices.Clone(cells)
	slices.SortStableFunc(ordered, moreDemanding)
	return core.bindInOrder(ordered)
}

// bindInOrder binds cells in the order given and returns those without a place.
func (core *Core) bindInOrder(ordered []*cell) []*cell {
	var left []*cell
	failed := map[cellKind]bool{}
	for _, cell := range ordered {
		if failed[cell.kind()] {
			left = append(left, cell)
			continue
		}
		holdings := core.findCell(cell)
		if holdings == nil {
			failed[cell.kind()] = true
			left = append(left, cell)
			continue
		}
		core.bind(cell, holdings)
	}
	return left
}

// findCell looks for accelerators that no cell covers and that can be emptied of others' work.
func (core *Core) findCell(cell *cell) []holding {
	unit, tenant := resourcesOf(cell.shape), cell.owner.tenant
	if core.present+len(core.cells) <= smallFleet {
		if holdings := core.findOverOwnWork(cell); holdings != nil {
			return holdings
		}
	}
	search := search{core, viewBind, cell.shape, func(machine *worker) int {
		return machine.bindableFor(tenant).quotient(unit)
	}}
	return search.find()
}

// findOverOwnWork looks for accelerators on which the owner's own work runs that cannot be preempted and that
// no cell of the owner covers. The indexes do not list these, since other organisations' cells cannot be there.
func (core *Core) findOverOwnWork(cell *cell) []holding {
	unit, tenant := resourcesOf(cell.shape), cell.owner.tenant
	var candidates []candidate
	covers := false
	for _, zone := range core.zones {
		for _, machine := range zone.workers {
			core.steps++
			if machine == nil || !machine.bindableState() {
				continue
			}
			own := machine.share(tenant)
			gain := -float64(own.pinned.minus(own.cell).positive()[0])
			if slots := machine.bindableFor(tenant).quotient(unit); slots > 0 {
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

// moreDemanding orders cells by the accelerators that must be on one worker, by adjacency and by size.
func moreDemanding(left, right *cell) int {
	if order := cmp.Compare(demand(right.shape), demand(left.shape)); order != 0 {
		return order
	}
	if order := cmp.Compare(right.shape.Adjacency, left.shape.Adjacency); order != 0 {
		return order
	}
	return cmp.Compare(right.shape.Total(), left.shape.Total())
}

// demand returns the accelerators that a shape needs on one worker.
func demand(shape fleet.Shape) fleet.Accelerators {
	if shape.Adjacency == fleet.AdjacencyWorker {
		return shape.Total()
	}
	return shape.Accelerators
}

// listCellWorkers lists the workers with cells for the organisations whose cells moved.
func (core *Core) listCellWorkers() {
	moved := map[*organisation]map[*worker]struct{}{}
	for _, owner := range core.organisations {
		if owner.cellsMoved {
			owner.cellsMoved = false
			owner.cellWorkers = nil
			owner.cellsOf = map[fleet.Shape][]*cell{}
			moved[owner] = map[*worker]struct{}{}
		}
	}
	for _, cell := range core.cells {
		seen, ok := moved[cell.owner]
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
	for owner := range moved {
		slices.SortFunc(owner.cellWorkers, compareLocation)
		owner.roomVersion++
	}
}
