package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// handlePollFailure handles a poll that failed or was refused. If the worker has received the token of a later term, it
// ends the term. Otherwise it marks the worker as unresponsive and, if another incarnation of the worker responded,
// ends the runs there.
func (loop *dispatcher) handlePollFailure(link *link, token Token, err error) {
	worker := loop.workers[link.entry.ID]
	if worker == nil || worker.link != link {
		return
	}
	refusal := refusalOf(err)
	if refusal == RefusedToken {
		loop.superseded(link.entry.ID, token)
		return
	}
	promptly := refusal == "" && !errors.Is(err, context.DeadlineExceeded)
	worker.markFailing(loop.clock(), promptly)
	if refusal == RefusedIncarnation {
		loop.attributeCrash(worker, workerGone)
		for _, run := range worker.runs {
			loop.endRun(run, progress.RunLost, "", "another incarnation of the worker responded")
		}
		loop.forgetAllUnexpected(worker)
	}
	if !worker.unresponsive {
		worker.unresponsive = true
		loop.Logger.Warn("worker does not answer", "worker", string(link.entry.ID), "runs", len(worker.runs),
			"error", err.Error())
	}
}

// superseded ends the term, because a worker has seen the token of a later one.
func (loop *dispatcher) superseded(id fleet.WorkerID, token Token) {
	loop.Logger.Warn("worker has seen the token of a later term", "worker", string(id), "token", int64(token))
	loop.group.Go(func() error { return errSuperseded })
}

// expireRuns ends the runs of a worker on which every lease has expired.
func (loop *dispatcher) expireRuns(worker *worker) {
	loop.attributeCrash(worker, leasesExpired)
	for _, run := range worker.runs {
		loop.endRun(run, progress.RunLeaseExpired, "", "leases on the worker have expired")
	}
	loop.forgetAllUnexpected(worker)
	loop.planNeeded = true
}

// handlePollResponse handles a worker's response to a poll that was sent at the given local time.
func (loop *dispatcher) handlePollResponse(link *link, sent time.Duration, listing Listing) {
	worker := loop.workers[link.entry.ID]
	if worker == nil || worker.link != link {
		return
	}
	if listing.Incarnation != 0 && listing.Incarnation != link.entry.Incarnation {
		entry := worker.entry
		entry.Incarnation, entry.Clock, entry.ReadAt = listing.Incarnation, listing.Clock, time.Now()
		worker.unreported = true
		loop.beginIncarnation(worker, entry)
		return
	}
	worker.lastHeard = loop.clock()
	if worker.unresponsive {
		worker.unresponsive = false
		loop.Logger.Info("worker answers again", "worker", string(link.entry.ID))
	}
	if !worker.settled {
		worker.settled = true
		loop.Logger.Info("worker responded to its first poll", "worker", string(link.entry.ID),
			"running", len(listing.Running), "ended", len(listing.Ended))
	}
	loop.processEnds(worker, listing.Ended)
	loop.checkRunning(worker, sent, listing)
	worker.updateLink()
	loop.planNeeded = true
}

func (loop *dispatcher) processEnds(worker *worker, ends []RunEnd) {
	lastExpiry := lastLeaseExpiry(ends)
	for _, end := range ends {
		if end.Number <= worker.lastEnd {
			continue
		}
		worker.lastEnd = end.Number
		run := worker.runs[end.Task]
		if run == nil || run.number != end.Run {
			loop.processUnknownEnd(worker, end, lastExpiry)
			continue
		}
		if run.firstListed == 0 {
			run.firstListed = loop.clock()
		}
		loop.noteBegun(run.job, run.task, "end listed")
		loop.updateHealth(worker, run, end.How)
		// This comes before endRun, which updates the number that the link acknowledges.
		loop.deferAcknowledgement(worker, run.job, end.Number)
		loop.endRun(run, end.How, end.Checkpoint, "listed")
	}
	loop.releaseWithheld(worker, len(ends))
}

// lastLeaseExpiry returns the highest number among the ends of runs whose leases expired, or 0 if there is none.
func lastLeaseExpiry(ends []RunEnd) int64 {
	lastExpiry := int64(0)
	for _, end := range ends {
		if end.How == progress.RunLeaseExpired {
			lastExpiry = max(lastExpiry, end.Number)
		}
	}
	return lastExpiry
}

