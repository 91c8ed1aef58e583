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
	// unknownShare is the share of a run that a former controller started, until this term has set the share.
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

// setShare sends the share of a run, unless the run has it already or another order is pending.
func (loop *dispatcher) setShare(run *run, share Share) {
	if run.share == share || run.throttlePending || run.stopping {
		return
	}
	run.throttlePending = true
	link := run.link
	loop.group.Go(func() error {
		err := link.throttle(run, share)
		loop.post(func(*dispatcher) {
			run.throttlePending = false
			if err == nil {
				run.share = share
			}
		})
		return nil
	})
}

// throttle sends the share of a run once. If the call fails, the next listing leads to another order.
func (link *link) throttle(run *run, share Share) error {
	ctx, cancel := context.WithTimeout(link.ctx, orderTimeout)
	defer cancel()
	order := ThrottleOrder{Task: run.task, Run: run.number, Share: share, Token: link.token}
	clock, err := link.loop.Workers.Throttle(ctx, link.entry, order)
	if err == nil {
		link.recordClock(clock)
	} else {
		_ = lifecycle.Sleep(link.ctx, orderRetry)
	}
	return err
}
