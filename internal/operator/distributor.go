package operator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	pullTimeout = 2 * time.Second
	// A process that does not answer any more is not waited for: its revision counts for this long.
	heardFor = 10 * time.Second
	// Processes that see a regression together spread their repairs over this time, so that one does the work.
	repairSpread = 500 * time.Millisecond
)

// observation is the head as the store last showed it.
type observation struct {
	// head is an empty one if the key is absent.
	head     *head
	revision platform.StoreRevision
}

type heard struct {
	source   peer.Peer
	revision fleet.Revision
	at       time.Time
}

// Distributor accepts edits and holds the configuration in force. Its exported fields are set before Run.
type Distributor struct {
	// Check refuses a configuration that the fleet cannot satisfy; a *fault.Error keeps its kind.
	Check func(*profile.Config, fleet.Inventory) error
	// DescribeReclaims describes for Preview what would move from the first configuration to the second; may be nil.
	DescribeReclaims func(from, to *profile.Config, inventory fleet.Inventory) []string
	// Inventory returns the last reading of the fleet; it reports false before the first one.
	Inventory func() (fleet.Inventory, bool)
	// Parse reads one organisation's document.
	Parse   func([]byte) (*profile.Organisation, error)
	Metrics metrics.Registry
	Logger  hclog.Logger
	// Random returns a number in [0, 1) for jitter.
	Random func() float64

	store platform.Store
	life  lifecycle.Lifecycle
	wake  chan struct{}
	// editing lets one edit through at a time.
	editing chan struct{}
	// installing orders the changes of current and the calls of subscribers.
	installing sync.Mutex

	mu sync.Mutex
	// current never goes back to a lower revision.
	current   *state
	observed  *observation
	regressed bool
	heard     map[fleet.VMID]heard
	// replaced are the keys of documents that edits of this process have replaced.
	replaced []string
	// offered is the document of the edit in progress; nil without one.
	offered     *writtenDocument
	subscribers []func(*profile.Config)
}

// NewDistributor returns a distributor over store.
func NewDistributor(store platform.Store) *Distributor {
	return &Distributor{
		Check:     func(*profile.Config, fleet.Inventory) error { return nil },
		Inventory: func() (fleet.Inventory, bool) { return fleet.Inventory{}, true },
		Parse:     profile.ParseOrganisation,
		Metrics:   metrics.NewRegistry(),
		Logger:    hclog.NewNullLogger(),
		Random:    rand.Float64,
		store:     store,
		wake:      make(chan struct{}, 1),
		editing:   make(chan struct{}, 1),
		current:   emptyState(),
		heard:     map[fleet.VMID]heard{},
	}
}

// Run follows the store and the peers until ctx ends or Close.
func (distributor *Distributor) Run(ctx context.Context) error {
	ctx, end := distributor.life.Begin(ctx)
	defer end()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { distributor.store.Watch(ctx, headKey, distributor.onChange()) })
	backoff := platform.Backoff{First: 200 * time.Millisecond, Max: 10 * time.Second, Random: distributor.Random}
	for {
		var retry <-chan time.Time
		if err := distributor.CatchUp(ctx); err != nil && ctx.Err() == nil {
			distributor.Logger.Warn("configuration is behind", "error", err)
			retry = time.After(backoff.Next())
		} else {
			backoff.Reset()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-distributor.wake:
		case <-retry:
		}
	}
}

// Close ends Run and waits for it.
func (distributor *Distributor) Close() { distributor.life.Close() }

// Current returns the configuration in force; nil before the first edit was accepted or while none is known.
func (distributor *Distributor) Current() *profile.Config {
	current := distributor.state()
	if current.head.Revision == 0 {
		return nil
	}
	return current.config
}

// Revision returns the revision in force, 0 without one. Heartbeats carry it.
func (distributor *Distributor) Revision() fleet.Revision { return distributor.state().head.Revision }

// StoreRegressed reports whether the store came back with an older configuration that is not written back yet. No edit
// is accepted and no non-idempotent job may start meanwhile.
func (distributor *Distributor) StoreRegressed() bool {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	return distributor.regressed
}

