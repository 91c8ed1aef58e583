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

// orderedStore is a store whose answers arrive after other events.
type orderedStore struct {
	platform.Store
	watchDelay time.Duration
	// beforeHead runs once, between a read of the head and its answer.
	beforeHead atomic.Pointer[func()]
	headReads  atomic.Int64
}

func (store *orderedStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := store.Store.Get(ctx, key)
	if key != headKey {
		return entry, err
	}
	store.headReads.Add(1)
	if before := store.beforeHead.Swap(nil); before != nil {
		(*before)()
	}
	return entry, err
}

func (store *orderedStore) Watch(ctx context.Context, prefix string, deliver func(platform.Change)) {
	store.Store.Watch(ctx, prefix, func(change platform.Change) {
		time.Sleep(store.watchDelay)
		deliver(change)
	})
}

// newOrderedPair returns a running process over an ordered store and one that shares its contents, both at revision 1.
func newOrderedPair(t *testing.T, watchDelay time.Duration) (first, second *process, store *orderedStore) {
	shared := standin.New()
	store = &orderedStore{Store: standin.NewDirect(shared), watchDelay: watchDelay}
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
	if _, err := second.Apply(ctx, set(0, "a", "reed", 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	return first, second, store
}

// applyAndWait returns a function that applies edit b and waits until each process has it in force.
func applyAndWait(t *testing.T, member *process) *func() {
	apply := func() {
		if _, err := member.Apply(t.Context(), set(1, "b", "reed", 2)); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	}
	return &apply
}

// Guards against a store that counts as regressed because the configuration advanced while the head was read.
func TestConfigurationAdvancesDuringRead(t *testing.T) {
	tests := []struct {
		name     string
		request  *operatorv1.ApplyRequest
		revision fleet.Revision
		kind     fault.Kind
	}{
		{"same edit", set(1, "b", "reed", 2), 2, ""},
		{"other edit", set(1, "c", "reed", 3), 0, fault.Conflict},
		{"edit that saw the new revision", set(2, "c", "reed", 3), 3, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second, store := newOrderedPair(t, 0)
				store.beforeHead.Store(applyAndWait(t, second))
				response, err := first.Apply(t.Context(), test.request)
				if kindOf(err) != test.kind || response.GetRevision() != int64(test.revision) {
					t.Errorf("edit gives %v, %v; want revision %d, error %q", response, err, test.revision, test.kind)
				}
			})
		})
	}
}

// Guards against jobs that are held back because a check of the store meets an edit.
func TestNoRegressionWhileConfigurationAdvances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store := newOrderedPair(t, 0)
		store.beforeHead.Store(applyAndWait(t, second))
		if err := first.repair(t.Context()); err != nil || first.StoreRegressed() {
			t.Errorf("store counts as regressed: %t, %v", first.StoreRegressed(), err)
		}
	})
}

// Guards against a check of the store after each edit whose watch event arrives after the answer.
func TestNoHeadReadAfterOwnEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _, store := newOrderedPair(t, time.Second)
		store.headReads.Store(0)
		if _, err := first.Apply(t.Context(), set(1, "b", "reed", 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if reads := store.headReads.Load(); reads != 1 {
			t.Errorf("head is read %d times for an edit, want 1", reads)
		}
	})
}
