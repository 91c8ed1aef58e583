package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

func gpus(count int) workload.Resources {
	return workload.Resources{Accelerators: fleet.Accelerators(count)}
}

func testWorker(id, rack string, free int) Worker {
	return Worker{ID: fleet.WorkerID(id), Rack: fleet.RackID(rack), Free: gpus(free), Capacity: gpus(8)}
}

// pointers returns pointers to copies of workers.
func pointers(workers []Worker) []*Worker {
	list := make([]*Worker, len(workers))
	for i, worker := range workers {
		list[i] = &worker
	}
	return list
}

// TestPlace guards against placing a part of a demand, ignoring the locality of data or racks, and using an emptier
// worker or a more expensive preemption than needed.
func TestPlace(t *testing.T) {
	workers := []Worker{
		testWorker("a1", "a", 8), testWorker("a2", "a", 3), testWorker("b1", "b", 8), testWorker("b2", "b", 8),
	}
	labelled := slices.Clone(workers)
	labelled[2].Labels = []string{"fast"}
	held := slices.Clone(workers)
	held[1].SameStepTasks = 1
	busy := slices.Clone(workers)
	for i := range busy {
		busy[i].Reclaimable = busy[i].Capacity.Sub(busy[i].Free)
	}
	busy[0].Free, busy[0].Reclaimable, busy[0].PreemptionCost = gpus(0), gpus(8), time.Minute
	busy[2].Free, busy[2].Reclaimable, busy[2].PreemptionCost = gpus(0), gpus(8), time.Second
	busy[1].PreemptionCost = time.Hour
	busy[3].Free, busy[3].PreemptionCost = gpus(0), time.Hour
	shared := slices.Clone(workers)
	shared[1].Interference, shared[2].Interference = 0.3, 0.2
	apart := slices.Clone(workers)
	apart[0].Interference = 0.3
	tests := []struct {
		name           string
		workers        []Worker
		demand         Demand
		capacity       CapacityFunc
		strictLocality bool
		want           []fleet.WorkerID
	}{
		{"small task is placed on the fullest worker", workers, Demand{Each: gpus(2), Tasks: 1}, FreeCapacity, true,
			[]fleet.WorkerID{"a2"}},
		{"all tasks or none", workers, Demand{Each: gpus(8), Tasks: 4}, FreeCapacity, true, nil},
		{"one rack", workers, Demand{Each: gpus(8), Tasks: 2, SameRack: true}, FreeCapacity, true,
			[]fleet.WorkerID{"b1", "b2"}},
		{"no single rack suffices", workers, Demand{Each: gpus(8), Tasks: 3, SameRack: true}, FreeCapacity, true, nil},
		{"several racks without strict locality", workers, Demand{Each: gpus(8), Tasks: 3, SameRack: true},
			FreeCapacity, false, []fleet.WorkerID{"a1", "b1", "b2"}},
		{"in the rack of its data", workers, Demand{Each: gpus(1), Tasks: 1, DataRack: "b"}, FreeCapacity, true,
			[]fleet.WorkerID{"b1"}},
		{"label", labelled, Demand{Each: gpus(1), Tasks: 1, Label: "fast"}, FreeCapacity, true, []fleet.WorkerID{"b1"}},
		{"limit per worker", workers, Demand{Each: gpus(1), Tasks: 3, MaxPerWorker: 1}, FreeCapacity, true,
			[]fleet.WorkerID{"a2", "a1", "b1"}},
		{"tasks already on the worker count towards the limit", held, Demand{Each: gpus(1), Tasks: 1, MaxPerWorker: 1},
			FreeCapacity, true, []fleet.WorkerID{"a1"}},
		{"apart from tasks that interfere", shared, Demand{Each: gpus(2), Tasks: 1}, FreeCapacity, true,
			[]fleet.WorkerID{"a1"}},
		{"beside tasks that interfere if the others do not suffice", shared, Demand{Each: gpus(3), Tasks: 6},
			FreeCapacity, true, []fleet.WorkerID{"a1", "a1", "b2", "b2", "b1", "b1"}},
		{"in a rack without tasks that interfere", apart, Demand{Each: gpus(8), Tasks: 1, SameRack: true},
			FreeCapacity, true, []fleet.WorkerID{"b1"}},
		{"preempts at the lowest cost", busy, Demand{Each: gpus(8), Tasks: 1}, ReclaimableCapacity, true,
			[]fleet.WorkerID{"b1"}},
		{"total capacity ignores running tasks", busy, Demand{Each: gpus(8), Tasks: 4}, TotalCapacity, true,
			[]fleet.WorkerID{"b1", "a1", "a2", "b2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := Place(pointers(test.workers), test.demand, test.capacity, test.strictLocality)
			if ok != (test.want != nil) || ok && !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestPlaceRespectsConstraints guards against a placement that exceeds the free capacity or the limit per worker, or
// that ignores the required label or rack. It places random demands on random workers.
func TestPlaceRespectsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := make([]Worker, rapid.IntRange(1, 12).Draw(t, "workers"))
		for i := range workers {
			workers[i] = testWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/3),
				rapid.IntRange(0, 8).Draw(t, "free"))
			if rapid.Bool().Draw(t, "labelled") {
				workers[i].Labels = []string{"x"}
			}
		}
		demand := Demand{
			Each: gpus(rapid.IntRange(1, 8).Draw(t, "each")), Tasks: rapid.IntRange(1, 10).Draw(t, "tasks"),
			SameRack: rapid.Bool().Draw(t, "same rack"), MaxPerWorker: rapid.IntRange(0, 3).Draw(t, "most"),
			Label: rapid.SampledFrom([]string{"", "x"}).Draw(t, "label"),
		}
		places, ok := Place(pointers(workers), demand, FreeCapacity, true)
		if !ok {
			return
		}
		if len(places) != demand.Tasks {
			t.Fatalf("%d workers returned for %d tasks", len(places), demand.Tasks)
		}
		counts, racks := map[fleet.WorkerID]int{}, map[fleet.RackID]bool{}
		for _, id := range places {
			counts[id]++
		}
		for _, worker := range workers {
			if count := counts[worker.ID]; count > 0 {
				racks[worker.Rack] = true
				if worker.Free.Count(demand.Each) < count || demand.MaxPerWorker > 0 && count > demand.MaxPerWorker {
					t.Fatalf("%d tasks exceed the capacity or the limit of worker %+v", count, worker)
				}
				if demand.Label != "" && len(worker.Labels) == 0 {
					t.Fatalf("worker %+v lacks the required label", worker)
				}
			}
		}
		if demand.SameRack && len(racks) > 1 {
			t.Fatalf("placement in several racks: %v", racks)
		}
	})
}

