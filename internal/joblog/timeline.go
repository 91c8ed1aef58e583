package joblog

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// Phase is the activity of a job at one moment. If the tasks of the job are in different phases, the job is in the
// least advanced of these phases.
type Phase int

// The phases, from the least to the most advanced.
const (
	// Submitted lasts from the submission until a controller has read the job.
	Submitted Phase = iota
	// Waiting means that a task or gang waits for free capacity, or for the end of a run that no worker is known to have
	// begun.
	Waiting
	// Claiming means that a task or gang has claimed capacity and waits for the end of the runs that it preempts there.
	Claiming
	// Repeating means that a run is active whose work is lost later, so that it has to be repeated.
	Repeating
	// Running means that a run is active whose work is kept.
	Running
	// Between means that no task waits or runs, for example between two steps or before the final state is stored.
	Between
	phaseCount
)

// String returns the name of the phase as it is printed in tables.
func (phase Phase) String() string {
	return [phaseCount]string{"submitted", "waiting", "claiming", "repeating", "running", "between"}[phase]
}

// Timeline is the history of one job as it is derived from logs.
type Timeline struct {
	Job     fleet.JobID
	Profile string
	// Priority is the priority of the job at its first placement, or unplaced if it was never placed. 0 is the most
	// urgent priority.
	Priority int
	// State is the last state of the job that was stored.
	State     string
	Submitted time.Time
	Ended     time.Time
	Phases    [phaseCount]time.Duration
	// Runs is the total run time of the job's runs by their result, which is "done" or the reason for which the work of
	// the run was lost.
	Runs map[string]time.Duration
}

// unplaced is the priority of a job without a log line about a placement.
const unplaced = -1

// span is a period that a job, or a task or gang of it, spent in one phase.
type span struct {
	from, to time.Time
	phase    Phase
}

// NewTimeline derives the timeline of a job from its lines, which must be sorted by time. It returns false if no line
// is about the acceptance of the job, or none about a stored state.
func NewTimeline(lines []Line) (*Timeline, bool) {
	timeline := &Timeline{Job: lines[0].Job, Priority: unplaced, Runs: map[string]time.Duration{}}
	var spans []span
	claimed := map[int]time.Time{}
	causes := map[string]string{}
	for _, line := range lines {
		fields := line.fields
		switch line.Message {
		case "request decided":
			if fields.Call == "submit" && fields.Outcome == "ok" {
				timeline.setSubmitted(line.At)
			}
		case "job taken":
			accepted := line.At.Add(-fields.Waited.duration())
			timeline.setSubmitted(accepted)
			if timeline.Profile == "" {
				spans = append(spans, span{accepted, line.At, Submitted})
			}
			timeline.Profile = fields.Profile
		case "room claimed":
			claimed[fields.Step] = line.At
		case "unit placed":
			if timeline.Priority == unplaced {
				timeline.Priority = fields.Priority
			}
			ready, waitEnd := line.At.Add(-fields.Waited.duration()), line.At
			if since, ok := claimed[fields.Step]; ok && since.After(ready) {
				waitEnd = since
				spans = append(spans, span{since, line.At, Claiming})
				delete(claimed, fields.Step)
			}
			spans = append(spans, span{ready, waitEnd, Waiting})
		case "run to stop":
			causes[fields.Task] = fields.Cause
		case "run ended":
			spans = append(spans, timeline.addRun(line, causes[fields.Task]))
			delete(causes, fields.Task)
		case "job state stored":
			timeline.State, timeline.Ended = fields.State, line.At
		}
	}
	if timeline.Submitted.IsZero() || timeline.State == "" {
		return nil, false
	}
	timeline.sumPhases(spans)
	return timeline, true
}

// setSubmitted sets the time of submission, unless an earlier time is set already.
func (timeline *Timeline) setSubmitted(at time.Time) {
	if timeline.Submitted.IsZero() || at.Before(timeline.Submitted) {
		timeline.Submitted = at
	}
}

// addRun adds the time of an ended run to Runs, unless it is not known to have begun, and returns the run's span. The cause
// is the reason for which the controller stopped the run, or empty if the controller did not stop it.
func (timeline *Timeline) addRun(line Line, cause string) span {
	ran := line.fields.Ran.duration()
	run := span{line.At.Add(-ran), line.At, Running}
	if begun := line.fields.Begun; begun != nil && !*begun {
		run.phase = Waiting
		return run
	}
	result := string(line.fields.How)
	if line.fields.How != progress.RunDone {
		run.phase = Repeating
		result = cmp.Or(cause, result)
	}
	timeline.Runs[result] += ran
	return run
}

// sumPhases sums the time between the submission and the end of the job by phase.
func (timeline *Timeline) sumPhases(spans []span) {
	boundaries := []time.Time{timeline.Submitted, timeline.Ended}
	for _, span := range spans {
		boundaries = append(boundaries, span.from, span.to)
	}
	slices.SortFunc(boundaries, time.Time.Compare)
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.phase, b.phase) })
	for i, from := range boundaries[:len(boundaries)-1] {
		to := boundaries[i+1]
		if from.Before(timeline.Submitted) || to.After(timeline.Ended) {
			continue
		}
		timeline.Phases[phaseAt(spans, from, to)] += to.Sub(from)
	}
}

// phaseAt returns the least advanced phase that has a span which covers the time between two moments, or Between if
// there is none. The spans must be sorted by phase.
func phaseAt(spans []span, from, to time.Time) Phase {
	for _, span := range spans {
		if !span.from.After(from) && !span.to.Before(to) {
			return span.phase
		}
	}
	return Between
}
