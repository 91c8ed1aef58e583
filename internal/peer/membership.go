package peer

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	defaultInterval     = 500 * time.Millisecond
	defaultSuspectAfter = 2500 * time.Millisecond
	defaultStableFor    = time.Second
	// evaluationsPerInterval is the number of calls of evaluate, which determines the live processes, per heartbeat
	// interval.
	evaluationsPerInterval = 5
)

// member is another entry process with the state from its last heartbeat.
type member struct {
	peer          Peer
	revision      fleet.Revision
	lastHeartbeat time.Time
}

// Membership implements View, the membership view of a process: it exchanges heartbeats with the other entry processes,
// chooses the owners of domains and maintains the seat of this process. Its exported fields must be set before Run.
type Membership struct {
	VM          fleet.EntryVM
	Incarnation int64
	// SeatCount is the number of seats among which the slots and connections of the targets are divided.
	SeatCount int
	// Bootstrap holds addresses of processes that receive heartbeats even if the list of VMs does not contain their VMs
	// yet.
	Bootstrap []string
	// Inventory returns the last reading of the list of VMs. It returns false before the first reading.
	Inventory func() (fleet.Inventory, bool)
	// Ready reports whether this process accepts work.
	Ready func() bool
	// FreeSlots returns, by service, the number of free slots that this process reports to its peers.
	FreeSlots func() map[fleet.ServiceName]int
	// Revision returns the revision of the configuration in force in this process.
	Revision func() fleet.Revision
	// OnRevision is called with the sender and the configuration revision of every heartbeat.
	OnRevision func(Peer, fleet.Revision)
	// NewClient returns a client for the process at an address.
	NewClient func(address string) peerv1connect.PeerServiceClient
	// Interval is the time between heartbeats. A process is suspected to have failed, and no longer counts as live,
	// when no heartbeat has arrived from it for SuspectAfter. Owners are chosen from a set of live processes that has
	// not changed for StableFor.
	Interval, SuspectAfter, StableFor time.Duration
	Logger                            hclog.Logger
	Metrics                           metrics.Registry

	seats     *Seats
	lifecycle lifecycle.Lifecycle
	// leaving is true after Leave has been called. Heartbeats then report this process as not ready.
	leaving atomic.Bool

	mu      sync.Mutex
	members map[fleet.VMID]*member
	clients map[string]peerv1connect.PeerServiceClient
	// sending holds the addresses with a heartbeat in flight.
	sending map[string]bool
	// evaluatedAt is the time of the last call of evaluate. A long gap between two calls means that this process was
	// paused.
	evaluatedAt time.Time
	// candidates holds the processes that were live at the last call of evaluate. It has not changed since changedAt.
	candidates []candidate
	changedAt  time.Time
	// stableCandidates is the last value of candidates that did not change for StableFor. Owners are chosen from it.
	stableCandidates []candidate
}

// NewMembership returns the Membership of a process. The incarnation must be higher than the incarnations of earlier
// processes on the same VM.
func NewMembership(store platform.Store, vm fleet.EntryVM, incarnation int64) *Membership {
	membership := &Membership{
		VM:           vm,
		Incarnation:  incarnation,
		SeatCount:    DefaultSeats,
		Inventory:    func() (fleet.Inventory, bool) { return fleet.Inventory{}, false },
		Ready:        func() bool { return true },
		FreeSlots:    func() map[fleet.ServiceName]int { return nil },
		Revision:     func() fleet.Revision { return 0 },
		OnRevision:   func(Peer, fleet.Revision) {},
		Interval:     defaultInterval,
		SuspectAfter: defaultSuspectAfter,
		StableFor:    defaultStableFor,
		Logger:       hclog.NewNullLogger(),
		Metrics:      metrics.NewRegistry(),
		seats:        NewSeats(store, vm, incarnation),
		members:      map[fleet.VMID]*member{},
		clients:      map[string]peerv1connect.PeerServiceClient{},
		sending:      map[string]bool{},
	}
	membership.NewClient = NewClientFactory(transport.NewHTTPClient(nil), "http://")
	return membership
}

// NewClientFactory returns a function that creates clients which share an HTTP client. scheme is http:// or https://.
func NewClientFactory(client *http.Client, scheme string) func(address string) peerv1connect.PeerServiceClient {
	return func(address string) peerv1connect.PeerServiceClient {
		return peerv1connect.NewPeerServiceClient(client, scheme+address, transport.Uncompressed())
	}
}

var _ View = (*Membership)(nil)

