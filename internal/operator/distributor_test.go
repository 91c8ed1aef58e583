package operator

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const clusterSize = 7

// TestEditReachesEveryProcess guards against an edit that is not in force everywhere after 2 s, that is lost because
// the store's responses are lost, or that causes too many calls to the store.
func TestEditReachesEveryProcess(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*cluster)
		calls int
	}{
		// The accepting process makes five calls, and each other process reads one document.
		{"no fault", func(*cluster) {}, 5 + clusterSize - 1},
		{"answers lost", func(cluster *cluster) { cluster.standin.LoseAnswers(-1) }, 5 + clusterSize - 1 + 3},
		{"slow", func(cluster *cluster) { cluster.standin.SetDelay(200 * time.Millisecond) }, 5 + clusterSize - 1},
		// Each process opens its watch again, and calls on silent connections time out and are repeated.
		{"connections silent", func(cluster *cluster) { cluster.network.Silence() },
			5 + clusterSize - 1 + clusterSize + 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, clusterSize)
				cluster.mustApply(cluster.processes[0], setQuota(0, "a", "reed", 1))
				time.Sleep(2 * time.Second)
				before := cluster.standin.Calls()
				test.fault(cluster)
				var err error
				for range 10 {
					if _, err = cluster.processes[1].Apply(cluster.ctx, setQuota(1, "b", "reed", 2)); err == nil {
						break
					}
					time.Sleep(time.Second)
				}
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				if count := cluster.countAtRevision(2); count != clusterSize {
					t.Errorf("edit is in force at %d of %d processes after 2 s", count, clusterSize)
				}
				time.Sleep(10 * time.Second)
				if calls := cluster.standin.Calls().Store() - before.Store(); calls > test.calls {
					t.Errorf("%d calls to the store for an edit, want at most %d", calls, test.calls)
				}
			})
		})
	}
}

// TestStoreDownForAnHour guards against a process that cannot get the configuration from peers while the store is down,
// against edits that are accepted without being stored, and against a burst of calls when the store is up again.
func TestStoreDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		cluster.mustApply(cluster.processes[0], setQuota(0, "a", "reed", 1))
		// Wait until all processes have seen the edit in the store. A process that has not seen it would read the head
		// after the outage, which the count of calls below does not allow for.
		time.Sleep(2 * time.Second)
		cluster.stopPlatform()
		time.Sleep(20 * time.Minute)
		late := cluster.start()
		time.Sleep(2 * time.Second)
		if late.Current() == nil || late.Current().Organisations["reed"].Quota != 1 {
			t.Errorf("process started during the outage has configuration %v", late.Current())
		}
		if _, err := late.Apply(cluster.ctx, setQuota(1, "b", "reed", 2)); kindOf(err) != fault.StoreUnavailable {
			t.Errorf("edit during the outage: %v, want StoreUnavailable", err)
		}
		time.Sleep(40 * time.Minute)
		before := cluster.standin.Calls()
		cluster.startPlatform()
		time.Sleep(11 * time.Second)
		// Each process opens one watch.
		if after := cluster.standin.Calls(); after.Store()-before.Store() > len(cluster.processes) {
			t.Errorf("calls increase from %+v to %+v after the outage, want at most one for each of %d processes",
				before, after, len(cluster.processes))
		}
		cluster.mustApply(late, setQuota(1, "b", "reed", 2))
		time.Sleep(2 * time.Second)
		if count := cluster.countAtRevision(2); count != 4 {
			t.Errorf("edit after the outage is in force at %d of 4 processes", count)
		}
	})
}

