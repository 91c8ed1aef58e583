package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// gangPreemptionDelay is how long a unit within a guarantee waits before it preempts members of gangs. Meanwhile the
// capacity of runs that end is withheld for it. A stopped gang loses the work of all its members.
const gangPreemptionDelay = 600 * time.Millisecond

// claimByPreemption claims capacity for an urgent unit and stops the runs that occupy this capacity, if the accelerator
// time that these runs lose is within lossLimit. Members of gangs are preempted only for a unit within a guarantee that
// has waited for gangPreemptionDelay. It reports whether capacity was claimed.
func (planner *planner) claimByPreemption(pool *servicePool, candidate candidate, wanted placement.Demand) bool {
	guaranteed := planner.withinGuarantee(candidate.job)
	limit := planner.lossLimit(candidate, wanted, guaranteed)
	for _, gangs := range []bool{false, true} {
		if gangs && !(guaranteed && time.Since(candidate.waitingSince) >= gangPreemptionDelay) {
			break
		}
		view := planner.preemptionView(pool, preemptionScope{priority: candidate.job.policy.Priority, gangs: gangs})
		if view.cannotPlace(wanted, limit) {
			continue
		}
		places, ok := planner.placePreempting(pool, view, candidate, wanted, gangs)
		if !ok {
			view.rejected = append(view.rejected, wanted)
			continue
		}
		victims := planner.victims(places, wanted.Each, candidate.job.policy.Priority, gangs)
		if !keepsAvailability(victims, planner.now) {
			view.rejected = append(view.rejected, wanted)
			continue
		}
		if totalLoss(victims, planner.now) <= limit {
			planner.claim(pool, candidate, wanted, places, victims)
			return true
		}
		view.tooCostly = append(view.tooCostly, costlyDemand{Demand: wanted, lossLimit: limit})
	}
	return false
}

// cannotPlace reports whether an earlier attempt in this plan shows that a demand cannot be placed: a demand that needs
// no more was rejected, or was too costly at the same or a higher limit.
func (view *view) cannotPlace(wanted placement.Demand, limit time.Duration) bool {
	if impliedByRejected(view.rejected, wanted) {
		return true
	}
	return slices.ContainsFunc(view.tooCostly, func(costly costlyDemand) bool {
		return limit <= costly.lossLimit && wanted.Subsumes(costly.Demand)
	})
}

// preemptionView returns copies of all workers on which only the capacity of runs in the scope counts as reclaimable.
func (planner *planner) preemptionView(pool *servicePool, scope preemptionScope) *view {
	view := pool.preemptible[scope]
	if view == nil {
		created := pool.copyWorkers(func(worker *placement.Worker) {
			worker.Reclaimable = planner.loop.workers[worker.ID].preemptibleCapacity(scope, planner.now)
		})
		view = &created
		pool.preemptible[scope] = view
	}
	return view
}

// lossShare limits the work that preemptions for a unit beyond its organisation's guarantee may lose, as a fraction of
// the unit's own work.
const lossShare = 0.4

// lossLimit returns the accelerator time that preemptions for a unit may lose. It is unlimited within a guarantee.
func (planner *planner) lossLimit(candidate candidate, wanted placement.Demand, guaranteed bool) time.Duration {
	if guaranteed {
		return math.MaxInt64
	}
	work := candidate.step().Estimate * time.Duration(int(max(wanted.Each.Accelerators, 1))*wanted.Tasks)
	return time.Duration(lossShare * float64(work))
}

// placePreempting chooses places for a unit on capacity that is free or that preemptible runs occupy.
func (planner *planner) placePreempting(
	pool *servicePool, view *view, candidate candidate, wanted placement.Demand, gangs bool,
) ([]fleet.WorkerID, bool) {
	workers := planner.eligible(view.workers, candidate)
	near := placement.Fits(workers, wanted, placement.ReclaimableCapacity, true)
	if !near && planner.fitsNearWhenEmpty(pool, wanted, candidate) {
		return nil, false
	}
	for _, worker := range workers {
		known := planner.loop.workers[worker.ID]
		worker.PreemptionCost = known.preemptionLoss(
			wanted.Each, worker.Free, candidate.job.policy.Priority, gangs, planner.now)
	}
	return placement.Place(workers, wanted, placement.ReclaimableCapacity, near)
}

// preemptibleCapacity returns the capacity of the runs in the scope. Runs that are already stopping count too, because
// their capacity becomes free anyway.
func (worker *worker) preemptibleCapacity(scope preemptionScope, now time.Duration) workload.Resources {
	var capacity workload.Resources
	for _, run := range worker.runs {
		if run.stopping || run.preemptible(scope.priority, scope.gangs, now) {
			capacity = capacity.Add(run.need)
		}
	}
	return capacity
}

// preemptionLoss returns the accelerator time that is lost if one task of the given size preempts runs on a worker with
// the given free capacity.
func (worker *worker) preemptionLoss(
	each, free workload.Resources, priority workload.Priority, gangs bool, now time.Duration,
) time.Duration {
	if free.Fits(each) {
		return 0
	}
	for _, run := range worker.runs {
		if run.stopping {
			free = free.Add(run.need)
		}
	}
	loss := time.Duration(0)
	for _, run := range worker.preemptibleRuns(priority, gangs, now) {
		if free.Fits(each) {
			break
		}
		free = free.Add(run.need)
		loss += run.loss(now)
	}
	return loss
}

