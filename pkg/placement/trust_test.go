package placement

import (
	"slices"
	"testing"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestTrust guards against a task that has failed before and is placed on a worker without proof although a proven one
// is free, and against an unreliable worker that is chosen before all others.
func TestTrust(t *testing.T) {
	room := workload.Resources{Millicores: 8000, MemoryMiB: 8000, Accelerators: 8}
	worker := func(id fleet.WorkerID, rack fleet.RackID, proven, unreliable bool) *Worker {
		return &Worker{ID: id, Rack: rack, Free: room, Capacity: room, Proven: proven, Unreliable: unreliable}
	}
	tests := []struct {
		name    string
		workers []*Worker
		demand  Demand
		want    []fleet.WorkerID
	}{
		{
			"proven workers are not preferred for a first attempt",
			[]*Worker{worker("a", "1", false, false), worker("b", "1", true, false)},
			Demand{Tasks: 1}, []fleet.WorkerID{"a"},
		},
		{
			"proven workers are preferred after a failure",
			[]*Worker{worker("a", "1", false, false), worker("b", "1", true, false)},
			Demand{Tasks: 1, PreferProven: true}, []fleet.WorkerID{"b"},
		},
		{
			"others are used if the proven ones do not suffice",
			[]*Worker{worker("a", "1", false, false), worker("b", "1", true, false)},
			Demand{Tasks: 2, PreferProven: true}, []fleet.WorkerID{"b", "a"},
		},
		{
			"unreliable workers are last",
			[]*Worker{worker("a", "1", false, true), worker("b", "1", false, false)},
			Demand{Tasks: 2, PreferProven: true}, []fleet.WorkerID{"b", "a"},
		},
		{
			"a rack of proven workers is preferred for a gang",
			[]*Worker{
				worker("a", "1", false, false), worker("b", "1", true, false),
				worker("c", "2", true, false), worker("d", "2", true, false),
			},
			Demand{Tasks: 2, SameRack: true, PreferProven: true}, []fleet.WorkerID{"c", "d"},
		},
		{
			"a rack without unreliable workers is preferred to one with proven workers",
			[]*Worker{
				worker("a", "1", true, false), worker("b", "1", false, true),
				worker("c", "2", false, false), worker("d", "2", false, false),
			},
			Demand{Tasks: 2, SameRack: true, PreferProven: true}, []fleet.WorkerID{"c", "d"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.demand.Each = room
			places, ok := Place(test.workers, test.demand, FreeCapacity, true)
			if !ok || !slices.Equal(places, test.want) {
				t.Errorf("places %v, %t; want %v", places, ok, test.want)
			}
		})
	}
}
