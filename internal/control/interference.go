package control

import (
	"math"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/interference"
	"github.com/quetzalstall/quetzalstall/pkg/taskspeed"
)

// interferenceState is what a term has learnt of kinds of task that slow each other down; see pkg/interference.
type interferenceState struct {
	// learner is nil while the setting is off.
	learner *interference.Learner
	// present has the kinds on workers, for the present plan. A worker is added when its kinds are first needed.
	present map[fleet.WorkerID]interference.Set
	// slots is reused by each listing.
	slots []interference.Slot
}

func newInterferenceState(enabled bool) interferenceState {
	if !enabled {
		return interferenceState{}
	}
	return interferenceState{learner: interference.NewLearner()}
}

const (
	// interferenceWindowShare is the fraction of a task's declared run time over which a run is observed, if that is longer
	// than speedWindow. Workers report progress in whole percents.
	interferenceWindowShare = 0.1
	// servingWindow is the time over which the tail latencies of a serving run are averaged.
	servingWindow = 2 * time.Second
	// observeInterval is the time for which a worker is not observed again. It bounds the cost where workers list often.
	observeInterval = 500 * time.Millisecond
	// maxSampleGap is the time between two listings from which on the kinds beside a run in between are not known.
	maxSampleGap = 2 * pollWait
	// minComparable is the number of tasks of a step from which on its runs can be compared with one another.
	minComparable = 3
	// noSlot stands for a run whose kind is not followed.
	noSlot = interference.Slot(-1)
	// maxChangeLines limits the log lines of one evaluation.
	maxChangeLines = 10
)

// exposedWindow measures a run while the kinds beside it are recorded.
type exposedWindow struct {
	from   taskspeed.Sample
	last   WorkerClock
	beside interference.Exposure
	// tails is the sum of the tail latencies of a serving run, and count their number.
	tails time.Duration
	count int
}

// observeInterference observes the listed runs of a worker beside one another. It does nothing while the setting is off.
func (loop *dispatcher) observeInterference(worker *worker, listing Listing) {
	learner := loop.interference.learner
	if learner == nil {
		return
	}
	if passed := time.Duration(listing.Clock - worker.observedAt); passed >= 0 && passed < observeInterval {
		return
	}
	worker.observedAt = listing.Clock
	now := loop.clock()
	sound := worker.health.Available(now) && !worker.health.Unreliable()
	slots := loop.interference.slots[:0]
	var present, repeated interference.Set
	for _, status := range listing.Running {
		slot := noSlot
		if run := worker.runs[status.Task]; run != nil && run.number == status.Run {
			if found, ok := learner.Seen(run.kind(), now); ok {
				slot = found
				if present.Has(slot) {
					repeated = repeated.With(slot)
				}
				present = present.With(slot)
			}
		}
		slots = append(slots, slot)
	}
	loop.interference.slots = slots
	for i, status := range listing.Running {
		if slots[i] == noSlot {
			continue
		}
		run := worker.runs[status.Task]
		if !sound || !run.comparable() || run.serves() && worker.throttle.share != fullShare {
			run.exposed = nil
			continue
		}
		beside := present
		if !repeated.Has(slots[i]) {
			beside = present.Without(slots[i])
		}
		loop.extendWindow(worker, run, slots[i], beside, listing.Clock, status)
	}
	loop.logInterference(learner.Evaluate(now))
}

// kind returns the kind of the run's task.
func (run *run) kind() interference.Kind { return interference.KindOf(&run.job.Job, run.task.Step) }

// comparable reports whether the run can show interference: its pace is its own, which that of a member of a gang is not,
// and there may be runs to compare it with.
func (run *run) comparable() bool {
	step := &run.job.Steps[run.task.Step]
	if run.stopping || run.crossRack || step.Gang || step.BestEffortCPU && run.share != fullShare {
		return false
	}
	if step.LongRunning {
		return step.TailTarget > 0
	}
	return run.verdict < belowDeclared && (step.Tasks >= minComparable || run.job.Schedule.Count >= minComparable)
}

