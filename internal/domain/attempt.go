package domain

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const (
	// maxDecisionRounds limits how often one turn of the owner's loop requests decisions from the core. Otherwise,
	// placements that fail and are decided again at once could keep the loop from its other work.
	maxDecisionRounds = 8
	// checkpointGrace is the time that a checkpoint may take before the core decides to stop the gang. During that
	// time, the workers of the gang are synced at the interval Timing.FastSync, to detect the ends of the members
	// early.
	checkpointGrace = 2 * time.Second
)

// decide requests decisions from the core and executes them until the core has none, at most maxDecisionRounds times.
// It does nothing before the domain has settled or while the owner drains.
func (owner *owner) decide() {
	if !owner.settled || owner.draining {
		return
	}
	defer owner.countReclaims()
	for range maxDecisionRounds {
		decisions := owner.core.Decide(time.Now())
		if len(decisions) == 0 {
			return
		}
		for _, decision := range decisions {
			owner.execute(decision)
		}
	}
}

func (owner *owner) execute(decision scheduler.Decision) {
	switch decision := decision.(type) {
	case scheduler.Place:
		owner.place(decision)
	case scheduler.Evict:
		owner.evict(decision)
	case scheduler.Throttle:
		owner.throttle(decision)
	case scheduler.Finish:
		owner.finishJob(decision)
	case scheduler.Quarantine:
		owner.service.count("quarantine_changes", 1)
		owner.logger.Warn("quarantine", "worker", decision.Worker, "active", decision.Active, "reason", decision.Reason)
	}
}

// place records an attempt in the store and then starts its gang. A job that must not run again ends instead. A
// non-idempotent job waits if the store does not respond or has regressed.
func (owner *owner) place(decision scheduler.Place) {
	key := decision.Job.Key
	job := owner.jobs[key]
	if job == nil || !job.inCore || job.phase != phaseQueued {
		owner.core.Apply(time.Now(), scheduler.PlaceFailed{Key: key, Attempt: decision.Attempt})
		return
	}
	owner.setPhase(job, phaseStarting)
	job.coreAttempt = decision.Attempt
	if !job.record.mayRunAgain() {
		owner.removeFromCore(job)
		owner.endUnrepeatable(job)
		return
	}
	if !job.record.Profile.Idempotent && (!owner.service.Store.Healthy() || owner.service.StoreRegressed()) {
		owner.awaitStore(job)
		return
	}
	owner.beginAttempt(job, decision)
}

func (owner *owner) beginAttempt(job *job, decision scheduler.Place) {
	began := time.Now()
	job.previousMembers = append(job.previousMembers, job.members...)
	job.record.Attempt++
	job.record.State = StateStarting
	job.record.Members = nil
	for _, member := range decision.Members {
		job.record.Members = append(job.record.Members, RecordMember{
			Worker:       member.Worker,
			Lease:        fleet.LeaseID(owner.nextID()),
			Accelerators: member.Accelerators,
		})
	}
	owner.setMembers(job, recordMembers(&job.record))
	job.missingLeases = make(map[fleet.LeaseID]bool)
	job.unrecorded, job.checkpointing, job.evictOnStart, job.attemptEnded = false, false, false, false
	job.startFailed, job.evictedFor = nil, ""
	attempt := job.record.Attempt
	owner.service.count("placements", 1)
	owner.logger.Info("attempt placed", "job", job.record.Job, "organisation", job.record.Organisation,
		"attempt", attempt, "members", len(job.members), "reason", decision.Reason)
	owner.save(job, func(result saveResult) {
		if job.phase != phaseStarting || job.record.Attempt != attempt {
			return
		}
		owner.attemptRecorded(job, result, began)
	})
}

// attemptRecorded starts the gang after the write of its attempt's record. If the write failed, an idempotent job
// starts nevertheless, and another job waits for the store.
func (owner *owner) attemptRecorded(job *job, result saveResult, began time.Time) {
	if !result.ok && !job.record.Profile.Idempotent {
		job.record.State = StateQueued
		owner.awaitStore(job)
		return
	}
	job.unrecorded = !result.ok
	record := &job.record
	gang := worker.Gang{
		Key:            record.Key(),
		Attempt:        record.Attempt,
		Profile:        record.Profile.Name,
		Shape:          *record.Profile.Shape,
		ConfigRevision: record.ConfigRevision,
		Unrecorded:     job.unrecorded,
		Resume:         record.Checkpointed != 0,
		Input:          record.Input,
		Members:        job.members,
		StartDeadline:  began.Add(owner.service.Timing.Reservation),
	}
	owner.runAsync(func(ctx context.Context) {
		started := owner.manager.StartGang(ctx, gang)
		owner.post(func() { owner.gangStartDone(job, gang.Attempt, started) })
	})
}

