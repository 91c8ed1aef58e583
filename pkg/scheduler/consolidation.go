package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits of one search for workers to empty.
const (
	// consolidationInterval is the time between two searches.
	consolidationInterval = time.Second
	// consolidationSteps is the number of search steps after which a search tries no further worker.
	consolidationSteps = 2000
	// destinationShortlist limits the workers of one bucket that are compared as destinations of a gang.
	destinationShortlist = 8
)

// consolidation is the state of the moves that empty workers.
type consolidation struct {
	// pending is set when gangs started or ended, or moves were given up, since the last search.
	pending bool
	// last is the time of the last search, and next the time at which the next one is due; zero means never.
	last, next time.Time
	// budget is how many accelerator-seconds of work these moves may still lose.
	budget float64
	// moved holds the jobs for which destinations keep resources.
	moved []*jobState
}

// searchAt requests a search at a time, unless an earlier one is due.
func (state *consolidation) searchAt(at time.Time) {
	if state.next.IsZero() || at.Before(state.next) {
		state.next = at
	}
}

// consolidate empties workers that small gangs keep from holding members that need whole workers. It moves all gangs of
// such a worker to free accelerators of workers that stay in use. Waiting jobs have had their turn before.
func (core *Core) consolidate(now time.Time) {
	state := &core.consolidation
	if !state.pending && (state.next.IsZero() || now.Before(state.next)) {
		return
	}
	if earliest := state.last.Add(consolidationInterval); now.Before(earliest) {
		state.next = earliest
		return
	}
	state.last, state.next, state.pending = now, time.Time{}, false
	maxSteps := core.steps + consolidationSteps
	for _, machine := range core.movableWorkers(maxSteps) {
		if core.steps >= maxSteps {
			return
		}
		core.empty(now, machine)
	}
}

// movableWorkers lists the workers of the index of viewMovable, those with the most free accelerators first, until
// maxSteps is reached.
func (core *Core) movableWorkers(maxSteps uint64) []*worker {
	longest := 0
	for _, zone := range core.zones {
		longest = max(longest, len(zone.buckets[viewMovable]))
	}
	var machines []*worker
	for key := longest - 1; key >= 0; key-- {
		for _, zone := range core.zones {
			core.steps++
			if key >= len(zone.buckets[viewMovable]) {
				continue
			}
			slots := zone.buckets[viewMovable][key].slots
			for slot := slots.next(0); slot >= 0 && core.steps < maxSteps; slot = slots.next(slot + 1) {
				core.steps++
				machines = append(machines, zone.workers[slot])
			}
		}
	}
	return machines
}

// empty moves all gangs of a worker if each has a destination and the gain exceeds the work lost.
func (core *Core) empty(now time.Time, machine *worker) {
	gangs := core.gangsToMove(now, machine)
	if gangs == nil {
		return
	}
	loss := core.totalLoss(now, gangs)
	if loss > core.gainOfEmptying(now, machine) {
		return
	}
	destinations := core.destinations(machine, gangs)
	if destinations == nil {
		return
	}
	if missing := loss - core.consolidation.budget; missing > 0 {
		core.consolidation.searchAt(now.Add(core.timeToSave(missing)))
		return
	}
	core.consolidation.budget -= loss
	for i, gang := range gangs {
		core.keepFor(gang, destinations[i])
		core.evict(now, gang, false,
			fmt.Sprintf("worker %s is emptied; the job continues on %s", machine.ID, destinations[i].ID))
		gang.consolidated = true
	}
}

// gangsToMove lists the gangs of a worker, the largest first, or returns nil if not all of them can be moved. If some
// have only not run for long enough, it sets the time of the next search.
func (core *Core) gangsToMove(now time.Time, machine *worker) []*jobState {
	if machine.reserved != nil || machine.foreign > 0 || machine.claimed[0] > 0 || machine.kept[0] > 0 {
		return nil
	}
	var readyAt time.Time
	for _, gang := range machine.gangs {
		core.steps++
		if !gang.canBeConsolidated() {
			return nil
		}
		if at := gang.began.Add(core.settings.MinRun); at.After(readyAt) {
			readyAt = at
		}
	}
	if readyAt.After(now) {
		core.consolidation.searchAt(readyAt)
		return nil
	}
	gangs := slices.Clone(machine.gangs)
	slices.SortStableFunc(gangs, func(left, right *jobState) int { return cmp.Compare(right.total, left.total) })
	return gangs
}

// canBeConsolidated reports whether the job's gang may be moved to empty its worker. A gang of several members is not
// moved: if only some of them saved a checkpoint, the others would have to be stopped.
func (job *jobState) canBeConsolidated() bool {
	return job.phase == phaseRunning && job.eviction == evictionNone && !job.cancelled && !job.settled() &&
		!job.ignoredCheckpoint && !job.urgent() && job.cell == nil && job.shape().Members == 1 &&
		job.organisation.fitsQuota(0)
}

