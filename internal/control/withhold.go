package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	// withholdShare is the largest fraction of a service's accelerators that plans withhold for units that do not fit
	// yet.
	withholdShare = 0.6
	// busyUtilisation is the utilisation of a service from which capacity is withheld for as long as it takes. Below it
	// others could run meanwhile, and the unit gets maxIdleWithholding for the runs in its way to end.
	busyUtilisation = 0.5
	// maxIdleWithholding is below the time after which a job that could run counts as forgotten.
	maxIdleWithholding = 2 * time.Second
)

// withhold allocates capacity in this plan to a unit that does not fit yet, on workers where it would fit once their
// runs have ended. Otherwise units that come later in the plan would take the capacity that becomes free there, and a
// stream of small tasks would starve a gang.
func (planner *planner) withhold(pool *servicePool, candidate candidate, wanted placement.Demand) {
	need := wanted.Each.Accelerators * fleet.Accelerators(wanted.Tasks)
	if pool.withheld+need > fleet.Accelerators(withholdShare*float64(pool.capacity)) {
		return
	}
	if pool.utilisation < busyUtilisation && !planner.withheldBriefly(candidate.key()) {
		return
	}
	if pool.emptied.workers == nil {
		pool.emptied = pool.copyWorkers(func(worker *placement.Worker) {
			worker.Reclaimable = planner.loop.workers[worker.ID].endingNeed()
		})
	}
	view := &pool.emptied
	if impliedByRejected(view.rejected, wanted) {
		return
	}
	places, ok := placement.Place(
		planner.eligible(view.workers, candidate), wanted, placement.ReclaimableCapacity, true)
	if !ok {
		view.rejected = append(view.rejected, wanted)
		return
	}
	if pool.utilisation < busyUtilisation {
		planner.noteWithheld(candidate, places, pool)
	} else {
		delete(planner.loop.withheldSince, candidate.key())
	}
	pool.withheld += need
	pool.allocate(places, wanted.Each)
}

// endingNeed returns the capacity of the runs on a worker that end by themselves or are being stopped. The capacity of
// the others does not come free.
func (worker *worker) endingNeed() workload.Resources {
	need := workload.Resources{}
	for _, run := range worker.runs {
		if run.stopping || !run.step().LongRunning {
			need = need.Add(run.need)
		}
	}
	return need
}

// withheldBriefly reports whether capacity may still be withheld for a unit in a service that is not busy.
func (planner *planner) withheldBriefly(unit workload.TaskID) bool {
	since, ok := planner.loop.withheldSince[unit]
	return !ok || planner.now-since < maxIdleWithholding
}

// noteWithheld records and logs that capacity is withheld for a unit in a service that is not busy.
func (planner *planner) noteWithheld(candidate candidate, places []fleet.WorkerID, pool *servicePool) {
	loop := planner.loop
	if _, ok := loop.withheldSince[candidate.key()]; ok {
		return
	}
	loop.withheldSince[candidate.key()] = planner.now
	loop.Logger.Info("capacity withheld for a unit that does not fit yet", "job", string(candidate.job.ID),
		"step", candidate.unit.Step, "tasks", len(places), "workers", distinct(places),
		"utilisation", pool.utilisation, "at_most_ms", maxIdleWithholding.Milliseconds())
}

// forgetWithheld drops the units that wait no longer.
func (loop *dispatcher) forgetWithheld() {
	for unit := range loop.withheldSince {
		if !loop.waits(unit) {
			delete(loop.withheldSince, unit)
		}
	}
}
