// Package peer speaks to the other entry processes: heartbeats, membership, domain owners and seats.
package peer

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Seat numbers the seats from 0. NoSeat stands for none.
type Seat int

// NoSeat is the seat of a process that holds none.
const NoSeat Seat = -1

// Peer is one entry process as this process sees it.
type Peer struct {
	VM fleet.EntryVM
	// Incarnation grows with every start of the process on this VM.
	Incarnation int64
	Seat        Seat
	// Ready is false while the process starts or drains.
	Ready     bool
	FreeSlots map[fleet.ServiceName]int
	// Client speaks to the process; nil for this process itself.
	Client peerv1connect.PeerServiceClient
}

// View is what a process knows of the entry processes. It may be out of date, and no invariant rests on it.
type View interface {
	// Self returns this process.
	Self() Peer
	// Live returns the live processes other than this one.
	Live() []Peer
	// Owner returns the owner of a domain; it may be this process. It reports false when there is none.
	Owner(domain fleet.RegionID) (Peer, bool)
	// OwnSeat returns the seat of this process and when it took it. It reports false without one.
	OwnSeat() (Seat, time.Time, bool)
	// SeatHolder returns the live process that holds a seat; it may be this process.
	SeatHolder(seat Seat) (Peer, bool)
	// Seats returns the number of seats.
	Seats() int
}
