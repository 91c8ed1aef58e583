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

// reclaim claims room for an urgent unit and stops what occupies it, if that is worth the work that is lost. It reports
// whether room was claimed.
func (planner *planner) reclaim(service *rooms, demand demand, wanted placement.Demand) bool {
	guaranteed := planner.guaranteed(demand.job)
	limit := planner.lossLimit(demand, wanted, guaranteed)
	for _, gangs := range []bool{false, true} {
		if gangs && !guaranteed {
			break
		}
		view := planner.displacing(service, displacement{priority: demand.job.terms.Priority, gangs: gangs})
		if view.hopeless(wanted, limit) {
			continue
		}
		places, ok := planner.placeOver(service, view, demand, wanted, gangs)
		if !ok {
			view.misses = append(view.misses, wanted)
			continue
		}
		victims := planner.victims(places, wanted.Each, demand.job.terms.Priority, gangs)
		if lossOf(victims, planner.now) <= limit {
			planner.claim(service, demand, wanted, places, victims)
			return true
		}
		view.tooDear = append(view.tooDear, dearDemand{Demand: wanted, limit: limit})
	}
	return false
}

// hopeless reports whether smaller demands found no place, or only places that cost more than the limit.
func (view *view) hopeless(wanted placement.Demand, limit time.Duration) bool {
	if missed(view.misses, wanted) {
		return true
	}
	return slices.ContainsFunc(view.tooDear, func(dear dearDemand) bool {
		return limit <= dear.limit && wanted.Subsumes(dear.Demand)
	})
}

// displacing returns the workers with the room that may be displaced there.
func (planner *planner) displacing(service *rooms, what displacement) *view {
	known := service.displacing[what]
	if known == nil {
		made := service.copyOf(func(worker *placement.Worker) {
			worker.Reclaimable = planner.loop.workers[worker.ID].displaceable(what)
		})
		known = &made
		service.displacing[what] = known
	}
	return known
}

// lossShare is the work, as a share of its own, that urgent work beyond a guarantee may cost others.
const lossShare = 0.4

// lossLimit returns the accelerator time that may be thrown away for a unit; a guarantee is worth any.
func (planner *planner) lossLimit(demand demand, wanted placement.Demand, guaranteed bool) time.Duration {
	if guaranteed {
		return math.MaxInt64
	}
	work := demand.step().Estimate * time.Duration(int(max(wanted.Each.Accelerators, 1))*wanted.Tasks)
	return time.Duration(lossShare * float64(work))
}

// placeOver places a unit in room that is free or occupied by runs that it may displace.
func (planner *planner) placeOver(
	service *rooms, view *view, demand demand, wanted placement.Demand, gangs bool,
) ([]fleet.WorkerID, bool) {
	workers := planner.eligible(view.workers, demand)
	near := placement.Fits(workers, wanted, placement.ReclaimableCapacity, true)
	if !near && planner.possible(service, wanted, demand) {
		return nil, false
	}
	for _, worker := range workers {
		known := planner.loop.workers[worker.ID]
		worker.PreemptionCost = known.lossFor(wanted.Each, worker.Free, demand.job.terms.Priority, gangs, planner.now)
	}
	return placement.Place(workers, wanted, placement.ReclaimableCapacity, near)
}

// displaceable is the room of runs on a worker that may be displaced. Runs that are stopping already count too: their
// room comes free by itself.
func (worker *worker) displaceable(what displacement) workload.Resources {
	var room workload.Resources
	for _, run := range worker.runs {
		if run.stopping || run.displaceable(what.priority, what.gangs) {
			room = room.Add(run.need)
		}
	}
	return room
}

// lossFor is what is lost when one task of the given size displaces the cheapest runs of a worker with so much free room.
func (worker *worker) lossFor(
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
	for _, run := range worker.cheapest(priority, gangs, now) {
		if free.Fits(each) {
			break
		}
		free = free.Add(run.need)
		loss += run.loss(now)
	}
	return loss
}

// displaceable reports whether work of a priority may displace the run.
func (run *run) displaceable(priority workload.Priority, gangs bool) bool {
	return !run.stopping && run.job.terms.Priority > priority && (gangs || !run.step().Gang)
}

