package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Names of the baselines.
const (
	// BaselineFIFO starts jobs in order of submission, each on the first workers that fit. The job at the head of
	// the queue blocks the jobs behind it.
	BaselineFIFO = "fifo_first_fit"
	// BaselinePriority starts the jobs that fit, the most urgent first, and preempts less urgent work for the first job
	// that does not fit. It ignores guarantees.
	BaselinePriority = "strict_priority"
)

const (
	// baselineMaxFailures is the number of failed attempts after which a baseline ends an idempotent job as failed.
	baselineMaxFailures = 3
	// baselineCheckpointGrace is the time from a checkpoint request until a baseline stops the gang.
	baselineCheckpointGrace = 2 * time.Second
)

// Baselines returns the baseline schedulers to compare the core with.
func Baselines() []Candidate {
	return []Candidate{
		{Name: BaselineFIFO, New: func() scheduler.Scheduler { return newBaseline(false) }},
		{Name: BaselinePriority, New: func() scheduler.Scheduler { return newBaseline(true) }},
	}
}

// baselineJob is the state of one unfinished job of a baseline.
type baselineJob struct {
	job     scheduler.Job
	attempt fleet.Attempt
	// members is nil while the job waits.
	members []scheduler.Member
	started bool
	// checkpointed is true if the last attempt ended with a confirmed checkpoint.
	checkpointed bool
	// evictRequested is true once a checkpoint or a stop of the attempt was requested, stopRequested once a stop was
	// requested.
	evictRequested bool
	stopRequested  bool
	// graceEnd is the deadline of a checkpoint request; zero without a pending request.
	graceEnd        time.Time
	cancelRequested bool
	failures        int
}

// baseline is a simple scheduler without guarantees, fairness or quarantine.
type baseline struct {
	// byUrgency selects BaselinePriority; otherwise the scheduler is BaselineFIFO.
	byUrgency bool
	workers   []fleet.Worker
	// groups names, for each worker and adjacency, the group of adjacent workers that contains the worker.
	groups [][adjacencies]string
	// unusable holds the workers that are lost or refused a placement.
	unusable map[fleet.WorkerID]bool
	// foreign counts the accelerators held by leases that are unknown to the scheduler.
	foreign map[fleet.WorkerID]fleet.Accelerators
	free    map[fleet.WorkerID]fleet.Accelerators
	// waiting lists the waiting jobs, sorted by compare.
	waiting []*baselineJob
	placed  []*baselineJob
	jobs    map[fleet.JobKey]*baselineJob
	pending []scheduler.Decision
}

func newBaseline(byUrgency bool) *baseline {
	return &baseline{
		byUrgency: byUrgency,
		unusable:  map[fleet.WorkerID]bool{},
		foreign:   map[fleet.WorkerID]fleet.Accelerators{},
		free:      map[fleet.WorkerID]fleet.Accelerators{},
		jobs:      map[fleet.JobKey]*baselineJob{},
	}
}

// Apply updates the state by one event.
func (baseline *baseline) Apply(_ time.Time, event scheduler.Event) {
	switch event := event.(type) {
	case scheduler.FleetChanged:
		baseline.workers = event.Workers
		baseline.groups = nil
		for _, worker := range event.Workers {
			baseline.groups = append(baseline.groups, adjacencyGroups(worker))
		}
		baseline.recomputeFree()
	case scheduler.JobSubmitted:
		baseline.submit(event.Job)
	case scheduler.JobCancelled:
		baseline.cancel(event.Key)
	case scheduler.GangStarted:
		if job, ok := baseline.jobs[event.Key]; ok {
			job.started, job.checkpointed = true, false
		}
	case scheduler.PlaceFailed:
		for _, worker := range event.Busy {
			baseline.unusable[worker] = true
		}
		baseline.requeue(event.Key)
	case scheduler.GangEnded:
		baseline.gangEnded(event)
	case scheduler.WorkerLost:
		baseline.unusable[event.Worker] = true
	case scheduler.WorkerFound:
		delete(baseline.unusable, event.Worker)
		baseline.foreign[event.Worker] = event.Foreign
		baseline.recomputeFree()
	}
}

// recomputeFree computes the free accelerators from the workers, the foreign leases and the placed jobs.
func (baseline *baseline) recomputeFree() {
	clear(baseline.free)
	for _, worker := range baseline.workers {
		if !worker.Leaving {
			baseline.free[worker.ID] = worker.Accelerators - baseline.foreign[worker.ID]
		}
	}
	for _, job := range baseline.placed {
		for _, member := range job.members {
			baseline.free[member.Worker] -= member.Accelerators
		}
	}
}

