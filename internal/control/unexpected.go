package control

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// runID identifies a run of a task.
type runID struct {
	task   workload.TaskID
	number progress.RunNumber
}

// A worker may list runs that are not placed there: runs that an earlier controller started, or that were taken for
// lost. They are stopped, and until a listing lacks them nothing else starts on the worker, whose free capacity is
// unknown, and no other run of their tasks starts anywhere.

// stopUnexpected stops a run that a listing requested at the given local time contains although the run was not placed
// on the worker, or has been replaced by a later run of its task.
func (loop *dispatcher) stopUnexpected(worker *worker, status RunStatus, requested time.Duration) {
	id := runID{status.Task, status.Run}
	known := worker.unexpected[id]
	if known == nil {
		loop.Logger.Warn("unexpected run on a worker; stopping it",
			"task", status.Task.String(), "run", int(status.Run),
			"worker", string(worker.entry.ID))
		known = &run{task: status.Task, number: status.Run, link: worker.link, stopping: true}
		worker.unexpected[id] = known
		if job := loop.jobs[status.Task.Job]; job != nil {
			loop.noteBegun(job, status.Task, "listed")
		}
		loop.unexpectedRuns[status.Task]++
	}
	loop.ensureStop(known, requested)
}

// removeUnexpected forgets the unexpected runs of a worker that are not in a listing.
func (loop *dispatcher) removeUnexpected(worker *worker, listing Listing) {
	if len(worker.unexpected) == 0 {
		return
	}
	listed := make(map[runID]bool, len(listing.Running))
	for _, status := range listing.Running {
		listed[runID{status.Task, status.Run}] = true
	}
	for id := range worker.unexpected {
		if !listed[id] {
			loop.forgetUnexpected(worker, id)
		}
	}
}

// forgetAllUnexpected forgets the unexpected runs of a worker on which no run can be left.
func (loop *dispatcher) forgetAllUnexpected(worker *worker) {
	for id := range worker.unexpected {
		loop.forgetUnexpected(worker, id)
	}
}

func (loop *dispatcher) forgetUnexpected(worker *worker, id runID) {
	worker.unexpected[id].ended.Store(true)
	delete(worker.unexpected, id)
	if loop.unexpectedRuns[id.task]--; loop.unexpectedRuns[id.task] == 0 {
		delete(loop.unexpectedRuns, id.task)
	}
	loop.planNeeded = true
	loop.Logger.Info("unexpected run has ended", "task", id.task.String(), "run", int(id.number),
		"worker", string(worker.entry.ID))
}

// runsUnexpectedly reports whether a task of a unit has an unexpected run.
func (loop *dispatcher) runsUnexpectedly(job *job, unit progress.Unit) bool {
	if len(loop.unexpectedRuns) == 0 {
		return false
	}
	id := workload.TaskID{Job: job.ID, Occurrence: unit.Occurrence, Step: unit.Step}
	return slices.ContainsFunc(unit.Tasks, func(index int) bool {
		id.Index = index
		return loop.unexpectedRuns[id] > 0
	})
}
