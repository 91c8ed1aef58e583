package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	client "github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
)

// directWatchPause is the delay before an ended watch is opened again.
const directWatchPause = 100 * time.Millisecond

// Direct is a client.Store that calls the stand-in in process: it has no connection, no retries and, unlike the real
// client, does not read a key back after a write whose response was lost.
type Direct struct {
	platform *Platform
	failed   atomic.Bool
}

// NewDirect returns a store that calls platform.
func NewDirect(platform *Platform) *Direct { return &Direct{platform: platform} }

var _ client.Store = (*Direct)(nil)

// Get returns the entry of a key, or client.ErrNotFound.
func (store *Direct) Get(ctx context.Context, key string) (client.Entry, error) {
	entry, err := store.platform.get(ctx, key)
	if err = store.recordError(err); err != nil {
		return client.Entry{}, err
	}
	if entry == nil {
		return client.Entry{}, client.ErrNotFound
	}
	return fromProto(entry), nil
}

// List returns all entries below a prefix.
func (store *Direct) List(ctx context.Context, prefix string) ([]client.Entry, error) {
	response, err := store.platform.list(ctx, &platformv1.ListRequest{Prefix: prefix})
	if err = store.recordError(err); err != nil {
		return nil, err
	}
	var entries []client.Entry
	for _, entry := range response.GetEntries() {
		entries = append(entries, fromProto(entry))
	}
	return entries, nil
}

// Swap writes a value by compare-and-swap. It returns client.ErrOutcomeUnknown if the response is lost.
func (store *Direct) Swap(
	_ context.Context, key string, value []byte, expected client.StoreRevision,
) (client.StoreRevision, error) {
	response, err := store.platform.swap(
		&platformv1.SwapRequest{Key: key, Value: value, ExpectedRevision: int64(expected)})
	if err = store.recordError(err); err != nil {
		return 0, err
	}
	if !response.GetSwapped() {
		return 0, client.ErrConflict
	}
	return client.StoreRevision(response.GetRevision()), nil
}

// Delete removes a key by compare-and-swap. It returns client.ErrOutcomeUnknown if the response is lost.
func (store *Direct) Delete(_ context.Context, key string, expected client.StoreRevision) error {
	response, err := store.platform.remove(&platformv1.DeleteRequest{Key: key, ExpectedRevision: int64(expected)})
	if err = store.recordError(err); err != nil {
		return err
	}
	if !response.GetDeleted() {
		return client.ErrConflict
	}
	return nil
}

// Watch delivers the entries below a prefix and their changes until ctx ends. After a watch has ended, it opens a
// new one.
func (store *Direct) Watch(ctx context.Context, prefix string, deliver func(client.Change)) {
	for ctx.Err() == nil {
		_ = store.platform.watch(ctx, &platformv1.WatchRequest{Prefix: prefix},
			func(change *platformv1.WatchResponse) error {
				delivered := client.Change{Deleted: change.GetDeleted(), CaughtUp: change.GetCurrent()}
				if change.GetEntry() != nil {
					delivered.Entry = fromProto(change.GetEntry())
				}
				deliver(delivered)
				return nil
			})
		_ = lifecycle.Sleep(ctx, directWatchPause)
	}
}

// Healthy reports whether the last call succeeded.
func (store *Direct) Healthy() bool { return !store.failed.Load() }

// recordError stores for Healthy whether a call failed, and converts its error into one of package client.
func (store *Direct) recordError(err error) error {
	store.failed.Store(err != nil)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errResponseLost):
		return client.ErrOutcomeUnknown
	default:
		return errors.Wrap(client.ErrUnavailable, err.Error())
	}
}

func fromProto(entry *platformv1.Entry) client.Entry {
	return client.Entry{
		Key:      entry.GetKey(),
		Value:    entry.GetValue(),
		Revision: client.StoreRevision(entry.GetRevision()),
	}
}