// TestHeadroomWorkers guards against keeping the wrong workers free for urgent work: they must be the emptiest workers
// of the rack with the most free accelerators.
func TestHeadroomWorkers(t *testing.T) {
	workers := []Worker{
		testWorker("a1", "a", 8), testWorker("a2", "a", 1),
		testWorker("b1", "b", 5), testWorker("b2", "b", 8), testWorker("b3", "b", 0),
	}
	tests := []struct {
		amount fleet.Accelerators
		want   []fleet.WorkerID
	}{
		{0, nil}, {1, []fleet.WorkerID{"b2"}}, {9, []fleet.WorkerID{"b1", "b2"}},
		{100, []fleet.WorkerID{"a1", "a2", "b1", "b2"}},
	}
	for _, test := range tests {
		got := slices.Sorted(maps.Keys(HeadroomWorkers(pointers(workers), test.amount)))
		if !slices.Equal(got, test.want) {
			t.Errorf("headroom of %d: %v, want %v", test.amount, got, test.want)
		}
	}
}

// TestSubsumes guards against rejecting a demand that fits. The planner records the demands that did not fit and skips
// every demand that subsumes a recorded one, so a wrong result of Subsumes would reject it. The test also checks that
// Fits and Place agree.
func TestSubsumes(t *testing.T) {
	drawDemand := func(t *rapid.T, name string) Demand {
		return Demand{
			Each: gpus(rapid.IntRange(1, 8).Draw(t, name+" each")), Tasks: rapid.IntRange(1, 6).Draw(t, name+" tasks"),
			SameRack:     rapid.Bool().Draw(t, name+" same rack"),
			DataRack:     fleet.RackID(rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, name+" rack")),
			Label:        rapid.SampledFrom([]string{"", "x"}).Draw(t, name+" label"),
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, name+" most"),
			Restricted:   rapid.Bool().Draw(t, name+" restricted"),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		workers := make([]Worker, rapid.IntRange(1, 8).Draw(t, "workers"))
		for i := range workers {
			workers[i] = testWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/3),
				rapid.IntRange(0, 8).Draw(t, "free"))
			if rapid.Bool().Draw(t, "labelled") {
				workers[i].Labels = []string{"x"}
			}
		}
		wanted, other := drawDemand(t, "wanted"), drawDemand(t, "other")
		strictLocality := rapid.Bool().Draw(t, "near")
		fits := func(demand Demand) bool {
			if demand.Restricted {
				return Fits(pointers(workers[:1]), demand, FreeCapacity, strictLocality)
			}
			return Fits(pointers(workers), demand, FreeCapacity, strictLocality)
		}
		if wanted.Subsumes(other) && fits(wanted) && !fits(other) {
			t.Fatalf("%+v fits, but %+v, which it subsumes, does not", wanted, other)
		}
		wanted.Restricted = false
		if _, placed := Place(pointers(workers), wanted, FreeCapacity, strictLocality); placed != fits(wanted) {
			t.Fatalf("%+v fits: %t, placed: %t", wanted, fits(wanted), placed)
		}
	})
}
