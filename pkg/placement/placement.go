// Package placement assigns tasks to workers. Its functions have no side effects and keep no state: the caller passes
// in the capacity of each worker.
package placement

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workerspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Worker describes a worker that tasks may be placed on.
type Worker struct {
	ID     fleet.WorkerID
	Rack   fleet.RackID
	Labels []string
	// Free is the capacity that running, stopping and reserved tasks leave; it may be negative.
	Free workload.Resources
	// Capacity is the total capacity of the worker.
	Capacity workload.Resources
	// Reclaimable is the capacity of running tasks that counts as available in ReclaimableCapacity, for example because
	// the demand may preempt these tasks.
	Reclaimable workload.Resources
	// PreemptionCost is the accelerator time that is lost when all tasks counted in Reclaimable are preempted.
	PreemptionCost time.Duration
	// Unreliable workers are chosen only if the other workers do not suffice.
	Unreliable bool
	// Proven workers have just shown that they run tasks well. A demand that prefers proven workers is placed on others
	// only if they do not suffice.
	Proven bool
	// Factor is how long work takes on the worker in the long run, relative to its declared run time. It matters only to
	// demands with BySpeed.
	Factor workerspeed.Factor
	// FactorKnown is set if Factor is known; otherwise it is 1.
	FactorKnown bool
	// TooSlow is set if urgent work of the service certainly misses its objective on the worker.
	TooSlow bool
	// SameStepTasks is the number of tasks on the worker that belong to the same step and occurrence as the demand.
	SameStepTasks int
	// Interference is the slowdown to expect from the present runs on the worker, beside tasks of the demand, as a fraction
	// of the run time; 0 if none is known. It only decides between workers that are equally trusted and costly.
	Interference float64
}

// Demand is a set of equal tasks that are placed either all together or not at all.
type Demand struct {
	Each         workload.Resources
	Tasks        int
	SameRack     bool
	DataRack     fleet.RackID
	Label        string
	MaxPerWorker int
	// PreferProven is set if the tasks are to run on proven workers if possible, for example because they have failed
	// elsewhere.
	PreferProven bool
	// BySpeed is set if the tasks are placed by the lasting speed of workers, and Speed is what they need of it.
	BySpeed bool
	Speed   workerspeed.Need
	// Restricted is true if only some workers may run the tasks. The functions of this package do not check this: only
	// these workers may be passed to them.
	Restricted bool
}

// DemandOf returns the demand of n tasks of a step.
func DemandOf(step workload.Step, n int) Demand {
	return Demand{
		Each: step.Need(), Tasks: n, SameRack: step.Gang && step.SameRack,
		DataRack: step.DataRack, Label: step.Label, MaxPerWorker: step.MaxPerWorker,
	}
}

// Subsumes reports whether demand needs at least as much as other, so that every placement of demand contains a
// placement of other. If demand subsumes other and other does not fit on a set of workers, demand does not fit on them
// either. The result is false if other is restricted, limits the tasks on a worker or excludes slow workers, because the
// placement of other then depends on more than capacity.
func (demand Demand) Subsumes(other Demand) bool {
	return demand.Tasks >= other.Tasks && demand.Each.Covers(other.Each) &&
		(demand.SameRack || !other.SameRack) &&
		(other.DataRack == "" || demand.DataRack == other.DataRack) &&
		(other.Label == "" || demand.Label == other.Label) &&
		other.MaxPerWorker == 0 && !other.Restricted && !other.Speed.Strict
}

// CapacityFunc returns the usable capacity of a worker: the part of its capacity that a placement may use.
type CapacityFunc func(*Worker) workload.Resources

// FreeCapacity returns the capacity that is free without preemption.
func FreeCapacity(worker *Worker) workload.Resources { return worker.Free }

// ReclaimableCapacity returns the capacity that is free now or after preempting tasks.
func ReclaimableCapacity(worker *Worker) workload.Resources {
	return worker.Free.Add(worker.Reclaimable)
}

// TotalCapacity returns the total capacity. It is used to check whether a demand can ever be placed.
func TotalCapacity(worker *Worker) workload.Resources { return worker.Capacity }

// candidate is a worker with its usable capacity and the number of the demand's tasks that fit into it.
type candidate struct {
	worker   *Worker
	capacity workload.Resources
	count    int
}

