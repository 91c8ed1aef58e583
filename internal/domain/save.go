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
	// saveTimeout bounds one write. It leaves a second of the time in which a Start may be sent.
	saveTimeout = 2 * time.Second
	// unhealthySaveTimeout replaces saveTimeout while the store does not answer.
	unhealthySaveTimeout = 500 * time.Millisecond
	// maxSavesPerTurn bounds the retried writes begun at once, since the store takes several hundred a second.
	maxSavesPerTurn = 50
	// storeProbeInterval is the time between two calls to a store that does not answer.
	storeProbeInterval = time.Second
	// minSaveBackoff and lastRetry bound the time before a failed write is repeated.
	minSaveBackoff = 250 * time.Millisecond
	maxSaveBackoff  = 8 * time.Second
)

// saveResult tells what became of a write.
type saveResult struct {
	ok       bool
	revision platform.StoreRevision
	// conflicting is the record of another process that was found instead; removed means that there is none.
	conflicting *Record
	removed bool
	// uncertain is true when the write may yet have taken effect.
	uncertain bool
	err   error
}

// save writes the record of a job, after the write in progress if there is one. Done may be nil.
func (owner *owner) save(job *job, done func(saveResult)) {
	if done != nil {
		job.saveCallbacks = append(job.saveCallbacks, done)
	}
	owner.unsaved[job.record.Key()] = true
	if !job.saving {
		owner.beginSave(job)
	}
}

// saveLater writes the record of a job after the decisions of this turn, which may change it again.
func (owner *owner) saveLater(job *job) {
	owner.unsaved[job.record.Key()] = true
	job.saveRetryAt = time.Time{}
}

// flush begins the writes that are due: all while the store answers, else one at a time.
func (owner *owner) flush() {
	now := time.Now()
	budget := maxSavesPerTurn
	if !owner.service.Store.Healthy() {
		budget = 1
	}
	for key := range owner.unsaved {
		known := owner.jobs[key]
		if known == nil {
			delete(owner.unsaved, key)
			continue
		}
		first := known.saveRetries == 0 && budget > 1
		if known.saving || (!first && (now.Before(known.saveRetryAt) || now.Sub(owner.probedAt) < storeProbeInterval && budget == 1)) {
			continue
		}
		owner.probedAt = now
		owner.beginSave(known)
		if budget--; budget == 0 {
			return
		}
	}
}

func (owner *owner) beginSave(job *job) {
	done := job.saveCallbacks
	job.saveCallbacks = nil
	job.saving = true
	delete(owner.unsaved, job.record.Key())
	snapshot := job.record
	snapshot.WriteID = owner.nextID()
	expected := job.revision
	doubtful := make(map[string]bool, len(job.uncertainWrites))
	for id := range job.uncertainWrites {
		doubtful[id] = true
	}
	owner.runAsync(func(ctx context.Context) {
		result := owner.write(ctx, &snapshot, expected, doubtful)
		owner.post(func() { owner.saveDone(job, &snapshot, result, done) })
	})
}

// nextID returns an id for a write or a lease that is unique to this term.
func (owner *owner) nextID() string {
	owner.idCounter++
	return fmt.Sprintf("%s-%d", owner.termID, owner.idCounter)
}

// write writes one version of a record. A conflict is resolved by reading back.
func (owner *owner) write(ctx context.Context, snapshot *Record, expected platform.StoreRevision, doubtful map[string]bool) saveResult {
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
		found, revision, err := owner.service.readRecord(ctx, snapshot.Key())
		switch {
		case errors.Is(err, platform.ErrNotFound):
			return saveResult{removed: true}
		case err != nil:
			return saveResult{err: err, uncertain: true}
		case found.WriteID == snapshot.WriteID:
			return saveResult{ok: true, revision: revision}
		case doubtful[found.WriteID]:
			expected = revision
		default:
			return saveResult{conflicting: found, revision: revision}
		}
	}
}

// saveDone takes the result of a write.
func (owner *owner) saveDone(job *job, snapshot *Record, result saveResult, done []func(saveResult)) {
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
	for _, follow := range done {
		follow(result)
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
		owner.forgetEndedJob(job)
	}
}

// saveFailed has a failed write repeated later. The end of a job is told to the peers meanwhile.
func (owner *owner) saveFailed(job *job, snapshot *Record, result saveResult) {
	owner.service.count("record_writes_failed", 1)
	if result.uncertain {
		job.uncertainWrites[snapshot.WriteID] = true
	}
	owner.unsaved[snapshot.Key()] = true
	pause := min(minSaveBackoff<<min(job.saveRetries, 5), maxSaveBackoff)
	job.saveRetries++
	job.saveRetryAt = time.Now().Add(pause/2 + time.Duration(rand.Int64N(int64(pause))))
	owner.logger.Warn("job record not written", "job", snapshot.Job, "organisation", snapshot.Organisation,
		"attempt", snapshot.Attempt, "error", result.err)
	if snapshot.State == StateEnded && !job.endBroadcast {
		job.endBroadcast = true
		ended := *snapshot
		owner.runAsync(func(ctx context.Context) { owner.service.broadcastEnd(ctx, &ended) })
	}
}

// dropRemoved forgets a job whose record no longer exists. Its leases are treated as unmatched.
func (owner *owner) dropRemoved(job *job) {
	owner.removeFromCore(job)
	owner.releaseLeases(job)
	owner.removeJob(job)
}

// probeStore brings the waiting jobs back once the store answers, and asks it when nothing else would.
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
	var waiting fleet.JobKey
	for waiting = range owner.awaitingStore {
		break
	}
	owner.runAsync(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, unhealthySaveTimeout)
		defer cancel()
		_, _, _ = owner.service.readRecord(ctx, waiting)
		owner.post(func() { owner.probing = false })
	})
}

// awaitStore takes a job out of the core until the store answers.
func (owner *owner) awaitStore(job *job) {
	owner.removeFromCore(job)
	owner.setPhase(job, phaseAwaitingStore)
	owner.awaitingStore[job.record.Key()] = true
}

func (owner *owner) requeueAwaitingStore(now time.Time) {
	for key := range owner.awaitingStore {
		known := owner.jobs[key]
		if known == nil {
			delete(owner.awaitingStore, key)
			continue
		}
		if known.saving || owner.unsaved[key] || !owner.coreRemovalDone(known, now) {
			continue
		}
		delete(owner.awaitingStore, key)
		owner.enqueue(known)
	}
}
