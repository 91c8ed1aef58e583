package evacuation

import "time"

// MinMoveRemaining is the expected remaining time from which on a run with a checkpoint is moved. Shorter runs end by
// themselves before the data centre is worked on, and a move would delay them.
const MinMoveRemaining = 30 * time.Second

// Run describes running work in an evacuated data centre: one run, or a whole gang.
type Run struct {
	// LongRunning work runs until its job is cancelled, so that it never leaves by itself.
	LongRunning bool
	// Checkpointed work resumes from the checkpoint that its worker has listed last.
	Checkpointed bool
	// Remaining is the expected time until the work ends; it has no meaning for LongRunning work.
	Remaining time.Duration
}

// Leaves reports whether the work has to be moved, because it would stay for long. Work without a checkpoint is never
// moved unless it is LongRunning: it would lose all that it has done.
func (run Run) Leaves() bool {
	return run.LongRunning || run.Checkpointed && run.Remaining >= MinMoveRemaining
}

// Availability is what has been promised for a step whose tasks last, and what is left of it.
type Availability struct {
	// Limit is the number of tasks of the step that may be away at the same time through orders of the scheduler; 0 means
	// that nothing was promised.
	Limit int
	// Away is the number of tasks of the step that are not at work, apart from those to be stopped now.
	Away int
}

// AllowsStop reports whether so many more tasks of the step may be stopped. The last of them is stopped while the others
// and those that are away are not at work.
func (availability Availability) AllowsStop(tasks int) bool {
	return availability.Limit == 0 || availability.Away+tasks <= availability.Limit
}
