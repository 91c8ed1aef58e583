package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// tokenStep leaves room for a worker's later lives between the tokens of two terms.
const tokenStep = 1024

// observeWorkers takes entries of workers.
func (loop *dispatcher) observeWorkers(changes []keyvalue.Change, whole bool, read time.Time) {
	listed := map[fleet.WorkerID]bool{}
	for _, change := range changes {
		id := fleet.WorkerID(change.Key[len(loop.WorkerPrefix):])
		listed[id] = true
		if change.Deleted {
			loop.unlist(id)
			continue
		}
		entry, err := loop.DecodeWorker(change.Item)
		if err != nil {
			loop.Logger.Warn("unreadable worker", "key", change.Key, "error", err.Error())
			loop.unlist(id)
			continue
		}
		entry.Read = read
		loop.observeWorker(entry)
	}
	if whole {
		for id := range loop.workers {
			if !listed[id] {
				loop.unlist(id)
			}
		}
	}
	loop.changed = true
}

func (loop *dispatcher) unlist(id fleet.WorkerID) {
	if worker := loop.workers[id]; worker != nil && worker.present {
		worker.present = false
		loop.Logger.Info("worker no longer listed", "worker", string(id), "runs", len(worker.runs))
	}
}

func (loop *dispatcher) observeWorker(entry WorkerEntry) {
	known := loop.workers[entry.ID]
	switch {
	case known == nil:
		known = newWorker(entry)
		loop.workers[entry.ID] = known
		loop.connect(known, entry, Token(loop.term.Token)*tokenStep, loop.begun+loop.FormerLeaseLimit)
	case known.link == nil:
		// Runs of a former controller are known, but not yet where the worker is.
		loop.meet(known, entry)
	case entry.Incarnation < known.entry.Incarnation:
		return
	case entry.Incarnation > known.entry.Incarnation:
		loop.beginLife(known, entry)
	}
	drains := entry.Draining && !known.entry.Draining
	known.entry, known.present = entry, true
	if drains {
		loop.evacuate(known)
	}
	if known.link != nil && known.entry.Address != known.link.entry.Address {
		loop.beginLife(known, entry)
	}
}

// leaveSlack is how much longer than announced a draining worker is expected to stay.
const leaveSlack = time.Second

// evacuate stops the runs of a draining worker that are not expected to end before it leaves, so that they go on
// elsewhere from their checkpoints, or at least begin again sooner.
func (loop *dispatcher) evacuate(leaving *worker) {
	loop.Logger.Info("worker draining", "worker", string(leaving.entry.ID), "runs", len(leaving.runs),
		"remaining_ms", leaving.entry.Remaining.Milliseconds())
	for _, run := range leaving.runs {
		left := run.left(loop.clock())
		if run.step().LongRunning || left > leaving.entry.Remaining+leaveSlack {
			loop.stopRun(run, "its worker leaves")
			loop.stopGang(run)
		}
	}
}

// meet connects a worker on which runs of a former controller were restored.
func (loop *dispatcher) meet(known *worker, entry WorkerEntry) {
	loop.connect(known, entry, Token(loop.term.Token)*tokenStep, loop.begun+loop.FormerLeaseLimit)
	for _, run := range known.runs {
		run.link = known.link
		if run.stopping {
			loop.sendStop(run)
		}
	}
}

func (loop *dispatcher) connect(worker *worker, entry WorkerEntry, token Token, foreign time.Duration) {
	worker.entry = entry
	worker.settled, worker.silent = false, false
	worker.seen, worker.unsaved = 0, map[int64]bool{}
	worker.link = newLink(loop.ctx, loop, entry, token, foreign)
	worker.updateLink()
}

