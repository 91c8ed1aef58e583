package control

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// A job is shown as running, and is no longer counted as pending, once a worker has shown that it began one of its tasks:
// by its answer to a start, or by a listing of a run or of the end of a run. The decision to start a task shows nothing: the
// start may be lost, refused or never sent.

// noteBegun records that a worker has begun a task of a job, by the given evidence, and has the state of the job stored.
func (loop *dispatcher) noteBegun(job *job, task workload.TaskID, evidence string) {
	if !job.record.Begin() {
		return
	}
	loop.Logger.Info("job begun", "job", string(job.ID), "task", task.String(), "evidence", evidence,
		"age_ms", time.Since(job.Accepted).Milliseconds())
	loop.publish(job)
}

// publish has the state running of a job stored, unless it is or an ended state is.
func (loop *dispatcher) publish(job *job) {
	if loop.jobs[job.ID] == job && job.awaitsPublication() {
		loop.unpublished[job] = true
	}
}

// awaitsPublication reports whether the stored state of the job lags behind its record, which says that it is running.
func (job *job) awaitsPublication() bool {
	stored := job.status.State
	return job.record.State == progress.Running && stored != progress.Running && !stored.Terminal()
}

// countJobsNotBegun updates the gauge of the jobs that have placed runs although no task of them is known to have begun.
func (loop *dispatcher) countJobsNotBegun() {
	count := int64(0)
	for _, job := range loop.openJobs {
		if len(job.runs) > 0 && !job.record.Begun {
			count++
		}
	}
	gometrics.GetOrRegisterGauge("placed_jobs_not_begun", loop.Metrics).Update(count)
}
