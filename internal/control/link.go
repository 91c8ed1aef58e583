package control

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// link talks to one life of one worker: it extends leases, lists what runs, and knows when every lease it granted has
// ended for certain.
type link struct {
	loop  *dispatcher
	entry WorkerEntry
	// done ends the link's calls.
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	mu    sync.Mutex
	token Token
	// clock is the least that the worker's clock showed at the local time clockAt.
	clock   WorkerClock
	clockAt time.Duration
	// granted is the latest deadline that was sent.
	granted WorkerClock
	// foreign is until when a former controller's leases may last, in local time.
	foreign time.Duration
	// occupied is set while runs are placed on the worker.
	occupied bool
	// shared is set while serving and filling runs are on the worker.
	shared bool
	// settled is set once the worker has answered to this link's token.
	settled bool
	// silent is set while the worker leaves listings unanswered. Then no lease is extended, since the leases that were
	// granted before must end for certain some time.
	silent bool
	// acknowledged is the number up to which all ends are stored, and sent the one that the worker was told last.
	acknowledged, sent int64
	// listedEnd is the highest number of an end that was listed.
	listedEnd int64
}

func newLink(parent context.Context, owner *dispatcher, entry WorkerEntry, token Token, foreign time.Duration) *link {
	ctx, cancel := context.WithCancel(parent)
	created := &link{
		loop: owner, entry: entry, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), token: token,
		clock: entry.Clock, clockAt: owner.clock() - time.Since(entry.Read), foreign: foreign,
	}
	owner.group.Go(func() error {
		created.run()
		return nil
	})
	return created
}

// slowClock is the rate of the slowest clock of a worker.
const slowClock = 0.98

// deadline returns a lease's end on the worker's clock and remembers it as granted.
func (link *link) deadline() WorkerClock {
	link.mu.Lock()
	defer link.mu.Unlock()
	elapsed := time.Duration(float64(link.loop.clock()-link.clockAt) * slowClock)
	until := link.clock + WorkerClock(elapsed+link.loop.LeaseDuration)
	link.granted = max(link.granted, until)
	return until
}

// lapsed reports whether every lease on this life of the worker has ended for certain.
func (link *link) lapsed() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	now := link.loop.clock()
	if now < link.foreign {
		return false
	}
	if link.granted == 0 {
		return true
	}
	elapsed := time.Duration(float64(now-link.clockAt) * slowClock)
	return link.clock+WorkerClock(elapsed) > link.granted+WorkerClock(lapseSlack)
}

// lapseSlack covers the granularity of a worker's timers.
const lapseSlack = 300 * time.Millisecond

func (link *link) noteClock(clock WorkerClock) {
	link.mu.Lock()
	defer link.mu.Unlock()
	if clock > 0 {
		link.clock, link.clockAt = clock, link.loop.clock()
	}
}

func (link *link) currentToken() Token {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.token
}

// set changes what the link tells the worker and wakes it when there is something new to tell.
func (link *link) set(occupied, shared bool, acknowledged int64) {
	link.mu.Lock()
	news := occupied && !link.occupied || acknowledged > link.acknowledged
	link.occupied, link.shared = occupied, shared
	link.acknowledged = max(link.acknowledged, acknowledged)
	link.mu.Unlock()
	if news {
		link.poke()
	}
}

func (link *link) poke() {
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

const (
	// holdWait is how long a worker may keep a listing open for the next end.
	holdWait = time.Second
	// holdTimeout bounds one listing beyond its wait.
	holdTimeout = 600 * time.Millisecond
	// holdRetry separates listings while the worker does not answer.
	holdRetry = 150 * time.Millisecond
	// repeatPause is the least time between two listings that bring no new end.
	repeatPause = 200 * time.Millisecond
	// idleAcknowledge is how long an idle worker waits for the acknowledgement of its last ends, so that several share
	// a call.
	idleAcknowledge = 300 * time.Millisecond
)

// run extends leases and lists while the worker is occupied, and otherwise only delivers acknowledgements.
func (link *link) run() {
	for link.ctx.Err() == nil {
		if !link.due() {
			link.rest()
			continue
		}
		if link.idle() {
			_ = lifecycle.Sleep(link.ctx, idleAcknowledge)
		}
		link.hold(link.nextOrder())
	}
}

// due reports whether there is something to ask or to tell.
func (link *link) due() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.occupied || !link.settled || link.silent || link.acknowledged > link.sent
}

// idle reports whether only an acknowledgement is to be told.
func (link *link) idle() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.settled && !link.silent && !link.occupied
}