// TestRegressedStoreIsWrittenBack guards against processes that return to an older configuration when the store loses
// its newer contents, and against a store that keeps the older one.
func TestRegressedStoreIsWrittenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, clusterSize)
		cluster.mustApply(cluster.processes[0], setQuota(0, "a", "reed", 1))
		snapshot := cluster.standin.Snapshot()
		cluster.mustApply(cluster.processes[0], setQuota(1, "b", "reed", 2))
		cluster.mustApply(cluster.processes[1], setQuota(2, "c", "moor", 3))
		time.Sleep(2 * time.Second)
		before := cluster.standin.Calls().Swap
		cluster.standin.Restore(snapshot)
		if _, err := cluster.processes[2].Apply(
			cluster.ctx, setQuota(1, "d", "reed", 9),
		); kindOf(err) != fault.StoreUnavailable {
			t.Errorf("edit while the store is regressed: %v, want StoreUnavailable", err)
		}
		time.Sleep(5 * time.Second)
		for _, member := range cluster.processes {
			if member.StoreRegressed() {
				t.Errorf("%s still reports the store as regressed", member.id)
			}
		}
		// A repair writes two documents and the head. A second process may start a repair before the first one has
		// finished.
		if swaps := cluster.standin.Calls().Swap - before; swaps > 6 {
			t.Errorf("%d writes to repair the store, want at most 6", swaps)
		}
		fresh := newProcess(50, standin.NewDirect(cluster.standin))
		go func() { _ = fresh.Run(cluster.ctx) }()
		cluster.mustApply(cluster.processes[3], setQuota(3, "e", "reed", 4))
		time.Sleep(2 * time.Second)
		fresh.Close()
		if count := cluster.countAtRevision(4); count != clusterSize {
			t.Errorf("edit after the repair is in force at %d of %d processes", count, clusterSize)
		}
		if got := fresh.Current(); got == nil || got.Revision != 4 || len(got.Organisations) != 2 {
			t.Errorf("process that reads only the store has configuration %v", got)
		}
	})
}

// TestRaceOfOperators guards against two concurrent edits that are accepted as the same revision, and against documents
// of rejected edits that stay in the store.
func TestRaceOfOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, clusterSize)
		cluster.mustApply(cluster.processes[0], setQuota(0, "a", "reed", 1))
		time.Sleep(2 * time.Second)
		cluster.standin.SetDelay(50 * time.Millisecond)
		var mu sync.Mutex
		var group sync.WaitGroup
		results := map[fault.Kind]int{}
		for i, member := range cluster.processes {
			group.Go(func() {
				_, err := member.Apply(cluster.ctx, setQuota(1, "race"+string(member.id), "reed", 10+i))
				mu.Lock()
				defer mu.Unlock()
				results[kindOf(err)]++
			})
		}
		group.Wait()
		if results[""] != 1 || results[fault.Conflict] != clusterSize-1 {
			t.Errorf("outcomes are %v, want one accepted edit and %d conflicts", results, clusterSize-1)
		}
		cluster.standin.SetDelay(0)
		time.Sleep(2 * time.Second)
		if count := cluster.countAtRevision(2); count != clusterSize {
			t.Errorf("accepted edit is in force at %d of %d processes", count, clusterSize)
		}
		entries, err := standin.NewDirect(cluster.standin).List(cluster.ctx, "config/organisations/")
		if err != nil || len(entries) != 1 {
			t.Errorf("store has %d documents, %v; want only the document of the accepted edit", len(entries), err)
		}
	})
}

// TestRepeatedEdit guards against a repeated edit that is accepted twice, and against a different edit that is treated
// as a repetition because it has the same id.
func TestRepeatedEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 2)
		first, second := cluster.processes[0], cluster.processes[1]
		cluster.mustApply(first, setQuota(0, "a", "reed", 1))
		cluster.mustApply(first, setQuota(1, "b", "reed", 2))
		for _, member := range []*process{first, second} {
			response, err := member.Apply(cluster.ctx, setQuota(0, "a", "reed", 1))
			if err != nil || response.GetRevision() != 1 {
				t.Errorf("repeated edit: %v, %v; want revision 1", response, err)
			}
			if _, err := member.Apply(cluster.ctx, setQuota(0, "a", "reed", 7)); kindOf(err) != fault.InvalidArgument {
				t.Errorf("different edit with the same id: %v, want InvalidArgument", err)
			}
		}
		var group sync.WaitGroup
		revisions := make([]int64, 2)
		for i, member := range cluster.processes {
			group.Go(func() {
				response, err := member.Apply(cluster.ctx, setQuota(2, "c", "reed", 3))
				if err != nil {
					t.Errorf("edit sent to two processes at once: %v", err)
				}
				revisions[i] = response.GetRevision()
			})
		}
		group.Wait()
		time.Sleep(2 * time.Second)
		if !slices.Equal(revisions, []int64{3, 3}) || cluster.countAtRevision(3) != 2 {
			t.Errorf("edit sent to two processes at once has revisions %v or is not in force at both, want 3",
				revisions)
		}
	})
}

