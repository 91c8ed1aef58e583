// Package peer exchanges heartbeats with the other entry processes and derives from them the membership view and the
// owners of domains. It also assigns seats.
//
// A domain is the scheduling domain of a region, whose jobs are scheduled by one entry process, its owner. A seat is
// one of a fixed number of numbered positions, recorded in the store, each held by at most one entry process. The
// membership view is the set of live processes from this process's point of view, with the state that each reported
// last.
package peer

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Seat is the number of a seat, counted from 0, or NoSeat.
type Seat int

// NoSeat stands for the seat of a process that holds no seat.
const NoSeat Seat = -1

// Peer is one entry process with its state as this process last received it in a heartbeat or a response to one.
type Peer struct {
	VM fleet.EntryVM
	// Incarnation increases with every start of the process on its VM.
	Incarnation int64
	Seat        Seat
	// Ready is false while the process is starting or draining.
	Ready     bool
	FreeSlots map[fleet.ServiceName]int
	// Client sends requests to the process. It is nil in the Peer of this process itself.
	Client peerv1connect.PeerServiceClient
}

// View is the membership view of a process: the live entry processes, the owners of domains and the holders of seats.
// It may be out of date, so no invariant may depend on it.
type View interface {
	// Self returns this process.
	Self() Peer
	// Live returns the live processes other than this process.
	Live() []Peer
	// Owner returns the owner of a domain, which may be this process. It returns false if no owner is known.
	Owner(domain fleet.RegionID) (Peer, bool)
	// OwnSeat returns the seat of this process and the time since which the process holds it. It returns false if this
	// process has no seat.
	OwnSeat() (Seat, time.Time, bool)
	// SeatHolder returns the live process that holds a seat, which may be this process. It returns false if no live
	// process holds the seat.
	SeatHolder(seat Seat) (Peer, bool)
	// Seats returns the number of seats.
	Seats() int
}
