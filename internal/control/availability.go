package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/evacuation"
)

// maxListingAge is the age of its latest listing from which on a run that lasts is not known to be at work. A worker is
// polled about once a second.
const maxListingAge = 3 * time.Second

// mayBeStopped reports whether the scheduler may stop the run: enough other tasks of its step are at work for what was
// promised of the step.
func (run *run) mayBeStopped(now time.Duration) bool {
	return !run.promised() || run.availability(runSet{run: true}, now).AllowsStop(1)
}

// runSet is a set of runs.
type runSet map[*run]bool

// promised reports whether something was promised of how many tasks of the run's step are at work.
func (run *run) promised() bool {
	step := run.step()
	return step.LongRunning && step.MaxUnavailable > 0
}

// occurrenceStep identifies one occurrence of a step of a job.
type occurrenceStep struct {
	job              *job
	occurrence, step int
}

func (run *run) occurrenceStep() occurrenceStep {
	return occurrenceStep{job: run.job, occurrence: run.task.Occurrence, step: run.task.Step}
}

// availability returns the availability of the run's step if the given runs of the step are stopped.
func (run *run) availability(stopped runSet, now time.Duration) evacuation.Availability {
	step := run.step()
	atWork := 0
	for other := range run.job.runs {
		if other.occurrenceStep() == run.occurrenceStep() && !stopped[other] && other.atWork(now) {
			atWork++
		}
	}
	return evacuation.Availability{Limit: step.MaxUnavailable, Away: step.Tasks - atWork - len(stopped)}
}

// atWork reports whether the run of a task that lasts serves its users, as far as is known.
func (run *run) atWork(now time.Duration) bool {
	return run.working && !run.stopping && now-run.listedAt < maxListingAge
}

// keepsAvailability reports whether all of the runs may be stopped together.
func keepsAvailability(runs []*run, now time.Duration) bool {
	byStep := map[occurrenceStep]runSet{}
	for _, stopped := range runs {
		step := stopped.occurrenceStep()
		if !stopped.promised() {
			continue
		}
		if byStep[step] == nil {
			byStep[step] = runSet{}
		}
		byStep[step][stopped] = true
	}
	for _, stopped := range runs {
		together := byStep[stopped.occurrenceStep()]
		if together != nil && !stopped.availability(together, now).AllowsStop(len(together)) {
			return false
		}
	}
	return true
}
