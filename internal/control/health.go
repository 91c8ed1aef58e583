package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// health tells a worker that fails or slows down whatever it runs from one that got a task that fails everywhere.
type health struct {
	// failures counts the failed runs since the last that was done.
	failures int
	// accuser is the job whose run failed, while there is only one.
	accuser fleet.JobID
	// until is when the worker may get something new.
	until time.Duration
}

const (
	// failurePause is how long a worker gets nothing new after its first failed run; each further one doubles it up to
	// failurePauseMax.
	failurePause    = 1500 * time.Millisecond
	failurePauseMax = 12 * time.Second
	// failurePauses is how many pauses are shorter than the longest.
	failurePauses = 3
	// slowPause is how long a worker gets nothing new after it was seen to be slow.
	slowPause = 2 * time.Second
	// refusalPause is how long a worker that refused a start gets no other.
	refusalPause = time.Second
	// unhealthyPause is how long a worker that says that it takes nothing gets nothing new.
	unhealthyPause = 6 * time.Second
)

func (health *health) good(now time.Duration) bool { return now >= health.until }

// doubtful reports whether the latest run that ended on the worker failed.
func (health *health) doubtful() bool { return health.failures > 0 }

// pause keeps new work away for a time.
func (health *health) pause(now, length time.Duration) { health.until = max(health.until, now+length) }

// fail counts a failed run.
func (health *health) fail(id fleet.JobID, now time.Duration) {
	if health.failures == 0 {
		health.accuser = id
	} else if health.accuser != id {
		health.accuser = ""
	}
	length := failurePauseMax
	if health.failures < failurePauses {
		length = failurePause << health.failures
	}
	health.failures++
	health.pause(now, min(length, failurePauseMax))
}

// noteEnd learns from the end of a run whether the worker or the job is at fault. A job that fails on a second worker
// is at fault itself, and the worker that only it accused is used again at once.
func (loop *dispatcher) noteEnd(worker *worker, job *job, how progress.RunOutcome) {
	switch how {
	case progress.RunDone:
		worker.health = health{}
	case progress.RunFailed:
		if loop.absolve(worker, job) {
			return
		}
		worker.health.fail(job.ID, loop.clock())
		loop.Logger.Warn("worker doubted", "worker", string(worker.entry.ID), "job", string(job.ID),
			"failures", worker.health.failures, "pause_ms", (worker.health.until - loop.clock()).Milliseconds())
	}
}

// absolve notes that a run of the job failed on a worker. If runs of the job had failed elsewhere before, it clears the
// workers that nobody else accuses, and reports whether this one needs no blame either.
func (loop *dispatcher) absolve(failed *worker, job *job) bool {
	if job.failedOn == nil {
		job.failedOn = map[fleet.WorkerID]bool{}
	}
	job.failedOn[failed.entry.ID] = true
	if len(job.failedOn) == 1 {
		return false
	}
	for id := range job.failedOn {
		if other := loop.workers[id]; other != nil && other.health.accuser == job.ID {
			other.health = health{}
		}
	}
	return failed.health.failures == 0
}
