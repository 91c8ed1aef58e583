package control

import (
	"context"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Share is the percentage of time for which a worker lets a run work. Best-effort runs with a share below 100 are
// throttled.
type Share int

const (
	// fullShare is the share of every run when it starts.
	fullShare Share = 100
	// unknownShare is the share of a run that a former controller started, until this term has set the share, and that
	// of a run after an order without a response.
	unknownShare Share = -1
	// restoredShare is the share that this term first sets for best-effort runs that a former controller started.
	restoredShare Share = 30
	// shareIncrement is added to the share while the response times of all serving runs are well below their targets.
	shareIncrement Share = 10
	// shareCutFactor times the share is the new share after a serving run misses its target. A share below leastShare
	// becomes 0.
	shareCutFactor       = 0.3
	leastShare     Share = 10
	// nearTarget is the fraction of its target from which a response time prevents an increase of the share.
	nearTarget = 0.8
	// shareChangeDelay is the time until a change of the share shows in listings: workers report a value over the last
	// half second, and take a tenth of a second to change a share.
	shareChangeDelay = 650 * time.Millisecond
	// frequentPollWait is how long a worker that is polled at short intervals keeps a poll open.
	frequentPollWait = 250 * time.Millisecond
)

// ThrottleOrder sets the share of the time for which a run may work.
type ThrottleOrder struct {
	Task  workload.TaskID
	Run   progress.RunNumber
	Share Share
	Token Token
}

// throttleState controls the throttling of the best-effort runs on a worker, which protects the targets of the serving
// runs there. It follows the measured response times, because neither the load of a serving run nor the influence of
// runs on each other is known beforehand.
type throttleState struct {
	// share is the share of every best-effort run on the worker.
	share Share
	// changedAt is the time of the last change by the worker's clock.
	changedAt WorkerClock
}

// bestEffort reports whether the run only uses the processor time that other runs leave.
func (run *run) bestEffort() bool { return run.step().BestEffortCPU }

// serves reports whether the run serves users and has a target for its response times.
func (run *run) serves() bool { return run.step().LongRunning && run.step().TailTarget > 0 }

// mixed reports whether the worker has both serving and best-effort runs.
func (worker *worker) mixed() bool {
	serving, bestEffort := false, false
	for _, run := range worker.runs {
		serving = serving || run.serves()
		bestEffort = bestEffort || run.bestEffort()
	}
	return serving && bestEffort
}

// adjust updates the share from worst, the highest ratio of a response time to its target, and reports whether the
// share changed. It cuts the share in large steps and raises it in small ones: a lasting miss violates a target
// promised to users, while a low share only delays best-effort runs.
func (state *throttleState) adjust(at WorkerClock, worst float64) bool {
	next := state.share
	switch {
	case worst > 1:
		if next = Share(shareCutFactor * float64(state.share)); next < leastShare {
			next = 0
		}
	case worst < nearTarget:
		next = min(state.share+shareIncrement, fullShare)
	}
	if next == state.share || time.Duration(at-state.changedAt) < shareChangeDelay {
		return false
	}
	state.share, state.changedAt = next, at
	return true
}

// throttle adjusts the share of a worker's best-effort runs to the response times of its serving runs.
func (loop *dispatcher) throttle(worker *worker, listing Listing) {
	worst, bestEffort, serving := 0.0, false, false
	for _, status := range listing.Running {
		run := worker.runs[status.Task]
		if run == nil || run.number != status.Run {
			continue
		}
		bestEffort = bestEffort || run.bestEffort()
		if run.serves() {
			serving = true
			worst = max(worst, status.tail().Seconds()/run.step().TailTarget.Seconds())
		}
	}
	if !bestEffort || !serving {
		worker.throttle = throttleState{share: fullShare}
	}
	if !bestEffort {
		return
	}
	if serving && worker.throttle.adjust(listing.Clock, worst) {
		loop.Logger.Info("share of best-effort runs changed", "worker", string(worker.entry.ID),
			"share", int(worker.throttle.share), "worst_of_target", worst)
	}
	for _, status := range listing.Running {
		if run := worker.runs[status.Task]; run != nil && run.number == status.Run && run.bestEffort() {
			loop.setShare(run, worker.throttle.share)
		}
	}
}

// tail returns the tail latency of a serving run, which workers report as its load.
func (status RunStatus) tail() time.Duration { return time.Duration(status.Load) * time.Millisecond }

// shareOrders is what is known of the orders that set the share of a run. Listings don't show the share, so a confirmed
// share is sent again as long as an earlier order may still replace it.
type shareOrders struct {
	// pending is set while an order has no known outcome.
	pending bool
	// link sent the last confirmed order, at confirmedAt; nil if no order was confirmed.
	link        *link
	confirmedAt time.Duration
	// lateUntil is the time until which an order without a response may still be carried out; 0 if there is none.
	lateUntil time.Duration
}

const (
	// lateExecution is the time after its timeout within which an order without a response is carried out if at all.
	// Such orders are known to be carried out up to 12 s after they were sent, also after newer ones.
	lateExecution = 12 * time.Second
	// shareRepeatInterval is the interval at which a confirmed share is sent again during lateExecution. A late share
	// is in force for no longer, which is a fraction of the time for which a target may be missed.
	shareRepeatInterval = 750 * time.Millisecond
)

// due reports whether an order has to be sent for the run to have a share. With another link the run may be a new one
// in the next incarnation of its worker, with the share of its start.
func (orders *shareOrders) due(run *run, share Share, now time.Duration) bool {
	if orders.pending || run.stopping {
		return false
	}
	if run.share != share || orders.link != nil && orders.link != run.link {
		return true
	}
	return orders.lateUntil != 0 && now-orders.confirmedAt >= shareRepeatInterval
}

// setShare sends the share of a run if that is due.
func (loop *dispatcher) setShare(run *run, share Share) {
	sent := loop.clock()
	if !run.shareOrders.due(run, share, sent) {
		return
	}
	run.shareOrders.pending = true
	link := run.link
	loop.group.Go(func() error {
		err := link.throttle(run, share)
		loop.post(func(loop *dispatcher) { loop.handleShareOutcome(run, link, share, sent, err) })
		return nil
	})
}

// handleShareOutcome handles the outcome of an order that was sent at the given time. After an order without a response
// the share of the run is not known. A refused order has changed nothing.
func (loop *dispatcher) handleShareOutcome(run *run, link *link, share Share, sent time.Duration, err error) {
	orders := &run.shareOrders
	orders.pending = false
	switch {
	case err == nil:
		run.share, orders.link, orders.confirmedAt = share, link, loop.clock()
		if sent >= orders.lateUntil {
			orders.lateUntil = 0
		}
	case refusalOf(err) == "":
		run.share, orders.lateUntil = unknownShare, loop.clock()+lateExecution
	}
}

// throttle sends the share of a run once. If the call fails, the next listing leads to another order.
func (link *link) throttle(run *run, share Share) error {
	ctx, cancel := context.WithTimeout(link.ctx, orderTimeout)
	defer cancel()
	order := ThrottleOrder{Task: run.task, Run: run.number, Share: share, Token: link.token}
	clock, err := link.loop.Workers.Throttle(ctx, link.entry, order)
	if err == nil {
		link.raiseClock(clock)
	} else {
		_ = lifecycle.Sleep(link.ctx, orderRetry)
	}
	return err
}
