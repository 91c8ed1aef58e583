package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/evacuation"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// evacuationWatchWait is the wait of the watch for evacuations. Each response confirms the known requests, often enough
// that no start waits for it while the store responds.
const evacuationWatchWait = time.Second

// loadEvacuations reads the requests to evacuate data centres before the first plan of the term.
func (loop *dispatcher) loadEvacuations() error {
	if loop.EvacuationPrefix == "" {
		return nil
	}
	sentAt := loop.clock()
	items, err := loop.list(loop.EvacuationPrefix)
	if err != nil {
		return err
	}
	loop.observeEvacuations(asChanges(items), true)
	loop.evacuations.Confirm(sentAt)
	return nil
}

func (loop *dispatcher) watchEvacuations() {
	if loop.EvacuationPrefix == "" {
		return
	}
	mirror := &keyvalue.Mirror{
		Store: loop.Store, Prefix: loop.EvacuationPrefix, Wait: evacuationWatchWait, RetryPause: watchRetry,
		Logger: loop.Logger, Clock: loop.Clock,
		Apply: func(changes []keyvalue.Change, complete bool) {
			loop.post(func(loop *dispatcher) { loop.observeEvacuations(changes, complete) })
		},
		Confirm: func(at time.Duration) {
			loop.post(func(loop *dispatcher) { loop.evacuations.Confirm(at) })
		},
	}
	loop.group.Go(func() error { return mirror.Run(loop.ctx) })
}

// observeEvacuations applies changed requests. If complete is set, the changes contain all requests in the store.
func (loop *dispatcher) observeEvacuations(changes []keyvalue.Change, complete bool) {
	requested := map[fleet.DataCentreID]bool{}
	for _, change := range changes {
		dataCentre, err := loop.DecodeEvacuation(change.Item)
		switch {
		case change.Deleted:
			loop.invalidEvacuations.Remove(change.Key)
			loop.takeBack(dataCentre)
			continue
		case err != nil:
			loop.invalidEvacuations.Reject(change.Key, err)
		default:
			loop.invalidEvacuations.Accept(change.Key)
		}
		if dataCentre != "" {
			requested[dataCentre] = true
			loop.evacuate(dataCentre)
		}
	}
	if complete {
		loop.invalidEvacuations.RemoveOthers(changes)
		for _, dataCentre := range loop.evacuations.DataCentres() {
			if !requested[dataCentre] {
				loop.takeBack(dataCentre)
			}
		}
	}
	loop.planNeeded = true
}

// evacuate keeps new tasks off the workers of a data centre. A start without a response is not repeated there.
func (loop *dispatcher) evacuate(dataCentre fleet.DataCentreID) {
	if !loop.evacuations.Add(dataCentre, loop.clock()) {
		return
	}
	workers, runs := 0, 0
	for _, worker := range loop.workers {
		if worker.entry.DataCentre != dataCentre {
			continue
		}
		worker.evacuated = true
		workers++
		runs += len(worker.runs)
		for _, run := range worker.runs {
			if run.startSent && !run.restored && run.confirmedAt == 0 && run.firstListed == 0 {
				loop.stopRun(run, "data centre is evacuated")
				loop.stopGang(run)
			}
		}
	}
	metrics.Count(loop.Metrics, metrics.Name("evacuations", "change", "requested"))
	loop.Logger.Info("data centre evacuated", "data_centre", string(dataCentre), "workers", workers, "runs", runs)
}

// takeBack lets tasks start on the workers of a data centre again.
func (loop *dispatcher) takeBack(dataCentre fleet.DataCentreID) {
	if !loop.evacuations.Remove(dataCentre, loop.clock()) {
		return
	}
	workers := 0
	for _, worker := range loop.workers {
		if worker.entry.DataCentre == dataCentre {
			worker.evacuated = false
			workers++
		}
	}
	metrics.Count(loop.Metrics, metrics.Name("evacuations", "change", "taken_back"))
	loop.Logger.Info("data centre taken back", "data_centre", string(dataCentre), "workers", workers)
}

