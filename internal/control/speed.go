package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// speed is the fraction of a task's work that is done per second.
type speed float64

// duration returns how long a fraction of the work takes.
func (speed speed) duration(part float64) time.Duration {
	return time.Duration(part / float64(speed) * float64(time.Second))
}

// sample is the fraction of a run's work that was done at a time on the worker's clock.
type sample struct {
	at   WorkerClock
	done float64
}

// speedTracker measures the speed of a run by the worker's clock. By the local clock a run would look slow after a
// pause of the controller or of the worker.
type speedTracker struct {
	// samples cover the window for the recent speed, the oldest first.
	samples []sample
	// first is the first sample of the run. A resumed run starts with the work saved in its checkpoint.
	first sample
	// moving is the last sample before progress was first seen: until then the run was starting up, or waited for the
	// other members of its gang.
	moving sample
	// bestSpeed is the highest speed over a window that was observed for the run.
	bestSpeed speed
	// slowSince is the time from which the run has been slow or below its declared speed; 0 while it is neither.
	slowSince WorkerClock
}

// observe adds a sample and drops the oldest samples, as long as the others still cover the window.
func (tracker *speedTracker) observe(now sample, window time.Duration) {
	if len(tracker.samples) == 0 {
		tracker.first, tracker.moving = now, now
	} else if now.at <= tracker.last().at {
		return
	}
	if now.done <= tracker.first.done {
		tracker.moving = now
	}
	tracker.samples = append(tracker.samples, now)
	for len(tracker.samples) > 2 && time.Duration(now.at-tracker.samples[1].at) >= window {
		tracker.samples = tracker.samples[1:]
	}
}

func (tracker *speedTracker) last() sample { return tracker.samples[len(tracker.samples)-1] }

// recentSpeed returns the speed over the window, or false while the samples do not cover it.
func (tracker *speedTracker) recentSpeed(window time.Duration) (speed, bool) {
	if len(tracker.samples) < 2 {
		return 0, false
	}
	oldest, last := tracker.samples[0], tracker.last()
	span := time.Duration(last.at - oldest.at)
	if span < window {
		return 0, false
	}
	return speed((last.done - oldest.done) / span.Seconds()), true
}

const (
	// speedWindow is the minimum time over which a speed is measured.
	speedWindow = 1200 * time.Millisecond
	// speedWindowShare is the fraction of a task's declared run time over which its speed is measured, if that is
	// longer than speedWindow. Over a shorter time the result would be inaccurate, because workers report progress in
	// whole percents.
	speedWindowShare = 0.05
	// gangGrace is the time from its first sample for which a member of a gang without progress is not assessed,
	// because it may be waiting for the other members to start.
	gangGrace = 2500 * time.Millisecond
	// almostDone is the fraction of its work from which a run is no longer assessed, because a run without progress may
	// only be waiting for its end to be listed.
	almostDone = 0.98
	// A run is slow below slowVersusOwnBest times its own best speed. It is also slow below slowVersusPeers times the
	// best speed of the runs of its kind; this limit is lower, because their work may differ. A run has the verdict
	// belowDeclared below slowVersusDeclared times its declared speed, which may be far from the truth.
	slowVersusOwnBest  = 0.35
	slowVersusPeers    = 0.2
	slowVersusDeclared = 0.2
	// visibleProgress is the work that a run must do in a window, at the speed that it had before, for a window without
	// progress to mean anything: workers report progress in whole percents.
	visibleProgress = 0.02
	// moveCost is the approximate time to stop a run and start it elsewhere.
	moveCost = 800 * time.Millisecond
	// checkpointInterval is the approximate work that a run with checkpoints loses when it is moved.
	checkpointInterval = time.Second
	// maxMoves limits how often a task is moved off slow workers in one term.
	maxMoves = 3
)

// verdict is the result of comparing the recent speed of a run with the speed that is expected of it.
type verdict int

// The verdicts.
const (
	// unclear is the verdict on a run whose speed cannot be assessed, for example because there are too few samples.
	unclear verdict = iota
	// steady runs are as fast as expected.
	steady
	// belowDeclared runs are much slower than declared. The declaration may be wrong.
	belowDeclared
	// slow runs make no progress, or are much slower than they were before or than other runs of their kind.
	slow
)

// runKind groups the runs of a job whose speeds are comparable.
type runKind struct {
	step      int
	crossRack bool
}

