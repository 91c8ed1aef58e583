package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// link sends orders to one incarnation of a worker. It extends the leases of the worker's runs, polls for running and
// ended runs, and determines when every lease on the worker has certainly expired.
type link struct {
	loop  *dispatcher
	entry WorkerEntry
	token Token
	// ctx ends with the link and cancels its calls.
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	// stops limits the stops to the worker while it refuses them.
	stops *stopGate
	// idleRetry is the latest pause of nextPollRetry; 0 after a response. Only the goroutine of run uses it.
	idleRetry time.Duration

	mu sync.Mutex
	// clock is a lower bound of the worker's clock at the local time clockAt.
	clock   WorkerClock
	clockAt time.Duration
	// grantedUntil is the latest lease deadline that was sent.
	grantedUntil WorkerClock
	// former bounds the leases that this link did not grant, such as those of a former controller. strays are its own
	// orders that may reach a later incarnation.
	former formerLeases
	strays strayOrders
	// priorLeases is the time on the worker's clock by which the leases have ended that orders with lower tokens have
	// granted; 0 if it is not known. The worker refuses such orders once it has responded.
	priorLeases WorkerClock
	duty        linkDuty
	// responded is set once the worker has responded to a poll with this link's token. lastResponse is the time of the
	// last response to a poll.
	responded    bool
	lastResponse time.Duration
	// unresponsive is set while polls fail. Meanwhile no lease is extended, so that all granted leases expire.
	unresponsive bool
	// acknowledged is the number up to which the worker may discard the ends of runs. acknowledgedSent is the highest
	// acknowledged number that the worker has received.
	acknowledged, acknowledgedSent int64
	// lastListedEnd is the highest number of an end in the listings received so far.
	lastListedEnd int64
}

// linkDuty is what the runs of a worker require of its link.
type linkDuty struct {
	// occupied is set while the worker has runs. The link polls it then.
	occupied bool
	// extendLeases is set while one of the runs is not to be stopped. Otherwise the leases end the runs whose stops
	// fail.
	extendLeases bool
	// frequent is set while the worker is polled at short intervals, because it has both serving runs, which have a
	// target for their response times, and best-effort runs, or because it has a run that may crash it.
	frequent bool
}

func newLink(
	parent context.Context, loop *dispatcher, entry WorkerEntry, token Token, former formerLeases,
) *link {
	ctx, cancel := context.WithCancel(parent)
	created := &link{
		loop: loop, entry: entry, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), token: token,
		clock: entry.Clock, clockAt: loop.clock() - time.Since(entry.ReadAt), former: former,
		stops: newStopGate(),
	}
	loop.group.Go(func() error {
		created.run()
		return nil
	})
	return created
}

// clockReadingError is the largest difference between a worker's clock and a reading of it: workers give whole
// milliseconds.
const clockReadingError = WorkerClock(time.Millisecond)

// minClockRate is the rate of the slowest worker clock relative to the local clock.
const minClockRate = 0.98

// deadline returns the lease deadline for an order, on the worker's clock, and records it as granted.
func (link *link) deadline() WorkerClock {
	link.mu.Lock()
	defer link.mu.Unlock()
	until := link.projectedClock(link.loop.clock()) + WorkerClock(link.loop.LeaseDuration)
	link.grantedUntil = max(link.grantedUntil, until)
	return until
}

// leasesExpired reports whether every lease on this incarnation of the worker has certainly expired.
func (link *link) leasesExpired() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.loop.clock() >= link.leasesEnd()
}

// leaseExpirySlack is the time after its deadline at which a lease counts as expired. It covers the granularity of the
// worker's timers.
const leaseExpirySlack = 300 * time.Millisecond

// recordClock sets the lower bound of the worker's clock to the time in the response to a poll.
func (link *link) recordClock(clock WorkerClock) {
	link.mu.Lock()
	defer link.mu.Unlock()
	if clock > 0 {
		link.clock, link.clockAt = clock, link.loop.clock()
	}
}

// raiseClock raises the lower bound of the worker's clock to the time in the response to another order. Such a response
// does not tell the incarnation. A lower time may be that of a later one under the same id, whose clock started anew.
func (link *link) raiseClock(clock WorkerClock) {
	link.mu.Lock()
	defer link.mu.Unlock()
	if now := link.loop.clock(); clock > link.projectedClock(now) {
		link.clock, link.clockAt = clock, now
	}
}

// currentClock returns the lower bound of the worker's clock at present.
func (link *link) currentClock() WorkerClock {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.projectedClock(link.loop.clock())
}

