package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workerspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// planner holds the free capacity of all usable workers during one plan. A plan only allocates capacity and never frees
// any, so a demand that was rejected once cannot fit later in the same plan.
type planner struct {
	loop  *dispatcher
	now   time.Duration
	pools map[fleet.ServiceName]*servicePool
	// urgentNeed is the number of accelerators that the unfinished urgent jobs of each organisation need. It is
	// computed when it is first needed; see withinGuarantee.
	urgentNeed map[fleet.OrganisationID]fleet.Accelerators
	// apart is what keeping kinds of task apart must not take room from.
	apart waitingShapes
}

// servicePool is the set of usable workers of one service with their free capacity.
type servicePool struct {
	all []*placement.Worker
	// onProbation are the workers that get one task at a time, because runs failed or were slow there; see workerhealth.
	// They are not in all.
	onProbation []*placement.Worker
	// unprotected are the workers that jobs of every priority may use. The remaining workers in all are headroom: they
	// are kept free for urgent jobs; see usesHeadroom.
	unprotected []*placement.Worker
	// utilisation is the fraction of the accelerators that is not free.
	utilisation float64
	// uneven is set if placement depends on the lasting speed of workers.
	uneven bool
	// endingSoon caches the result of endingSoonOnFast; -1 if it is not known.
	endingSoon fleet.Accelerators
	// capacity is the number of accelerators of all workers. withheld is the number of accelerators that this plan
	// reserves for units that do not fit yet.
	capacity, withheld fleet.Accelerators
	// emptied holds copies of all workers on which the capacity of every run counts as reclaimable. It shows where a
	// unit would fit once the present runs have ended.
	emptied view
	// preemptible holds, for each scope, copies of all workers on which only the capacity of runs in the scope counts
	// as reclaimable.
	preemptible map[preemptionScope]*view
	// copies lists the original and all copies of each worker.
	copies map[fleet.WorkerID][]*placement.Worker
	// rejected are the demands that did not fit in free capacity, by the placement rules that were tried.
	rejected map[rejectionKey][]placement.Demand
	// fitsWhenEmpty caches whether a demand would fit near its data and in one rack if all workers were empty.
	fitsWhenEmpty map[placement.Demand]bool
}

// view is a set of copies of a pool's workers, which differ from the originals in the capacity that counts as
// reclaimable, and the demands that could not be placed on them.
type view struct {
	workers  []*placement.Worker
	rejected []placement.Demand
	// tooCostly are demands that fit, but only by a preemption that loses more work than the limit of the demand.
	tooCostly []costlyDemand
}

// preemptionScope selects the runs that may be preempted: those of a lower priority than the given one, with or without
// the members of gangs.
type preemptionScope struct {
	priority workload.Priority
	gangs    bool
}

// rejectionKey identifies the placement rules under which demands were rejected. If near is set, only workers near the
// data and in one rack were tried. If unprotected is set, only unprotected workers were tried.
type rejectionKey struct{ near, unprotected bool }

// costlyDemand is a demand that was not placed, because the preemptions for it would have lost more accelerator time
// than lossLimit.
type costlyDemand struct {
	placement.Demand
	lossLimit time.Duration
}

func newPlanner(loop *dispatcher) *planner {
	loop.refreshFactors()
	planner := &planner{loop: loop, now: loop.clock(), pools: map[fleet.ServiceName]*servicePool{}}
	for _, id := range slices.Sorted(maps.Keys(loop.workers)) {
		worker := loop.workers[id]
		if !worker.usable(planner.now) || worker.isolating(planner.now) ||
			!loop.evacuations.Allows(worker.entry.DataCentre, id, planner.now) {
			continue
		}
		entry := worker.entry
		pool := planner.pool(entry.Service)
		usable := &placement.Worker{
			ID: id, Rack: entry.Rack, Labels: entry.Labels, Capacity: entry.Capacity,
			Free:       entry.Capacity.Sub(worker.used).Sub(worker.reserved),
			Unreliable: worker.health.Unreliable(), Proven: worker.health.Proven(planner.now),
			Factor: worker.factor, FactorKnown: worker.factorKnown, TooSlow: worker.tooSlow,
		}
		switch {
		case !worker.health.OnProbation(planner.now):
			pool.all = append(pool.all, usable)
		case !worker.onTrial():
			pool.onProbation = append(pool.onProbation, usable)
		}
	}
	for name, pool := range planner.pools {
		pool.computeUtilisation()
		pool.uneven = loop.uneven[name]
		protected := placement.HeadroomWorkers(
			pool.fastEnough(), loop.keptFree(planner.now, name, pool.capacity))
		for _, worker := range pool.all {
			if !protected[worker.ID] {
				pool.unprotected = append(pool.unprotected, worker)
			}
			pool.copies[worker.ID] = []*placement.Worker{worker}
		}
	}
	return planner
}

