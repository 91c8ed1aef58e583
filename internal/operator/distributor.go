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
	// peerRevisionTTL is the time for which the configuration revision that a peer reported is used. Edits are refused
	// while a reported revision is higher than the revision in the store. The limit keeps a peer that no longer
	// responds from blocking edits for longer.
	peerRevisionTTL = 10 * time.Second
	// maxRepairDelay is the maximum of the random delay before a repair of the store. The delays of different processes
	// differ, so that usually only one of them repairs it.
	maxRepairDelay = 500 * time.Millisecond
)

// observation is the head that was last read from the store or delivered by its watch.
type observation struct {
	// head is empty if the store has no head.
	head *head
	// revision is the store's revision of headKey, or 0 if the store has no head.
	revision platform.StoreRevision
}

// peerRevision is the revision of the configuration that a peer last reported.
type peerRevision struct {
	source     peer.Peer
	revision   fleet.Revision
	reportedAt time.Time
}

// Distributor accepts edits, keeps the configuration of this process up to date with the store and the peers, and
// repairs a store that has regressed. Its exported fields must be set before Run.
type Distributor struct {
	// Check returns an error if the fleet cannot satisfy a configuration. Edits are refused with this error if it is a
	// *fault.Error, and with the kind Unsatisfiable otherwise.
	Check func(*profile.Config, fleet.Inventory) error
	// DescribePreemptions describes, for Preview, the preemptions that a change of the configuration could cause. It
	// may be nil.
	DescribePreemptions func(from, to *profile.Config, inventory fleet.Inventory) []string
	// Inventory returns the last reading of the fleet. It returns false before the first reading.
	Inventory func() (fleet.Inventory, bool)
	// Parse parses the document of an organisation.
	Parse   func([]byte) (*profile.Organisation, error)
	Metrics metrics.Registry
	Logger  hclog.Logger
	// Random returns a number in [0, 1) for jitter.
	Random func() float64

	store     platform.Store
	lifecycle lifecycle.Lifecycle
	// wake makes Run call CatchUp.
	wake chan struct{}
	// editSlot holds one element while an edit is in progress.
	editSlot chan struct{}
	// installMutex serialises changes of current together with the calls of subscribers, so that each subscriber
	// receives the configurations in order.
	installMutex sync.Mutex

	mu sync.Mutex
	// current is the state in force. Its revision never decreases.
	current  *state
	observed *observation
	// regressed is true from the detection of a regression of the store until the store has been repaired.
	regressed     bool
	peerRevisions map[fleet.VMID]peerRevision
	// replaced holds the keys of documents that edits of this process have replaced and that are to be deleted.
	replaced []string
	// inProgress is the document of the edit in progress, or nil.
	inProgress  *writtenDocument
	subscribers []func(*profile.Config)
}

// NewDistributor returns a Distributor that keeps the configuration in store.
func NewDistributor(store platform.Store) *Distributor {
	return &Distributor{
		Check:         func(*profile.Config, fleet.Inventory) error { return nil },
		Inventory:     func() (fleet.Inventory, bool) { return fleet.Inventory{}, true },
		Parse:         profile.ParseOrganisation,
		Metrics:       metrics.NewRegistry(),
		Logger:        hclog.NewNullLogger(),
		Random:        rand.Float64,
		store:         store,
		wake:          make(chan struct{}, 1),
		editSlot:      make(chan struct{}, 1),
		current:       emptyState(),
		peerRevisions: map[fleet.VMID]peerRevision{},
	}
}

