// Package workload describes the jobs that the scheduler places: steps of tasks with their sizes and constraints.
package workload

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Priority orders jobs; 0 is the most urgent and may take accelerators from the others.
type Priority int

// Urgent is the priority whose jobs may take room from jobs of other priorities.
const Urgent Priority = 0

// Resources is an amount of room on a worker.
type Resources struct {
	Millicores   int                `json:"millicores,omitempty"`
	MemoryMiB    int                `json:"memory_mib,omitempty"`
	Accelerators fleet.Accelerators `json:"accelerators,omitempty"`
}

// Add returns the sum of both.
func (room Resources) Add(other Resources) Resources {
	return Resources{
		Millicores:   room.Millicores + other.Millicores,
		MemoryMiB:    room.MemoryMiB + other.MemoryMiB,
		Accelerators: room.Accelerators + other.Accelerators,
	}
}

// Sub returns what is left of room without other; it may be negative.
func (room Resources) Sub(other Resources) Resources { return room.Add(other.Times(-1)) }

// Times returns room n times over.
func (room Resources) Times(n int) Resources {
	return Resources{
		Millicores:   room.Millicores * n,
		MemoryMiB:    room.MemoryMiB * n,
		Accelerators: room.Accelerators * fleet.Accelerators(n),
	}
}

// Fits reports whether need fits into room.
func (room Resources) Fits(need Resources) bool { return room.Count(need) > 0 }

// Covers reports whether room is at least other in every kind.
func (room Resources) Covers(other Resources) bool { return room.Sub(other).NonNegative() }

// unbounded is the count of tasks that need nothing.
const unbounded = 1 << 20

// Count returns how many times need fits into room.
func (room Resources) Count(need Resources) int {
	return min(
		countOf(room.Millicores, need.Millicores),
		countOf(room.MemoryMiB, need.MemoryMiB),
		countOf(int(room.Accelerators), int(need.Accelerators)),
	)
}

func countOf(room, need int) int {
	if need <= 0 {
		return unbounded
	}
	return max(room, 0) / need
}

// NonNegative reports whether no amount is below zero.
func (room Resources) NonNegative() bool {
	return room.Millicores >= 0 && room.MemoryMiB >= 0 && room.Accelerators >= 0
}

// Step is a set of equal tasks of a job.
type Step struct {
	// Tasks is the number of tasks; at least 1.
	Tasks int       `json:"tasks"`
	Each  Resources `json:"each"`
	// Estimate is the declared run time of one task; it may be far off.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
	// Gang tasks run only all together and share one run number.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower by the platform's distance factor when they span racks.
	SameRack bool `json:"same_rack,omitempty"`
	// DataRack is where the data is; tasks elsewhere are slower by the platform's distance factor.
	DataRack fleet.RackID `json:"data_rack,omitempty"`
	// Label is one that the worker must have; empty is none.
	Label string `json:"label,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence of the step on one worker; 0 is no bound.
	MaxPerWorker int  `json:"max_per_worker,omitempty"`
	Checkpoints  bool `json:"checkpoints,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// BestEffortCPU marks tasks whose processor need is not counted against the capacity of a worker.
	BestEffortCPU bool `json:"fills,omitempty"`
	// TailTarget is what the tail of the response times of a lasting task must stay below; 0 is no target.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// MaxUnavailable is the number of lasting tasks that the scheduler may keep away at a time.
	MaxUnavailable int `json:"may_miss,omitempty"`
}

// Need is the room that one task takes from the capacity of its worker.
func (step Step) Need() Resources {
	need := step.Each
	if step.BestEffortCPU {
		need.Millicores = 0
	}
	return need
}

// Schedule makes a job run several times. The zero value is a job that runs once, at once.
type Schedule struct {
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// Count is the number of occurrences; 0 is a job without a schedule.
	Count int `json:"times,omitempty"`
}

// Occurrences returns how often the steps run; at least 1.
func (schedule Schedule) Occurrences() int { return max(schedule.Count, 1) }

