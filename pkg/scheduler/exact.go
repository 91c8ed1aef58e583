package scheduler

import "time"

// A job whose shape is guaranteed to its organisation runs in a cell of exactly that shape. Other work of the
// organisation that fills the cell's accelerators is evicted for it, so that each guaranteed shape stays
// reclaimable whatever the organisation itself runs.

// exactCells returns the bound cells of the job's shape.
func (entry *entry) exactCells() []*cell { return entry.organisation.cellsOf[entry.shape()] }

// guaranteed reports whether the job's shape is guaranteed to its organisation.
func (entry *entry) guaranteed() bool { return len(entry.exactCells()) > 0 }

// tryExact places a job in a cell of its shape, by reclaim if need be.
func (core *Core) tryExact(now time.Time, job *entry) bool {
	if cell := core.freeCell(job); cell != nil {
		core.occupy(cell, job)
		return core.start(now, job, cell.holdings, "a free cell of its shape")
	}
	if !core.hasIdleCell(job) {
		return false
	}
	if holdings := core.findOpen(job); holdings != nil {
		return core.start(now, job, holdings, "free accelerators outside cells")
	}
	if job.job.Profile.Checkpoint && job.preemptible && !job.urgent() {
		if holdings := core.findAny(job); holdings != nil {
			return core.start(now, job, holdings, "free accelerators, with borrowing instead of a reclaim")
		}
	}
	return core.reclaimExact(now, job)
}

// freeCell returns a cell of the job's shape whose accelerators are free.
func (core *Core) freeCell(job *entry) *cell {
	for _, cell := range job.exactCells() {
		core.steps++
		if cell.occupant == nil && cell.startable(job) {
			return cell
		}
	}
	return nil
}

// startable reports whether the job may start in the cell now.
func (cell *cell) startable(job *entry) bool {
	for _, holding := range cell.holdings {
		if !holding.worker.usable() || job.freeSlots(holding.worker) < holding.members {
			return false
		}
	}
	return true
}

// hasIdleCell reports whether a cell of the job's shape is not occupied, or by work that it may displace.
func (core *Core) hasIdleCell(job *entry) bool {
	for _, cell := range job.exactCells() {
		core.steps++
		if cell.occupant == nil || job.displaceable(cell.occupant) {
			return true
		}
	}
	return false
}

// occupy notes that a job runs in a cell of its shape.
func (core *Core) occupy(cell *cell, job *entry) {
	cell.occupant = job
	job.cell = cell
}

// vacate notes that a job leaves its cell.
func (core *Core) vacate(job *entry) {
	if job.cell != nil && job.cell.occupant == job {
		job.cell.occupant = nil
	}
	job.cell = nil
}

// reclaimExact claims the cell of the job's shape that loses the least work and evicts the work in it.
func (core *Core) reclaimExact(now time.Time, job *entry) bool {
	best, victims := core.cheapestExact(now, job)
	if best == nil && core.dropLesserClaims(now, job) {
		best, victims = core.cheapestExact(now, job)
	}
	if best == nil {
		return false
	}
	if core.moveCheaper(now, job, best, victims) {
		best, victims = core.cheapestExact(now, job)
	}
	if best == nil {
		return false
	}
	holdings := best.holdings
	core.claim(now, job, holdings, victims, "reclaims the guarantee of "+string(job.organisation.id))
	core.occupy(best, job)
	return true
}

// cheapestExact returns the cell of the job's shape that loses the least work, with the gangs to evict.
// Cells that are not occupied go first.
func (core *Core) cheapestExact(now time.Time, job *entry) (*cell, []*entry) {
	var best *cell
	var bestVictims []*entry
	bestLoss := 0.0
	for _, cell := range job.exactCells() {
		if cell.occupant != nil && !job.displaceable(cell.occupant) || !cell.reachable(job) {
			continue
		}
		victims, enough := core.chooseVictims(now, job, cell.holdings, core.squattersOn)
		if !enough {
			continue
		}
		loss := core.totalLoss(now, victims)
		if cell.occupant != nil {
			loss += abandonedCost.Seconds() * float64(job.total)
		}
		if best == nil || loss < bestLoss {
			best, bestVictims, bestLoss = cell, victims, loss
		}
	}
	return best, bestVictims
}

// reachable reports whether the job could be in the cell if work that can be preempted were not.
func (cell *cell) reachable(job *entry) bool {
	for _, holding := range cell.holdings {
		machine := holding.worker
		if !machine.usable() || job.avoids(machine) {
			return false
		}
		limit := machine.pinnedLimit(job)
		if !job.preemptible && limit.quotient(job.unit) < holding.members {
			return false
		}
	}
	return true
}

// squattersOn lists the gangs on a worker that a job's claim of a cell may evict, cheapest first: borrowers, and
// work of its own organisation that is in no cell of its own shape.
func (core *Core) squattersOn(now time.Time, job *entry, machine *worker) []*entry {
	victims := core.victimsOn(now, job, machine)
	for _, gang := range machine.gangs {
		core.steps++
		own := gang.organisation == job.organisation && !job.displaceable(gang)
		outranks := job.urgent() || !gang.urgent()
		if own && outranks && gang.preemptible && gang.cell == nil && gang.eviction == evictionNone {
			victims = append(victims, gang)
		}
	}
	core.sortByLoss(now, victims)
	return victims
}
