package scheduler

import (
	"math/bits"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// view is one way to count what a worker has left. Each view has its own index.
type view int

const (
	// viewFree counts what nobody uses or claims.
	viewFree view = iota
	// viewOpen counts what is free and covered by no cell.
	viewOpen
	// viewBind counts what a further cell may cover.
	viewBind
	views
)

// absent is the key of a worker that a view does not list.
const absent = -1

// bitset is a set of slots.
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

// bucket holds the workers of a data centre that have the same number of accelerators left.
type bucket struct {
	slots bitset
	count int
}

// zone is one data centre with its workers indexed by what they have left.
type zone struct {
	id fleet.DataCentreID
	// serial numbers the zones, and the racks of a zone, in order of appearance.
	serial  int
	workers []*worker
	racks   []*rack
	rackOf  map[fleet.RackID]*rack
	vacant  []int
	buckets [views][]bucket
	totals  [views]int64
}

// rack is one rack of a zone.
type rack struct {
	id      fleet.RackID
	serial  int
	workers []*worker
	totals  [views]int64
}

// insert gives a worker its place in the zone.
func (zone *zone) insert(machine *worker) {
	home, ok := zone.rackOf[machine.Rack]
	if !ok {
		home = &rack{id: machine.Rack, serial: len(zone.racks)}
		zone.rackOf[machine.Rack] = home
		zone.racks = append(zone.racks, home)
	}
	home.workers = append(home.workers, machine)
	machine.zone, machine.rack = zone, home
	if last := len(zone.vacant) - 1; last >= 0 {
		machine.slot = zone.vacant[last]
		zone.vacant = zone.vacant[:last]
		zone.workers[machine.slot] = machine
		return
	}
	machine.slot = len(zone.workers)
	zone.workers = append(zone.workers, machine)
}

// removeWorker takes a worker, whose keys are absent, out of the zone.
func (zone *zone) removeWorker(machine *worker) {
	zone.workers[machine.slot] = nil
	zone.vacant = append(zone.vacant, machine.slot)
	home := machine.rack
	for i, other := range home.workers {
		if other == machine {
			home.workers = append(home.workers[:i], home.workers[i+1:]...)
			break
		}
	}
	machine.zone, machine.rack = nil, nil
}

// rekey moves a worker to the bucket of a key.
func (zone *zone) rekey(machine *worker, in view, key int) {
	old := machine.keys[in]
	if old == key {
		return
	}
	if old != absent {
		bucket := &zone.buckets[in][old]
		bucket.slots.remove(machine.slot)
		bucket.count--
		zone.totals[in] -= int64(old)
		machine.rack.totals[in] -= int64(old)
	}
	if key != absent {
		for len(zone.buckets[in]) <= key {
			zone.buckets[in] = append(zone.buckets[in], bucket{})
		}
		bucket := &zone.buckets[in][key]
		bucket.slots.add(machine.slot)
		bucket.count++
		zone.totals[in] += int64(key)
		machine.rack.totals[in] += int64(key)
	}
	machine.keys[in] = key
}

// refresh brings the derived amounts and the indexes of a worker up to date.
func (core *Core) refresh(machine *worker) {
	machine.derive()
	if machine.zone == nil {
		return
	}
	keys := [views]int{absent, absent, absent}
	if machine.usable() {
		keys[viewFree] = int(max(machine.free[0], 0))
		keys[viewOpen] = int(max(machine.open[0], 0))
	}
	if machine.bindableState() {
		keys[viewBind] = int(max(machine.bindable[0], 0))
	}
	if machine.keys[viewFree] == absent && keys[viewFree] != absent {
		for _, share := range machine.shares {
			core.organisations[share.tenant].roomVersion++
		}
	}
	for in, key := range keys {
		machine.zone.rekey(machine, view(in), key)
	}
}
