package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// A run starts only on an incarnation that has responded to a link of the term in which the run is placed, so that it refuses
// orders with lower tokens from then on: those of earlier terms, and those for earlier incarnations. The record of the run
// tells by when their leases have ended. A later controller to which the worker does not respond therefore needs to know only
// by when the leases have ended that were granted since that term began. FormerLeasesEnd tells it.

// LeaseEnd returns the time by which a lease of the given duration has certainly ended on a worker whose clock may be slow, if
// the deadline of the order that granted it was computed at the given time.
func LeaseEnd(ordered, lease time.Duration) time.Duration {
	return ordered + localTime(lease) + leaseExpirySlack
}

// priorLeasesOver stands in a record for a time on the worker's clock that had passed when the record was written.
const priorLeasesOver progress.WorkerMilliseconds = 1

func (clock WorkerClock) milliseconds() progress.WorkerMilliseconds {
	return progress.WorkerMilliseconds(time.Duration(clock).Milliseconds())
}

// location returns what is recorded of the worker for a run that is placed there in a term.
func (worker *worker) location(token keyvalue.Revision) progress.Location {
	entry := worker.entry
	at := progress.Location{
		Worker: entry.ID, Incarnation: entry.Incarnation, Address: entry.Address, Term: progress.TermToken(token),
	}
	if worker.link != nil && worker.link.entry.Incarnation == entry.Incarnation {
		at.PriorLeases = worker.link.priorLeasesEnd()
	}
	return at
}

// recordPriorLeases records by when leases of orders with lower tokens have ended, if the listing is the first one that tells
// the time. The caller holds mu.
func (link *link) recordPriorLeases(listing Listing) {
	if link.priorLeases == 0 && listing.Clock > 0 && listing.Incarnation != 0 {
		link.priorLeases = listing.Clock + WorkerClock(link.loop.maxLease())
	}
}

// priorLeasesEnd returns the time on the worker's clock by which leases of orders with lower tokens have ended, or 0 if it is
// not known.
func (link *link) priorLeasesEnd() progress.WorkerMilliseconds {
	link.mu.Lock()
	defer link.mu.Unlock()
	switch {
	case link.priorLeases == 0:
		return 0
	case link.projectedClock(link.loop.clock()) > link.priorLeases:
		return priorLeasesOver
	}
	return link.priorLeases.milliseconds() + 1
}

// restoredLeases is what the records of the runs that former controllers placed on a worker tell of leases there.
type restoredLeases struct {
	// incarnation is that on which the runs were placed, and term the earliest term in which one of them was.
	incarnation progress.Incarnation
	term        progress.TermToken
	// priorUntil is the time on the incarnation's clock by which leases of orders with lower tokens have ended.
	priorUntil progress.WorkerMilliseconds
	// any is set if there is a run. unknown is set if a record does not tell all of this, or if the runs were placed on
	// several incarnations.
	any, unknown bool
}

// add takes the record of one more run into account.
func (restored *restoredLeases) add(at progress.Location) {
	if at.PriorLeases <= 0 || at.Term <= 0 || at.Incarnation == 0 || restored.any && at.Incarnation != restored.incarnation {
		restored.unknown = true
	}
	if !restored.any {
		restored.term = at.Term
	}
	restored.any, restored.incarnation, restored.term = true, at.Incarnation, min(restored.term, at.Term)
	restored.priorUntil = max(restored.priorUntil, at.PriorLeases)
}

// maxEntriesAge is the age of the confirmation of the workers' entries from which on a restart of a worker may be unknown. It
// allows for two watch calls.
const maxEntriesAge = 2 * watchWait

// restoredLeasesExpired reports whether every lease has certainly expired on a worker that has not responded in this term, by
// what is known of the former controllers.
func (loop *dispatcher) restoredLeasesExpired(worker *worker) bool {
	restored, link := worker.restored, worker.link
	if loop.FormerLeasesEnd == nil || !restored.any || restored.unknown || !link.firstUnanswered() {
		return false
	}
	// An entry of another incarnation shows that the worker has restarted. Orders for the former incarnation may have granted
	// the longest lease to the present one. While the store does not respond, such an entry would not be seen.
	if loop.entriesConfirmedAt == 0 || loop.clock()-loop.entriesConfirmedAt > maxEntriesAge {
		return false
	}
	if _, contested := loop.contested[worker.entry.ID]; contested || restored.incarnation != link.entry.Incarnation ||
		restored.incarnation != worker.entry.Incarnation {
		return false
	}
	end, known := loop.FormerLeasesEnd(keyvalue.Revision(restored.term), loop.term.Token)
	return known && loop.clock() >= max(end, loop.priorLeasesEnd(worker))
}

// priorLeasesEnd returns the local time by which leases of orders with lower tokens than those of the restored runs have ended
// on their worker. The worker's clock is at least that in its entry.
func (loop *dispatcher) priorLeasesEnd(worker *worker) time.Duration {
	if worker.restored.priorUntil == priorLeasesOver {
		return loop.started
	}
	remaining := max(0, worker.restored.priorUntil-worker.entry.Clock.milliseconds())
	readAt := loop.clock()
	if !worker.entry.ReadAt.IsZero() {
		readAt -= time.Since(worker.entry.ReadAt)
	}
	return readAt + localTime(time.Duration(remaining)*time.Millisecond) + leaseExpirySlack
}

// firstUnanswered reports whether the link is the first one to its worker in this term and the worker has not responded to it,
// so that the link has granted no lease.
func (link *link) firstUnanswered() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.former.first && !link.responded && link.grantedUntil == 0
}
