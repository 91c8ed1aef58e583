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
	// sickSaveTimeout replaces saveTimeout while the store does not answer.
	sickSaveTimeout = 500 * time.Millisecond
	// maxSaves bounds the retried writes begun at once, since the store takes several hundred a second.
	maxSaves = 50
	// probeEvery is the time between two calls to a store that does not answer.
	probeEvery = time.Second
	// firstRetry and lastRetry bound the time before a failed write is repeated.
	firstRetry = 250 * time.Millisecond
	lastRetry  = 8 * time.Second
)

// saveResult tells what became of a write.
type saveResult struct {
	ok       bool
	revision platform.StoreRevision
	// foreign is the record of another process that was found instead; removed means that there is none.
	foreign *Record
	removed bool
	// doubt is true when the write may yet have taken effect.
	doubt bool
	err   error
}

// save writes the record of a job, after the write in progress if there is one. Done may be nil.
func (owner *owner) save(job *job, done func(saveResult)) {
	if done != nil {
		job.waiting = append(job.waiting, done)
	}
	owner.unsaved[job.record.Key()] = true
	if !job.saving {
		owner.beginSave(job)
	}
}

// saveLater writes the record of a job after the decisions of this turn, which may change it again.
func (owner *owner) saveLater(job *job) {
	owner.unsaved[job.record.Key()] = true
	job.retryAt = time.Time{}
}

