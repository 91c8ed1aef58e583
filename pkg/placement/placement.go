// Package placement chooses workers for tasks. It is pure: the caller brings the room of each worker.
package placement

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Worker is what a placement needs to know of one worker that may take tasks.
type Worker struct {
	ID     fleet.WorkerID
	Rack   fleet.RackID
	Labels []string
	// Free is the room without running, stopping and reserved tasks; it may be negative.
	Free workload.Resources
	// Capacity is the whole room.
	Capacity workload.Resources
	// Reclaimable is the room of running tasks that the demand may displace.
	Reclaimable workload.Resources
	// PreemptionCost is the accelerator time that is thrown away when everything in Reclaimable is displaced.
	PreemptionCost time.Duration
	// Unreliable workers are taken last.
	Unreliable bool
	// SameStepTasks is the number of tasks of the same occurrence and step on the worker.
	SameStepTasks int
}

// Demand is a set of equal tasks that are placed all or none.
type Demand struct {
	Each         workload.Resources
	Tasks        int
	SameRack     bool
	DataRack     fleet.RackID
	Label        string
	MaxPerWorker int
	// Restricted demands fit only on some workers, which the caller selects.
	Restricted bool
}

// DemandOf returns the demand of n tasks of a step.
func DemandOf(step workload.Step, n int) Demand {
	return Demand{
		Each: step.Need(), Tasks: n, SameRack: step.Gang && step.SameRack,
		DataRack: step.DataRack, Label: step.Label, MaxPerWorker: step.MaxPerWorker,
	}
}

// Subsumes reports whether every placement of the demand holds one of the other, so that the demand cannot fit where the
// other does not. Nothing is compared with demands that are restricted or bound the tasks on a worker, since these depend
// on more than room.
func (demand Demand) Subsumes(other Demand) bool {
	return demand.Tasks >= other.Tasks && demand.Each.Covers(other.Each) &&
		(demand.SameRack || !other.SameRack) &&
		(other.DataRack == "" || demand.DataRack == other.DataRack) &&
		(other.Label == "" || demand.Label == other.Label) &&
		other.MaxPerWorker == 0 && !other.Restricted
}

// CapacityFunc selects which room of a worker counts.
type CapacityFunc func(*Worker) workload.Resources

// FreeCapacity counts what is free now.
func FreeCapacity(worker *Worker) workload.Resources { return worker.Free }

// ReclaimableCapacity counts what is free now or after displacing tasks.
func ReclaimableCapacity(worker *Worker) workload.Resources {
	return worker.Free.Add(worker.Reclaimable)
}

// TotalCapacity counts the whole capacity, to tell whether a demand can ever be met.
func TotalCapacity(worker *Worker) workload.Resources { return worker.Capacity }

// candidate is a worker with the number of tasks that it can take.
type candidate struct {
	worker *Worker
	room   workload.Resources
	count  int
}

// Place returns a worker for each task of the demand, or false if they do not all fit. With near, tasks go only where
// their data is and into one rack, as far as the demand asks for that.
func Place(workers []*Worker, demand Demand, room CapacityFunc, near bool) ([]fleet.WorkerID, bool) {
	if !Fits(workers, demand, room, near) {
		return nil, false
	}
	candidates := eligible(workers, demand, room, near)
	if !near || !demand.SameRack {
		return fill(candidates, demand)
	}
	var best []fleet.WorkerID
	bestSlack := 0
	for members := range byRack(candidates) {
		places, ok := fill(members, demand)
		if !ok {
			continue
		}
		if slack := spare(members) + doubtfulSlack*doubtful(members, places); best == nil || slack < bestSlack {
			best, bestSlack = places, slack
		}
	}
	return best, best != nil
}

// Fits reports whether Place would find a place for every task. It costs far less where it does not.
func Fits(workers []*Worker, demand Demand, room CapacityFunc, near bool) bool {
	if near && demand.SameRack {
		byRack := map[fleet.RackID]int{}
		for _, worker := range workers {
			count, _ := demand.count(worker, room, near)
			byRack[worker.Rack] += count
			if byRack[worker.Rack] >= demand.Tasks {
				return true
			}
		}
		return false
	}
	total := 0
	for _, worker := range workers {
		count, _ := demand.count(worker, room, near)
		total += count
		if total >= demand.Tasks {
			return true
		}
	}
	return false
}

// count returns how many of the demand's tasks a worker can take, and its room.
func (demand Demand) count(worker *Worker, room CapacityFunc, near bool) (int, workload.Resources) {
	if demand.Label != "" && !slices.Contains(worker.Labels, demand.Label) {
		return 0, workload.Resources{}
	}
	if near && demand.DataRack != "" && worker.Rack != demand.DataRack {
		return 0, workload.Resources{}
	}
	available := room(worker)
	count := available.Count(demand.Each)
	if demand.MaxPerWorker > 0 {
		count = min(count, demand.MaxPerWorker-worker.SameStepTasks)
	}
	return max(count, 0), available
}

func eligible(workers []*Worker, demand Demand, room CapacityFunc, near bool) []candidate {
	found := make([]candidate, 0, len(workers))
	for _, worker := range workers {
		if count, available := demand.count(worker, room, near); count > 0 {
			found = append(found, candidate{worker: worker, room: available, count: count})
		}
	}
	return found
}

// byRack sorts candidates by the names of their racks, so that equal choices repeat, and yields those of each rack.
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

// doubtfulSlack makes a rack with doubtful places come after every other.
const doubtfulSlack = 1 << 16

// doubtful counts the places on doubtful workers.
func doubtful(candidates []candidate, places []fleet.WorkerID) int {
	count := 0
	for _, candidate := range candidates {
		if candidate.worker.Unreliable && slices.Contains(places, candidate.worker.ID) {
			count++
		}
	}
	return count
}

func doubt(worker *Worker) int {
	if worker.Unreliable {
		return 1
	}
	return 0
}

// spare is the number of free accelerators in a group.
func spare(candidates []candidate) int {
	total := 0
	for _, candidate := range candidates {
		total += int(candidate.room.Accelerators)
	}
	return total
}

// fill takes the fullest workers first, so that empty ones stay free for large tasks.
func fill(candidates []candidate, demand Demand) ([]fleet.WorkerID, bool) {
	total := 0
	for _, candidate := range candidates {
		total += candidate.count
	}
	if total < demand.Tasks {
		return nil, false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			// A worker with enough free room comes before one whose tasks would be displaced.
			cmp.Compare(displaced(a, demand), displaced(b, demand)),
			cmp.Compare(doubt(a.worker), doubt(b.worker)),
			cmp.Compare(a.worker.PreemptionCost, b.worker.PreemptionCost),
			cmp.Compare(a.room.Accelerators, b.room.Accelerators),
			cmp.Compare(a.room.Millicores, b.room.Millicores),
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

func displaced(candidate candidate, demand Demand) int {
	if candidate.worker.Free.Fits(demand.Each) {
		return 0
	}
	return 1
}
