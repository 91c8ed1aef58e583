package placement

import (
	"cmp"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// HeadroomWorkers returns the headroom: workers that are to be used only by urgent work, with at least amount free
// accelerators together if the workers have so many. Without headroom, each gang of a burst of urgent gangs on a full
// fleet has to wait until other tasks have been preempted. Workers in the rack with the most free accelerators are
// chosen first, and within a rack the workers with the most free accelerators, so that an urgent gang that needs one
// rack fits.
func HeadroomWorkers(workers []*Worker, amount fleet.Accelerators) map[fleet.WorkerID]bool {
	byRack := map[fleet.RackID]fleet.Accelerators{}
	for _, worker := range workers {
		byRack[worker.Rack] += max(worker.Free.Accelerators, 0)
	}
	ordered := slices.Clone(workers)
	slices.SortStableFunc(ordered, func(a, b *Worker) int {
		return cmp.Or(
			cmp.Compare(byRack[b.Rack], byRack[a.Rack]),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(b.Free.Accelerators, a.Free.Accelerators),
			cmp.Compare(a.ID, b.ID),
		)
	})
	chosen := map[fleet.WorkerID]bool{}
	for _, worker := range ordered {
		if amount <= 0 {
			break
		}
		if worker.Free.Accelerators > 0 {
			chosen[worker.ID] = true
			amount -= worker.Free.Accelerators
		}
	}
	return chosen
}
