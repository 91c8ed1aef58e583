package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// restartWithin is how long a task that lasts, and that has run before, waits in the order of its job's priority. After
// that it starts before all other jobs but guaranteed ones, so that no capacity is withheld from it. It is below the time
// after which a task that could run again counts as forgotten. From then on a task that lasts does not wait for workers near
// its data or outside the headroom either, whether it has run before or not: what is in its way may last too.
const restartWithin = 3 * time.Second

// crashPause is the pause after the end of a run of a task that lasts and that has crashed as many workers as a task may.
// It bounds how many workers the task crashes, since it is never given up.
const crashPause = 4 * time.Second

// paused reports whether a unit waits for the end of crashPause.
func (loop *dispatcher) paused(job *job, unit progress.Unit) bool {
	if len(job.lastEnded) == 0 {
		return false
	}
	key := candidate{job: job, unit: unit}.key()
	ended, known := job.lastEnded[key]
	return known && loop.clock()-ended < crashPause && job.record.Crashes(key).Exhausted()
}

// noteEnd records the end of a run of a task that lasts. A run that is not known to have begun does not replace one that
// was: its task has waited since the end of that one.
func (job *job) noteEnd(ended *run, now time.Duration) {
	if !ended.step().LongRunning {
		return
	}
	id := ended.task
	if _, known := job.lastEnded[id]; known && !ended.begun() {
		return
	}
	if job.lastEnded == nil {
		job.lastEnded = map[workload.TaskID]time.Duration{}
	}
	job.lastEnded[id] = now
}

// waitsTooLong reports whether the group is of tasks that last and has waited for longer than restartWithin since its job
// was accepted or due, or since the last run of one of its units ended.
func (planner *planner) waitsTooLong(group *group) bool {
	if !group.job.Steps[group.step].LongRunning {
		return false
	}
	first := group.job.record.Task(group.candidate(group.first).key())
	neverRun := first == nil || first.Run == 0
	return neverRun && time.Since(group.waitingSince) >= restartWithin || planner.restartOverdue(group)
}

// restartOverdue reports whether a unit of the group has run before, lasts, and has waited for longer than restartWithin
// since its last run ended.
func (planner *planner) restartOverdue(group *group) bool {
	if !group.job.Steps[group.step].LongRunning {
		return false
	}
	for unit := range planner.loop.units(*group) {
		key := group.candidate(unit).key()
		if task := group.job.record.Task(key); task == nil || task.Run == 0 {
			continue
		}
		ended, known := group.job.lastEnded[key]
		if !known {
			// The run ended in an earlier term.
			ended = planner.loop.started
		}
		if planner.now-ended >= restartWithin {
			return true
		}
	}
	return false
}
