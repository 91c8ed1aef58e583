package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// unitKey identifies a unit; task is the first of its tasks.
type unitKey struct {
	job                    fleet.JobID
	occurrence, step, task int
}

// claim is room that a unit waits for while others stop there.
type claim struct {
	places []fleet.WorkerID
	need   workload.Resources
	since  time.Duration
}

// demand is a unit that could start now.
type demand struct {
	job   *job
	unit  progress.Unit
	since time.Time
}

func (demand demand) step() workload.Step { return demand.job.Steps[demand.unit.Step] }

func (demand demand) key() unitKey {
	return unitKey{
		job: demand.job.ID, occurrence: demand.unit.Occurrence, step: demand.unit.Step, task: demand.unit.Tasks[0],
	}
}

// plan starts every unit that fits, the most urgent first.
func (loop *dispatcher) plan() {
	loop.updateTerms()
	demands := loop.demands()
	loop.dropClaims(demands)
	if len(demands) == 0 {
		return
	}
	slices.SortStableFunc(demands, func(a, b demand) int {
		return cmp.Or(
			cmp.Compare(a.job.terms.Priority, b.job.terms.Priority),
			a.job.deadline().Compare(b.job.deadline()),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.unit.Step, b.unit.Step),
		)
	})
	planner := newPlanner(loop)
	for _, demand := range demands {
		planner.try(demand)
	}
}

// updateTerms gives open jobs the terms of the configuration in force.
func (loop *dispatcher) updateTerms() {
	catalog := loop.Catalog()
	if catalog == nil {
		return
	}
	for _, job := range loop.jobs {
		if profile, ok := catalog.Profile(job.Profile); ok {
			job.terms = profile.Terms
		}
	}
}

// demands lists the units whose turn has come.
func (loop *dispatcher) demands() []demand {
	var found []demand
	now := time.Now()
	for _, job := range loop.jobs {
		if !job.open() {
			continue
		}
		for k := range job.record.Occurrences {
			due := job.Schedule.Due(k)
			if due.After(now) {
				break
			}
			since := job.Accepted
			if due.After(since) {
				since = due
			}
			for s := range job.Steps {
				if !job.record.Ready(job.Job, k, s) {
					continue
				}
				for _, unit := range job.record.Units(job.Job, k, s) {
					found = append(found, demand{job: job, unit: unit, since: since})
				}
			}
		}
	}
	return found
}

// dropClaims frees room that was kept for units that no longer wait, or on workers that take nothing any more.
func (loop *dispatcher) dropClaims(demands []demand) {
	waiting := map[unitKey]bool{}
	for _, demand := range demands {
		waiting[demand.key()] = true
	}
	for key, claim := range loop.claims {
		lost := slices.ContainsFunc(claim.places, func(id fleet.WorkerID) bool {
			worker := loop.workers[id]
			return worker == nil || !worker.usable(loop.clock())
		})
		if !waiting[key] || lost {
			loop.dropClaim(key)
		}
	}
}

func (loop *dispatcher) dropClaim(key unitKey) {
	claim := loop.claims[key]
	for _, id := range claim.places {
		if worker := loop.workers[id]; worker != nil {
			worker.reserved = worker.reserved.Sub(claim.need)
		}
	}
	delete(loop.claims, key)
}

// planner holds the room of all workers during one plan.
type planner struct {
	loop  *dispatcher
	now   time.Duration
	rooms map[fleet.ServiceName][]placement.Worker
	// full are steps of which a task did not fit, so that their other tasks need not be tried.
	full map[unitKey]bool
	// urgent is the accelerators that unfinished urgent jobs of each organisation need.
	urgent map[fleet.OrganisationID]fleet.Accelerators
	// busy is the share of accelerators in use of each service.
	busy map[fleet.ServiceName]float64
}

func newPlanner(loop *dispatcher) *planner {
	planner := &planner{
		loop: loop, now: loop.clock(), rooms: map[fleet.ServiceName][]placement.Worker{}, full: map[unitKey]bool{},
	}
	ids := slices.Sorted(maps.Keys(loop.workers))
	for _, id := range ids {
		worker := loop.workers[id]
		if !worker.usable(planner.now) {
			continue
		}
		entry := worker.entry
		planner.rooms[entry.Service] = append(planner.rooms[entry.Service], placement.Worker{
			ID: id, Rack: entry.Rack, Labels: entry.Labels, Capacity: entry.Capacity,
			Free: entry.Capacity.Sub(worker.used()).Sub(worker.reserved),
		})
	}
	planner.busy = map[fleet.ServiceName]float64{}
	for service, workers := range planner.rooms {
		planner.busy[service] = busyShare(workers)
	}
	return planner
}

