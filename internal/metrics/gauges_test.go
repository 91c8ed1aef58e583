package metrics

import (
	"slices"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
)

// TestRemoveGauges guards against gauges that stay because they have labels, and against metrics that are removed although
// only the start of their names is the same.
func TestRemoveGauges(t *testing.T) {
	registry := gometrics.NewRegistry()
	for _, name := range []string{"jobs", Name("jobs", "organisation", "a"), "jobs_ended", Name("jobs_ended", "job", "jobs")} {
		gometrics.GetOrRegisterGauge(name, registry).Update(1)
	}
	RemoveGauges(registry, "jobs", "absent")
	var left []string
	registry.Each(func(name string, _ any) { left = append(left, name) })
	slices.Sort(left)
	if want := []string{"jobs_ended", "jobs_ended{job=jobs}"}; !slices.Equal(left, want) {
		t.Errorf("%q are left, want %q", left, want)
	}
}