// mayStart reports whether the known evacuations are young enough for starts.
func (loop *dispatcher) mayStart() bool {
	current := loop.evacuations.Current(loop.clock())
	if current != loop.startsBlocked {
		return current
	}
	loop.startsBlocked = !current
	age, _ := loop.evacuations.Age(loop.clock())
	if current {
		loop.Logger.Info("evacuations confirmed; tasks start again", "age_ms", age.Milliseconds())
	} else {
		loop.Logger.Warn("evacuations not confirmed; no task starts", "age_ms", age.Milliseconds())
	}
	return current
}

// blockedByEvacuation returns why no start may be sent to a worker, or false if one may be.
func (loop *dispatcher) blockedByEvacuation(worker *worker) (string, bool) {
	switch {
	case worker.evacuated:
		return "not started: the data centre is evacuated", true
	case !loop.evacuations.Current(loop.clock()):
		return "not started: the evacuations are not confirmed", true
	}
	return "", false
}

// maxMovesPerPlan limits the units that one plan moves out of evacuated data centres, so that their records and starts
// do not delay other work.
const maxMovesPerPlan = 4

// leavingUnit is the running work of one unit in an evacuated data centre that has to be moved.
type leavingUnit struct {
	runs []*run
	// first is the run with the lowest index, which identifies the unit.
	first *run
}

// newLeavingUnit returns the unit that a run belongs to: its gang, or the run alone.
func newLeavingUnit(member *run) leavingUnit {
	unit := leavingUnit{runs: []*run{member}, first: member}
	if !member.step().Gang {
		return unit
	}
	for other := range member.job.runs {
		if other == member || other.occurrenceStep() != member.occurrenceStep() {
			continue
		}
		unit.runs = append(unit.runs, other)
		if other.task.Index < unit.first.task.Index {
			unit.first = other
		}
	}
	return unit
}

// leavingUnits returns the units that have to be moved out of evacuated data centres, in the order of their ids.
func (loop *dispatcher) leavingUnits() []leavingUnit {
	if !loop.evacuations.Any() {
		return nil
	}
	units := map[*run]leavingUnit{}
	for _, worker := range loop.workers {
		if !worker.evacuated {
			continue
		}
		for _, run := range worker.runs {
			if unit, ok := run.leavingUnit(loop.clock()); ok {
				units[unit.first] = unit
			}
		}
	}
	return slices.SortedFunc(maps.Values(units), func(a, b leavingUnit) int {
		return cmp.Compare(a.first.task.String(), b.first.task.String())
	})
}

// leavingUnit returns the unit of a run in an evacuated data centre if the unit has to be moved.
func (run *run) leavingUnit(now time.Duration) (leavingUnit, bool) {
	unit := newLeavingUnit(run)
	for _, member := range unit.runs {
		if member.stopping || !member.startSent || member.listedAt == 0 {
			return leavingUnit{}, false
		}
	}
	return unit, evacuation.Run{
		LongRunning:  run.step().LongRunning,
		Checkpointed: run.checkpoint() != "",
		Remaining:    run.remainingTime(now),
	}.Leaves()
}

// checkpoint returns the latest checkpoint of the run's task, or an empty text.
func (run *run) checkpoint() string {
	if task := run.job.record.Task(run.task); task != nil {
		return task.Checkpoint
	}
	return ""
}

// moveLeaving stops units in evacuated data centres for which there is room elsewhere after the waiting units of this
// plan, as far as what was promised of their steps allows.
func (planner *planner) moveLeaving(units []leavingUnit) {
	moved := 0
	for _, unit := range units {
		if moved == maxMovesPerPlan {
			return
		}
		if keepsAvailability(unit.runs, planner.now) && planner.reserveElsewhere(unit) {
			moved++
			for _, run := range unit.runs {
				planner.loop.stopRun(run, "data centre is evacuated")
			}
		}
	}
}