// beginLife replaces a worker that has started anew. Its token rises, so that orders to the former life that are
// carried out late are refused. A start that was sent may have reached the new life before, so only the first listing
// with the new token tells that the runs of the former life are lost, and a run that is to stop is stopped there too.
func (loop *dispatcher) beginLife(worker *worker, entry WorkerEntry) {
	token := worker.link.currentToken() + 1
	loop.Logger.Info("worker began a new life", "worker", string(entry.ID), "incarnation", int64(entry.Incarnation),
		"former", int64(worker.entry.Incarnation), "runs", len(worker.runs))
	worker.link.cancel()
	loop.connect(worker, entry, token, loop.clock()+loop.FormerLeaseLimit)
	for _, run := range worker.runs {
		if !run.sent {
			loop.endRun(run, progress.RunLost, "", "not started: its worker began a new life")
			continue
		}
		run.link, run.checkFrom = worker.link, loop.clock()-1
		if run.stopping {
			loop.sendStop(run)
		}
	}
}

// occupy notes a run on a worker that may not be listed.
func (loop *dispatcher) occupy(placed *run, at progress.Location) {
	known := loop.workers[at.Worker]
	if known == nil {
		known = newWorker(WorkerEntry{ID: at.Worker, Incarnation: at.Incarnation})
		loop.workers[at.Worker] = known
	}
	placed.link, placed.share = known.link, unknownShare
	if placed.fills() {
		known.sharing.share = takenOverShare
	}
	known.add(placed)
	known.updateLink()
}

// unanswered takes the failure of a listing.
func (loop *dispatcher) unanswered(link *link, token Token, err error) {
	worker := loop.workers[link.entry.ID]
	if worker == nil || worker.link != link {
		return
	}
	switch refusalOf(err) {
	case RefusedToken:
		if !link.stale(err, token) {
			loop.succeeded(link.entry.ID, token)
		}
		return
	case RefusedIncarnation:
		for _, run := range worker.runs {
			loop.endRun(run, progress.RunLost, "", "another life of the worker answers")
		}
	}
	if !worker.silent {
		worker.silent = true
		loop.Logger.Warn("worker does not answer", "worker", string(link.entry.ID), "runs", len(worker.runs),
			"error", err.Error())
	}
}

// succeeded ends the term: a worker has seen the token of a later one.
func (loop *dispatcher) succeeded(id fleet.WorkerID, token Token) {
	loop.Logger.Warn("a later term gives orders", "worker", string(id), "token", int64(token))
	loop.group.Go(func() error { return errSucceeded })
}

// lapse gives up the runs of a worker whose leases have all ended.
func (loop *dispatcher) lapse(worker *worker) {
	for _, run := range worker.runs {
		loop.endRun(run, progress.RunLeaseExpired, "", "the worker's leases have ended")
	}
	loop.changed = true
}

// listed takes a worker's answer to a listing that was asked for at the local time sent.
func (loop *dispatcher) listed(link *link, sent time.Duration, listing Listing) {
	worker := loop.workers[link.entry.ID]
	if worker == nil || worker.link != link {
		return
	}
	if listing.Incarnation != 0 && listing.Incarnation != link.entry.Incarnation {
		entry := worker.entry
		entry.Incarnation, entry.Clock, entry.Read = listing.Incarnation, listing.Clock, time.Now()
		loop.beginLife(worker, entry)
		return
	}
	if worker.silent {
		worker.silent = false
		loop.Logger.Info("worker answers again", "worker", string(link.entry.ID))
	}
	if !worker.settled {
		worker.settled = true
		loop.Logger.Info("worker settled", "worker", string(link.entry.ID), "running", len(listing.Running),
			"ended", len(listing.Ended))
	}
	loop.takeEnds(worker, listing.Ended)
	loop.checkRunning(worker, sent, listing)
	worker.updateLink()
	loop.changed = true
}

func (loop *dispatcher) takeEnds(worker *worker, ends []RunEnd) {
	lapsed := lastLapse(ends)
	for _, end := range ends {
		if end.Number <= worker.seen {
			continue
		}
		worker.seen = end.Number
		run := worker.runs[end.Task]
		if run == nil || run.number != end.Run {
			loop.takeUnknownEnd(worker, end, lapsed)
			continue
		}
		loop.noteEnd(worker, run.job, end.How)
		// The end is kept from being acknowledged first, since endRun tells the link what to acknowledge.
		loop.saveEnd(worker, run.job, end.Number)
		loop.endRun(run, end.How, end.Checkpoint, "listed")
	}
}

