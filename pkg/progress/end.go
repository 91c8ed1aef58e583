package progress

import "github.com/quetzalstall/quetzalstall/pkg/workload"

// End records the end of a run and reports whether the record changed. It ignores the end unless the run is the one
// that its task is placed for at present, because the work of an earlier run does not count here; see EndAbandoned. A
// job fails when a task reaches maxAttempts failed runs; 0 is no limit.
func (record *Record) End(
	job workload.Job, id workload.TaskID, run RunNumber, outcome RunOutcome, checkpoint string, maxAttempts int,
) bool {
	task := record.Task(id)
	if task == nil || task.Phase != Placed || task.Run != run {
		return false
	}
	step := job.Steps[id.Step]
	if checkpoint != "" {
		record.storeCheckpoint(step, id, checkpoint)
	}
	switch {
	case outcome == RunDone && !step.LongRunning:
		record.markDone(step, id)
	default:
		task.Phase, task.At = Waiting, Location{}
		if outcome == RunFailed && !step.LongRunning {
			record.countFailure(step, id, run, maxAttempts)
		}
	}
	record.completeIfDone(job)
	return true
}

// EndAbandoned records the end of a run whose task was already set back to waiting, for example because the run's
// worker was unreachable. It reports whether the record changed. The end counts only if the task has not been placed
// again. Only RunDone and RunFailed are recorded: a task that was done after all does not have to run again.
func (record *Record) EndAbandoned(
	job workload.Job, id workload.TaskID, run RunNumber, outcome RunOutcome, maxAttempts int,
) bool {
	task := record.Task(id)
	if task == nil || task.Phase != Waiting || task.Run != run || outcome != RunDone && outcome != RunFailed {
		return false
	}
	step := job.Steps[id.Step]
	if step.LongRunning {
		return false
	}
	if outcome == RunDone {
		record.markDone(step, id)
	} else {
		record.countFailure(step, id, run, maxAttempts)
	}
	record.completeIfDone(job)
	return true
}

// Superseded reports whether a later run of the task has been placed.
func (record *Record) Superseded(id workload.TaskID, run RunNumber) bool {
	task := record.Task(id)
	return task != nil && task.Run > run
}

// markDone marks a task as done. When one member of a gang is done, all members are marked as done.
func (record *Record) markDone(step workload.Step, id workload.TaskID) {
	tasks := record.Tasks(id.Occurrence, id.Step)
	if !step.Gang {
		tasks[id.Index] = Task{Phase: Done, Run: tasks[id.Index].Run}
		return
	}
	for i := range tasks {
		tasks[i] = Task{Phase: Done, Run: tasks[i].Run}
	}
}

// countFailure counts a failed run, once for each run of a gang, and fails the job when maxAttempts is reached.
func (record *Record) countFailure(step workload.Step, id workload.TaskID, run RunNumber, maxAttempts int) {
	tasks := record.Tasks(id.Occurrence, id.Step)
	counter := &tasks[id.Index]
	if step.Gang {
		counter = &tasks[0]
	}
	if run <= counter.FailedRun {
		return
	}
	counter.FailedRun = run
	counter.Failures++
	if maxAttempts > 0 && counter.Failures >= maxAttempts && !record.State.Terminal() {
		record.State = Failed
	}
}

// completeIfDone completes the job when every task is done.
func (record *Record) completeIfDone(job workload.Job) {
	if !record.State.Terminal() && record.allDone(job) {
		record.State = Completed
	}
}