// reserveElsewhere takes the capacity for a unit from that of this plan, and reports whether it fits.
func (planner *planner) reserveElsewhere(unit leavingUnit) bool {
	job, task := unit.first.job, unit.first.task
	pool := planner.pools[job.policy.Service]
	if pool == nil {
		return false
	}
	wanted := placement.DemandOf(unit.first.step(), len(unit.runs))
	indices := make([]int, len(unit.runs))
	for i, run := range unit.runs {
		indices[i] = run.task.Index
	}
	waiting := candidate{job: job, unit: progress.Unit{Occurrence: task.Occurrence, Step: task.Step, Tasks: indices}}
	places, ok := placement.Place(
		planner.eligible(pool.unprotected, waiting), wanted, placement.FreeCapacity, pool.utilisation >= nearOnlyUtilisation)
	if ok {
		pool.allocate(places, wanted.Each)
	}
	return ok
}

// EvacuationDump is the state of an evacuated data centre.
type EvacuationDump struct {
	DataCentre fleet.DataCentreID `json:"data_centre"`
	// KnownMS is the time since this controller learnt of the request.
	KnownMS int64 `json:"known_ms"`
	Workers int   `json:"workers"`
	// Silent are those of the workers that do not answer, or have not answered in this term: what runs there is not known.
	Silent []fleet.WorkerID `json:"silent"`
	// Runs are the runs that are still there as far as is known, with the reason.
	Runs []LeavingRunDump `json:"runs"`
}

// LeavingRunDump is a run in an evacuated data centre.
type LeavingRunDump struct {
	Task   string         `json:"task"`
	Worker fleet.WorkerID `json:"worker_id"`
	Why    string         `json:"why"`
}

func (loop *dispatcher) dumpEvacuations() ([]EvacuationDump, int64) {
	dumps := []EvacuationDump{}
	now := loop.clock()
	since := loop.evacuations.Since()
	for _, dataCentre := range loop.evacuations.DataCentres() {
		dump := EvacuationDump{
			DataCentre: dataCentre, KnownMS: (now - since[dataCentre]).Milliseconds(),
			Silent: []fleet.WorkerID{}, Runs: []LeavingRunDump{},
		}
		for _, id := range slices.Sorted(maps.Keys(loop.workers)) {
			known := loop.workers[id]
			if known.entry.DataCentre != dataCentre {
				continue
			}
			dump.Workers++
			if !known.settled || known.unresponsive {
				dump.Silent = append(dump.Silent, id)
			}
			dump.Runs = append(dump.Runs, known.dumpLeaving(now)...)
		}
		dumps = append(dumps, dump)
	}
	age, confirmed := loop.evacuations.Age(now)
	if !confirmed {
		return dumps, -1
	}
	return dumps, age.Milliseconds()
}

func (worker *worker) dumpLeaving(now time.Duration) []LeavingRunDump {
	var dumps []LeavingRunDump
	for _, run := range worker.runs {
		dumps = append(dumps, LeavingRunDump{
			Task: run.task.String(), Worker: worker.entry.ID, Why: run.whyStillThere(now),
		})
	}
	for id := range worker.unexpected {
		dumps = append(dumps, LeavingRunDump{
			Task: id.task.String(), Worker: worker.entry.ID, Why: "it is not placed there, and is being stopped",
		})
	}
	slices.SortFunc(dumps, func(a, b LeavingRunDump) int { return cmp.Compare(a.Task, b.Task) })
	return dumps
}

// whyStillThere returns why a run in an evacuated data centre has not left it.
func (run *run) whyStillThere(now time.Duration) string {
	unit, leaves := run.leavingUnit(now)
	switch {
	case run.stopping:
		return "it is being stopped"
	case !run.startSent:
		return "its start is not sent yet"
	case !run.begun():
		return "it is not known whether it has begun"
	case !leaves:
		return "it ends by itself"
	case !keepsAvailability(unit.runs, now):
		return "too many other tasks of its step are away"
	}
	return "there is no room elsewhere"
}
