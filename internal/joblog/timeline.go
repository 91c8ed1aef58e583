package joblog

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// Phase is what a job is doing at one moment. Where its parts differ, the least advanced one decides.
type Phase int

// The phases, the least advanced one first.
const (
	// Submitted lasts until a controller has taken the job.
	Submitted Phase = iota
	// Waiting is a part that waits for room.
	Waiting
	// Claiming is a part that waits for the end of the runs that it displaced.
	Claiming
	// Repeating is a run whose work was lost afterwards.
	Repeating
	// Running is a run whose work counts.
	Running
	// Between is the time without a part that waits or runs: between steps, and before an end is stored.
	Between
	phases
)

// String names the phase in tables.
func (phase Phase) String() string {
	return [phases]string{"submitted", "waiting", "claiming", "repeating", "running", "between"}[phase]
}

// Timeline is what the logs tell of one job.
type Timeline struct {
	Job     fleet.JobID
	Profile string
	// Priority is that of its first placement, and unplaced before; 0 is the most urgent one.
	Priority int
	// State is the last one that was stored; empty if none was.
	State     string
	Submitted time.Time
	Ended     time.Time
	Phases    [phases]time.Duration
	// Runs sums the time of runs by what became of them: done, or why their work was lost.
	Runs map[string]time.Duration
}

// unplaced is the priority of a job that no line shows to be placed.
const unplaced = -1

// span is a part of a job's life in one phase.
type span struct {
	from, to time.Time
	phase    Phase
}

// NewTimeline derives the timeline of a job from its lines, which are sorted by time. It reports false for a job that
// no line shows to be accepted.
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
				timeline.begin(line.At)
			}
		case "job taken":
			accepted := line.At.Add(-fields.Waited.duration())
			timeline.begin(accepted)
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
			ready, found := line.At.Add(-fields.Waited.duration()), line.At
			if since, ok := claimed[fields.Step]; ok && since.After(ready) {
				found = since
				spans = append(spans, span{since, line.At, Claiming})
				delete(claimed, fields.Step)
			}
			spans = append(spans, span{ready, found, Waiting})
		case "run to stop":
			causes[fields.Task] = fields.Cause
		case "run ended":
			spans = append(spans, timeline.ended(line, causes[fields.Task]))
			delete(causes, fields.Task)
		case "job state stored":
			timeline.State, timeline.Ended = fields.State, line.At
		}
	}
	if timeline.Submitted.IsZero() || timeline.State == "" {
		return nil, false
	}
	timeline.measure(spans)
	return timeline, true
}

// begin notes when the job was submitted; the first news of it counts.
func (timeline *Timeline) begin(at time.Time) {
	if timeline.Submitted.IsZero() || at.Before(timeline.Submitted) {
		timeline.Submitted = at
	}
}

// ended returns the span of a run. Its cause is why it was told to stop, if it was.
func (timeline *Timeline) ended(line Line, cause string) span {
	ran := line.fields.Ran.duration()
	run := span{line.At.Add(-ran), line.At, Running}
	became := string(line.fields.How)
	if line.fields.How != progress.RunDone {
		run.phase = Repeating
		became = cmp.Or(cause, became)
	}
	timeline.Runs[became] += ran
	return run
}

// measure sums the phases of the job's life.
func (timeline *Timeline) measure(spans []span) {
	moments := []time.Time{timeline.Submitted, timeline.Ended}
	for _, span := range spans {
		moments = append(moments, span.from, span.to)
	}
	slices.SortFunc(moments, time.Time.Compare)
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.phase, b.phase) })
	for i, from := range moments[:len(moments)-1] {
		to := moments[i+1]
		if from.Before(timeline.Submitted) || to.After(timeline.Ended) {
			continue
		}
		timeline.Phases[phaseAt(spans, from, to)] += to.Sub(from)
	}
}

// phaseAt returns the least advanced phase between two moments. The spans are sorted by phase.
func phaseAt(spans []span, from, to time.Time) Phase {
	for _, span := range spans {
		if !span.from.After(from) && !span.to.Before(to) {
			return span.phase
		}
	}
	return Between
}