// Place returns a worker for each task of the demand, or false if they do not all fit. With strictLocality, it observes
// the SameRack and DataRack constraints of the demand; without it, tasks may be placed in any rack.
func Place(workers []*Worker, demand Demand, capacity CapacityFunc, strictLocality bool) ([]fleet.WorkerID, bool) {
	if !Fits(workers, demand, capacity, strictLocality) {
		return nil, false
	}
	candidates := eligible(workers, demand, capacity, strictLocality)
	if !strictLocality || !demand.SameRack {
		return bestFit(candidates, demand)
	}
	var best []fleet.WorkerID
	bestScore := rackScore{}
	for members := range byRack(candidates) {
		places, ok := bestFit(members, demand)
		if !ok {
			continue
		}
		if score := demand.scoreRack(members, places); best == nil || score.compare(bestScore) < 0 {
			best, bestScore = places, score
		}
	}
	return best, best != nil
}

// Fits reports whether Place would find a worker for every task. It is much cheaper than Place if the demand does not
// fit.
func Fits(workers []*Worker, demand Demand, capacity CapacityFunc, strictLocality bool) bool {
	if strictLocality && demand.SameRack {
		byRack := map[fleet.RackID]int{}
		for _, worker := range workers {
			count, _ := demand.count(worker, capacity, strictLocality)
			byRack[worker.Rack] += count
			if byRack[worker.Rack] >= demand.Tasks {
				return true
			}
		}
		return false
	}
	total := 0
	for _, worker := range workers {
		count, _ := demand.count(worker, capacity, strictLocality)
		total += count
		if total >= demand.Tasks {
			return true
		}
	}
	return false
}

// count returns how many of the demand's tasks fit on a worker, and the worker's usable capacity.
func (demand Demand) count(worker *Worker, capacity CapacityFunc, strictLocality bool) (int, workload.Resources) {
	if demand.Label != "" && !slices.Contains(worker.Labels, demand.Label) {
		return 0, workload.Resources{}
	}
	if strictLocality && demand.DataRack != "" && worker.Rack != demand.DataRack {
		return 0, workload.Resources{}
	}
	if demand.BySpeed && demand.Speed.Excludes(worker.Factor) {
		return 0, workload.Resources{}
	}
	available := capacity(worker)
	count := available.Count(demand.Each)
	if demand.MaxPerWorker > 0 {
		count = min(count, demand.MaxPerWorker-worker.SameStepTasks)
	}
	return max(count, 0), available
}

// eligible returns the workers that at least one task of the demand fits on.
func eligible(workers []*Worker, demand Demand, capacity CapacityFunc, strictLocality bool) []candidate {
	found := make([]candidate, 0, len(workers))
	for _, worker := range workers {
		if count, available := demand.count(worker, capacity, strictLocality); count > 0 {
			found = append(found, candidate{worker: worker, capacity: available, count: count})
		}
	}
	return found
}

// byRack yields one rack's candidates after the other. It sorts the candidates by rack id first, so that equal inputs
// always give equal placements.
func byRack(candidates []candidate) iter.Seq[[]candidate] {
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.worker.Rack, b.worker.Rack) })
	return func(yield func([]candidate) bool) {
		for len(candidates) > 0 {
			size := 1
			for size < len(candidates) && candidates[size].worker.Rack == candidates[0].worker.Rack {
				size++
			}
			if !yield(candidates[:size]) {
				return
			}
			candidates = candidates[size:]
		}
	}
}

const (
	// unprovenPenalty and unreliablePenalty are added to the slack of a rack for each worker of this kind that the
	// placement in the rack uses. The slack is the number of usable accelerators of the rack, and the rack with the
	// least slack is chosen. The first penalty exceeds the number of accelerators in a rack, and the second one the
	// first for all workers of a rack, so that placements on more trusted workers are always preferred.
	unprovenPenalty   = 1 << 12
	unreliablePenalty = 1 << 24
	// speedRankPenalty is added for each step of the speed rank of the worker that is preferred least, because a gang goes at
	// the pace of its slowest member. It exceeds the number of accelerators in a rack.
	speedRankPenalty = 1 << 13
)

// rackScore compares placements in different racks.
type rackScore struct {
	trust, slack int
	interference float64
}

