package control

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

const (
	// commitTimeout is the timeout of one transaction, for which a slow store takes a quarter of a second. The time for
	// the transmission of its records at minThroughput is added.
	commitTimeout = time.Second
	// minThroughput is the throughput to the store that a large record may need, in bytes a second: a third of a link of
	// 10 Mbit/s.
	minThroughput = 400_000
	// commitRetry is the pause after the first failure of a transaction. It doubles up to maxCommitRetry.
	commitRetry    = 80 * time.Millisecond
	maxCommitRetry = 320 * time.Millisecond
	// entriesPerJob is the maximum number of entries that a job adds to a transaction: two conditions and two writes.
	entriesPerJob = 4
)

// version is a version of a job's record or status, or of both, that is being stored.
type version struct {
	job *job
	// record is nil if only the status is stored.
	record []byte
	// status is the job's status if it has to be stored, and nil otherwise.
	status *ledger.Status
	// statusRevision is the revision that the status in the store must still have; 0 if that does not matter.
	statusRevision keyvalue.Revision
	onStored       []func()
}

// isStored reports whether the documents in the store, as a conflict shows them, are this version.
func (version version) isStored(conflict *keyvalue.ConflictError) (keyvalue.Revision, bool) {
	key, value := ledger.RecordKey(version.job.ID), version.record
	if value == nil {
		key, value = ledger.StatusKey(version.job.ID), ledger.Encode(version.status)
	}
	item, ok := conflict.Current(key)
	if !ok || !bytes.Equal(item.Value, value) {
		return 0, false
	}
	return item.Revision, true
}

// batch is a transaction with the versions that it stores.
type batch struct {
	// number identifies the batch in this term.
	number   int64
	versions []version
	// size is the size of the records, in bytes.
	size int
	txn  keyvalue.Txn
}

// full reports whether the transaction takes no further job.
func (batch *batch) full() bool {
	entries := len(batch.txn.Conditions) + len(batch.txn.Writes)
	return entries > keyvalue.MaxEntries-entriesPerJob || batch.size >= maxBatchBytes
}

const (
	// commitPatience is the time for which a flush waits for the transactions of earlier ones, so that one transaction
	// stores what has changed meanwhile. A slower transaction holds up nothing but its own jobs.
	commitPatience = 200 * time.Millisecond
	// maxPendingCommits limits the slow transactions beside which others are sent.
	maxPendingCommits = 8
	// maxBatchBytes is the size of the records from which on a transaction takes no further one, so that small records
	// do not wait for the transmission of large ones.
	maxBatchBytes = 64 << 10
)

// flush stores the changed records, and the states of jobs that have begun. It does nothing while transactions of an earlier
// flush are pending, unless they are slow. States alone are stored in one transaction at a time. Documents of jobs that are
// being stored are left for a later flush, so that each has one writer at a time.
func (loop *dispatcher) flush() {
	if len(loop.dirty) == 0 && len(loop.unpublished) == 0 || loop.awaitsCommits() {
		return
	}
	var current batch
	for _, job := range loop.dirty {
		if !job.removing && !job.writing && !job.held(loop.clock()) {
			loop.addTo(&current, job, loop.addRecord)
		}
	}
	if len(current.versions) > 0 || !loop.storesStates() {
		loop.addStates(&current)
	}
	if len(current.versions) > 0 {
		loop.commit(current)
	}
}

// addStates adds the states that are not stored yet. That of a held job is stored without its record.
func (loop *dispatcher) addStates(current *batch) {
	for job := range loop.unpublished {
		if !job.awaitsPublication() {
			delete(loop.unpublished, job)
			continue
		}
		if !job.removing && !job.writing && loop.clock() >= job.refusal.stateHeldUntil {
			loop.addTo(current, job, loop.addStatus)
		}
	}
}

// addTo adds documents of a job to the current batch. It commits a batch that is full, and a job alone whose record the
// store may refuse.
func (loop *dispatcher) addTo(current *batch, job *job, add func(*batch, *job)) {
	if job.refusal.alone {
		alone := loop.newBatch()
		add(&alone, job)
		loop.commit(alone)
		return
	}
	if current.full() {
		loop.commit(*current)
		*current = batch{}
	}
	if len(current.versions) == 0 {
		*current = loop.newBatch()
	}
	add(current, job)
}