// assess adds a sample with the progress that a worker lists for a run, and returns the verdict on the run's speed. The
// verdict is unclear for long-running tasks, runs that are stopping and throttled runs.
func (run *run) assess(at WorkerClock, percent int) verdict {
	step := run.step()
	if step.LongRunning || run.stopping || run.share != fullShare && step.BestEffortCPU {
		return unclear
	}
	window := max(speedWindow, time.Duration(speedWindowShare*float64(step.Estimate)))
	now := sample{at: at, done: float64(percent) / 100}
	run.speeds.observe(now, window)
	if step.Gang && now.done == run.speeds.first.done && time.Duration(at-run.speeds.first.at) < gangGrace {
		return unclear
	}
	recent, ok := run.speeds.recentSpeed(window)
	if !ok || now.done >= almostDone {
		return unclear
	}
	found := run.compareSpeed(recent, window)
	run.verdict = found
	if found == steady {
		run.speeds.slowSince = 0
	} else if run.speeds.slowSince == 0 {
		run.speeds.slowSince = run.speeds.samples[0].at
	}
	return found
}

// compareSpeed updates the best speeds of a run and of its kind with the run's recent speed. It returns the verdict
// from comparing the recent speed with both best speeds and with the declared speed.
func (run *run) compareSpeed(recent speed, window time.Duration) verdict {
	job, kind := run.job, runKind{step: run.task.Step, crossRack: run.crossRack}
	if job.bestSpeeds == nil {
		job.bestSpeeds = map[runKind]speed{}
	}
	run.speeds.bestSpeed = max(run.speeds.bestSpeed, recent)
	job.bestSpeeds[kind] = max(job.bestSpeeds[kind], recent)
	if recent <= 0 && run.speeds.bestSpeed > 0 && run.speeds.bestSpeed.duration(visibleProgress) > window {
		return unclear
	}
	switch {
	case recent <= 0, recent < slowVersusOwnBest*run.speeds.bestSpeed, recent < slowVersusPeers*job.bestSpeeds[kind]:
		return slow
	case recent < slowVersusDeclared*run.declaredSpeed():
		return belowDeclared
	}
	return steady
}

// declaredSpeed is the speed at which the run takes its declared run time.
func (run *run) declaredSpeed() speed {
	declared := speed(1 / max(run.step().Estimate, time.Millisecond).Seconds())
	if run.crossRack {
		declared /= crossRackFactor
	}
	return declared
}

// expectedSpeed is the speed to expect of the run on a healthy worker. It is the best speed of the run, unless that is
// far below the declared speed. Otherwise it is the best speed of the run's kind or the declared speed, whichever is
// higher.
func (run *run) expectedSpeed() speed {
	if run.speeds.bestSpeed > 0 && run.speeds.bestSpeed >= slowVersusPeers*run.declaredSpeed() {
		return run.speeds.bestSpeed
	}
	return max(run.job.bestSpeeds[runKind{step: run.task.Step, crossRack: run.crossRack}], run.declaredSpeed())
}

// crossRackFactor is the approximate slowdown of a run whose data or gang is in another rack.
const crossRackFactor = 3

// endsSoonerElsewhere reports whether the run would end sooner if it were moved, although a move loses work. The worker
// is expected to stay slow for as long as it has been slow so far.
func (run *run) endsSoonerElsewhere() bool {
	tracker := &run.speeds
	oldest, last, expected := tracker.samples[0], tracker.last(), run.expectedSpeed()
	recent := speed((last.done - oldest.done) / time.Duration(last.at-oldest.at).Seconds())
	slowFor := time.Duration(last.at - tracker.slowSince)
	gained := time.Duration(float64(recent) / float64(expected) * float64(slowFor))
	remainingHere := slowFor + max(expected.duration(1-last.done)-gained, 0)
	if recent > 0 {
		remainingHere = min(remainingHere, recent.duration(1-last.done))
	}
	saved := 0.0
	if run.step().Checkpoints {
		saved = max(last.done-float64(expected)*checkpointInterval.Seconds(), tracker.first.done)
	}
	return remainingHere > expected.duration(1-saved)+moveCost
}

// remainingTime estimates the time that the run still needs: from its mean speed so far or, until that can be measured,
// from its declared run time.
func (run *run) remainingTime(now time.Duration) time.Duration {
	ran := now - run.startedAt
	if len(run.speeds.samples) < 2 {
		return run.step().Estimate - ran
	}
	first, last := run.speeds.first, run.speeds.last()
	span := time.Duration(last.at - first.at)
	if last.done <= first.done || span < speedWindow {
		return run.step().Estimate - ran
	}
	return speed((last.done - first.done) / span.Seconds()).duration(1 - last.done)
}

// crossRack reports whether some of the workers chosen for a unit are outside the rack of the step's data, or are in
// several racks although the step is a gang that needs one rack.
func (loop *dispatcher) crossRack(step workload.Step, places []fleet.WorkerID) bool {
	rack := step.DataRack
	if rack == "" && step.Gang && step.SameRack {
		rack = loop.workers[places[0]].entry.Rack
	}
	for _, id := range places {
		if rack != "" && loop.workers[id].entry.Rack != rack {
			return true
		}
	}
	return false
}