// gainOfEmptying estimates the accelerator-seconds for which all accelerators of a worker become usable for members
// that need a whole worker. A gang is expected to run for as long again as it has run so far; declared run times are
// not used.
func (core *Core) gainOfEmptying(now time.Time, machine *worker) float64 {
	longest := time.Duration(0)
	for _, gang := range machine.gangs {
		longest = max(longest, now.Sub(gang.began))
	}
	return longest.Seconds() * float64(machine.capacity[0]) * core.settings.GainFactor
}

// timeToSave returns the time in which the budget grows by the given accelerator-seconds at the present use of
// accelerators, between consolidationInterval and budgetWindow.
func (core *Core) timeToSave(missing float64) time.Duration {
	seconds := missing / max(core.settings.ConsolidationLossShare*core.acceleratorsInUse(), 1e-9)
	return max(consolidationInterval, time.Duration(min(seconds, budgetWindow.Seconds())*float64(time.Second)))
}

// destinations chooses a worker for each gang of a worker that is to be emptied; nil if one of them has none.
func (core *Core) destinations(source *worker, gangs []*jobState) []*worker {
	var chosen []*worker
	taken := map[*worker]resources{}
	for _, gang := range gangs {
		destination := core.destination(source, gang, taken)
		if destination == nil {
			return nil
		}
		taken[destination] = taken[destination].plus(gang.perMember)
		chosen = append(chosen, destination)
	}
	return chosen
}

// destination chooses the worker with the fewest free accelerators, beside those that are already taken, that holds the
// gang. Workers with settled gangs stay in use anyway; other workers are chosen only if they do not have more free
// accelerators than the worker that is to be emptied.
func (core *Core) destination(source *worker, gang *jobState, taken map[*worker]resources) *worker {
	var best *worker
	bestLeft := int64(0)
	for key := int(gang.perMember[0]); key < int(source.capacity[0]); key++ {
		if best != nil && bestLeft <= int64(key) {
			return best
		}
		for _, zone := range core.zones {
			for _, machine := range core.destinationsIn(zone, key, source) {
				left := machine.free.minus(taken[machine])
				if gang.avoids(machine) || !left.covers(gang.perMember) {
					continue
				}
				if best == nil || left[0] < bestLeft {
					best, bestLeft = machine, left[0]
				}
			}
		}
	}
	return best
}

// destinationsIn lists up to destinationShortlist workers of a data centre with the given number of free accelerators
// that may be destinations of gangs of the source.
func (core *Core) destinationsIn(zone *zone, free int, source *worker) []*worker {
	var machines []*worker
	for _, index := range []view{viewSettledFree, viewMovable} {
		core.steps++
		if free >= len(zone.buckets[index]) || index == viewMovable && free > source.keys[viewFree] {
			continue
		}
		slots := zone.buckets[index][free].slots
		for slot := slots.next(0); slot >= 0 && len(machines) < destinationShortlist; slot = slots.next(slot + 1) {
			core.steps++
			machine := zone.workers[slot]
			if machine != source && machine.reserved == nil && machine.evicting[0] == 0 {
				machines = append(machines, machine)
			}
		}
	}
	return machines
}

// keepFor keeps resources of a destination for the job that is moved there.
func (core *Core) keepFor(job *jobState, destination *worker) {
	job.destination = destination
	destination.kept = destination.kept.plus(job.perMember)
	core.consolidation.moved = append(core.consolidation.moved, job)
	core.refresh(destination)
}

// dropDestination frees the resources that are kept for a job, if there are any.
func (core *Core) dropDestination(job *jobState) {
	machine := job.destination
	if machine == nil {
		return
	}
	job.destination = nil
	machine.kept = machine.kept.minus(job.perMember)
	core.consolidation.moved = slices.DeleteFunc(core.consolidation.moved, func(other *jobState) bool {
		return other == job
	})
	core.consolidation.pending = true
	core.refresh(machine)
	core.capacityFreed()
}

// dropDestinations frees the resources that are kept for moved jobs, and reports whether there were any. The jobs are
// then placed like others.
func (core *Core) dropDestinations() bool {
	moved := slices.Clone(core.consolidation.moved)
	for _, job := range moved {
		core.dropDestination(job)
	}
	return len(moved) > 0
}

// startMoved starts the moved jobs whose attempts have ended on their destinations.
func (core *Core) startMoved(now time.Time) {
	for _, job := range slices.Clone(core.consolidation.moved) {
		if job.phase != phaseWaiting {
			continue
		}
		machine := job.destination
		core.dropDestination(job)
		if machine.usable() && !job.avoids(machine) && machine.free.covers(job.perMember) &&
			job.organisation.fitsQuota(job.total) {
			core.start(now, job, []holding{{machine, 1}}, "continues after its former worker was emptied")
		}
	}
}

// mayContinue reports whether a gang that has not saved a checkpoint in its grace period may continue instead of being
// stopped: it was to be moved only to empty its worker, and no claim waits for its accelerators.
func (job *jobState) mayContinue() bool {
	return job.consolidated && job.eviction == evictionCheckpoint && !job.cancelled &&
		job.holdings[0].worker.free[0] >= 0
}