// TestRefusals guards against invalid edits that are accepted, and against rejections with the wrong error kind, on
// which callers base their reaction.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1)
		member := cluster.processes[0]
		member.Check = func(config *profile.Config, _ fleet.Inventory) error {
			if quota := config.Organisations["reed"].Quota; quota > 100 {
				return errors.Errorf("reed and moor do not fit together: %d", quota)
			}
			return nil
		}
		removal := setQuota(0, "x", "moor", 1)
		removal.DocumentJson = ""
		foreign := setQuota(0, "x", "moor", 1)
		foreign.Organisation = "reed"
		unknown := setQuota(0, "x", "reed", 1)
		unknown.DocumentJson = `{"organisation":"reed","max_waiting":1,"qouta":1}`
		tests := []struct {
			name    string
			request func() error
			kind    fault.Kind
		}{
			{"no edit id", func() error { _, err := member.Apply(cluster.ctx, setQuota(0, "", "reed", 1)); return err },
				fault.InvalidArgument},
			{"unknown field", func() error { _, err := member.Apply(cluster.ctx, unknown); return err },
				fault.InvalidArgument},
			{"document of another", func() error { _, err := member.Apply(cluster.ctx, foreign); return err },
				fault.InvalidArgument},
			{"does not fit",
				func() error { _, err := member.Apply(cluster.ctx, setQuota(0, "x", "reed", 101)); return err },
				fault.Unsatisfiable},
			{"nothing to remove", func() error { _, err := member.Apply(cluster.ctx, removal); return err },
				fault.NotFound},
			{"other revision",
				func() error { _, err := member.Apply(cluster.ctx, setQuota(3, "x", "reed", 1)); return err },
				fault.Conflict},
		}
		for _, test := range tests {
			if err := test.request(); kindOf(err) != test.kind {
				t.Errorf("%s: %v, want %s", test.name, err, test.kind)
			}
		}
		if member.Current() != nil {
			t.Errorf("rejected edits are in force: %v", member.Current())
		}
		preview, _ := member.Preview(cluster.ctx, setQuota(0, "x", "reed", 101))
		if len(preview.GetProblems()) != 1 || len(preview.GetChanges()) != 1 {
			t.Errorf("preview is %v, want one problem and one change", preview)
		}
	})
}

// TestUnreadableDocument guards against a busy loop of calls to the store when the head refers to a document that
// cannot be parsed.
func TestUnreadableDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		cluster.mustApply(cluster.processes[0], setQuota(0, "a", "reed", 1))
		time.Sleep(2 * time.Second)
		store := standin.NewDirect(cluster.standin)
		broken := []byte(`{"organisation":"moor"`)
		accepted := cluster.processes[0].state().head.next(
			acceptedEdit{ID: "b", Revision: 2}, "moor", &documentRef{Number: 2, Sum: sumOf(broken)})
		stored, err := store.Get(cluster.ctx, headKey)
		if err != nil {
			t.Fatal(err)
		}
		_, documentErr := store.Swap(cluster.ctx, documentKey("moor", 2), broken, 0)
		_, headErr := store.Swap(cluster.ctx, headKey, accepted.encode(), stored.Revision)
		if documentErr != nil || headErr != nil {
			t.Fatal(documentErr, headErr)
		}
		before := cluster.standin.Calls().Store()
		time.Sleep(time.Minute)
		if calls := cluster.standin.Calls().Store() - before; calls > 3*60 {
			t.Errorf("%d calls of 3 processes in a minute, want at most one a second for each", calls)
		} else {
			t.Logf("%d calls of 3 processes in a minute", calls)
		}
		if count := cluster.countAtRevision(1); count != 3 {
			t.Errorf("%d of 3 processes keep their configuration, want all", count)
		}
	})
}