// projectedClock returns the lower bound of the worker's clock at a local time. The caller holds mu.
func (link *link) projectedClock(now time.Duration) WorkerClock {
	return link.clock + WorkerClock(float64(now-link.clockAt)*minClockRate)
}

// update sets the fields of the link that determine when it polls and with which order, and wakes the link if the
// change requires a poll.
func (link *link) update(duty linkDuty, acknowledged int64) {
	link.mu.Lock()
	changed := duty.occupied && !link.duty.occupied || acknowledged > link.acknowledged
	link.duty = duty
	link.acknowledged = max(link.acknowledged, acknowledged)
	link.mu.Unlock()
	if changed {
		link.notify()
	}
}

func (link *link) notify() {
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

const (
	// pollWait is how long a worker may keep a poll open until the next end.
	pollWait = time.Second
	// pollTimeout is added to the wait of a poll to get its timeout.
	pollTimeout = 600 * time.Millisecond
	// pollRetry is the pause between polls while the worker is unresponsive. For a worker without runs it doubles with
	// each failure up to maxIdlePollRetry: an entry may name a worker that does not exist, for as long as the entry
	// does.
	pollRetry        = 150 * time.Millisecond
	maxIdlePollRetry = time.Second
	// minPollInterval is the minimum interval between polls whose listings contain no new end.
	minPollInterval = 200 * time.Millisecond
	// idleAcknowledgeDelay is the delay before the last ends of an idle worker are acknowledged, so that one call
	// covers several ends.
	idleAcknowledgeDelay = 300 * time.Millisecond
	// acknowledgeWithin is the time after a response of the worker in which ends may be acknowledged to it. It allows for
	// idleAcknowledgeDelay and the wait of a poll.
	acknowledgeWithin = pollWait
)

// run polls the worker while it is occupied, which also extends its leases. For an idle worker it only sends
// acknowledgements.
func (link *link) run() {
	for link.ctx.Err() == nil {
		if !link.hasWork() {
			link.awaitWork()
			continue
		}
		if link.onlyAcknowledges() {
			_ = lifecycle.Sleep(link.ctx, idleAcknowledgeDelay)
		}
		link.poll(link.nextOrder())
	}
}

// hasWork reports whether a poll is due.
func (link *link) hasWork() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.duty.occupied || !link.responded || link.unresponsive || link.acknowledged > link.acknowledgedSent
}

// onlyAcknowledges reports whether the next poll only has to deliver an acknowledgement.
func (link *link) onlyAcknowledges() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.responded && !link.unresponsive && !link.duty.occupied
}

// nextOrder returns the order for the next poll.
func (link *link) nextOrder() PollOrder {
	link.mu.Lock()
	order := PollOrder{Token: link.token}
	// The worker's clock is not known before the first response, see connect, so that a deadline would be long past.
	extendLeases := link.duty.extendLeases && !link.unresponsive && link.responded
	if link.duty.occupied && !link.unresponsive && link.responded {
		order.Wait = pollWait
		if link.duty.frequent {
			order.Wait = frequentPollWait
		}
	}
	if link.mayAcknowledge() {
		order.Acknowledged = link.acknowledged
	}
	link.mu.Unlock()
	if extendLeases && link.loop.term.MayExtendLeases() {
		order.Deadline = link.deadline()
	}
	return order
}

// mayAcknowledge reports whether the next poll acknowledges ends. A worker that has restarted numbers its ends from the
// start, and would drop new ends because of an acknowledgement for its former incarnation. Therefore none is repeated, and
// a worker that has not responded lately is polled without one first. The caller holds mu.
func (link *link) mayAcknowledge() bool {
	return link.acknowledged > link.acknowledgedSent && !link.unresponsive &&
		link.loop.clock()-link.lastResponse <= acknowledgeWithin
}

func (link *link) awaitWork() {
	select {
	case <-link.wake:
	case <-link.ctx.Done():
	}
}

// nextPollRetry returns the pause after a poll that failed.
func (link *link) nextPollRetry() time.Duration {
	link.mu.Lock()
	occupied := link.duty.occupied
	link.mu.Unlock()
	if occupied {
		return pollRetry
	}
	link.idleRetry = min(max(2*link.idleRetry, pollRetry), maxIdlePollRetry)
	return link.idleRetry
}

