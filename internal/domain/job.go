package domain

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// coreRemovalTimeout limits the wait for the core to confirm the removal of a job.
const coreRemovalTimeout = 2 * time.Second

// phase is the stage of a job in the state of its owner.
type phase int

const (
	// phaseRecovering means that the owner has not determined yet whether an attempt is running.
	phaseRecovering phase = iota
	// phaseQueued means that no attempt is running and that the job is in the core.
	phaseQueued
	// phaseStarting means that the attempt is being recorded in the store, or that the leases of its members are being
	// reserved or started.
	phaseStarting
	// phaseRunning means that every member has acknowledged its start.
	phaseRunning
	// phaseEnding means that the members are being stopped.
	phaseEnding
	// phaseAwaitingStore means that no attempt is running and that the job waits for the store to respond again.
	phaseAwaitingStore
	// phaseDone means that the outcome is final and is being written.
	phaseDone
)

// String returns the state of the job as callers see it.
func (phase phase) String() string {
	switch phase {
	case phaseQueued, phaseAwaitingStore:
		return "queued"
	case phaseRunning:
		return "running"
	case phaseEnding, phaseDone:
		return "stopping"
	default:
		return "starting"
	}
}

// job is the owner's state of one job until the end of the job is in the store.
type job struct {
	// record is the intended content of the job's record in the store. Its slices are replaced and never modified.
	record Record
	// revision is the store revision of the record as the owner last read or wrote it.
	revision platform.StoreRevision
	phase    phase
	// inCore is true while the job is in the core. coreAttempt is the number that the core gave the current attempt.
	inCore      bool
	coreAttempt fleet.Attempt
	// coreRemovalAt is when the owner removed the job from the core. The core confirms the removal with a Finish
	// decision, which resets coreRemovalAt to zero and has no other effect. Zero means that no confirmation is awaited.
	coreRemovalAt time.Time
	// recoveryStart is when the owner began to determine whether an attempt of the job is running.
	recoveryStart time.Time
	// members are the members of the current attempt or, if there is none, of the last one.
	members []worker.Member
	// previousMembers are members of ended attempts. Their workers keep the final states of the leases until these are
	// acknowledged. That happens once a stored record shows that the attempts have ended.
	previousMembers []worker.Member
	// missingLeases holds the leases of members that their workers no longer report, without having reported their end.
	missingLeases map[fleet.LeaseID]bool
	// unrecorded is true when the write of the attempt's record failed, or when the attempt was found by the labels of
	// its leases alone.
	unrecorded bool
	// checkpointing is true once the core requested a checkpoint of the current attempt.
	checkpointing bool
	// evictOnStart is true when the core evicted or finished the job while its gang was starting. The gang is
	// stopped once it has started.
	evictOnStart bool
	// evictedFor is the reason of the core's first decision to evict the current attempt; empty if there is none.
	evictedFor string
	// startFailed holds the workers that did not acknowledge their starts, while the gang is stopped for that reason.
	startFailed []fleet.WorkerID
	// attemptEnded is true once the last attempt has ended. attemptResult is the result of the ended attempt.
	attemptEnded  bool
	attemptResult scheduler.EndResult
	// memberFailed is true once an attempt of the job has ended because the task of a member failed, as opposed to a
	// member that was lost or stopped.
	memberFailed bool
	// pendingFinish is a decision of the core to end the job. It is kept until the gang has been stopped.
	pendingFinish *scheduler.Finish

	// saving is true while a write of the record is in progress. saveCallbacks are called with the result of the
	// next write.
	saving        bool
	saveCallbacks []func(saveResult)
	// uncertainWrites holds the ids of writes that may or may not have taken effect.
	uncertainWrites map[string]bool
	saveRetryAt     time.Time
	saveRetries     int
	// takenOver is true for the jobs that existed at the takeover. An earlier owner may have started an attempt of the
	// job that neither the record nor a lease shows.
	takenOver bool
	// endBroadcast is true once the end of the job was sent to the peers or received from one of them.
	endBroadcast bool
}

func newJob(record *Record, revision platform.StoreRevision) *job {
	job := &job{
		record:          *record,
		revision:        revision,
		missingLeases:   make(map[fleet.LeaseID]bool),
		uncertainWrites: make(map[string]bool),
	}
	job.members = recordMembers(record)
	return job
}

