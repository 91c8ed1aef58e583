package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// tokenStep is the distance between the tokens of two terms. Within a term, each new incarnation of a worker raises the
// worker's token by one.
const tokenStep = 1024

// FirstToken returns the lowest token of a term. Those of earlier terms are lower.
func FirstToken(term keyvalue.Revision) Token { return Token(term) * tokenStep }

// observeWorkers applies changed entries of workers. If complete is set, the changes contain all entries in the store,
// and workers without an entry are marked as not listed.
func (loop *dispatcher) observeWorkers(changes []keyvalue.Change, complete bool, readAt time.Time) {
	listed := map[fleet.WorkerID]bool{}
	for _, change := range changes {
		id := fleet.WorkerID(change.Key[len(loop.WorkerPrefix):])
		listed[id] = true
		if change.Deleted {
			loop.invalidEntries.Remove(change.Key)
			delete(loop.contested, id)
			loop.markUnlisted(id)
			continue
		}
		entry, err := loop.DecodeWorker(change.Item)
		if err != nil {
			loop.invalidEntries.Reject(change.Key, err)
			delete(loop.contested, id)
			loop.markUnlisted(id)
			loop.askForIncarnation(id)
			continue
		}
		loop.invalidEntries.Accept(change.Key)
		entry.Revision, entry.ReadAt = change.Revision, readAt
		loop.observeWorker(entry)
	}
	if complete {
		loop.invalidEntries.RemoveOthers(changes)
		for id := range loop.workers {
			if !listed[id] {
				delete(loop.contested, id)
				loop.markUnlisted(id)
				loop.askForIncarnation(id)
			}
		}
	}
	loop.planNeeded = true
}

// askForIncarnation polls a worker without a valid entry on which runs of a former controller were restored, at the
// address that it had then. If another incarnation responds there, the runs have certainly ended. Otherwise they end
// with the longest lease that a former controller may have granted.
func (loop *dispatcher) askForIncarnation(id fleet.WorkerID) {
	known := loop.workers[id]
	if known == nil || known.link != nil || known.entry.Address == "" {
		return
	}
	entry := known.entry
	entry.ReadAt = time.Now()
	loop.Logger.Info("restored worker has no entry; asking at its former address", "worker", string(id),
		"runs", len(known.runs))
	loop.connectRestored(known, entry)
}

func (loop *dispatcher) markUnlisted(id fleet.WorkerID) {
	if worker := loop.workers[id]; worker != nil && worker.listed {
		worker.listed = false
		loop.Logger.Info("worker no longer listed", "worker", string(id), "runs", len(worker.runs))
	}
}

// observeWorker follows a valid entry. An entry that contradicts what is known of the worker is put off; see
// contradicts.
func (loop *dispatcher) observeWorker(entry WorkerEntry) {
	known := loop.workers[entry.ID]
	wasDraining := known != nil && known.entry.Draining
	if known == nil {
		known = newWorker(entry)
		loop.workers[entry.ID] = known
		loop.connectFirst(known, entry)
	}
	if known.link == nil {
		loop.connectWithoutEntry(known, entry)
	}
	if known.contradicts(entry) {
		loop.contest(known, entry)
		return
	}
	delete(loop.contested, entry.ID)
	if !entry.sameInstance(known.link.entry) {
		loop.replaceLink(known, entry)
	}
	known.entry, known.listed, known.unreported = entry, true, false
	known.evacuated = loop.evacuations.Evacuated(entry.DataCentre)
	loop.recordReport(known)
	switch {
	case entry.Draining && !wasDraining:
		loop.Logger.Info("worker draining", "worker", string(entry.ID), "runs", len(known.runs),
			"remaining_ms", entry.Remaining.Milliseconds())
	case wasDraining && !entry.Draining:
		known.forgetDraining()
	}
	if entry.Draining {
		loop.stopBeforeLeaving(known)
	}
	if loop.capacityKnown(known) {
		known.sendAwaiting()
	}
}

// connectWithoutEntry connects a worker on which runs of a former controller were restored before its entry was read.
// The runs are where the former controller placed them, whatever the entry says.
func (loop *dispatcher) connectWithoutEntry(known *worker, entry WorkerEntry) {
	if known.entry.Address != "" && !entry.sameInstance(known.entry) {
		entry = known.entry
		entry.ReadAt = time.Now()
	}
	loop.connectRestored(known, entry)
}

// sameInstance reports whether two entries name the same incarnation of a worker at the same address.
func (entry WorkerEntry) sameInstance(other WorkerEntry) bool {
	return entry.Incarnation == other.Incarnation && entry.Address == other.Address
}

