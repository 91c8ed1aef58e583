package worker

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// GangBound is how long members of one attempt may be in different states.
type GangBound struct {
	// Start holds until all members have run at once.
	Start time.Duration
	// Running holds from then on.
	Running time.Duration
}

// attemptKey identifies an attempt of a job. Two owners may make unrecorded attempts of the same number.
type attemptKey struct {
	key     fleet.JobKey
	attempt fleet.Attempt
	owner   string
}

// byAttempt groups runs by attempt; the order of runs is kept.
func byAttempt(runs []Run) map[attemptKey][]Run {
	groups := make(map[attemptKey][]Run)
	for _, run := range runs {
		key := attemptKey{run.Key, run.Attempt, run.Owner}
		groups[key] = append(groups[key], run)
	}
	return groups
}

// PartialGangs describes each attempt that ran with a part of its gang for longer than the bound until now.
// A member that has completed counts as present.
func (record *Record) PartialGangs(bound GangBound, now time.Time) []string {
	var found []string
	for key, runs := range byAttempt(record.Runs()) {
		longest, started := longestPartial(runs, now)
		limit := bound.Start
		if started {
			limit = bound.Running
		}
		if longest > limit {
			found = append(found, fmt.Sprintf("%s attempt %d: part of the gang ran for %s, bound %s", key.key, key.attempt, longest, limit))
		}
	}
	slices.Sort(found)
	return found
}

// longestPartial returns the longest time for which some members ran and others were absent, and whether all
// members ran at once at some moment.
func longestPartial(runs []Run, now time.Time) (time.Duration, bool) {
	var moments []time.Time
	lastStart, firstEnd := runs[0].Start, endOr(runs[0], now)
	for _, run := range runs {
		moments = append(moments, run.Start, endOr(run, now))
		if run.Start.After(lastStart) {
			lastStart = run.Start
		}
		if end := endOr(run, now); end.Before(firstEnd) {
			firstEnd = end
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	var longest, current time.Duration
	for i := 0; i+1 < len(moments); i++ {
		running, present := countAt(runs, moments[i], now)
		if running == 0 || present >= runs[0].GangMembers {
			current = 0
			continue
		}
		current += moments[i+1].Sub(moments[i])
		longest = max(longest, current)
	}
	whole := len(runs) == runs[0].GangMembers && !lastStart.After(firstEnd)
	return longest, whole
}

// countAt returns how many members run just after a moment, and how many run or have completed.
func countAt(runs []Run, moment, now time.Time) (running, present int) {
	for _, run := range runs {
		switch {
		case run.Start.After(moment):
		case endOr(run, now).After(moment):
			running++
			present++
		case run.State == workerv1.TaskState_TASK_STATE_COMPLETED:
			present++
		}
	}
	return running, present
}

func endOr(run Run, now time.Time) time.Time {
	if run.End.IsZero() {
		return now
	}
	return run.End
}

// DoubleRuns describes each job, of those that idempotent does not report, that ran more than once. An attempt
// that goes on from a checkpoint which every member of the attempt before saved is the same run.
func (record *Record) DoubleRuns(idempotent func(Run) bool) []string {
	var found []string
	jobs := make(map[fleet.JobKey][][]Run)
	for key, runs := range byAttempt(record.Runs()) {
		if !idempotent(runs[0]) {
			jobs[key.key] = append(jobs[key.key], runs)
		}
	}
	for key, attempts := range jobs {
		slices.SortFunc(attempts, func(a, b []Run) int { return a[0].Start.Compare(b[0].Start) })
		for i := 1; i < len(attempts); i++ {
			if !continues(attempts[i-1], attempts[i]) {
				found = append(found, fmt.Sprintf("%s ran in attempt %d and again in attempt %d", key, attempts[i-1][0].Attempt, attempts[i][0].Attempt))
			}
		}
	}
	slices.Sort(found)
	return found
}

// continues reports whether later goes on from a checkpoint of every member of earlier.
func continues(earlier, later []Run) bool {
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

// Overcommitted describes each moment at which the running tasks of a worker held more than its accelerators.
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
				if !run.Start.After(first.Start) && endOr(run, now).After(first.Start) {
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

// ReportedOutcome is what a caller was told of a job, and when it was first told so.
type ReportedOutcome struct {
	Outcome callerv1.Outcome
	At      time.Time
}

// Contradictions describes each outcome that the runs contradict.
func (record *Record) Contradictions(told map[fleet.JobKey]ReportedOutcome) []string {
	jobs := make(map[fleet.JobKey][]Run)
	for _, run := range record.Runs() {
		jobs[run.Key] = append(jobs[run.Key], run)
	}
	var found []string
	for key, answer := range told {
		if reason := contradiction(jobs[key], answer); reason != "" {
			found = append(found, fmt.Sprintf("%s was told %s: %s", key, answer.Outcome, reason))
		}
	}
	slices.Sort(found)
	return found
}

func contradiction(runs []Run, told ReportedOutcome) string {
	switch told.Outcome {
	case callerv1.Outcome_OUTCOME_COMPLETED:
		if !completed(runs) {
			return "no attempt completed on all members"
		}
	case callerv1.Outcome_OUTCOME_FAILED:
		if !slices.ContainsFunc(runs, func(run Run) bool { return run.State == workerv1.TaskState_TASK_STATE_FAILED }) {
			return "no member failed"
		}
	case callerv1.Outcome_OUTCOME_CANCELLED:
		if slices.ContainsFunc(runs, func(run Run) bool { return run.End.IsZero() || run.End.After(told.At) }) {
			return "a member ran afterwards"
		}
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		if len(runs) > 0 {
			return "a member ran"
		}
	}
	return ""
}

// completed reports whether all members of one attempt completed.
func completed(runs []Run) bool {
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
