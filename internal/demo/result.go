package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Result holds the counts of a demo run. All counts of runs of jobs and requests come from the records of the
// stand-ins.
type Result struct {
	Deployment string  `json:"deployment"`
	Seed       int64   `json:"seed"`
	DurationS  float64 `json:"duration_s"`

	JobsSubmitted int `json:"jobs_submitted"`
	JobsCompleted int `json:"jobs_completed"`
	JobsFailed    int `json:"jobs_failed"`
	JobsCancelled int `json:"jobs_cancelled"`
	JobsNotRun    int `json:"jobs_not_run"`
	JobsUnknown   int `json:"jobs_unknown"`

	RequestsSubmitted int `json:"requests_submitted"`
	RequestsCompleted int `json:"requests_completed"`
	RequestsFailed    int `json:"requests_failed"`
	RequestsNotRun    int `json:"requests_not_run"`
	RequestsUnknown   int `json:"requests_unknown"`

	ConfigEdits     int `json:"config_edits"`
	GuaranteeProbes int `json:"guarantee_probes"`
	SlotsExceeded   int `json:"slots_exceeded"`
	// JobsRestarted counts the jobs of which a lease expired although their worker did not crash.
	JobsRestarted int `json:"jobs_restarted"`

	// The following counts are 0 if there was no violation.
	PartialGangs  int `json:"partial_gangs"`
	DoubleRuns    int `json:"double_runs"`
	UntrueAnswers int `json:"untrue_answers"`
	LostAnswers   int `json:"lost_answers"`
	// ConfigReverts counts the cases in which the configuration revision of a process decreased or came into force too
	// late. ConfigLate counts only the late ones.
	ConfigReverts   int `json:"config_reverts"`
	ConfigLate      int `json:"config_late"`
	GuaranteesUnmet int `json:"guarantees_unmet"`

	// RequestsCut counts the requests of the rolling scenario that were sent but whose outcome is unknown. It excludes
	// outcomes of the kind history_lost, where no request was cut off: the home of the request id, the process that
	// deduplicates requests with this id, refused to run a request that is not idempotent because an earlier copy may
	// have run.
	RequestsCut int `json:"requests_cut"`

	// StoreReads, StoreWrites and StoreWatches count the calls to the platform's store; ListReads counts those to its
	// VM list.
	StoreReads   int `json:"store_reads"`
	StoreWrites  int `json:"store_writes"`
	StoreWatches int `json:"store_watches"`
	ListReads    int `json:"list_reads"`

	// RefusedKinds counts the refusals that callers received, by error kind.
	RefusedKinds map[string]int `json:"refused_kinds"`
	// UnknownKinds counts the requests whose outcome is unknown, by error kind or, if the call had no response, by how
	// the caller obtained the outcome.
	UnknownKinds map[string]int `json:"unknown_kinds"`
	// Details describes each violation.
	Details []string `json:"details"`
}

// Violations returns the number of violations.
func (result *Result) Violations() int {
	return result.PartialGangs + result.DoubleRuns + result.UntrueAnswers + result.LostAnswers +
		result.ConfigReverts + result.GuaranteesUnmet + result.SlotsExceeded + result.RequestsCut
}

// UntimedViolations returns the number of violations of rules other than those with a limit in wall-clock time, which a
// busy machine can exceed.
func (result *Result) UntimedViolations() int {
	return result.Violations() - result.GuaranteesUnmet - result.ConfigLate
}

// addViolations adds the number of violations to count and their descriptions to Details.
func (result *Result) addViolations(count *int, label string, details []string) {
	*count += len(details)
	for _, detail := range details {
		result.Details = append(result.Details, label+": "+detail)
	}
}

// WriteJSON writes the result as one JSON object.
func (result *Result) WriteJSON(out io.Writer) error {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	_, err = fmt.Fprintln(out, string(text))
	return err
}

// WriteTable writes the result as a human-readable table.
func (result *Result) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("deployment", result.Deployment)
	row("seed", result.Seed)
	row("duration", fmt.Sprintf("%.0f s", result.DurationS))
	row("jobs", fmt.Sprintf("%d submitted, %d completed, %d failed, %d cancelled, %d not run, %d unknown",
		result.JobsSubmitted, result.JobsCompleted, result.JobsFailed, result.JobsCancelled,
		result.JobsNotRun, result.JobsUnknown))
	row("requests", fmt.Sprintf("%d submitted, %d completed, %d failed, %d not run, %d unknown",
		result.RequestsSubmitted, result.RequestsCompleted, result.RequestsFailed,
		result.RequestsNotRun, result.RequestsUnknown))
	row("configuration edits", result.ConfigEdits)
	row("guarantee probes", result.GuaranteeProbes)
	row("store", fmt.Sprintf("%d reads, %d writes, %d watches",
		result.StoreReads, result.StoreWrites, result.StoreWatches))
	rowKinds(row, "refused", result.RefusedKinds)
	rowKinds(row, "unknown", result.UnknownKinds)
	row("partial gangs", result.PartialGangs)
	row("double runs", result.DoubleRuns)
	row("untrue answers", result.UntrueAnswers)
	row("lost answers", result.LostAnswers)
	row("configuration reverts", result.ConfigReverts)
	row("guarantees unmet", result.GuaranteesUnmet)
	row("slots exceeded", result.SlotsExceeded)
	row("jobs restarted", result.JobsRestarted)
	row("requests cut off", result.RequestsCut)
	for _, detail := range result.Details {
		row("", detail)
	}
	return errors.Wrap(table.Flush(), "write table")
}

// rowKinds writes a row for each kind, in alphabetical order.
func rowKinds(row func(name string, value any), label string, counts map[string]int) {
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		row(label+" "+kind, counts[kind])
	}
}
