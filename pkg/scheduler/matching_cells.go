package scheduler

import "time"

// A job whose shape is guaranteed to its organisation reclaims a cell of exactly that shape if it finds no free
// accelerators. Other preemptible work of the organisation in that cell is evicted for the job as well, so that each
// guaranteed shape can be reclaimed whatever else the organisation runs.

// matchingCells returns the bound cells of the job's organisation that have the job's shape.
func (job *jobState) matchingCells() []*cell { return job.organisation.cellsOf[job.shape()] }

// guaranteed reports whether the job's organisation has a bound cell of the job's shape.
func (job *jobState) guaranteed() bool { return len(job.matchingCells()) > 0 }

// tryMatchingCell places a job whose shape is guaranteed. It prefers a free cell of the shape. Otherwise, if there is a
// cell of the shape that the job could claim, it starts the job on free accelerators elsewhere or claims the cell.
func (core *Core) tryMatchingCell(now time.Time, job *jobState) bool {
	if cell := core.freeCell(job); cell != nil {
		core.occupy(cell, job)
		return core.start(now, job, cell.holdings, "a free cell of its shape")
	}
	if !core.hasClaimableCell(job) {
		return false
	}
	if holdings, reason := core.findWithoutReclaim(job); holdings != nil {
		return core.start(now, job, holdings, reason)
	}
	return core.reclaimMatchingCell(now, job)
}

// freeCell returns an unoccupied cell of the job's shape in which the job can start now; nil if there is none.
func (core *Core) freeCell(job *jobState) *cell {
	for _, cell := range job.matchingCells() {
		core.steps++
		if cell.occupant == nil && cell.canStart(job) {
			return cell
		}
	}
	return nil
}

// canStart reports whether the job can start in the cell now.
func (cell *cell) canStart(job *jobState) bool {
	for _, holding := range cell.holdings {
		if !holding.worker.usable() || job.freeSlots(holding.worker) < holding.members {
			return false
		}
	}
	return true
}

// hasClaimableCell reports whether a cell of the job's shape is unoccupied or occupied by a gang that the job may
// evict.
func (core *Core) hasClaimableCell(job *jobState) bool {
	for _, cell := range job.matchingCells() {
		core.steps++
		if cell.occupant == nil || job.mayEvictOwn(cell.occupant) {
			return true
		}
	}
	return false
}

// occupy records that a job runs in a cell of its shape or claims it.
func (core *Core) occupy(cell *cell, job *jobState) {
	cell.occupant = job
	job.cell = cell
}

// vacate records that a job no longer occupies its cell, if it has one.
func (core *Core) vacate(job *jobState) {
	if job.cell != nil && job.cell.occupant == job {
		job.cell.occupant = nil
	}
	job.cell = nil
}

// reclaimMatchingCell claims the cell of the job's shape whose reclaim loses the least work, and evicts the work in it.
// If no cell can be claimed, it first drops claims over which the job takes precedence. It may move the cell to
// accelerators that can be emptied with less work lost.
func (core *Core) reclaimMatchingCell(now time.Time, job *jobState) bool {
	best, victims := core.cheapestMatchingCell(now, job)
	if best == nil && core.dropOutrankedClaims(now, job) {
		best, victims = core.cheapestMatchingCell(now, job)
	}
	if best == nil {
		return false
	}
	if core.moveCellCheaper(now, job, best, victims) {
		best, victims = core.cheapestMatchingCell(now, job)
	}
	if best == nil {
		return false
	}
	holdings := best.holdings
	core.claim(now, job, holdings, victims, "reclaims the guarantee of "+string(job.organisation.id))
	core.occupy(best, job)
	return true
}

// cheapestMatchingCell returns the cell of the job's shape whose reclaim loses the least work, with the gangs to evict.
// For an occupied cell, it adds missedCheckpointCost for each accelerator to the loss, so that unoccupied cells are
// preferred.
func (core *Core) cheapestMatchingCell(now time.Time, job *jobState) (*cell, []*jobState) {
	var best *cell
	var bestVictims []*jobState
	bestLoss := 0.0
	for _, cell := range job.matchingCells() {
		if cell.occupant != nil && !job.mayEvictOwn(cell.occupant) || !cell.fitsAfterEviction(job) {
			continue
		}
		victims, enough := core.chooseVictims(now, job, cell.holdings, core.cellVictimsOn)
		if !enough {
			continue
		}
		loss := core.totalLoss(now, victims)
		if cell.occupant != nil {
			loss += missedCheckpointCost.Seconds() * float64(job.total)
		}
		if best == nil || loss < bestLoss {
			best, bestVictims, bestLoss = cell, victims, loss
		}
	}
	return best, bestVictims
}

// fitsAfterEviction reports whether the job fits in the cell once all preemptible work there has ended.
func (cell *cell) fitsAfterEviction(job *jobState) bool {
	for _, holding := range cell.holdings {
		machine := holding.worker
		if !machine.usable() || job.avoids(machine) {
			return false
		}
		limit := machine.pinnedLimit(job)
		if !job.preemptible && limit.quotient(job.perMember) < holding.members {
			return false
		}
	}
	return true
}

// cellVictimsOn lists the gangs on a worker that a job's claim of a cell may evict, cheapest first. These are the gangs
// that victimsOn lists, and gangs of the job's organisation that occupy no cell of their own shape, except urgent gangs
// if the job is not urgent.
func (core *Core) cellVictimsOn(now time.Time, job *jobState, machine *worker) []*jobState {
	victims := core.victimsOn(now, job, machine)
	for _, gang := range machine.gangs {
		core.steps++
		own := gang.organisation == job.organisation && !job.mayEvictOwn(gang)
		outranks := job.urgent() || !gang.urgent()
		if own && outranks && gang.preemptible && gang.cell == nil && gang.eviction == evictionNone {
			victims = append(victims, gang)
		}
	}
	core.sortByLoss(now, victims)
	return victims
}
