// Package keyvalue defines the interface to the platform's key-value store, which has items with revisions, leases,
// watches and transactions. It also provides a mirror of a key prefix and a monitor of the store's availability.
package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is the number of a change in the store. Each change has a higher number than all earlier changes.
type Revision int64

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID int64

// Item is a stored key with its value, the revision of its last write and its lease.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Change is a write of an item, or its deletion if Deleted is set.
type Change struct {
	Item
	Deleted bool
}

// Condition holds if the key has the revision; revision 0 requires that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key. If Lease is not 0, the store deletes the key when this lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic transaction: all of its writes and deletes are applied if all conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// MaxEntries limits the total number of conditions, writes and deletes in a transaction.
const MaxEntries = 32

// Errors of calls to the store.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrCompacted means that the store no longer has the changes after the revision of a watch, or that they are too
	// large for one response. The watcher has to list the items again.
	ErrCompacted = errors.New("watch revision was compacted in the store")
	// ErrRejected means that the store rejected the call, which had no effect.
	ErrRejected = errors.New("the store rejected the call")
	// ErrInvalid means that the store rejected the call and would reject it again, for example because a value is too
	// large. Such an error is an ErrRejected too.
	ErrInvalid = errors.New("the store does not take such a call")
	// ErrNoAnswer means that the call got no response. The call may have taken effect or may still take effect.
	ErrNoAnswer = errors.New("no response from the store")
)

// ConflictError means that a condition of a transaction did not hold, so that nothing was applied.
type ConflictError struct {
	// Items are the current items of the keys in the conditions. A key without an item does not exist.
	Items []Item
	// Incomplete is set if the items have not been received, because they are large. Then Items is empty.
	Incomplete bool
}

// Error describes the conflict.
func (conflict *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// Current returns the current item of a key, and false if the key does not exist.
func (conflict *ConflictError) Current(key string) (Item, bool) {
	for _, item := range conflict.Items {
		if item.Key == key && item.Revision != 0 {
			return item, true
		}
	}
	return Item{}, false
}

// Store is the platform's key-value store.
type Store interface {
	// Get returns an item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items under a prefix and the revision after which a watch delivers all later changes. List and
	// Watch need no timeout: they fail with ErrNoAnswer if the response does not begin in time or stops arriving.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes under a prefix after a revision, and the revision from which to continue. It returns as
	// soon as there is a change. If there is none within wait, it returns without changes. It returns ErrCompacted if
	// the store no longer has the changes after the revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Commit applies a transaction. It returns a *ConflictError if a condition does not hold, and ErrNotFound if a
	// lease of the writes has expired.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Grant returns a new lease and the time to live that the store has given it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease, or returns ErrNotFound if it has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
