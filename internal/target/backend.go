package target

import (
	"net/url"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// A target that refuses a request is full or about to stop. It gets no requests for refusalBackoff.
	refusalBackoff = 50 * time.Millisecond
)

// backend is the state that this process holds for one target. The mutex mu of the group that holds the backend
// protects the fields.
type backend struct {
	target fleet.Target
	// share holds the slots and connections of the target that belong to the seat of this process. It is zero while the
	// process has no seat. It is also zero for the longest request time after the process claimed its seat, because
	// requests of the previous holder may still run.
	share share
	// used counts the slots in use, including those whose run may not have ended. It exceeds share.slots only after the
	// share has shrunk.
	used int
	pool *pool
	// runURL is the URL to which requests are sent.
	runURL *url.URL
	// distance is the distance of the target's data centre from this process; 0 is the nearest.
	distance int
	// leaving is set when the platform's list or the target itself announces that the target will leave the fleet.
	leaving bool
	// listed is false when the platform's list no longer contains the target.
	listed bool
	// pausedUntil is the time until which the target gets no new requests.
	pausedUntil time.Time
	// failures counts the consecutive failures to open a connection; pause calculates the backoff from the count. An
	// attempt on an open connection resets the count to 0, unless the target refuses the request or announces that it
	// will leave.
	failures int
}

// freeSlots returns the number of slots that new requests may use.
func (backend *backend) freeSlots(now time.Time) int {
	if backend.leaving || !backend.listed || now.Before(backend.pausedUntil) {
		return 0
	}
	return max(backend.share.slots-backend.used, 0)
}

// pause stops new requests to a target after a failure to open a connection. The backoff doubles with each consecutive
// failure, up to maxBackoff, and has jitter.
func (backend *backend) pause(now time.Time, random *random) {
	wait := min(firstBackoff<<min(backend.failures, 4), maxBackoff)
	backend.failures++
	backend.pausedUntil = now.Add(random.jitter(wait))
}

// state returns the state of the backend for the dump.
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
