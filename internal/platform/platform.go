// Package platform speaks to the platform: its key-value store and its list of VMs.
package platform

import (
	"context"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// StoreRevision numbers the writes of the store; 0 stands for an absent key.
type StoreRevision int64

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the key's last write.
	Revision StoreRevision
}

// Change is one change that a watch delivers.
type Change struct {
	Entry   Entry
	Deleted bool
	// CaughtUp is true once for each connection, when the watch has caught up with the store; Entry is empty then.
	CaughtUp bool
}

// Errors of a store call. Any other error means that the effect of a write is not known.
var (
	// ErrConflict means that the key's revision was not the expected one; nothing was written.
	ErrConflict = errors.New("key has another revision")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key does not exist")
	// ErrUnavailable means that the store did not take the call; nothing was written.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrRefused means that the store takes no such call, for example a value that is too large; nothing was written.
	ErrRefused = errors.New("store refuses the call")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is not known")
)

// Store is the platform's key-value store.
type Store interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key has the expected revision, 0 for absent, and returns the new one.
	// A lost answer is resolved by reading back: the value must be unique to this write.
	Swap(ctx context.Context, key string, value []byte, expected StoreRevision) (StoreRevision, error)
	// Delete removes the key if it has the expected revision.
	Delete(ctx context.Context, key string, expected StoreRevision) error
	// Watch delivers the entries under prefix and then their changes until ctx ends, reconnecting as needed.
	// After a reconnect it delivers the entries again; deliver is called from one goroutine.
	Watch(ctx context.Context, prefix string, deliver func(Change))
	// Healthy reports whether the last call succeeded.
	Healthy() bool
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	// ListVMs returns the current reading of the list.
	ListVMs(ctx context.Context) (fleet.Inventory, error)
}