// Subscribe registers a function that gets every configuration that comes into force, in order, and now the present
// one. It must not call Apply.
func (distributor *Distributor) Subscribe(subscriber func(*profile.Config)) {
	distributor.installing.Lock()
	defer distributor.installing.Unlock()
	distributor.mu.Lock()
	distributor.subscribers = append(distributor.subscribers, subscriber)
	distributor.mu.Unlock()
	if config := distributor.Current(); config != nil {
		subscriber(config)
	}
}

// RecordPeerRevision takes the revision that a peer reports in a heartbeat.
func (distributor *Distributor) RecordPeerRevision(source peer.Peer, revision fleet.Revision) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	distributor.heard[source.VM.ID] = heard{source: source, revision: revision, at: time.Now()}
	if revision > distributor.current.head.Revision {
		distributor.signal()
	}
}

func (distributor *Distributor) state() *state {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	return distributor.current
}

// install brings a state into force. It changes nothing if the revision is not higher; a state of the same revision
// replaces another one only if the store holds it, which is possible after the store lost its newer contents.
func (distributor *Distributor) install(installed *state, fromStore bool) {
	distributor.installing.Lock()
	defer distributor.installing.Unlock()
	distributor.mu.Lock()
	present := distributor.current.head
	fork := fromStore && installed.head.Revision == present.Revision && !distributor.current.sameAs(installed.head)
	if installed.head.Revision <= present.Revision && !fork {
		distributor.mu.Unlock()
		return
	}
	distributor.current = installed
	subscribers := distributor.subscribers
	distributor.mu.Unlock()
	if fork {
		distributor.Logger.Error("config_store_regressed: another edit has this revision in the store",
			"revision", installed.head.Revision, "lost_edit", present.lastEdit().ID)
	}
	metrics.GetOrRegisterGauge("config.revision", distributor.Metrics).Update(int64(installed.head.Revision))
	distributor.Logger.Info("configuration is in force", "revision", installed.head.Revision)
	for _, subscriber := range subscribers {
		subscriber(installed.config)
	}
}

func (distributor *Distributor) count(name string) {
	metrics.GetOrRegisterCounter("config."+name, distributor.Metrics).Inc(1)
}

// onChange returns the function that takes the changes of the head from the watch.
func (distributor *Distributor) onChange() func(platform.Change) {
	seen := false
	return func(change platform.Change) {
		switch {
		case change.CaughtUp:
			if !seen {
				distributor.observe(&observation{head: &head{}})
			}
			seen = false
		case change.Entry.Key != headKey:
		case change.Deleted:
			distributor.observe(&observation{head: &head{}})
		default:
			seen = true
			distributor.observeEntry(change.Entry)
		}
	}
}

func (distributor *Distributor) observeEntry(entry platform.Entry) {
	decoded, err := decodeHead(entry.Value)
	if err != nil {
		distributor.Logger.Error("head in the store is malformed", "error", err)
		return
	}
	distributor.observe(&observation{head: decoded, revision: entry.Revision})
}

func (distributor *Distributor) observe(seen *observation) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	distributor.observed = seen
	distributor.signal()
}

func (distributor *Distributor) signal() {
	select {
	case distributor.wake <- struct{}{}:
	default:
	}
}

// advance replaces an observation by one that was read or written after it. A change that the watch has shown
// meanwhile stays: it may be newer.
func (distributor *Distributor) advance(previous, following *observation) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	if distributor.observed != previous {
		return
	}
	distributor.observed = following
	if previous == nil || previous.revision != following.revision {
		distributor.signal()
	}
}

// readHead reads the head from the store and observes it; an absent one is empty.
func (distributor *Distributor) readHead(ctx context.Context) (*observation, error) {
	distributor.mu.Lock()
	previous := distributor.observed
	distributor.mu.Unlock()
	entry, err := distributor.store.Get(ctx, headKey)
	read := &observation{head: &head{}, revision: entry.Revision}
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return nil, errors.WithMessage(err, "read head")
	default:
		if read.head, err = decodeHead(entry.Value); err != nil {
			return nil, err
		}
	}
	distributor.advance(previous, read)
	return read, nil
}