// Run keeps the configuration up to date with the store and the peers until ctx is done or Close is called.
func (distributor *Distributor) Run(ctx context.Context) error {
	ctx, end := distributor.lifecycle.Begin(ctx)
	defer end()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { distributor.store.Watch(ctx, headKey, distributor.onChange()) })
	backoff := platform.Backoff{First: 200 * time.Millisecond, Max: 10 * time.Second, Random: distributor.Random}
	for {
		var retry <-chan time.Time
		if err := distributor.CatchUp(ctx); err != nil && ctx.Err() == nil {
			distributor.Logger.Warn("configuration is not up to date", "error", err)
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

// Close ends Run and waits until it has returned.
func (distributor *Distributor) Close() { distributor.lifecycle.Close() }

// Current returns the configuration in force. It is nil before the first edit is accepted and until a new process has
// loaded the configuration.
func (distributor *Distributor) Current() *profile.Config {
	current := distributor.state()
	if current.head.Revision == 0 {
		return nil
	}
	return current.config
}

// Revision returns the revision of the configuration in force, or 0 if there is none. Heartbeats report this revision
// to the peers.
func (distributor *Distributor) Revision() fleet.Revision { return distributor.state().head.Revision }

// StoreRegressed reports whether the store has returned to an older configuration and the newer configuration has not
// been written back yet. During that time no edit is accepted and no non-idempotent job may start.
func (distributor *Distributor) StoreRegressed() bool {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	return distributor.regressed
}

// Subscribe registers a function that is called with every configuration that comes into force, in order. If a
// configuration is already in force, Subscribe calls the function with it. The function must not call Apply.
func (distributor *Distributor) Subscribe(subscriber func(*profile.Config)) {
	distributor.installMutex.Lock()
	defer distributor.installMutex.Unlock()
	distributor.mu.Lock()
	distributor.subscribers = append(distributor.subscribers, subscriber)
	distributor.mu.Unlock()
	if config := distributor.Current(); config != nil {
		subscriber(config)
	}
}

// RecordPeerRevision records the revision that a peer reports in a heartbeat.
func (distributor *Distributor) RecordPeerRevision(source peer.Peer, revision fleet.Revision) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	distributor.peerRevisions[source.VM.ID] = peerRevision{source: source, revision: revision, reportedAt: time.Now()}
	if revision > distributor.current.head.Revision {
		distributor.signal()
	}
}

func (distributor *Distributor) state() *state {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	return distributor.current
}

// install brings a state into force if its revision is higher than the current one. A different state of the same
// revision replaces the current one only if it comes from the store. Two such states exist if the store lost its newer
// contents and another edit was accepted on the older ones.
func (distributor *Distributor) install(installed *state, fromStore bool) {
	distributor.installMutex.Lock()
	defer distributor.installMutex.Unlock()
	distributor.mu.Lock()
	present := distributor.current.head
	diverged := fromStore && installed.head.Revision == present.Revision && !distributor.current.sameAs(installed.head)
	if installed.head.Revision <= present.Revision && !diverged {
		distributor.mu.Unlock()
		return
	}
	distributor.current = installed
	subscribers := distributor.subscribers
	distributor.mu.Unlock()
	if diverged {
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

// onChange returns the function that handles the changes of the head that the watch delivers. If the watch has
// delivered no head when it catches up, the key is absent.
func (distributor *Distributor) onChange() func(platform.Change) {
	headSeen := false
	return func(change platform.Change) {
		switch {
		case change.CaughtUp:
			if !headSeen {
				distributor.observe(&observation{head: &head{}})
			}
			headSeen = false
		case change.Entry.Key != headKey:
		case change.Deleted:
			distributor.observe(&observation{head: &head{}})
		default:
			headSeen = true
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

// advanceObservation replaces the previous observation by the result of a later read or write. It changes nothing if
// the watch has delivered another observation in the meantime, since the delivered observation may be newer.
func (distributor *Distributor) advanceObservation(previous, next *observation) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	if distributor.observed != previous {
		return
	}
	distributor.observed = next
	if previous == nil || previous.revision != next.revision {
		distributor.signal()
	}
}

// readHead reads the head from the store and records the observation. The head is empty if the key is absent.
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
	distributor.advanceObservation(previous, read)
	return read, nil
}
