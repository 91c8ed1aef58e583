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

// fakeStore holds member records under leases that expire unless they are renewed.
type fakeStore struct {
	keyvalue.Store

	mu        sync.Mutex
	failing   bool
	lastLease keyvalue.LeaseID
	expiries  map[keyvalue.LeaseID]time.Time
	keys      map[string]keyvalue.Write
}

func newFakeStore() *fakeStore {
	return &fakeStore{expiries: map[keyvalue.LeaseID]time.Time{}, keys: map[string]keyvalue.Write{}}
}

func (store *fakeStore) Grant(_ context.Context, ttl time.Duration) (keyvalue.LeaseID, time.Duration, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.failing {
		return 0, 0, keyvalue.ErrNoAnswer
	}
	store.lastLease++
	store.expiries[store.lastLease] = time.Now().Add(ttl)
	return store.lastLease, ttl, nil
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
	if time.Now().After(store.expiries[lease]) {
		return keyvalue.ErrNotFound
	}
	store.expiries[lease] = time.Now().Add(testTTL)
	return nil
}

func (store *fakeStore) Revoke(_ context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	delete(store.expiries, lease)
	return nil
}

// listed returns the member records whose leases have not expired.
func (store *fakeStore) listed() []keyvalue.Change {
	store.mu.Lock()
	defer store.mu.Unlock()
	var changes []keyvalue.Change
	for key, write := range store.keys {
		if time.Now().Before(store.expiries[write.Lease]) {
			changes = append(changes, keyvalue.Change{Item: keyvalue.Item{Key: key, Value: write.Value, Revision: 1}})
		}
	}
	return changes
}

const testTTL = 3 * time.Second

func newTestRoster(store *fakeStore, name string, cores float64) *Roster {
	started := time.Now()
	return &Roster{
		Store: store, Self: Member{Name: name, ProcessorCores: cores}, TTL: testTTL,
		Clock: func() time.Duration { return time.Since(started) }, Logger: hclog.NewNullLogger(),
	}
}

// TestRegistration guards against a process that stays listed after its stop or during an outage longer than its lease,
// and against one that stays missing after the outage because it does not register again.
func TestRegistration(t *testing.T) {
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
			{"registered at once", func() {}, time.Millisecond, 1},
			{"renewed", func() {}, time.Minute, 1},
			{"expires in an outage", func() { store.failing = true }, testTTL + time.Second, 0},
			{"registered again after the outage", func() { store.failing = false }, 2 * time.Second, 1},
			{"deregistered by a stop", cancel, time.Millisecond, 0},
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

// TestHasLargerMember guards against a controller that ends its term in favour of a process that has hardly more
// processor cores, that was listed only just now, or that is no longer listed.
func TestHasLargerMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memberChange := func(name string, cores float64) keyvalue.Change {
			value := ledger.Encode(Member{Name: name, ProcessorCores: cores})
			return keyvalue.Change{Item: keyvalue.Item{Key: ledger.MemberKey(name), Value: value, Revision: 1}}
		}
		other := keyvalue.Change{Item: keyvalue.Item{Key: ledger.TermKey, Value: []byte("x"), Revision: 2}}
		deleted := keyvalue.Change{Item: keyvalue.Item{Key: ledger.MemberKey("large")}, Deleted: true}
		roster := newTestRoster(newFakeStore(), "a", 0.2)
		steps := []struct {
			name    string
			changes []keyvalue.Change
			full    bool
			wait    time.Duration
			larger  bool
		}{
			{"no members", nil, true, 0, false},
			{
				"members of about the same size",
				[]keyvalue.Change{memberChange("b", 0.2), memberChange("c", 0.22), other}, false, time.Minute, false,
			},
			{"a larger member listed just now", []keyvalue.Change{memberChange("large", 0.8)}, false, 0, false},
			{"a larger member listed for 3 s", nil, false, 3 * time.Second, true},
			{"listed again", []keyvalue.Change{memberChange("large", 0.8)}, true, 0, true},
			{"deleted", []keyvalue.Change{deleted}, false, 0, false},
			{"registered again just now", []keyvalue.Change{memberChange("large", 0.8)}, false, 0, false},
			{"missing in a full listing", nil, true, time.Minute, false},
		}
		for _, step := range steps {
			roster.Apply(step.changes, step.full)
			time.Sleep(step.wait)
			if larger := roster.HasLargerMember(2 * time.Second); larger != step.larger {
				t.Errorf("%s: larger %t, want %t", step.name, larger, step.larger)
			}
		}
	})
}
