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

const processes = 7

// Guards against configurations that come into force late, are lost with an answer, or load the store.
func TestEditReachesEveryProcess(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*cluster)
		calls int
	}{
		// The accepting process makes five calls and each other one reads one document.
		{"no fault", func(*cluster) {}, 5 + processes - 1},
		{"answers lost", func(formed *cluster) { formed.standin.LoseAnswers(-1) }, 5 + processes - 1 + 3},
		{"slow", func(formed *cluster) { formed.standin.SetDelay(200 * time.Millisecond) }, 5 + processes - 1},
		// Each process opens its watch again, and calls on silent connections time out.
		{"connections silent", func(formed *cluster) { formed.network.Silence() }, 5 + processes - 1 + processes + 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				formed := newCluster(t, processes)
				formed.mustApply(formed.processes[0], set(0, "a", "reed", 1))
				time.Sleep(2 * time.Second)
				before := formed.standin.Calls()
				test.fault(formed)
				var err error
				for range 10 {
					if _, err = formed.processes[1].Apply(formed.ctx, set(1, "b", "reed", 2)); err == nil {
						break
					}
					time.Sleep(time.Second)
				}
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				if count := formed.inForce(2); count != processes {
					t.Errorf("edit is in force at %d of %d processes after 2 s", count, processes)
				}
				time.Sleep(10 * time.Second)
				if calls := formed.standin.Calls().Store() - before.Store(); calls > test.calls {
					t.Errorf("%d calls to the store for an edit, want at most %d", calls, test.calls)
				}
			})
		})
	}
}

// Guards against a process that needs the store for its configuration, and against edits that nobody made durable.
func TestStoreDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newCluster(t, 3)
		formed.mustApply(formed.processes[0], set(0, "a", "reed", 1))
		// A process that has not seen the edit in the store reads the head once more after the outage.
		time.Sleep(2 * time.Second)
		formed.stopPlatform()
		time.Sleep(20 * time.Minute)
		late := formed.start()
		time.Sleep(2 * time.Second)
		if late.Current() == nil || late.Current().Organisations["reed"].Quota != 1 {
			t.Errorf("process started during the outage has configuration %v", late.Current())
		}
		if _, err := late.Apply(formed.ctx, set(1, "b", "reed", 2)); kindOf(err) != fault.StoreUnavailable {
			t.Errorf("edit during the outage gives %v", err)
		}
		time.Sleep(40 * time.Minute)
		before := formed.standin.Calls()
		formed.startPlatform()
		time.Sleep(11 * time.Second)
		// Each process opens one watch.
		if after := formed.standin.Calls(); after.Store()-before.Store() > len(formed.processes) {
			t.Errorf("calls rise from %+v to %+v after the outage, want one for each of %d processes", before, after,
				len(formed.processes))
		}
		formed.mustApply(late, set(1, "b", "reed", 2))
		time.Sleep(2 * time.Second)
		if count := formed.inForce(2); count != 4 {
			t.Errorf("edit after the outage is in force at %d of 4 processes", count)
		}
	})
}

// Guards against a return to an older configuration when the store loses its newer contents.
func TestRegressedStoreIsWrittenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newCluster(t, processes)
		formed.mustApply(formed.processes[0], set(0, "a", "reed", 1))
		snapshot := formed.standin.Snapshot()
		formed.mustApply(formed.processes[0], set(1, "b", "reed", 2))
		formed.mustApply(formed.processes[1], set(2, "c", "moor", 3))
		time.Sleep(2 * time.Second)
		before := formed.standin.Calls().Swap
		formed.standin.Restore(snapshot)
		if _, err := formed.processes[2].Apply(formed.ctx, set(1, "d", "reed", 9)); kindOf(err) != fault.StoreUnavailable {
			t.Errorf("edit of a regressed store gives %v", err)
		}
		time.Sleep(5 * time.Second)
		for _, member := range formed.processes {
			if member.StoreRegressed() {
				t.Errorf("%s still counts the store as regressed", member.id)
			}
		}
		// Two documents and the head; a second process may begin before the first one is done.
		if swaps := formed.standin.Calls().Swap - before; swaps > 6 {
			t.Errorf("%d writes to repair the store, want at most 6", swaps)
		}
		fresh := newProcess(50, standin.NewDirect(formed.standin))
		go func() { _ = fresh.Run(formed.ctx) }()
		formed.mustApply(formed.processes[3], set(3, "e", "reed", 4))
		time.Sleep(2 * time.Second)
		fresh.Close()
		if count := formed.inForce(4); count != processes {
			t.Errorf("edit after the repair is in force at %d of %d processes", count, processes)
		}
		if got := fresh.Current(); got == nil || got.Revision != 4 || len(got.Organisations) != 2 {
			t.Errorf("process that reads only the store has %v", got)
		}
	})
}

// Guards against two winners of one revision, and against documents of losers that stay in the store.
func TestRaceOfOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newCluster(t, processes)
		formed.mustApply(formed.processes[0], set(0, "a", "reed", 1))
		time.Sleep(2 * time.Second)
		formed.standin.SetDelay(50 * time.Millisecond)
		var mu sync.Mutex
		var group sync.WaitGroup
		results := map[fault.Kind]int{}
		for i, member := range formed.processes {
			group.Go(func() {
				_, err := member.Apply(formed.ctx, set(1, "race"+string(member.id), "reed", 10+i))
				mu.Lock()
				defer mu.Unlock()
				results[kindOf(err)]++
			})
		}
		group.Wait()
		if results[""] != 1 || results[fault.Conflict] != processes-1 {
			t.Errorf("outcomes are %v, want one winner and %d conflicts", results, processes-1)
		}
		formed.standin.SetDelay(0)
		time.Sleep(2 * time.Second)
		if count := formed.inForce(2); count != processes {
			t.Errorf("winner is in force at %d of %d processes", count, processes)
		}
		entries, err := standin.NewDirect(formed.standin).List(formed.ctx, "config/organisations/")
		if err != nil || len(entries) != 1 {
			t.Errorf("store has %d documents, %v; want that of the winner only", len(entries), err)
		}
	})
}

