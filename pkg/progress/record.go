package progress

import (
	"iter"
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Record is the progress of a job in the form that is stored.
type Record struct {
	// WriteID is unique for each stored version. If the response of the store to a write is lost, reading the record
	// and comparing WriteID shows whether the write took effect.
	WriteID string `json:"write"`
	State   State  `json:"state"`
	// Begun is set once a task of the job is known to have begun on a worker. State is Queued until then.
	Begun bool `json:"begun,omitempty"`
	// Occurrences are those that have begun, by ascending number. A job without a schedule has one, whether it has begun
	// or not. Occurrences of a schedule that are not due have no entry, and those that are done may be pruned.
	Occurrences []Occurrence `json:"occurrences"`
	// Completed are the numbers of the occurrences that are done and pruned, ascending and apart from one another.
	Completed []Range `json:"completed,omitempty"`
}

// New returns the record of a job that has not run yet.
func New(job workload.Job) *Record {
	record := &Record{State: Queued, Occurrences: []Occurrence{}}
	if job.Schedule.Count == 0 {
		record.begin(job, 0)
	}
	return record
}

// Begin records that a task of the job is known to have begun on a worker, and reports whether that was new.
func (record *Record) Begin() bool {
	if record.Begun {
		return false
	}
	record.Begun = true
	if record.State == Queued {
		record.State = Running
	}
	return true
}

// Restore makes a stored record agree with the stored state of its job. The state Running may have been stored without the
// record, which then follows it. Earlier versions stored Running with the first placement: then the record has that state
// as well, but is not marked as begun, and the job is taken for a waiting one. They may also have taken the state of a job
// back that has begun.
func (record *Record) Restore(stored State) {
	switch {
	case record.State == Running && !record.Begun:
		record.State = Queued
	case record.State == Queued && (stored == Running || record.Begun):
		record.Begun, record.State = true, Running
	}
}

// Matches reports whether the record is one of the job: it has occurrences of the job's schedule with the same numbers of
// steps and tasks, a known state, and tasks that this package can have written.
func (record *Record) Matches(job workload.Job) bool {
	if !record.matchesSchedule(job.Schedule) || !record.State.Valid() {
		return false
	}
	for _, occurrence := range record.Occurrences {
		if len(occurrence.Steps) != len(job.Steps) {
			return false
		}
		for i := range occurrence.Steps {
			step := occurrence.Steps[i]
			if step.Len() != job.Steps[i].Tasks || slices.ContainsFunc(step.Tasks, Task.invalid) {
				return false
			}
		}
	}
	return true
}

// maxRunNumber limits the number of runs of a task, far above what a job can reach.
const maxRunNumber = 1 << 31

// invalid reports whether this package cannot have written the task.
func (task Task) invalid() bool {
	if task.Run < 0 || task.Run > maxRunNumber || task.Failures < 0 {
		return true
	}
	switch task.Phase {
	case Waiting, Done:
		return false
	case Placed:
		return task.Run == 0
	}
	return true
}

// Task returns the progress of a task, or nil if the record has no such task: its occurrence has not begun or is pruned,
// no task of its step has been placed, or there is none.
func (record *Record) Task(id workload.TaskID) *Task {
	occurrence := record.Occurrence(id.Occurrence)
	if occurrence == nil || id.Step >= len(occurrence.Steps) || id.Index >= len(occurrence.Steps[id.Step].Tasks) {
		return nil
	}
	return &occurrence.Steps[id.Step].Tasks[id.Index]
}

// Tasks returns the tasks of a step, or nil if its occurrence has not begun or is pruned.
func (record *Record) Tasks(occurrence, step int) []Task {
	if begun := record.Occurrence(occurrence); begun != nil {
		return begun.Steps[step].touch()
	}
	return nil
}

// Placed yields the placed tasks of a step.
func (record *Record) Placed(occurrence, step int) iter.Seq[Task] {
	return func(yield func(Task) bool) {
		begun := record.Occurrence(occurrence)
		if begun == nil {
			return
		}
		for _, task := range begun.Steps[step].Tasks {
			if task.Phase == Placed && !yield(task) {
				return
			}
		}
	}
}

// StepDone reports whether all tasks of a step are done.
func (record *Record) StepDone(occurrence, step int) bool {
	if begun := record.Occurrence(occurrence); begun != nil {
		return begun.Steps[step].AllDone()
	}
	_, pruned := record.pruned(occurrence)
	return pruned
}

// Ready reports whether all steps that a step depends on are done.
func (record *Record) Ready(job workload.Job, occurrence, step int) bool {
	for _, earlier := range job.Steps[step].After {
		if !record.StepDone(occurrence, earlier) {
			return false
		}
	}
	return true
}

// AnyPlaced reports whether a task of the job is placed.
func (record *Record) AnyPlaced() bool {
	for _, occurrence := range record.Occurrences {
		for _, step := range occurrence.Steps {
			if step.AnyPlaced() {
				return true
			}
		}
	}
	return false
}
