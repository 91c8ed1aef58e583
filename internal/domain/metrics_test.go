package domain

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// TestCallerUsageSize guards against counting the slowdown of a caller with a large usage among those of small callers.
func TestCallerUsageSize(t *testing.T) {
	usage := newCallerUsage()
	steps := []struct {
		organisation fleet.OrganisationID
		caller       fleet.CallerID
		used         time.Duration
		want         string
	}{
		{"a", "x", time.Hour, "large"},
		{"a", "y", time.Minute, "small"},
		{"b", "y", time.Minute, "large"},
		{"a", "y", 2 * time.Hour, "large"},
		{"a", "x", time.Minute, "small"},
	}
	for i, step := range steps {
		if got := usage.add(fleet.CallerKey{Organisation: step.organisation, Caller: step.caller},
			step.used); got != step.want {
			t.Errorf("step %d: %s of %s is %s, want %s", i, step.caller, step.organisation, got, step.want)
		}
	}
}