// pendingCommit is a transaction without a known outcome.
type pendingCommit struct {
	sent time.Duration
	// statesOnly is set if it stores no record, so that no start waits for it.
	statesOnly bool
}

// awaitsCommits reports whether transactions are pending that a flush has to wait for.
func (loop *dispatcher) awaitsCommits() bool {
	return loop.anyRecentCommit(false) || len(loop.pendingCommits) >= maxPendingCommits
}

// storesStates reports whether a transaction is pending that stores states alone, and is not slow.
func (loop *dispatcher) storesStates() bool { return loop.anyRecentCommit(true) }

func (loop *dispatcher) anyRecentCommit(statesOnly bool) bool {
	now := loop.clock()
	for _, pending := range loop.pendingCommits {
		if pending.statesOnly == statesOnly && now-pending.sent < commitPatience {
			return true
		}
	}
	return false
}

func (loop *dispatcher) newBatch() batch {
	loop.commitCount++
	return batch{
		number: loop.commitCount,
		txn:    keyvalue.Txn{Conditions: []keyvalue.Condition{loop.term.Condition()}},
	}
}

// markDirty marks the record of a job as different from the stored one.
func (loop *dispatcher) markDirty(job *job) { loop.dirty[job.ID] = job }

// addRecord adds the record of a job to a batch, and its status if that changes with it. The placement of the first tasks
// depends on the status, which a cancellation changes.
func (loop *dispatcher) addRecord(batch *batch, job *job) {
	job.pruneDone(loop.clock())
	loop.writeCount++
	job.record.WriteID = strconv.FormatInt(int64(loop.term.Token), 10) + "-" + strconv.FormatInt(loop.writeCount, 10)
	stored := version{job: job, record: ledger.Encode(job.record), onStored: job.onStored}
	job.onStored, job.writing = nil, true
	delete(loop.dirty, job.ID)
	txn := &batch.txn
	txn.Conditions = append(txn.Conditions, keyvalue.Condition{
		Key: ledger.RecordKey(job.ID), Revision: job.recordRevision,
	})
	txn.Writes = append(txn.Writes, keyvalue.Write{Key: ledger.RecordKey(job.ID), Value: stored.record})
	switch state := job.record.State; {
	case job.status.State.Terminal():
	case state != job.status.State:
		stored.addStatus(txn)
		delete(loop.unpublished, job)
	case state == progress.Queued:
		stored.requireStatus(txn)
	}
	batch.versions = append(batch.versions, stored)
	batch.size += len(stored.record)
}

// addStatus adds only the status of a job to a batch.
func (loop *dispatcher) addStatus(batch *batch, job *job) {
	job.writing = true
	delete(loop.unpublished, job)
	stored := version{job: job}
	stored.addStatus(&batch.txn)
	batch.versions = append(batch.versions, stored)
}

// addStatus adds the status with the state in the job's record to a transaction.
func (version *version) addStatus(txn *keyvalue.Txn) {
	job := version.job
	next := job.status.Status
	next.State = job.record.State
	if next.State.Terminal() {
		next.Ended = time.Now().UTC()
	}
	version.status = &next
	version.requireStatus(txn)
	txn.Writes = append(txn.Writes, keyvalue.Write{Key: ledger.StatusKey(job.ID), Value: ledger.Encode(next)})
}

// requireStatus adds the condition to a transaction that the status of the job is the known one.
func (version *version) requireStatus(txn *keyvalue.Txn) {
	job := version.job
	version.statusRevision = job.status.Revision
	txn.Conditions = append(txn.Conditions, keyvalue.Condition{
		Key: ledger.StatusKey(job.ID), Revision: job.status.Revision,
	})
}

func (loop *dispatcher) commit(batch batch) {
	statesOnly := !slices.ContainsFunc(batch.versions, func(version version) bool { return version.record != nil })
	loop.pendingCommits[batch.number] = pendingCommit{sent: loop.clock(), statesOnly: statesOnly}
	loop.group.Go(func() error { return loop.store(batch) })
}

