package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// diagnosis finds out why the first waiting unit of a group does not start, and what a plan makes of each worker. It
// examines copies of the workers with the capacity that was free when the plan came to the group, less that of the
// group's units that start or have claimed capacity.
type diagnosis struct {
	planner   *planner
	pool      *servicePool
	candidate candidate
	wanted    placement.Demand
	// all are the usable workers of the service, and allowed those that the job's priority may use.
	all, allowed []*placement.Worker
	// near is set if the unit waits for its locality, or is placed by it.
	near bool
	// own is the capacity that the group's units which start or have claimed capacity take from each worker.
	own   map[fleet.WorkerID]workload.Resources
	waits WaitReason
	// racks is how many of the unit's tasks fit in each rack.
	racks map[fleet.RackID]int
}

// diagnose completes the explanation of a group. free is the capacity that was free before the plan considered it.
func (rehearsal *rehearsal) diagnose(
	planner *planner, pool *servicePool, group group, step *StepExplanation, free map[fleet.WorkerID]workload.Resources,
) {
	unit := group.first
	own := map[fleet.WorkerID]workload.Resources{}
	for considered := range planner.loop.units(group) {
		key := group.candidate(considered).key()
		places, ok := rehearsal.placed[key]
		if claim := planner.loop.claims[key]; !ok && claim != nil {
			places, ok = claim.places, true
		}
		if !ok {
			unit = considered
			break
		}
		for _, id := range places {
			own[id] = own[id].Add(group.candidate(considered).step().Need())
		}
	}
	diagnosis := &diagnosis{
		planner: planner, pool: pool, candidate: group.candidate(unit), own: own, racks: map[fleet.RackID]int{},
	}
	diagnosis.wanted = planner.demandOf(pool, diagnosis.candidate)
	protected := map[fleet.WorkerID]bool{}
	for _, worker := range pool.all {
		protected[worker.ID] = !diagnosis.candidate.usesHeadroom()
	}
	for _, worker := range pool.unprotected {
		protected[worker.ID] = false
	}
	for _, worker := range pool.all {
		seen := *worker
		seen.Free = free[worker.ID].Sub(own[worker.ID])
		diagnosis.all = append(diagnosis.all, &seen)
		if !protected[worker.ID] {
			diagnosis.allowed = append(diagnosis.allowed, &seen)
		}
	}
	diagnosis.near = planner.waitsForNear(pool, diagnosis.candidate) &&
		planner.fitsNearWhenEmpty(pool, diagnosis.wanted, diagnosis.candidate)
	if step.Waiting > 0 {
		diagnosis.waits = diagnosis.waitReason(rehearsal.original)
		step.WaitsFor = diagnosis.waits
	}
	diagnosis.near = diagnosis.near || diagnosis.fits(diagnosis.allowed, true) || diagnosis.chosenNear()
	step.Workers = diagnosis.workerGroups(rehearsal.original)
}

// fits reports whether the unit fits in the free capacity of the workers.
func (diagnosis *diagnosis) fits(workers []*placement.Worker, near bool) bool {
	return placement.Fits(
		diagnosis.planner.eligible(workers, diagnosis.candidate), diagnosis.wanted, placement.FreeCapacity, near)
}

// startsOn reports whether the unit could start on the workers, as far as its locality matters.
func (diagnosis *diagnosis) startsOn(workers []*placement.Worker) bool {
	return diagnosis.fits(workers, diagnosis.near)
}

// chosenNear reports whether all workers of the group's units are in the rack of its data, or else in one rack.
func (diagnosis *diagnosis) chosenNear() bool {
	racks := map[fleet.RackID]bool{}
	for id := range diagnosis.own {
		racks[diagnosis.planner.loop.workers[id].entry.Rack] = true
	}
	if rack := diagnosis.wanted.DataRack; rack != "" {
		return len(racks) == 1 && racks[rack]
	}
	return len(racks) == 1
}

