package control

import (
	"context"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Share is the part of the time that a run may work, in percent.
type Share int

const (
	// fullShare is that of every run when it starts.
	fullShare Share = 100
	// unknownShare is that of a run that a former controller started.
	unknownShare Share = -1
	// takenOverShare is what filling runs of a former controller get at first.
	takenOverShare Share = 30
	// shareStep is added while no serving run is near its target.
	shareStep Share = 10
	// shareCut times the share is left once a serving run misses its target, and nothing below leastShare.
	shareCut         = 0.3
	leastShare Share = 10
	// nearTarget is the part of a target from which on the share does not rise.
	nearTarget = 0.8
	// shareLag is how long a change takes to show: workers tell a figure of the last half second, and take a tenth of a
	// second to change a share.
	shareLag = 650 * time.Millisecond
	// sharedWait is how long a worker on which runs share the processors keeps a listing open.
	sharedWait = 250 * time.Millisecond
)

// ThrottleOrder tells a worker which share of the time a run may work.
type ThrottleOrder struct {
	Task  workload.TaskID
	Run   progress.RunNumber
	Share Share
	Token Token
}

// sharing is how the filling runs of a worker are throttled, so that serving runs there keep their targets. Neither
// how much one disturbs another nor the load of a serving run is known beforehand.
type sharing struct {
	// share is what every filling run there may have.
	share Share
	// changed is when it was last changed, by the worker's clock.
	changed WorkerClock
}

// fills reports whether the run takes what others leave.
func (run *run) fills() bool { return run.step().BestEffortCPU }

// serves reports whether the run has users whose response times have a target.
func (run *run) serves() bool { return run.step().LongRunning && run.step().TailTarget > 0 }

// shared reports whether serving and filling runs are on the worker.
func (worker *worker) shared() bool {
	serving, filling := false, false
	for _, run := range worker.runs {
		serving = serving || run.serves()
		filling = filling || run.fills()
	}
	return serving && filling
}

// adjust follows the response times that a worker lists and returns whether its share changed. It cuts at once and
// rises slowly, since a miss that lasts is a broken promise and a share that is too low only costs time.
func (sharing *sharing) adjust(at WorkerClock, worst float64) bool {
	wanted := sharing.share
	switch {
	case worst > 1:
		if wanted = Share(shareCut * float64(sharing.share)); wanted < leastShare {
			wanted = 0
		}
	case worst < nearTarget:
		wanted = min(sharing.share+shareStep, fullShare)
	}
	if wanted == sharing.share || time.Duration(at-sharing.changed) < shareLag {
		return false
	}
	sharing.share, sharing.changed = wanted, at
	return true
}

// throttle gives the filling runs of a worker the share that its serving runs leave them.
func (loop *dispatcher) throttle(worker *worker, listing Listing) {
	worst, filling, serving := 0.0, false, false
	for _, status := range listing.Running {
		run := worker.runs[status.Task]
		if run == nil || run.number != status.Run {
			continue
		}
		filling = filling || run.fills()
		if run.serves() {
			serving = true
			worst = max(worst, status.tail().Seconds()/run.step().TailTarget.Seconds())
		}
	}
	if !filling || !serving {
		worker.sharing = sharing{share: fullShare}
	}
	if !filling {
		return
	}
	if serving && worker.sharing.adjust(listing.Clock, worst) {
		loop.Logger.Info("filling work throttled", "worker", string(worker.entry.ID), "share", int(worker.sharing.share),
			"worst_of_target", worst)
	}
	for _, status := range listing.Running {
		if run := worker.runs[status.Task]; run != nil && run.number == status.Run && run.fills() {
			loop.setShare(run, worker.sharing.share)
		}
	}
}

// tail is the tail of the response times of a serving run, in which unit workers tell its load.
func (status RunStatus) tail() time.Duration { return time.Duration(status.Load) * time.Millisecond }

// setShare sends a run's share unless it has it or an order is on its way.
func (loop *dispatcher) setShare(run *run, share Share) {
	if run.share == share || run.throttling || run.stopping {
		return
	}
	run.throttling = true
	link := run.link
	loop.group.Go(func() error {
		err := link.throttle(run, share)
		loop.post(func(*dispatcher) {
			run.throttling = false
			if err == nil {
				run.share = share
			}
		})
		return nil
	})
}

// throttle sends the share of a run once; the next listing repeats an order that was not answered.
func (link *link) throttle(run *run, share Share) error {
	ctx, cancel := context.WithTimeout(link.ctx, orderTimeout)
	defer cancel()
	order := ThrottleOrder{Task: run.task, Run: run.number, Share: share, Token: link.currentToken()}
	clock, err := link.loop.Workers.Throttle(ctx, link.entry, order)
	if err == nil {
		link.noteClock(clock)
	} else {
		_ = lifecycle.Sleep(link.ctx, stopRetry)
	}
	return err
}
