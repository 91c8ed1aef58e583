package control

import (
	"cmp"
	"iter"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	// maxPlanGroups limits the groups that a plan holds, and with them its memory and time. They are divided among the open
	// jobs.
	maxPlanGroups = 4096
	// minJobGroups is the number of groups of one job that a plan holds at the least, however many jobs are open.
	minJobGroups = 16
)

// group is the units of one step of one occurrence that wait, due and ready to start. It refers to the record instead of
// listing its units, since tasks and occurrences of one job may be far more together than the process has memory for.
type group struct {
	job *job
	stepPosition
	// first is the first unit of the group when the plan began.
	first        progress.Unit
	waitingSince time.Time
	remaining    time.Duration
	rank         int
	deadline     time.Time
	// overdue is the result of waitsTooLong.
	overdue bool
}

// candidate returns the candidate for one unit of the group.
func (group group) candidate(unit progress.Unit) candidate {
	return candidate{
		job: group.job, unit: unit, waitingSince: group.waitingSince, remaining: group.remaining,
		overdue: group.overdue,
	}
}

// units yields the units of a group that may start, as long as they wait.
func (loop *dispatcher) units(group group) iter.Seq[progress.Unit] {
	return func(yield func(progress.Unit) bool) {
		for unit := range group.job.record.Units(group.job.Job, group.occurrence, group.step) {
			if loop.startable(group.job, unit) && !yield(unit) {
				return
			}
		}
	}
}

func (loop *dispatcher) countUnits(group group) int {
	count := 0
	for range loop.units(group) {
		count++
	}
	return count
}

// startable reports whether nothing but a lack of capacity keeps a waiting unit from starting.
func (loop *dispatcher) startable(job *job, unit progress.Unit) bool {
	return !loop.runsUnexpectedly(job, unit) && !loop.paused(job, unit)
}

// waits reports whether the unit with a key waits, is due and ready, and may start.
func (loop *dispatcher) waits(key workload.TaskID) bool {
	job := loop.openJobs[key.Job]
	if job == nil || !job.open() || job.held(loop.clock()) || key.Occurrence >= job.Schedule.DueBy(time.Now()) {
		return false
	}
	unit := progress.UnitOf(job.Job, key)
	return job.record.Ready(job.Job, key.Occurrence, key.Step) && job.record.Waits(unit) && loop.startable(job, unit)
}

// waitingGroups returns the groups that the present plan considers. A job with more groups than its share of
// maxPlanGroups has others considered by each plan, in turn.
func (loop *dispatcher) waitingGroups() []group {
	for id, job := range loop.openJobs {
		if !job.open() {
			delete(loop.openJobs, id)
		}
	}
	var groups []group
	now, partial := time.Now(), 0
	share := max(minJobGroups, maxPlanGroups/max(len(loop.openJobs), 1))
	for _, job := range loop.openJobs {
		groups = append(groups, loop.waitingGroupsOf(job, now, loop.groupLimit(job, share))...)
		if job.nextGroup != (stepPosition{}) {
			partial++
		}
	}
	gometrics.GetOrRegisterGauge("plan_groups", loop.Metrics).Update(int64(len(groups)))
	gometrics.GetOrRegisterGauge("plan_partial_jobs", loop.Metrics).Update(int64(partial))
	return groups
}

// groupLimit returns the number of groups of a job that a plan considers. All steps of a job that is explained are.
func (loop *dispatcher) groupLimit(job *job, share int) int {
	if loop.rehearsal != nil && loop.rehearsal.asked == job {
		return len(job.Steps)
	}
	return share
}

// waitingGroupsOf returns the groups of a job, at most limit, from the one on with which the previous plan stopped.
func (loop *dispatcher) waitingGroupsOf(job *job, now time.Time, limit int) []group {
	if job.held(loop.clock()) {
		return nil
	}
	var groups []group
	paths := pathCache{job: job}
	from := job.nextGroup
	for _, wrapped := range []bool{false, true} {
		for position := range job.readySteps(now) {
			if wrapped != (position.compare(from) < 0) {
				continue
			}
			if len(groups) == limit {
				job.nextGroup = position
				return groups
			}
			if found, ok := loop.groupAt(job, position, &paths); ok {
				groups = append(groups, found)
			}
		}
	}
	job.nextGroup = stepPosition{}
	return groups
}

// groupAt returns the group of a ready step, or false if no unit of it may start.
func (loop *dispatcher) groupAt(job *job, position stepPosition, paths *pathCache) (group, bool) {
	found := group{job: job, stepPosition: position, waitingSince: job.Accepted}
	for unit := range loop.units(found) {
		found.first = unit
		if due := job.Schedule.Due(position.occurrence); due.After(found.waitingSince) {
			found.waitingSince = due
		}
		found.remaining = paths.remaining(position)
		return found, true
	}
	return group{}, false
}

// stepPosition is a step of an occurrence. Positions are ordered by occurrence, then by step.
type stepPosition struct{ occurrence, step int }

func (position stepPosition) compare(other stepPosition) int {
	return cmp.Or(cmp.Compare(position.occurrence, other.occurrence), cmp.Compare(position.step, other.step))
}

// readySteps yields the steps that are due and whose earlier steps are done, of all occurrences that have begun and of
// the first maxBegun others.
func (job *job) readySteps(now time.Time) iter.Seq[stepPosition] {
	return func(yield func(stepPosition) bool) {
		notBegun := 0
		for k := range job.record.Unfinished(job.Schedule.DueBy(now)) {
			if job.record.Occurrence(k) == nil {
				notBegun++
			}
			if notBegun > maxBegun {
				return
			}
			for s := range job.stepsToCheck(k) {
				if job.record.Ready(job.Job, k, s) && !yield(stepPosition{k, s}) {
					return
				}
			}
		}
	}
}

// stepsToCheck yields the steps of an occurrence that may be ready, in ascending order.
func (job *job) stepsToCheck(occurrence int) iter.Seq[int] {
	if job.record.Occurrence(occurrence) == nil {
		return slices.Values(job.independentSteps())
	}
	return func(yield func(int) bool) {
		for s := range job.Steps {
			if !yield(s) {
				return
			}
		}
	}
}

// independentSteps returns the steps that depend on no other step.
func (job *job) independentSteps() []int {
	if job.independent == nil {
		for s, step := range job.Steps {
			if len(step.After) == 0 {
				job.independent = append(job.independent, s)
			}
		}
	}
	return job.independent
}

// pathCache computes the remaining paths of a job's occurrences once for each occurrence in turn, and once for all that
// have not begun.
type pathCache struct {
	job        *job
	occurrence int
	begun      bool
	paths      []time.Duration
}

func (cache *pathCache) remaining(position stepPosition) time.Duration {
	begun := cache.job.record.Occurrence(position.occurrence) != nil
	if cache.paths == nil || begun != cache.begun || begun && position.occurrence != cache.occurrence {
		cache.begun, cache.occurrence = begun, position.occurrence
		cache.paths = cache.job.remainingPaths(position.occurrence)
	}
	return cache.paths[position.step]
}