// Guards against edits that are made twice, and against an id that hides another edit.
func TestRepeatedEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newCluster(t, 2)
		first, second := formed.processes[0], formed.processes[1]
		formed.mustApply(first, set(0, "a", "reed", 1))
		formed.mustApply(first, set(1, "b", "reed", 2))
		for _, member := range []*process{first, second} {
			response, err := member.Apply(formed.ctx, set(0, "a", "reed", 1))
			if err != nil || response.GetRevision() != 1 {
				t.Errorf("repeated edit gives %v, %v; want revision 1", response, err)
			}
			if _, err := member.Apply(formed.ctx, set(0, "a", "reed", 7)); kindOf(err) != fault.InvalidArgument {
				t.Errorf("other edit of the same id gives %v", err)
			}
		}
		var group sync.WaitGroup
		revisions := make([]int64, 2)
		for i, member := range formed.processes {
			group.Go(func() {
				response, err := member.Apply(formed.ctx, set(2, "c", "reed", 3))
				if err != nil {
					t.Errorf("edit sent to two processes at once: %v", err)
				}
				revisions[i] = response.GetRevision()
			})
		}
		group.Wait()
		time.Sleep(2 * time.Second)
		if !slices.Equal(revisions, []int64{3, 3}) || formed.inForce(3) != 2 {
			t.Errorf("edit sent to two processes at once has revisions %v", revisions)
		}
	})
}

// Guards against edits that get past the checks, or that are refused with another kind than the caller can act on.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newCluster(t, 1)
		member := formed.processes[0]
		member.Check = func(config *profile.Config, _ fleet.Inventory) error {
			if quota := config.Organisations["reed"].Quota; quota > 100 {
				return errors.Errorf("reed and moor do not fit together: %d", quota)
			}
			return nil
		}
		removal := set(0, "x", "moor", 1)
		removal.DocumentJson = ""
		foreign := set(0, "x", "moor", 1)
		foreign.Organisation = "reed"
		unknown := set(0, "x", "reed", 1)
		unknown.DocumentJson = `{"organisation":"reed","max_waiting":1,"qouta":1}`
		tests := []struct {
			name    string
			request func() error
			kind    fault.Kind
		}{
			{"no edit id", func() error { _, err := member.Apply(formed.ctx, set(0, "", "reed", 1)); return err },
				fault.InvalidArgument},
			{"unknown field", func() error { _, err := member.Apply(formed.ctx, unknown); return err }, fault.InvalidArgument},
			{"document of another", func() error { _, err := member.Apply(formed.ctx, foreign); return err },
				fault.InvalidArgument},
			{"does not fit", func() error { _, err := member.Apply(formed.ctx, set(0, "x", "reed", 101)); return err },
				fault.Unsatisfiable},
			{"nothing to remove", func() error { _, err := member.Apply(formed.ctx, removal); return err }, fault.NotFound},
			{"other revision", func() error { _, err := member.Apply(formed.ctx, set(3, "x", "reed", 1)); return err },
				fault.Conflict},
		}
		for _, test := range tests {
			if err := test.request(); kindOf(err) != test.kind {
				t.Errorf("%s: %v, want %s", test.name, err, test.kind)
			}
		}
		if member.Current() != nil {
			t.Errorf("refused edits are in force: %v", member.Current())
		}
		preview, _ := member.Preview(formed.ctx, set(0, "x", "reed", 101))
		if len(preview.GetProblems()) != 1 || len(preview.GetChanges()) != 1 {
			t.Errorf("preview is %v, want one problem and one change", preview)
		}
	})
}

// Guards against a loop of calls to the store over a document that this process cannot read.
func TestUnreadableDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newCluster(t, 3)
		formed.mustApply(formed.processes[0], set(0, "a", "reed", 1))
		time.Sleep(2 * time.Second)
		store := standin.NewDirect(formed.standin)
		broken := []byte(`{"organisation":"moor"`)
		accepted := formed.processes[0].state().head.next(
			acceptedEdit{ID: "b", Revision: 2}, "moor", &documentRef{Number: 2, Sum: sumOf(broken)})
		stored, err := store.Get(formed.ctx, headKey)
		if err != nil {
			t.Fatal(err)
		}
		_, documentErr := store.Swap(formed.ctx, documentKey("moor", 2), broken, 0)
		_, headErr := store.Swap(formed.ctx, headKey, accepted.encode(), stored.Revision)
		if documentErr != nil || headErr != nil {
			t.Fatal(documentErr, headErr)
		}
		before := formed.standin.Calls().Store()
		time.Sleep(time.Minute)
		if calls := formed.standin.Calls().Store() - before; calls > 3*60 {
			t.Errorf("%d calls of 3 processes in a minute, want at most one a second for each", calls)
		} else {
			t.Logf("%d calls of 3 processes in a minute", calls)
		}
		if count := formed.inForce(1); count != 3 {
			t.Errorf("%d of 3 processes keep the configuration that they have", count)
		}
	})
}
