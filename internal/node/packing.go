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

// shapeKey identifies a shape of gangs that are guaranteed to an organisation.
type shapeKey struct {
	organisation fleet.OrganisationID
	shape        fleet.Shape
}

// checkPacking refuses a configuration whose guarantees do not fit on the fleet together. A shortfall is a number of
// guaranteed gangs that find no place. checkPacking ignores shortfalls that exist already under the configuration in
// force: they come from lost workers and must not block edits of other organisations.
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
	var added []string
	for _, shortfall := range shortfalls {
		if shortfall.Count > existing[shapeKey{shortfall.Organisation, shortfall.Shape}] {
			added = append(added, describeShortfall(shortfall))
		}
	}
	if len(added) == 0 {
		return nil
	}
	return fault.New(
		fault.Unsatisfiable, "the guarantees do not fit on the fleet together: %s", strings.Join(added, "; "),
	)
}

func describeShortfall(shortfall scheduler.Shortfall) string {
	text := fmt.Sprintf(
		"%s has no place for %d guaranteed gangs of %s", shortfall.Organisation, shortfall.Count, shortfall.Shape,
	)
	if len(shortfall.Clashes) > 1 {
		text += fmt.Sprintf(" (conflicting guarantees of %v)", shortfall.Clashes)
	}
	return text
}

// describePreemptions compares the accelerators that the configurations from and to reserve for guaranteed gangs. It
// describes each guaranteed gang that is new under to or has other accelerators than under from. Work of other
// organisations on the accelerators of these gangs may be preempted.
func describePreemptions(from, to *profile.Config, inventory fleet.Inventory) []string {
	unchanged := map[string]int{}
	if from != nil {
		before, _ := scheduler.Pack(from, inventory.Workers)
		for _, cell := range before.Cells {
			unchanged[describeCell(cell)]++
		}
	}
	after, _ := scheduler.Pack(to, inventory.Workers)
	var preemptions []string
	for _, cell := range after.Cells {
		if len(cell.Members) == 0 {
			continue
		}
		text := describeCell(cell)
		if unchanged[text] > 0 {
			unchanged[text]--
			continue
		}
		preemptions = append(preemptions, text)
	}
	sort.Strings(preemptions)
	return preemptions
}

func describeCell(cell scheduler.Cell) string {
	members := make([]string, len(cell.Members))
	for i, member := range cell.Members {
		members[i] = fmt.Sprintf("%d on %s", member.Accelerators, member.Worker)
	}
	return fmt.Sprintf("%s may reclaim %s: %s", cell.Organisation, cell.Shape, strings.Join(members, ", "))
}
