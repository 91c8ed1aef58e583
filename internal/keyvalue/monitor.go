package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Monitor wraps a store and detects from the results of the calls whether the store can be reached.
type Monitor struct {
	Store

	mu                  sync.Mutex
	consecutiveFailures int
	failingSince        time.Time
	lastOutage          Outage
}

// Outage is a time in which the store could not be reached.
type Outage struct{ Began, Ended time.Time }

const (
	// lostFailures is the number of consecutive failed calls after which the store counts as lost.
	lostFailures = 2
	// lostAfter is the time that must have passed since the first of the consecutive failed calls before the store
	// counts as lost.
	lostAfter = 500 * time.Millisecond
)

// NewMonitor returns a monitor of a store. The store counts as reachable until calls fail.
func NewMonitor(store Store) *Monitor { return &Monitor{Store: store} }

// StoreLost reports whether the store counts as lost. This is the case if at least lostFailures calls have failed since
// the last successful call, and the first of them failed at least lostAfter ago. A call fails if the store does not
// respond to it or rejects it.
func (monitor *Monitor) StoreLost() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.lost()
}

func (monitor *Monitor) lost() bool {
	return monitor.consecutiveFailures >= lostFailures && time.Since(monitor.failingSince) >= lostAfter
}

// LastOutage returns the latest time in which the store was lost that has ended, or the zero value.
func (monitor *Monitor) LastOutage() Outage {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.lastOutage
}

// recordResult counts a failed call, or resets the count after any other result. Calls that their own caller cancelled
// are ignored, because they are not evidence of a failure of the store.
func (monitor *Monitor) recordResult(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if !errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrRejected) {
		if monitor.lost() {
			monitor.lastOutage = Outage{Began: monitor.failingSince, Ended: time.Now()}
		}
		monitor.consecutiveFailures = 0
		return
	}
	if monitor.consecutiveFailures == 0 {
		monitor.failingSince = time.Now()
	}
	monitor.consecutiveFailures++
}

// Get returns an item, or ErrNotFound.
func (monitor *Monitor) Get(ctx context.Context, key string) (Item, error) {
	item, err := monitor.Store.Get(ctx, key)
	monitor.recordResult(ctx, err)
	return item, err
}

// List returns the items under a prefix.
func (monitor *Monitor) List(ctx context.Context, prefix string) ([]Item, Revision, error) {
	items, revision, err := monitor.Store.List(ctx, prefix)
	monitor.recordResult(ctx, err)
	return items, revision, err
}

// Watch returns the changes under a prefix after a revision.
func (monitor *Monitor) Watch(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Change, Revision, error) {
	changes, revision, err := monitor.Store.Watch(ctx, prefix, after, wait)
	monitor.recordResult(ctx, err)
	return changes, revision, err
}

// Commit applies a transaction.
func (monitor *Monitor) Commit(ctx context.Context, txn Txn) (Revision, error) {
	revision, err := monitor.Store.Commit(ctx, txn)
	monitor.recordResult(ctx, err)
	return revision, err
}

// KeepAlive renews a lease. Renewals are frequent and short calls, so they are the first to fail when the store is
// lost.
func (monitor *Monitor) KeepAlive(ctx context.Context, lease LeaseID) error {
	err := monitor.Store.KeepAlive(ctx, lease)
	monitor.recordResult(ctx, err)
	return err
}
