package node

import (
	"fmt"
	"sort"
	"strings"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// shape identifies the guaranteed shapes of an organisation that are alike.
type shapeKey struct {
	organisation fleet.OrganisationID
	shape        fleet.Shape
}

// checkPacking refuses a configuration whose guarantees do not fit on the fleet together. A shortfall that the
// configuration in force has as well comes from lost workers and does not block the edits of others.
func (node *Node) checkPacking(config *profile.Config, inventory fleet.Inventory) error {
	_, shortfalls := scheduler.Pack(config, inventory.Workers)
	if len(shortfalls) == 0 {
		return nil
	}
	existing := map[shapeKey]int{}
	if current := node.config.Current(); current != nil {
		_, before := scheduler.Pack(current, inventory.Workers)
		for _, shortfall := range before {
			existing[shapeKey{shortfall.Organisation, shortfall.Shape}] = shortfall.Count
		}
	}
	var clashes []string
	for _, shortfall := range shortfalls {
		if shortfall.Count > existing[shapeKey{shortfall.Organisation, shortfall.Shape}] {
			clashes = append(clashes, describe(shortfall))
		}
	}
	if len(clashes) == 0 {
		return nil
	}
	return fault.New(fault.Unsatisfiable, "the guarantees do not fit on the fleet together: %s", strings.Join(clashes, "; "))
}

func describe(shortfall scheduler.Shortfall) string {
	text := fmt.Sprintf("%s lacks %d times %s", shortfall.Organisation, shortfall.Count, shortfall.Shape)
	if len(shortfall.Clashes) > 1 {
		text += fmt.Sprintf(" (clash between %v)", shortfall.Clashes)
	}
	return text
}

// packingMoves describes the guaranteed shapes of the second configuration that are new or bound elsewhere. Work of
// other organisations on the accelerators named may be reclaimed.
func packingMoves(from, to *profile.Config, inventory fleet.Inventory) []string {
	bound := map[string]int{}
	if from != nil {
		before, _ := scheduler.Pack(from, inventory.Workers)
		for _, cell := range before.Cells {
			bound[describeCell(cell)]++
		}
	}
	after, _ := scheduler.Pack(to, inventory.Workers)
	var moves []string
	for _, cell := range after.Cells {
		if len(cell.Members) == 0 {
			continue
		}
		text := describeCell(cell)
		if bound[text] > 0 {
			bound[text]--
			continue
		}
		moves = append(moves, text)
	}
	sort.Strings(moves)
	return moves
}

func describeCell(cell scheduler.Cell) string {
	members := make([]string, len(cell.Members))
	for i, member := range cell.Members {
		members[i] = fmt.Sprintf("%d on %s", member.Accelerators, member.Worker)
	}
	return fmt.Sprintf("%s may reclaim %s: %s", cell.Organisation, cell.Shape, strings.Join(members, ", "))
}