// lastLapse returns the highest number of an end by which the worker shows that its lease ended; 0 is none.
func lastLapse(ends []RunEnd) int64 {
	last := int64(0)
	for _, end := range ends {
		if end.How == progress.RunLeaseExpired {
			last = max(last, end.Number)
		}
	}
	return last
}

// takeUnknownEnd takes the end of a run that this term does not know as placed there. A run that was given up and has
// not been replaced counts after all. One that has been replaced must not count any more: an end that counts is then
// acknowledged only if the worker's lease ended after it, which shows that the run was given up rightly.
func (loop *dispatcher) takeUnknownEnd(worker *worker, end RunEnd, lapsed int64) {
	outcome := "ignored"
	job := loop.jobs[end.Task.Job]
	counts := end.How == progress.RunDone || end.How == progress.RunFailed
	switch {
	case job == nil || !counts:
	case job.record.EndAbandoned(job.Job, end.Task, end.Run, end.How, job.terms.MaxAttempts):
		outcome = "counted after all"
		loop.saveEnd(worker, job, end.Number)
	case job.open() && job.record.Superseded(end.Task, end.Run) && lapsed < end.Number:
		outcome = "withheld"
		worker.unsaved[end.Number] = true
	}
	loop.Logger.Info("end of an unknown run", "task", end.Task.String(), "run", int(end.Run),
		"how", string(end.How), "worker", string(worker.entry.ID), "outcome", outcome)
}

// saveEnd keeps an end from being acknowledged until the record that counts it is stored.
func (loop *dispatcher) saveEnd(worker *worker, job *job, number int64) {
	worker.unsaved[number] = true
	unsaved := worker.unsaved
	loop.markDirty(job)
	job.after = append(job.after, func() {
		delete(unsaved, number)
		worker.updateLink()
	})
}

// maxEnds is how many ends one listing holds at the most.
const maxEnds = 500

// checkRunning compares what a worker lists as running with what should run there.
func (loop *dispatcher) checkRunning(worker *worker, sent time.Duration, listing Listing) {
	running := make(map[workload.TaskID]bool, len(listing.Running))
	verdicts := map[*run]verdict{}
	for _, status := range listing.Running {
		running[status.Task] = true
		known := worker.runs[status.Task]
		if known == nil || known.number != status.Run {
			loop.stopStray(worker, status)
			continue
		}
		known.job.record.SetCheckpoint(known.job.Job, known.task, known.number, status.Checkpoint)
		verdicts[known] = known.judge(listing.Clock, status.Percent)
	}
	loop.actOn(worker, verdicts)
	loop.throttle(worker, listing)
	if len(listing.Ended) >= maxEnds {
		return
	}
	for id, run := range worker.runs {
		if run.checkFrom != 0 && sent > run.checkFrom && !running[id] {
			loop.endRun(run, progress.RunLost, "", "the worker does not list it")
		}
	}
}

// stopStray stops a run that should not be there.
func (loop *dispatcher) stopStray(worker *worker, status RunStatus) {
	loop.Logger.Warn("stray run", "task", status.Task.String(), "run", int(status.Run),
		"worker", string(worker.entry.ID))
	stray := &run{task: status.Task, number: status.Run, link: worker.link}
	loop.sendStop(stray)
}

// endRun notes that a run has ended for certain. The room that it took is free.
func (loop *dispatcher) endRun(ended *run, how progress.RunOutcome, checkpoint, cause string) {
	job, id := ended.job, ended.task
	ended.over.Store(true)
	worker := ended.worker(loop)
	if worker != nil && worker.remove(ended) {
		worker.updateLink()
	}
	if !job.record.End(job.Job, id, ended.number, how, checkpoint, job.terms.MaxAttempts) {
		return
	}
	loop.markDirty(job)
	loop.changed = true
	fields := []any{"task", id.String(), "run", int(ended.number), "how", string(how), "cause", cause,
		"ran_ms", (loop.clock() - ended.since).Milliseconds(), "state", string(job.record.State)}
	if worker != nil {
		fields = append(fields, "worker", string(worker.entry.ID))
	}
	loop.Logger.Info("run ended", fields...)
	switch {
	case job.record.State == progress.Failed:
		loop.stopJob(job)
	case how == progress.RunLost || how == progress.RunLeaseExpired:
		loop.stopGang(ended)
	}
}

