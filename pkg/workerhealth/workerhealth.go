// Package workerhealth judges from the ends of runs whether a worker may run new tasks, and whether a failed run is the
// fault of its worker or of its job. It answers a load in which some workers fail every run that they start, while
// runs that started there before go on and end well. Its decisions have no side effects outside of Health, and times
// are readings of the caller's monotonic clock.
package workerhealth

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// FailurePause is the time for which a worker gets no new tasks after its first failed run. Each further failure
	// doubles it.
	FailurePause = 1500 * time.Millisecond
	// MaxFailurePause is the longest pause after a failure.
	MaxFailurePause = 12 * time.Second
	// SlowPause is the time for which a worker gets no new tasks after slow runs were observed on it. It doubles each time
	// until a run there has a normal speed.
	SlowPause = 2 * time.Second
	// MaxSlowPause is the longest pause for slow runs.
	MaxSlowPause = 8 * time.Second
	// Probation is the time after a pause in which a worker gets one task at a time, until a run survives there. It is
	// bounded, because a worker may get no task for a long time while the fleet is idle.
	Probation = 4 * time.Second
	// SurvivalTime is the age from which a run that still works shows that its worker does not fail all that it starts.
	SurvivalTime = 750 * time.Millisecond
	// ProofAge is the time for which a run that survived shows that its worker is sound.
	ProofAge = 4 * time.Second
)

// Health is what the ends of its runs say about a worker. The zero value is the health of a worker without runs.
type Health struct {
	// failures counts the failed runs since the last run that survived. Runs that started together and failed together
	// count once. Failures that are attributed to a job are not counted.
	failures int
	// failingJob is the job to which all counted failures belong; empty if they belong to several jobs.
	failingJob fleet.JobID
	// failedAt is the time of the last counted failure.
	failedAt time.Duration
	// slow counts the pauses for slow runs since the last run with a normal speed, and slowAt is the time of the last one.
	slow   int
	slowAt time.Duration
	// pausedUntil is the time before which the worker gets no new tasks.
	pausedUntil time.Duration
	// survivor is the latest start of a run that survived, and proven whether there was one.
	survivor time.Duration
	proven   bool
}

// Available reports whether the worker may get new tasks.
func (health *Health) Available(now time.Duration) bool { return now >= health.pausedUntil }

// PausedUntil returns the time before which the worker gets no new tasks.
func (health *Health) PausedUntil() time.Duration { return health.pausedUntil }

// Failures returns the number of counted failures since the last run that survived.
func (health *Health) Failures() int { return health.failures }

// Unreliable reports whether runs have failed on the worker since its last run that survived, or were slow there since
// its last run with a normal speed.
func (health *Health) Unreliable() bool { return health.failures > 0 || health.slow > 0 }

// OnProbation reports whether the worker is unreliable, and its pause ended less than Probation ago.
func (health *Health) OnProbation(now time.Duration) bool {
	return health.Unreliable() && now < health.pausedUntil+Probation
}

// OnTrial reports whether a run that started at the given time shows whether an unreliable worker is sound again: it
// started after the last failure and the last pause for slow runs.
func (health *Health) OnTrial(started time.Duration) bool {
	return health.Unreliable() && started > max(health.failedAt, health.slowAt)
}

// Proven reports whether a run that started less than ProofAge ago has survived on the worker, and none failed since.
func (health *Health) Proven(now time.Duration) bool {
	return health.proven && !health.Unreliable() && now-health.survivor < ProofAge
}

// Pause keeps new tasks off the worker for at least the given duration.
func (health *Health) Pause(now, length time.Duration) {
	health.pausedUntil = max(health.pausedUntil, now+length)
}

// RecordFailure counts the failure of a run that started at the given time, and pauses the worker. A run that started
// before the last counted failure says nothing new and does not prolong the pause. It reports whether the failure was
// counted.
func (health *Health) RecordFailure(job fleet.JobID, started, now time.Duration) bool {
	if health.failures > 0 && health.failingJob != job {
		health.failingJob = ""
	}
	if health.failures > 0 && started <= health.failedAt {
		return false
	}
	if health.failures == 0 {
		health.failingJob = job
	}
	health.Pause(now, pauseAfter(health.failures))
	health.failures++
	health.failedAt = now
	return true
}

func pauseAfter(failures int) time.Duration {
	length := FailurePause
	for range failures {
		length = min(2*length, MaxFailurePause)
	}
	return length
}

// RecordSurvival records that a run that started at the given time was done or has worked for SurvivalTime. It clears
// the failures unless the run started before the last of them: a worker that fails all that it starts may still end
// earlier runs well.
func (health *Health) RecordSurvival(started time.Duration) {
	if health.failures > 0 && started <= health.failedAt {
		return
	}
	if health.failures > 0 && health.slow == 0 {
		health.pausedUntil = 0
	}
	health.failures, health.failingJob = 0, ""
	health.survivor = max(health.survivor, started)
	health.proven = true
}

// RecordSlow pauses the worker, on which runs are slow. A report during a pause for slow runs only prolongs it. It reports
// whether a new pause began.
func (health *Health) RecordSlow(now time.Duration) bool {
	began := health.slow == 0 || health.Available(now)
	if began {
		health.slow++
	}
	length := SlowPause
	for range health.slow - 1 {
		length = min(2*length, MaxSlowPause)
	}
	health.slowAt = now
	health.Pause(now, length)
	return began
}

// PausedAsSlow reports whether the worker is paused because runs are slow there.
func (health *Health) PausedAsSlow(now time.Duration) bool {
	return health.slow > 0 && !health.Available(now)
}

// RecordNormalSpeed records that a run has a normal speed on the worker.
func (health *Health) RecordNormalSpeed() { health.slow = 0 }

// Forgive clears the failures if all of them belong to the job.
func (health *Health) Forgive(job fleet.JobID) {
	if health.failures > 0 && health.failingJob == job {
		health.failures, health.failingJob, health.pausedUntil = 0, "", 0
	}
}

// BlameJob reports whether failures are the fault of their job: it has failed on at least two workers, and on more
// workers than those on which its runs work or were done. A wide job that meets several failing workers at once is not
// to blame, because most of its runs survive.
func BlameJob(failedWorkers, soundWorkers int) bool {
	return failedWorkers >= 2 && failedWorkers > soundWorkers
}