// Run exchanges heartbeats and maintains the seat until ctx is done or Close is called.
func (membership *Membership) Run(ctx context.Context) error {
	ctx, end := membership.lifecycle.Begin(ctx)
	defer end()
	var group sync.WaitGroup
	defer group.Wait()
	membership.seats.Count = membership.SeatCount
	membership.seats.Inventory = membership.Inventory
	membership.seats.Announced = membership.seatAnnounced
	membership.seats.Logger = membership.Logger
	membership.seats.Metrics = membership.Metrics
	group.Go(func() { _ = membership.seats.Run(ctx) })
	ticker := time.NewTicker(membership.Interval / evaluationsPerInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		membership.evaluate()
		if tick%evaluationsPerInterval == 0 {
			membership.sendAll(ctx, &group)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Close ends Run and waits until it has returned. The seat stays assigned to this process unless Leave was called.
func (membership *Membership) Close() { membership.lifecycle.Close() }

// Leave prepares a planned stop: it makes this process ineligible as the owner of domains and releases its seat.
// Heartbeats, which now report the process as not ready, continue until Run ends.
func (membership *Membership) Leave(ctx context.Context) {
	membership.leaving.Store(true)
	if err := membership.seats.Release(ctx); err != nil {
		membership.Logger.Warn(
			"failed to release the seat; another process can claim it when this VM is no longer listed", "error", err)
	}
}

// Self returns this process with its current state.
func (membership *Membership) Self() Peer {
	seat, _, _ := membership.seats.Own()
	return Peer{
		VM:          membership.VM,
		Incarnation: membership.Incarnation,
		Seat:        seat,
		Ready:       membership.Ready() && !membership.leaving.Load(),
		FreeSlots:   membership.FreeSlots(),
	}
}

// Live returns the live processes other than this process, sorted by VM id.
func (membership *Membership) Live() []Peer {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	now := time.Now()
	var live []Peer
	for _, known := range membership.members {
		if membership.isLive(known, now) {
			live = append(live, known.peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(string(a.VM.ID), string(b.VM.ID)) })
	return live
}

// OwnSeat returns the seat of this process and the time since which the process holds it. It returns false if this
// process has no seat.
func (membership *Membership) OwnSeat() (Seat, time.Time, bool) { return membership.seats.Own() }

// Seats returns the number of seats.
func (membership *Membership) Seats() int { return membership.SeatCount }

// SeatHolder returns the live process that announces a seat as its own. If several processes announce the seat,
// SeatHolder prefers the process in the seat's record in the store.
func (membership *Membership) SeatHolder(seat Seat) (Peer, bool) {
	if own, _, ok := membership.seats.Own(); ok && own == seat {
		return membership.Self(), true
	}
	record := membership.seats.knownSeat(seat).record
	var holder Peer
	found := false
	for _, live := range membership.Live() {
		if live.Seat != seat {
			continue
		}
		recorded := live.VM.ID == record.VM && live.Incarnation == record.Incarnation
		if !found || recorded {
			holder, found = live, true
		}
	}
	return holder, found
}

func (membership *Membership) seatAnnounced(seat Seat) bool {
	return slices.ContainsFunc(membership.Live(), func(live Peer) bool { return live.Seat == seat })
}

// isLive reports whether the last heartbeat of a process is younger than SuspectAfter. The caller holds the lock.
func (membership *Membership) isLive(known *member, now time.Time) bool {
	return now.Sub(known.lastHeartbeat) < membership.SuspectAfter
}

// Dump returns the membership view in a form that can be encoded as JSON.
func (membership *Membership) Dump() any {
	type dumpedPeer struct {
		VM          fleet.VMID     `json:"vm_id"`
		Incarnation int64          `json:"incarnation"`
		Seat        Seat           `json:"seat"`
		Ready       bool           `json:"ready"`
		Revision    fleet.Revision `json:"config_revision"`
		// SinceHeartbeat is the time since the last heartbeat of the peer.
		SinceHeartbeat string `json:"since_heard"`
	}
	dump := struct {
		Seat    Seat                          `json:"seat"`
		Records map[string]seatRecord         `json:"seat_records"`
		Peers   []dumpedPeer                  `json:"peers"`
		Owners  map[fleet.RegionID]fleet.VMID `json:"owners"`
	}{Seat: membership.Self().Seat, Records: membership.seats.records(), Owners: membership.owners()}
	membership.mu.Lock()
	defer membership.mu.Unlock()
	for id, known := range membership.members {
		dump.Peers = append(dump.Peers, dumpedPeer{id, known.peer.Incarnation, known.peer.Seat, known.peer.Ready,
			known.revision, time.Since(known.lastHeartbeat).String()})
	}
	slices.SortFunc(dump.Peers, func(a, b dumpedPeer) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return dump
}
