package scheduler

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// packableConfig returns guarantees that are known to fit on the fleet together. It binds random shapes to an empty
// fleet until the given share of its accelerators is covered. Each member has at least the given number of
// accelerators.
func packableConfig(random *rand.Rand, workers []fleet.Worker, share float64, least int) *profile.Config {
	core := NewCore(Settings{})
	core.fleetChanged(workers)
	guarantees := map[fleet.OrganisationID][]profile.Guarantee{}
	used, total := 0.0, 0.0
	for _, worker := range workers {
		total += float64(worker.Accelerators)
	}
	for range 400 {
		if used >= share*total {
			break
		}
		gangShape := shape(
			1+random.IntN(4), fleet.Accelerators(least+random.IntN(9-least)), fleet.Adjacency(random.IntN(3)))
		owner := core.organisation(fleet.OrganisationID(fmt.Sprintf("organisation-%d", random.IntN(4))))
		perMember := resourcesOf(gangShape)
		var candidates []candidate
		for _, zone := range core.zones {
			for _, at := range random.Perm(len(zone.workers)) {
				machine := zone.workers[at]
				if slots := machine.bindableFor(owner.index).quotient(perMember); slots > 0 {
					candidates = append(candidates, candidate{worker: machine, members: slots, cost: random.Float64()})
				}
			}
		}
		if holdings := core.assemble(gangShape, candidates); holdings != nil {
			core.bind(&cell{owner: owner, shape: gangShape}, holdings)
			guarantees[owner.id] = append(guarantees[owner.id], profile.Guarantee{Count: 1, Shape: gangShape})
			used += float64(gangShape.Total())
		}
	}
	return configure(guarantees)
}

// TestPackFindsKnownPackings guards against refusing guarantees that pack, and against packings that violate adjacency
// or capacity. The search tries a bounded number of cell orders, so it can miss a packing that exists.
func TestPackFindsKnownPackings(t *testing.T) {
	for _, test := range []struct {
		share  float64
		least  int
		needed int
	}{{0.8, 1, 50}, {0.9, 1, 50}, {1, 1, 50}, {0.8, 2, 50}, {0.9, 2, 50}, {1, 2, 50}, {1, 3, 50}} {
		packed := 0
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 3))
			workers := machines(24+random.IntN(27), 6+random.IntN(3), 1+random.IntN(4))
			config := packableConfig(random, workers, test.share, test.least)
			packing, shortfalls := Pack(config, workers)
			checkPacking(t, packing, workers)
			if len(shortfalls) == 0 {
				packed++
			}
		}
		t.Logf("%d of 50 packings found up to %.0f%% use by members of at least %d", packed, 100*test.share, test.least)
		if packed < test.needed {
			t.Errorf("want %d packings", test.needed)
		}
	}
}

// checkPacking verifies capacity, adjacency and size of every bound cell.
func checkPacking(t *testing.T, packing Packing, workers []fleet.Worker) {
	t.Helper()
	left := map[fleet.WorkerID]fleet.Accelerators{}
	byID := map[fleet.WorkerID]fleet.Worker{}
	for _, worker := range workers {
		left[worker.ID] = worker.Accelerators
		byID[worker.ID] = worker
	}
	for _, cell := range packing.Cells {
		if len(cell.Members) == 0 {
			continue
		}
		if len(cell.Members) != cell.Shape.Members {
			t.Errorf("a cell of %s has %d members", cell.Shape, len(cell.Members))
		}
		first := byID[cell.Members[0].Worker]
		for _, member := range cell.Members {
			left[member.Worker] -= member.Accelerators
			worker := byID[member.Worker]
			near := worker.DataCentre == first.DataCentre
			switch cell.Shape.Adjacency {
			case fleet.AdjacencyWorker:
				near = worker.ID == first.ID
			case fleet.AdjacencyRack:
				near = near && worker.Rack == first.Rack
			}
			if !near || left[member.Worker] < 0 {
				t.Errorf("a cell of %s is not adjacent or overlaps on worker %s", cell.Shape, member.Worker)
			}
		}
	}
}

// TestPackNamesClashes guards against a refusal that names the wrong organisations, and against a result that depends
// on the order in which organisations are visited.
func TestPackNamesClashes(t *testing.T) {
	rack, worker := fleet.AdjacencyRack, fleet.AdjacencyWorker
	tests := []struct {
		name       string
		guarantees map[fleet.OrganisationID][]profile.Guarantee
		clashes    []fleet.OrganisationID
	}{
		{"all pack", map[fleet.OrganisationID][]profile.Guarantee{
			"horn": {{Count: 2, Shape: shape(4, 8, rack)}}, "reed": {{Count: 8, Shape: shape(1, 4, worker)}},
		}, nil},
		{"one is too large by itself", map[fleet.OrganisationID][]profile.Guarantee{
			"horn": {{Count: 1, Shape: shape(5, 8, rack)}}, "reed": {{Count: 1, Shape: shape(1, 4, worker)}},
		}, []fleet.OrganisationID{"horn"}},
		{"two clash, a third does not", map[fleet.OrganisationID][]profile.Guarantee{
			"horn": {{Count: 3, Shape: shape(4, 8, rack)}}, "reed": {{Count: 2, Shape: shape(1, 8, worker)}},
			"valve": {{Count: 1, Shape: shape(1, 1, worker)}},
		}, []fleet.OrganisationID{"horn", "reed"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			workers := machines(13, 4, 1)
			_, shortfalls := Pack(configure(test.guarantees), workers)
			var named []fleet.OrganisationID
			if len(shortfalls) > 0 {
				named = shortfalls[0].Clashes
			}
			if !reflect.DeepEqual(named, test.clashes) {
				t.Errorf("clashes are %v, want %v", named, test.clashes)
			}
			_, again := Pack(configure(test.guarantees), workers)
			if !reflect.DeepEqual(shortfalls, again) {
				t.Errorf("a second run gives %v after %v", again, shortfalls)
			}
		})
	}
}