func (planner *planner) pool(name fleet.ServiceName) *servicePool {
	pool := planner.pools[name]
	if pool == nil {
		pool = &servicePool{
			preemptible: map[preemptionScope]*view{}, copies: map[fleet.WorkerID][]*placement.Worker{},
			rejected: map[rejectionKey][]placement.Demand{}, fitsWhenEmpty: map[placement.Demand]bool{},
			endingSoon: -1,
		}
		planner.pools[name] = pool
	}
	return pool
}

func (pool *servicePool) computeUtilisation() {
	free := fleet.Accelerators(0)
	for _, worker := range pool.all {
		free += max(worker.Free.Accelerators, 0)
		pool.capacity += worker.Capacity.Accelerators
	}
	pool.utilisation = 1
	if pool.capacity > 0 {
		pool.utilisation = 1 - float64(free)/float64(pool.capacity)
	}
}

// allocate takes the capacity of the tasks from the chosen workers and all their copies for the rest of the plan.
func (pool *servicePool) allocate(places []fleet.WorkerID, each workload.Resources) {
	for _, id := range places {
		for _, worker := range pool.copies[id] {
			worker.Free = worker.Free.Sub(each)
		}
	}
}

// copyWorkers returns copies of all workers, each changed by the given function. allocate lowers the free capacity of
// the copies together with that of the originals.
func (pool *servicePool) copyWorkers(change func(*placement.Worker)) view {
	view := view{workers: make([]*placement.Worker, len(pool.all))}
	for i, worker := range pool.all {
		entry := *worker
		change(&entry)
		view.workers[i] = &entry
		pool.copies[worker.ID] = append(pool.copies[worker.ID], &entry)
	}
	return view
}

// impliedByRejected reports whether a demand needs at least as much as one that was rejected, and so cannot fit either.
func impliedByRejected(rejected []placement.Demand, wanted placement.Demand) bool {
	return slices.ContainsFunc(rejected, wanted.Subsumes)
}

// startGroup starts the units of a group that fit or whose claimed capacity is free. The units of a group have equal
// demands, so after the first unit that does not fit it tries only units with claimed capacity.
func (planner *planner) startGroup(group group) {
	if rehearsal := planner.loop.rehearsal; rehearsal != nil {
		if rehearsal.complete() {
			return
		}
		defer rehearsal.follow(planner, group)()
	}
	for unit := range planner.loop.units(group) {
		candidate := group.candidate(unit)
		if !planner.loop.recordHasRoom(candidate) {
			return
		}
		if claim := planner.loop.claims[candidate.key()]; claim != nil {
			planner.startClaimed(candidate, claim)
			continue
		}
		if planner.isolated(candidate) {
			planner.startIsolated(candidate)
			continue
		}
		if !planner.startOrClaim(candidate, group.rank) {
			planner.startClaimedAfter(candidate.key(), group)
			return
		}
	}
}

// startClaimedAfter starts the units of a group that come after the given one and whose claimed capacity is free.
func (planner *planner) startClaimedAfter(key workload.TaskID, group group) {
	var claimed []workload.TaskID
	for other := range planner.loop.claims {
		if other.StepID() == key.StepID() && other.Index > key.Index {
			claimed = append(claimed, other)
		}
	}
	slices.SortFunc(claimed, func(a, b workload.TaskID) int { return cmp.Compare(a.Index, b.Index) })
	for _, other := range claimed {
		candidate := group.candidate(progress.UnitOf(group.job.Job, other))
		if !planner.loop.recordHasRoom(candidate) {
			return
		}
		planner.startClaimed(candidate, planner.loop.claims[other])
	}
}

// startOrClaim starts a unit if it fits. Otherwise it claims capacity for an urgent unit by preemption. If that is not
// possible either, it withholds capacity for the unit in this plan. It reports whether the unit was started or has
// claimed capacity.
func (planner *planner) startOrClaim(candidate candidate, rank int) bool {
	pool := planner.pools[candidate.job.policy.Service]
	if pool == nil {
		return false
	}
	wanted := planner.demandOf(pool, candidate)
	if planner.awaitsAdvice(pool, wanted, candidate) {
		return false
	}
	if wanted.BySpeed && wanted.Speed.Urgent && pool.uneven {
		if started, waits := planner.startInTime(pool, wanted, candidate, rank); started || waits {
			return started
		}
	}
	if places, ok := planner.choosePlaces(pool, wanted, candidate); ok {
		pool.allocate(places, wanted.Each)
		planner.loop.place(candidate, places)
		return true
	}
	if planner.startOnTrial(pool, wanted, candidate) {
		return true
	}
	urgent := candidate.job.policy.Priority == workload.Urgent && rank < lastRank
	if urgent && planner.claimByPreemption(pool, candidate, wanted) {
		return true
	}
	if rank < lastRank {
		planner.withhold(pool, candidate, wanted)
	}
	return false
}

