// Package platform is a stand-in of the platform: its key-value store and its list of VMs, held in memory. It counts
// calls, enforces rate and size limits, and injects faults that tests switch on and off.
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

// defaultMaxValue is the default size limit of one value.
const defaultMaxValue = fleet.Bytes(1 << 20)

// Errors of a call; protocolError adds their Connect codes.
var (
	errDown         = errors.New("store is down")
	errLimited      = errors.New("rate limit of the store exceeded")
	errTooLarge     = errors.New("value exceeds the size limit of the store")
	errResponseLost = errors.New("response to the write lost")
)

// Calls counts the calls that reached the platform. A watch counts once, when it is opened.
type Calls struct {
	Get, List, Swap, Delete, Watch, ListVMs int
	// Refused counts the calls above that were refused because of a rate limit or because the store or the VM list
	// was down.
	Refused int
}

// Store returns the number of calls to the store.
func (calls Calls) Store() int {
	return calls.Get + calls.List + calls.Swap + calls.Delete + calls.Watch
}

// Snapshot is the contents of the store at one moment.
type Snapshot struct {
	entries  map[string]storedValue
	revision int64
}

// storedValue is the value of a key with the store revision of its last write.
type storedValue struct {
	value    []byte
	revision int64
	// lease is the time after the write at which the key is removed; 0 keeps the key.
	lease time.Duration
}

// Platform is a stand-in of the platform's store and its list of VMs. Its exported fields must be set before the first
// call.
type Platform struct {
	// WritesPerSecond and ReadsPerSecond limit the calls admitted within one second; 0 means no limit.
	WritesPerSecond, ReadsPerSecond int
	// MaxValue is the size limit of one value.
	MaxValue fleet.Bytes

	mu       sync.Mutex
	entries  map[string]storedValue
	revision int64
	watchers map[*watcher]struct{}
	calls    Calls
	reads    rateWindow
	writes   rateWindow

	down bool
	// delay is the time by which the effect of every store call is delayed.
	delay time.Duration
	// responsesToLose is the number of writes whose responses are still to be lost; a negative number means all.
	responsesToLose int

	listLag  time.Duration
	listings []listing
	listDown bool
}

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{
		MaxValue: defaultMaxValue,
		entries:  map[string]storedValue{},
		watchers: map[*watcher]struct{}{},
	}
}

// Handler returns the handler that serves the store and the VM list.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewStoreServiceHandler(storeHandler{platform}))
	mux.Handle(platformv1connect.NewVMListServiceHandler(vmListHandler{platform}))
	return mux
}

// SetDown sets whether the store is down. A store that is down refuses all calls and ends all watches.
func (platform *Platform) SetDown(down bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.down = down
	if down {
		platform.endWatches()
	}
}

// SetDelay delays the effect of every call to the store. A delayed write takes effect even if its caller has timed out.
func (platform *Platform) SetDelay(delay time.Duration) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.delay = delay
}

// LoseAnswers discards the responses to the next count writes, which still take effect. A negative count applies to all
// writes until LoseAnswers is called again.
func (platform *Platform) LoseAnswers(count int) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.responsesToLose = count
}

// Calls returns the call counts so far.
func (platform *Platform) Calls() Calls {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.calls
}

// Watches returns the number of open watches.
func (platform *Platform) Watches() int {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return len(platform.watchers)
}

// Snapshot returns a copy of the contents of the store.
func (platform *Platform) Snapshot() Snapshot {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return Snapshot{entries: maps.Clone(platform.entries), revision: platform.revision}
}

// Restore sets the contents of the store to a snapshot and ends all watches, as if the store had been restored from an
// older backup.
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
	for watcher := range platform.watchers {
		watcher.end()
		delete(platform.watchers, watcher)
	}
}

// rateWindow counts the calls within the current second.
type rateWindow struct {
	second time.Time
	count  int
}

// allow counts a call and reports whether the call is within limit; 0 means no limit.
func (window *rateWindow) allow(limit int) bool {
	second := time.Now().Truncate(time.Second)
	if !second.Equal(window.second) {
		window.second, window.count = second, 0
	}
	window.count++
	return limit == 0 || window.count <= limit
}

func entryOf(key string, stored storedValue) *platformv1.Entry {
	return &platformv1.Entry{Key: key, Value: stored.value, Revision: stored.revision}
}
