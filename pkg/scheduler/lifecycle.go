package scheduler

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// finish reports the final result of a job to which no accelerators are assigned, and drops the job's state.
func (core *Core) finish(job *jobState, verdict Verdict, kind fault.Kind, reason string) {
	delete(core.jobs, job.spec.Key)
	core.dropDestination(job)
	core.addDecision(Finish{Key: job.spec.Key, Verdict: verdict, Kind: kind, Reason: reason})
	if verdict == VerdictNotRun {
		core.history.refused(job.spec.Key, reason)
	}
}

// jobSubmitted queues a job. It ends the job instead if the job cannot run, or if a queue is full and the job was not
// attempted before a takeover.
func (core *Core) jobSubmitted(now time.Time, job Job) {
	if _, known := core.jobs[job.Key]; known {
		return
	}
	if refusal := core.refusal(job); refusal != nil && (job.Attempts == 0 || refusal.Kind != fault.QueueFull) {
		verdict := VerdictNotRun
		if job.Attempts > 0 {
			verdict = VerdictUnknown
		}
		core.addDecision(Finish{Key: job.Key, Verdict: verdict, Kind: refusal.Kind, Reason: refusal.Reason})
		core.history.refused(job.Key, refusal.Reason)
		return
	}
	fresh := core.newJobState(now, job)
	fresh.resume = job.Attempts > 0 && job.Profile.Checkpoint
	core.jobs[job.Key] = fresh
	core.enqueue(now, fresh)
}

// jobCancelled ends a job that waits or has a claim. It stops the gang of any other job.
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

// gangStarted records that every member of an attempt runs, and when the attempt reaches its run time limit.
func (core *Core) gangStarted(now time.Time, event GangStarted) {
	job, ok := core.jobs[event.Key]
	if !ok || job.phase != phasePlacing || job.attempt != event.Attempt {
		return
	}
	job.phase = phaseRunning
	job.mayHaveStarted = true
	core.limitRunTime(now, job)
}

// gangRecovered records a gang that was found running after a takeover and assigns its accelerators to its job.
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
		job = core.newJobState(now, event.Job)
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
	job.mayHaveStarted = true
	core.beginAttempt(now, job, holdings)
	job.phase = phaseRunning
	core.limitRunTime(now, job)
	core.bindVersion++
}

// beginAttempt assigns holdings to an attempt and records its start.
func (core *Core) beginAttempt(now time.Time, job *jobState, holdings []holding) {
	core.allocate(job, holdings, false)
	core.recordAttemptStart(now, job)
}

// recordAttemptStart records the start of an attempt whose holdings are already assigned to the job.
func (core *Core) recordAttemptStart(now time.Time, job *jobState) {
	job.phase = phasePlacing
	job.began = now
	job.reported = 0
	core.charge(now, job, job.total)
}

// place adds the decision to start the next attempt of a job. Its accelerators must have been assigned to the gang.
func (core *Core) place(now time.Time, job *jobState, reason string) {
	core.recordAttemptStart(now, job)
	job.attempt++
	job.skipGrace = false
	members := job.members()
	core.addDecision(Place{job.spec, job.attempt, members, job.resume, reason})
	core.history.placed(job, now, reason)
}

// endAttempt adds an attempt's accelerator time to its job and frees its accelerators. If the time reported as used is
// 0, attemptTime estimates it.
func (core *Core) endAttempt(now time.Time, job *jobState, used fleet.AcceleratorTime) {
	if used == 0 {
		used = job.attemptTime(now)
	}
	job.used += used
	core.charge(now, job, -job.total)
	core.release(job)
	job.phase = phaseWaiting
	job.eviction = evictionNone
}

// placeFailed queues a job again after an attempt that never ran. The workers that refused the attempt get no new work
// until a WorkerFound event.
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
	usedBefore := job.used
	core.endAttempt(now, job, 0)
	job.used = usedBefore
	if job.cancelled {
		core.finish(job, VerdictCancelled, "", "cancelled before it started")
		return
	}
	core.requeue(now, job)
}

