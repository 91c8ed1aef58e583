// Package platform contains the clients of the platform's services: its key-value store and its list of VMs.
package platform

import (
	"context"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// StoreRevision is the number of a write in the store; 0 means that the key does not exist.
type StoreRevision int64

// Entry is a stored key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last write.
	Revision StoreRevision
}

// Change is one message of a watch: a write, a deletion, or the notification that the watch has caught up.
type Change struct {
	Entry   Entry
	Deleted bool
	// CaughtUp is set in one message for each connection of the watch, which follows the messages with all existing
	// entries. The Entry of this message is empty.
	CaughtUp bool
}

// Errors of store calls. After any other error it is unknown whether a write took effect.
var (
	// ErrConflict means that the key does not have the expected revision; nothing was written.
	ErrConflict = errors.New("key has another revision")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key does not exist")
	// ErrUnavailable means that the call was not made, that the store did not accept the call, or that a read got no
	// response; nothing was written.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrRefused means that the store refuses a call as invalid, for example because the value is too large; nothing
	// was written.
	ErrRefused = errors.New("store refuses the call")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
)

// Store is the platform's key-value store.
type Store interface {
	// Get returns one entry, or ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key has the expected revision, and returns the new revision. An expected revision of 0
	// requires that the key does not exist. After a lost response Swap reads the key to find out whether the write took
	// effect, so no other write may use the same value.
	Swap(ctx context.Context, key string, value []byte, expected StoreRevision) (StoreRevision, error)
	// Delete removes the key if it has the expected revision.
	Delete(ctx context.Context, key string, expected StoreRevision) error
	// Watch calls deliver with the entries under prefix and then with their changes until ctx ends, and reconnects as
	// needed. After a reconnect it delivers all entries again. It makes one call of deliver at a time.
	Watch(ctx context.Context, prefix string, deliver func(Change))
	// Healthy reports whether the last call succeeded.
	Healthy() bool
}

// VMList is the platform's list of VMs, which may lag behind the actual state of the VMs.
type VMList interface {
	// ListVMs returns the current contents of the list.
	ListVMs(ctx context.Context) (fleet.Inventory, error)
}