// Due returns when an occurrence may start; zero is at once.
func (schedule Schedule) Due(occurrence int) time.Time {
	if schedule.Count == 0 {
		return time.Time{}
	}
	return schedule.First.Add(time.Duration(occurrence) * schedule.Interval)
}

// JobPolicy are what a job's profile said when the job was accepted. They hold on when operators remove the profile.
type JobPolicy struct {
	Service  fleet.ServiceName `json:"service"`
	Priority Priority          `json:"priority"`
	// MaxAttempts is how many failed runs of a task fail the job; 0 is no bound.
	MaxAttempts int `json:"attempts,omitempty"`
	// Stretch times the longest chain of work, plus Target, is the completion time that callers aim at.
	Stretch          float64       `json:"stretch,omitempty"`
	CompletionOffset time.Duration `json:"target,omitempty"`
	Advice           Advice        `json:"advice,omitzero"`
}

// Advice says that only an adviser knows which workers may run a profile's steps. The zero value is none.
type Advice struct {
	// DecisionTime and PerWorker are how long the adviser takes for a question, and more for each worker in it.
	DecisionTime  time.Duration `json:"decision,omitempty"`
	TimePerWorker time.Duration `json:"per_worker,omitempty"`
	// Validity is how long an answer holds.
	Validity time.Duration `json:"validity,omitempty"`
}

// Job is an accepted request to run steps of tasks. It does not change after its acceptance.
type Job struct {
	ID           fleet.JobID          `json:"job_id"`
	Organisation fleet.OrganisationID `json:"organisation,omitempty"`
	Profile      fleet.ProfileName    `json:"profile"`
	// Payload is passed to the tasks unread.
	Payload  string    `json:"payload"`
	Steps    []Step    `json:"steps"`
	Schedule Schedule  `json:"schedule,omitzero"`
	Policy   JobPolicy `json:"terms"`
	Accepted time.Time `json:"accepted"`
}

// CriticalPath returns the declared run time of the longest chain of steps that wait for one another.
func (job Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(job.Steps))
	for i, step := range job.Steps {
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Check returns the first reason why a job cannot be accepted.
func (job Job) Check() error {
	if len(job.Steps) == 0 {
		return errors.New("steps: a job needs at least one step")
	}
	for i, step := range job.Steps {
		if err := step.check(i); err != nil {
			return errors.Wrapf(err, "steps[%d]", i)
		}
	}
	if job.Schedule.Count < 0 || job.Schedule.Interval < 0 {
		return errors.New("the schedule is negative")
	}
	return nil
}

// maxTasks bounds the tasks of one step, so that a job's record stays below the store's value size.
const maxTasks = 4096

func (step Step) check(index int) error {
	switch {
	case step.Tasks < 1 || step.Tasks > maxTasks:
		return errors.Errorf("count: %d is not between 1 and %d", step.Tasks, maxTasks)
	case !step.Each.NonNegative():
		return errors.New("a size is negative")
	case step.MaxPerWorker < 0 || step.MaxUnavailable < 0:
		return errors.New("a bound is negative")
	}
	for _, earlier := range step.After {
		if earlier < 0 || earlier >= index {
			return errors.Errorf("after: %d is not an earlier step", earlier)
		}
	}
	return nil
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the id as job.occurrence.step.index.
func (id TaskID) String() string {
	return string(id.Job) + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step) + "." + strconv.Itoa(id.Index)
}

// StepID returns the step that the task belongs to.
func (id TaskID) StepID() StepID {
	return StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
}

// String returns the id as job.occurrence.step.
func (id StepID) String() string {
	return string(id.Job) + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step)
}

// ParseTaskID reads the form that String writes.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task id %q has not four parts", text)
	}
	var numbers [3]int
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return TaskID{}, errors.Errorf("task id %q: part %d is not a number", text, i+1)
		}
		numbers[i] = number
	}
	return TaskID{Job: fleet.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