// gangEnded finishes a job whose attempt has ended, or queues it again.
func (core *Core) gangEnded(now time.Time, event GangEnded) {
	job, ok := core.jobs[event.Key]
	if !ok || !job.active() || job.attempt != event.Attempt {
		return
	}
	job.mayHaveStarted = true
	held := job.holdings
	core.endAttempt(now, job, event.Used)
	idempotent := job.spec.Profile.Idempotent
	switch {
	case event.Result == EndCompleted:
		core.recordSuccess(held)
		core.finish(job, VerdictCompleted, "", "every member succeeded")
	case job.cancelled:
		core.finish(job, VerdictCancelled, "", "every member confirmed the stop")
	case event.Result == EndFailed:
		core.attemptFailed(now, job, held, event.Failed)
	case job.overrun:
		reason := fmt.Sprintf("ran longer than %s", time.Duration(job.spec.Profile.Limits.MaxRunTime))
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

// requeue queues a job again, or ends it if it has become infeasible.
func (core *Core) requeue(now time.Time, job *jobState) {
	if refusal := core.infeasible(job.spec); refusal != nil {
		core.finish(job, job.refusalVerdict(), refusal.Kind, refusal.Reason)
		return
	}
	core.enqueue(now, job)
}

// refusalVerdict returns the verdict for a job that can no longer run. If an attempt may have started, the job cannot
// be reported as not run.
func (job *jobState) refusalVerdict() Verdict {
	if job.mayHaveStarted {
		return VerdictUnknown
	}
	return VerdictNotRun
}

// usageReported records the accelerator time that a running attempt has used so far.
func (core *Core) usageReported(event UsageReported) {
	job, ok := core.jobs[event.Key]
	if ok && job.active() && job.attempt == event.Attempt {
		job.reported = max(job.reported, event.Used)
	}
}

// runTimeLimit is the time at which an attempt reaches the run time that its profile allows.
type runTimeLimit struct {
	at      time.Time
	job     *jobState
	attempt fleet.Attempt
}

// runTimeLimitHeap orders limits by time, then by the key of the job.
type runTimeLimitHeap []runTimeLimit

// Len returns the number of limits.
func (limits runTimeLimitHeap) Len() int { return len(limits) }

// Less reports whether limit i comes before limit j.
func (limits runTimeLimitHeap) Less(i, j int) bool {
	if !limits[i].at.Equal(limits[j].at) {
		return limits[i].at.Before(limits[j].at)
	}
	return limits[i].job.spec.Key.String() < limits[j].job.spec.Key.String()
}

// Swap exchanges two limits.
func (limits runTimeLimitHeap) Swap(i, j int) { limits[i], limits[j] = limits[j], limits[i] }

// Push adds a limit at the end.
func (limits *runTimeLimitHeap) Push(added any) { *limits = append(*limits, added.(runTimeLimit)) }

// Pop removes the limit at the end.
func (limits *runTimeLimitHeap) Pop() any {
	last := len(*limits) - 1
	removed := (*limits)[last]
	*limits = (*limits)[:last]
	return removed
}

// limitRunTime records when an attempt reaches the run time that the job's profile allows. The run time of earlier
// attempts counts towards the limit.
func (core *Core) limitRunTime(now time.Time, job *jobState) {
	allowed := time.Duration(job.spec.Profile.Limits.MaxRunTime)
	if allowed <= 0 {
		return
	}
	earlierRunTime := time.Duration(job.used) / time.Duration(max(job.total, 1))
	heap.Push(&core.runTimeLimits, runTimeLimit{now.Add(allowed - earlierRunTime), job, job.attempt})
}

// stopOverruns stops the gangs that ran longer than their profiles allow.
func (core *Core) stopOverruns(now time.Time) {
	for core.runTimeLimits.Len() > 0 && !core.runTimeLimits[0].at.After(now) {
		due := heap.Pop(&core.runTimeLimits).(runTimeLimit)
		job := due.job
		if core.jobs[job.spec.Key] != job || job.phase != phaseRunning || job.attempt != due.attempt {
			continue
		}
		job.overrun = true
		core.stop(now, job, "ran longer than its profile allows")
	}
}
