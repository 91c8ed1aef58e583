package control

import (
	"context"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
)

// stopRun stops a run. A run whose start was not sent needs no order: sendStart ends it instead of starting it.
func (loop *dispatcher) stopRun(run *run, cause string) {
	if run.stopping {
		return
	}
	if loop.rehearsal != nil {
		loop.rehearsal.stop(run)
		return
	}
	run.stopping = true
	run.stopOrdered.Store(true)
	loop.Logger.Info("run to stop", "task", run.task.String(), "run", int(run.number), "cause", cause)
	if run.startSent && run.link != nil {
		loop.sendStop(run)
	}
	if worker := run.worker(loop); worker != nil {
		worker.updateLink()
	}
}

// stopTime is how long a worker may list a run after it has confirmed the stop. The platform's workers take up to 0.9 s
// to stop a run.
const stopTime = 1200 * time.Millisecond

// ensureStop sends the stop of a run again that a listing, requested at the given local time, still contains, unless
// the stop is being sent or the worker may need more time for it.
func (loop *dispatcher) ensureStop(run *run, requested time.Duration) {
	if confirmed := run.stopConfirmedAt; confirmed != 0 {
		if requested < confirmed+stopTime {
			return
		}
		run.stopConfirmedAt = 0
		run.stopsWithoutEffect++
		if isPowerOfTwo(run.stopsWithoutEffect) {
			loop.Logger.Warn("run still listed after its stop was confirmed; stopping it again",
				"task", run.task.String(),
				"run", int(run.number), "worker", string(run.link.entry.ID), "stops", run.stopsWithoutEffect,
				"confirmed_ms", (requested - confirmed).Milliseconds())
		}
	}
	loop.sendStop(run)
}

// sendStop sends the stop of a run through the run's present link, to the incarnation of the worker behind it, unless
// this link is sending it already.
func (loop *dispatcher) sendStop(run *run) {
	link := run.link
	if run.stopVia == link {
		return
	}
	run.stopVia = link
	loop.group.Go(func() error {
		link.stop(run)
		return nil
	})
}

// stop sends the stop of a run until the worker confirms it, the run has ended or the link is closed.
func (link *link) stop(run *run) {
	for attempts := 1; !run.ended.Load(); attempts++ {
		probe, err := link.stops.pass(link.ctx)
		if err != nil {
			return
		}
		if run.ended.Load() {
			link.stops.recordNoOutcome(probe)
			return
		}
		err = link.sendStop(run)
		switch {
		case err == nil:
			link.stops.recordConfirmation()
		case refusalOf(err) != "":
			link.stops.recordRefusal(probe)
		default:
			link.stops.recordNoOutcome(probe)
		}
		if link.ctx.Err() != nil {
			return
		}
		link.loop.post(func(loop *dispatcher) { loop.handleStopOutcome(run, link, attempts, err) })
		if err == nil {
			return
		}
		if refusalOf(err) == "" {
			_ = lifecycle.Sleep(link.ctx, orderRetry)
		}
	}
}

func (link *link) sendStop(run *run) error {
	ctx, cancel := context.WithTimeout(link.ctx, orderTimeout)
	defer cancel()
	order := StopOrder{Task: run.task, Run: run.number, Token: link.token}
	clock, err := link.loop.Workers.Stop(ctx, link.entry, order)
	metrics.Count(link.loop.Metrics, metrics.Name("stops", "outcome", orderOutcome(err)))
	if err == nil {
		link.raiseClock(clock)
	}
	return err
}

// handleStopOutcome handles the outcome of one attempt to stop a run. Once the worker has confirmed the stop, it
// refuses a late start of the run, so a listing that is requested from now on and does not contain the run proves that
// the run has ended. A refusal proves nothing: an unanswered start of the run may still be carried out.
func (loop *dispatcher) handleStopOutcome(run *run, link *link, attempts int, err error) {
	loop.logStopOutcome(run, link, attempts, err)
	if run.link != link {
		return
	}
	if link.refusedForLaterTerm(err, link.token) {
		loop.superseded(link.entry.ID, link.token)
		return
	}
	if err != nil {
		return
	}
	run.stopVia, run.stopConfirmedAt = nil, loop.clock()
	if run.listedAfter == 0 {
		run.listedAfter = loop.clock()
	}
	link.notify()
}

// isPowerOfTwo selects the repetitions of an event that are logged.
func isPowerOfTwo(count int) bool { return count&(count-1) == 0 }

// logStopOutcome logs a stop that was confirmed only after several attempts, and attempts without a confirmation: the
// first, second, fourth and so on, which bounds the volume.
func (loop *dispatcher) logStopOutcome(run *run, link *link, attempts int, err error) {
	fields := []any{"task", run.task.String(), "run", int(run.number), "worker", string(link.entry.ID),
		"attempts", attempts}
	switch {
	case err != nil && isPowerOfTwo(attempts):
		loop.Logger.Warn("stop not confirmed", append(fields, "error", err.Error())...)
	case err == nil && attempts > 1:
		loop.Logger.Info("stop confirmed", fields...)
	}
}
