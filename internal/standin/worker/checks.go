package worker

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// GangBound limits the time for which only a part of the members of an attempt may run.
type GangBound struct {
	// Start is the limit for an attempt whose members have never all run at the same time.
	Start time.Duration
	// Running is the limit for an attempt whose members have all run at the same time.
	Running time.Duration
}

// attemptKey identifies an attempt of a job. It includes the owner, the process that started the attempt, because two
// owners may start attempts with the same number if the store has no record of them.
type attemptKey struct {
	job     fleet.JobKey
	attempt fleet.Attempt
	owner   string
}

// byAttempt groups runs by attempt and keeps their order.
func byAttempt(runs []Run) map[attemptKey][]Run {
	groups := make(map[attemptKey][]Run)
	for _, run := range runs {
		key := attemptKey{run.Key, run.Attempt, run.Owner}
		groups[key] = append(groups[key], run)
	}
	return groups
}

// PartialGangs describes each attempt that has run with only a part of its gang for longer than bound allows. A member
// that has completed is not missing. A run that has not ended counts until now.
func (record *Record) PartialGangs(bound GangBound, now time.Time) []string {
	var found []string
	for key, runs := range byAttempt(record.Runs()) {
		longest, allRan := longestPartialRun(runs, now)
		limit := bound.Start
		if allRan {
			limit = bound.Running
		}
		if longest > limit {
			found = append(found, fmt.Sprintf("%s attempt %d: part of the gang ran for %s, limit %s",
				key.job, key.attempt, longest, limit))
		}
	}
	slices.Sort(found)
	return found
}

// longestPartialRun returns the longest time for which some members ran and others were absent, and whether
// all members ran at the same time at some moment.
func longestPartialRun(runs []Run, now time.Time) (time.Duration, bool) {
	var moments []time.Time
	lastStart, firstEnd := runs[0].Start, endOrNow(runs[0], now)
	for _, run := range runs {
		moments = append(moments, run.Start, endOrNow(run, now))
		if run.Start.After(lastStart) {
			lastStart = run.Start
		}
		if end := endOrNow(run, now); end.Before(firstEnd) {
			firstEnd = end
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	var longest, current time.Duration
	for i := 0; i+1 < len(moments); i++ {
		running, present := countMembersAt(runs, moments[i], now)
		if running == 0 || present >= runs[0].GangMembers {
			current = 0
			continue
		}
		current += moments[i+1].Sub(moments[i])
		longest = max(longest, current)
	}
	allRan := len(runs) == runs[0].GangMembers && !lastStart.After(firstEnd)
	return longest, allRan
}

// countMembersAt returns how many members run directly after a moment, and how many run or have completed at the
// moment.
func countMembersAt(runs []Run, moment, now time.Time) (running, present int) {
	for _, run := range runs {
		switch {
		case run.Start.After(moment):
		case endOrNow(run, now).After(moment):
			running++
			present++
		case run.State == workerv1.TaskState_TASK_STATE_COMPLETED:
			present++
		}
	}
	return running, present
}

// endOrNow returns the end of a run, or now if it has not ended.
func endOrNow(run Run, now time.Time) time.Time {
	if run.End.IsZero() {
		return now
	}
	return run.End
}

// DoubleRuns describes each job that ran more than once although idempotent returns false for it. An attempt that
// resumes from a checkpoint of every member of the previous attempt does not count as a second run.
func (record *Record) DoubleRuns(idempotent func(Run) bool) []string {
	var found []string
	jobs := make(map[fleet.JobKey][][]Run)
	for key, runs := range byAttempt(record.Runs()) {
		if !idempotent(runs[0]) {
			jobs[key.job] = append(jobs[key.job], runs)
		}
	}
	for key, attempts := range jobs {
		slices.SortFunc(attempts, func(a, b []Run) int { return a[0].Start.Compare(b[0].Start) })
		for i := 1; i < len(attempts); i++ {
			if !resumes(attempts[i-1], attempts[i]) {
				found = append(found, fmt.Sprintf("%s ran in attempt %d and again in attempt %d",
					key, attempts[i-1][0].Attempt, attempts[i][0].Attempt))
			}
		}
	}
	slices.Sort(found)
	return found
}

// resumes reports whether the attempt later resumes from a checkpoint of every member of the attempt earlier.
func resumes(earlier, later []Run) bool {
	for _, run := range earlier {
		if run.State != workerv1.TaskState_TASK_STATE_CHECKPOINTED || run.End.After(later[0].Start) {
			return false
		}
	}
	for _, run := range later {
		if !run.Resumed {
			return false
		}
	}
	return len(earlier) == earlier[0].GangMembers
}

// Overcommitted describes each moment at which the running tasks of a worker held more accelerators than it has.
func (record *Record) Overcommitted(now time.Time) []string {
	capacity := make(map[fleet.WorkerID]fleet.Accelerators)
	for _, worker := range record.workers {
		capacity[worker.machine.ID] = worker.machine.Accelerators
	}
	byWorker := make(map[fleet.WorkerID][]Run)
	for _, run := range record.Runs() {
		byWorker[run.Worker] = append(byWorker[run.Worker], run)
	}
	var found []string
	for id, runs := range byWorker {
		for _, first := range runs {
			var held fleet.Accelerators
			for _, run := range runs {
				if !run.Start.After(first.Start) && endOrNow(run, now).After(first.Start) {
					held += run.Accelerators
				}
			}
			if held > capacity[id] {
				found = append(found, fmt.Sprintf("worker %s: %d of %d accelerators held", id, held, capacity[id]))
			}
		}
	}
	return found
}

// ReportedOutcome is the outcome of a job that its caller received, and the time at which the caller first received it.
type ReportedOutcome struct {
	Outcome callerv1.Outcome
	At      time.Time
}

// Contradictions describes each reported outcome that contradicts the recorded runs.
func (record *Record) Contradictions(reported map[fleet.JobKey]ReportedOutcome) []string {
	jobs := make(map[fleet.JobKey][]Run)
	for _, run := range record.Runs() {
		jobs[run.Key] = append(jobs[run.Key], run)
	}
	var found []string
	for key, outcome := range reported {
		if reason := contradiction(jobs[key], outcome); reason != "" {
			found = append(found, fmt.Sprintf("%s was reported as %s: %s", key, outcome.Outcome, reason))
		}
	}
	slices.Sort(found)
	return found
}

// contradiction returns how runs contradict a reported outcome, or an empty string if they agree.
func contradiction(runs []Run, reported ReportedOutcome) string {
	switch reported.Outcome {
	case callerv1.Outcome_OUTCOME_COMPLETED:
		if !anyAttemptCompleted(runs) {
			return "no attempt completed on all members"
		}
	case callerv1.Outcome_OUTCOME_FAILED:
		if !slices.ContainsFunc(runs, func(run Run) bool { return run.State == workerv1.TaskState_TASK_STATE_FAILED }) {
			return "no member failed"
		}
	case callerv1.Outcome_OUTCOME_CANCELLED:
		if slices.ContainsFunc(runs, func(run Run) bool { return run.End.IsZero() || run.End.After(reported.At) }) {
			return "a member ran after the report"
		}
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		if len(runs) > 0 {
			return "a member ran"
		}
	}
	return ""
}

// anyAttemptCompleted reports whether all members of at least one attempt completed.
func anyAttemptCompleted(runs []Run) bool {
	for _, group := range byAttempt(runs) {
		count := 0
		for _, run := range group {
			if run.State == workerv1.TaskState_TASK_STATE_COMPLETED {
				count++
			}
		}
		if count > 0 && count == group[0].GangMembers {
			return true
		}
	}
	return false
}
