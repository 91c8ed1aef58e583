package target

import (
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// share holds the numbers of slots and connections of one target that belong to one seat.
type share struct {
	slots       int
	connections int
}

// shareOf divides the slots and connections of a target evenly between all seats and returns the share of the seat own.
// ranked holds the seats in their rank order for the target; the first ones get the remainder. Seats without a
// connection get no slots, because they could not use them.
func shareOf(target fleet.Target, ranked []peer.Seat, own peer.Seat) share {
	rank := -1
	for i, seat := range ranked {
		if seat == own {
			rank = i
		}
	}
	if rank < 0 {
		return share{}
	}
	return share{
		slots:       part(target.Slots, min(len(ranked), target.Connections), rank),
		connections: part(target.Connections, len(ranked), rank),
	}
}

// part returns the portion of the owner with the given rank when total is divided evenly between n owners. The owners
// that come first in rank order get the remainder.
func part(total, n, rank int) int {
	if rank >= n {
		return 0
	}
	owned := total / n
	if rank < total%n {
		owned++
	}
	return owned
}
