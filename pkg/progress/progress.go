// Package progress records the progress of a job's tasks: their runs, outcomes, failures and checkpoints, and the state
// of the job that callers see.
package progress

import "github.com/quetzalstall/quetzalstall/pkg/fleet"

// RunNumber numbers the runs of a task, from 1. Runs of a gang's members that start together have the same number.
type RunNumber int

// Incarnation distinguishes successive instances of a worker that have the same id.
type Incarnation int64

// State is the state of a job that callers see.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (state State) Terminal() bool {
	return state == Completed || state == Failed || state == Cancelled
}

// Valid reports whether the state is one of a job.
func (state State) Valid() bool {
	return state == Queued || state == Running || state.Terminal()
}

// Phase shows whether a task waits to be placed on a worker, is placed, or is done.
type Phase string

// The phases of a task. A placed task is already running on its worker or has yet to start there.
const (
	Waiting Phase = ""
	Placed  Phase = "placed"
	Done    Phase = "done"
)

// RunOutcome is the way in which a run ended.
type RunOutcome string

// The outcomes of a run. Only RunFailed counts towards the maximum of failed attempts.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the lease of the run's worker expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another member of the gang ended without being done.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the other members of the gang did not start in time.
	RunGangIncomplete RunOutcome = "alone"
	// RunLost means that the run cannot exist any more: its worker's incarnation ended, or the run never started.
	RunLost RunOutcome = "lost"
)

// Location identifies one incarnation of a worker.
type Location struct {
	Worker      fleet.WorkerID `json:"worker_id,omitempty"`
	Incarnation Incarnation    `json:"incarnation,omitempty"`
	// Address is where the worker took orders. A controller that no longer finds the worker's entry can ask there
	// whether the incarnation still exists.
	Address string `json:"address,omitempty"`
	// Term is the term in which a task was placed there, and PriorLeases the time on the incarnation's clock by which the
	// leases have ended that orders of earlier terms, or for an earlier incarnation, have granted. Both are 0 if an earlier
	// version has written the record, and PriorLeases if the time is not known.
	Term        TermToken          `json:"term,omitempty"`
	PriorLeases WorkerMilliseconds `json:"prior_leases_ms,omitempty"`
}

// TermToken identifies a term, which is a period in which one process makes the scheduling decisions. A later term has a
// higher one.
type TermToken int64

// WorkerMilliseconds is a time on a worker's own clock, which starts at 0 with each incarnation.
type WorkerMilliseconds int64

// Task records how far one task has come: its phase, latest run, worker, checkpoint and failures.
type Task struct {
	Phase Phase `json:"phase,omitempty"`
	// Run is the number of the latest run, 0 before the first. It never decreases.
	Run RunNumber `json:"run,omitempty"`
	// At is the worker that the task is placed on.
	At Location `json:"at,omitzero"`
	// Checkpoint is the checkpoint that the next run resumes from; if empty, the run starts from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures is the number of failed runs of the task. The failed runs of a gang are counted in its member 0.
	Failures int `json:"failures,omitempty"`
	// FailedRun is the number of the latest run that was counted in Failures. It ensures that a run of a gang counts
	// only once when several members fail.
	FailedRun RunNumber `json:"failed_run,omitempty"`
	// Crashes counts the workers that crashed under the task since a run of it last went on working.
	Crashes Crashes `json:"crashes,omitzero"`
}

// Step is the progress of one step of one occurrence.
type Step struct {
	// Tasks has the tasks of the step once one of them has been placed. Until then it is empty, so that the memory of a job
	// does not depend on the number of its tasks that have never run.
	Tasks []Task `json:"tasks"`
	// untouched is the number of tasks while Tasks is empty, and 0 otherwise.
	untouched int
}

// Len returns the number of tasks.
func (step Step) Len() int { return len(step.Tasks) + step.untouched }

// Count returns the number of tasks in a phase.
func (step Step) Count(phase Phase) int {
	if phase == Waiting && step.untouched > 0 {
		return step.untouched
	}
	count := 0
	for _, task := range step.Tasks {
		if task.Phase == phase {
			count++
		}
	}
	return count
}

// touch returns the tasks, after it has filled Tasks if that is empty.
func (step *Step) touch() []Task {
	if step.untouched > 0 {
		step.Tasks, step.untouched = make([]Task, step.untouched), 0
	}
	return step.Tasks
}

// AllDone reports whether every task is done.
func (step Step) AllDone() bool {
	if step.untouched > 0 {
		return false
	}
	for _, task := range step.Tasks {
		if task.Phase != Done {
			return false
		}
	}
	return true
}

// AnyPlaced reports whether any task is placed.
func (step Step) AnyPlaced() bool {
	for _, task := range step.Tasks {
		if task.Phase == Placed {
			return true
		}
	}
	return false
}