// processUnknownEnd handles the end of a run that is not among the worker's placed runs. If the run was abandoned and
// its task has not been placed again, the end counts. If the task has been placed again, the end must not count. In
// that case the end of a done or failed run is acknowledged only if the listing contains a later end by an expired
// lease. That end proves that the leases on the worker expired, so that the run was rightly abandoned.
func (loop *dispatcher) processUnknownEnd(worker *worker, end RunEnd, lastExpiry int64) {
	outcome := "ignored"
	job := loop.jobs[end.Task.Job]
	if job != nil {
		loop.noteBegun(job, end.Task, "end listed")
	}
	counts := end.How == progress.RunDone || end.How == progress.RunFailed
	switch {
	case job == nil || !counts:
	case job.record.EndAbandoned(job.Job, end.Task, end.Run, end.How, job.policy.MaxAttempts):
		outcome = "counted late"
		loop.deferAcknowledgement(worker, job, end.Number)
		loop.planNeeded = true
		if job.record.State == progress.Failed {
			loop.stopJob(job)
		}
	case job.open() && job.record.Superseded(end.Task, end.Run) && lastExpiry < end.Number:
		outcome = "withheld"
		worker.withhold(end.Number)
	}
	loop.Logger.Info("end of an unknown run", "task", end.Task.String(), "run", int(end.Run),
		"how", string(end.How), "worker", string(worker.entry.ID), "outcome", outcome)
}

// deferAcknowledgement delays the acknowledgement of an end until the record that counts it is stored.
func (loop *dispatcher) deferAcknowledgement(worker *worker, job *job, number int64) {
	worker.unstoredEnds[number] = true
	unstoredEnds := worker.unstoredEnds
	loop.markDirty(job)
	job.onStored = append(job.onStored, func() {
		delete(unstoredEnds, number)
		worker.updateLink()
	})
}

// maxListedEnds is the maximum number of ends in one listing. A listing with so many ends may lack further ends, so it
// does not prove that a run which is missing from it is lost.
const maxListedEnds = 500

// fullPercent is the progress of a task that lasts once it is at work.
const fullPercent = 100

// checkRunning handles the runs that a worker lists as running. It stops runs that are not placed there, records
// checkpoints, moves slow runs and adjusts the shares of best-effort runs. It ends the placed runs that the listing
// should contain but lacks.
func (loop *dispatcher) checkRunning(worker *worker, sent time.Duration, listing Listing) {
	running := make(map[workload.TaskID]bool, len(listing.Running))
	verdicts := map[*run]verdict{}
	var listed []*run
	for _, status := range listing.Running {
		running[status.Task] = true
		known := worker.runs[status.Task]
		if known == nil || known.number != status.Run {
			loop.stopUnexpected(worker, status, sent)
			continue
		}
		if known.stopping {
			loop.ensureStop(known, sent)
		}
		known.job.record.SetCheckpoint(known.job.Job, known.task, known.number, status.Checkpoint)
		if known.firstListed == 0 {
			known.firstListed = loop.clock()
			loop.noteBegun(known.job, known.task, "listed")
			loop.noteSeen(known)
		}
		known.working, known.listedAt = status.Percent >= fullPercent, loop.clock()
		loop.clearSuspicion(known, sent)
		verdicts[known] = known.assess(listing.Clock, status.Percent)
		loop.learnFromProgress(known, worker)
		listed = append(listed, known)
	}
	loop.removeUnexpected(worker, listing)
	loop.recordSurvivors(worker, listed, sent)
	loop.handleSlowRuns(worker, verdicts)
	loop.throttle(worker, listing)
	loop.observeInterference(worker, listing)
	if len(listing.Ended) >= maxListedEnds {
		return
	}
	for id, run := range worker.runs {
		if !running[id] && run.mustBeListed(sent, listing.Clock) {
			loop.endRun(run, progress.RunLost, "", "missing from the worker's listing")
		}
	}
}

// mustBeListed reports whether a listing that was requested at the given local time, and made at the given time of the
// worker's clock, proves that the run does not exist if it lacks the run. It does so after the worker has confirmed the
// start or the stop of the run. It also does so after the deadline of the start, because the worker refuses a start
// that it receives later.
func (run *run) mustBeListed(requested time.Duration, made WorkerClock) bool {
	return run.listedAfter != 0 && requested > run.listedAfter || run.startDeadline != 0 && made > run.startDeadline
}

// worker returns the worker that the run was placed on, or nil if it has been removed.
func (run *run) worker(loop *dispatcher) *worker {
	task := run.job.record.Task(run.task)
	if run.link != nil {
		return loop.workers[run.link.entry.ID]
	}
	if task != nil {
		return loop.workers[task.At.Worker]
	}
	return nil
}

