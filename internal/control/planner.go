package control

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// planner holds the room of all workers during one plan. Room is only ever taken during a plan, so what did not fit
// once does not fit later in it.
type planner struct {
	loop  *dispatcher
	now   time.Duration
	rooms map[fleet.ServiceName]*rooms
	// urgent is the accelerators that unfinished urgent jobs of each organisation need.
	urgent map[fleet.OrganisationID]fleet.Accelerators
}

// rooms is the room of one service's workers.
type rooms struct {
	all []*placement.Worker
	// open are the workers that work of every priority may fill; the others are kept for urgent work.
	open []*placement.Worker
	// busy is the share of accelerators in use.
	busy float64
	// capacity and kept are the accelerators of all workers, and those that are kept for units that do not fit yet.
	capacity, kept fleet.Accelerators
	// emptying holds copies of all workers that count what runs there as room.
	emptying view
	// displacing holds copies that count what a priority may displace as room.
	displacing map[displacement]*view
	// copies lists every entry of each worker.
	copies map[fleet.WorkerID][]*placement.Worker
	// misses are the demands that did not fit in free room, far and near, for urgent work and for other work.
	misses map[missKey][]placement.Demand
	// possible remembers which demands fit into empty workers.
	possible map[placement.Demand]bool
}

// view is a set of workers with the demands that did not fit there.
type view struct {
	workers []*placement.Worker
	misses  []placement.Demand
	// tooDear are demands whose places would have cost more than their limits.
	tooDear []dearDemand
}

// displacement is what may be displaced: runs of priorities after one, with or without gangs.
type displacement struct {
	priority workload.Priority
	gangs    bool
}

type missKey struct{ near, open bool }

// dearDemand is a demand with the loss that its places may not exceed.
type dearDemand struct {
	placement.Demand
	limit time.Duration
}

func newPlanner(loop *dispatcher) *planner {
	planner := &planner{loop: loop, now: loop.clock(), rooms: map[fleet.ServiceName]*rooms{}}
	for _, id := range slices.Sorted(maps.Keys(loop.workers)) {
		worker := loop.workers[id]
		if !worker.usable(planner.now) {
			continue
		}
		entry := worker.entry
		service := planner.service(entry.Service)
		service.all = append(service.all, &placement.Worker{
			ID: id, Rack: entry.Rack, Labels: entry.Labels, Capacity: entry.Capacity,
			Free:       entry.Capacity.Sub(worker.taken).Sub(worker.reserved),
			Unreliable: worker.health.doubtful(),
		})
	}
	loop.arrivals.forget(planner.now)
	for name, service := range planner.rooms {
		service.measure()
		protected := placement.HeadroomWorkers(service.all, loop.arrivals.headroom(name, service.capacity))
		for _, worker := range service.all {
			if !protected[worker.ID] {
				service.open = append(service.open, worker)
			}
			service.copies[worker.ID] = []*placement.Worker{worker}
		}
	}
	return planner
}

func (planner *planner) service(name fleet.ServiceName) *rooms {
	service := planner.rooms[name]
	if service == nil {
		service = &rooms{
			displacing: map[displacement]*view{}, copies: map[fleet.WorkerID][]*placement.Worker{},
			misses: map[missKey][]placement.Demand{}, possible: map[placement.Demand]bool{},
		}
		planner.rooms[name] = service
	}
	return service
}

func (rooms *rooms) measure() {
	free := fleet.Accelerators(0)
	for _, worker := range rooms.all {
		free += max(worker.Free.Accelerators, 0)
		rooms.capacity += worker.Capacity.Accelerators
	}
	rooms.busy = 1
	if rooms.capacity > 0 {
		rooms.busy = 1 - float64(free)/float64(rooms.capacity)
	}
}

// take lowers the room of the chosen workers for the rest of this plan.
func (rooms *rooms) take(places []fleet.WorkerID, each workload.Resources) {
	for _, id := range places {
		for _, worker := range rooms.copies[id] {
			worker.Free = worker.Free.Sub(each)
		}
	}
}

// copyOf returns copies of all workers whose room is lowered together with theirs.
func (rooms *rooms) copyOf(change func(*placement.Worker)) view {
	copied := view{workers: make([]*placement.Worker, len(rooms.all))}
	for i, worker := range rooms.all {
		entry := *worker
		change(&entry)
		copied.workers[i] = &entry
		rooms.copies[worker.ID] = append(rooms.copies[worker.ID], &entry)
	}
	return copied
}

// missed reports whether a demand cannot fit where others did not.
func missed(misses []placement.Demand, wanted placement.Demand) bool {
	return slices.ContainsFunc(misses, wanted.Subsumes)
}

// tryGroup starts the units of a group that fit. Once a unit does not fit, only those that have claimed room can start.
func (planner *planner) tryGroup(group group) {
	full := false
	for _, unit := range group.units {
		demand := group.demand(unit)
		if claim := planner.loop.claims[demand.key()]; claim != nil {
			planner.tryClaim(demand, claim)
			continue
		}
		if full && len(planner.loop.claims) == 0 {
			return
		}
		if !full {
			full = !planner.try(demand, group.rank)
		}
	}
}