// gangStartDone processes the result of a gang start. The job is running if every member started. If not every member
// started but at least one may have run, the gang is stopped; its final states show whether one has run. If none has
// run, the job returns to the queue.
func (owner *owner) gangStartDone(job *job, attempt fleet.Attempt, result worker.StartResult) {
	key := job.record.Key()
	if owner.jobs[key] != job || job.phase != phaseStarting || job.record.Attempt != attempt {
		return
	}
	switch {
	case result.Started:
		owner.setPhase(job, phaseRunning)
		job.record.Begun = attempt
		owner.service.count("gangs_started", 1)
		owner.core.Apply(time.Now(), scheduler.GangStarted{Key: key, Attempt: job.coreAttempt})
		if job.evictOnStart {
			owner.stopGang(job)
			return
		}
		owner.checkGang(job)
	case result.MayHaveRun:
		job.startFailed = result.Failed
		owner.stopGang(job)
	default:
		owner.requeueUnstarted(job, append(result.Busy, result.Failed...))
	}
}

// requeueUnstarted returns a job to the queue after an attempt that did not start as a whole and holds no accelerators.
// busy holds the workers that refused a reservation or did not start a member.
func (owner *owner) requeueUnstarted(job *job, busy []fleet.WorkerID) {
	now := time.Now()
	owner.setPhase(job, phaseQueued)
	job.record.State = StateQueued
	owner.service.count("placements_refused", 1)
	if job.pendingFinish != nil {
		owner.finishJob(*job.pendingFinish)
		return
	}
	owner.core.Apply(now, scheduler.PlaceFailed{Key: job.record.Key(), Attempt: job.coreAttempt, Busy: busy})
	for _, id := range busy {
		owner.refusedAt[id] = now
	}
	owner.updateForeignOfMembers(job.members)
	if !job.record.Profile.Idempotent {
		owner.saveLater(job)
	}
}

func (owner *owner) evict(decision scheduler.Evict) {
	job := owner.jobs[decision.Key]
	if job == nil || !job.inCore {
		return
	}
	owner.logger.Info("gang to be evicted", "job", decision.Key.Job, "organisation", decision.Key.Organisation,
		"attempt", job.record.Attempt, "stop", decision.Step == scheduler.EvictStop, "reason", decision.Reason)
	if job.evictedFor == "" {
		job.evictedFor = decision.Reason
	}
	switch {
	case job.phase == phaseStarting:
		job.evictOnStart = true
	case job.phase != phaseRunning:
	case decision.Step == scheduler.EvictStop:
		owner.stopGang(job)
	default:
		job.checkpointing = true
		members := job.members
		owner.runAsync(func(ctx context.Context) { owner.manager.Checkpoint(ctx, members, checkpointGrace) })
	}
}

func (owner *owner) throttle(decision scheduler.Throttle) {
	job := owner.jobs[decision.Key]
	if job == nil || job.phase != phaseRunning {
		return
	}
	members := job.members
	owner.runAsync(func(ctx context.Context) { owner.manager.Throttle(ctx, members, decision.Percent) })
}

// checkGang checks the members of a running gang. It ends the attempt once every member has ended. It stops the gang
// when a member failed or was lost, or checkpointed without a request. A worker that was lost while the gang started or
// was recovered is not reported again, so that its state is read here.
func (owner *owner) checkGang(job *job) {
	if job.phase != phaseRunning {
		return
	}
	states := make([]workerv1.TaskState, len(job.members))
	active, checkpointed, failed, lost := 0, 0, 0, 0
	for i, member := range job.members {
		lease, ok := owner.manager.Lease(member.Worker, member.Lease)
		states[i] = lease.State
		switch {
		case job.missingLeases[member.Lease]:
			failed++
		case !ok || lease.Active():
			active++
			if owner.manager.Lost(member.Worker) {
				lost++
			}
		case lease.State == workerv1.TaskState_TASK_STATE_CHECKPOINTED:
			checkpointed++
		case lease.State != workerv1.TaskState_TASK_STATE_COMPLETED:
			failed++
		}
	}
	switch {
	case active == 0:
		owner.attemptEnded(job, states)
	case failed > 0 || lost > 0 || checkpointed > 0 && !job.checkpointing:
		owner.stopGang(job)
	}
}

// stopGang begins to stop every member of a job's gang. The attempt ends once each member is confirmed to have ended.
func (owner *owner) stopGang(job *job) {
	owner.setPhase(job, phaseEnding)
	members := job.members
	attempt := job.record.Attempt
	owner.runAsync(func(ctx context.Context) {
		states, err := owner.manager.StopGang(ctx, members)
		if err != nil {
			return
		}
		owner.post(func() {
			if owner.jobs[job.record.Key()] == job && job.phase == phaseEnding && job.record.Attempt == attempt {
				owner.gangStopped(job, states)
			}
		})
	})
}

