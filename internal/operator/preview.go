package operator

import (
	"context"
	"fmt"
	"reflect"
	"strings"

	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Preview returns the changes and possible preemptions that an edit would cause and the problems for which Apply would
// refuse it, based on the configuration in force in this process. It does not access the store.
func (distributor *Distributor) Preview(
	_ context.Context, request *operatorv1.ApplyRequest,
) (*operatorv1.PreviewResponse, error) {
	response := &operatorv1.PreviewResponse{}
	requested, err := distributor.parseEdit(request)
	if err != nil {
		response.Problems = strings.Split(err.Error(), "\n")
		return response, nil
	}
	present := distributor.state()
	if requested.seenRevision != present.head.Revision {
		response.Problems = append(response.Problems, conflict(present.head.Revision).Error())
	}
	if err := distributor.checkResult(present, requested); err != nil {
		response.Problems = append(response.Problems, err.Error())
	}
	response.Changes = changes(present.config.Organisations[requested.organisation], requested.parsed)
	if inventory, ok := distributor.Inventory(); ok && distributor.DescribePreemptions != nil {
		response.Reclaims = distributor.DescribePreemptions(
			present.config, withEdit(present.config, requested), inventory)
	}
	return response, nil
}

// changes describes the differences between two documents of an organisation. Nil means that there is no document.
func changes(from, to *profile.Organisation) []string {
	switch {
	case from == nil && to == nil:
		return nil
	case from == nil:
		return []string{fmt.Sprintf("organisation %s is added", to.ID)}
	case to == nil:
		return []string{fmt.Sprintf("organisation %s is removed", from.ID)}
	}
	var lines []string
	compare := func(name string, before, after any) {
		if !reflect.DeepEqual(before, after) {
			lines = append(lines, fmt.Sprintf("%s: %v becomes %v", name, before, after))
		}
	}
	compare("quota", from.Quota, to.Quota)
	compare("max_waiting", from.MaxWaiting, to.MaxWaiting)
	compare("guarantees", describeGuarantees(from.Guarantees), describeGuarantees(to.Guarantees))
	if !reflect.DeepEqual(from.TokenHashes, to.TokenHashes) {
		lines = append(lines,
			fmt.Sprintf("token_sha256: %d tokens become %d", len(from.TokenHashes), len(to.TokenHashes)))
	}
	return append(lines, profileChanges(from, to)...)
}

func describeGuarantees(guarantees []profile.Guarantee) string {
	parts := make([]string, len(guarantees))
	for i, guarantee := range guarantees {
		parts[i] = fmt.Sprintf("%d of (%v)", guarantee.Count, guarantee.Shape)
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func profileChanges(from, to *profile.Organisation) []string {
	var lines []string
	kept := map[fleet.ProfileName]bool{}
	for i := range to.Profiles {
		name := to.Profiles[i].Name
		kept[name] = true
		before, existed := from.Profile(name)
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("profile %s is added", name))
		case !reflect.DeepEqual(*before, to.Profiles[i]):
			lines = append(lines, fmt.Sprintf("profile %s is changed", name))
		}
	}
	for i := range from.Profiles {
		if name := from.Profiles[i].Name; !kept[name] {
			lines = append(lines, fmt.Sprintf("profile %s is removed", name))
		}
	}
	return lines
}
