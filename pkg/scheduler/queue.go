package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// class is what decides whether a job of an organisation finds a place.
type class struct {
	shape       fleet.Shape
	preemptible bool
	urgency     profile.Urgency
	checkpoint  bool
	// only is set for a job that avoids workers on which it failed.
	only fleet.JobID
}

// groupKey is what jobs have in common that are ordered by submission alone.
type groupKey struct {
	class   class
	profile fleet.ProfileName
	caller  fleet.CallerID
	level   int
}

// group is a queue of jobs that are equal except for their time of submission.
type group struct {
	key    groupKey
	caller *caller
	jobs   entryHeap
}

// queue holds the waiting jobs of one organisation.
type queue struct {
	groups  map[groupKey]*group
	ordered []*group
	waiting int
	// fresh counts the jobs by profile that have not run.
	fresh map[fleet.ProfileName]int
	// freshTotal is the sum of fresh.
	freshTotal int
}

func (queue *queue) init() {
	queue.groups = map[groupKey]*group{}
	queue.fresh = map[fleet.ProfileName]int{}
}

// classOf returns the class of a job.
func classOf(job *entry) class {
	result := class{
		shape:       job.shape(),
		preemptible: job.preemptible,
		urgency:     job.job.Profile.Urgency,
		checkpoint:  job.job.Profile.Checkpoint,
	}
	if len(job.failedOn) > 0 {
		result.only = job.job.Key.Job
	}
	return result
}

// enqueue makes a job wait.
func (core *Core) enqueue(now time.Time, job *entry) {
	job.phase = phaseWaiting
	job.waiting = now
	job.lenient = false
	queue := &job.organisation.queue
	key := groupKey{classOf(job), job.job.Profile.Name, job.job.Caller, core.level(now, job)}
	home, ok := queue.groups[key]
	if !ok {
		home = &group{key: key, caller: job.caller}
		queue.groups[key] = home
		queue.ordered = append(queue.ordered, home)
	}
	job.group = home
	heap.Push(&home.jobs, job)
	queue.waiting++
	if !job.ran {
		queue.fresh[key.profile]++
		queue.freshTotal++
	}
	core.waiting++
	core.steps++
}

// dequeue takes a waiting job out of its queue.
func (core *Core) dequeue(job *entry) {
	core.unreserve(job)
	queue := &job.organisation.queue
	home := job.group
	heap.Remove(&home.jobs, job.position)
	if home.jobs.Len() == 0 {
		delete(queue.groups, home.key)
	}
	job.group = nil
	queue.waiting--
	if !job.ran {
		queue.fresh[home.key.profile]--
		if queue.fresh[home.key.profile] == 0 {
			delete(queue.fresh, home.key.profile)
		}
		queue.freshTotal--
	}
	core.waiting--
	core.steps++
}

// sweep forgets empty groups. Cancellations leave this to the next decision, so that their cost does not
// depend on the number of groups.
func (queue *queue) sweep() {
	queue.ordered = slices.DeleteFunc(queue.ordered, func(group *group) bool { return group.jobs.Len() == 0 })
}

// head returns the job of the group that is next.
func (group *group) head() *entry { return group.jobs[0] }

// before orders the groups of one organisation: urgency, then the level by attained service, then the
// caller's attained service, then submission.
func before(left, right *group) bool {
	if order := cmp.Compare(right.key.class.urgency, left.key.class.urgency); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(left.key.level, right.key.level); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(left.caller.priority, right.caller.priority); order != 0 {
		return order < 0
	}
	return earlier(left.head(), right.head())
}

// earlier orders jobs by submission; the key makes the order total.
func earlier(left, right *entry) bool {
	if !left.job.Submitted.Equal(right.job.Submitted) {
		return left.job.Submitted.Before(right.job.Submitted)
	}
	return left.job.Key.Job < right.job.Key.Job
}

// entryHeap is a heap of jobs by submission.
type entryHeap []*entry

// Len returns the number of jobs.
func (jobs entryHeap) Len() int { return len(jobs) }

// Less orders two jobs by submission.
func (jobs entryHeap) Less(i, j int) bool { return earlier(jobs[i], jobs[j]) }

// Swap exchanges two jobs.
func (jobs entryHeap) Swap(i, j int) {
	jobs[i], jobs[j] = jobs[j], jobs[i]
	jobs[i].position, jobs[j].position = i, j
}

// Push adds a job at the end.
func (jobs *entryHeap) Push(job any) {
	added := job.(*entry)
	added.position = len(*jobs)
	*jobs = append(*jobs, added)
}

// Pop removes the job at the end.
func (jobs *entryHeap) Pop() any {
	last := len(*jobs) - 1
	removed := (*jobs)[last]
	(*jobs)[last] = nil
	*jobs = (*jobs)[:last]
	removed.position = -1
	return removed
}
