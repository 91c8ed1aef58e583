package scheduler

import (
	"slices"
	"time"
)

// rebindSaving is the share of the loss that moving a cell must save.
const rebindSaving = 0.5

// rebindCheaper moves a cell of the job's organisation to where less work is lost when it is emptied. It
// reports whether a cell was moved.
func (core *Core) rebindCheaper(now time.Time, job *entry, victims []*entry) bool {
	if len(victims) == 0 {
		return false
	}
	cell := core.cellOf(job, victims)
	return cell != nil && core.moveCheaper(now, job, cell, victims)
}

// moveCheaper moves a cell to where less is lost than the victims lose. Work that cannot checkpoint then
// keeps running where the cell was. It reports whether the cell was moved.
func (core *Core) moveCheaper(now time.Time, job *entry, cell *cell, victims []*entry) bool {
	bound := core.totalLoss(now, victims) * rebindSaving
	if bound <= checkpointCost.Seconds()*float64(job.total) {
		return false
	}
	if cell.occupant != nil {
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
			if cell.owner == job.organisation && cell.occupant == nil && cell.shape.Total() >= job.total {
				return cell
			}
		}
	}
	return nil
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