// preemptible reports whether jobs of a priority may preempt the run. If gangs is not set, members of gangs are not
// preemptible.
func (run *run) preemptible(priority workload.Priority, gangs bool, now time.Duration) bool {
	return !run.stopping && run.job.policy.Priority > priority && (gangs || !run.step().Gang) && run.mayBeStopped(now)
}

// preemptibleRuns returns the runs that jobs of a priority may preempt. The least urgent runs come first, and among
// runs of one priority those with the smallest loss.
func (worker *worker) preemptibleRuns(priority workload.Priority, gangs bool, now time.Duration) []*run {
	var runs []*run
	for _, run := range worker.runs {
		if run.preemptible(priority, gangs, now) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.job.policy.Priority, a.job.policy.Priority),
			cmp.Compare(a.loss(now), b.loss(now)),
			cmp.Compare(a.task.String(), b.task.String()),
		)
	})
	return runs
}

// restoreTime is the approximate time that a run loses when it resumes from a checkpoint.
const restoreTime = 250 * time.Millisecond

// loss is the accelerator time that is lost if the run stops. For a member of a gang it is the loss of the whole gang.
func (run *run) loss(now time.Duration) time.Duration {
	step := run.step()
	lost := run.workedFor(now)
	if step.Checkpoints {
		lost = min(lost, restoreTime)
	}
	lost *= time.Duration(max(run.need.Accelerators, 1))
	if step.Gang {
		lost *= time.Duration(step.Tasks)
	}
	return lost
}

func totalLoss(runs []*run, now time.Duration) time.Duration {
	total := time.Duration(0)
	for _, run := range runs {
		total += run.loss(now)
	}
	return total
}

// victims returns the runs that must stop before a unit's tasks fit on the workers chosen for them.
func (planner *planner) victims(
	places []fleet.WorkerID, each workload.Resources, priority workload.Priority, gangs bool,
) []*run {
	var victims []*run
	for _, id := range distinct(places) {
		worker := planner.loop.workers[id]
		tasks := 0
		for _, place := range places {
			if place == id {
				tasks++
			}
		}
		remaining := worker.entry.Capacity.Sub(worker.reserved).Sub(each.Times(tasks))
		for _, run := range worker.runs {
			if !run.stopping {
				remaining = remaining.Sub(run.need)
			}
		}
		for _, run := range worker.preemptibleRuns(priority, gangs, planner.now) {
			if !remaining.NonNegative() && reducesShortage(remaining, run.need) {
				remaining = remaining.Add(run.need)
				victims = append(victims, run)
			}
		}
	}
	return victims
}

// claim reserves capacity for a unit on the workers chosen for it, and stops the victims with all members of their
// gangs.
func (planner *planner) claim(
	pool *servicePool, candidate candidate, wanted placement.Demand, places []fleet.WorkerID, victims []*run,
) {
	loop := planner.loop
	loop.claims[candidate.key()] = &claim{places: places, each: wanted.Each}
	pool.allocate(places, wanted.Each)
	for _, id := range places {
		loop.workers[id].reserved = loop.workers[id].reserved.Add(wanted.Each)
	}
	loop.Logger.Info("room claimed", "job", string(candidate.job.ID), "step", candidate.unit.Step,
		"workers", distinct(places), "organisation", string(candidate.job.Organisation), "victims", len(victims),
		"lost_ms", totalLoss(victims, planner.now).Milliseconds())
	for _, victim := range victims {
		loop.stopRun(victim, "preempted by more urgent work")
		loop.stopGang(victim)
	}
}

// withinGuarantee reports whether the unfinished urgent jobs of the job's organisation together need no more than the
// guarantee of the organisation.
func (planner *planner) withinGuarantee(job *job) bool {
	catalog := planner.loop.Catalog()
	if catalog == nil {
		return false
	}
	organisation, ok := catalog.Organisation(job.Organisation)
	if !ok {
		return false
	}
	if planner.urgentNeed == nil {
		planner.urgentNeed = urgentNeeds(planner.loop)
	}
	return planner.urgentNeed[job.Organisation] <= organisation.Guaranteed
}

// urgentNeeds sums the accelerators of all tasks that are due and not done, over the unfinished urgent jobs of each
// organisation.
func urgentNeeds(loop *dispatcher) map[fleet.OrganisationID]fleet.Accelerators {
	needs := map[fleet.OrganisationID]fleet.Accelerators{}
	now := time.Now()
	for _, job := range loop.openJobs {
		if !job.open() || job.policy.Priority != workload.Urgent {
			continue
		}
		needs[job.Organisation] += job.unfinishedNeed(now)
	}
	return needs
}

// unfinishedNeed returns the accelerators of all tasks of a job that are due and not done.
func (job *job) unfinishedNeed(now time.Time) fleet.Accelerators {
	each := fleet.Accelerators(0)
	for _, step := range job.Steps {
		each += step.Each.Accelerators * fleet.Accelerators(step.Tasks)
	}
	need := each * fleet.Accelerators(job.record.NotBegun(job.Schedule.DueBy(now)))
	for _, occurrence := range job.record.Occurrences {
		for s, step := range occurrence.Steps {
			need += job.Steps[s].Each.Accelerators * fleet.Accelerators(step.Len()-step.Count(progress.Done))
		}
	}
	return need
}

// reducesShortage reports whether freeing the resources of a run reduces a shortage. A resource is short if its
// remaining amount is negative.
func reducesShortage(remaining, need workload.Resources) bool {
	return remaining.Accelerators < 0 && need.Accelerators > 0 ||
		remaining.Millicores < 0 && need.Millicores > 0 ||
		remaining.MemoryMiB < 0 && need.MemoryMiB > 0
}
