package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// reclaim claims room for an urgent unit and stops what occupies it. It reports whether room was found.
func (planner *planner) reclaim(demand demand, wanted placement.Demand, workers []placement.Worker) bool {
	reclaimable := slices.Clone(workers)
	for i := range reclaimable {
		reclaimable[i].Reclaimable, reclaimable[i].Loss = planner.displaceable(
			reclaimable[i].ID, demand.job.terms.Priority)
	}
	places, ok := placement.Place(reclaimable, wanted, placement.ReclaimableRoom, true)
	if !ok {
		places, ok = placement.Place(reclaimable, wanted, placement.ReclaimableRoom, false)
	}
	if !ok {
		return false
	}
	loop := planner.loop
	loop.claims[demand.key()] = &claim{places: places, need: wanted.Each, since: planner.now}
	planner.take(demand.job.terms.Service, places, wanted.Each)
	for _, id := range places {
		loop.workers[id].reserved = loop.workers[id].reserved.Add(wanted.Each)
	}
	loop.Logger.Info("room claimed", "job", string(demand.job.ID), "step", demand.unit.Step,
		"workers", distinct(places), "organisation", string(demand.job.Organisation))
	for _, id := range distinct(places) {
		loop.displace(loop.workers[id], demand.job.terms.Priority)
	}
	return true
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
	for _, job := range loop.jobs {
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

// displaceable is the room of runs on a worker that work of a priority may displace, and the work that is lost when
// all of them stop. Runs that are stopping already count too: their room comes free by itself.
func (planner *planner) displaceable(id fleet.WorkerID, priority workload.Priority) (workload.Resources, time.Duration) {
	var room workload.Resources
	loss := time.Duration(0)
	for _, run := range planner.loop.workers[id].runs {
		switch {
		case run.stopping:
			room = room.Add(run.need)
		case run.job.terms.Priority > priority:
			room = room.Add(run.need)
			loss += run.loss(planner.now)
		}
	}
	return room, loss
}

// loss is the accelerator time that is thrown away when a run stops; a gang loses that of all its members.
func (run *run) loss(now time.Duration) time.Duration {
	step := run.step()
	if step.Checkpoints {
		return 0
	}
	loss := (now - run.since) * time.Duration(max(run.need.Accelerators, 1))
	if step.Gang {
		loss *= time.Duration(step.Tasks)
	}
	return loss
}

// displace stops runs on a worker until its reserved room will be free.
func (loop *dispatcher) displace(worker *worker, priority workload.Priority) {
	now := loop.clock()
	left := worker.entry.Capacity.Sub(worker.reserved)
	var victims []*run
	for _, run := range worker.runs {
		if run.stopping {
			continue
		}
		left = left.Sub(run.need)
		if run.job.terms.Priority > priority {
			victims = append(victims, run)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.job.terms.Priority, a.job.terms.Priority),
			cmp.Compare(a.loss(now), b.loss(now)),
			cmp.Compare(a.task.String(), b.task.String()),
		)
	})
	for _, victim := range victims {
		if left.NonNegative() {
			return
		}
		if relieves(left, victim.need) {
			left = left.Add(victim.need)
			loop.stopRun(victim, "displaced by urgent work")
			loop.stopGang(victim)
		}
	}
}

// relieves reports whether need is of a kind that is short.
func relieves(left, need workload.Resources) bool {
	return left.Accelerators < 0 && need.Accelerators > 0 ||
		left.Millicores < 0 && need.Millicores > 0 ||
		left.MemoryMiB < 0 && need.MemoryMiB > 0
}
