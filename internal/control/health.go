package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workerhealth"
)

const (
	// refusalPause is the time for which a worker gets no new tasks after it refused to start a run.
	refusalPause = time.Second
	// unhealthyPause is the time for which a worker gets no new tasks after it reported itself unhealthy.
	unhealthyPause = 6 * time.Second
)

// updateHealth records what the end of a run says about its worker. A failed run is attributed to the worker or to the
// job.
func (loop *dispatcher) updateHealth(worker *worker, run *run, outcome progress.RunOutcome) {
	switch outcome {
	case progress.RunDone:
		run.recordSurvival(worker)
	case progress.RunFailed:
		if loop.attributeToJob(worker, run) {
			return
		}
		if !worker.health.RecordFailure(run.job.ID, run.startedAt, loop.clock()) {
			return
		}
		loop.Logger.Warn("worker paused after a failed run", "worker", string(worker.entry.ID),
			"job", string(run.job.ID), "failures", worker.health.Failures(),
			"pause_ms", (worker.health.PausedUntil() - loop.clock()).Milliseconds())
	}
}

// recordSurvivors records the listed runs that have worked long enough to show that their worker is sound.
func (loop *dispatcher) recordSurvivors(worker *worker, listed []*run, requested time.Duration) {
	for _, run := range listed {
		if run.startSent && !run.stopping && requested-run.begunBy() >= workerhealth.SurvivalTime {
			run.survived = true
			run.recordSurvival(worker)
		}
	}
}

// recordSurvival records that the run survived on a worker. It ignores a run of a former controller, whose start is not
// known.
func (run *run) recordSurvival(worker *worker) {
	if run.restored {
		return
	}
	worker.health.RecordSurvival(run.startedAt)
	run.job.recordSound(worker)
}

// recordSound records that a run of the job has survived or was done on a worker.
func (job *job) recordSound(worker *worker) {
	if job.soundOn == nil {
		job.soundOn = map[fleet.WorkerID]bool{}
	}
	job.soundOn[worker.entry.ID] = true
}

// attributeToJob records that a run of the job failed on a worker, and reports whether the failure is the fault of the
// job; see workerhealth.BlameJob. If it is, the workers on which no other job failed are available again. The failure
// counts against a worker on which other jobs have failed too.
func (loop *dispatcher) attributeToJob(failed *worker, run *run) bool {
	job := run.job
	if job.failedOn == nil {
		job.failedOn = map[fleet.WorkerID]bool{}
	}
	job.failedOn[failed.entry.ID] = true
	if !workerhealth.BlameJob(len(job.failedOn), loop.soundWorkers(run)) {
		return false
	}
	for id := range job.failedOn {
		if other := loop.workers[id]; other != nil {
			other.health.Forgive(job.ID)
		}
	}
	return !failed.health.Unreliable()
}

// soundWorkers counts the workers on which runs of the job survived, were done, or still work although they started no
// later than the failed run.
func (loop *dispatcher) soundWorkers(failed *run) int {
	job := failed.job
	sound := map[fleet.WorkerID]bool{}
	for id := range job.soundOn {
		sound[id] = !job.failedOn[id]
	}
	for other := range job.runs {
		if other != failed && other.startSent && !other.stopping && other.startedAt <= failed.startedAt {
			id := job.record.Task(other.task).At.Worker
			sound[id] = !job.failedOn[id]
		}
	}
	count := 0
	for _, isSound := range sound {
		if isSound {
			count++
		}
	}
	return count
}
