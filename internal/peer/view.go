// Package peer exchanges heartbeats with the other entry processes and derives from them the membership view and the
// owners of domains. It also assigns seats. A seat is one of a fixed number of numbered positions, recorded in the
// store, each held by at most one entry process.
package peer

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Seat is the number of a seat, counted from 0, or NoSeat.
type Seat int

// NoSeat is the seat of a process that holds none.
const NoSeat Seat = -1

// Peer is the state of one entry process that this process last received.
type Peer struct {
	VM fleet.EntryVM
	// Incarnation increases with every start of the process on its VM.
	Incarnation int64
	Seat        Seat
	// Ready is false while the process is starting or draining.
	Ready     bool
	FreeSlots map[fleet.ServiceName]int
	// Client sends requests to the process. It is nil for this process.
	Client peerv1connect.PeerServiceClient
}

// View is a process's view of the entry processes. It may be out of date, so no invariant may depend on it.
type View interface {
	// Self returns this process.
	Self() Peer
	// Live returns the live processes other than this process.
	Live() []Peer
	// Owner returns the owner of a domain, which may be this process. It returns false if there is none.
	Owner(domain fleet.RegionID) (Peer, bool)
	// OwnSeat returns the seat of this process and the time at which it was claimed. It returns false without a seat.
	OwnSeat() (Seat, time.Time, bool)
	// SeatHolder returns the live process that holds a seat, which may be this process. It returns false if there is
	// none.
	SeatHolder(seat Seat) (Peer, bool)
	// Seats returns the number of seats.
	Seats() int
}
