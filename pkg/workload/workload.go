// Package workload describes the jobs that the scheduler places: steps of tasks with their sizes and constraints.
package workload

import (
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Priority orders jobs. 0 is the most urgent priority; its jobs may preempt jobs of the other priorities.
type Priority int

// Urgent is the priority whose jobs may preempt jobs of other priorities.
const Urgent Priority = 0

// Resources is an amount of processor, memory and accelerator capacity.
type Resources struct {
	Millicores   int                `json:"millicores,omitempty"`
	MemoryMiB    int                `json:"memory_mib,omitempty"`
	Accelerators fleet.Accelerators `json:"accelerators,omitempty"`
}

// Add returns the sum of resources and other.
func (resources Resources) Add(other Resources) Resources {
	return Resources{
		Millicores:   resources.Millicores + other.Millicores,
		MemoryMiB:    resources.MemoryMiB + other.MemoryMiB,
		Accelerators: resources.Accelerators + other.Accelerators,
	}
}

// Sub returns resources minus other; amounts may be negative.
func (resources Resources) Sub(other Resources) Resources { return resources.Add(other.Times(-1)) }

// Times returns resources multiplied by n.
func (resources Resources) Times(n int) Resources {
	return Resources{
		Millicores:   resources.Millicores * n,
		MemoryMiB:    resources.MemoryMiB * n,
		Accelerators: resources.Accelerators * fleet.Accelerators(n),
	}
}

// Fits reports whether need fits into resources.
func (resources Resources) Fits(need Resources) bool { return resources.Count(need) > 0 }

// Covers reports whether resources is at least other in every kind of resource.
func (resources Resources) Covers(other Resources) bool { return resources.Sub(other).NonNegative() }

// unbounded is the result of Count if the need is zero.
const unbounded = 1 << 20

// Count returns how many times need fits into resources.
func (resources Resources) Count(need Resources) int {
	return min(
		countFits(resources.Millicores, need.Millicores),
		countFits(resources.MemoryMiB, need.MemoryMiB),
		countFits(int(resources.Accelerators), int(need.Accelerators)),
	)
}

// countFits returns how many times need fits into available, for one kind of resource.
func countFits(available, need int) int {
	if need <= 0 {
		return unbounded
	}
	return max(available, 0) / need
}

// NonNegative reports whether no amount is negative.
func (resources Resources) NonNegative() bool {
	return resources.Millicores >= 0 && resources.MemoryMiB >= 0 && resources.Accelerators >= 0
}

// Step is a set of equal tasks of a job.
type Step struct {
	// Tasks is the number of tasks; at least 1.
	Tasks int `json:"tasks"`
	// Each is the resources that one task needs.
	Each Resources `json:"each"`
	// Estimate is the declared run time of one task; it may be wrong by a large factor.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indices of earlier steps that must be done before this step starts.
	After []int `json:"after,omitempty"`
	// Gang marks tasks that must all run at the same time. The runs that start together have the same run number.
	Gang bool `json:"gang,omitempty"`
	// SameRack marks tasks that become slower by the platform's distance factor when they are placed in several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// DataRack is the rack that holds the data; tasks in other racks are slower by the platform's distance factor.
	DataRack fleet.RackID `json:"data_rack,omitempty"`
	// Label is a label that the worker must have; empty means that none is required.
	Label string `json:"label,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence of the step on one worker; 0 is no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Checkpoints marks tasks that save checkpoints and can resume from them.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// LongRunning marks tasks that run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// BestEffortCPU marks tasks whose processor need is not counted against the capacity of a worker. They use the
	// processor time that other tasks leave.
	BestEffortCPU bool `json:"fills,omitempty"`
	// TailTarget is the limit that the tail latency of a long-running task must stay below; 0 is no limit.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// MaxUnavailable is the number of long-running tasks that the scheduler may keep from running at the same time by its
	// own orders; 0 means that nothing is promised.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// Image names the software that the tasks run; empty if the job does not say. Tasks with the same image are expected to
	// load a worker in the same way; see pkg/interference.
	Image string `json:"image,omitempty"`
}

// Need returns the resources that one task takes from the capacity of its worker.
func (step Step) Need() Resources {
	need := step.Each
	if step.BestEffortCPU {
		need.Millicores = 0
	}
	return need
}

// Schedule makes a job run repeatedly. The zero value makes it run once, as soon as possible.
type Schedule struct {
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// Count is the number of occurrences; 0 means that the job has no schedule.
	Count int `json:"times,omitempty"`
}

// Occurrences returns the number of occurrences; at least 1.
func (schedule Schedule) Occurrences() int { return max(schedule.Count, 1) }

// Due returns the earliest start time of an occurrence; the zero time means immediately.
func (schedule Schedule) Due(occurrence int) time.Time {
	if schedule.Count == 0 {
		return time.Time{}
	}
	return schedule.First.Add(time.Duration(occurrence) * schedule.Interval)
}

// DueBy returns the number of occurrences that are due at a time: those with lower numbers.
func (schedule Schedule) DueBy(now time.Time) int {
	switch {
	case schedule.Count == 0:
		return 1
	case schedule.First.After(now):
		return 0
	case schedule.Interval <= 0:
		return schedule.Count
	}
	return int(min(int64(schedule.Count)-1, int64(now.Sub(schedule.First)/schedule.Interval))) + 1
}

// JobPolicy is the part of a profile that is copied into a job when the job is accepted. The present policy of the
// profile applies to the job as long as the profile exists, and the copy after operators have removed the profile.
type JobPolicy struct {
	Service  fleet.ServiceName `json:"service"`
	Priority Priority          `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which the job fails; 0 is no limit.
	MaxAttempts int `json:"attempts,omitempty"`
	// Stretch and CompletionOffset define the completion time that callers aim for, counted from acceptance: Stretch
	// multiplied by the critical path of the job, plus CompletionOffset.
	Stretch          float64       `json:"stretch,omitempty"`
	CompletionOffset time.Duration `json:"target,omitempty"`
	Advice           Advice        `json:"advice,omitzero"`
}

// maxObjective limits the completion time that callers aim for. Small multiples of it stay within time.Duration.
const maxObjective = 50 * 365 * 24 * time.Hour

// Objective returns the completion time that callers aim for, counted from acceptance, for a job with a critical path.
func (policy JobPolicy) Objective(criticalPath time.Duration) time.Duration {
	const limit = float64(maxObjective)
	// The conversion of the product keeps processors from computing the sum with another rounding.
	objective := float64(policy.Stretch*float64(criticalPath)) + float64(policy.CompletionOffset)
	if math.IsNaN(objective) {
		return 0
	}
	return time.Duration(min(max(objective, -limit), limit))
}

// Advice describes the adviser that selects the workers that may run the steps of a profile. The zero value means that
// the profile has no adviser.
type Advice struct {
	// DecisionTime is how long the adviser takes for a request, and TimePerWorker is how much longer it takes for each
	// worker in the request.
	DecisionTime  time.Duration `json:"decision,omitempty"`
	TimePerWorker time.Duration `json:"per_worker,omitempty"`
	// Validity is how long a response of the adviser is valid.
	Validity time.Duration `json:"validity,omitempty"`
}

// Job is an accepted request to run steps of tasks. It does not change after it has been accepted.
type Job struct {
	ID           fleet.JobID          `json:"job_id"`
	Organisation fleet.OrganisationID `json:"organisation,omitempty"`
	Profile      fleet.ProfileName    `json:"profile"`
	// Payload is passed to the tasks without being interpreted.
	Payload  string    `json:"payload"`
	Steps    []Step    `json:"steps"`
	Schedule Schedule  `json:"schedule,omitzero"`
	Policy   JobPolicy `json:"terms"`
	Accepted time.Time `json:"accepted"`
}

// CriticalPath returns the sum of the declared run times on the critical path, which is the longest sequence of steps
// that depend on one another.
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

// Check returns an error for the first invalid field of the job, or nil.
func (job Job) Check() error {
	if len(job.Steps) == 0 {
		return errors.New("steps: a job needs at least one step")
	}
	for i, step := range job.Steps {
		if err := step.check(i); err != nil {
			return errors.Wrapf(err, "steps[%d]", i)
		}
	}
	if err := job.Schedule.check(); err != nil {
		return errors.Wrap(err, "schedule")
	}
	return job.checkSize()
}

const (
	// maxJobTasks limits the tasks of all steps of a job.
	maxJobTasks = 1 << 16
	// maxOccurrences limits the occurrences of a schedule. One each minute for almost two years is below it.
	maxOccurrences = 1 << 20
	// maxJobTime limits the declared run times of all steps of a job together, and the time from the first to the last
	// occurrence. Sums of such times with points in time stay within time.Duration.
	maxJobTime = 100 * 365 * 24 * time.Hour
	// maxYear is the last year that a time in JSON can have.
	maxYear = 9999
)

// checkSize returns an error if the steps together have too many tasks or too long run times.
func (job Job) checkSize() error {
	tasks, estimates := 0, time.Duration(0)
	for _, step := range job.Steps {
		tasks += step.Tasks
		if tasks > maxJobTasks {
			return errors.Errorf("steps: there are %d tasks or more, above the limit of %d", tasks, maxJobTasks)
		}
		if step.Estimate < -maxJobTime || step.Estimate > maxJobTime {
			return errors.Errorf("estimate: %s is beyond %s", step.Estimate, maxJobTime)
		}
		estimates += step.Estimate.Abs()
		if estimates > maxJobTime {
			return errors.Errorf("estimate: the steps together take more than %s", maxJobTime)
		}
	}
	return nil
}

func (schedule Schedule) check() error {
	if schedule.Count < 0 || schedule.Interval < 0 {
		return errors.New("the number of occurrences or the interval is negative")
	}
	if schedule.Count > maxOccurrences {
		return errors.Errorf("there are %d occurrences, above the limit of %d", schedule.Count, maxOccurrences)
	}
	if schedule.Interval > maxJobTime/time.Duration(schedule.Occurrences()) {
		return errors.Errorf("the occurrences take more than %s", maxJobTime)
	}
	if year := schedule.First.Year(); year < 1 || year > maxYear {
		return errors.Errorf("the first occurrence is in the year %d", year)
	}
	return nil
}

// MaxStepTasks limits the tasks of one step, so that a job's record stays below the maximum value size of the store.
const MaxStepTasks = 4096

// maxAmount limits each resource amount of a task. It is far above what a worker has, and sums over the tasks of many
// jobs stay far below the largest integer.
const maxAmount = 1 << 32

// maxImageBytes limits the image of a step: a name of 255 bytes with a tag of 128 and a digest fit.
const maxImageBytes = 512

func (step Step) check(index int) error {
	switch {
	case step.Tasks < 1 || step.Tasks > MaxStepTasks:
		return errors.Errorf("count: %d is not between 1 and %d", step.Tasks, MaxStepTasks)
	case !step.Each.NonNegative():
		return errors.New("a resource amount of a task is negative")
	case step.Each.Millicores > maxAmount || step.Each.MemoryMiB > maxAmount || step.Each.Accelerators > maxAmount:
		return errors.Errorf("a resource amount of a task is above %d", maxAmount)
	case step.MaxPerWorker < 0 || step.MaxUnavailable < 0:
		return errors.New("the limit of tasks per worker or of unavailable tasks is negative")
	}
	if len(step.Image) > maxImageBytes {
		return errors.Errorf("image: has %d bytes, want at most %d", len(step.Image), maxImageBytes)
	}
	if strings.ContainsFunc(step.Image, unicode.IsControl) {
		return errors.Errorf("image: %.60q contains a control character", step.Image)
	}
	for _, earlier := range step.After {
		if earlier < 0 || earlier >= index {
			return errors.Errorf("after: %d is not an earlier step", earlier)
		}
	}
	return nil
}

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the id as job.occurrence.step.index.
func (id TaskID) String() string {
	return string(id.Job) + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step) +
		"." + strconv.Itoa(id.Index)
}

// StepID returns the id of the step that the task belongs to.
func (id TaskID) StepID() StepID {
	return StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
}

// String returns the id as job.occurrence.step.
func (id StepID) String() string {
	return string(id.Job) + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step)
}

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task id %q does not have four parts", text)
	}
	var numbers [3]int
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return TaskID{}, errors.Errorf("task id %q: part %d is not a number of at least 0", text, i+1)
		}
		numbers[i] = number
	}
	return TaskID{Job: fleet.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
