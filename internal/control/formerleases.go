package control

import (
	"time"

	"github.com/pkg/errors"
)

// An incarnation of a worker takes orders that were sent to the former one, until it has received a higher token. Their
// deadlines are on the clock of the former incarnation, and the clock of the present one began anew, so that such a stray
// order grants the longest lease that there is. A later deadline does not shorten it.

// formerLeases bounds the leases on a worker that its present link did not grant.
type formerLeases struct {
	// until is the local time until which such leases may last.
	until time.Duration
	// strayUntil is the local time until which a lease may last that a stray order has granted to an incarnation that has
	// received no token of the link. It is carried over to the next link, for a later incarnation.
	strayUntil time.Duration
	// first is set for the first link to a worker in the term.
	first bool
}

// firstFormerLeases bounds the leases that former controllers have granted, for the first link to a worker in the term.
func (loop *dispatcher) firstFormerLeases() formerLeases {
	until := loop.started + loop.FormerLeaseLimit
	return formerLeases{until: until, strayUntil: until + loop.strayLeaseLimit(), first: true}
}

// longestLease is the time by which the longest lease on a worker has ended, whose clock may be slow.
func (loop *dispatcher) longestLease() time.Duration {
	return localTime(loop.maxLease()) + leaseExpirySlack
}

// maxLease is the longest lease that a worker grants, on its own clock.
func (loop *dispatcher) maxLease() time.Duration { return max(loop.MaxLease, loop.LeaseDuration) }

// strayLeaseLimit is the time after an order was sent by which a lease has ended that it has granted to a later
// incarnation.
func (loop *dispatcher) strayLeaseLimit() time.Duration { return lateExecution + loop.longestLease() }

// localTime returns the local time in which the slowest worker clock advances by a duration.
func localTime(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / minClockRate)
}

// narrow takes into account that the worker has responded to the link at the given time. It refuses lower tokens from
// then on, so that the leases which other links have granted end within the longest lease.
func (former *formerLeases) narrow(now, longestLease time.Duration) {
	former.until = min(former.strayUntil, now+longestLease)
}

// strayOrders counts the orders of a link that grant leases and that a later incarnation may carry out.
type strayOrders struct {
	// inFlight is the number of orders that are being sent.
	inFlight int
	// sentAt is the time at which the last order was sent that this incarnation is not known to have handled. It is valid
	// if any is set.
	sentAt time.Duration
	any    bool
}

// last returns the time at which the last such order was sent, and whether there is one.
func (strays strayOrders) last(now time.Duration) (sent time.Duration, pending bool) {
	if strays.inFlight > 0 {
		return now, true
	}
	return strays.sentAt, strays.any
}

// beginOrder records that an order which grants a lease is being sent.
func (link *link) beginOrder() (sent time.Duration) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.strays.inFlight++
	return link.loop.clock()
}

// endOrder records the outcome of an order that was sent at the given time. handled is set if it can no longer reach a later
// incarnation.
func (link *link) endOrder(sent time.Duration, handled bool) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.strays.inFlight--
	if !handled {
		link.strays.any, link.strays.sentAt = true, max(link.strays.sentAt, sent)
	}
}

// hasResponded reports whether a worker has responded to an order with this error, or nil.
func hasResponded(err error) bool { return err == nil || refusalOf(err) != "" }

// handledPoll reports whether a poll can no longer reach a later incarnation.
func (link *link) handledPoll(listing Listing, err error) bool {
	if err != nil {
		return refusalOf(err) != "" || errors.Is(err, ErrUnreachable)
	}
	return listing.Incarnation == 0 || listing.Incarnation == link.entry.Incarnation
}

// nextFormerLeases returns the bound for the link that replaces this one.
func (link *link) nextFormerLeases() formerLeases {
	link.mu.Lock()
	defer link.mu.Unlock()
	if !link.responded {
		// The link has granted no lease, so that its bound holds for the next link too. Otherwise the runs of a silent
		// worker would never be given up while its entries name one incarnation after the other.
		former := link.former
		former.first = false
		return former
	}
	now := link.loop.clock()
	next := formerLeases{strayUntil: link.former.strayUntil}
	if sent, pending := link.strays.last(now); pending {
		next.strayUntil = max(next.strayUntil, sent+link.loop.strayLeaseLimit())
	}
	// A worker that does not respond is not waited for any longer than for one of a former term.
	next.until = min(max(next.strayUntil, link.leasesEnd()), now+link.loop.FormerLeaseLimit)
	return next
}

// leasesEnd returns the local time by which every lease on this incarnation of the worker has certainly ended. The caller
// holds mu.
func (link *link) leasesEnd() time.Duration {
	if link.grantedUntil == 0 {
		return link.former.until
	}
	remaining := time.Duration(link.grantedUntil-link.clock) + leaseExpirySlack
	return max(link.former.until, link.clockAt+localTime(remaining))
}
