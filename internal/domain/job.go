package domain

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// coreRemovalTimeout bounds the wait for the core to forget a job.
const coreRemovalTimeout = 2 * time.Second

// phase is where the owner is with a job.
type phase int

const (
	// phaseRecovering means that it is not known yet whether an attempt runs.
	phaseRecovering phase = iota
	// phaseQueued means that no attempt runs and that the core holds the job.
	phaseQueued
	// phaseStarting means that the attempt is being recorded, reserved and started.
	phaseStarting
	// phaseRunning means that every member acknowledged its start.
	phaseRunning
	// phaseEnding means that the members are being stopped.
	phaseEnding
	// phaseAwaitingStore means that no attempt runs and that the job waits for the store.
	phaseAwaitingStore
	// phaseDone means that the outcome is final and is being written.
	phaseDone
)

// String returns the state that a caller is told.
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

// job is what the owner knows of one job that has not ended.
type job struct {
	// record is what the store is to hold. Its slices are replaced, never changed.
	record Record
	// revision is that of the last write known to be in the store.
	revision platform.StoreRevision
	phase    phase
	// inCore is true while the core holds the job; coreAttempt is the core's number of the attempt under way.
	inCore      bool
	coreAttempt fleet.Attempt
	// coreRemovalAt is when the core was told to forget the job; its Finish is awaited and ignored. Zero if it is not.
	coreRemovalAt time.Time
	// recoveryStart is when the recovery began.
	recoveryStart time.Time
	// members are those of the attempt under way or of the last one.
	members []worker.Member
	// previousMembers are members of ended attempts whose log entries are kept until the record has moved on.
	previousMembers []worker.Member
	// missingLeases holds the leases that their workers no longer know.
	missingLeases          map[fleet.LeaseID]bool
	unrecorded    bool
	checkpointing bool
	// evictOnStart is true when an eviction came while the gang was starting.
	evictOnStart bool
	// attemptEnded is true once an attempt has ended; lastEnd tells how.
	attemptEnded bool
	attemptResult  scheduler.EndResult
	// memberFailed is true once a member has reported a failure of its own.
	memberFailed bool
	// pendingFinish is a verdict that waits until the gang has been stopped.
	pendingFinish *scheduler.Finish

	// saving is true while a write is in progress; waiting holds what follows the next one.
	saving  bool
	saveCallbacks []func(saveResult)
	// uncertainWrites holds the ids of writes whose effect is not known.
	uncertainWrites map[string]bool
	saveRetryAt  time.Time
	saveRetries  int
	// takenOver is true when an earlier owner may have started an attempt that left no trace.
	takenOver bool
	// endBroadcast is true once the peers were endBroadcast of the end.
	endBroadcast bool
}

func newJob(record *Record, revision platform.StoreRevision) *job {
	added := &job{
		record:   *record,
		revision: revision,
		missingLeases:     make(map[fleet.LeaseID]bool),
		uncertainWrites: make(map[string]bool),
	}
	added.members = recordMembers(record)
	return added
}

func recordMembers(record *Record) []worker.Member {
	members := make([]worker.Member, len(record.Members))
	for i, member := range record.Members {
		members[i] = worker.Member(member)
	}
	return members
}

// hasMember reports whether a lease belongs to the attempt under way or the last one.
func (job *job) hasMember(id fleet.LeaseID) bool {
	for _, member := range job.members {
		if member.Lease == id {
			return true
		}
	}
	return false
}

// countedByCore reports whether the core counts the job's members as taken.
func (job *job) countedByCore() bool {
	return job.inCore && (job.phase == phaseStarting || job.phase == phaseRunning || job.phase == phaseEnding)
}

// setMembers replaces the members and keeps the index of workers.
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

// setPhase moves a job to another phase and keeps the count of waiting jobs.
func (owner *owner) setPhase(job *job, next phase) {
	owner.addWaiting(job, -1)
	job.phase = next
	owner.addWaiting(job, 1)
}

// addWaiting counts a job with its profile and organisation if it waits.
func (owner *owner) addWaiting(job *job, by int) {
	if job.phase != phaseQueued && job.phase != phaseAwaitingStore {
		return
	}
	owner.waitingByProfile[profileKey{job.record.Organisation, job.record.Profile.Name}] += by
	owner.waitingByOrganisation[job.record.Organisation] += by
}

// removeFromCore makes the core forget a job. What the core then decides about it is ignored.
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

// coreRemovalDone reports whether the core has forgotten the job. It is given up on a core that does not tell.
func (owner *owner) coreRemovalDone(job *job, now time.Time) bool {
	if job.coreRemovalAt.IsZero() {
		return true
	}
	if !owner.settled || now.Sub(job.coreRemovalAt) < coreRemovalTimeout || now.Sub(owner.settledAt) < coreRemovalTimeout {
		return false
	}
	owner.logger.Error("the scheduler did not forget a job", "job", job.record.Job, "organisation", job.record.Organisation)
	job.coreRemovalAt = time.Time{}
	return true
}

// removeJob ends the owner's knowledge of a job.
func (owner *owner) removeJob(job *job) {
	key := job.record.Key()
	owner.setPhase(job, phaseDone)
	owner.setMembers(job, nil)
	delete(owner.jobs, key)
	delete(owner.unsaved, key)
	delete(owner.recovering, key)
	delete(owner.awaitingStore, key)
}
