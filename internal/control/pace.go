package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// speed is the part of a task's work that is done in a second.
type speed float64

// duration returns how long a part of the work takes.
func (speed speed) duration(part float64) time.Duration {
	return time.Duration(part / float64(speed) * float64(time.Second))
}

// sample is how much of a run's work was done at a moment of the worker's clock.
type sample struct {
	at   WorkerClock
	done float64
}

// pace follows how fast a run gets on, by the worker's clock, so that neither a controller nor a worker that stood still
// looks like a slow run.
type pace struct {
	// samples span the window over which the recent speed is taken; the first is the oldest.
	samples []sample
	// first is the first sample of all: a resumed run begins with what its checkpoint had saved.
	first sample
	// best is the highest speed over a window.
	best speed
	// slowFrom is when the run became slow; 0 is never.
	slowFrom WorkerClock
}

// observe adds a sample and keeps those that a window needs.
func (pace *pace) observe(now sample, window time.Duration) {
	if len(pace.samples) == 0 {
		pace.first = now
	} else if now.at <= pace.last().at {
		return
	}
	pace.samples = append(pace.samples, now)
	for len(pace.samples) > 2 && time.Duration(now.at-pace.samples[1].at) >= window {
		pace.samples = pace.samples[1:]
	}
}

func (pace *pace) last() sample { return pace.samples[len(pace.samples)-1] }

// recent returns the speed over the window, or false before the samples span it.
func (pace *pace) recent(window time.Duration) (speed, bool) {
	if len(pace.samples) < 2 {
		return 0, false
	}
	oldest, last := pace.samples[0], pace.last()
	span := time.Duration(last.at - oldest.at)
	if span < window {
		return 0, false
	}
	return speed((last.done - oldest.done) / span.Seconds()), true
}

const (
	// paceWindow is the least time over which a speed is taken.
	paceWindow = 1200 * time.Millisecond
	// paceWindowPart of a task's expected time is the least window, since workers tell whole percents.
	paceWindowPart = 0.05
	// gangGrace is how long the members of a gang may wait for each other before their pace counts.
	gangGrace = 2500 * time.Millisecond
	// almostDone is the part from which on a run that stands still may only wait for its end to be listed.
	almostDone = 0.98
	// slowByItself is the part of a run's own best speed below which it is slow, slowByOthers that of the best speed of
	// its like, whose work may differ, and slowByEstimate that of the declared speed, which may be far off.
	slowByItself   = 0.35
	slowByOthers   = 0.2
	slowByEstimate = 0.2
	// moveCost is about what it takes to stop a run and to start it elsewhere.
	moveCost = 800 * time.Millisecond
	// checkpointInterval is about how much work a run with checkpoints loses.
	checkpointInterval = time.Second
	// mostMoves bounds how often a task is taken off slow workers in one term.
	mostMoves = 3
)

// verdict is what a run's pace shows.
type verdict int

// The verdicts.
const (
	// unclear is the verdict while too little is known.
	unclear verdict = iota
	// steady runs get on as expected.
	steady
	// behind runs are much slower than declared, which may be the declaration's fault.
	behind
	// slow runs stand still, or are much slower than they or their like have been.
	slow
)

// runKind is what runs have in common whose speeds are compared.
type runKind struct {
	step int
	far  bool
}

// judge takes what a worker lists of a run and tells whether it gets on as expected.
func (run *run) judge(at WorkerClock, percent int) verdict {
	step := run.step()
	if step.LongRunning || run.stopping || run.share != fullShare && step.BestEffortCPU {
		return unclear
	}
	window := max(paceWindow, time.Duration(paceWindowPart*float64(step.Estimate)))
	now := sample{at: at, done: float64(percent) / 100}
	run.pace.observe(now, window)
	if step.Gang && now.done == run.pace.first.done && time.Duration(at-run.pace.first.at) < gangGrace {
		return unclear
	}
	recent, ok := run.pace.recent(window)
	if !ok || now.done >= almostDone {
		return unclear
	}
	found := run.compare(recent)
	if found == steady {
		run.pace.slowFrom = 0
	} else if run.pace.slowFrom == 0 {
		run.pace.slowFrom = run.pace.samples[0].at
	}
	return found
}