// cheapest lists the runs that work of a priority may displace: the least urgent first, and of these the ones that lose
// least.
func (worker *worker) cheapest(priority workload.Priority, gangs bool, now time.Duration) []*run {
	var runs []*run
	for _, run := range worker.runs {
		if run.displaceable(priority, gangs) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.job.terms.Priority, a.job.terms.Priority),
			cmp.Compare(a.loss(now), b.loss(now)),
			cmp.Compare(a.task.String(), b.task.String()),
		)
	})
	return runs
}

// restoreTime is about what a run loses that resumes from a checkpoint.
const restoreTime = 250 * time.Millisecond

// loss is the accelerator time that is thrown away when a run stops; a gang loses that of all its members.
func (run *run) loss(now time.Duration) time.Duration {
	step := run.step()
	lost := now - run.since
	if step.Checkpoints {
		lost = min(lost, restoreTime)
	}
	lost *= time.Duration(max(run.need.Accelerators, 1))
	if step.Gang {
		lost *= time.Duration(step.Tasks)
	}
	return lost
}

func lossOf(runs []*run, now time.Duration) time.Duration {
	total := time.Duration(0)
	for _, run := range runs {
		total += run.loss(now)
	}
	return total
}

// victims returns the runs that must stop before tasks fit on their places.
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
		left := worker.entry.Capacity.Sub(worker.reserved).Sub(each.Times(tasks))
		for _, run := range worker.runs {
			if !run.stopping {
				left = left.Sub(run.need)
			}
		}
		for _, run := range worker.cheapest(priority, gangs, planner.now) {
			if !left.NonNegative() && relieves(left, run.need) {
				left = left.Add(run.need)
				victims = append(victims, run)
			}
		}
	}
	return victims
}

// claim reserves the places of a unit and stops the victims.
func (planner *planner) claim(
	service *rooms, demand demand, wanted placement.Demand, places []fleet.WorkerID, victims []*run,
) {
	loop := planner.loop
	loop.claims[demand.key()] = &claim{places: places, need: wanted.Each}
	service.take(places, wanted.Each)
	for _, id := range places {
		loop.workers[id].reserved = loop.workers[id].reserved.Add(wanted.Each)
	}
	loop.Logger.Info("room claimed", "job", string(demand.job.ID), "step", demand.unit.Step,
		"workers", distinct(places), "organisation", string(demand.job.Organisation), "victims", len(victims),
		"lost_ms", lossOf(victims, planner.now).Milliseconds())
	for _, victim := range victims {
		loop.stopRun(victim, "displaced by more urgent work")
		loop.stopGang(victim)
	}
}

// guaranteed reports whether the unfinished urgent jobs of the job's organisation need no more than its guarantee.
func (planner *planner) guaranteed(job *job) bool {
	catalog := planner.loop.Catalog()
	if catalog == nil {
		return false
	}
	organisation, ok := catalog.Organisation(job.Organisation)
	if !ok {
		return false
	}
	if planner.urgent == nil {
		planner.urgent = urgentNeeds(planner.loop)
	}
	return planner.urgent[job.Organisation] <= organisation.Guaranteed
}

// urgentNeeds sums the accelerators of the tasks of unfinished urgent jobs that are not done.
func urgentNeeds(loop *dispatcher) map[fleet.OrganisationID]fleet.Accelerators {
	needs := map[fleet.OrganisationID]fleet.Accelerators{}
	for _, job := range loop.open {
		if !job.open() || job.terms.Priority != workload.Urgent {
			continue
		}
		for _, occurrence := range job.record.Occurrences {
			for s, step := range occurrence.Steps {
				for _, task := range step.Tasks {
					if task.Phase != progress.Done {
						needs[job.Organisation] += job.Steps[s].Each.Accelerators
					}
				}
			}
		}
	}
	return needs
}

// relieves reports whether need is of a kind that is short.
func relieves(left, need workload.Resources) bool {
	return left.Accelerators < 0 && need.Accelerators > 0 ||
		left.Millicores < 0 && need.Millicores > 0 ||
		left.MemoryMiB < 0 && need.MemoryMiB > 0
}
