package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Monitor passes calls on to a store and notes whether the store can be reached.
type Monitor struct {
	Store

	mu       sync.Mutex
	failures int
	since    time.Time
}

const (
	// lostFailures is how many calls in a row must fail before the store counts as lost.
	lostFailures = 2
	// lostAfter is how long after the first of them the store counts as lost.
	lostAfter = 500 * time.Millisecond
)

// NewMonitor returns a monitor of a store that counts as reachable.
func NewMonitor(store Store) *Monitor { return &Monitor{Store: store} }

// StoreLost reports whether the store has left the latest calls unanswered or refused them.
func (monitor *Monitor) StoreLost() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.failures >= lostFailures && time.Since(monitor.since) >= lostAfter
}

// note counts an outcome. A call that its own caller ended says nothing about the store.
func (monitor *Monitor) note(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if !errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrRejected) {
		monitor.failures = 0
		return
	}
	if monitor.failures == 0 {
		monitor.since = time.Now()
	}
	monitor.failures++
}

// Get returns an item, or ErrNotFound.
func (monitor *Monitor) Get(ctx context.Context, key string) (Item, error) {
	item, err := monitor.Store.Get(ctx, key)
	monitor.note(ctx, err)
	return item, err
}

// List returns the items under a prefix.
func (monitor *Monitor) List(ctx context.Context, prefix string) ([]Item, Revision, error) {
	items, revision, err := monitor.Store.List(ctx, prefix)
	monitor.note(ctx, err)
	return items, revision, err
}

// Watch returns the changes under a prefix after a revision.
func (monitor *Monitor) Watch(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Change, Revision, error) {
	changes, revision, err := monitor.Store.Watch(ctx, prefix, after, wait)
	monitor.note(ctx, err)
	return changes, revision, err
}

// Commit applies a transaction.
func (monitor *Monitor) Commit(ctx context.Context, txn Txn) (Revision, error) {
	revision, err := monitor.Store.Commit(ctx, txn)
	monitor.note(ctx, err)
	return revision, err
}

// KeepAlive renews a lease. Renewals are frequent and short, so they show early that the store is silent.
func (monitor *Monitor) KeepAlive(ctx context.Context, lease LeaseID) error {
	err := monitor.Store.KeepAlive(ctx, lease)
	monitor.note(ctx, err)
	return err
}
