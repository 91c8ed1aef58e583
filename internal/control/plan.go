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
}

// demand is a unit that could start now.
type demand struct {
	job   *job
	unit  progress.Unit
	since time.Time
}

// outlook is what a demand's job can still reach.
type outlook int

// The outlooks, the best first.
const (
	// inTime jobs can still be completed within their callers' objective.
	inTime outlook = iota
	// late jobs can be completed within lateFactor times the objective.
	late
	// tooLate jobs are completed only when nothing else waits.
	tooLate
)

// lateFactor times the objective is how long a completion is still of use to callers.
const lateFactor = 3

// outlook tells what the job can reach if the unit starts now and declared run times hold.
func (demand demand) outlook(now time.Time) outlook {
	job := demand.job
	left := job.remaining(demand.unit.Occurrence, demand.unit.Step)
	objective := time.Duration(job.terms.Stretch*float64(job.Chain())) + job.terms.Target
	reached := now.Add(left).Sub(demand.since)
	switch {
	case reached <= objective:
		return inTime
	case reached <= lateFactor*objective:
		return late
	}
	return tooLate
}

// rank orders demands: what is of no use any more comes last, and what is late stands back by one priority.
func (demand demand) rank(now time.Time) int {
	seen := demand.outlook(now)
	if seen == tooLate {
		return lastRank
	}
	return int(demand.job.terms.Priority) + int(seen)
}

// lastRank comes after every priority.
const lastRank = 1 << 20

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
	planner := newPlanner(loop)
	now := time.Now()
	ranked := make([]rankedDemand, len(demands))
	for i, demand := range demands {
		rank := demand.rank(now)
		if demand.job.terms.Priority == workload.Urgent && planner.guaranteed(demand.job) {
			rank = guaranteedRank
		}
		ranked[i] = rankedDemand{demand: demand, rank: rank, deadline: demand.job.deadline()}
	}
	slices.SortStableFunc(ranked, func(a, b rankedDemand) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.unit.Step, b.unit.Step),
		)
	})
	for _, demand := range ranked {
		planner.try(demand)
	}
}

// rankedDemand is a demand with what orders it.
type rankedDemand struct {
	demand
	rank     int
	deadline time.Time
}

// guaranteedRank is that of urgent work within its organisation's guarantee, which comes first.
const guaranteedRank = -1

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
	// protected are workers that only urgent work may fill.
	protected map[fleet.WorkerID]bool
	// kept is the accelerators of each service that are kept for units that do not fit yet.
	kept map[fleet.ServiceName]fleet.Accelerators
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
	planner.busy, planner.kept = map[fleet.ServiceName]float64{}, map[fleet.ServiceName]fleet.Accelerators{}
	planner.protected = map[fleet.WorkerID]bool{}
	loop.arrivals.forget(planner.now)
	for service, workers := range planner.rooms {
		planner.busy[service] = busyShare(workers)
		maps.Copy(planner.protected, placement.Headroom(workers, loop.arrivals.headroom(service, workers)))
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
func (planner *planner) try(demand rankedDemand) {
	key := demand.key()
	if claim := planner.loop.claims[key]; claim != nil {
		planner.tryClaim(demand.demand, claim)
		return
	}
	whole := key
	whole.task = 0
	if planner.full[whole] {
		return
	}
	wanted := placement.DemandOf(demand.step(), len(demand.unit.Tasks))
	workers := planner.workersFor(demand.demand)
	if places, ok := planner.choose(workers, wanted, demand.demand); ok {
		planner.take(demand.job.terms.Service, places, wanted.Each)
		planner.loop.place(demand.demand, places)
		return
	}
	urgent := demand.job.terms.Priority == workload.Urgent && demand.rank < lastRank
	if urgent && planner.reclaim(demand.demand, wanted, workers) {
		return
	}
	planner.full[whole] = true
	if demand.rank < lastRank {
		planner.keep(demand.demand, wanted, workers)
	}
}

// keepShare is the share of a service's accelerators that may be kept free for units that do not fit yet.
const keepShare = 0.6

// keep takes room out of this plan for a unit that does not fit yet, so that units behind it do not fill what comes
// free where it could start first. Without it, small tasks would keep a gang waiting for ever.
func (planner *planner) keep(demand demand, wanted placement.Demand, workers []placement.Worker) {
	service := demand.job.terms.Service
	all := fleet.Accelerators(0)
	emptying := slices.Clone(workers)
	for i := range emptying {
		all += emptying[i].Capacity.Accelerators
		emptying[i].Reclaimable = planner.loop.workers[emptying[i].ID].used()
	}
	need := wanted.Each.Accelerators * fleet.Accelerators(wanted.Tasks)
	if planner.kept[service]+need > fleet.Accelerators(keepShare*float64(all)) {
		return
	}
	places, ok := placement.Place(emptying, wanted, placement.ReclaimableRoom, true)
	if !ok {
		return
	}
	planner.kept[service] += need
	planner.take(service, places, wanted.Each)
}

// busyEnough is the share of accelerators in use from which a unit waits for a near place: on a far one it would
// take several times the room for the same work.
const busyEnough = 0.6

func (planner *planner) choose(
	workers []placement.Worker, wanted placement.Demand, demand demand,
) ([]fleet.WorkerID, bool) {
	if places, ok := placement.Place(workers, wanted, placement.FreeRoom, true); ok {
		return places, true
	}
	_, possible := placement.Place(planner.rooms[demand.job.terms.Service], wanted, placement.EmptyRoom, true)
	if possible && planner.busy[demand.job.terms.Service] >= busyEnough {
		return nil, false
	}
	return placement.Place(workers, wanted, placement.FreeRoom, false)
}

// workersFor returns the workers of the demand's service that it may use, with what the step holds on each.
func (planner *planner) workersFor(demand demand) []placement.Worker {
	workers := planner.rooms[demand.job.terms.Service]
	if demand.job.terms.Priority != workload.Urgent && len(planner.protected) > 0 {
		workers = slices.DeleteFunc(slices.Clone(workers), func(worker placement.Worker) bool {
			return planner.protected[worker.ID]
		})
	}
	if demand.step().MaxPerWorker == 0 {
		return workers
	}
	held := map[fleet.WorkerID]int{}
	for key, claim := range planner.loop.claims {
		if key.job == demand.job.ID && key.occurrence == demand.unit.Occurrence && key.step == demand.unit.Step {
			for _, id := range claim.places {
				held[id]++
			}
		}
	}
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
