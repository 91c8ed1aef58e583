package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

const (
	// tombstonesPerCommit is the number of tombstones that one transaction deletes: each needs a condition and a delete.
	tombstonesPerCommit = (keyvalue.MaxEntries - 1) / 2
	// tombstoneRemovalPause is the pause between two such transactions. It leaves most of the store's writes to others
	// after an organisation has cancelled thousands of jobs that are not stored.
	tombstoneRemovalPause = 50 * time.Millisecond
)

// removeTombstones deletes the tombstones whose retention has ended, unless an earlier call still does so. Its goroutine
// ends when none is left, or after the first call to the store that fails: the next sweep tries again.
func (loop *dispatcher) removeTombstones() {
	if loop.Tombstones == nil {
		return
	}
	gometrics.GetOrRegisterGauge("tombstones", loop.Metrics).Update(int64(loop.Tombstones.Len()))
	if loop.removingTombstones || len(loop.expiredTombstones()) == 0 {
		return
	}
	loop.removingTombstones = true
	loop.group.Go(func() error {
		for expired := loop.expiredTombstones(); len(expired) > 0; expired = loop.expiredTombstones() {
			if err := loop.deleteTombstones(expired); err != nil {
				loop.Logger.Info("expired tombstones not removed", "tombstones", len(expired), "error", err.Error())
				break
			}
			if lifecycle.Sleep(loop.ctx, tombstoneRemovalPause) != nil {
				break
			}
		}
		loop.post(func(loop *dispatcher) { loop.removingTombstones = false })
		return nil
	})
}

func (loop *dispatcher) expiredTombstones() []keyvalue.Condition {
	return loop.Tombstones.Before(tombstonesPerCommit, time.Now().Add(-loop.Retention))
}

// deleteTombstones deletes tombstones on condition that they have not changed. Without the condition, a deletion that the
// store carries out late could remove a later tombstone of the same job.
func (loop *dispatcher) deleteTombstones(expired []keyvalue.Condition) error {
	txn := keyvalue.Txn{Conditions: append([]keyvalue.Condition{loop.term.Condition()}, expired...)}
	for _, tombstone := range expired {
		txn.Deletes = append(txn.Deletes, tombstone.Key)
	}
	ctx, cancel := context.WithTimeout(loop.ctx, commitTimeout)
	defer cancel()
	_, err := loop.Store.Commit(ctx, txn)
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		// Those that are gone or have changed were deleted by an earlier call without a response, or written again. The
		// watch delivers what they are now.
		loop.Tombstones.Remove(changedSince(expired, conflict))
		return errors.Wrap(err, "tombstones have changed")
	}
	if err == nil {
		loop.Tombstones.Remove(expired)
	}
	return err
}

// changedSince returns those of the conditions that do not hold by the items of a conflict.
func changedSince(conditions []keyvalue.Condition, conflict *keyvalue.ConflictError) []keyvalue.Condition {
	var changed []keyvalue.Condition
	for _, condition := range conditions {
		if item, ok := conflict.Current(condition.Key); !conflict.Incomplete && (!ok || item.Revision != condition.Revision) {
			changed = append(changed, condition)
		}
	}
	return changed
}
