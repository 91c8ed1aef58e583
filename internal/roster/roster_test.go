package roster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
)

// fakeStore holds announcements under leases that end when they are not renewed.
type fakeStore struct {
	keyvalue.Store

	mu      sync.Mutex
	failing bool
	last    keyvalue.LeaseID
	until   map[keyvalue.LeaseID]time.Time
	keys    map[string]keyvalue.Write
}

func newFakeStore() *fakeStore {
	return &fakeStore{until: map[keyvalue.LeaseID]time.Time{}, keys: map[string]keyvalue.Write{}}
}

func (store *fakeStore) Grant(_ context.Context, ttl time.Duration) (keyvalue.LeaseID, time.Duration, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.failing {
		return 0, 0, keyvalue.ErrNoAnswer
	}
	store.last++
	store.until[store.last] = time.Now().Add(ttl)
	return store.last, ttl, nil
}

func (store *fakeStore) Commit(_ context.Context, txn keyvalue.Txn) (keyvalue.Revision, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, write := range txn.Writes {
		store.keys[write.Key] = write
	}
	return 1, nil
}

func (store *fakeStore) KeepAlive(_ context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.failing {
		return keyvalue.ErrNoAnswer
	}
	if time.Now().After(store.until[lease]) {
		return keyvalue.ErrNotFound
	}
	store.until[lease] = time.Now().Add(testTTL)
	return nil
}

func (store *fakeStore) Revoke(_ context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	delete(store.until, lease)
	return nil
}

// listed returns the announcements whose leases have not ended.
func (store *fakeStore) listed() []keyvalue.Change {
	store.mu.Lock()
	defer store.mu.Unlock()
	var changes []keyvalue.Change
	for key, write := range store.keys {
		if time.Now().Before(store.until[write.Lease]) {
			changes = append(changes, keyvalue.Change{Item: keyvalue.Item{Key: key, Value: write.Value, Revision: 1}})
		}
	}
	return changes
}

const testTTL = 3 * time.Second

func newTestRoster(store *fakeStore, name string, share float64) *Roster {
	began := time.Now()
	return &Roster{
		Store: store, Self: Member{Name: name, ProcessorCores: share}, TTL: testTTL,
		Clock: func() time.Duration { return time.Since(began) }, Logger: hclog.NewNullLogger(),
	}
}

// TestAnnouncement guards the list against processes that are gone and against one that stays missing after an outage
// in which its lease ended.
func TestAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		roster := newTestRoster(store, "a", 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = roster.Run(ctx)
		}()
		steps := []struct {
			name   string
			change func()
			wait   time.Duration
			listed int
		}{
			{"announced at once", func() {}, time.Millisecond, 1},
			{"renewed", func() {}, time.Minute, 1},
			{"lapses in an outage", func() { store.failing = true }, testTTL + time.Second, 0},
			{"back after the outage", func() { store.failing = false }, 2 * time.Second, 1},
			{"withdrawn by a stop", cancel, time.Millisecond, 0},
		}
		for _, step := range steps {
			store.mu.Lock()
			step.change()
			store.mu.Unlock()
			time.Sleep(step.wait)
			if listed := len(store.listed()); listed != step.listed {
				t.Errorf("%s: %d processes are listed, want %d", step.name, listed, step.listed)
			}
		}
		<-done
	})
}

// TestLarger guards which process leaves the term to another: only to one with clearly more processor time that has
// stayed for a while.
func TestLarger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		announce := func(name string, share float64) keyvalue.Change {
			value := ledger.Encode(Member{Name: name, ProcessorCores: share})
			return keyvalue.Change{Item: keyvalue.Item{Key: ledger.MemberKey(name), Value: value, Revision: 1}}
		}
		other := keyvalue.Change{Item: keyvalue.Item{Key: ledger.TermKey, Value: []byte("x"), Revision: 2}}
		gone := keyvalue.Change{Item: keyvalue.Item{Key: ledger.MemberKey("large")}, Deleted: true}
		roster := newTestRoster(newFakeStore(), "a", 0.2)
		steps := []struct {
			name    string
			changes []keyvalue.Change
			whole   bool
			wait    time.Duration
			larger  bool
		}{
			{"nobody", nil, true, 0, false},
			{"equals", []keyvalue.Change{announce("b", 0.2), announce("c", 0.22), other}, false, time.Minute, false},
			{"a larger one just now", []keyvalue.Change{announce("large", 0.8)}, false, 0, false},
			{"a larger one for a while", nil, false, 3 * time.Second, true},
			{"listed again", []keyvalue.Change{announce("large", 0.8)}, true, 0, true},
			{"gone", []keyvalue.Change{gone}, false, 0, false},
			{"back just now", []keyvalue.Change{announce("large", 0.8)}, false, 0, false},
			{"not in a new listing", nil, true, time.Minute, false},
		}
		for _, step := range steps {
			roster.Apply(step.changes, step.whole)
			time.Sleep(step.wait)
			if larger := roster.HasLargerMember(2 * time.Second); larger != step.larger {
				t.Errorf("%s: larger %t, want %t", step.name, larger, step.larger)
			}
		}
	})
}