// sendStart sends the start of a run whose placement is stored. If the run must not start any more, for example because
// it is to be stopped or its worker has restarted, it ends the run instead.
func (loop *dispatcher) sendStart(placed *run, order StartOrder) {
	worker := loop.workers[placed.link.entry.ID]
	if worker == nil || worker.runs[placed.task] != placed {
		return
	}
	if placed.stopping || !placed.job.open() || worker.link != placed.link || worker.entry.Draining {
		loop.endUnstarted(placed, "not started")
		return
	}
	if cause, ok := loop.blockedByEvacuation(worker); ok {
		loop.endUnstarted(placed, cause)
		return
	}
	// While the replacement of the link waits, a start would reach the next incarnation with a deadline by the clock of the
	// former one, and its lease might not end.
	if _, contested := loop.contested[worker.entry.ID]; contested || !worker.settled {
		loop.endUnstarted(placed, "not started: the incarnation of the worker is uncertain")
		return
	}
	if len(worker.unexpected) > 0 || loop.unexpectedRuns[placed.task] > 0 {
		loop.endUnstarted(placed, "not started: a run that is not placed has not ended")
		return
	}
	if worker.overCapacity() {
		loop.endUnstarted(placed, "not started: the capacity of the worker has shrunk")
		return
	}
	if !loop.capacityKnown(worker) {
		placed.awaitsReport = true
		worker.awaitReport(loop.clock(), func() { loop.sendStart(placed, order) })
		return
	}
	placed.startSent, placed.startedAt = true, loop.clock()
	link := placed.link
	// The deadline is granted before the run can be taken for expired.
	order.Deadline, order.Token = link.deadline(), link.token
	placed.startDeadline = order.Deadline
	loop.group.Go(func() error {
		link.start(placed, order)
		return nil
	})
}

// handleStartOutcome handles the outcome of a start. If no attempt has reached the worker, the run does not exist. A
// refusal proves that it does not exist only if no earlier attempt was left without a response: that attempt may have
// been carried out.
func (loop *dispatcher) handleStartOutcome(placed *run, outcome startOutcome) {
	if outcome.attempts > 0 && outcome.err == nil {
		loop.noteBegun(placed.job, placed.task, "start answered")
	}
	worker := loop.workers[placed.link.entry.ID]
	if worker == nil || worker.runs[placed.task] != placed {
		return
	}
	switch {
	case outcome.attempts == 0:
		loop.endUnstarted(placed, "not started")
	case outcome.err == nil:
		placed.listedAfter = loop.clock()
		placed.unit.confirm(loop.clock())
		placed.confirmStart(outcome, worker.link.token, loop.clock())
		loop.noteSeen(placed)
		worker.link.notify()
	default:
		loop.handleUnconfirmedStart(worker, placed, outcome)
	}
}

// handleUnconfirmedStart ends a run that certainly does not exist on its worker, and stops one that may exist. It keeps new
// tasks off the worker for a time, according to the refusal.
func (loop *dispatcher) handleUnconfirmedStart(worker *worker, placed *run, outcome startOutcome) {
	err, refusal := outcome.err, refusalOf(outcome.err)
	loop.Logger.Warn("start not confirmed", "task", placed.task.String(), "run", int(placed.number),
		"worker", string(worker.entry.ID), "attempts", outcome.attempts, "unanswered", outcome.unanswered,
		"error", err.Error())
	if outcome.unanswered == 0 && refusal == "" {
		// Without the pause the next plan could place the task there again, before a poll has failed too.
		worker.health.Pause(loop.clock(), refusalPause)
		loop.endUnstarted(placed, "not started: the worker could not be reached")
		return
	}
	switch refusal {
	case RefusedUnhealthy:
		worker.health.Pause(loop.clock(), unhealthyPause)
	case RefusedTicket:
		loop.advice.drop(placed.task.StepID(), worker.entry.ID, loop.clock())
	case RefusedCapacity, RefusedExpired, RefusedInvalid:
		// Without the pause the next plan would decide and store the same start, and the worker would refuse it again.
		worker.health.Pause(loop.clock(), refusalPause)
	}
	switch {
	case placed.link.refusedForLaterTerm(err, outcome.token):
		loop.superseded(worker.entry.ID, outcome.token)
	case refusal == "" || refusal == RefusedToken || refusal == RefusedStaleRun || outcome.unanswered > 0:
		// The run may exist or have ended. Only a listing after a stop, or the expiry of the lease, shows which.
		loop.stopRun(placed, "start not confirmed")
	default:
		loop.endUnstarted(placed, "start refused: "+string(refusal))
	}
}