func (link *link) poll(order PollOrder) {
	sent := link.loop.clock()
	ctx, cancel := context.WithTimeout(link.ctx, order.Wait+pollTimeout)
	listing, err := link.sendPoll(ctx, order)
	cancel()
	if link.ctx.Err() != nil {
		return
	}
	link.mu.Lock()
	link.unresponsive = err != nil
	link.mu.Unlock()
	if err != nil {
		link.loop.post(func(loop *dispatcher) { loop.handlePollFailure(link, order.Token, err) })
		_ = lifecycle.Sleep(link.ctx, link.nextPollRetry())
		return
	}
	link.idleRetry = 0
	if listing.Incarnation != 0 && listing.Incarnation != link.entry.Incarnation {
		// Another incarnation responded, so this link is no longer used. The dispatcher replaces and cancels it.
		link.loop.post(func(loop *dispatcher) { loop.handlePollResponse(link, sent, listing) })
		<-link.ctx.Done()
		return
	}
	link.recordClock(listing.Clock)
	link.mu.Lock()
	newEnd := false
	for _, end := range listing.Ended {
		newEnd = newEnd || end.Number > link.lastListedEnd
		link.lastListedEnd = max(link.lastListedEnd, end.Number)
	}
	if !link.responded {
		link.responded = true
		link.former.narrow(link.loop.clock(), link.loop.longestLease())
	}
	link.recordPriorLeases(listing)
	link.lastResponse = link.loop.clock()
	link.acknowledgedSent = max(link.acknowledgedSent, order.Acknowledged)
	link.mu.Unlock()
	link.loop.post(func(loop *dispatcher) { loop.handlePollResponse(link, sent, listing) })
	if !newEnd && order.Wait > 0 {
		// The worker responds without waiting while it lists ends that must not be acknowledged yet. This pause
		// prevents a busy loop.
		_ = lifecycle.Sleep(link.ctx, minPollInterval-(link.loop.clock()-sent))
	}
}

// sendPoll sends a poll, and records its outcome if it grants a lease.
func (link *link) sendPoll(ctx context.Context, order PollOrder) (Listing, error) {
	if order.Deadline == 0 {
		return link.loop.Workers.Poll(ctx, link.entry, order)
	}
	sent := link.beginOrder()
	listing, err := link.loop.Workers.Poll(ctx, link.entry, order)
	link.endOrder(sent, link.handledPoll(listing, err))
	return listing, err
}

const (
	// orderTimeout is the timeout of one call that orders a worker to stop or throttle a run.
	orderTimeout = 500 * time.Millisecond
	// startTimeout is the timeout of the first attempt of a start. The n-th attempt may take n times as long.
	startTimeout = 250 * time.Millisecond
	// maxStartAttempts is the number of attempts after which a start without a response is abandoned. A retry is safe,
	// because the run number makes a start idempotent.
	maxStartAttempts = 3
	// orderRetry is the pause after a stop or throttle without an answer.
	orderRetry = 250 * time.Millisecond
)

// startOutcome is the outcome of a start.
type startOutcome struct {
	token Token
	// attempts is the number of attempts, and unanswered that of those that the worker may have received without a
	// response.
	attempts, unanswered int
	// otherIncarnation is set if the response is that of a later incarnation than the one that the link is for.
	otherIncarnation bool
	// err is the error of the last attempt.
	err error
}

// start sends the start of a run until the worker responds, the run has ended or is to be stopped, or maxStartAttempts
// is reached.
func (link *link) start(run *run, order StartOrder) {
	outcome := startOutcome{token: order.Token}
	for outcome.attempts < maxStartAttempts && !run.ended.Load() && !run.stopOrdered.Load() {
		outcome.attempts++
		earliest := link.currentClock()
		sent := link.beginOrder()
		ctx, cancel := context.WithTimeout(link.ctx, time.Duration(outcome.attempts)*startTimeout)
		var clock WorkerClock
		clock, outcome.err = link.loop.Workers.Start(ctx, link.entry, order)
		cancel()
		responded, unreachable := hasResponded(outcome.err), errors.Is(outcome.err, ErrUnreachable)
		// The clock of a later incarnation started anew. A response without a time shows nothing.
		outcome.otherIncarnation = responded && clock > 0 && clock+clockReadingError < earliest
		link.endOrder(sent, unreachable || responded && !outcome.otherIncarnation)
		if link.ctx.Err() != nil {
			return
		}
		if outcome.err == nil {
			link.raiseClock(clock)
		}
		if responded {
			break
		}
		if !unreachable {
			outcome.unanswered++
		}
	}
	link.loop.post(func(loop *dispatcher) { loop.handleStartOutcome(run, outcome) })
}

// refusedForLaterTerm reports whether the worker refused an order of this link because it has seen the token of a later
// term. An order with another token was sent by the link that this one has replaced, for a former incarnation.
func (link *link) refusedForLaterTerm(err error, token Token) bool {
	return refusalOf(err) == RefusedToken && token == link.token
}
