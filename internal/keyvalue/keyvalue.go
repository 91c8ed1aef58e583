// Package keyvalue is the interface to the platform's store: items with revisions, leases, watches and transactions.
package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision numbers the changes of the store; it only rises.
type Revision int64

// LeaseID names a lease of the store; 0 is none.
type LeaseID int64

// Item is one key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Change is an item as it was written, or a deletion.
type Change struct {
	Item
	Deleted bool
}

// Condition holds while a key has a revision; revision 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key, under a lease if one is given.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is applied whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// MaxEntries bounds the conditions, writes and deletes of a transaction together.
const MaxEntries = 32

// The kinds of failure of a call to the store.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrCompacted means that the history after the revision is gone: the reader lists again.
	ErrCompacted = errors.New("the store's history is gone")
	// ErrRejected means that the store refused the call and did nothing.
	ErrRejected = errors.New("the store refused the call")
	// ErrNoAnswer means that the call may have taken effect, or may yet do so.
	ErrNoAnswer = errors.New("no answer from the store")
)

// ConflictError means that a condition of a transaction did not hold. Items are the current ones of its conditions;
// a key that is missing among them does not exist.
type ConflictError struct{ Items []Item }

// Error describes the conflict.
func (conflict *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// Current returns the item of a key, and false if the key does not exist.
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
	// List returns the items under a prefix and the revision from which a watch misses nothing of them.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes under a prefix after a revision as soon as there is one, or none after wait, and the
	// revision to continue from. It returns ErrCompacted when that history is gone.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Commit applies a transaction. It returns a *ConflictError when a condition does not hold, and ErrNotFound when a
	// lease has ended.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Grant returns a new lease and the time to live that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease, or returns ErrNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
