package control

import "github.com/quetzalstall/quetzalstall/pkg/progress"

// endRun records that a run has certainly ended and frees its capacity. If the job has thereby failed, it stops the
// other runs of the job. If the run was lost or its lease expired, it stops the other members of its gang.
func (loop *dispatcher) endRun(run *run, outcome progress.RunOutcome, checkpoint, cause string) {
	job := run.job
	worker := loop.freeCapacity(run)
	if outcome == progress.RunDone {
		loop.learnFromEnd(run, worker)
	}
	if !job.record.End(job.Job, run.task, run.number, outcome, checkpoint, job.policy.MaxAttempts) {
		return
	}
	loop.recordEnd(run, worker, outcome, cause)
	switch {
	case job.record.State == progress.Failed:
		loop.stopJob(job)
	case outcome == progress.RunLost || outcome == progress.RunLeaseExpired:
		loop.stopGang(run)
	}
}

// endUnstarted records the end of a run that has certainly not begun on its worker and frees its capacity. It stops the
// other members of its gang.
func (loop *dispatcher) endUnstarted(run *run, cause string) {
	job := run.job
	worker := loop.freeCapacity(run)
	if !job.record.End(job.Job, run.task, run.number, progress.RunLost, "", job.policy.MaxAttempts) {
		return
	}
	loop.recordEnd(run, worker, progress.RunLost, cause)
	loop.stopGang(run)
}

// freeCapacity removes a run that has ended from its worker, which it returns; nil if the worker has been removed.
func (loop *dispatcher) freeCapacity(run *run) *worker {
	run.ended.Store(true)
	worker := run.worker(loop)
	if worker != nil && worker.remove(run) {
		worker.updateLink()
	}
	return worker
}

// recordEnd has the end of a run stored and logs it.
func (loop *dispatcher) recordEnd(run *run, worker *worker, outcome progress.RunOutcome, cause string) {
	loop.markDirty(run.job)
	run.job.noteEnd(run, loop.clock())
	loop.planNeeded = true
	fields := []any{"task", run.task.String(), "run", int(run.number), "how", string(outcome), "cause", cause,
		"ran_ms", (loop.clock() - run.startedAt).Milliseconds(), "state", string(run.job.record.State),
		"presence", run.presence().String(), "begun", run.begun()}
	if worker != nil {
		fields = append(fields, "worker", string(worker.entry.ID))
	}
	loop.Logger.Info("run ended", fields...)
}

// stopGang stops all members of the gang that a run belongs to, if any. It is called when the run was lost or is being
// stopped, because the gang cannot continue without it.
func (loop *dispatcher) stopGang(lost *run) {
	if !lost.step().Gang {
		return
	}
	for run := range lost.job.runs {
		if run.task.StepID() == lost.task.StepID() {
			loop.stopRun(run, "gang lost a member")
		}
	}
}
