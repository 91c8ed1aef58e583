package target

import (
	"net/url"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// A target that refuses is full or stops soon; it is passed over for a moment.
	refusalBackoff = 50 * time.Millisecond
)

// backend is one target as this process uses it. The group's lock protects it.
type backend struct {
	target fleet.Target
	// share is what the own seat owns; zero while the seat may not be used yet.
	share share
	// used counts the slots in use, with those whose run may not have ended. It exceeds share.slots only after
	// the share shrank.
	used int
	pool *pool
	to   *url.URL
	// distance orders targets by data centre; 0 is nearest.
	distance int
	// leaving is set by the platform's list or by the target itself.
	leaving bool
	// listed is false when the platform's list no longer has the target.
	listed bool
	// pausedUntil is the time before which nothing is sent.
	pausedUntil time.Time
	failures    int
}

func (backend *backend) free(now time.Time) int {
	if backend.leaving || !backend.listed || now.Before(backend.pausedUntil) {
		return 0
	}
	return max(backend.share.slots-backend.used, 0)
}

// pause keeps new requests away after a failed connection, longer each time.
func (backend *backend) pause(now time.Time, random *random) {
	wait := min(firstBackoff<<min(backend.failures, 4), maxBackoff)
	backend.failures++
	backend.pausedUntil = now.Add(random.jitter(wait))
}

// state describes the backend in one word for the dump.
func (backend *backend) state(now time.Time) string {
	switch {
	case !backend.listed:
		return "gone"
	case backend.leaving:
		return "leaving"
	case now.Before(backend.pausedUntil):
		return "paused"
	case backend.share.slots == 0:
		return "not owned"
	}
	return "in use"
}
