package scheduler

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Cell is a guaranteed shape and the accelerators to which it is bound.
type Cell struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	Shape        fleet.Shape          `json:"shape"`
	// Members is empty for a cell that is not bound.
	Members []Member `json:"members"`
}

// Packing binds guaranteed shapes to accelerators.
type Packing struct {
	Cells []Cell `json:"cells"`
}

// Shortfall tells how many of an organisation's guaranteed shapes find no place.
type Shortfall struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	Shape        fleet.Shape          `json:"shape"`
	Count        int                  `json:"count"`
	// Clashes names the organisations whose guarantees do not pack together, Organisation included. It
	// names Organisation alone if its own guarantees do not pack on an empty fleet.
	Clashes []fleet.OrganisationID `json:"clashes,omitempty"`
}

// Bounds of a search for a packing.
const (
	// packRounds bounds the orders of cells that are tried, unless a round improves on the best.
	packRounds = 24
	// clashRounds bounds them in the search for clashes, which packs many times.
	clashRounds = 4
	// clashSearches bounds the organisations for which clashes are searched one by one.
	clashSearches = 3
)

// Pack binds all guaranteed shapes of a configuration to the workers that are not leaving. The
// configuration is acceptable if there is no shortfall. Equal arguments give equal results.
func Pack(config *profile.Config, workers []fleet.Worker) (Packing, []Shortfall) {
	core := packer(config, workers, packRounds)
	var packing Packing
	for _, cell := range core.cells {
		packing.Cells = append(packing.Cells, cell.export())
	}
	shortfalls := core.shortfalls()
	nameClashes(config, workers, shortfalls)
	return packing, shortfalls
}

// nameClashes fills in the clashes of shortfalls. Only the first organisations get a set of their own; the
// others get the sets of those.
func nameClashes(config *profile.Config, workers []fleet.Worker, shortfalls []Shortfall) {
	found := map[fleet.OrganisationID][]fleet.OrganisationID{}
	var all []fleet.OrganisationID
	for i := range shortfalls {
		of := shortfalls[i].Organisation
		if _, known := found[of]; !known && len(found) < clashSearches {
			found[of] = clashes(config, workers, of)
			all = append(all, found[of]...)
		}
	}
	for i := range shortfalls {
		of := shortfalls[i].Organisation
		shortfalls[i].Clashes = found[of]
		if len(found[of]) == 0 {
			union := append(slices.Clone(all), of)
			slices.Sort(union)
			shortfalls[i].Clashes = slices.Compact(union)
		}
	}
}

// packer returns a core without jobs that has bound the cells of a configuration.
func packer(config *profile.Config, workers []fleet.Worker, rounds int) *Core {
	core := NewCore(Settings{})
	core.packRounds = rounds
	core.fleetChanged(workers)
	core.configChanged(config)
	core.bindCells(time.Time{})
	return core
}

// export returns the public form of a cell.
func (cell *cell) export() Cell {
	exported := Cell{Organisation: cell.owner.id, Shape: cell.shape}
	for _, holding := range cell.holdings {
		for range holding.members {
			exported.Members = append(exported.Members, Member{holding.worker.ID, cell.shape.Accelerators})
		}
	}
	return exported
}

// shortfalls counts the cells that are not bound by organisation and shape.
func (core *Core) shortfalls() []Shortfall {
	var found []Shortfall
	for _, cell := range core.cells {
		if len(cell.holdings) > 0 {
			continue
		}
		at := slices.IndexFunc(found, func(shortfall Shortfall) bool {
			return shortfall.Organisation == cell.owner.id && shortfall.Shape == cell.shape
		})
		if at < 0 {
			found = append(found, Shortfall{Organisation: cell.owner.id, Shape: cell.shape})
			at = len(found) - 1
		}
		found[at].Count++
	}
	return found
}

// clashes returns a set of organisations, the given one among them, whose guarantees do not pack together
// while those of any smaller part of it do, as far as the search for packings can tell.
func clashes(config *profile.Config, workers []fleet.Worker, of fleet.OrganisationID) []fleet.OrganisationID {
	var others []fleet.OrganisationID
	for id, document := range config.Organisations {
		if id != of && len(document.Guarantees) > 0 {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	packs := func(ids []fleet.OrganisationID) bool {
		part := &profile.Config{Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
		for _, id := range append(slices.Clone(ids), of) {
			part.Organisations[id] = config.Organisations[id]
		}
		return len(packer(part, workers, clashRounds).unbound) == 0
	}
	for size := len(others); size > 0; size /= 2 {
		for from := 0; from < len(others); {
			to := min(from+size, len(others))
			rest := slices.Concat(others[:from], others[to:])
			if packs(rest) {
				from = to
				continue
			}
			others = rest
		}
	}
	named := append(others, of)
	slices.Sort(named)
	return named
}

// repackCells packs all cells anew if that leaves fewer accelerators without a place. A cell that finds no
// place goes first in the next attempt.
func (core *Core) repackCells() {
	before := core.placements()
	best, bestMissing := before, missingIn(before)
	order := slices.Clone(core.cells)
	slices.SortStableFunc(order, moreDemanding)
	for rounds := core.packRounds; bestMissing > 0 && rounds > 0; rounds-- {
		core.unbindAll()
		left := core.bindInOrder(order)
		if found := core.placements(); missingIn(found) < bestMissing {
			best, bestMissing = found, missingIn(found)
			rounds = core.packRounds
		}
		next := promote(order, left)
		if slices.Equal(next, order) {
			break
		}
		order = next
	}
	core.unbindAll()
	core.unbound = nil
	for i, cell := range core.cells {
		if best[i].holdings == nil {
			core.unbound = append(core.unbound, cell)
			continue
		}
		core.bind(cell, best[i].holdings)
	}
}

// promote moves cells to the front of an order.
func promote(order, first []*cell) []*cell {
	chosen := map[*cell]bool{}
	for _, cell := range first {
		chosen[cell] = true
	}
	next := slices.Clone(first)
	for _, cell := range order {
		if !chosen[cell] {
			next = append(next, cell)
		}
	}
	return next
}

// placements copies where the cells are.
func (core *Core) placements() []cell {
	copies := make([]cell, len(core.cells))
	for i, cell := range core.cells {
		copies[i] = *cell
	}
	return copies
}

func (core *Core) unbindAll() {
	for _, cell := range core.cells {
		core.unbind(cell)
	}
}

// missingIn sums the accelerators of the cells that are not bound.
func missingIn(cells []cell) fleet.Accelerators {
	missing := fleet.Accelerators(0)
	for _, cell := range cells {
		if len(cell.holdings) == 0 {
			missing += cell.shape.Total()
		}
	}
	return missing
}