func busyShare(workers []placement.Worker) float64 {
	var free, all fleet.Accelerators
	for _, worker := range workers {
		free += max(worker.Free.Accelerators, 0)
		all += worker.Capacity.Accelerators
	}
	if all == 0 {
		return 1
	}
	return 1 - float64(free)/float64(all)
}

// try starts a unit if it fits, or claims room for it if it may displace others.
func (planner *planner) try(demand demand) {
	key := demand.key()
	if claim := planner.loop.claims[key]; claim != nil {
		planner.tryClaim(demand, claim)
		return
	}
	whole := key
	whole.task = 0
	if planner.full[whole] {
		return
	}
	wanted := placement.DemandOf(demand.step(), len(demand.unit.Tasks))
	workers := planner.workersFor(demand)
	if places, ok := planner.choose(workers, wanted, demand); ok {
		planner.take(demand.job.terms.Service, places, wanted.Each)
		planner.loop.place(demand, places)
		return
	}
	if demand.job.terms.Priority == workload.Urgent && planner.reclaim(demand, wanted, workers) {
		return
	}
	planner.full[whole] = true
}

// farPatience is how long a unit waits for its data's rack, or for one rack, while other work keeps the workers busy.
const farPatience = 4 * time.Second

// busyEnough is the share of accelerators in use from which waiting for a near place costs others nothing.
const busyEnough = 0.5

func (planner *planner) choose(
	workers []placement.Worker, wanted placement.Demand, demand demand,
) ([]fleet.WorkerID, bool) {
	if places, ok := placement.Place(workers, wanted, placement.FreeRoom, true); ok {
		return places, true
	}
	_, possible := placement.Place(workers, wanted, placement.EmptyRoom, true)
	idle := planner.busy[demand.job.terms.Service] < busyEnough
	if possible && !idle && time.Since(demand.since) < farPatience {
		return nil, false
	}
	return placement.Place(workers, wanted, placement.FreeRoom, false)
}

// workersFor returns the workers of the demand's service with what the step holds on each.
func (planner *planner) workersFor(demand demand) []placement.Worker {
	workers := planner.rooms[demand.job.terms.Service]
	if demand.step().MaxPerWorker == 0 {
		return workers
	}
	held := map[fleet.WorkerID]int{}
	for _, task := range demand.job.record.Occurrences[demand.unit.Occurrence].Steps[demand.unit.Step].Tasks {
		if task.Phase == progress.Placed {
			held[task.At.Worker]++
		}
	}
	counted := slices.Clone(workers)
	for i := range counted {
		counted[i].Held = held[counted[i].ID]
	}
	return counted
}

// take lowers the room of the chosen workers for the rest of this plan.
func (planner *planner) take(service fleet.ServiceName, places []fleet.WorkerID, each workload.Resources) {
	workers := planner.rooms[service]
	for _, id := range places {
		for i := range workers {
			if workers[i].ID == id {
				workers[i].Free = workers[i].Free.Sub(each)
			}
		}
	}
}

// tryClaim starts a unit once the room that it claimed is free.
func (planner *planner) tryClaim(demand demand, claim *claim) {
	for _, id := range claim.places {
		worker := planner.loop.workers[id]
		if !worker.entry.Capacity.Sub(worker.used()).Sub(worker.reserved).NonNegative() {
			return
		}
	}
	places := claim.places
	planner.loop.dropClaim(demand.key())
	planner.loop.place(demand, places)
}

// place records the placement of a unit and starts it once the record is stored.
func (loop *dispatcher) place(demand demand, places []fleet.WorkerID) {
	job, unit, step := demand.job, demand.unit, demand.step()
	locations := make([]progress.Location, len(places))
	for i, id := range places {
		locations[i] = loop.workers[id].entry.location()
	}
	tasks := job.record.Occurrences[unit.Occurrence].Steps[unit.Step].Tasks
	number := job.record.Place(unit, locations)
	job.dirty = true
	for i, index := range unit.Tasks {
		known := loop.workers[places[i]]
		placed := &run{
			task:   workload.TaskID{Job: job.ID, Occurrence: unit.Occurrence, Step: unit.Step, Index: index},
			number: number, job: job, link: known.link, need: step.Need(), since: loop.clock(),
		}
		known.runs[placed.task] = placed
		order := StartOrder{
			Task: placed.task, Run: number, Payload: job.Payload, Checkpoint: tasks[index].Checkpoint,
		}
		job.after = append(job.after, func() { loop.sendStart(placed, order) })
		known.updateLink()
	}
	loop.Logger.Info("unit placed", "job", string(job.ID), "occurrence", unit.Occurrence, "step", unit.Step,
		"tasks", len(places), "run", int(number), "workers", distinct(places), "gang", step.Gang,
		"priority", int(job.terms.Priority), "waited_ms", time.Since(demand.since).Milliseconds())
}

func distinct(places []fleet.WorkerID) []fleet.WorkerID {
	return slices.Compact(slices.Sorted(slices.Values(places)))
}
