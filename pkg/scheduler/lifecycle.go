package scheduler

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// finish ends a job that holds nothing and forgets it.
func (core *Core) finish(job *entry, verdict Verdict, kind fault.Kind, reason string) {
	delete(core.jobs, job.job.Key)
	core.decide(Finish{Key: job.job.Key, Verdict: verdict, Kind: kind, Reason: reason})
	if verdict == VerdictNotRun {
		core.history.refused(job.job.Key, reason)
	}
}

// jobSubmitted queues a job, or ends it when it cannot run or a queue is full.
func (core *Core) jobSubmitted(now time.Time, job Job) {
	if _, known := core.jobs[job.Key]; known {
		return
	}
	if refusal := core.refusal(job); refusal != nil && (job.Attempts == 0 || refusal.Kind != fault.QueueFull) {
		verdict := VerdictNotRun
		if job.Attempts > 0 {
			verdict = VerdictUnknown
		}
		core.decide(Finish{Key: job.Key, Verdict: verdict, Kind: refusal.Kind, Reason: refusal.Reason})
		core.history.refused(job.Key, refusal.Reason)
		return
	}
	fresh := core.newEntry(now, job)
	fresh.resume = job.Attempts > 0 && job.Profile.Checkpoint
	core.jobs[job.Key] = fresh
	core.enqueue(now, fresh)
}

// jobCancelled ends a job that holds nothing at once and stops one that runs.
func (core *Core) jobCancelled(now time.Time, key fleet.JobKey) {
	job, ok := core.jobs[key]
	if !ok || job.cancelled {
		return
	}
	job.cancelled = true
	switch job.phase {
	case phaseWaiting:
		core.dequeue(job)
		core.finish(job, VerdictCancelled, "", "cancelled while waiting")
	case phaseClaiming:
		core.dropClaim(job)
		core.finish(job, VerdictCancelled, "", "cancelled while waiting")
	default:
		core.stop(now, job, "cancelled")
	}
}

// gangStarted notes that every member of an attempt runs.
func (core *Core) gangStarted(now time.Time, event GangStarted) {
	job, ok := core.jobs[event.Key]
	if !ok || job.phase != phasePlacing || job.attempt != event.Attempt {
		return
	}
	job.phase = phaseRunning
	job.ran = true
	core.limitRunTime(now, job)
}

// gangRecovered accounts a gang that was found running.
func (core *Core) gangRecovered(now time.Time, event GangRecovered) {
	job, known := core.jobs[event.Job.Key]
	if known && job.holds() {
		return
	}
	if event.Job.Profile.Shape == nil {
		return
	}
	if known {
		core.dequeue(job)
	} else {
		job = core.newEntry(now, event.Job)
		core.jobs[event.Job.Key] = job
	}
	var holdings []holding
	for _, member := range event.Members {
		machine := core.worker(member.Worker)
		at := slices.IndexFunc(holdings, func(held holding) bool { return held.worker == machine })
		if at < 0 {
			holdings = append(holdings, holding{worker: machine})
			at = len(holdings) - 1
		}
		holdings[at].members++
	}
	job.attempt = event.Attempt
	job.ran = true
	core.begin(now, job, holdings)
	job.phase = phaseRunning
	core.limitRunTime(now, job)
	core.bindVersion++
}

// begin accounts an attempt that starts now.
func (core *Core) begin(now time.Time, job *entry, holdings []holding) {
	core.take(job, holdings, false)
	core.attend(now, job)
}

// attend notes the start of an attempt whose holdings are accounted.
func (core *Core) attend(now time.Time, job *entry) {
	job.phase = phasePlacing
	job.began = now
	job.reported = 0
	core.charge(now, job, job.total)
}

// place decides an attempt of a job whose holdings are accounted as a gang.
func (core *Core) place(now time.Time, job *entry, reason string) {
	core.attend(now, job)
	job.attempt++
	job.hurried = false
	members := job.members()
	core.decide(Place{job.job, job.attempt, members, job.resume, reason})
	core.history.placed(job, now, reason)
}

// leave ends the accounting of an attempt.
func (core *Core) leave(now time.Time, job *entry, used fleet.AcceleratorTime) {
	if used == 0 {
		used = job.current(now)
	}
	job.used += used
	core.charge(now, job, -job.total)
	core.release(job)
	job.phase = phaseWaiting
	job.eviction = evictionNone
}

