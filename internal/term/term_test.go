package term

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
)

// fakeStore holds one key under one lease and nothing else.
type fakeStore struct {
	keyvalue.Store

	mu       sync.Mutex
	failing  error
	lease    keyvalue.LeaseID
	until    time.Time
	revision keyvalue.Revision
	held     keyvalue.LeaseID
	notify   []*Elector
}

const testTTL = 2 * time.Second

func (store *fakeStore) expire() {
	if store.held != 0 && time.Now().After(store.until) {
		store.held = 0
		store.tell(0)
	}
}

func (store *fakeStore) tell(revision keyvalue.Revision) {
	for _, elector := range store.notify {
		elector.Observe(revision)
	}
}

func (store *fakeStore) Grant(context.Context, time.Duration) (keyvalue.LeaseID, time.Duration, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.lease++
	return store.lease, testTTL, store.failing
}

func (store *fakeStore) Commit(_ context.Context, txn keyvalue.Txn) (keyvalue.Revision, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	if store.failing != nil {
		return 0, store.failing
	}
	if store.held != 0 {
		return 0, &keyvalue.ConflictError{Items: []keyvalue.Item{{Key: "term", Revision: store.revision}}}
	}
	store.revision++
	store.held, store.until = txn.Writes[0].Lease, time.Now().Add(testTTL)
	store.tell(store.revision)
	return store.revision, nil
}

func (store *fakeStore) KeepAlive(_ context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	if store.failing != nil {
		return store.failing
	}
	if lease != store.held {
		return keyvalue.ErrNotFound
	}
	store.until = time.Now().Add(testTTL)
	return nil
}

func (store *fakeStore) Revoke(_ context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	if lease == store.held {
		store.held = 0
		store.tell(0)
	}
	return nil
}

func (store *fakeStore) fail(err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.failing = err
}

// candidate is an elector with what it did.
type candidate struct {
	elector *Elector
	mu      sync.Mutex
	term    *Term
	terms   int
}

func (candidate *candidate) lead(ctx context.Context, term *Term) {
	candidate.mu.Lock()
	candidate.term = term
	candidate.terms++
	candidate.mu.Unlock()
	<-ctx.Done()
	candidate.mu.Lock()
	candidate.term = nil
	candidate.mu.Unlock()
}

func (candidate *candidate) holds() *Term {
	candidate.mu.Lock()
	defer candidate.mu.Unlock()
	return candidate.term
}

func (candidate *candidate) count() int {
	candidate.mu.Lock()
	defer candidate.mu.Unlock()
	return candidate.terms
}

func newCandidate(store *fakeStore) *candidate {
	began := time.Now()
	created := &candidate{}
	created.elector = &Elector{
		Store: store, Key: "term", TTL: testTTL, StoreOutageGrace: 3 * time.Second, Jitter: 50 * time.Millisecond,
		Clock: func() time.Duration { return time.Since(began) }, Lead: created.lead, Logger: hclog.NewNullLogger(),
	}
	store.notify = append(store.notify, created.elector)
	return created
}

func leaders(candidates []*candidate) []*candidate {
	var found []*candidate
	for _, candidate := range candidates {
		if candidate.holds() != nil {
			found = append(found, candidate)
		}
	}
	return found
}