// compare weighs a run's recent speed against its own best, the best of its like, and the declared run time.
func (run *run) compare(recent speed) verdict {
	job, kind := run.job, runKind{step: run.task.Step, far: run.far}
	if job.best == nil {
		job.best = map[runKind]speed{}
	}
	run.pace.best = max(run.pace.best, recent)
	job.best[kind] = max(job.best[kind], recent)
	switch {
	case recent <= 0, recent < slowByItself*run.pace.best, recent < slowByOthers*job.best[kind]:
		return slow
	case recent < slowByEstimate*run.estimated():
		return behind
	}
	return steady
}

// estimated is the speed by the declared run time.
func (run *run) estimated() speed {
	estimated := speed(1 / max(run.step().Estimate, time.Millisecond).Seconds())
	if run.far {
		estimated /= farFactor
	}
	return estimated
}

// normal is the speed that is expected of the run on a sound worker.
func (run *run) normal() speed {
	if run.pace.best > 0 && run.pace.best >= slowByOthers*run.estimated() {
		return run.pace.best
	}
	return max(run.job.best[runKind{step: run.task.Step, far: run.far}], run.estimated())
}

// farFactor is about how much slower a run is whose data or gang is in another rack.
const farFactor = 3

// endsSoonerElsewhere weighs going on against starting anew, though that loses work. A worker that has been slow for a
// time is expected to stay so for as long again.
func (run *run) endsSoonerElsewhere() bool {
	pace := &run.pace
	oldest, last, normal := pace.samples[0], pace.last(), run.normal()
	recent := speed((last.done - oldest.done) / time.Duration(last.at-oldest.at).Seconds())
	slowFor := time.Duration(last.at - pace.slowFrom)
	gained := time.Duration(float64(recent) / float64(normal) * float64(slowFor))
	here := slowFor + max(normal.duration(1-last.done)-gained, 0)
	if recent > 0 {
		here = min(here, recent.duration(1-last.done))
	}
	saved := 0.0
	if run.step().Checkpoints {
		saved = max(last.done-float64(normal)*checkpointInterval.Seconds(), pace.first.done)
	}
	return here > normal.duration(1-saved)+moveCost
}

// left is about how long the run still takes.
func (run *run) left(now time.Duration) time.Duration {
	ran := now - run.since
	if len(run.pace.samples) < 2 {
		return run.step().Estimate - ran
	}
	first, last := run.pace.first, run.pace.last()
	span := time.Duration(last.at - first.at)
	if last.done <= first.done || span < paceWindow {
		return run.step().Estimate - ran
	}
	return speed((last.done - first.done) / span.Seconds()).duration(1 - last.done)
}

// actOn keeps new work away from a worker that is slow, and takes off it what ends sooner elsewhere. One steady run
// clears a worker; runs that are only behind their declared run times accuse it if they are of several jobs.
func (loop *dispatcher) actOn(worker *worker, verdicts map[*run]verdict) {
	accused, jobs := false, map[fleet.JobID]bool{}
	for run, found := range verdicts {
		switch found {
		case steady:
			return
		case slow:
			accused = true
		case behind:
			jobs[run.job.ID] = true
		}
	}
	if !accused && len(jobs) < 2 {
		return
	}
	if worker.health.good(loop.clock()) {
		loop.Logger.Warn("worker slow", "worker", string(worker.entry.ID), "runs", len(verdicts))
	}
	worker.health.pause(loop.clock(), slowPause)
	for run, found := range verdicts {
		if found >= behind && run.endsSoonerElsewhere() && run.job.mayMove(run.task) {
			loop.stopRun(run, "its worker is slow")
			loop.stopGang(run)
		}
	}
}

// mayMove counts a move of a task and reports whether it may be moved once more.
func (job *job) mayMove(id workload.TaskID) bool {
	if job.moves == nil {
		job.moves = map[workload.TaskID]int{}
	}
	job.moves[id]++
	return job.moves[id] <= mostMoves
}

// far reports whether places of a step are away from its data or in more than one rack, though it asks for one.
func (loop *dispatcher) far(step workload.Step, places []fleet.WorkerID) bool {
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