// placeFailed queues a job again whose attempt never ran.
func (core *Core) placeFailed(now time.Time, event PlaceFailed) {
	job, ok := core.jobs[event.Key]
	if !ok || !job.active() || job.attempt != event.Attempt {
		return
	}
	for _, id := range event.Busy {
		if machine, known := core.workers[id]; known {
			machine.refused = true
			core.refresh(machine)
		}
	}
	before := job.used
	core.leave(now, job, 0)
	job.used = before
	if job.cancelled {
		core.finish(job, VerdictCancelled, "", "cancelled before it started")
		return
	}
	core.requeue(now, job)
}

// gangEnded ends or queues again a job whose attempt has ended.
func (core *Core) gangEnded(now time.Time, event GangEnded) {
	job, ok := core.jobs[event.Key]
	if !ok || !job.active() || job.attempt != event.Attempt {
		return
	}
	job.ran = true
	held := job.holdings
	core.leave(now, job, event.Used)
	idempotent := job.job.Profile.Idempotent
	switch {
	case event.Result == EndCompleted:
		core.praise(held)
		core.finish(job, VerdictCompleted, "", "every member succeeded")
	case job.cancelled:
		core.finish(job, VerdictCancelled, "", "every member confirmed the stop")
	case event.Result == EndFailed:
		core.attemptFailed(now, job, held, event.Failed)
	case job.overrun:
		reason := fmt.Sprintf("ran longer than %s", time.Duration(job.job.Profile.Limits.MaxRunTime))
		core.finish(job, VerdictFailed, fault.TargetFailed, reason)
	case event.Result == EndCheckpointed:
		job.resume = true
		core.requeue(now, job)
	case idempotent:
		core.requeue(now, job)
	case event.Result == EndLost:
		core.finish(job, VerdictUnknown, fault.AnswerLost, "a worker of the attempt was lost")
	default:
		core.finish(job, VerdictUnknown, fault.AnswerLost, "stopped before it confirmed a checkpoint")
	}
}

// requeue queues a job again, or ends it when it became infeasible meanwhile.
func (core *Core) requeue(now time.Time, job *entry) {
	if refusal := core.infeasible(job.job); refusal != nil {
		core.finish(job, job.refusalVerdict(), refusal.Kind, refusal.Reason)
		return
	}
	core.enqueue(now, job)
}

// refusalVerdict returns the verdict for a job that can no longer run. A job of which an attempt may have
// started cannot be reported as not run.
func (entry *entry) refusalVerdict() Verdict {
	if entry.ran {
		return VerdictUnknown
	}
	return VerdictNotRun
}

// usageReported notes the accelerator time of a running attempt.
func (core *Core) usageReported(event UsageReported) {
	job, ok := core.jobs[event.Key]
	if ok && job.active() && job.attempt == event.Attempt {
		job.reported = max(job.reported, event.Used)
	}
}

// limit is the time at which an attempt has run as long as its profile allows.
type limit struct {
	at      time.Time
	job     *entry
	attempt fleet.Attempt
}

// limitHeap orders limits by time, then by key.
type limitHeap []limit

// Len returns the number of limits.
func (limits limitHeap) Len() int { return len(limits) }

// Less orders two limits.
func (limits limitHeap) Less(i, j int) bool {
	if !limits[i].at.Equal(limits[j].at) {
		return limits[i].at.Before(limits[j].at)
	}
	return limits[i].job.job.Key.String() < limits[j].job.job.Key.String()
}

// Swap exchanges two limits.
func (limits limitHeap) Swap(i, j int) { limits[i], limits[j] = limits[j], limits[i] }

// Push adds a limit at the end.
func (limits *limitHeap) Push(added any) { *limits = append(*limits, added.(limit)) }

// Pop removes the limit at the end.
func (limits *limitHeap) Pop() any {
	last := len(*limits) - 1
	removed := (*limits)[last]
	*limits = (*limits)[:last]
	return removed
}

// limitRunTime notes when the attempt has run as long as its profile allows, earlier attempts included.
func (core *Core) limitRunTime(now time.Time, job *entry) {
	allowed := time.Duration(job.job.Profile.Limits.MaxRunTime)
	if allowed <= 0 {
		return
	}
	earlier := time.Duration(job.used) / time.Duration(max(job.total, 1))
	heap.Push(&core.limits, limit{now.Add(allowed - earlier), job, job.attempt})
}

// endOverruns stops the gangs that ran longer than allowed.
func (core *Core) endOverruns(now time.Time) {
	for core.limits.Len() > 0 && !core.limits[0].at.After(now) {
		due := heap.Pop(&core.limits).(limit)
		job := due.job
		if core.jobs[job.job.Key] != job || job.phase != phaseRunning || job.attempt != due.attempt {
			continue
		}
		job.overrun = true
		core.stop(now, job, "ran longer than its profile allows")
	}
}
