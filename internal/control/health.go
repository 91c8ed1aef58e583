package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// health determines whether a worker may run new tasks. It distinguishes a worker on which every task fails or is slow
// from a worker that ran a task which fails on every worker.
type health struct {
	// failures is the number of runs that have failed on the worker since its last successful run. Failures that are
	// attributed to a job are not counted.
	failures int
	// failingJob is the job to which all counted failures belong; empty if they belong to several jobs.
	failingJob fleet.JobID
	// pausedUntil is the time before which the worker gets no new tasks.
	pausedUntil time.Duration
}

const (
	// failurePause is the time for which a worker gets no new tasks after its first failed run. Each further failure
	// doubles it, up to maxFailurePause.
	failurePause    = 1500 * time.Millisecond
	maxFailurePause = 12 * time.Second
	// doublingFailures is the number of failures whose pauses are shorter than maxFailurePause.
	doublingFailures = 3
	// slowPause is the time for which a worker gets no new tasks after slow runs were observed on it.
	slowPause = 2 * time.Second
	// refusalPause is the time for which a worker gets no new tasks after it refused to start a run.
	refusalPause = time.Second
	// unhealthyPause is the time for which a worker gets no new tasks after it reported itself unhealthy.
	unhealthyPause = 6 * time.Second
)

func (health *health) available(now time.Duration) bool { return now >= health.pausedUntil }

// unreliable reports whether runs have failed on the worker since its last successful run.
func (health *health) unreliable() bool { return health.failures > 0 }

// pause keeps new tasks off the worker for at least the given duration.
func (health *health) pause(now, length time.Duration) {
	health.pausedUntil = max(health.pausedUntil, now+length)
}

// recordFailure counts a failed run and pauses the worker.
func (health *health) recordFailure(id fleet.JobID, now time.Duration) {
	if health.failures == 0 {
		health.failingJob = id
	} else if health.failingJob != id {
		health.failingJob = ""
	}
	length := maxFailurePause
	if health.failures < doublingFailures {
		length = failurePause << health.failures
	}
	health.failures++
	health.pause(now, min(length, maxFailurePause))
}

// updateHealth clears the health of a worker after a successful run, and attributes a failed run to the worker or to
// the job. If runs of a job fail on a second worker, the failures are attributed to the job, and the workers on which
// only runs of this job failed are available again at once.
func (loop *dispatcher) updateHealth(worker *worker, job *job, outcome progress.RunOutcome) {
	switch outcome {
	case progress.RunDone:
		worker.health = health{}
	case progress.RunFailed:
		if loop.attributeToJob(worker, job) {
			return
		}
		worker.health.recordFailure(job.ID, loop.clock())
		loop.Logger.Warn("worker paused after a failed run", "worker", string(worker.entry.ID), "job", string(job.ID),
			"failures", worker.health.failures, "pause_ms", (worker.health.pausedUntil - loop.clock()).Milliseconds())
	}
}

// attributeToJob records that a run of the job failed on a worker. If runs of the job have failed on other workers
// before, it clears the health of the workers on which no other job failed. It reports whether the new failure is
// attributed to the job. It is not if this is the first worker on which the job fails, or if other jobs have failed on
// the worker too.
func (loop *dispatcher) attributeToJob(failed *worker, job *job) bool {
	if job.failedOn == nil {
		job.failedOn = map[fleet.WorkerID]bool{}
	}
	job.failedOn[failed.entry.ID] = true
	if len(job.failedOn) == 1 {
		return false
	}
	for id := range job.failedOn {
		if other := loop.workers[id]; other != nil && other.health.failingJob == job.ID {
			other.health = health{}
		}
	}
	return failed.health.failures == 0
}
