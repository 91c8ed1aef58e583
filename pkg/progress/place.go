package progress

import "github.com/quetzalstall/quetzalstall/pkg/workload"

// Unit is a set of tasks that start together: a single task, or all tasks of a gang.
type Unit struct {
	Occurrence int
	Step       int
	// Tasks holds the indices of the tasks in the step.
	Tasks []int
}

// Units returns the units of a step that wait to be placed. It returns a gang only after the previous run of every
// member has ended.
func (record *Record) Units(job workload.Job, occurrence, step int) []Unit {
	var waiting []int
	begun := record.Occurrence(occurrence)
	if _, pruned := record.pruned(occurrence); pruned {
		return nil
	}
	for i := range job.Steps[step].Tasks {
		if begun == nil || begun.Steps[step].Tasks[i].Phase == Waiting {
			waiting = append(waiting, i)
		}
	}
	if job.Steps[step].Gang {
		if len(waiting) < job.Steps[step].Tasks {
			return nil
		}
		return []Unit{{Occurrence: occurrence, Step: step, Tasks: waiting}}
	}
	units := make([]Unit, len(waiting))
	for i := range waiting {
		units[i] = Unit{Occurrence: occurrence, Step: step, Tasks: waiting[i : i+1 : i+1]}
	}
	return units
}

// Place records that the tasks of a unit are about to start on the given workers, one for each task, and returns the
// run number that the tasks share.
func (record *Record) Place(job workload.Job, unit Unit, locations []Location) RunNumber {
	tasks := record.begin(job, unit.Occurrence).Steps[unit.Step].Tasks
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
	if record.State == Queued {
		record.State = Running
	}
	return run
}
