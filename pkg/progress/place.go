package progress

import (
	"iter"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Unit is a set of tasks that start together: a single task, or all tasks of a gang.
type Unit struct {
	Occurrence int
	Step       int
	// Tasks holds the indices of the tasks in the step. Units share the memory of Tasks, so it must not be changed.
	Tasks []int
}

// indices are the indices of the tasks of a step. The Tasks of all units are parts of it, because a plan goes through more
// units than the process has memory for.
var indices = func() []int {
	numbers := make([]int, workload.MaxStepTasks)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}()

// UnitOf returns the unit that a task belongs to.
func UnitOf(job workload.Job, id workload.TaskID) Unit {
	unit := Unit{Occurrence: id.Occurrence, Step: id.Step, Tasks: indices[id.Index : id.Index+1 : id.Index+1]}
	if step := job.Steps[id.Step]; step.Gang {
		unit.Tasks = indices[:step.Tasks:step.Tasks]
	}
	return unit
}

// Units yields the units of a step that wait to be placed when it comes to them. It yields a gang only after the previous
// run of every member has ended.
func (record *Record) Units(job workload.Job, occurrence, step int) iter.Seq[Unit] {
	return func(yield func(Unit) bool) {
		id := workload.TaskID{Occurrence: occurrence, Step: step}
		units := job.Steps[step].Tasks
		if job.Steps[step].Gang {
			units = 1
		}
		for id.Index = range units {
			if unit := UnitOf(job, id); record.Waits(unit) && !yield(unit) {
				return
			}
		}
	}
}

// Waits reports whether all tasks of a unit wait to be placed.
func (record *Record) Waits(unit Unit) bool {
	begun := record.Occurrence(unit.Occurrence)
	if begun == nil {
		_, pruned := record.pruned(unit.Occurrence)
		return !pruned
	}
	step := &begun.Steps[unit.Step]
	if step.untouched > 0 {
		return true
	}
	for _, index := range unit.Tasks {
		if step.Tasks[index].Phase != Waiting {
			return false
		}
	}
	return true
}

// Place records that the tasks of a unit are about to start on the given workers, one for each task, and returns the
// run number that the tasks share. The job goes on waiting: whether the workers start the tasks is not known yet.
func (record *Record) Place(job workload.Job, unit Unit, locations []Location) RunNumber {
	tasks := record.begin(job, unit.Occurrence).Steps[unit.Step].touch()
	run := RunNumber(0)
	for _, index := range unit.Tasks {
		run = max(run, tasks[index].Run)
	}
	run++
	for i, index := range unit.Tasks {
		tasks[index].Phase = Placed
		tasks[index].Run = run
		tasks[index].At = locations[i]
	}
	return run
}
