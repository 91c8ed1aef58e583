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

// Packing is an assignment of guaranteed shapes to accelerators.
type Packing struct {
	Cells []Cell `json:"cells"`
}

// Shortfall is the number of an organisation's guarantees of one shape that cannot be bound to accelerators.
type Shortfall struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	Shape        fleet.Shape          `json:"shape"`
	Count        int                  `json:"count"`
	// Clashes lists the organisations, including Organisation, whose guarantees do not fit on the fleet together. It
	// lists Organisation alone if its own guarantees do not fit on an empty fleet.
	Clashes []fleet.OrganisationID `json:"clashes,omitempty"`
}

// Limits of a search for a packing.
const (
	// packRounds limits the number of cell orders that are tried in a row without an improvement.
	packRounds = 24
	// clashRounds replaces packRounds in the search for clashes, which packs many times.
	clashRounds = 4
	// clashSearches limits the number of organisations for each of which clashes are searched.
	clashSearches = 3
)

// Pack binds all guaranteed shapes of a configuration to the workers that are not leaving. The configuration is
// acceptable if there is no shortfall. Equal arguments give equal results.
func Pack(config *profile.Config, workers []fleet.Worker) (Packing, []Shortfall) {
	core := newPackedCore(config, workers, packRounds)
	var packing Packing
	for _, cell := range core.cells {
		packing.Cells = append(packing.Cells, cell.export())
	}
	shortfalls := core.shortfalls()
	fillClashes(config, workers, shortfalls)
	return packing, shortfalls
}

// fillClashes sets the clashes of shortfalls. It searches clashes for the first clashSearches organisations. For each
// other organisation, it sets the union of the results and the organisation itself.
func fillClashes(config *profile.Config, workers []fleet.Worker, shortfalls []Shortfall) {
	found := map[fleet.OrganisationID][]fleet.OrganisationID{}
	var all []fleet.OrganisationID
	for i := range shortfalls {
		owner := shortfalls[i].Organisation
		if _, known := found[owner]; !known && len(found) < clashSearches {
			found[owner] = clashes(config, workers, owner)
			all = append(all, found[owner]...)
		}
	}
	for i := range shortfalls {
		owner := shortfalls[i].Organisation
		shortfalls[i].Clashes = found[owner]
		if len(found[owner]) == 0 {
			union := append(slices.Clone(all), owner)
			slices.Sort(union)
			shortfalls[i].Clashes = slices.Compact(union)
		}
	}
}

// newPackedCore returns a core without jobs that has bound the cells of a configuration. The number of rounds replaces
// packRounds. Evacuations are ignored: they end, and must neither block edits of guarantees nor make jobs infeasible.
func newPackedCore(config *profile.Config, workers []fleet.Worker, rounds int) *Core {
	core := NewCore(Settings{})
	core.packRounds = rounds
	core.fleetChanged(workers)
	core.configChanged(time.Time{}, withoutEvacuations(config))
	core.bindCells(time.Time{})
	return core
}

// export returns the exported form of a cell.
func (cell *cell) export() Cell {
	exported := Cell{Organisation: cell.owner.id, Shape: cell.shape}
	for _, holding := range cell.holdings {
		for range holding.members {
			exported.Members = append(exported.Members, Member{holding.worker.ID, cell.shape.Accelerators})
		}
	}
	return exported
}

// shortfalls counts the unbound cells by organisation and shape.
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

// clashes returns a minimal set of organisations, including owner, whose guarantees do not fit on the fleet together.
// Since the search for a packing may miss one that exists, the guarantees of the set may fit after all, or the set may
// not be minimal.
func clashes(config *profile.Config, workers []fleet.Worker, owner fleet.OrganisationID) []fleet.OrganisationID {
	var others []fleet.OrganisationID
	for id, document := range config.Organisations {
		if id != owner && len(document.Guarantees) > 0 {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	packs := func(ids []fleet.OrganisationID) bool {
		part := &profile.Config{Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
		for _, id := range append(slices.Clone(ids), owner) {
			part.Organisations[id] = config.Organisations[id]
		}
		return len(newPackedCore(part, workers, clashRounds).unbound) == 0
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
	named := append(others, owner)
	slices.Sort(named)
	return named
}

// repackCells packs all cells anew in several orders. In each round, the cells that found no place in the round before
// go first. It keeps the best result, if that leaves cells with fewer accelerators unbound than before.
func (core *Core) repackCells() {
	before := core.copyCells()
	best, bestMissing := before, unboundAccelerators(before)
	order := slices.Clone(core.cells)
	slices.SortStableFunc(order, moreDemanding)
	for rounds := core.packRounds; bestMissing > 0 && rounds > 0; rounds-- {
		core.unbindAll()
		left := core.bindInOrder(order)
		if found := core.copyCells(); unboundAccelerators(found) < bestMissing {
			best, bestMissing = found, unboundAccelerators(found)
			rounds = core.packRounds
		}
		next := moveToFront(order, left)
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

// moveToFront returns the order with the cells of first moved to its front.
func moveToFront(order, first []*cell) []*cell {
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

// copyCells returns copies of all cells with their holdings.
func (core *Core) copyCells() []cell {
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

// unboundAccelerators sums the accelerators of the cells that are not bound.
func unboundAccelerators(cells []cell) fleet.Accelerators {
	missing := fleet.Accelerators(0)
	for _, cell := range cells {
		if len(cell.holdings) == 0 {
			missing += cell.shape.Total()
		}
	}
	return missing
}