// worker returns the worker that a run occupies, if it is still known.
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

// stopGang stops the other members of a gang that lost one.
func (loop *dispatcher) stopGang(lost *run) {
	if !lost.step().Gang {
		return
	}
	for _, run := range loop.runsOf(lost.job) {
		if run.task.StepID() == lost.task.StepID() {
			loop.stopRun(run, "gang lost a member")
		}
	}
}

// stopRun makes a run end. A run whose start was not sent ends at once.
func (loop *dispatcher) stopRun(stopped *run, cause string) {
	if stopped.stopping {
		return
	}
	stopped.stopping = true
	loop.Logger.Info("run to stop", "task", stopped.task.String(), "run", int(stopped.number), "cause", cause)
	if stopped.sent && stopped.link != nil {
		loop.sendStop(stopped)
	}
}

// sendStop orders the life of the worker on which the run is now to stop it.
func (loop *dispatcher) sendStop(stopped *run) {
	link := stopped.link
	loop.group.Go(func() error {
		link.stop(stopped)
		return nil
	})
}

// sendStart sends the start of a run whose placement is stored.
func (loop *dispatcher) sendStart(placed *run, order StartOrder) {
	worker := loop.workers[placed.link.entry.ID]
	if worker == nil || worker.runs[placed.task] != placed {
		return
	}
	if placed.stopping || !placed.job.open() || worker.link != placed.link || worker.entry.Draining {
		loop.endRun(placed, progress.RunLost, "", "not started")
		return
	}
	placed.sent, placed.since = true, loop.clock()
	link := placed.link
	loop.group.Go(func() error {
		link.start(placed, order)
		return nil
	})
}

// startAnswered takes the outcome of a start. A refusal proves that the run does not exist only if it answered the
// first try.
func (loop *dispatcher) startAnswered(placed *run, token Token, tries int, err error) {
	worker := loop.workers[placed.link.entry.ID]
	if worker == nil || worker.runs[placed.task] != placed {
		return
	}
	if err == nil {
		placed.checkFrom = loop.clock()
		worker.link.poke()
		return
	}
	refusal := refusalOf(err)
	loop.Logger.Warn("start not confirmed", "task", placed.task.String(), "run", int(placed.number),
		"worker", string(worker.entry.ID), "error", err.Error())
	switch refusal {
	case RefusedUnhealthy:
		worker.health.pause(loop.clock(), unhealthyPause)
	case RefusedTicket:
		loop.advice.forget(placed.task.StepID(), worker.entry.ID)
	case RefusedCapacity, RefusedExpired, RefusedInvalid:
		// Without a pause the same start would be decided, stored and refused again and again.
		worker.health.pause(loop.clock(), refusalPause)
	}
	switch {
	case refusal == RefusedToken && !placed.link.stale(err, token):
		loop.succeeded(worker.entry.ID, token)
	case refusal == "" || refusal == RefusedToken || refusal == RefusedStaleRun || tries > 1:
		// The run may exist or have ended: only a stop and a listing, or the end of the lease, settle it.
		loop.stopRun(placed, "start not confirmed")
	default:
		loop.endRun(placed, progress.RunLost, "", "start refused: "+string(refusal))
	}
}

// stopAnswered takes the outcome of a stop: from now on a listing that lacks the run proves that it is over.
func (loop *dispatcher) stopAnswered(stopped *run, token Token, err error) {
	if refusalOf(err) == RefusedToken && !stopped.link.stale(err, token) {
		loop.succeeded(stopped.link.entry.ID, token)
		return
	}
	if stopped.checkFrom == 0 {
		stopped.checkFrom = loop.clock()
	}
	stopped.link.poke()
}