// flush begins the writes that are due: all while the store answers, else one at a time.
func (owner *owner) flush() {
	now := time.Now()
	budget := maxSaves
	if !owner.service.Store.Healthy() {
		budget = 1
	}
	for key := range owner.unsaved {
		known := owner.jobs[key]
		if known == nil {
			delete(owner.unsaved, key)
			continue
		}
		first := known.retries == 0 && budget > 1
		if known.saving || (!first && (now.Before(known.retryAt) || now.Sub(owner.probedAt) < probeEvery && budget == 1)) {
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
	done := job.waiting
	job.waiting = nil
	job.saving = true
	delete(owner.unsaved, job.record.Key())
	snapshot := job.record
	snapshot.WriteID = owner.nextID()
	expected := job.revision
	doubtful := make(map[string]bool, len(job.doubtful))
	for id := range job.doubtful {
		doubtful[id] = true
	}
	owner.start(func(ctx context.Context) {
		result := owner.write(ctx, &snapshot, expected, doubtful)
		owner.post(func() { owner.saved(job, &snapshot, result, done) })
	})
}

// nextID returns an id for a write or a lease that is unique to this term.
func (owner *owner) nextID() string {
	owner.numbers++
	return fmt.Sprintf("%s-%d", owner.tag, owner.numbers)
}

// write writes one version of a record. A conflict is resolved by reading back.
func (owner *owner) write(ctx context.Context, snapshot *Record, expected platform.StoreRevision, doubtful map[string]bool) saveResult {
	text, err := snapshot.encode()
	if err != nil {
		return saveResult{err: err}
	}
	timeout := saveTimeout
	if !owner.service.Store.Healthy() {
		timeout = sickSaveTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		revision, err := owner.service.Store.Swap(ctx, recordKey(snapshot.Key()), text, expected)
		if err == nil {
			return saveResult{ok: true, revision: revision}
		}
		if !errors.Is(err, platform.ErrConflict) {
			return saveResult{err: err, doubt: !errors.Is(err, platform.ErrUnavailable)}
		}
		found, revision, err := owner.service.read(ctx, snapshot.Key())
		switch {
		case errors.Is(err, platform.ErrNotFound):
			return saveResult{removed: true}
		case err != nil:
			return saveResult{err: err, doubt: true}
		case found.WriteID == snapshot.WriteID:
			return saveResult{ok: true, revision: revision}
		case doubtful[found.WriteID]:
			expected = revision
		default:
			return saveResult{foreign: found, revision: revision}
		}
	}
}

// saved takes the result of a write.
func (owner *owner) saved(job *job, snapshot *Record, result saveResult, done []func(saveResult)) {
	job.saving = false
	key := snapshot.Key()
	if owner.jobs[key] != job {
		return
	}
	switch {
	case result.ok:
		owner.noteSaved(job, snapshot, result.revision)
	case result.foreign != nil:
		owner.overtaken(job, result.foreign, result.revision)
	case result.removed:
		owner.logger.Warn("job record removed by another process", "job", key.Job, "organisation", key.Organisation)
		owner.dropRemoved(job)
	default:
		owner.noteUnsaved(job, snapshot, result)
	}
	for _, follow := range done {
		follow(result)
	}
	if len(job.waiting) > 0 && !job.saving && owner.jobs[key] == job {
		owner.beginSave(job)
	}
}

func (owner *owner) noteSaved(job *job, snapshot *Record, revision platform.StoreRevision) {
	job.revision = revision
	job.doubtful = make(map[string]bool)
	job.retries = 0
	owner.service.copies.put(snapshot, revision)
	if snapshot.State != StateStarting || snapshot.Attempt == job.record.Attempt {
		for _, member := range job.old {
			owner.manager.Forget(member.Worker, member.Lease)
		}
		job.old = nil
	}
	if snapshot.State == StateEnded {
		owner.service.forgetEnd(snapshot.Key())
		owner.finished(job)
	}
}

// noteUnsaved has a failed write repeated later. The end of a job is told to the peers meanwhile.
func (owner *owner) noteUnsaved(job *job, snapshot *Record, result saveResult) {
	owner.service.count("record_writes_failed", 1)
	if result.doubt {
		job.doubtful[snapshot.WriteID] = true
	}
	owner.unsaved[snapshot.Key()] = true
	pause := min(firstRetry<<min(job.retries, 5), lastRetry)
	job.retries++
	job.retryAt = time.Now().Add(pause/2 + time.Duration(rand.Int64N(int64(pause))))
	owner.logger.Warn("job record not written", "job", snapshot.Job, "organisation", snapshot.Organisation,
		"attempt", snapshot.Attempt, "error", result.err)
	if snapshot.State == StateEnded && !job.told {
		job.told = true
		ended := *snapshot
		owner.start(func(ctx context.Context) { owner.service.tellEnd(ctx, &ended) })
	}
}

// dropRemoved forgets a job whose record no longer exists. Its leases are treated as unmatched.
func (owner *owner) dropRemoved(job *job) {
	owner.leaveCore(job)
	owner.release(job)
	owner.removeJob(job)
}

// probeStore brings the waiting jobs back once the store answers, and asks it when nothing else would.
func (owner *owner) probeStore(now time.Time) {
	if len(owner.parked) == 0 {
		return
	}
	if owner.service.Store.Healthy() {
		if !owner.service.StoreRegressed() {
			owner.unparkAll(now)
		}
		return
	}
	if owner.probing || len(owner.unsaved) > 0 || now.Sub(owner.probedAt) < probeEvery {
		return
	}
	owner.probing = true
	owner.probedAt = now
	var waiting fleet.JobKey
	for waiting = range owner.parked {
		break
	}
	owner.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sickSaveTimeout)
		defer cancel()
		_, _, _ = owner.service.read(ctx, waiting)
		owner.post(func() { owner.probing = false })
	})
}

// park takes a job out of the core until the store answers.
func (owner *owner) park(job *job) {
	owner.leaveCore(job)
	owner.setPhase(job, phaseParked)
	owner.parked[job.record.Key()] = true
}

func (owner *owner) unparkAll(now time.Time) {
	for key := range owner.parked {
		known := owner.jobs[key]
		if known == nil {
			delete(owner.parked, key)
			continue
		}
		if known.saving || owner.unsaved[key] || !owner.left(known, now) {
			continue
		}
		delete(owner.parked, key)
		owner.enqueue(known)
	}
}
