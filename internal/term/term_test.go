package term

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
)

// fakeStore is a store that holds only one key, under one lease.
type fakeStore struct {
	keyvalue.Store

	mu        sync.Mutex
	failing   error
	lastLease keyvalue.LeaseID
	// committed are the writes of the last transaction. If loseResponse is set, the response to it is lost.
	committed    []keyvalue.Write
	loseResponse bool
	expiry       time.Time
	revision     keyvalue.Revision
	heldLease    keyvalue.LeaseID
	electors     []*Elector
}

const testTTL = 2 * time.Second

func (store *fakeStore) expire() {
	if store.heldLease != 0 && time.Now().After(store.expiry) {
		store.heldLease = 0
		store.notifyElectors(0)
	}
}

func (store *fakeStore) notifyElectors(revision keyvalue.Revision) {
	for _, elector := range store.electors {
		elector.Observe(revision)
	}
}

func (store *fakeStore) Grant(context.Context, time.Duration) (keyvalue.LeaseID, time.Duration, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.lastLease++
	return store.lastLease, testTTL, store.failing
}

func (store *fakeStore) Commit(_ context.Context, txn keyvalue.Txn) (keyvalue.Revision, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	if store.failing != nil {
		return 0, store.failing
	}
	if store.heldLease != 0 {
		return 0, &keyvalue.ConflictError{Items: []keyvalue.Item{{Key: "term", Revision: store.revision}}}
	}
	store.revision++
	store.heldLease, store.expiry = txn.Writes[0].Lease, time.Now().Add(testTTL)
	store.committed = txn.Writes
	store.notifyElectors(store.revision)
	if store.loseResponse {
		return 0, keyvalue.ErrNoAnswer
	}
	return store.revision, nil
}

func (store *fakeStore) KeepAlive(_ context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	if store.failing != nil {
		return store.failing
	}
	if lease != store.heldLease {
		return keyvalue.ErrNotFound
	}
	store.expiry = time.Now().Add(testTTL)
	return nil
}

func (store *fakeStore) Revoke(_ context.Context, lease keyvalue.LeaseID) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	if lease == store.heldLease {
		store.heldLease = 0
		store.notifyElectors(0)
	}
	return nil
}

func (store *fakeStore) failWith(err error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.failing = err
}

// candidate is an elector that records the term that it holds and the number of its terms.
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

func (candidate *candidate) currentTerm() *Term {
	candidate.mu.Lock()
	defer candidate.mu.Unlock()
	return candidate.term
}

func (candidate *candidate) termCount() int {
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
	store.electors = append(store.electors, created.elector)
	return created
}

func leaders(candidates []*candidate) []*candidate {
	var found []*candidate
	for _, candidate := range candidates {
		if candidate.currentTerm() != nil {
			found = append(found, candidate)
		}
	}
	return found
}

// TestOneLeader guards against two processes that hold the term at the same time, and against a term that no process
// takes after its holder stops.
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
		store.notifyElectors(0)
		store.mu.Unlock()
		token := keyvalue.Revision(0)
		for range candidates {
			time.Sleep(10 * time.Second)
			leading := leaders(candidates)
			if len(leading) != 1 {
				t.Fatalf("%d processes hold the term, want 1", len(leading))
			}
			if next := leading[0].currentTerm().Token; next <= token {
				t.Errorf("token %d of a later term is not higher than %d", next, token)
			} else {
				token = next
			}
			stops[leading[0]]()
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// TestLeaseExtensionDuringStoreOutage guards against a holder that extends the leases of workers for too long, or not
// long enough, after it has lost contact with the store. The next holder relies on the end of these extensions.
func TestLeaseExtensionDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		only := newCandidate(store)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = only.elector.Run(ctx) }()
		only.elector.Observe(0)
		time.Sleep(time.Second)
		term := only.currentTerm()
		store.failWith(keyvalue.ErrNoAnswer)
		time.Sleep(testTTL)
		if !term.MayExtendLeases() || term.LeaseValid() {
			t.Errorf("after the time to live: may extend leases %t, want true; lease valid %t, want false",
				term.MayExtendLeases(), term.LeaseValid())
		}
		time.Sleep(4 * time.Second)
		if term.MayExtendLeases() || only.currentTerm() != nil {
			t.Error("the holder still holds the term after the grace period without the store")
		}
	})
}

