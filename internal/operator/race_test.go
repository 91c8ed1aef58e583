package operator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// delayedStore is a store that delivers reads of the head and watch events late, so that other events come first.
type delayedStore struct {
	platform.Store
	watchDelay time.Duration
	// beforeHeadResponse is called once, after the head has been read and before the response is returned.
	beforeHeadResponse atomic.Pointer[func()]
	headReads          atomic.Int64
}

func (store *delayedStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := store.Store.Get(ctx, key)
	if key != headKey {
		return entry, err
	}
	store.headReads.Add(1)
	if before := store.beforeHeadResponse.Swap(nil); before != nil {
		(*before)()
	}
	return entry, err
}

func (store *delayedStore) Watch(ctx context.Context, prefix string, deliver func(platform.Change)) {
	store.Store.Watch(ctx, prefix, func(change platform.Change) {
		time.Sleep(store.watchDelay)
		deliver(change)
	})
}

// newDelayedPair returns two running processes that share the contents of a store, both at revision 1. The first one
// accesses the store through a delayedStore.
func newDelayedPair(t *testing.T, watchDelay time.Duration) (first, second *process, store *delayedStore) {
	shared := standin.New()
	store = &delayedStore{Store: standin.NewDirect(shared), watchDelay: watchDelay}
	first, second = newProcess(0, store), newProcess(1, standin.NewDirect(shared))
	ctx, cancel := context.WithCancel(context.Background())
	for _, member := range []*process{first, second} {
		go func() { _ = member.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		first.Close()
		second.Close()
	})
	synctest.Wait()
	if _, err := second.Apply(ctx, setQuota(0, "a", "reed", 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	return first, second, store
}

// applyAndWait returns a function that applies edit b and waits until it is in force in both processes.
func applyAndWait(t *testing.T, member *process) *func() {
	apply := func() {
		if _, err := member.Apply(t.Context(), setQuota(1, "b", "reed", 2)); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	}
	return &apply
}

// TestConfigurationAdvancesDuringRead guards against an edit that fails because the store is wrongly considered
// regressed. This can happen when another edit comes into force between the read of the head and the response to it.
func TestConfigurationAdvancesDuringRead(t *testing.T) {
	tests := []struct {
		name     string
		request  *operatorv1.ApplyRequest
		revision fleet.Revision
		kind     fault.Kind
	}{
		{"same edit", setQuota(1, "b", "reed", 2), 2, ""},
		{"other edit", setQuota(1, "c", "reed", 3), 0, fault.Conflict},
		{"edit that saw the new revision", setQuota(2, "c", "reed", 3), 3, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second, store := newDelayedPair(t, 0)
				store.beforeHeadResponse.Store(applyAndWait(t, second))
				response, err := first.Apply(t.Context(), test.request)
				if kindOf(err) != test.kind || response.GetRevision() != int64(test.revision) {
					t.Errorf("edit: %v, %v; want revision %d, error %q", response, err, test.revision, test.kind)
				}
			})
		})
	}
}

// TestNoRegressionWhileConfigurationAdvances guards against a store that is wrongly reported as regressed, which blocks
// the start of jobs, because an edit comes into force while repair reads the head.
func TestNoRegressionWhileConfigurationAdvances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store := newDelayedPair(t, 0)
		store.beforeHeadResponse.Store(applyAndWait(t, second))
		if err := first.repair(t.Context()); err != nil || first.StoreRegressed() {
			t.Errorf("store is reported as regressed: %t, %v", first.StoreRegressed(), err)
		}
	})
}

// TestNoHeadReadAfterOwnEdit guards against an additional read of the head after each edit whose watch event arrives
// after the response to the write.
func TestNoHeadReadAfterOwnEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _, store := newDelayedPair(t, time.Second)
		store.headReads.Store(0)
		if _, err := first.Apply(t.Context(), setQuota(1, "b", "reed", 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if reads := store.headReads.Load(); reads != 1 {
			t.Errorf("head was read %d times for an edit, want 1", reads)
		}
	})
}
