// Package taskspeed measures the speed of the runs of tasks, from the progress that their workers report. Times are on
// the clock of the worker: by another clock a run would look slow after a pause of the observer or of the worker.
package taskspeed

import "time"

// Speed is the fraction of a task's work that is done per second.
type Speed float64

// Between returns the mean speed between two samples of a run.
func Between(first, last Sample) Speed {
	return Speed((last.Done - first.Done) / (last.At - first.At).Seconds())
}

// Duration returns how long a fraction of the work takes.
func (speed Speed) Duration(part float64) time.Duration {
	return time.Duration(part / float64(speed) * float64(time.Second))
}

// Sample is the fraction of a run's work that was done at a time on the worker's clock.
type Sample struct {
	At   time.Duration
	Done float64
}

// Tracker measures the speed of one run. The zero value has no samples. Oldest and Last require one.
type Tracker struct {
	// samples cover the window for the recent speed, the oldest first.
	samples []Sample
	// first is the first sample of the run. A resumed run starts with the work saved in its checkpoint.
	first Sample
	// moving is the last sample before progress was first seen: until then the run was starting up, or waited for the
	// other members of its gang.
	moving Sample
	// best is the highest speed that was passed to RaiseBest. It never decreases.
	best Speed
}

// Observe adds a sample and drops the oldest samples, as long as the others still cover the window. It ignores a sample
// that is not later than the last one.
func (tracker *Tracker) Observe(now Sample, window time.Duration) {
	if len(tracker.samples) == 0 {
		tracker.first, tracker.moving = now, now
	} else if now.At <= tracker.Last().At {
		return
	}
	if now.Done <= tracker.first.Done {
		tracker.moving = now
	}
	tracker.samples = append(tracker.samples, now)
	for len(tracker.samples) > 2 && now.At-tracker.samples[1].At >= window {
		tracker.samples = tracker.samples[1:]
	}
}

// First returns the first sample of the run.
func (tracker *Tracker) First() Sample { return tracker.first }

// Moving returns the last sample before progress was first seen, or the latest sample without progress.
func (tracker *Tracker) Moving() Sample { return tracker.moving }

// Oldest returns the oldest sample that is kept for the recent speed.
func (tracker *Tracker) Oldest() Sample { return tracker.samples[0] }

// Last returns the latest sample.
func (tracker *Tracker) Last() Sample { return tracker.samples[len(tracker.samples)-1] }

// Recent returns the speed over the window, or false while the samples do not cover it.
func (tracker *Tracker) Recent(window time.Duration) (Speed, bool) {
	if len(tracker.samples) < 2 || tracker.Last().At-tracker.Oldest().At < window {
		return 0, false
	}
	return Between(tracker.Oldest(), tracker.Last()), true
}

// Mean returns the mean speed since the first sample, or false if the run was observed for less than the given time or
// has made no progress.
func (tracker *Tracker) Mean(shortest time.Duration) (Speed, bool) {
	if len(tracker.samples) < 2 {
		return 0, false
	}
	last := tracker.Last()
	if last.Done <= tracker.first.Done || last.At-tracker.first.At < shortest {
		return 0, false
	}
	return Between(tracker.first, last), true
}

// Best returns the highest speed that was passed to RaiseBest; 0 if there is none.
func (tracker *Tracker) Best() Speed { return tracker.best }

// RaiseBest records a speed that the run has had over a window.
func (tracker *Tracker) RaiseBest(speed Speed) { tracker.best = max(tracker.best, speed) }
