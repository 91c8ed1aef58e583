package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// shortlist bounds the workers or racks that are compared once one is found that fits.
const shortlist = 8

// search looks for a gang's workers through the index of one view.
type search struct {
	core  *Core
	in    view
	shape fleet.Shape
	// slots returns how many members fit on a worker.
	slots func(*worker) int
}

// find returns holdings for all members, or nil. It prefers the place that leaves the least unused.
func (search *search) find() []holding {
	switch search.shape.Adjacency {
	case fleet.AdjacencyWorker:
		return search.oneWorker()
	case fleet.AdjacencyRack:
		return search.oneRack()
	default:
		return search.oneDataCentre()
	}
}

// oneWorker returns the fullest worker that holds all members, in the fullest rack.
func (search *search) oneWorker() []holding {
	longest := 0
	for _, zone := range search.core.zones {
		longest = max(longest, len(zone.buckets[search.in]))
	}
	for key := int(search.shape.Total()); key < longest; key++ {
		var best *worker
		for _, zone := range search.core.zones {
			search.core.steps++
			if key < len(zone.buckets[search.in]) && zone.buckets[search.in][key].count > 0 {
				best = search.fullestRack(zone, key, best)
			}
		}
		if best != nil {
			return []holding{{best, search.shape.Members}}
		}
	}
	return nil
}

// fullestRack returns a worker of a bucket that holds all members, if its rack has less left than best's.
func (search *search) fullestRack(zone *zone, key int, best *worker) *worker {
	slots := zone.buckets[search.in][key].slots
	found := 0
	for slot := slots.next(0); slot >= 0 && found < shortlist; slot = slots.next(slot + 1) {
		search.core.steps++
		machine := zone.workers[slot]
		if search.slots(machine) < search.shape.Members {
			continue
		}
		found++
		if best == nil || machine.rack.totals[search.in] < best.rack.totals[search.in] {
			best = machine
		}
	}
	return best
}

// oneRack returns holdings in the rack with the least left among those that hold all members.
func (search *search) oneRack() []holding {
	var best *rack
	total := int64(search.shape.Total())
	for _, zone := range search.core.zones {
		search.core.steps++
		if zone.totals[search.in] < total {
			continue
		}
		for _, rack := range zone.racks {
			search.core.steps++
			left := rack.totals[search.in]
			if left < total || best != nil && best.totals[search.in] <= left {
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
		if machine.keys[search.in] >= int(search.shape.Accelerators) {
			missing -= search.slots(machine)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// fill takes the fullest workers first.
func (search *search) fill(machines []*worker) []holding {
	var candidates []holding
	for _, machine := range machines {
		if machine.keys[search.in] < int(search.shape.Accelerators) {
			continue
		}
		if slots := search.slots(machine); slots > 0 {
			candidates = append(candidates, holding{machine, slots})
		}
	}
	slices.SortStableFunc(candidates, func(left, right holding) int {
		return cmp.Compare(left.worker.keys[search.in], right.worker.keys[search.in])
	})
	return takeMembers(candidates, search.shape.Members)
}

// takeMembers takes members from candidates in order; nil if they do not suffice. The last worker is the
// first one that holds all of the remaining members.
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

// oneDataCentre returns holdings in the data centre with the least left among those that hold all members.
func (search *search) oneDataCentre() []holding {
	var fitting []*zone
	for _, zone := range search.core.zones {
		if search.capacity(zone) >= search.shape.Members {
			fitting = append(fitting, zone)
		}
	}
	slices.SortStableFunc(fitting, func(left, right *zone) int {
		return cmp.Compare(left.totals[search.in], right.totals[search.in])
	})
	for _, zone := range fitting {
		if holdings := search.fillZone(zone); holdings != nil {
			return holdings
		}
	}
	return nil
}

// capacity returns how many members fit in a data centre by accelerators alone.
func (search *search) capacity(zone *zone) int {
	unit := int(search.shape.Accelerators)
	members := 0
	for key := unit; key < len(zone.buckets[search.in]); key++ {
		search.core.steps++
		members += zone.buckets[search.in][key].count * (key / unit)
	}
	return members
}

// fillZone takes the fullest workers of a data centre first.
func (search *search) fillZone(zone *zone) []holding {
	var candidates []holding
	members := 0
	for key := int(search.shape.Accelerators); key < len(zone.buckets[search.in]); key++ {
		slots := zone.buckets[search.in][key].slots
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
