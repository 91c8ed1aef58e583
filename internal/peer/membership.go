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
	// evaluationsPerInterval is how often the view is judged between two heartbeats.
	evaluationsPerInterval = 5
)

// member is another process with what its last heartbeat said.
type member struct {
	peer     Peer
	revision fleet.Revision
	heardAt  time.Time
}

// Membership is the View of one process: it exchanges heartbeats with the other entry processes and keeps the seat of
// this one. Its exported fields are set before Run.
type Membership struct {
	VM          fleet.EntryVM
	Incarnation int64
	// SeatCount is the number of seats.
	SeatCount int
	// Bootstrap are addresses of processes that the list of VMs may not show yet.
	Bootstrap []string
	// Inventory returns the last reading of the list of VMs; it reports false before the first one.
	Inventory func() (fleet.Inventory, bool)
	// Ready reports whether this process takes work.
	Ready func() bool
	// FreeSlots returns the free slots of this process by service.
	FreeSlots func() map[fleet.ServiceName]int
	// Revision returns the revision of the configuration in force here.
	Revision func() fleet.Revision
	// OnRevision gets the revision of every heartbeat.
	OnRevision func(Peer, fleet.Revision)
	// NewClient returns the client of the process at an address.
	NewClient func(address string) peerv1connect.PeerServiceClient
	// Interval is the time between heartbeats. A process is suspected SuspectAfter its last one. Owners change when
	// the view has not changed for StableFor.
	Interval, SuspectAfter, StableFor time.Duration
	Logger                            hclog.Logger
	Metrics                           metrics.Registry

	seats   *Seats
	life    lifecycle.Lifecycle
	leaving atomic.Bool

	mu      sync.Mutex
	members map[fleet.VMID]*member
	clients map[string]peerv1connect.PeerServiceClient
	// sending holds the addresses with a heartbeat in flight.
	sending map[string]bool
	// evaluated is the time of the last evaluation; a long gap shows that this process was paused.
	evaluated time.Time
	// candidates are the processes that the last evaluation saw live, since changed.
	candidates []candidate
	changed    time.Time
	// stable is the last view that did not change for StableFor; owners are chosen from it.
	stable []candidate
}

// NewMembership returns the membership of a process whose incarnation is higher than that of earlier ones on its VM.
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
	membership.NewClient = NewClients(transport.NewHTTPClient(nil), "http://")
	return membership
}

// NewClients returns a maker of clients that share an HTTP client; scheme is http:// or https://.
func NewClients(client *http.Client, scheme string) func(address string) peerv1connect.PeerServiceClient {
	return func(address string) peerv1connect.PeerServiceClient {
		return peerv1connect.NewPeerServiceClient(client, scheme+address, transport.Uncompressed())
	}
}

var _ View = (*Membership)(nil)

// Run exchanges heartbeats and keeps the seat until ctx ends or Close.
func (membership *Membership) Run(ctx context.Context) error {
	ctx, end := membership.life.Begin(ctx)
	defer end()
	var group sync.WaitGroup
	defer group.Wait()
	membership.seats.Count = membership.SeatCount
	membership.seats.Inventory = membership.Inventory
	membership.seats.Announced = membership.announced
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

// Close ends Run and waits for it. The seat stays with this process unless Leave was called.
func (membership *Membership) Close() { membership.life.Close() }

// Leave hands over ownership and the seat at a planned stop. Heartbeats go on until Run ends.
func (membership *Membership) Leave(ctx context.Context) {
	membership.leaving.Store(true)
	if err := membership.seats.Release(ctx); err != nil {
		membership.Logger.Warn("seat is not released; it changes hands when this VM is gone from the list", "error", err)
	}
}

// Self returns this process.
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

// Live returns the live processes other than this one, in the order of their ids.
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

// OwnSeat returns the seat of this process and when it took it. It reports false without one.
func (membership *Membership) OwnSeat() (Seat, time.Time, bool) { return membership.seats.Own() }

// Seats returns the number of seats.
func (membership *Membership) Seats() int { return membership.SeatCount }

// SeatHolder returns the live process that says it holds a seat. If several do, the record in the store decides.
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

func (membership *Membership) announced(seat Seat) bool {
	return slices.ContainsFunc(membership.Live(), func(live Peer) bool { return live.Seat == seat })
}

// isLive reports whether a process was heard lately; it is called with the lock.
func (membership *Membership) isLive(known *member, now time.Time) bool {
	return now.Sub(known.heardAt) < membership.SuspectAfter
}

// Dump returns the view for a dump of the state of this process.
func (membership *Membership) Dump() any {
	type dumpedPeer struct {
		VM          fleet.VMID     `json:"vm_id"`
		Incarnation int64          `json:"incarnation"`
		Seat        Seat           `json:"seat"`
		Ready       bool           `json:"ready"`
		Revision    fleet.Revision `json:"config_revision"`
		SinceHeard  string         `json:"since_heard"`
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
			known.revision, time.Since(known.heardAt).String()})
	}
	slices.SortFunc(dump.Peers, func(a, b dumpedPeer) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return dump
}