// gangStopped processes the end of a stopped gang. If it was stopped because members did not start, and no member ran
// or the job is idempotent, the job returns to the queue, and the workers of these members get no new work until their
// next sync. Without that pause, a job would start again at once and as often as its workers refuse it.
func (owner *owner) gangStopped(job *job, states []workerv1.TaskState) {
	result, _ := classifyAttempt(job.members, states)
	ran := slices.ContainsFunc(states, func(state workerv1.TaskState) bool {
		return state != workerv1.TaskState_TASK_STATE_RELEASED
	})
	if len(job.startFailed) == 0 || result != scheduler.EndStopped || ran && !job.record.Profile.Idempotent {
		owner.attemptEnded(job, states)
		return
	}
	if ran {
		job.record.Begun = job.record.Attempt
		job.record.Used += owner.attemptUsage(job)
	}
	owner.requeueUnstarted(job, job.startFailed)
}

// classifyAttempt returns how an attempt ended, given the states of its members, and the workers whose members
// failed or were lost.
func classifyAttempt(members []worker.Member, states []workerv1.TaskState) (scheduler.EndResult, []fleet.WorkerID) {
	counts := make(map[workerv1.TaskState]int)
	var failed, lost []fleet.WorkerID
	for i, state := range states {
		counts[state]++
		switch state {
		case workerv1.TaskState_TASK_STATE_FAILED:
			failed = append(failed, members[i].Worker)
		case workerv1.TaskState_TASK_STATE_UNSPECIFIED, workerv1.TaskState_TASK_STATE_LAPSED:
			lost = append(lost, members[i].Worker)
		}
	}
	switch {
	case counts[workerv1.TaskState_TASK_STATE_COMPLETED] == len(states):
		return scheduler.EndCompleted, nil
	case len(failed) > 0:
		return scheduler.EndFailed, failed
	case counts[workerv1.TaskState_TASK_STATE_CHECKPOINTED] == len(states):
		return scheduler.EndCheckpointed, nil
	case len(lost) > 0:
		return scheduler.EndLost, lost
	default:
		return scheduler.EndStopped, nil
	}
}

// attemptEnded processes the end of an attempt. All of its members have ended, and at least one of them may have run.
func (owner *owner) attemptEnded(job *job, states []workerv1.TaskState) {
	result, failed := classifyAttempt(job.members, states)
	used := owner.attemptUsage(job)
	record := &job.record
	record.Begun = record.Attempt
	record.Used += used
	record.State = StateQueued
	if result == scheduler.EndCheckpointed {
		record.Checkpointed = record.Attempt
	}
	job.attemptEnded, job.attemptResult = true, result
	job.memberFailed = job.memberFailed || result == scheduler.EndFailed
	owner.setPhase(job, phaseQueued)
	owner.logger.Info("attempt ended", "job", record.Job, "organisation", record.Organisation,
		"attempt", record.Attempt, "states", fmt.Sprint(states), "at_fault", failed)
	if job.pendingFinish != nil {
		owner.finishJob(*job.pendingFinish)
		return
	}
	if !job.inCore {
		owner.endOrRequeue(job, result)
		return
	}
	owner.core.Apply(time.Now(), scheduler.GangEnded{
		Key: record.Key(), Attempt: job.coreAttempt, Result: result, Failed: failed, Used: used,
	})
	owner.updateForeignOfMembers(job.members)
	if job.evictedFor != "" && (result == scheduler.EndStopped || result == scheduler.EndCheckpointed) {
		owner.evicted = append(owner.evicted, evictedGang{job, record.Attempt, result, job.evictedFor})
	}
	if !record.Profile.Idempotent || result == scheduler.EndCheckpointed {
		owner.saveLater(job)
	}
}

// evictedGang is an attempt that has ended because the core evicted its gang.
type evictedGang struct {
	job     *job
	attempt fleet.Attempt
	result  scheduler.EndResult
	reason  string
}

// countReclaims counts and logs the gangs that have stopped because the core evicted them. The core has decided about their
// jobs again by now: those that it has ended were cancelled or ran for too long.
func (owner *owner) countReclaims() {
	for _, gang := range owner.evicted {
		record := &gang.job.record
		if gang.job.phase == phaseDone || record.CancelRequested {
			continue
		}
		owner.service.count("reclaims", 1)
		owner.logger.Info("gang evicted", "job", record.Job, "organisation", record.Organisation, "attempt", gang.attempt,
			"checkpointed", gang.result == scheduler.EndCheckpointed, "reason", gang.reason)
	}
	owner.evicted = nil
}

// attemptUsage returns the accelerator time of the attempt, as far as the workers have reported it.
func (owner *owner) attemptUsage(job *job) fleet.AcceleratorTime {
	var used fleet.AcceleratorTime
	for _, member := range job.members {
		if lease, ok := owner.manager.Lease(member.Worker, member.Lease); ok {
			used += lease.Used
		}
	}
	return used
}
