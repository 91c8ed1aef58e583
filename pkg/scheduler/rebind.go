package scheduler

import (
	"slices"
	"time"
)

// rebindSaving is the share of the loss that moving a cell must save.
const rebindSaving = 0.5

// rebindCheaper moves a cell of the job's organisation to where less work is lost when it is emptied. Work
// that cannot checkpoint then keeps running where the cell was. It reports whether a cell was moved.
func (core *Core) rebindCheaper(now time.Time, job *entry, victims []*entry) bool {
	bound := core.totalLoss(now, victims) * rebindSaving
	if bound <= checkpointCost.Seconds()*float64(job.total) {
		return false
	}
	cell := core.cellOf(job, victims)
	if cell == nil {
		return false
	}
	former := cell.holdings
	core.unbind(cell)
	holdings := core.cheapestCell(now, cell, bound)
	if holdings == nil {
		holdings = former
	}
	core.bind(cell, holdings)
	core.listCellWorkers()
	return !slices.Equal(holdings, former)
}

// cellOf returns a cell of the job's organisation, not used by it, that holds the dearest victim and the
// job.
func (core *Core) cellOf(job *entry, victims []*entry) *cell {
	dearest := slices.MaxFunc(victims, func(left, right *entry) int { return left.began.Compare(right.began) * -1 })
	for _, held := range dearest.holdings {
		for _, cell := range held.worker.cells {
			if cell.owner == job.organisation && cell.unused() && cell.shape.Total() >= job.total {
				return cell
			}
		}
	}
	return nil
}

// unused reports whether the organisation's own work leaves room for the whole cell where it is bound.
func (cell *cell) unused() bool {
	unit := resourcesOf(cell.shape)
	for _, holding := range cell.holdings {
		if !holding.worker.ownRoom(cell.owner.tenant).covers(unit.times(holding.members)) {
			return false
		}
	}
	return true
}

// cheapestCell looks for accelerators outside cells that lose less than a bound when they are emptied.
func (core *Core) cheapestCell(now time.Time, cell *cell, bound float64) []holding {
	form := cell.shape
	claimant := &entry{organisation: cell.owner, unit: resourcesOf(form), total: form.Total(), preemptible: true}
	claimant.job.Profile.Shape = &form
	var candidates []candidate
	for _, machine := range core.roomiest(form) {
		core.steps++
		slots := min(machine.bindableFor(cell.owner.tenant).quotient(claimant.unit), form.Members)
		if slots == 0 || !machine.usable() {
			continue
		}
		slots, cost := core.evictionCost(now, claimant, machine, slots, core.victimsOn)
		if slots > 0 {
			candidates = append(candidates, candidate{machine, slots, cost})
		}
	}
	holdings := core.assemble(form, candidates)
	if holdings == nil {
		return nil
	}
	victims, enough := core.chooseVictims(now, claimant, holdings, core.victimsOn)
	if !enough || core.totalLoss(now, victims) > bound {
		return nil
	}
	return holdings
}
