package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/standin/network"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// fixture is a platform stand-in behind an in-memory network, with a store client.
type fixture struct {
	t       *testing.T
	standin *standin.Platform
	network *network.Network
	store   *platform.RemoteStore
}

// withPlatform runs a test with a new fixture on a fake clock.
func withPlatform(t *testing.T, test func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fixture := &fixture{t: t, standin: standin.New(), network: network.New()}
		server := transport.NewServer(fixture.standin.Handler(), nil)
		listener := fixture.network.Listen("platform:80")
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		fixture.store = fixture.newStore(1)
		test(fixture)
	})
}

func (fixture *fixture) newStore(seed uint64) *platform.RemoteStore {
	client := transport.NewHTTPClientWithDial(nil, fixture.network.Dial)
	fixture.t.Cleanup(client.CloseIdleConnections)
	store := platform.NewStore(
		platformv1connect.NewStoreServiceClient(client, "http://platform"), metrics.NewRegistry())
	source := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
	store.RetryBackoff.Random, store.WatchBackoff.Random = random, random
	return store
}

func (fixture *fixture) watch(store *platform.RemoteStore, deliver func(platform.Change)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		store.Watch(ctx, "k/", deliver)
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestOutcomeOfWrites guards against writes whose outcome is reported wrongly because the store is down or slow or its
// responses are lost.
func TestOutcomeOfWrites(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(*standin.Platform)
		value  []byte
		expect platform.StoreRevision
		err    error
		took   bool
	}{
		{"no fault", func(*standin.Platform) {}, []byte("new"), 1, nil, true},
		{"other revision", func(*standin.Platform) {}, []byte("new"), 9, platform.ErrConflict, false},
		{"too large", func(*standin.Platform) {}, make([]byte, 2<<20), 1, platform.ErrRefused, false},
		{"down", func(fake *standin.Platform) { fake.SetDown(true) }, []byte("new"), 1, platform.ErrUnavailable, false},
		{"one response lost", func(fake *standin.Platform) { fake.LoseAnswers(1) }, []byte("new"), 1, nil, true},
		{"all responses lost", func(fake *standin.Platform) { fake.LoseAnswers(-1) }, []byte("new"), 1, nil, true},
		{"slower than the timeout", func(fake *standin.Platform) { fake.SetDelay(5 * time.Second) }, []byte("new"), 1,
			platform.ErrOutcomeUnknown, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPlatform(t, func(fixture *fixture) {
				ctx := context.Background()
				if _, err := fixture.store.Swap(ctx, "k/a", []byte("old"), 0); err != nil {
					t.Fatal(err)
				}
				test.fault(fixture.standin)
				revision, err := fixture.store.Swap(ctx, "k/a", test.value, test.expect)
				if !errors.Is(err, test.err) {
					t.Fatalf("Swap returns %v, want %v", err, test.err)
				}
				time.Sleep(10 * time.Second)
				fixture.standin.SetDown(false)
				fixture.standin.SetDelay(0)
				entry, err := fixture.store.Get(ctx, "k/a")
				if err != nil || (string(entry.Value) == "new") != test.took {
					t.Errorf("store holds %q, %v; want that the write took effect: %v", entry.Value, err, test.took)
				}
				if test.err == nil && revision != entry.Revision {
					t.Errorf("Swap returns revision %d, store has %d", revision, entry.Revision)
				}
				fixture.standin.LoseAnswers(1)
				if err := fixture.store.Delete(ctx, "k/a", entry.Revision); err != nil {
					t.Errorf("Delete with a lost response: %v", err)
				}
				if _, err := fixture.store.Get(ctx, "k/a"); !errors.Is(err, platform.ErrNotFound) {
					t.Errorf("Get after Delete returns %v", err)
				}
			})
		})
	}
}

