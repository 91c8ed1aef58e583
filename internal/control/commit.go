package control

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
)

const (
	// commitTimeout bounds one transaction; a slow store takes a quarter of a second.
	commitTimeout = time.Second
	// commitRetry separates the first tries of a transaction, and commitRetryMax later ones.
	commitRetry    = 80 * time.Millisecond
	commitRetryMax = 320 * time.Millisecond
	// entriesPerJob is the most entries of a transaction that one job takes: two conditions and two writes.
	entriesPerJob = 4
	jobsPerCommit = (keyvalue.MaxEntries - 1) / entriesPerJob
)

// version is one version of a job's record on its way into the store.
type version struct {
	job    *job
	record []byte
	// status is written too if it is not nil, on the condition of statusRevision.
	status         *ledger.Status
	statusRevision keyvalue.Revision
	after          []func()
}

// batch is a transaction with the versions that it stores.
type batch struct {
	versions []version
	txn      keyvalue.Txn
}

// flush stores the changed records. A further flush waits until all transactions of this one are done, so that a
// record has one writer at a time.
func (loop *dispatcher) flush() {
	if loop.commits > 0 {
		return
	}
	var current batch
	for _, job := range loop.dirty {
		if len(current.versions) == 0 {
			current.txn.Conditions = append(current.txn.Conditions, loop.term.Condition())
		}
		loop.add(&current, job)
		if len(current.versions) == jobsPerCommit {
			loop.commit(current)
			current = batch{}
		}
	}
	if len(current.versions) > 0 {
		loop.commit(current)
	}
}

// markDirty notes that the record of a job differs from the stored one.
func (loop *dispatcher) markDirty(job *job) { loop.dirty[job.ID] = job }

func (loop *dispatcher) add(batch *batch, job *job) {
	loop.writes++
	job.record.WriteID = strconv.FormatInt(int64(loop.term.Token), 10) + "-" + strconv.FormatInt(loop.writes, 10)
	stored := version{job: job, record: ledger.Encode(job.record), after: job.after}
	job.after, job.writing = nil, true
	delete(loop.dirty, job.ID)
	txn := &batch.txn
	txn.Conditions = append(txn.Conditions, keyvalue.Condition{Key: ledger.RecordKey(job.ID), Revision: job.recordRevision})
	txn.Writes = append(txn.Writes, keyvalue.Write{Key: ledger.RecordKey(job.ID), Value: stored.record})
	if state := job.record.State; state != job.status.State && !job.status.State.Terminal() {
		next := job.status.Status
		next.State = state
		if state.Terminal() {
			next.Ended = time.Now().UTC()
		}
		stored.status, stored.statusRevision = &next, job.status.Revision
		key := ledger.StatusKey(job.ID)
		txn.Conditions = append(txn.Conditions, keyvalue.Condition{Key: key, Revision: job.status.Revision})
		txn.Writes = append(txn.Writes, keyvalue.Write{Key: key, Value: ledger.Encode(next)})
	}
	batch.versions = append(batch.versions, stored)
}

func (loop *dispatcher) commit(batch batch) {
	loop.commits++
	loop.group.Go(func() error { return loop.store(batch) })
}

// store tries a transaction until its outcome is known. Trying again is safe, since its conditions fail once it has
// taken effect.
func (loop *dispatcher) store(batch batch) error {
	started := time.Now()
	for pause := commitRetry; ; pause = min(2*pause, commitRetryMax) {
		ctx, cancel := context.WithTimeout(loop.ctx, commitTimeout)
		revision, err := loop.Store.Commit(ctx, batch.txn)
		cancel()
		if err == nil {
			metrics.Observe(loop.Metrics, "commit_milliseconds", time.Since(started))
			loop.post(func(loop *dispatcher) { loop.stored(batch, revision) })
			return nil
		}
		conflict := (*keyvalue.ConflictError)(nil)
		if errors.As(err, &conflict) {
			loop.post(func(loop *dispatcher) { loop.conflicted(batch, conflict) })
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

// stored takes the success of a transaction: what waited for it may happen now.
func (loop *dispatcher) stored(batch batch, revision keyvalue.Revision) {
	loop.commits--
	for _, stored := range batch.versions {
		job := stored.job
		job.recordRevision, job.writing = revision, false
		if stored.status != nil {
			// The watch may have brought this status already, or a later one.
			if job.status.Revision < revision {
				job.status = ledger.StatusEntry{Status: *stored.status, Revision: revision}
			}
			loop.Logger.Info("job state stored", "job", string(job.ID), "state", string(stored.status.State),
				"revision", int64(revision), "age_ms", time.Since(job.Accepted).Milliseconds())
		}
		for _, after := range stored.after {
			after()
		}
	}
	loop.changed = true
}

// conflicted takes the failure of a transaction's conditions: it had taken effect before, a status changed, or the
// term is over.
func (loop *dispatcher) conflicted(batch batch, conflict *keyvalue.ConflictError) {
	if item, ok := conflict.Current(ledger.TermKey); !ok || item.Revision != loop.term.Token {
		loop.Logger.Warn("the term is over", "token", int64(loop.term.Token))
		loop.group.Go(func() error { return errSucceeded })
		return
	}
	if revision, ok := takenEffect(batch, conflict); ok {
		loop.stored(batch, revision)
		return
	}
	loop.commits--
	explained := false
	for _, refused := range batch.versions {
		job := refused.job
		job.writing = false
		loop.markDirty(job)
		job.after = append(refused.after, job.after...)
		if item, ok := conflict.Current(ledger.StatusKey(job.ID)); ok {
			if status, err := ledger.Decode[ledger.Status](item); err == nil {
				loop.adoptStatus(job, ledger.StatusEntry{Status: status, Revision: item.Revision})
			}
		}
		explained = explained || refused.status != nil && job.status.Revision != refused.statusRevision
	}
	if !explained {
		loop.Logger.Error("records are not as this term stored them", "jobs", len(batch.versions))
		loop.group.Go(func() error { return errDiverged })
	}
}

// takenEffect reports whether an earlier try of the transaction was carried out without an answer.
func takenEffect(batch batch, conflict *keyvalue.ConflictError) (keyvalue.Revision, bool) {
	first := batch.versions[0]
	item, ok := conflict.Current(ledger.RecordKey(first.job.ID))
	if !ok || string(item.Value) != string(first.record) {
		return 0, false
	}
	return item.Revision, true
}

// expire removes jobs whose state need not be told any longer.
func (loop *dispatcher) expire() {
	if loop.commits > 0 {
		return
	}
	txn := keyvalue.Txn{Conditions: []keyvalue.Condition{loop.term.Condition()}}
	var ids []*job
	for id, job := range loop.jobs {
		old := job.status.State.Terminal() && time.Since(job.status.Ended) > loop.Retention
		if !old || job.record.AnyPlaced() || len(txn.Deletes)+3 >= keyvalue.MaxEntries {
			continue
		}
		txn.Deletes = append(txn.Deletes, ledger.JobKey(id), ledger.RecordKey(id), ledger.StatusKey(id))
		ids = append(ids, job)
	}
	if len(ids) == 0 {
		return
	}
	for _, job := range ids {
		loop.forget(job.ID)
	}
	loop.group.Go(func() error {
		ctx, cancel := context.WithTimeout(loop.ctx, commitTimeout)
		defer cancel()
		if _, err := loop.Store.Commit(ctx, txn); err != nil {
			// The next term's holder finds the documents again and removes them.
			loop.Logger.Info("old jobs not removed", "jobs", len(ids), "error", err.Error())
		}
		return nil
	})
}