// startOnTrial starts a unit on a worker on probation, which gets no second unit in this plan. Only a single task that
// has not failed before is risked there. It reports whether the unit was started.
func (planner *planner) startOnTrial(pool *servicePool, wanted placement.Demand, candidate candidate) bool {
	if len(candidate.unit.Tasks) > 1 || candidate.failures() > 0 || len(pool.onProbation) == 0 {
		return false
	}
	near := planner.waitsForNear(pool, candidate)
	places, ok := placement.Place(
		planner.eligible(pool.onProbation, candidate), wanted, placement.FreeCapacity, near)
	if !ok {
		return false
	}
	pool.onProbation = slices.DeleteFunc(pool.onProbation, func(worker *placement.Worker) bool {
		return worker.ID == places[0]
	})
	planner.loop.place(candidate, places)
	return true
}

// nearOnlyUtilisation is the utilisation of a service from which a unit waits for workers in the rack of its data, or
// for workers in one rack if it is a gang that needs that. On other workers the tasks are slower and would occupy their
// capacity several times as long.
const nearOnlyUtilisation = 0.6

func (planner *planner) choosePlaces(
	pool *servicePool, wanted placement.Demand, candidate candidate,
) ([]fleet.WorkerID, bool) {
	if places, ok := planner.placeFree(pool, wanted, candidate, true); ok {
		return places, true
	}
	if planner.waitsForNear(pool, candidate) && planner.fitsNearWhenEmpty(pool, wanted, candidate) {
		return nil, false
	}
	return planner.placeFree(pool, wanted, candidate, false)
}

// waitsForNear reports whether a unit has to wait for workers near its data, if there are any.
func (planner *planner) waitsForNear(pool *servicePool, candidate candidate) bool {
	return pool.utilisation >= nearOnlyUtilisation && !candidate.overdue
}

// fitsNearWhenEmpty reports whether a demand would fit near its data and in one rack if all workers were empty.
func (planner *planner) fitsNearWhenEmpty(pool *servicePool, wanted placement.Demand, candidate candidate) bool {
	if wanted.MaxPerWorker > 0 || wanted.Restricted {
		return placement.Fits(planner.eligible(pool.all, candidate), wanted, placement.TotalCapacity, true)
	}
	wanted.BySpeed, wanted.Speed = false, workerspeed.Need{}
	known, ok := pool.fitsWhenEmpty[wanted]
	if !ok {
		known = placement.Fits(pool.all, wanted, placement.TotalCapacity, true)
		pool.fitsWhenEmpty[wanted] = known
	}
	return known
}

func (planner *planner) placeFree(
	pool *servicePool, wanted placement.Demand, candidate candidate, near bool,
) ([]fleet.WorkerID, bool) {
	workers := pool.all
	key := rejectionKey{near: near, unprotected: !candidate.usesHeadroom()}
	if key.unprotected {
		workers = pool.unprotected
	}
	if impliedByRejected(pool.rejected[key], wanted) {
		return nil, false
	}
	places, ok := planner.placeApart(pool, planner.eligible(workers, candidate), wanted, candidate, near)
	if !ok {
		pool.rejected[key] = append(pool.rejected[key], wanted)
	}
	return places, ok
}

// usesHeadroom reports whether a unit may start on workers that are kept free for urgent jobs. Tasks that last and have
// waited for too long may: the headroom can take all free capacity for as long as urgent jobs come.
func (candidate candidate) usesHeadroom() bool {
	return candidate.job.policy.Priority == workload.Urgent || candidate.overdue
}

// eligible returns the workers that may run the unit. If the unit's step limits the tasks per worker, it returns copies
// of the workers, in which SameStepTasks is the number of tasks of the step that are placed on the worker or have
// claimed capacity there.
func (planner *planner) eligible(workers []*placement.Worker, candidate candidate) []*placement.Worker {
	workers = planner.permitted(workers, candidate)
	if candidate.step().MaxPerWorker == 0 {
		return workers
	}
	held := map[fleet.WorkerID]int{}
	for key, claim := range planner.loop.claims {
		if key.StepID() == candidate.stepID() {
			for _, id := range claim.places {
				held[id]++
			}
		}
	}
	for task := range candidate.job.record.Placed(candidate.unit.Occurrence, candidate.unit.Step) {
		held[task.At.Worker]++
	}
	counted := make([]*placement.Worker, len(workers))
	for i, worker := range workers {
		entry := *worker
		entry.SameStepTasks = held[worker.ID]
		counted[i] = &entry
	}
	return counted
}

// startClaimed starts a unit if all capacity that it has claimed is free.
func (planner *planner) startClaimed(candidate candidate, claim *claim) {
	for _, id := range claim.places {
		worker := planner.loop.workers[id]
		if !worker.entry.Capacity.Sub(worker.used).Sub(worker.reserved).NonNegative() {
			return
		}
	}
	places := claim.places
	planner.loop.dropClaim(candidate.key())
	planner.loop.place(candidate, places)
}
