package domain

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// fifoJob is the state of a job in the fake scheduler.
type fifoJob struct {
	job       scheduler.Job
	attempt   fleet.Attempt
	members   []scheduler.Member
	placed    bool
	cancelled bool
	failedOn  map[fleet.WorkerID]bool
	notBefore time.Time
}

// fifoScheduler is a fake scheduler that places the first job that fits, on the first workers that fit.
type fifoScheduler struct {
	order     []fleet.JobKey
	jobs      map[fleet.JobKey]*fifoJob
	workers   []fleet.Worker
	foreign   map[fleet.WorkerID]fleet.Accelerators
	lost      map[fleet.WorkerID]bool
	busy      map[fleet.WorkerID]bool
	decisions []scheduler.Decision
	nextWake  time.Time
}

func newFIFO() scheduler.Scheduler {
	return &fifoScheduler{
		jobs:    make(map[fleet.JobKey]*fifoJob),
		foreign: make(map[fleet.WorkerID]fleet.Accelerators),
		lost:    make(map[fleet.WorkerID]bool),
		busy:    make(map[fleet.WorkerID]bool),
	}
}

func (core *fifoScheduler) Apply(now time.Time, event scheduler.Event) {
	switch event := event.(type) {
	case scheduler.FleetChanged:
		core.workers = event.Workers
	case scheduler.JobSubmitted:
		core.add(event.Job)
	case scheduler.GangRecovered:
		core.add(event.Job)
		entry := core.jobs[event.Job.Key]
		entry.placed, entry.attempt, entry.members = true, event.Attempt, event.Members
	case scheduler.JobCancelled:
		core.cancel(event.Key)
	case scheduler.PlaceFailed:
		for _, id := range event.Busy {
			core.busy[id] = true
		}
		core.requeue(event.Key, now.Add(100*time.Millisecond))
	case scheduler.GangEnded:
		core.gangEnded(now, event)
	case scheduler.WorkerLost:
		core.lost[event.Worker] = true
	case scheduler.WorkerFound:
		delete(core.lost, event.Worker)
		delete(core.busy, event.Worker)
		core.foreign[event.Worker] = event.Foreign
	}
}

func (core *fifoScheduler) add(job scheduler.Job) {
	core.jobs[job.Key] = &fifoJob{job: job, attempt: job.Attempts, failedOn: make(map[fleet.WorkerID]bool)}
	core.order = append(core.order, job.Key)
}

func (core *fifoScheduler) cancel(key fleet.JobKey) {
	entry := core.jobs[key]
	if entry == nil {
		return
	}
	entry.cancelled = true
	if !entry.placed {
		core.finish(key, scheduler.VerdictCancelled, "")
		return
	}
	core.decisions = append(core.decisions,
		scheduler.Evict{Key: key, Attempt: entry.attempt, Step: scheduler.EvictStop, Reason: "cancelled"})
}

func (core *fifoScheduler) requeue(key fleet.JobKey, notBefore time.Time) {
	entry := core.jobs[key]
	if entry == nil {
		return
	}
	entry.placed, entry.members, entry.notBefore = false, nil, notBefore
	if entry.cancelled {
		core.finish(key, scheduler.VerdictCancelled, "")
	}
}

func (core *fifoScheduler) gangEnded(now time.Time, event scheduler.GangEnded) {
	entry := core.jobs[event.Key]
	if entry == nil {
		return
	}
	if event.Result == scheduler.EndFailed {
		for _, id := range event.Failed {
			entry.failedOn[id] = true
		}
	}
	idempotent := entry.job.Profile.Idempotent
	switch {
	case event.Result == scheduler.EndCompleted:
		core.finish(event.Key, scheduler.VerdictCompleted, "")
	case entry.cancelled:
		core.finish(event.Key, scheduler.VerdictCancelled, "")
	case event.Result == scheduler.EndFailed && (!idempotent || len(entry.failedOn) >= 3):
		core.finish(event.Key, scheduler.VerdictFailed, fault.TargetFailed)
	case event.Result == scheduler.EndCheckpointed || idempotent:
		core.requeue(event.Key, now)
	default:
		core.finish(event.Key, scheduler.VerdictUnknown, fault.AnswerLost)
	}
}

func (core *fifoScheduler) finish(key fleet.JobKey, verdict scheduler.Verdict, kind fault.Kind) {
	delete(core.jobs, key)
	core.order = slices.DeleteFunc(core.order, func(other fleet.JobKey) bool { return other == key })
	core.decisions = append(core.decisions, scheduler.Finish{Key: key, Verdict: verdict, Kind: kind})
}

func (core *fifoScheduler) Decide(now time.Time) []scheduler.Decision {
	core.nextWake = time.Time{}
	for _, key := range core.order {
		core.tryPlace(now, core.jobs[key])
	}
	decided := core.decisions
	core.decisions = nil
	return decided
}

func (core *fifoScheduler) tryPlace(now time.Time, entry *fifoJob) {
	if entry.placed {
		return
	}
	if now.Before(entry.notBefore) {
		core.nextWake = entry.notBefore
		return
	}
	members := core.firstFit(entry)
	if members == nil {
		return
	}
	entry.placed, entry.members = true, members
	entry.attempt++
	core.decisions = append(core.decisions, scheduler.Place{Job: entry.job, Attempt: entry.attempt, Members: members})
}

// firstFit returns members on the first workers with enough free accelerators, except those on which the job failed.
func (core *fifoScheduler) firstFit(entry *fifoJob) []scheduler.Member {
	used := make(map[fleet.WorkerID]fleet.Accelerators)
	for _, other := range core.jobs {
		for _, member := range other.members {
			used[member.Worker] += member.Accelerators
		}
	}
	shape := *entry.job.Profile.Shape
	var members []scheduler.Member
	for _, machine := range core.workers {
		if core.lost[machine.ID] || core.busy[machine.ID] || entry.failedOn[machine.ID] || machine.Leaving {
			continue
		}
		free := machine.Accelerators - core.foreign[machine.ID] - used[machine.ID]
		for free >= shape.Accelerators && len(members) < shape.Members {
			free -= shape.Accelerators
			members = append(members, scheduler.Member{Worker: machine.ID, Accelerators: shape.Accelerators})
		}
	}
	if len(members) < shape.Members {
		return nil
	}
	return members
}

func (core *fifoScheduler) NextWake() time.Time { return core.nextWake }

func (core *fifoScheduler) Admit(_ time.Time, job scheduler.Job) *fault.Error {
	if len(core.jobs) >= job.Profile.Limits.MaxWaiting {
		return fault.New(fault.QueueFull, "queue is full")
	}
	return nil
}

func (core *fifoScheduler) Explain(fleet.JobKey) []string {
	return []string{"waits for free accelerators"}
}
func (core *fifoScheduler) ExplainOrganisation(fleet.OrganisationID) []string { return nil }
func (core *fifoScheduler) EvacuatedWork(time.Time) []scheduler.EvacuatedWork { return nil }
func (core *fifoScheduler) Dump() any {
	jobs := make(map[string]any)
	for key, entry := range core.jobs {
		jobs[key.String()] = fmt.Sprintf("placed %t, attempt %d, failed on %v",
			entry.placed, entry.attempt, entry.failedOn)
	}
	return map[string]any{"busy": core.busy, "lost": core.lost, "foreign": core.foreign, "jobs": jobs}
}
