package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
)

const (
	// expiryInterval is the minimum interval between two searches for jobs whose retention has ended, unless the former
	// one found more than a transaction can delete.
	expiryInterval = 5 * time.Second
	// removalsPerCommit is the number of jobs that one transaction deletes: each needs a condition and three deletes.
	removalsPerCommit = (keyvalue.MaxEntries - 1) / 4
)

// removeExpiredJobs deletes the documents of jobs whose retention has ended, on condition that their statuses have not
// changed. Without the condition, a deletion that the store carries out late could delete a later job with the same id.
func (loop *dispatcher) removeExpiredJobs() {
	txn := keyvalue.Txn{Conditions: []keyvalue.Condition{loop.term.Condition()}}
	var expired []*job
	for id, job := range loop.jobs {
		old := job.status.State.Terminal() && time.Since(job.status.Ended) > loop.Retention
		if !old || job.removing || job.writing || job.record.AnyPlaced() || len(job.runs) > 0 {
			continue
		}
		if len(expired) == removalsPerCommit {
			break
		}
		txn.Conditions = append(txn.Conditions, keyvalue.Condition{
			Key: ledger.StatusKey(id), Revision: job.status.Revision,
		})
		txn.Deletes = append(txn.Deletes, ledger.JobKey(id), ledger.RecordKey(id), ledger.StatusKey(id))
		job.removing = true
		expired = append(expired, job)
	}
	if len(expired) == 0 {
		return
	}
	loop.group.Go(func() error {
		ctx, cancel := context.WithTimeout(loop.ctx, commitTimeout)
		defer cancel()
		_, err := loop.Store.Commit(ctx, txn)
		loop.post(func(loop *dispatcher) { loop.handleRemovalOutcome(expired, err) })
		return nil
	})
}

// handleRemovalOutcome drops jobs whose documents were deleted. Other jobs are kept, because a job that is not known
// counts as new when its document is listed again; the next search finds them once more.
func (loop *dispatcher) handleRemovalOutcome(expired []*job, err error) {
	conflict := (*keyvalue.ConflictError)(nil)
	conflicted := errors.As(err, &conflict)
	for _, job := range expired {
		job.removing = false
		switch {
		case err == nil:
			loop.removeJob(job.ID)
		case conflicted && !conflict.Incomplete:
			loop.resolveRemoval(job, conflict)
		}
	}
	if err != nil {
		loop.Logger.Info("expired jobs not removed", "jobs", len(expired), "error", err.Error())
	} else if len(expired) == removalsPerCommit {
		loop.lastExpiry = loop.clock() - expiryInterval
	}
}

// resolveRemoval handles a job whose removal conflicted. If it has no status, an earlier deletion without a response has
// taken effect, which deleted all of its documents.
func (loop *dispatcher) resolveRemoval(job *job, conflict *keyvalue.ConflictError) {
	item, ok := conflict.Current(ledger.StatusKey(job.ID))
	if !ok {
		loop.removeJob(job.ID)
		return
	}
	loop.adoptStatus(job, loop.readStatus(item))
}
