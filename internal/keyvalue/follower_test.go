package keyvalue

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

const followedKey = "followed"

// versionedStore holds one key. Each response takes sending for each version that it carries.
type versionedStore struct {
	Store
	size    int
	sending time.Duration
	// revision is the newest version, and carried the number of versions that were sent.
	revision, carried atomic.Int64
}

func newVersionedStore() *versionedStore {
	store := &versionedStore{size: 2 * largeValue, sending: 800 * time.Millisecond}
	store.revision.Store(1)
	return store
}

func (store *versionedStore) newest() Revision { return Revision(store.revision.Load()) }

func (store *versionedStore) item(revision Revision) Item {
	return Item{Key: followedKey, Value: bytes.Repeat([]byte{'x'}, store.size), Revision: revision}
}

func (store *versionedStore) send(versions int) {
	store.carried.Add(int64(versions))
	time.Sleep(time.Duration(versions) * store.sending)
}

func (store *versionedStore) List(context.Context, string) ([]Item, Revision, error) {
	newest := store.newest()
	store.send(1)
	return []Item{store.item(newest)}, newest, nil
}

func (store *versionedStore) Watch(
	ctx context.Context, _ string, after Revision, wait time.Duration,
) ([]Change, Revision, error) {
	for deadline := time.Now().Add(wait); store.newest() == after && time.Now().Before(deadline); {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
	newest := store.newest()
	var changes []Change
	for revision := after + 1; revision <= newest; revision++ {
		changes = append(changes, Change{Item: store.item(revision)})
	}
	store.send(len(changes))
	return changes, newest, nil
}

// withFollower runs a test with a follower of a store, and a function that returns the newest version that it has applied.
func withFollower(t *testing.T, store *versionedStore, test func(*Follower, func() Revision)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var applied atomic.Int64
		began := time.Now()
		follower := &Follower{
			Store: store, Key: followedKey, Wait: time.Second, RetryPause: 100 * time.Millisecond,
			Apply:   func(item Item, _ Source) { applied.Store(max(applied.Load(), int64(item.Revision))) },
			Confirm: func(time.Duration) {}, Clock: func() time.Duration { return time.Since(began) },
			Logger: hclog.NewNullLogger(),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = follower.Run(ctx)
		}()
		time.Sleep(3 * time.Second)
		test(follower, func() Revision { return Revision(applied.Load()) })
		cancel()
		<-done
	})
}

// TestFollowerCatchesUp guards against a follower that falls ever further behind versions written faster than sent.
func TestFollowerCatchesUp(t *testing.T) {
	const interval = 300 * time.Millisecond
	store := newVersionedStore()
	limit := 2*store.sending + catchUpPause + interval
	withFollower(t, store, func(_ *Follower, applied func() Revision) {
		for range 60 {
			store.revision.Add(1)
			time.Sleep(interval)
			if behind := time.Duration(store.newest()-applied()) * interval; behind > limit {
				t.Errorf("version %d is the newest known, %s behind, want at most %s", applied(), behind, limit)
			}
		}
		time.Sleep(limit)
		if applied() != store.newest() {
			t.Errorf("version %d is the newest known, want %d", applied(), store.newest())
		}
	})
}

// TestRefreshOfLargeValue guards against a refresh that transfers a large value although it has not changed.
func TestRefreshOfLargeValue(t *testing.T) {
	store := newVersionedStore()
	withFollower(t, store, func(follower *Follower, _ func() Revision) {
		carried := store.carried.Load()
		for range 10 {
			if err := follower.Refresh(context.Background()); err != nil {
				t.Error(err)
			}
			time.Sleep(70 * time.Millisecond)
		}
		if transferred := store.carried.Load() - carried; transferred != 0 {
			t.Errorf("ten refreshes have transferred %d versions, want none", transferred)
		}
	})
}