// TestWatchDeliversAgain guards against watches that do not deliver the entries of the store after it has lost its
// newer contents, or that wait for changes on an unresponsive connection instead of reconnecting.
func TestWatchDeliversAgain(t *testing.T) {
	withPlatform(t, func(fixture *fixture) {
		ctx := context.Background()
		var log []string
		stop := fixture.watch(fixture.store, func(change platform.Change) {
			switch {
			case change.CaughtUp:
				log = append(log, "current")
			case change.Deleted:
				log = append(log, "-"+change.Entry.Key)
			default:
				log = append(log, fmt.Sprintf("%s=%s", change.Entry.Key, change.Entry.Value))
			}
		})
		writer := fixture.newStore(2)
		step := func(want ...string) {
			t.Helper()
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if fmt.Sprint(log) != fmt.Sprint(want) {
				t.Errorf("watch delivered %v, want %v", log, want)
			}
			log = nil
		}
		step("current")
		revision, err := writer.Swap(ctx, "k/a", []byte("1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		step("k/a=1")
		snapshot := fixture.standin.Snapshot()
		if err := writer.Delete(ctx, "k/a", revision); err != nil {
			t.Fatal(err)
		}
		step("-k/a")
		fixture.standin.Restore(snapshot)
		step("k/a=1", "current")
		fixture.network.Silence()
		step("k/a=1", "current")
		stop()
		if calls := fixture.standin.Calls(); calls.Watch != 3 {
			t.Errorf("%d watch calls, want 3", calls.Watch)
		}
	})
}

// TestReconnectingWatchesSpread guards against a thundering herd: all watches break at the start of an outage of the
// store, and without jitter they would reconnect at the same time.
func TestReconnectingWatchesSpread(t *testing.T) {
	withPlatform(t, func(fixture *fixture) {
		const watchers = 40
		const outage = 2 * time.Minute
		for seed := range uint64(watchers) {
			stop := fixture.watch(fixture.newStore(seed), func(platform.Change) {})
			defer stop()
		}
		time.Sleep(time.Second)
		fixture.standin.SetDown(true)
		before := fixture.standin.Calls().Watch
		time.Sleep(outage)
		during := fixture.standin.Calls().Watch - before
		// The mean delay between two attempts of a watch to reconnect is 5 s.
		if most := watchers * int(outage/time.Second) / 4; during > most {
			t.Errorf("%d watch calls during an outage of %v, want at most %d", during, outage, most)
		}
		fixture.standin.SetDown(false)
		worst := 0
		for range 100 {
			before = fixture.standin.Calls().Watch
			time.Sleep(100 * time.Millisecond)
			worst = max(worst, fixture.standin.Calls().Watch-before)
		}
		if worst > watchers/8 {
			t.Errorf("%d of %d watches reconnect within 100 ms, want at most an eighth", worst, watchers)
		}
		if waiting := fixture.standin.Watches(); waiting != watchers {
			t.Errorf("%d watches are connected 10 s after the outage, want %d", waiting, watchers)
		}
		t.Logf("calls during the outage: %d; most within 100 ms: %d", during, worst)
	})
}

// TestCallsAreBounded guards against retries that overload a failing store, and against calls in excess of the budget.
func TestCallsAreBounded(t *testing.T) {
	withPlatform(t, func(fixture *fixture) {
		const calls = 500
		fixture.standin.SetDown(true)
		for range calls {
			_, _ = fixture.store.Get(context.Background(), "k/a")
			time.Sleep(time.Second)
		}
		if sent := fixture.standin.Calls().Get; sent > calls*11/10+3 {
			t.Errorf("%d calls for %d reads of a store that is down, want at most 10%% more", sent, calls)
		}
		if fixture.store.Healthy() {
			t.Error("a store that is down counts as healthy")
		}
		fixture.standin.SetDown(false)
		time.Sleep(time.Minute)
		before := fixture.standin.Calls().Get
		var group sync.WaitGroup
		for range 2000 {
			group.Go(func() { _, _ = fixture.store.Get(context.Background(), "k/a") })
		}
		group.Wait()
		budget := fixture.store.Budget
		most := int(budget.Burst+budget.CallsPerSecond*budget.MaxWait.Seconds()) + 1
		if sent := fixture.standin.Calls().Get - before; sent > most {
			t.Errorf("%d calls at once, want at most %d", sent, most)
		}
		if !fixture.store.Healthy() {
			t.Error("a refusal by the budget counts as a failure of the store")
		}
	})
}

// TestInventoryKeepsLastReading guards against an inventory that is empty while the VM list is down, and against an
// inventory that accepts the older contents of a replica that lags.
func TestInventoryKeepsLastReading(t *testing.T) {
	withPlatform(t, func(fixture *fixture) {
		client := transport.NewHTTPClientWithDial(nil, fixture.network.Dial)
		defer client.CloseIdleConnections()
		list := platform.NewVMList(
			platformv1connect.NewVMListServiceClient(client, "http://platform"), metrics.NewRegistry())
		inventory := platform.NewInventory(list)
		var seen []int
		inventory.Subscribe(func(reading fleet.Inventory) { seen = append(seen, len(reading.Entries)) })
		entry := func(id string) *platformv1.VM {
			return &platformv1.VM{Id: id, Role: platformv1.VMRole_VM_ROLE_ENTRY}
		}
		fixture.standin.SetListLag(3 * time.Second)
		fixture.standin.SetVMs(entry("a"), entry("b"))
		time.Sleep(4 * time.Second)
		go func() { _ = inventory.Run(context.Background()) }()
		fixture.standin.SetVMs(entry("a"))
		time.Sleep(2 * time.Second)
		if current, ok := inventory.Current(); !ok || len(current.Entries) != 2 {
			t.Errorf("inventory is %v, %v before the lag has passed", current, ok)
		}
		fixture.standin.SetListDown(true)
		time.Sleep(time.Minute)
		if current, _ := inventory.Current(); len(current.Entries) != 2 {
			t.Errorf("inventory is %v while the list is down", current)
		}
		fixture.standin.SetListDown(false)
		time.Sleep(2 * time.Second)
		inventory.Close()
		synctest.Wait()
		if fmt.Sprint(seen) != "[2 1]" {
			t.Errorf("subscribers received readings with %v entries, want [2 1]", seen)
		}
	})
}
