package scheduler

import (
	"slices"
	"time"
)

// rebindLossShare limits the loss of the evictions after a cell was moved, as a share of the loss without the move.
const rebindLossShare = 0.5

// rebindCheaper moves a cell of the job's organisation to accelerators that can be emptied with less work lost. It
// reports whether it moved a cell.
func (core *Core) rebindCheaper(now time.Time, job *jobState, victims []*jobState) bool {
	if len(victims) == 0 {
		return false
	}
	cell := core.cellToMove(job, victims)
	return cell != nil && core.moveCellCheaper(now, job, cell, victims)
}

// moveCellCheaper moves an unoccupied cell to accelerators that can be emptied with less work lost than the victims
// would lose. Work that cannot checkpoint then keeps running on the accelerators from which the cell was moved. It
// reports whether it moved the cell.
func (core *Core) moveCellCheaper(now time.Time, job *jobState, cell *cell, victims []*jobState) bool {
	maxLoss := core.totalLoss(now, victims) * rebindLossShare
	if maxLoss <= checkpointCost.Seconds()*float64(job.total) {
		return false
	}
	if cell.occupant != nil {
		return false
	}
	former := cell.holdings
	core.unbind(cell)
	holdings := core.cheapestCellHoldings(now, cell, maxLoss)
	if holdings == nil {
		holdings = former
	}
	core.bind(cell, holdings)
	core.refreshCellWorkers()
	return !slices.Equal(holdings, former)
}

// cellToMove returns an unoccupied cell of the job's organisation that is large enough for the job and bound to a
// worker of the victim that has run longest; nil if there is none.
func (core *Core) cellToMove(job *jobState, victims []*jobState) *cell {
	longestRunning := slices.MaxFunc(victims, func(left, right *jobState) int {
		return left.began.Compare(right.began) * -1
	})
	for _, held := range longestRunning.holdings {
		for _, cell := range held.worker.cells {
			if cell.owner == job.organisation && cell.occupant == nil && cell.shape.Total() >= job.total {
				return cell
			}
		}
	}
	return nil
}

// cheapestCellHoldings searches for accelerators to which a cell can be bound and which can be emptied with at most
// maxLoss of work lost.
func (core *Core) cheapestCellHoldings(now time.Time, cell *cell, maxLoss float64) []holding {
	shape := cell.shape
	claimant := &jobState{
		organisation: cell.owner, perMember: resourcesOf(shape), total: shape.Total(), preemptible: true,
	}
	claimant.spec.Profile.Shape = &shape
	var candidates []candidate
	for _, machine := range core.mostFreeWorkers(shape) {
		core.steps++
		slots := min(machine.bindableFor(cell.owner.index).quotient(claimant.perMember), shape.Members)
		if slots == 0 || !machine.usable() {
			continue
		}
		slots, cost := core.evictionCost(now, claimant, machine, slots, core.victimsOn)
		if slots > 0 {
			candidates = append(candidates, candidate{machine, slots, cost})
		}
	}
	holdings := core.assemble(shape, candidates)
	if holdings == nil {
		return nil
	}
	victims, enough := core.chooseVictims(now, claimant, holdings, core.victimsOn)
	if !enough || core.totalLoss(now, victims) > maxLoss {
		return nil
	}
	return holdings
}
