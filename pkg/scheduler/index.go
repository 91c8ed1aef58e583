package scheduler

import (
	"math/bits"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// view is a way to count the accelerators that a worker has left. The workers are indexed separately for each view.
type view int

const (
	// viewFree counts the accelerators that are neither used nor claimed.
	viewFree view = iota
	// viewOpen counts the free accelerators that no cell covers, except on reserved workers.
	viewOpen
	// viewBind counts the accelerators that a further cell may cover.
	viewBind
	// viewMovable counts the free accelerators of the workers that hold gangs, none of which is settled.
	viewMovable
	// viewSettledFree counts the free accelerators of the workers that hold settled gangs.
	viewSettledFree
	views
)

// absent is the key of a worker that is not in the index of a view. The key of any other worker is the number of
// accelerators that it has left by the view.
const absent = -1

// absentKeys returns the keys of a worker that is in the index of no view.
func absentKeys() [views]int {
	var keys [views]int
	for index := range keys {
		keys[index] = absent
	}
	return keys
}

// bitset is a set of slots, the indexes of workers in zone.workers.
type bitset []uint64

func (set *bitset) add(slot int) {
	for len(*set) <= slot/64 {
		*set = append(*set, 0)
	}
	(*set)[slot/64] |= 1 << (slot % 64)
}

func (set bitset) remove(slot int) { set[slot/64] &^= 1 << (slot % 64) }

// next returns the first slot at or after from; -1 if there is none.
func (set bitset) next(from int) int {
	for word := from / 64; word < len(set); word++ {
		rest := set[word]
		if word == from/64 {
			rest &= ^uint64(0) << (from % 64)
		}
		if rest != 0 {
			return word*64 + bits.TrailingZeros64(rest)
		}
	}
	return -1
}

// bucket holds the workers of a data centre that have the same number of accelerators left by one view.
type bucket struct {
	slots bitset
	count int
}

// zone is a data centre, with its workers indexed by the accelerators that they have left by each view.
type zone struct {
	id fleet.DataCentreID
	// serial is the index of the zone in Core.zones; the serial of a rack is its index in racks.
	serial    int
	workers   []*worker
	racks     []*rack
	racksByID map[fleet.RackID]*rack
	vacant    []int
	buckets   [views][]bucket
	totals    [views]int64
}

// rack holds the workers of one rack of a zone, and their totals by view.
type rack struct {
	id      fleet.RackID
	serial  int
	workers []*worker
	totals  [views]int64
}

// insert adds a worker to the zone and to its rack.
func (zone *zone) insert(machine *worker) {
	workerRack, ok := zone.racksByID[machine.Rack]
	if !ok {
		workerRack = &rack{id: machine.Rack, serial: len(zone.racks)}
		zone.racksByID[machine.Rack] = workerRack
		zone.racks = append(zone.racks, workerRack)
	}
	workerRack.workers = append(workerRack.workers, machine)
	machine.zone, machine.rack = zone, workerRack
	if last := len(zone.vacant) - 1; last >= 0 {
		machine.slot = zone.vacant[last]
		zone.vacant = zone.vacant[:last]
		zone.workers[machine.slot] = machine
		return
	}
	machine.slot = len(zone.workers)
	zone.workers = append(zone.workers, machine)
}

// removeWorker removes a worker from the zone and from its rack. The worker must be absent from the indexes of all
// views.
func (zone *zone) removeWorker(machine *worker) {
	zone.workers[machine.slot] = nil
	zone.vacant = append(zone.vacant, machine.slot)
	workerRack := machine.rack
	for i, other := range workerRack.workers {
		if other == machine {
			workerRack.workers = append(workerRack.workers[:i], workerRack.workers[i+1:]...)
			break
		}
	}
	machine.zone, machine.rack = nil, nil
}

// rekey moves a worker to the bucket of a key in the index of a view, or out of the index if the key is absent.
func (zone *zone) rekey(machine *worker, index view, key int) {
	old := machine.keys[index]
	if old == key {
		return
	}
	if old != absent {
		bucket := &zone.buckets[index][old]
		bucket.slots.remove(machine.slot)
		bucket.count--
		zone.totals[index] -= int64(old)
		machine.rack.totals[index] -= int64(old)
	}
	if key != absent {
		for len(zone.buckets[index]) <= key {
			zone.buckets[index] = append(zone.buckets[index], bucket{})
		}
		bucket := &zone.buckets[index][key]
		bucket.slots.add(machine.slot)
		bucket.count++
		zone.totals[index] += int64(key)
		machine.rack.totals[index] += int64(key)
	}
	machine.keys[index] = key
}

// refresh recomputes the derived amounts of a worker and updates the indexes.
func (core *Core) refresh(machine *worker) {
	machine.derive()
	if machine.zone == nil {
		return
	}
	keys := absentKeys()
	if machine.usable() {
		keys[viewFree] = int(max(machine.free[0], 0))
		keys[viewOpen] = int(max(machine.open[0], 0))
		switch {
		case machine.settledGangs > 0:
			keys[viewSettledFree] = keys[viewFree]
		case len(machine.gangs) > 0:
			keys[viewMovable] = keys[viewFree]
		}
	}
	if machine.mayHoldCells() {
		keys[viewBind] = int(max(machine.bindable[0], 0))
	}
	if machine.keys[viewFree] == absent && keys[viewFree] != absent {
		for _, share := range machine.shares {
			core.organisations[share.organisationIndex].cellCapacityVersion++
		}
	}
	for index, key := range keys {
		machine.zone.rekey(machine, view(index), key)
	}
}