// try starts a unit if it fits, or claims room for it if it may displace others. It reports whether it did either.
func (planner *planner) try(demand demand, rank int) bool {
	service := planner.rooms[demand.job.terms.Service]
	if service == nil {
		return false
	}
	wanted := placement.DemandOf(demand.step(), len(demand.unit.Tasks))
	wanted.Restricted = demand.advised()
	if planner.awaitsAdvice(service, wanted, demand) {
		return false
	}
	if places, ok := planner.choose(service, wanted, demand); ok {
		service.take(places, wanted.Each)
		planner.loop.place(demand, places)
		return true
	}
	urgent := demand.job.terms.Priority == workload.Urgent && rank < lastRank
	if urgent && planner.reclaim(service, demand, wanted) {
		return true
	}
	if rank < lastRank {
		planner.keep(service, demand, wanted)
	}
	return false
}

// keepShare is the share of a service's accelerators that may be kept free for units that do not fit yet.
const keepShare = 0.6

// keep takes room out of this plan for a unit that does not fit yet, so that units behind it do not fill what comes
// free where it could start first. Without it, small tasks would keep a gang waiting for ever.
func (planner *planner) keep(service *rooms, demand demand, wanted placement.Demand) {
	need := wanted.Each.Accelerators * fleet.Accelerators(wanted.Tasks)
	if service.kept+need > fleet.Accelerators(keepShare*float64(service.capacity)) {
		return
	}
	if service.emptying.workers == nil {
		service.emptying = service.copyOf(func(worker *placement.Worker) {
			worker.Reclaimable = planner.loop.workers[worker.ID].taken
		})
	}
	view := &service.emptying
	if missed(view.misses, wanted) {
		return
	}
	places, ok := placement.Place(planner.eligible(view.workers, demand), wanted, placement.ReclaimableCapacity, true)
	if !ok {
		view.misses = append(view.misses, wanted)
		return
	}
	service.kept += need
	service.take(places, wanted.Each)
}

// busyEnough is the share of accelerators in use from which a unit waits for a near place: on a far one it would
// take several times the room for the same work.
const busyEnough = 0.6

func (planner *planner) choose(service *rooms, wanted placement.Demand, demand demand) ([]fleet.WorkerID, bool) {
	if places, ok := planner.placeFree(service, wanted, demand, true); ok {
		return places, true
	}
	if service.busy >= busyEnough && planner.possible(service, wanted, demand) {
		return nil, false
	}
	return planner.placeFree(service, wanted, demand, false)
}

// possible reports whether a demand fits near its data and in one rack once enough workers are empty.
func (planner *planner) possible(service *rooms, wanted placement.Demand, demand demand) bool {
	if wanted.MaxPerWorker > 0 || wanted.Restricted {
		return placement.Fits(planner.eligible(service.all, demand), wanted, placement.TotalCapacity, true)
	}
	known, ok := service.possible[wanted]
	if !ok {
		known = placement.Fits(service.all, wanted, placement.TotalCapacity, true)
		service.possible[wanted] = known
	}
	return known
}

func (planner *planner) placeFree(
	service *rooms, wanted placement.Demand, demand demand, near bool,
) ([]fleet.WorkerID, bool) {
	workers := service.all
	key := missKey{near: near, open: demand.job.terms.Priority != workload.Urgent}
	if key.open {
		workers = service.open
	}
	if missed(service.misses[key], wanted) {
		return nil, false
	}
	places, ok := placement.Place(planner.eligible(workers, demand), wanted, placement.FreeCapacity, near)
	if !ok {
		service.misses[key] = append(service.misses[key], wanted)
	}
	return places, ok
}

// eligible returns the workers that may run the demand, with the number of its tasks that each holds or has room claimed
// for where the demand bounds these.
func (planner *planner) eligible(workers []*placement.Worker, demand demand) []*placement.Worker {
	workers = planner.permitted(workers, demand)
	if demand.step().MaxPerWorker == 0 {
		return workers
	}
	held := map[fleet.WorkerID]int{}
	for key, claim := range planner.loop.claims {
		if key.StepID() == demand.stepID() {
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
	counted := make([]*placement.Worker, len(workers))
	for i, worker := range workers {
		entry := *worker
		entry.SameStepTasks = held[worker.ID]
		counted[i] = &entry
	}
	return counted
}

// tryClaim starts a unit once the room that it claimed is free.
func (planner *planner) tryClaim(demand demand, claim *claim) {
	for _, id := range claim.places {
		worker := planner.loop.workers[id]
		if !worker.entry.Capacity.Sub(worker.taken).Sub(worker.reserved).NonNegative() {
			return
		}
	}
	places := claim.places
	planner.loop.dropClaim(demand.key())
	planner.loop.place(demand, places)
}
