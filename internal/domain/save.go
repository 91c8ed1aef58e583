package domain

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// saveTimeout limits one write. The starts of an attempt may be sent until three seconds (Timing.Reservation) after
	// the attempt began, so one second remains after a write of its record that takes saveTimeout.
	saveTimeout = 2 * time.Second
	// unhealthySaveTimeout replaces saveTimeout while the store does not respond.
	unhealthySaveTimeout = 500 * time.Millisecond
	// maxSavesPerTurn limits the writes that flush begins in one turn, because the store takes only several hundred
	// writes a second.
	maxSavesPerTurn = 50
	// storeProbeInterval is the time between two calls to a store that does not respond.
	storeProbeInterval = time.Second
	// minSaveBackoff and maxSaveBackoff limit the delay, before jitter, after which a failed write is retried.
	minSaveBackoff = 250 * time.Millisecond
	maxSaveBackoff = 8 * time.Second
)

// saveResult is the result of writing the record of a job to the store.
type saveResult struct {
	ok       bool
	revision platform.StoreRevision
	// conflicting is the record that another process wrote instead. removed means that the record no longer exists.
	conflicting *Record
	removed     bool
	// uncertain is true when the write may still have taken effect.
	uncertain bool
	err       error
}

// save writes the record of a job, after the write in progress if there is one, and then calls done unless it is nil.
func (owner *owner) save(job *job, done func(saveResult)) {
	if done != nil {
		job.saveCallbacks = append(job.saveCallbacks, done)
	}
	owner.unsaved[job.record.Key()] = true
	if !job.saving {
		owner.beginSave(job)
	}
}

// saveLater marks the record of a job to be written at the end of this turn of the owner's loop. The record is not
// written at once, because later decisions of the turn may change it again.
func (owner *owner) saveLater(job *job) {
	owner.unsaved[job.record.Key()] = true
	job.saveRetryAt = time.Time{}
}

// flush begins the writes that are due: up to maxSavesPerTurn while the store is healthy, otherwise one per
// storeProbeInterval.
func (owner *owner) flush() {
	now := time.Now()
	budget := maxSavesPerTurn
	if !owner.service.Store.Healthy() {
		budget = 1
	}
	for key := range owner.unsaved {
		job := owner.jobs[key]
		if job == nil {
			delete(owner.unsaved, key)
			continue
		}
		firstAttempt := job.saveRetries == 0 && budget > 1
		if job.saving || (!firstAttempt &&
			(now.Before(job.saveRetryAt) || now.Sub(owner.probedAt) < storeProbeInterval && budget == 1)) {
			continue
		}
		owner.probedAt = now
		owner.beginSave(job)
		if budget--; budget == 0 {
			return
		}
	}
}

func (owner *owner) beginSave(job *job) {
	callbacks := job.saveCallbacks
	job.saveCallbacks = nil
	job.saving = true
	delete(owner.unsaved, job.record.Key())
	snapshot := job.record
	snapshot.WriteID = owner.nextID()
	expected := job.revision
	uncertain := make(map[string]bool, len(job.uncertainWrites))
	for id := range job.uncertainWrites {
		uncertain[id] = true
	}
	owner.runAsync(func(ctx context.Context) {
		result := owner.write(ctx, &snapshot, expected, uncertain)
		owner.post(func() { owner.saveDone(job, &snapshot, result, callbacks) })
	})
}

// nextID returns an id for a write or a lease that is unique to this term.
func (owner *owner) nextID() string {
	owner.idCounter++
	return fmt.Sprintf("%s-%d", owner.termID, owner.idCounter)
}

// write writes one version of a record. On a conflict it reads the record back to find out whose write took effect.
// uncertain holds the ids of earlier writes of this term with unknown effect; a stored record with one of these ids is
// overwritten.
func (owner *owner) write(
	ctx context.Context, snapshot *Record, expected platform.StoreRevision, uncertain map[string]bool,
) saveResult {
	text, err := snapshot.encode()
	if err != nil {
		return saveResult{err: err}
	}
	timeout := saveTimeout
	if !owner.service.Store.Healthy() {
		timeout = unhealthySaveTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		revision, err := owner.service.Store.Swap(ctx, recordKey(snapshot.Key()), text, expected)
		if err == nil {
			return saveResult{ok: true, revision: revision}
		}
		if !errors.Is(err, platform.ErrConflict) {
			return saveResult{err: err, uncertain: !errors.Is(err, platform.ErrUnavailable)}
		}
		stored, revision, err := owner.service.readRecord(ctx, snapshot.Key())
		switch {
		case errors.Is(err, platform.ErrNotFound):
			return saveResult{removed: true}
		case err != nil:
			return saveResult{err: err, uncertain: true}
		case stored.WriteID == snapshot.WriteID:
			return saveResult{ok: true, revision: revision}
		case uncertain[stored.WriteID]:
			expected = revision
		default:
			return saveResult{conflicting: stored, revision: revision}
		}
	}
}

