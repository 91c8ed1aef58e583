package placement

import (
	"cmp"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// HeadroomWorkers chooses workers that only urgent work may fill, until their free accelerators reach an amount. It answers
// floods of urgent gangs on a full fleet: without it each of them waits until others have stopped. It prefers the rack
// with the most free accelerators and there the emptiest workers, so that a gang in one rack fits.
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
