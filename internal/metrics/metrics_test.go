package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
)

// TestHandlerExportsEveryKind guards against a kind of metric that is not exported in a form that Prometheus can parse,
// and against lost labels.
func TestHandlerExportsEveryKind(t *testing.T) {
	registry := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter(Name("refusals", "kind", "queue_full", "organisation", "schools"), registry).Inc(3)
	gometrics.GetOrRegisterGauge("queue.length", registry).Update(7)
	gometrics.GetOrRegisterHistogram("completion", registry, gometrics.NewUniformSample(10)).Update(5)
	recorder := httptest.NewRecorder()
	NewHandler(registry).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`quetzalstall_refusals{kind="queue_full",organisation="schools"} 3`,
		`quetzalstall_queue_length 7`,
		`quetzalstall_completion{quantile="0.95"} 5`,
		`quetzalstall_completion_count 1`,
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, recorder.Body)
		}
	}
}