// scoreRack returns the score of a placement on some of a rack's candidates.
func (demand Demand) scoreRack(candidates []candidate, places []fleet.WorkerID) rackScore {
	score := rackScore{
		trust: demand.trustPenalty(candidates, places) + demand.speedPenalty(candidates, places),
		slack: usableAccelerators(candidates),
	}
	for _, candidate := range candidates {
		if candidate.worker.Interference > 0 && slices.Contains(places, candidate.worker.ID) {
			score.interference += candidate.worker.Interference
		}
	}
	return score
}

// compare returns a negative number if the placement is better than another one. Without interference, the sum of
// penalties and slack decides.
func (score rackScore) compare(other rackScore) int {
	if score.interference == other.interference {
		return cmp.Compare(score.trust+score.slack, other.trust+other.slack)
	}
	return cmp.Or(cmp.Compare(score.trust, other.trust), cmp.Compare(score.interference, other.interference))
}

// trustPenalty returns the sum of the penalties for the workers that the placement uses.
func (demand Demand) trustPenalty(candidates []candidate, places []fleet.WorkerID) int {
	penalty := 0
	for _, candidate := range candidates {
		if !slices.Contains(places, candidate.worker.ID) {
			continue
		}
		if candidate.worker.Unreliable {
			penalty += unreliablePenalty
		}
		if demand.PreferProven && !candidate.worker.Proven {
			penalty += unprovenPenalty
		}
	}
	return penalty
}

// trustRank is a sort key that places unreliable workers after all other workers, and proven workers first if the
// demand prefers them.
func (demand Demand) trustRank(worker *Worker) int {
	switch {
	case worker.Unreliable:
		return 2
	case demand.PreferProven && !worker.Proven:
		return 1
	}
	return 0
}

// speedRank is a sort key that places workers by their lasting speed; 0 for all workers if the demand does not depend on
// it.
func (demand Demand) speedRank(worker *Worker) int {
	if !demand.BySpeed {
		return 0
	}
	return demand.Speed.Rank(worker.Factor, worker.FactorKnown)
}

// speedPenalty returns the penalty for the worker of the placement that is preferred least by its speed.
func (demand Demand) speedPenalty(candidates []candidate, places []fleet.WorkerID) int {
	worst := 0
	if !demand.BySpeed {
		return worst
	}
	for _, candidate := range candidates {
		if slices.Contains(places, candidate.worker.ID) {
			worst = max(worst, demand.speedRank(candidate.worker))
		}
	}
	return worst * speedRankPenalty
}

// usableAccelerators returns the number of accelerators in the usable capacity of all candidates.
func usableAccelerators(candidates []candidate) int {
	total := 0
	for _, candidate := range candidates {
		total += int(candidate.capacity.Accelerators)
	}
	return total
}

// bestFit places the demand on candidates and returns false if the tasks do not all fit. It prefers candidates that
// need no preemption, then reliable ones, then those with the least preemption cost, then those with the least
// interference. Among equal candidates, it uses those with the least usable capacity first, so that emptier workers stay
// free for large tasks.
func bestFit(candidates []candidate, demand Demand) ([]fleet.WorkerID, bool) {
	total := 0
	for _, candidate := range candidates {
		total += candidate.count
	}
	if total < demand.Tasks {
		return nil, false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			// A worker with enough free capacity comes before a worker on which tasks would be preempted.
			cmp.Compare(preemptionRank(a, demand), preemptionRank(b, demand)),
			cmp.Compare(demand.trustRank(a.worker), demand.trustRank(b.worker)),
			cmp.Compare(demand.speedRank(a.worker), demand.speedRank(b.worker)),
			cmp.Compare(a.worker.PreemptionCost, b.worker.PreemptionCost),
			cmp.Compare(a.worker.Interference, b.worker.Interference),
			cmp.Compare(a.capacity.Accelerators, b.capacity.Accelerators),
			cmp.Compare(a.capacity.Millicores, b.capacity.Millicores),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	places := make([]fleet.WorkerID, 0, demand.Tasks)
	for _, candidate := range candidates {
		for n := 0; n < candidate.count && len(places) < demand.Tasks; n++ {
			places = append(places, candidate.worker.ID)
		}
	}
	return places, true
}

// preemptionRank is a sort key that places candidates on which tasks would have to be preempted after all other
// candidates.
func preemptionRank(candidate candidate, demand Demand) int {
	if candidate.worker.Free.Fits(demand.Each) {
		return 0
	}
	return 1
}
