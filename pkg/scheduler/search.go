package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// shortlist limits how many workers of one bucket fullestRack compares. Workers that do not hold all members do not
// count.
const shortlist = 8

// search finds workers for a gang through the index of one view, which counts the accelerators left on each worker in
// one way.
type search struct {
	core  *Core
	view  view
	shape fleet.Shape
	// slots returns how many members fit on a worker.
	slots func(*worker) int
}

// find returns holdings for all members, or nil if there is no place. It prefers the worker, rack or data centre with
// the fewest accelerators left.
func (search *search) find() []holding {
	switch search.shape.Adjacency {
	case fleet.AdjacencyWorker:
		return search.findOnWorker()
	case fleet.AdjacencyRack:
		return search.findInRack()
	default:
		return search.findInDataCentre()
	}
}

// findOnWorker returns a holding on the worker with the fewest accelerators left among those that hold all members.
// Among equal workers it prefers one in the rack with the fewest accelerators left.
func (search *search) findOnWorker() []holding {
	longest := 0
	for _, zone := range search.core.zones {
		longest = max(longest, len(zone.buckets[search.view]))
	}
	for key := int(search.shape.Total()); key < longest; key++ {
		var best *worker
		for _, zone := range search.core.zones {
			search.core.steps++
			if key < len(zone.buckets[search.view]) && zone.buckets[search.view][key].count > 0 {
				best = search.fullestRack(zone, key, best)
			}
		}
		if best != nil {
			return []holding{{best, search.shape.Members}}
		}
	}
	return nil
}

// fullestRack compares best with the workers of a bucket that hold all members. It returns the worker whose rack has
// the fewest accelerators left.
func (search *search) fullestRack(zone *zone, key int, best *worker) *worker {
	slots := zone.buckets[search.view][key].slots
	found := 0
	for slot := slots.next(0); slot >= 0 && found < shortlist; slot = slots.next(slot + 1) {
		search.core.steps++
		machine := zone.workers[slot]
		if search.slots(machine) < search.shape.Members {
			continue
		}
		found++
		if best == nil || machine.rack.totals[search.view] < best.rack.totals[search.view] {
			best = machine
		}
	}
	return best
}

// findInRack returns holdings in the rack with the fewest accelerators left among the racks that hold all members.
func (search *search) findInRack() []holding {
	var best *rack
	total := int64(search.shape.Total())
	for _, zone := range search.core.zones {
		search.core.steps++
		if zone.totals[search.view] < total {
			continue
		}
		for _, rack := range zone.racks {
			search.core.steps++
			left := rack.totals[search.view]
			if left < total || best != nil && best.totals[search.view] <= left {
				continue
			}
			if search.fits(rack) {
				best = rack
			}
		}
	}
	if best == nil {
		return nil
	}
	return search.fill(best.workers)
}

// fits reports whether a rack holds all members.
func (search *search) fits(rack *rack) bool {
	missing := search.shape.Members
	for _, machine := range rack.workers {
		search.core.steps++
		if machine.keys[search.view] >= int(search.shape.Accelerators) {
			missing -= search.slots(machine)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// fill places all members on the given workers, those with the fewest accelerators left first; nil if they do not fit.
func (search *search) fill(machines []*worker) []holding {
	var candidates []holding
	for _, machine := range machines {
		if machine.keys[search.view] < int(search.shape.Accelerators) {
			continue
		}
		if slots := search.slots(machine); slots > 0 {
			candidates = append(candidates, holding{machine, slots})
		}
	}
	slices.SortStableFunc(candidates, func(left, right holding) int {
		return cmp.Compare(left.worker.keys[search.view], right.worker.keys[search.view])
	})
	return takeMembers(candidates, search.shape.Members)
}

// takeMembers places members on candidates in the given order, each filled before the next one. It returns nil if the
// candidates do not suffice. When the next candidate holds all remaining members, or a later one holds exactly as many,
// all of them go to that candidate.
func takeMembers(candidates []holding, members int) []holding {
	var chosen []holding
	for i, candidate := range candidates {
		if candidate.members >= members {
			return append(chosen, holding{candidate.worker, members})
		}
		if rest := candidates[i+1:]; len(rest) > 0 {
			if at := slices.IndexFunc(rest, func(other holding) bool { return other.members == members }); at >= 0 {
				return append(chosen, holding{rest[at].worker, members})
			}
		}
		chosen = append(chosen, candidate)
		members -= candidate.members
	}
	return nil
}

// findInDataCentre returns holdings in the data centre with the fewest accelerators left among the data centres that
// hold all members.
func (search *search) findInDataCentre() []holding {
	var fitting []*zone
	for _, zone := range search.core.zones {
		if search.capacity(zone) >= search.shape.Members {
			fitting = append(fitting, zone)
		}
	}
	slices.SortStableFunc(fitting, func(left, right *zone) int {
		return cmp.Compare(left.totals[search.view], right.totals[search.view])
	})
	for _, zone := range fitting {
		if holdings := search.fillZone(zone); holdings != nil {
			return holdings
		}
	}
	return nil
}

// capacity returns how many members fit in a data centre if only accelerators are counted, not cores and memory.
func (search *search) capacity(zone *zone) int {
	perMember := int(search.shape.Accelerators)
	members := 0
	for key := perMember; key < len(zone.buckets[search.view]); key++ {
		search.core.steps++
		members += zone.buckets[search.view][key].count * (key / perMember)
	}
	return members
}

// fillZone places all members in a data centre, on the workers with the fewest accelerators left first; nil if they do
// not fit.
func (search *search) fillZone(zone *zone) []holding {
	var candidates []holding
	members := 0
	for key := int(search.shape.Accelerators); key < len(zone.buckets[search.view]); key++ {
		slots := zone.buckets[search.view][key].slots
		for slot := slots.next(0); slot >= 0; slot = slots.next(slot + 1) {
			search.core.steps++
			machine := zone.workers[slot]
			if fit := search.slots(machine); fit > 0 {
				candidates = append(candidates, holding{machine, fit})
				members += fit
			}
			if members >= search.shape.Members {
				return takeMembers(candidates, search.shape.Members)
			}
		}
	}
	return nil
}
