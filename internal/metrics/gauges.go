package metrics

import (
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// RemoveGauges removes the gauges with the given names, whatever their labels, so that a process does not go on exporting the
// last values of a term that has ended.
func RemoveGauges(registry gometrics.Registry, names ...string) {
	var found []string
	registry.Each(func(name string, _ any) {
		if base, _, _ := strings.Cut(name, "{"); slices.Contains(names, base) {
			found = append(found, name)
		}
	})
	for _, name := range found {
		registry.Unregister(name)
	}
}
