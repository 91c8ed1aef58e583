package target

import (
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// share is what one seat owns of a target.
type share struct {
	slots       int
	connections int
}

// shareOf divides the slots and connections of a target between the seats in rank order. Seats without a
// connection get no slots, since they could not use them.
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

// part returns the part of one of n owners when total is dealt out in rank order.
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
