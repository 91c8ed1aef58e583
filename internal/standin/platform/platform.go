// Package platform is a stand-in of the platform: its key-value store and its list of VMs, held in memory, with
// call counts, limits and faults that can be switched on and off.
package platform

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const defaultMaxValue = fleet.Bytes(1 << 20)

// Errors of a call; Handler gives them the code of the protocol.
var (
	errDown       = errors.New("store is down")
	errLimited    = errors.New("rate limit of the store is reached")
	errTooLarge   = errors.New("value exceeds the limit of the store")
	errAnswerLost = errors.New("answer is lost")
)

// Calls counts the calls that reached the platform. A watch counts once, when it begins to wait.
type Calls struct {
	Get, List, Swap, Delete, Watch, ListVMs int
	// Refused counts those of the above that a limit or the fault "down" refused.
	Refused int
}

// Store returns the number of calls to the store.
func (calls Calls) Store() int {
	return calls.Get + calls.List + calls.Swap + calls.Delete + calls.Watch
}

// Snapshot is the contents of the store at one moment.
type Snapshot struct {
	entries  map[string]record
	revision int64
}

type record struct {
	value    []byte
	revision int64
	lease    time.Duration
}

// Platform is the stand-in. Its exported fields are set before its first call.
type Platform struct {
	// WritesPerSecond and ReadsPerSecond bound the calls taken within a second; 0 is no bound.
	WritesPerSecond, ReadsPerSecond int
	// MaxValue bounds one value.
	MaxValue fleet.Bytes

	mu       sync.Mutex
	entries  map[string]record
	revision int64
	watchers map[*watcher]struct{}
	calls    Calls
	reads    window
	writes   window

	down bool
	slow time.Duration
	// lost is the number of writes whose answers are still to be lost; negative means all.
	lost int

	lag      time.Duration
	listings []listing
	listDown bool
}

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		MaxValue: defaultMaxValue,
		entries:  map[string]record{},
		watchers: map[*watcher]struct{}{},
	}
}

// Handler serves the store and the VM list.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewStoreServiceHandler(storeHandler{platform}))
	mux.Handle(platformv1connect.NewVMListServiceHandler(vmListHandler{platform}))
	return mux
}

// SetDown makes the store refuse all calls and end all watches, or ends that.
func (platform *Platform) SetDown(down bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.down = down
	if down {
		platform.endWatches()
	}
}

// SetDelay delays the effect of every call. A delayed write takes effect even when its caller gave up.
func (platform *Platform) SetDelay(delay time.Duration) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.slow = delay
}

// LoseAnswers loses the answers of the next writes after they took effect; a negative count loses all of them
// until the next call.
func (platform *Platform) LoseAnswers(count int) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.lost = count
}

// Calls returns the counts so far.
func (platform *Platform) Calls() Calls {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.calls
}

// Watches returns the number of watches that wait now.
func (platform *Platform) Watches() int {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return len(platform.watchers)
}

// Snapshot returns the present contents of the store.
func (platform *Platform) Snapshot() Snapshot {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return Snapshot{entries: maps.Clone(platform.entries), revision: platform.revision}
}

// Restore puts the store back to a snapshot, as a store does that returns with older contents. Watches end.
func (platform *Platform) Restore(snapshot Snapshot) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.entries = maps.Clone(snapshot.entries)
	platform.revision = snapshot.revision
	for key, stored := range platform.entries {
		platform.startLease(key, stored)
	}
	platform.endWatches()
}

func (platform *Platform) endWatches() {
	for waiting := range platform.watchers {
		waiting.end()
		delete(platform.watchers, waiting)
	}
}

// window counts the calls taken within the current second.
type window struct {
	second time.Time
	count  int
}

func (current *window) take(limit int) bool {
	second := time.Now().Truncate(time.Second)
	if !second.Equal(current.second) {
		current.second, current.count = second, 0
	}
	current.count++
	return limit == 0 || current.count <= limit
}

func entryOf(key string, stored record) *platformv1.Entry {
	return &platformv1.Entry{Key: key, Value: stored.value, Revision: stored.revision}
}
