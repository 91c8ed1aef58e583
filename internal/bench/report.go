package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Result holds the measures and violations of one run of a candidate.
type Result struct {
	Deployment string   `json:"deployment"`
	Workload   string   `json:"workload"`
	Seed       uint64   `json:"seed"`
	Candidate  string   `json:"candidate"`
	Measures   Measures `json:"measures"`
	// ViolationsByRule counts all violations by rule. Violations holds the first maxViolations of them.
	ViolationsByRule map[string]int `json:"broken"`
	Violations       []Violation    `json:"violations,omitempty"`
	// Outcomes and Samples are for plots and tests. They are not part of the JSON report.
	Outcomes []Outcome `json:"-"`
	Samples  []Sample  `json:"-"`
}

// Report holds the results of all runs, ordered by deployment, workload, seed and candidate.
type Report struct {
	Results []Result `json:"results"`
}

func (simulation *simulation) result(candidate string) Result {
	return Result{
		Deployment:       simulation.workload.Deployment.Name,
		Workload:         simulation.workload.Name,
		Seed:             simulation.workload.Seed,
		Candidate:        candidate,
		Measures:         simulation.collector.measures(),
		ViolationsByRule: simulation.record.violationsByRule,
		Violations:       simulation.record.violations,
		Outcomes:         simulation.collector.outcomes,
		Samples:          simulation.collector.samples,
	}
}

// ViolationCount returns the number of violations of all rules.
func (result Result) ViolationCount() int {
	sum := 0
	for _, count := range result.ViolationsByRule {
		sum += count
	}
	return sum
}

// Write writes report.json, report.md and the plots into a directory, which it creates if necessary.
func (report Report) Write(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create the report directory")
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "marshal the report")
	}
	files := map[string][]byte{"report.json": text, "report.md": []byte(report.Markdown())}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), content, 0o644); err != nil {
			return errors.Wrap(err, "write the report")
		}
	}
	return report.plot(directory)
}

// Markdown returns a page with one table for each deployment and workload.
func (report Report) Markdown() string {
	var text strings.Builder
	text.WriteString("# Policy benchmark\n")
	title := ""
	for _, result := range report.Results {
		if next := result.Deployment + ", " + result.Workload; next != title {
			title = next
			fmt.Fprintf(&text, "\n## %s\n\n%s", title, tableHead)
		}
		text.WriteString(result.row())
	}
	return text.String()
}

const tableHead = "| seed | scheduler | completed | mean completion | p95 | / bound | slowdown | fragmentation | by member | blocked | " +
	"small / large | Jain | lost | urgent max | violations |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"

func (result Result) row() string {
	measures := result.Measures
	return fmt.Sprintf(
		"| %d | %s | %d | %s | %s | %.2f | %.2f | %.1f%% | %.1f%% | %.1f%% | %.2f / %.2f | %.3f | %.2f%% | %s | %d |\n",
		result.Seed, result.Candidate, measures.Completed, seconds(measures.MeanCompletion),
		seconds(measures.P95Completion),
		ratio(measures.MeanCompletion, measures.LowerBound), measures.MeanSlowdown, 100*measures.Fragmentation,
		100*measures.MemberFragmentation, 100*measures.BlockedFragmentation, measures.SmallSlowdown,
		measures.LargeSlowdown,
		measures.JainIndex, 100*measures.LostShare, seconds(measures.MaxUrgentStart), result.ViolationCount())
}

func seconds(duration profile.Duration) string {
	return fmt.Sprintf("%.1f s", time.Duration(duration).Seconds())
}

// ratio returns the value divided by the reference, or 0 if the reference is 0.
func ratio(value, reference profile.Duration) float64 {
	if reference == 0 {
		return 0
	}
	return float64(value) / float64(reference)
}
