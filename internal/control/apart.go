package control

import (
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/interference"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// maxShapes limits the distinct demands that a placement is checked against. While more wait, kinds are not kept apart.
const maxShapes = 64

// waitingShapes is the demands of one task of each step that waits in the present plan, without duplicates.
type waitingShapes struct {
	groups []group
	// byService is computed when it is first needed.
	byService map[fleet.ServiceName][]placement.Demand
}

// beginApart prepares a plan over the waiting groups. It does nothing while no kinds are known to interfere.
func (planner *planner) beginApart(groups []group) {
	state := &planner.loop.interference
	state.present = nil
	if state.learner == nil || state.learner.PairCount() == 0 {
		return
	}
	state.present = map[fleet.WorkerID]interference.Set{}
	planner.apart.groups = groups
}

// placeApart places a demand on free capacity, like placement.Place. If some of the chosen workers have kinds that
// interfere with the unit, it chooses others, unless that took more room from the other units of the plan.
func (planner *planner) placeApart(
	pool *servicePool, workers []*placement.Worker, wanted placement.Demand, candidate candidate, near bool,
) ([]fleet.WorkerID, bool) {
	usual, ok := placement.Place(workers, wanted, placement.FreeCapacity, near)
	state := &planner.loop.interference
	if !ok || state.present == nil {
		return usual, ok
	}
	slot, ok := state.learner.Find(interference.KindOf(&candidate.job.Job, candidate.unit.Step))
	if !ok || state.learner.Interfering(slot) == 0 || !planner.interferes(slot, usual) {
		return usual, true
	}
	for _, worker := range workers {
		worker.Interference = state.learner.Excess(slot, planner.loop.kindsOn(worker.ID))
	}
	apart, _ := placement.Place(workers, wanted, placement.FreeCapacity, near)
	for _, worker := range workers {
		worker.Interference = 0
	}
	if slices.Equal(apart, usual) || planner.takesMoreRoom(pool, apart, usual, candidate, wanted) {
		return usual, true
	}
	return apart, true
}

// interferes reports whether some of the workers have a kind that interferes with the kind in a slot.
func (planner *planner) interferes(slot interference.Slot, places []fleet.WorkerID) bool {
	return slices.ContainsFunc(places, func(id fleet.WorkerID) bool {
		return planner.loop.kindsOn(id)&planner.loop.interference.learner.Interfering(slot) != 0
	})
}

// kindsOn returns the kinds of the runs on a worker that are not to be stopped.
func (loop *dispatcher) kindsOn(id fleet.WorkerID) interference.Set {
	state := &loop.interference
	known, ok := state.present[id]
	if ok {
		return known
	}
	for _, run := range loop.workers[id].runs {
		if run.stopping {
			continue
		}
		if slot, ok := state.learner.Find(run.kind()); ok {
			known = known.With(slot)
		}
	}
	state.present[id] = known
	return known
}

// noteKind adds the kind of a unit that this plan places to the kinds on its workers.
func (loop *dispatcher) noteKind(job *job, step int, places []fleet.WorkerID) {
	state := &loop.interference
	if state.present == nil {
		return
	}
	slot, ok := state.learner.Find(interference.KindOf(&job.Job, step))
	for _, id := range places {
		if known, counted := state.present[id]; ok && counted {
			state.present[id] = known.With(slot)
		}
	}
}

// takesMoreRoom reports whether a placement leaves less room than the usual one for a unit that waits in this plan.
func (planner *planner) takesMoreRoom(
	pool *servicePool, chosen, usual []fleet.WorkerID, candidate candidate, wanted placement.Demand,
) bool {
	shapes := planner.shapes(candidate.job.policy.Service)
	if len(shapes) > maxShapes {
		return true
	}
	return slices.ContainsFunc(shapes, func(shape placement.Demand) bool {
		taken := pool.taken(chosen, wanted.Each, shape)
		for rack, count := range pool.taken(usual, wanted.Each, shape) {
			taken[rack] -= count
		}
		total, inRack := 0, 0
		for _, count := range taken {
			total += count
			inRack = max(inRack, count)
		}
		return total > 0 || shape.SameRack && inRack > 0
	})
}

// shapes returns the demands that wait in a service, up to one more than maxShapes.
func (planner *planner) shapes(service fleet.ServiceName) []placement.Demand {
	apart := &planner.apart
	if apart.byService == nil {
		apart.byService = map[fleet.ServiceName][]placement.Demand{}
		for _, group := range apart.groups {
			known := apart.byService[group.job.policy.Service]
			shape := placement.DemandOf(group.job.Steps[group.step], 1)
			if len(known) <= maxShapes && !slices.Contains(known, shape) {
				apart.byService[group.job.policy.Service] = append(known, shape)
			}
		}
	}
	return apart.byService[service]
}

// taken returns, for each rack, how many fewer tasks of a shape fit after tasks have been placed on workers.
func (pool *servicePool) taken(
	places []fleet.WorkerID, each workload.Resources, shape placement.Demand,
) map[fleet.RackID]int {
	taken := map[fleet.RackID]int{}
	placed := map[fleet.WorkerID]int{}
	for _, id := range places {
		placed[id]++
	}
	for id, count := range placed {
		worker := pool.copies[id][0]
		if shape.Label != "" && !slices.Contains(worker.Labels, shape.Label) ||
			shape.DataRack != "" && shape.DataRack != worker.Rack {
			continue
		}
		before, after := worker.Free.Count(shape.Each), worker.Free.Sub(each.Times(count)).Count(shape.Each)
		if shape.MaxPerWorker > 0 {
			before, after = min(before, shape.MaxPerWorker), min(after, shape.MaxPerWorker)
		}
		taken[worker.Rack] += before - after
	}
	return taken
}