func (baseline *baseline) submit(job scheduler.Job) {
	empty := map[fleet.WorkerID]fleet.Accelerators{}
	for _, worker := range baseline.workers {
		empty[worker.ID] = worker.Accelerators
	}
	if baseline.fit(*job.Profile.Shape, empty) == nil {
		baseline.pending = append(baseline.pending, scheduler.Finish{
			Key: job.Key, Verdict: scheduler.VerdictNotRun, Kind: fault.Infeasible,
			Reason: "no group of adjacent workers is large enough",
		})
		return
	}
	entry := &baselineJob{job: job, attempt: job.Attempts}
	baseline.jobs[job.Key] = entry
	baseline.enqueue(entry)
}

func (baseline *baseline) enqueue(entry *baselineJob) {
	position, _ := slices.BinarySearchFunc(baseline.waiting, entry, baseline.compare)
	baseline.waiting = slices.Insert(baseline.waiting, position, entry)
}

func (baseline *baseline) compare(a, b *baselineJob) int {
	byTime := cmp.Or(a.job.Submitted.Compare(b.job.Submitted), cmp.Compare(a.job.Key.String(), b.job.Key.String()))
	if !baseline.byUrgency {
		return byTime
	}
	return cmp.Or(cmp.Compare(b.job.Profile.Urgency, a.job.Profile.Urgency), byTime)
}

func (baseline *baseline) cancel(key fleet.JobKey) {
	entry, ok := baseline.jobs[key]
	if !ok {
		return
	}
	entry.cancelRequested = true
	if entry.members == nil {
		baseline.waiting = removeJob(baseline.waiting, entry)
		baseline.finish(entry, scheduler.VerdictCancelled, "cancelled while waiting")
		return
	}
	baseline.stop(entry, "cancelled")
}

func (baseline *baseline) stop(entry *baselineJob, reason string) {
	if entry.stopRequested {
		return
	}
	entry.evictRequested, entry.stopRequested = true, true
	baseline.pending = append(baseline.pending, scheduler.Evict{
		Key: entry.job.Key, Attempt: entry.attempt, Step: scheduler.EvictStop, Reason: reason,
	})
}

func (baseline *baseline) finish(entry *baselineJob, verdict scheduler.Verdict, reason string) {
	delete(baseline.jobs, entry.job.Key)
	baseline.pending = append(baseline.pending, scheduler.Finish{Key: entry.job.Key, Verdict: verdict, Reason: reason})
}

func removeJob(entries []*baselineJob, entry *baselineJob) []*baselineJob {
	return slices.DeleteFunc(entries, func(other *baselineJob) bool { return other == entry })
}

func (baseline *baseline) release(entry *baselineJob) {
	baseline.placed = removeJob(baseline.placed, entry)
	for _, member := range entry.members {
		baseline.free[member.Worker] += member.Accelerators
	}
	entry.members, entry.evictRequested, entry.stopRequested, entry.graceEnd = nil, false, false, time.Time{}
}

// requeue puts a job whose attempt ended back into the queue, or finishes it if its cancellation was requested.
func (baseline *baseline) requeue(key fleet.JobKey) {
	entry, ok := baseline.jobs[key]
	if !ok {
		return
	}
	baseline.release(entry)
	if entry.cancelRequested {
		baseline.finish(entry, scheduler.VerdictCancelled, "cancelled before the start")
		return
	}
	baseline.enqueue(entry)
}

// gangEnded finishes a job whose attempt ended, or requeues it if the job may run again.
func (baseline *baseline) gangEnded(event scheduler.GangEnded) {
	entry, ok := baseline.jobs[event.Key]
	if !ok {
		return
	}
	entry.checkpointed = event.Result == scheduler.EndCheckpointed
	if event.Result == scheduler.EndFailed {
		entry.failures++
	}
	idempotent := entry.job.Profile.Idempotent
	switch {
	case event.Result == scheduler.EndCompleted:
		baseline.release(entry)
		baseline.finish(entry, scheduler.VerdictCompleted, "")
	case entry.cancelRequested:
		baseline.release(entry)
		baseline.finish(entry, scheduler.VerdictCancelled, "stopped")
	case event.Result == scheduler.EndFailed && (!idempotent || entry.failures >= baselineMaxFailures):
		baseline.release(entry)
		baseline.finish(entry, scheduler.VerdictFailed, "failed repeatedly")
	case idempotent || entry.checkpointed:
		baseline.requeue(event.Key)
	default:
		baseline.release(entry)
		baseline.finish(entry, scheduler.VerdictUnknown, "lost")
	}
}