// extendWindow adds a listing to the window of a run, and has the learner observe the run once the window is complete.
func (loop *dispatcher) extendWindow(
	worker *worker, run *run, slot interference.Slot, beside interference.Set, at WorkerClock, status RunStatus,
) {
	now, done := loop.clock(), float64(status.Percent)/100
	window := run.exposed
	if window == nil || at < window.last || time.Duration(at-window.last) > maxSampleGap || done < window.from.Done {
		window = &exposedWindow{from: taskspeed.Sample{At: time.Duration(at), Done: done}}
		run.exposed = window
	}
	window.last = at
	window.beside.Add(now, beside)
	if tail := status.tail(); run.serves() && tail > 0 {
		window.tails, window.count = window.tails+tail, window.count+1
	}
	length := run.windowTime(window, done)
	if length == 0 {
		return
	}
	run.exposed = &exposedWindow{from: taskspeed.Sample{At: time.Duration(at), Done: done}, last: at}
	run.exposed.beside.Add(now, beside)
	if math.IsInf(length, 0) {
		return
	}
	loop.interference.learner.Observe(interference.Observation{
		At: now, Kind: slot, Job: run.job.ID, Step: run.task.Step, Worker: worker.entry.ID, Beside: window.beside,
		Time: length, TimeFactor: float64(worker.factor), Serving: run.serves(),
	})
	metrics.Count(loop.Metrics, "interference_observations")
}

// windowTime returns the time that a unit of work took in a window relative to the declared time or, for a serving run,
// the tail latency relative to its target. It returns 0 while the window is not complete, and infinity if the window
// shows nothing.
func (run *run) windowTime(window *exposedWindow, done float64) float64 {
	span, step := time.Duration(window.last)-window.from.At, &run.job.Steps[run.task.Step]
	switch {
	case run.serves() && span < servingWindow, span < speedWindow,
		!run.serves() && span < time.Duration(interferenceWindowShare*float64(step.Estimate)):
		return 0
	case run.serves() && window.count == 0, !run.serves() && (done >= almostDone || done <= window.from.Done):
		return math.Inf(1)
	case run.serves():
		return window.tails.Seconds() / float64(window.count) / step.TailTarget.Seconds()
	}
	return float64(run.declaredSpeed()) / ((done - window.from.Done) / span.Seconds())
}

// logInterference logs and counts pairs of kinds that began or ceased to count as interfering.
func (loop *dispatcher) logInterference(changes []interference.Change) {
	if len(changes) == 0 {
		return
	}
	for i, change := range changes {
		message, outcome := "kinds of task slow each other down", "began"
		if !change.Began {
			message, outcome = "kinds of task no longer count as slowing each other down", "ceased"
		}
		metrics.Count(loop.Metrics, metrics.Name("interference_changes", "change", outcome))
		if i < maxChangeLines {
			loop.Logger.Info(message, "kind", change.Kinds[0].String(), "other", change.Kinds[1].String(),
				"slowdown", change.Slowdown, "confidence", change.Confidence, "jobs", change.Jobs,
				"workers", change.Workers)
		}
	}
	if more := len(changes) - maxChangeLines; more > 0 {
		loop.Logger.Info("more kinds of task began or ceased to slow each other down", "pairs", more)
	}
	gometrics.GetOrRegisterGauge("interfering_pairs", loop.Metrics).Update(int64(loop.interference.learner.PairCount()))
}

// PairDump is what is known of two kinds of task on the same worker.
type PairDump struct {
	Kinds [2]string `json:"kinds"`
	// Slowdown is the run time of the kind that suffers more, beside the other, relative to that without it.
	Slowdown float64 `json:"slowdown"`
	// Confidence is the probability that there is a slowdown at all.
	Confidence float64 `json:"confidence"`
	Jobs       int     `json:"jobs"`
	Workers    int     `json:"workers"`
	// Interfering is set while starts of these kinds are kept apart where there is room.
	Interfering bool `json:"interfering"`
}

// dumpInterference returns the pairs of which anything is known; nil while the setting is off.
func (loop *dispatcher) dumpInterference() []PairDump {
	if loop.interference.learner == nil {
		return nil
	}
	var dumps []PairDump
	for _, pair := range loop.interference.learner.Pairs(loop.clock()) {
		dumps = append(dumps, PairDump{
			Kinds:    [2]string{pair.Kinds[0].String(), pair.Kinds[1].String()},
			Slowdown: pair.Slowdown, Confidence: pair.Confidence, Jobs: pair.Jobs, Workers: pair.Workers,
			Interfering: pair.Interfering,
		})
	}
	return dumps
}