// waitReason returns why the unit does not start, although the plan has considered it.
func (diagnosis *diagnosis) waitReason(loop *dispatcher) WaitReason {
	planner, candidate := diagnosis.planner, diagnosis.candidate
	withEvacuated := slices.Concat(diagnosis.all, diagnosis.closedWorkers(loop, true))
	switch {
	case !planner.loop.recordHasRoom(candidate):
		return WaitsForRecord
	case candidate.advised() && (planner.awaitsAdvice(diagnosis.pool, diagnosis.wanted, candidate) ||
		len(diagnosis.all) > 0 && len(planner.permitted(diagnosis.all, candidate)) == 0):
		return WaitsForAdvice
	case diagnosis.startsOn(diagnosis.allowed):
		if diagnosis.pool.uneven && diagnosis.wanted.BySpeed && diagnosis.wanted.Speed.Urgent {
			return WaitsForSpeed
		}
		return HeldBack
	case diagnosis.startsOn(diagnosis.all):
		return WaitsForHeadroom
	case diagnosis.fits(diagnosis.all, false):
		return WaitsForLocality
	case diagnosis.limited():
		return WaitsForTaskLimit
	case diagnosis.startsOn(diagnosis.beforePlan(loop)):
		return WaitsForEarlierUnits
	case diagnosis.mayPreemptGangs():
		return WaitsForGangs
	case diagnosis.startsOn(withEvacuated):
		return WaitsForEvacuated
	}
	for _, could := range []struct {
		workers []*placement.Worker
		reason  WaitReason
	}{
		{diagnosis.all, WaitsForRoom}, {withEvacuated, WaitsForEvacuated},
		{slices.Concat(diagnosis.all, diagnosis.closedWorkers(loop, false)), WaitsForUsable},
	} {
		if placement.Fits(could.workers, diagnosis.wanted, placement.TotalCapacity, diagnosis.near) {
			return could.reason
		}
	}
	return TooLarge
}

// limited reports whether only the limit of tasks per worker keeps the unit waiting.
func (diagnosis *diagnosis) limited() bool {
	unlimited := diagnosis.wanted
	unlimited.MaxPerWorker = 0
	return diagnosis.wanted.MaxPerWorker > 0 && placement.Fits(
		diagnosis.planner.eligible(diagnosis.allowed, diagnosis.candidate), unlimited, placement.FreeCapacity, diagnosis.near)
}

// mayPreemptGangs reports whether the unit may preempt members of gangs later and fits then.
func (diagnosis *diagnosis) mayPreemptGangs() bool {
	job, planner := diagnosis.candidate.job, diagnosis.planner
	if job.policy.Priority != workload.Urgent || !planner.withinGuarantee(job) {
		return false
	}
	workers := make([]*placement.Worker, len(diagnosis.all))
	for i, worker := range diagnosis.all {
		entry := *worker
		entry.Reclaimable = planner.loop.workers[worker.ID].preemptibleCapacity(
			preemptionScope{priority: job.policy.Priority, gangs: true}, planner.now)
		workers[i] = &entry
	}
	return placement.Fits(
		planner.eligible(workers, diagnosis.candidate), diagnosis.wanted, placement.ReclaimableCapacity, diagnosis.near)
}

// beforePlan returns the usable workers with the capacity that is free before any unit of the plan has started.
func (diagnosis *diagnosis) beforePlan(loop *dispatcher) []*placement.Worker {
	workers := make([]*placement.Worker, len(diagnosis.all))
	for i, worker := range diagnosis.all {
		known, entry := loop.workers[worker.ID], *worker
		entry.Free = entry.Capacity.Sub(known.used).Sub(known.reserved).Sub(diagnosis.own[worker.ID])
		workers[i] = &entry
	}
	return workers
}

// closedWorkers returns the workers of the service that are not usable; with evacuated, only those that are usable but for
// the evacuation of their data centre.
func (diagnosis *diagnosis) closedWorkers(loop *dispatcher, evacuated bool) []*placement.Worker {
	usable := map[fleet.WorkerID]bool{}
	for _, worker := range diagnosis.pool.all {
		usable[worker.ID] = true
	}
	var closed []*placement.Worker
	for _, id := range slices.Sorted(maps.Keys(loop.workers)) {
		known := *loop.workers[id]
		if known.entry.Service != diagnosis.candidate.job.policy.Service || usable[id] {
			continue
		}
		if evacuated && (!known.evacuated || known.closedFor(diagnosis.planner) != WorkerEvacuated) {
			continue
		}
		closed = append(closed, &placement.Worker{
			ID: id, Rack: known.entry.Rack, Labels: known.entry.Labels, Capacity: known.entry.Capacity,
			Free: known.entry.Capacity.Sub(known.used).Sub(known.reserved), Factor: known.factor,
		})
	}
	return closed
}