// saveDone updates a job by the result of a write of its record, calls the callbacks of the write, and begins the next
// write if other callbacks wait for it.
func (owner *owner) saveDone(job *job, snapshot *Record, result saveResult, callbacks []func(saveResult)) {
	job.saving = false
	key := snapshot.Key()
	if owner.jobs[key] != job {
		return
	}
	switch {
	case result.ok:
		owner.saveSucceeded(job, snapshot, result.revision)
	case result.conflicting != nil:
		owner.applyConflictingRecord(job, result.conflicting, result.revision)
	case result.removed:
		owner.logger.Warn("job record removed by another process", "job", key.Job, "organisation", key.Organisation)
		owner.dropRemoved(job)
	default:
		owner.saveFailed(job, snapshot, result)
	}
	for _, callback := range callbacks {
		callback(result)
	}
	if len(job.saveCallbacks) > 0 && !job.saving && owner.jobs[key] == job {
		owner.beginSave(job)
	}
}

func (owner *owner) saveSucceeded(job *job, snapshot *Record, revision platform.StoreRevision) {
	job.revision = revision
	job.uncertainWrites = make(map[string]bool)
	job.saveRetries = 0
	owner.service.cache.put(snapshot, revision)
	if snapshot.State != StateStarting || snapshot.Attempt == job.record.Attempt {
		for _, member := range job.previousMembers {
			owner.manager.Forget(member.Worker, member.Lease)
		}
		job.previousMembers = nil
	}
	if snapshot.State == StateEnded {
		owner.service.removeUnwrittenEnd(snapshot.Key())
		owner.removeEndedJob(job)
	}
}

// saveFailed schedules the retry of a failed write. If the record contains the end of the job, the end is sent to the
// peers meanwhile.
func (owner *owner) saveFailed(job *job, snapshot *Record, result saveResult) {
	owner.service.count("record_writes_failed", 1)
	if result.uncertain {
		job.uncertainWrites[snapshot.WriteID] = true
	}
	owner.unsaved[snapshot.Key()] = true
	backoff := min(minSaveBackoff<<min(job.saveRetries, 5), maxSaveBackoff)
	job.saveRetries++
	job.saveRetryAt = time.Now().Add(backoff/2 + time.Duration(rand.Int64N(int64(backoff))))
	owner.logger.Warn("job record not written", "job", snapshot.Job, "organisation", snapshot.Organisation,
		"attempt", snapshot.Attempt, "error", result.err)
	if snapshot.State == StateEnded && !job.endBroadcast {
		job.endBroadcast = true
		ended := *snapshot
		owner.runAsync(func(ctx context.Context) { owner.service.broadcastEnd(ctx, &ended) })
	}
}

// dropRemoved removes a job whose record no longer exists. Its leases become unmatched.
func (owner *owner) dropRemoved(job *job) {
	owner.removeFromCore(job)
	owner.releaseLeases(job)
	owner.removeJob(job)
}

// probeStore requeues the jobs that wait for the store once the store responds and has not regressed. While the store
// does not respond and no write is due, probeStore reads the record of one of these jobs as a probe.
func (owner *owner) probeStore(now time.Time) {
	if len(owner.awaitingStore) == 0 {
		return
	}
	if owner.service.Store.Healthy() {
		if !owner.service.StoreRegressed() {
			owner.requeueAwaitingStore(now)
		}
		return
	}
	if owner.probing || len(owner.unsaved) > 0 || now.Sub(owner.probedAt) < storeProbeInterval {
		return
	}
	owner.probing = true
	owner.probedAt = now
	var key fleet.JobKey
	for key = range owner.awaitingStore {
		break
	}
	owner.runAsync(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, unhealthySaveTimeout)
		defer cancel()
		_, _, _ = owner.service.readRecord(ctx, key)
		owner.post(func() { owner.probing = false })
	})
}

// awaitStore removes a job from the core until probeStore requeues the job.
func (owner *owner) awaitStore(job *job) {
	owner.removeFromCore(job)
	owner.setPhase(job, phaseAwaitingStore)
	owner.awaitingStore[job.record.Key()] = true
}

func (owner *owner) requeueAwaitingStore(now time.Time) {
	for key := range owner.awaitingStore {
		job := owner.jobs[key]
		if job == nil {
			delete(owner.awaitingStore, key)
			continue
		}
		if job.saving || owner.unsaved[key] || !owner.coreRemovalDone(job, now) {
			continue
		}
		delete(owner.awaitingStore, key)
		owner.enqueue(job)
	}
}