// contradicts reports whether an entry names another incarnation or address although the known one is not known to have
// failed. Such an entry may be wrong, and the runs of the worker would be lost with the link to it. If the incarnation
// is the same, its runs are where they were, and only the end of their leases shows that they have ended.
func (worker *worker) contradicts(entry WorkerEntry) bool {
	known := worker.link.entry
	switch {
	case entry.sameInstance(known):
		return false
	case !worker.unresponsive:
		return true
	}
	return entry.Incarnation == known.Incarnation && worker.occupied()
}

// contest puts off an entry that contradicts what is known of the worker, and has the worker polled. No task starts
// there until the worker has failed, or it or an entry resolves the contradiction.
func (loop *dispatcher) contest(known *worker, entry WorkerEntry) {
	former, ok := loop.contested[entry.ID]
	if !ok || !entry.sameInstance(former) {
		loop.Logger.Info("worker entry contradicts the known instance; polling it", "worker", string(entry.ID),
			"incarnation", int64(entry.Incarnation), "address", entry.Address,
			"known", int64(known.link.entry.Incarnation), "known_address", known.link.entry.Address)
	}
	loop.contested[entry.ID] = entry
	loop.markUnlisted(entry.ID)
	known.link.check()
}

// resolveContested follows an entry that was put off, once it no longer contradicts what is known of the worker.
func (loop *dispatcher) resolveContested(known *worker) {
	if entry, ok := loop.contested[known.entry.ID]; ok && !known.contradicts(entry) {
		loop.observeWorker(entry)
	}
}

// check makes the link poll its worker even if the worker is idle.
func (link *link) check() {
	link.mu.Lock()
	if !link.duty.occupied {
		link.unresponsive = true
	}
	link.mu.Unlock()
	link.notify()
}

const (
	// drainSlack is how much longer than announced a draining worker is expected to stay.
	drainSlack = time.Second
	// restoredAssessment is how long it takes to know the speed of a run of a former controller: the first listings
	// of a worker are about a second apart. How long the run has worked before is not known.
	restoredAssessment = 3 * time.Second
)

// stopBeforeLeaving stops the runs of a draining worker that are not expected to end before the worker leaves. Their tasks
// resume elsewhere from their checkpoints. Without a checkpoint a task at least starts over sooner than if it ran until
// the worker leaves. It is called at each report of a draining worker and judges each run once, because later the
// little time that remains would make a small error of the estimate stop a run that is almost done.
func (loop *dispatcher) stopBeforeLeaving(draining *worker) {
	for _, run := range draining.runs {
		if run.stopping || run.judgedDraining || !run.assessable(loop.clock()) {
			continue
		}
		run.judgedDraining = true
		remaining := run.remainingTime(loop.clock())
		if run.step().LongRunning || remaining > draining.entry.Remaining+drainSlack {
			loop.stopRun(run, "worker is draining")
			loop.stopGang(run)
		}
	}
}

// assessable reports whether stopBeforeLeaving can tell how long the run still needs. A run of a former controller can be almost
// done, so that its declared run time says nothing until the end of restoredAssessment.
func (run *run) assessable(now time.Duration) bool {
	return !run.restored || run.step().LongRunning || now-run.startedAt >= restoredAssessment
}

// forgetDraining lets stopBeforeLeaving judge all runs again if the worker, which is no longer draining, drains once more.
func (worker *worker) forgetDraining() {
	for _, run := range worker.runs {
		run.judgedDraining = false
	}
}

// formerLink is what the next link to a worker depends on that was removed in this term and is listed again.
type formerLink struct {
	token  Token
	leases formerLeases
}

// connectFirst connects a worker that has no link. A worker that was removed in this term refuses tokens below those that
// it has received.
func (loop *dispatcher) connectFirst(worker *worker, entry WorkerEntry) {
	token, leases := FirstToken(loop.term.Token), loop.firstFormerLeases()
	if former, ok := loop.formerLinks[entry.ID]; ok {
		token, leases = former.token+1, former.leases
	}
	loop.connect(worker, entry, token, leases)
}

// connectRestored connects a worker on which runs of a former controller were restored.
func (loop *dispatcher) connectRestored(known *worker, entry WorkerEntry) {
	loop.connectFirst(known, entry)
	for _, run := range known.runs {
		run.link = known.link
		if run.stopping {
			loop.sendStop(run)
		}
	}
}