// closedFor returns why a worker is not usable for the plan, or "" if it is. Evacuation comes last, so that it is the
// reason only of workers that would be usable without it.
func (worker *worker) closedFor(planner *planner) WorkerReason {
	now := planner.now
	switch {
	case !worker.listed:
		return WorkerNotListed
	case worker.unresponsive:
		return WorkerUnresponsive
	case !worker.settled || worker.unreported:
		return WorkerNotSettled
	case worker.entry.Draining:
		return WorkerDraining
	case !worker.health.Available(now):
		return WorkerPaused
	case len(worker.unexpected) > 0:
		return WorkerUnexpectedRuns
	case worker.isolating(now):
		return WorkerIsolating
	case worker.evacuated:
		return WorkerEvacuated
	case !planner.loop.evacuations.Allows(worker.entry.DataCentre, worker.entry.ID, now):
		return WorkerTakenBack
	case worker.health.OnProbation(now):
		return WorkerOnProbation
	}
	return ""
}

// workerGroups returns the workers of the service by what the plan makes of them, the largest groups first after that of
// the chosen ones.
func (diagnosis *diagnosis) workerGroups(loop *dispatcher) []WorkerGroup {
	open := map[fleet.WorkerID]*placement.Worker{}
	for _, worker := range diagnosis.planner.eligible(diagnosis.all, diagnosis.candidate) {
		open[worker.ID] = worker
		diagnosis.racks[worker.Rack] += diagnosis.count(worker)
	}
	allowed := map[fleet.WorkerID]bool{}
	for _, worker := range diagnosis.allowed {
		allowed[worker.ID] = true
	}
	byReason := map[WorkerReason][]fleet.WorkerID{}
	for _, id := range slices.Sorted(maps.Keys(loop.workers)) {
		known := loop.workers[id]
		if known.entry.Service != diagnosis.candidate.job.policy.Service {
			continue
		}
		reason := known.closedFor(diagnosis.planner)
		_, chosen := diagnosis.own[id]
		switch {
		case chosen:
			reason = WorkerChosen
		case reason == "" && open[id] == nil:
			reason = WorkerNotAdvised
		case reason == "":
			reason = diagnosis.reasonFor(open[id], known, allowed[id])
		}
		byReason[reason] = append(byReason[reason], id)
	}
	groups := []WorkerGroup{}
	for reason, workers := range byReason {
		groups = append(groups, WorkerGroup{Reason: reason, Workers: workers})
	}
	slices.SortFunc(groups, func(a, b WorkerGroup) int {
		switch WorkerChosen {
		case a.Reason:
			return -1
		case b.Reason:
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.Workers), len(a.Workers)), cmp.Compare(a.Reason, b.Reason))
	})
	return groups
}

// count returns how many of the unit's tasks fit on a worker.
func (diagnosis *diagnosis) count(worker *placement.Worker) int {
	count := worker.Free.Count(diagnosis.wanted.Each)
	if most := diagnosis.wanted.MaxPerWorker; most > 0 {
		count = min(count, most-worker.SameStepTasks)
	}
	return count
}

// reasonFor returns what the plan makes of a usable worker that is not chosen. allowed is set if the job's priority may use
// it.
func (diagnosis *diagnosis) reasonFor(worker *placement.Worker, known *worker, allowed bool) WorkerReason {
	wanted := diagnosis.wanted
	strict := wanted.Speed
	strict.Strict = true
	switch {
	case wanted.Label != "" && !slices.Contains(worker.Labels, wanted.Label):
		return WorkerLacksLabel
	case diagnosis.near && wanted.DataRack != "" && worker.Rack != wanted.DataRack:
		return WorkerOtherRack
	case diagnosis.waits == WaitsForSpeed && strict.Excludes(worker.Factor):
		return WorkerTooSlow
	case !worker.Free.Fits(wanted.Each):
		if worker.Capacity.Sub(known.used).Sub(known.reserved).Fits(wanted.Each) {
			return WorkerEarlierUnits
		}
		return lacking(worker.Free, wanted.Each)
	case !allowed:
		return WorkerHeadroom
	case diagnosis.waits == "":
		return WorkerNotNeeded
	case diagnosis.near && wanted.SameRack && diagnosis.racks[worker.Rack] < wanted.Tasks:
		return WorkerRackTooSmall
	}
	return WorkersTooFew
}

// lacking returns the first resource of which too little is free.
func lacking(free, need workload.Resources) WorkerReason {
	switch {
	case need.Accelerators > 0 && free.Accelerators < need.Accelerators:
		return WorkerAccelerators
	case need.Millicores > 0 && free.Millicores < need.Millicores:
		return WorkerMillicores
	}
	return WorkerMemory
}
