package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/taskspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

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
	now := taskspeed.Sample{At: time.Duration(at), Done: float64(percent) / 100}
	run.speeds.Observe(now, window)
	if first := run.speeds.First(); step.Gang && now.Done == first.Done && now.At-first.At < gangGrace {
		return unclear
	}
	recent, ok := run.speeds.Recent(window)
	if !ok || now.Done >= almostDone {
		return unclear
	}
	found := run.compareSpeed(recent, window)
	run.verdict = found
	if found == steady {
		run.slowSince = 0
	} else if run.slowSince == 0 {
		run.slowSince = WorkerClock(run.speeds.Oldest().At)
	}
	return found
}

// compareSpeed updates the best speeds of a run and of its kind with the run's recent speed. It returns the verdict
// from comparing the recent speed with both best speeds and with the declared speed.
func (run *run) compareSpeed(recent taskspeed.Speed, window time.Duration) verdict {
	job, kind := run.job, runKind{step: run.task.Step, crossRack: run.crossRack}
	if job.bestSpeeds == nil {
		job.bestSpeeds = map[runKind]taskspeed.Speed{}
	}
	run.speeds.RaiseBest(recent)
	best := run.speeds.Best()
	job.bestSpeeds[kind] = max(job.bestSpeeds[kind], recent)
	if recent <= 0 && best > 0 && best.Duration(visibleProgress) > window {
		return unclear
	}
	switch {
	case recent <= 0, recent < slowVersusOwnBest*best, recent < slowVersusPeers*job.bestSpeeds[kind]:
		return slow
	case recent < slowVersusDeclared*run.declaredSpeed():
		return belowDeclared
	}
	return steady
}

// declaredSpeed is the speed at which the run takes its declared run time.
func (run *run) declaredSpeed() taskspeed.Speed {
	declared := taskspeed.Speed(1 / max(run.step().Estimate, time.Millisecond).Seconds())
	if run.crossRack {
		declared /= crossRackFactor
	}
	return declared
}

// expectedSpeed is the speed to expect of the run on a healthy worker. It is the best speed of the run, unless that is
// far below the declared speed. Otherwise it is the best speed of the run's kind or the declared speed, whichever is
// higher.
func (run *run) expectedSpeed() taskspeed.Speed {
	if best := run.speeds.Best(); best > 0 && best >= slowVersusPeers*run.declaredSpeed() {
		return best
	}
	return max(run.job.bestSpeeds[runKind{step: run.task.Step, crossRack: run.crossRack}], run.declaredSpeed())
}

// crossRackFactor is the approximate slowdown of a run whose data or gang is in another rack.
const crossRackFactor = 3

// endsSoonerElsewhere reports whether the run would end sooner if it were moved, although a move loses work. The worker
// is expected to stay slow for as long as it has been slow so far.
func (run *run) endsSoonerElsewhere() bool {
	last, expected := run.speeds.Last(), run.expectedSpeed()
	recent := taskspeed.Between(run.speeds.Oldest(), last)
	slowFor := last.At - time.Duration(run.slowSince)
	gained := time.Duration(float64(recent) / float64(expected) * float64(slowFor))
	remainingHere := slowFor + max(expected.Duration(1-last.Done)-gained, 0)
	if recent > 0 {
		remainingHere = min(remainingHere, recent.Duration(1-last.Done))
	}
	saved := 0.0
	if run.step().Checkpoints {
		saved = max(last.Done-float64(expected)*checkpointInterval.Seconds(), run.speeds.First().Done)
	}
	return remainingHere > expected.Duration(1-saved)+moveCost
}

// remainingTime estimates the time that the run still needs: from its mean speed so far or, until that can be measured,
// from its declared run time and the lasting speed of its workers.
func (run *run) remainingTime(now time.Duration) time.Duration {
	mean, known := run.speeds.Mean(speedWindow)
	if !known {
		return run.unit.expected(run.step().Estimate) - run.workedFor(now)
	}
	return mean.Duration(1 - run.speeds.Last().Done)
}

// workedFor returns how long the run has worked: since its start was sent or, for a run of a former controller, since it was
// read and for the work that its first listing showed as done.
func (run *run) workedFor(now time.Duration) time.Duration {
	worked := now - run.startedAt
	if run.restored {
		worked += time.Duration(run.speeds.First().Done * float64(run.step().Estimate))
	}
	return worked
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