// TestOneLeader guards against two processes that lead, and against a term that nobody takes after its holder stops.
func TestOneLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		candidates := []*candidate{newCandidate(store), newCandidate(store), newCandidate(store)}
		stops := map[*candidate]context.CancelFunc{}
		for _, candidate := range candidates {
			ctx, cancel := context.WithCancel(t.Context())
			stops[candidate] = cancel
			defer cancel()
			go func() { _ = candidate.elector.Run(ctx) }()
		}
		store.mu.Lock()
		store.tell(0)
		store.mu.Unlock()
		token := keyvalue.Revision(0)
		for range candidates {
			time.Sleep(10 * time.Second)
			leading := leaders(candidates)
			if len(leading) != 1 {
				t.Fatalf("%d processes lead", len(leading))
			}
			if next := leading[0].holds().Token; next <= token {
				t.Errorf("token %d after %d", next, token)
			} else {
				token = next
			}
			stops[leading[0]]()
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// TestStoreless guards how long a holder that has lost the store may extend leases: a successor counts on the end.
func TestStoreless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		only := newCandidate(store)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = only.elector.Run(ctx) }()
		only.elector.Observe(0)
		time.Sleep(time.Second)
		term := only.holds()
		store.fail(keyvalue.ErrNoAnswer)
		time.Sleep(testTTL)
		if !term.MayExtendLeases() || term.LeaseValid() {
			t.Errorf("after the time to live: may hold %t, fresh %t", term.MayExtendLeases(), term.LeaseValid())
		}
		time.Sleep(4 * time.Second)
		if term.MayExtendLeases() || only.holds() != nil {
			t.Error("the holder goes on without the store")
		}
	})
}

// TestLeaveTerm guards the term against staying with a process that has said that another should have it, and against
// being taken back before the other had its time to take it.
func TestLeaveTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		small, large := newCandidate(store), newCandidate(store)
		small.elector.Delay = func() time.Duration { return 300 * time.Millisecond }
		small.elector.ShouldYield = func(held time.Duration) bool { return held > 5*time.Second }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = small.elector.Run(ctx) }()
		small.elector.Observe(0)
		time.Sleep(4 * time.Second)
		if small.holds() == nil {
			t.Fatal("the only process does not hold the term")
		}
		go func() { _ = large.elector.Run(ctx) }()
		large.elector.Observe(small.holds().Token)
		time.Sleep(3 * time.Second)
		if large.holds() == nil || small.holds() != nil || small.terms != 1 {
			t.Errorf("large holds %t, small holds %t after %d terms", large.holds() != nil, small.holds() != nil, small.terms)
		}
	})
}

// TestGiveUp guards against a term that nobody can use until its lease ends, because the store refuses only its holder,
// and against a holder that gives up while the store refuses everyone or refuses a single call.
func TestGiveUp(t *testing.T) {
	tests := []struct {
		name string
		// refused is how long the store refuses the holder, and alone whether it still serves another process.
		refused time.Duration
		alone   bool
		terms   int
	}{
		{"store refuses the holder", 5 * time.Second, true, 2},
		{"store refuses everyone", 5 * time.Second, false, 1},
		{"store refuses one call", 400 * time.Millisecond, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{}
				holder, other := newCandidate(store), newCandidate(store)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				refusing := &refusingStore{Store: store}
				holder.elector.Store = refusing
				holder.elector.RevokeThroughPeer = func(ctx context.Context, lease keyvalue.LeaseID) error {
					if !test.alone {
						return keyvalue.ErrRejected
					}
					return store.Revoke(ctx, lease)
				}
				go func() { _ = holder.elector.Run(ctx) }()
				holder.elector.Observe(0)
				time.Sleep(time.Second)
				if holder.holds() == nil {
					t.Fatal("the only process does not hold the term")
				}
				go func() { _ = other.elector.Run(ctx) }()
				other.elector.Observe(holder.holds().Token)
				refusing.refuse(test.refused)
				time.Sleep(testTTL * 3 / 4)
				if terms := holder.count() + other.count(); terms != test.terms {
					t.Errorf("%d terms began before the lease of the first could end, want %d", terms, test.terms)
				}
			})
		})
	}
}

// refusingStore refuses renewals until a time.
type refusingStore struct {
	keyvalue.Store
	mu    sync.Mutex
	until time.Time
}

func (store *refusingStore) refuse(lasting time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.until = time.Now().Add(lasting)
}

func (store *refusingStore) KeepAlive(ctx context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	until := store.until
	store.mu.Unlock()
	if time.Now().Before(until) {
		return keyvalue.ErrRejected
	}
	return store.Store.KeepAlive(ctx, lease)
}