func recordMembers(record *Record) []worker.Member {
	members := make([]worker.Member, len(record.Members))
	for i, member := range record.Members {
		members[i] = worker.Member(member)
	}
	return members
}

// hasMember reports whether a lease belongs to a member of the current attempt or, if there is none, of the last one.
func (job *job) hasMember(id fleet.LeaseID) bool {
	for _, member := range job.members {
		if member.Lease == id {
			return true
		}
	}
	return false
}

// holds reports whether a lease belongs to a member of an attempt that has not ended.
func (job *job) holds(id fleet.LeaseID) bool {
	switch job.phase {
	case phaseRecovering, phaseStarting, phaseRunning, phaseEnding:
		return job.hasMember(id)
	default:
		return false
	}
}

// countedByCore reports whether the core counts the accelerators of the job's members as in use.
func (job *job) countedByCore() bool {
	return job.inCore && (job.phase == phaseStarting || job.phase == phaseRunning || job.phase == phaseEnding)
}

// setMembers replaces the members of a job and updates jobsByWorker.
func (owner *owner) setMembers(job *job, members []worker.Member) {
	key := job.record.Key()
	for _, member := range job.members {
		delete(owner.jobsByWorker[member.Worker], key)
		if len(owner.jobsByWorker[member.Worker]) == 0 {
			delete(owner.jobsByWorker, member.Worker)
		}
	}
	job.members = members
	for _, member := range members {
		if owner.jobsByWorker[member.Worker] == nil {
			owner.jobsByWorker[member.Worker] = make(map[fleet.JobKey]bool)
		}
		owner.jobsByWorker[member.Worker][key] = true
	}
}

// setPhase moves a job to another phase and updates the counts of waiting jobs.
func (owner *owner) setPhase(job *job, next phase) {
	owner.addWaiting(job, -1)
	job.phase = next
	owner.addWaiting(job, 1)
}

// addWaiting changes the counts of waiting jobs of the job's profile and organisation by delta, if the job is in
// phaseQueued or phaseAwaitingStore.
func (owner *owner) addWaiting(job *job, delta int) {
	if job.phase != phaseQueued && job.phase != phaseAwaitingStore {
		return
	}
	owner.waitingByProfile[profileKey{job.record.Organisation, job.record.Profile.Name}] += delta
	owner.waitingByOrganisation[job.record.Organisation] += delta
}

// removeFromCore removes a job from the core by applying events that cancel the job and end its attempt. From then on,
// the owner ignores decisions of the core about the job.
func (owner *owner) removeFromCore(job *job) {
	if !job.inCore {
		return
	}
	now := time.Now()
	key := job.record.Key()
	owner.core.Apply(now, scheduler.JobCancelled{Key: key})
	switch job.phase {
	case phaseStarting:
		owner.core.Apply(now, scheduler.PlaceFailed{Key: key, Attempt: job.coreAttempt})
	case phaseRunning, phaseEnding:
		owner.core.Apply(now, scheduler.GangEnded{Key: key, Attempt: job.coreAttempt, Result: scheduler.EndStopped})
	}
	job.inCore = false
	job.coreRemovalAt = now
}

// coreRemovalDone reports whether no confirmation of the job's removal from the core is awaited. If the core does not
// confirm the removal within coreRemovalTimeout, counted from the settling of the domain at the earliest,
// coreRemovalDone logs an error, ends the wait and returns true.
func (owner *owner) coreRemovalDone(job *job, now time.Time) bool {
	if job.coreRemovalAt.IsZero() {
		return true
	}
	if !owner.settled || now.Sub(job.coreRemovalAt) < coreRemovalTimeout ||
		now.Sub(owner.settledAt) < coreRemovalTimeout {
		return false
	}
	owner.logger.Error("scheduler did not finish a job that was removed from it", "job", job.record.Job,
		"organisation", job.record.Organisation)
	job.coreRemovalAt = time.Time{}
	return true
}

// removeJob removes a job from the owner's state.
func (owner *owner) removeJob(job *job) {
	key := job.record.Key()
	owner.setPhase(job, phaseDone)
	owner.setMembers(job, nil)
	delete(owner.jobs, key)
	delete(owner.unsaved, key)
	delete(owner.recovering, key)
	delete(owner.awaitingStore, key)
}
