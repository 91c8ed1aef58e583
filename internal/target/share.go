package target

import (
	"hash/fnv"
	"sort"
	"strconv"

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

// rankSeats orders the seats for a key by rendezvous hashing.
func rankSeats(key string, seats int) []peer.Seat {
	weights := make([]uint64, seats)
	ranked := make([]peer.Seat, seats)
	for i := range seats {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(key + "/" + strconv.Itoa(i)))
		weights[i] = mix(hash.Sum64())
		ranked[i] = peer.Seat(i)
	}
	sort.Slice(ranked, func(i, j int) bool { return weights[ranked[i]] > weights[ranked[j]] })
	return ranked
}

// mix spreads the hash over all bits; FNV alone leaves the last byte in the low ones.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
