package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// class identifies jobs of one organisation that find a place under the same conditions. When one of them finds none,
// the others are not tried in the same pass.
type class struct {
	shape       fleet.Shape
	preemptible bool
	urgency     profile.Urgency
	checkpoint  bool
	// avoidingJob is the id of a job that avoids workers on which it failed; empty for other jobs.
	avoidingJob fleet.JobID
}

// groupKey identifies a group of waiting jobs of one organisation. Within a group, jobs are ordered by submission
// alone.
type groupKey struct {
	class   class
	profile fleet.ProfileName
	caller  fleet.CallerID
	level   int
}

// group is a queue of the jobs with one groupKey, in the order of their submission.
type group struct {
	key    groupKey
	caller *caller
	jobs   jobHeap
}

// queue holds the waiting jobs of one organisation.
type queue struct {
	groups  map[groupKey]*group
	ordered []*group
	waiting int
	// notStarted counts, by profile, the waiting jobs without any attempt that may have started.
	notStarted map[fleet.ProfileName]int
	// notStartedTotal is the sum of notStarted.
	notStartedTotal int
}

func (queue *queue) init() {
	queue.groups = map[groupKey]*group{}
	queue.notStarted = map[fleet.ProfileName]int{}
}

// classOf returns the class of a job.
func classOf(job *jobState) class {
	result := class{
		shape:       job.shape(),
		preemptible: job.preemptible,
		urgency:     job.spec.Profile.Urgency,
		checkpoint:  job.spec.Profile.Checkpoint,
	}
	if len(job.failedOn) > 0 {
		result.avoidingJob = job.spec.Key.Job
	}
	return result
}

// enqueue adds a job to the queue of its organisation.
func (core *Core) enqueue(now time.Time, job *jobState) {
	job.phase = phaseWaiting
	job.queuedAt = now
	job.mayUseFailedOn = false
	queue := &job.organisation.queue
	key := groupKey{classOf(job), job.spec.Profile.Name, job.spec.Caller, core.level(now, job)}
	jobGroup, ok := queue.groups[key]
	if !ok {
		jobGroup = &group{key: key, caller: job.caller}
		queue.groups[key] = jobGroup
		queue.ordered = append(queue.ordered, jobGroup)
	}
	job.group = jobGroup
	heap.Push(&jobGroup.jobs, job)
	queue.waiting++
	if !job.mayHaveStarted {
		queue.notStarted[key.profile]++
		queue.notStartedTotal++
	}
	core.waitingJobs++
	core.steps++
}

// dequeue removes a waiting job from its queue and ends the reservation of workers for it, if there is one.
func (core *Core) dequeue(job *jobState) {
	core.unreserve(job)
	queue := &job.organisation.queue
	jobGroup := job.group
	heap.Remove(&jobGroup.jobs, job.heapIndex)
	if jobGroup.jobs.Len() == 0 {
		delete(queue.groups, jobGroup.key)
	}
	job.group = nil
	queue.waiting--
	if !job.mayHaveStarted {
		queue.notStarted[jobGroup.key.profile]--
		if queue.notStarted[jobGroup.key.profile] == 0 {
			delete(queue.notStarted, jobGroup.key.profile)
		}
		queue.notStartedTotal--
	}
	core.waitingJobs--
	core.steps++
}

// removeEmptyGroups removes the groups without jobs. Decisions call it instead of cancellations, so that the cost of a
// cancellation does not depend on the number of groups.
func (queue *queue) removeEmptyGroups() {
	queue.ordered = slices.DeleteFunc(queue.ordered, func(group *group) bool { return group.jobs.Len() == 0 })
}

// head returns the job of the group that was submitted first.
func (group *group) head() *jobState { return group.jobs[0] }

// groupBefore reports whether the left of two groups of one organisation goes before the right one: by urgency, then by
// the priority level of their jobs, then by the callers' attained service, then by the submission of their first jobs.
func groupBefore(left, right *group) bool {
	if order := cmp.Compare(right.key.class.urgency, left.key.class.urgency); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(left.key.level, right.key.level); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(left.caller.priority, right.caller.priority); order != 0 {
		return order < 0
	}
	return submittedBefore(left.head(), right.head())
}

// submittedBefore reports whether the left job was submitted before the right one. Jobs submitted at the same time are
// ordered by id, so that the order is total.
func submittedBefore(left, right *jobState) bool {
	if !left.spec.Submitted.Equal(right.spec.Submitted) {
		return left.spec.Submitted.Before(right.spec.Submitted)
	}
	return left.spec.Key.Job < right.spec.Key.Job
}

// jobHeap is a heap of jobs by submission.
type jobHeap []*jobState

// Len returns the number of jobs.
func (jobs jobHeap) Len() int { return len(jobs) }

// Less reports whether job i was submitted before job j.
func (jobs jobHeap) Less(i, j int) bool { return submittedBefore(jobs[i], jobs[j]) }

// Swap exchanges two jobs.
func (jobs jobHeap) Swap(i, j int) {
	jobs[i], jobs[j] = jobs[j], jobs[i]
	jobs[i].heapIndex, jobs[j].heapIndex = i, j
}

// Push adds a job at the end.
func (jobs *jobHeap) Push(job any) {
	added := job.(*jobState)
	added.heapIndex = len(*jobs)
	*jobs = append(*jobs, added)
}

// Pop removes the job at the end.
func (jobs *jobHeap) Pop() any {
	last := len(*jobs) - 1
	removed := (*jobs)[last]
	(*jobs)[last] = nil
	*jobs = (*jobs)[:last]
	removed.heapIndex = -1
	return removed
}
