package peer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// score returns the weight of a node for a key in rendezvous hashing. The node with the highest score owns the key. For
// the owner of a domain, the key is the region and the nodes are VMs. For the order of seats, the nodes are the seats.
func score(key, node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(node))
	return mix(hash.Sum64())
}

// mix improves the distribution of an FNV hash, whose high bits hardly depend on the last bytes of the input. It is the
// finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}

// RankSeats returns the given number of seats in their order of preference for a key, by rendezvous hashing.
func RankSeats(key string, seats int) []Seat {
	type scored struct {
		seat  Seat
		score uint64
	}
	ranked := make([]scored, seats)
	for i := range ranked {
		ranked[i] = scored{Seat(i), score(key, strconv.Itoa(i))}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.seat, b.seat))
	})
	order := make([]Seat, seats)
	for i := range ranked {
		order[i] = ranked[i].seat
	}
	return order
}