// connect replaces the link of a worker, if any. The ends of the same incarnation keep their numbers: those that are
// listed again were processed, and must not be acknowledged before they are stored. Incarnation 0 is not known.
func (loop *dispatcher) connect(worker *worker, entry WorkerEntry, token Token, former formerLeases) {
	worker.entry = entry
	worker.settled, worker.unresponsive = false, false
	if worker.link == nil || entry.Incarnation == 0 || entry.Incarnation != worker.link.entry.Incarnation {
		worker.lastEnd, worker.unstoredEnds, worker.withheldEnds = 0, map[int64]bool{}, nil
	}
	// The clock in an entry may be ahead, and a lease that was granted by it would never count as expired. The first
	// response tells the time before anything depends on it.
	entry.Clock = 0
	worker.link = newLink(loop.ctx, loop, entry, token, former)
	for _, run := range worker.unexpected {
		run.link = worker.link
	}
	worker.updateLink()
}

// minRestartInterval is the shortest time between two replacements of a worker's link because the worker names another
// incarnation. It prevents a busy loop of polls to a worker that names another one each time.
const minRestartInterval = time.Second

// restart is the replacement of a worker's link that waits for minRestartInterval.
type restart struct {
	link  *link
	entry WorkerEntry
}

// beginIncarnation replaces the link to a worker that names another incarnation, or has it replaced later if it was
// replaced just now. Until then the worker is not polled and gets no new tasks.
func (loop *dispatcher) beginIncarnation(worker *worker, entry WorkerEntry) {
	if last, ok := loop.restartedAt[entry.ID]; ok && loop.clock()-last < minRestartInterval {
		loop.restarts[entry.ID] = restart{link: worker.link, entry: entry}
		worker.settled = false
		// Further attempts of its orders would reach the next incarnation.
		worker.link.cancel()
		return
	}
	loop.restartedAt[entry.ID] = loop.clock()
	loop.replaceLink(worker, entry)
}

// restartIfDue replaces the link of a worker if that was put off.
func (loop *dispatcher) restartIfDue(worker *worker) {
	delayed, ok := loop.restarts[worker.entry.ID]
	if !ok || loop.clock()-loop.restartedAt[worker.entry.ID] < minRestartInterval {
		return
	}
	delete(loop.restarts, worker.entry.ID)
	if worker.link == delayed.link {
		loop.beginIncarnation(worker, delayed.entry)
	}
}

// replaceLink replaces the link to a worker that has restarted or whose address has changed. The new link has a
// higher token, so that the worker refuses delayed orders of the old link. A start that the old link sent may still
// have reached the new incarnation. Therefore only the first listing under the new token shows which runs are lost, and
// stops are sent to the new incarnation too. Runs whose start was not sent are ended at once.
func (loop *dispatcher) replaceLink(worker *worker, entry WorkerEntry) {
	token := worker.link.token + 1
	former := worker.link.nextFormerLeases()
	restarted := entry.Incarnation > worker.entry.Incarnation
	if restarted {
		worker.markFailing(loop.clock(), false)
		loop.attributeCrash(worker, workerRestarted)
	}
	loop.Logger.Info("worker restarted", "worker", string(entry.ID), "incarnation", int64(entry.Incarnation),
		"former", int64(worker.entry.Incarnation), "runs", len(worker.runs),
		"former_leases_ms", max(0, former.until-loop.clock()).Milliseconds(),
		"stray_leases_ms", max(0, former.strayUntil-loop.clock()).Milliseconds())
	worker.link.cancel()
	loop.connect(worker, entry, token, former)
	for _, run := range worker.runs {
		if !run.startSent {
			loop.endUnstarted(run, "not started: worker restarted")
			continue
		}
		run.link, run.listedAfter, run.startDeadline = worker.link, loop.clock()-1, 0
		if restarted {
			run.followRestart()
		}
		if run.stopping {
			loop.sendStop(run)
		}
	}
}

// addRestored adds a run of a former controller to the run's worker. If the worker's entry has not been read yet, it
// adds the worker without a link.
func (loop *dispatcher) addRestored(placed *run, at progress.Location) {
	known := loop.workers[at.Worker]
	if known == nil {
		known = newWorker(WorkerEntry{ID: at.Worker, Incarnation: at.Incarnation, Address: at.Address})
		loop.workers[at.Worker] = known
	}
	known.restored.add(at)
	placed.link, placed.share = known.link, unknownShare
	if placed.bestEffort() {
		known.throttle.share = restoredShare
	}
	known.add(placed)
	known.updateLink()
}
