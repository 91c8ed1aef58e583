// Package metrics serves a go-metrics registry to collectors in the Prometheus text format.
package metrics

import (
	"net/http"
	"regexp"
	"sort"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	gometrics "github.com/rcrowley/go-metrics"
)

// namespace is the prefix of the name of every exported metric.
const namespace = "quetzalstall_"

// Name returns a registry name with labels, given as pairs of label and value: requests{kind=queue_full}.
func Name(name string, labels ...string) string {
	if len(labels) < 2 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, labels[i]+"="+labels[i+1])
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// NewHandler returns a handler that serves the current values of a registry.
func NewHandler(registry gometrics.Registry) http.Handler {
	collectors := prometheus.NewRegistry()
	collectors.MustRegister(&collector{registry: registry})
	return promhttp.HandlerFor(collectors, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// collector is a Prometheus collector that reads a go-metrics registry at each collection.
type collector struct {
	registry gometrics.Registry
}

// Describe sends no descriptions, since the metrics are not known in advance. Prometheus therefore treats the collector
// as unchecked: it does not compare the collected metrics with descriptions.
func (collector *collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current value of every metric. If several metrics in the registry would be exported with the same
// name and labels, it sends only one of these metrics.
func (collector *collector) Collect(output chan<- prometheus.Metric) {
	sent := map[string]bool{}
	collector.registry.Each(func(name string, metric any) {
		parsed := parseName(name)
		if sent[parsed.key()] {
			return
		}
		sent[parsed.key()] = true
		send(output, parsed, metric)
	})
}

func send(output chan<- prometheus.Metric, name exportedName, metric any) {
	switch metric := metric.(type) {
	case gometrics.Counter:
		output <- name.constant(prometheus.CounterValue, float64(metric.Count()))
	case gometrics.Gauge:
		output <- name.constant(prometheus.GaugeValue, float64(metric.Value()))
	case gometrics.GaugeFloat64:
		output <- name.constant(prometheus.GaugeValue, metric.Value())
	case gometrics.Meter:
		output <- name.constant(prometheus.CounterValue, float64(metric.Snapshot().Count()))
	case gometrics.Histogram:
		snapshot := metric.Snapshot()
		output <- name.summary(snapshot.Count(), float64(snapshot.Sum()), snapshot.Percentiles(quantiles))
	case gometrics.Timer:
		snapshot := metric.Snapshot()
		output <- name.summary(snapshot.Count(), float64(snapshot.Sum()), snapshot.Percentiles(quantiles))
	}
}

var quantiles = []float64{0.5, 0.95, 0.99}

var invalidCharacters = regexp.MustCompile(`[^a-zA-Z0-9_]+`)

// exportedName is the name of a metric in the form that Prometheus accepts, with its labels.
type exportedName struct {
	name           string
	labels, values []string
}

// parseName splits a registry name that Name returned into name and labels. A registry name without a brace has no
// labels.
func parseName(text string) exportedName {
	base, rest, hasLabels := strings.Cut(text, "{")
	parsed := exportedName{name: namespace + invalidCharacters.ReplaceAllString(base, "_")}
	if !hasLabels {
		return parsed
	}
	pairs := strings.Split(strings.TrimSuffix(rest, "}"), ",")
	sort.Strings(pairs)
	for _, pair := range pairs {
		label, value, _ := strings.Cut(pair, "=")
		parsed.labels = append(parsed.labels, invalidCharacters.ReplaceAllString(label, "_"))
		parsed.values = append(parsed.values, value)
	}
	return parsed
}

func (name exportedName) key() string {
	return name.name + "\x00" + strings.Join(name.labels, ",") + "\x00" + strings.Join(name.values, ",")
}

func (name exportedName) description() *prometheus.Desc {
	return prometheus.NewDesc(name.name, "See docs/OPERATIONS.md.", name.labels, nil)
}

func (name exportedName) constant(kind prometheus.ValueType, value float64) prometheus.Metric {
	return prometheus.MustNewConstMetric(name.description(), kind, value, name.values...)
}

func (name exportedName) summary(count int64, sum float64, values []float64) prometheus.Metric {
	byQuantile := make(map[float64]float64, len(quantiles))
	for i, quantile := range quantiles {
		byQuantile[quantile] = values[i]
	}
	return prometheus.MustNewConstSummary(name.description(), uint64(count), sum, byQuantile, name.values...)
}