// store retries a transaction until its outcome is known, or the store refuses it in a way that a retry does not change.
// A retry is safe, because the conditions fail once the transaction has taken effect.
func (loop *dispatcher) store(batch batch) error {
	started := time.Now()
	timeout := commitTimeout + time.Duration(batch.size)*time.Second/minThroughput
	for pause := commitRetry; ; pause = min(2*pause, maxCommitRetry) {
		ctx, cancel := context.WithTimeout(loop.ctx, timeout)
		revision, err := loop.Store.Commit(ctx, batch.txn)
		cancel()
		if err == nil {
			metrics.Observe(loop.Metrics, "commit_milliseconds", time.Since(started))
			loop.post(func(loop *dispatcher) { loop.commitStored(batch, revision) })
			return nil
		}
		conflict := (*keyvalue.ConflictError)(nil)
		if errors.As(err, &conflict) {
			loop.post(func(loop *dispatcher) { loop.commitConflicted(batch, conflict) })
			return nil
		}
		if errors.Is(err, keyvalue.ErrInvalid) {
			loop.post(func(loop *dispatcher) { loop.commitRefused(batch, err) })
			return nil
		}
		if loop.ctx.Err() != nil {
			return loop.ctx.Err()
		}
		if pause == commitRetry {
			loop.Logger.Warn("records not stored yet", "jobs", len(batch.versions), "error", err.Error())
		}
		if err := lifecycle.Sleep(loop.ctx, pause); err != nil {
			return err
		}
	}
}

// commitStored handles the success of a transaction and calls the onStored functions of its versions.
func (loop *dispatcher) commitStored(batch batch, revision keyvalue.Revision) {
	delete(loop.pendingCommits, batch.number)
	for _, stored := range batch.versions {
		job := stored.job
		job.writing = false
		if stored.record != nil {
			job.recordRevision, job.refusal.alone = revision, false
		}
		if stored.status != nil {
			// The watch may have delivered this status already, or a later one.
			if job.status.Revision < revision {
				job.status = ledger.StatusEntry{Status: *stored.status, Revision: revision}
			}
			loop.Logger.Info("job state stored", "job", string(job.ID), "state", string(stored.status.State),
				"revision", int64(revision), "age_ms", time.Since(job.Accepted).Milliseconds())
		}
		for _, after := range stored.onStored {
			after()
		}
	}
	loop.planNeeded = true
}

// commitConflicted handles a transaction whose conditions failed. There are three expected causes: the term has ended,
// an earlier attempt of the transaction had taken effect, or a status has changed. After a changed status the records
// are stored again. Any other cause ends the term with errDiverged.
func (loop *dispatcher) commitConflicted(batch batch, conflict *keyvalue.ConflictError) {
	if item, ok := conflict.Current(ledger.TermKey); !ok || item.Revision != loop.term.Token {
		loop.Logger.Warn("the term key has changed; the term has ended", "token", int64(loop.term.Token))
		loop.group.Go(func() error { return errSuperseded })
		return
	}
	// The transaction stores all versions or none.
	if revision, ok := batch.versions[0].isStored(conflict); ok {
		loop.commitStored(batch, revision)
		return
	}
	delete(loop.pendingCommits, batch.number)
	statusChanged := false
	for _, refused := range batch.versions {
		job := refused.job
		loop.restoreDirty(refused)
		if item, ok := conflict.Current(ledger.StatusKey(job.ID)); ok {
			loop.adoptStatus(job, loop.readStatus(item))
		}
		statusChanged = statusChanged || refused.statusRevision != 0 && job.status.Revision != refused.statusRevision
	}
	if !statusChanged {
		loop.Logger.Error("stored records differ from those that this term wrote", "jobs", len(batch.versions))
		loop.group.Go(func() error { return errDiverged })
	}
}

// restoreDirty has a version that was not stored stored again.
func (loop *dispatcher) restoreDirty(refused version) {
	job := refused.job
	job.writing = false
	job.onStored = append(refused.onStored, job.onStored...)
	if refused.record != nil && loop.jobs[job.ID] == job {
		loop.markDirty(job)
	}
	// If the record is refused, its job is held, but the state is stored.
	loop.publish(job)
}