// nextOrder returns what to ask and to tell now.
func (link *link) nextOrder() PollOrder {
	link.mu.Lock()
	order := PollOrder{Token: link.token}
	occupied := link.occupied && !link.silent
	if occupied && link.settled {
		order.Wait = holdWait
		if link.shared {
			order.Wait = sharedWait
		}
	}
	if link.acknowledged > link.sent && !link.silent {
		// What was acknowledged is not repeated: a worker that has begun a new life meanwhile numbers its ends anew and
		// would forget those.
		order.Acknowledged = link.acknowledged
	}
	link.mu.Unlock()
	if occupied && link.loop.term.MayExtendLeases() {
		order.Deadline = link.deadline()
	}
	return order
}

func (link *link) rest() {
	select {
	case <-link.wake:
	case <-link.ctx.Done():
	}
}

func (link *link) hold(order PollOrder) {
	sent := link.loop.clock()
	ctx, cancel := context.WithTimeout(link.ctx, order.Wait+holdTimeout)
	listing, err := link.loop.Workers.Poll(ctx, link.entry, order)
	cancel()
	if link.ctx.Err() != nil {
		return
	}
	link.mu.Lock()
	link.silent = err != nil
	link.mu.Unlock()
	if err != nil {
		link.loop.post(func(loop *dispatcher) { loop.unanswered(link, order.Token, err) })
		_ = lifecycle.Sleep(link.ctx, holdRetry)
		return
	}
	if listing.Incarnation != 0 && listing.Incarnation != link.entry.Incarnation {
		// Nothing more of what this link knows is for the life that answered.
		link.loop.post(func(loop *dispatcher) { loop.listed(link, sent, listing) })
		<-link.ctx.Done()
		return
	}
	link.noteClock(listing.Clock)
	link.mu.Lock()
	news := false
	for _, end := range listing.Ended {
		news = news || end.Number > link.listedEnd
		link.listedEnd = max(link.listedEnd, end.Number)
	}
	if !link.settled {
		// A former controller can extend no lease any more, and granted none beyond the usual time.
		link.settled = true
		link.foreign = min(link.foreign, link.loop.clock()+time.Duration(float64(link.loop.LeaseDuration)/slowClock)+lapseSlack)
	}
	link.sent = max(link.sent, order.Acknowledged)
	link.mu.Unlock()
	link.loop.post(func(loop *dispatcher) { loop.listed(link, sent, listing) })
	if !news && order.Wait > 0 {
		// Ends that cannot be stored yet make the worker answer at once, again and again.
		_ = lifecycle.Sleep(link.ctx, repeatPause-(link.loop.clock()-sent))
	}
}

const (
	// orderTimeout bounds one order to a worker.
	orderTimeout = 500 * time.Millisecond
	// startTimeout bounds the first try of a start; the second may take twice as long, and so on.
	startTimeout = 250 * time.Millisecond
	// startAttempts is how often an unanswered start is sent before the run is given up. Sending it again is safe:
	// the run number makes it idempotent.
	startAttempts = 3
	// stopRetry separates tries to stop a run.
	stopRetry = 250 * time.Millisecond
)

// start sends the start of a run until it is answered.
func (link *link) start(run *run, order StartOrder) {
	var err error
	tries := 0
	for tries < startAttempts {
		tries++
		order.Deadline, order.Token = link.deadline(), link.currentToken()
		ctx, cancel := context.WithTimeout(link.ctx, time.Duration(tries)*startTimeout)
		var clock WorkerClock
		clock, err = link.loop.Workers.Start(ctx, link.entry, order)
		cancel()
		if link.ctx.Err() != nil {
			return
		}
		if err == nil {
			link.noteClock(clock)
		}
		if err == nil || refusalOf(err) != "" && !link.stale(err, order.Token) {
			break
		}
	}
	link.loop.post(func(loop *dispatcher) { loop.startAnswered(run, order.Token, tries, err) })
}

// stale reports whether an order was refused because this link has raised the token meanwhile.
func (link *link) stale(err error, token Token) bool {
	return refusalOf(err) == RefusedToken && token < link.currentToken()
}

// stop sends the stop of a run until it is answered.
func (link *link) stop(run *run) {
	for link.ctx.Err() == nil && !run.over.Load() {
		token := link.currentToken()
		ctx, cancel := context.WithTimeout(link.ctx, orderTimeout)
		clock, err := link.loop.Workers.Stop(ctx, link.entry, StopOrder{Task: run.task, Run: run.number, Token: token})
		cancel()
		if err == nil {
			link.noteClock(clock)
		}
		if err == nil || refusalOf(err) != "" && !link.stale(err, token) {
			link.loop.post(func(loop *dispatcher) { loop.stopAnswered(run, token, err) })
			return
		}
		_ = lifecycle.Sleep(link.ctx, stopRetry)
	}
}