// TestYieldTerm guards against a holder that keeps the term although ShouldYield is true, and against a former holder
// that takes the term again before another process has had time to take it.
func TestYieldTerm(t *testing.T) {
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
		if small.currentTerm() == nil {
			t.Fatal("the only process does not hold the term")
		}
		go func() { _ = large.elector.Run(ctx) }()
		large.elector.Observe(small.currentTerm().Token)
		time.Sleep(3 * time.Second)
		if large.currentTerm() == nil || small.currentTerm() != nil || small.terms != 1 {
			t.Errorf("large holds the term: %t, small holds it: %t, %d terms of small; want true, false and 1",
				large.currentTerm() != nil, small.currentTerm() != nil, small.terms)
		}
	})
}

// TestRevokeThroughPeer guards against a term that no process can use until its lease expires, because the store
// refuses only the holder. It also guards against a holder that ends its term while the store refuses all processes, or
// after a single refused call.
func TestRevokeThroughPeer(t *testing.T) {
	tests := []struct {
		name string
		// refusedFor is how long the store refuses the holder. servesOther is true if the store serves the other
		// process.
		refusedFor  time.Duration
		servesOther bool
		terms       int
	}{
		{"store refuses the holder", 5 * time.Second, true, 2},
		{"store refuses all processes", 5 * time.Second, false, 1},
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
					if !test.servesOther {
						return keyvalue.ErrRejected
					}
					return store.Revoke(ctx, lease)
				}
				go func() { _ = holder.elector.Run(ctx) }()
				holder.elector.Observe(0)
				time.Sleep(time.Second)
				if holder.currentTerm() == nil {
					t.Fatal("the only process does not hold the term")
				}
				go func() { _ = other.elector.Run(ctx) }()
				other.elector.Observe(holder.currentTerm().Token)
				refusing.refuseFor(test.refusedFor)
				time.Sleep(testTTL * 3 / 4)
				if terms := holder.termCount() + other.termCount(); terms != test.terms {
					t.Errorf("%d terms began before the lease of the first could end, want %d", terms, test.terms)
				}
			})
		})
	}
}

// refusingStore refuses renewals until a given time.
type refusingStore struct {
	keyvalue.Store
	mu    sync.Mutex
	until time.Time
}

func (store *refusingStore) refuseFor(duration time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.until = time.Now().Add(duration)
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

// TestPhases guards against a process that counts as idle while it may send orders, and against one that counts as active after
// its term. A campaign whose response was lost ends without a term.
func TestPhases(t *testing.T) {
	tests := []struct {
		name         string
		loseResponse bool
		phases       []Phase
	}{
		{"term", false, []Phase{Campaigning, Leading, Idle}},
		{"lost response", true, []Phase{Campaigning, Idle}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{loseResponse: test.loseResponse}
				only := newCandidate(store)
				var phases []Phase
				only.elector.RecordPhase = func(phase Phase, token keyvalue.Revision) {
					phases = append(phases, phase)
					if phase == Leading && token != 1 || phase != Leading && token != 0 {
						t.Errorf("token %d in phase %s", token, phase)
					}
					if phase == Idle && only.currentTerm() != nil {
						t.Error("the process counts as idle while Lead runs")
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = only.elector.Run(ctx)
				}()
				only.elector.Observe(0)
				time.Sleep(retryInterval)
				cancel()
				<-done
				if !slices.Equal(phases, test.phases) {
					t.Errorf("phases %v, want %v", phases, test.phases)
				}
			})
		})
	}
}

// TestHolderIsWrittenWithTheTerm guards against a term whose holder others cannot identify, and against a document of it that
// outlasts the term.
func TestHolderIsWrittenWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		only := newCandidate(store)
		only.elector.Name, only.elector.HolderKey, only.elector.Holder = "vm0", "holder", []byte("document")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = only.elector.Run(ctx) }()
		only.elector.Observe(0)
		time.Sleep(time.Second)
		lease := only.currentTerm().Lease
		want := []keyvalue.Write{
			{Key: "term", Value: []byte("vm0"), Lease: lease}, {Key: "holder", Value: []byte("document"), Lease: lease},
		}
		if !reflect.DeepEqual(store.committed, want) {
			t.Errorf("written %v, want %v", store.committed, want)
		}
	})
}
