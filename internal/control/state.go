package control

import (
	"iter"
	"sync/atomic"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/taskspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workerhealth"
	"github.com/quetzalstall/quetzalstall/pkg/workerspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// job is an accepted job with its progress.
type job struct {
	workload.Job
	// criticalPath is the result of CriticalPath, which takes long for a job of many steps.
	criticalPath   time.Duration
	footprint      progress.Footprint
	policy         workload.JobPolicy
	status         ledger.StatusEntry
	record         *progress.Record
	recordRevision keyvalue.Revision
	// writing is set while a version of the record is being stored.
	writing bool
	// refusal is what the store's refusals of the record have brought about.
	refusal refusal
	// removing is set while the job's documents are being deleted.
	removing bool
	// onStored are called once the present version of the record is stored.
	onStored []func()
	// runs are the runs of the job that are placed on workers. They may include members of a gang whose tasks the
	// record counts as done, because another member was done.
	runs map[*run]bool
	// failedOn are the workers on which runs of the job failed in this term.
	failedOn map[fleet.WorkerID]bool
	// soundOn are the workers on which runs of the job have survived or were done in this term.
	soundOn map[fleet.WorkerID]bool
	// bestSpeeds is the highest speed observed of any run of each kind.
	bestSpeeds map[runKind]taskspeed.Speed
	// suspectedSince has, for the first task of each unit under which a worker crashed in this term, the time of the
	// latest crash.
	suspectedSince map[workload.TaskID]time.Duration
	// lastEnded has, for each task that lasts, the time at which its last run ended in this term.
	lastEnded map[workload.TaskID]time.Duration
	// doneSince has, for each occurrence in the record that is done, the time at which that was first seen in this term.
	doneSince map[int]time.Duration
	// nextGroup is where the next plan begins to consider the job's groups; see waitingGroupsOf.
	nextGroup stepPosition
	// independent caches the result of independentSteps; nil before the first call.
	independent []int
	// moves counts how often each task was moved off a slow worker in this term.
	moves map[workload.TaskID]int
}

// open reports whether tasks of the job may still start.
func (job *job) open() bool {
	return !job.status.State.Terminal() && !job.record.State.Terminal()
}

// placed yields the tasks of the job that are placed on workers.
func (job *job) placed() iter.Seq2[workload.TaskID, progress.Task] {
	return func(yield func(workload.TaskID, progress.Task) bool) {
		for _, occurrence := range job.record.Occurrences {
			for s, step := range occurrence.Steps {
				for i, task := range step.Tasks {
					id := workload.TaskID{Job: job.ID, Occurrence: occurrence.Number, Step: s, Index: i}
					if task.Phase == progress.Placed && !yield(id, task) {
						return
					}
				}
			}
		}
	}
}

// deadline returns the time by which the job should be completed under its policy, computed from the declared run
// times.
func (job *job) deadline() time.Time {
	return job.Accepted.Add(job.policy.Objective(job.criticalPath))
}

// remainingPaths returns, for each step, the declared run time of the critical path through the steps that are not done,
// from that step on. Steps depend on earlier ones only.
func (job *job) remainingPaths(occurrence int) []time.Duration {
	remaining := make([]time.Duration, len(job.Steps))
	// longest is the longest path from each step over those that depend on it, without the step itself.
	longest := make([]time.Duration, len(job.Steps))
	for i := len(job.Steps) - 1; i >= 0; i-- {
		path := longest[i]
		if !job.record.StepDone(occurrence, i) {
			path += job.Steps[i].Estimate
		}
		for _, earlier := range job.Steps[i].After {
			longest[earlier] = max(longest[earlier], path)
		}
		remaining[i] = max(path, 0)
		if i+1 < len(job.Steps) {
			remaining[i] = max(remaining[i], remaining[i+1])
		}
	}
	return remaining
}

// run is a placed run of a task. It occupies capacity on a worker until it has certainly ended.
type run struct {
	task      workload.TaskID
	number    progress.RunNumber
	job       *job
	link      *link
	need      workload.Resources
	startedAt time.Duration
	// startSent is set before the start is sent. While it is not set, the run cannot exist on a worker.
	startSent bool
	// ended is set once the run has certainly ended, and stopOrdered once it is to be stopped. They tell the goroutines
	// that send its orders to give up.
	ended, stopOrdered atomic.Bool
	// stopping is set once the run is to be stopped. stopVia is the link that is sending the stop, or nil, and
	// stopConfirmedAt the time at which the worker last confirmed it; 0 if it did not.
	stopping        bool
	stopVia         *link
	stopConfirmedAt time.Duration
	// stopsWithoutEffect counts the confirmed stops after which the worker still listed the run.
	stopsWithoutEffect int
	// judgedDraining is set once the run was judged by stopBeforeLeaving since its worker began to drain.
	judgedDraining bool
	// restored is set if a former controller placed the run. startedAt is then the time at which this term read it.
	restored bool
	// seenEarlier is set for a restored run if the record says that a worker had begun it.
	seenEarlier bool
	// begunBefore is set if a former incarnation of the worker is known to have begun the run.
	begunBefore bool
	// unit is shared by the runs of the unit; nil if a former controller placed the run.
	unit   *unitRuns
	speeds taskspeed.Tracker
	// verdict is the latest verdict on the speed of the run. slowSince is the time from which the run has been slow or
	// below its declared speed; 0 while it is neither.
	verdict   verdict
	slowSince WorkerClock
	// crossRack is set if the run's data or a member of its gang is in another rack, which slows the run down.
	crossRack bool
	// awaitsReport is set if the start was held back until the next report of the worker.
	awaitsReport bool
	// startDeadline is the deadline of the start, from which on the worker refuses it; 0 if this term has not sent it.
	startDeadline WorkerClock
	// confirmedAt is the time at which the worker responded to the start; 0 if it did not. onNextIncarnation is set if the
	// response was that of a later incarnation than the one that the run's link is for.
	confirmedAt       time.Duration
	onNextIncarnation bool
	// survived is set once a listing has shown that the run works for long enough to be above suspicion if its worker
	// crashes.
	survived bool
	// firstListed is the time of the first listing that contained the run, and cleared is set once later listings have
	// shown that it went on working.
	firstListed time.Duration
	cleared     bool
	// isolated is set for a run that has its worker to itself until it is cleared, because workers crashed under
	// earlier runs of its task.
	isolated bool
	// working is set while the latest listing shows that the run has finished its startup, and listedAt is the time at
	// which that listing arrived; 0 before the first one.
	working  bool
	listedAt time.Duration
	// listedAfter is the local time after which a requested listing must contain the run or its end. It is 0 while that
	// time is unknown, before the worker has confirmed the start or the stop of the run.
	listedAfter time.Duration
	// share is the percentage of time for which the run may work: the last share that the worker confirmed, or the
	// share at the start of the run.
	share       Share
	shareOrders shareOrders
	// exposed is the present window in which the run is observed beside others; nil if there is none.
	exposed *exposedWindow
}

func (run *run) step() workload.Step { return run.job.Steps[run.task.Step] }

// worker is the state of a worker with the runs placed on it.
type worker struct {
	entry WorkerEntry
	// listed is set while the store has a valid entry of the worker.
	listed bool
	link   *link
	report report
	// unreported is set while the present incarnation is known by its response to a poll only. It may be of another kind
	// than the former one, so that its capacity and labels are not known.
	unreported bool
	// evacuated is set while the evacuation of the worker's data centre is requested.
	evacuated bool
	// settled is set once the worker has responded to a poll of its present link. Until then, runs that this term has
	// neither placed nor restored may occupy the worker.
	settled bool
	// unresponsive is set while polls of the worker fail.
	unresponsive bool
	// failingSince is the time at which the worker last stopped answering, or was found to have restarted. It is valid
	// if everFailed is set.
	failingSince time.Duration
	everFailed   bool
	// failedPromptly is set if the failure was noticed at once, unexplained if no run had just started then, and
	// failedIsolating if a suspected unit had the worker to itself.
	failedPromptly, unexplained, failedIsolating bool
	// attributedAt is the failingSince of the last crash that attributeCrash has handled.
	attributedAt time.Duration
	// lastHeard is the time of the worker's last response to a poll.
	lastHeard time.Duration
	runs      map[workload.TaskID]*run
	// restored is what the records of runs that former controllers placed tell of leases on the worker.
	restored restoredLeases
	// unexpected are the runs that the worker lists although they are not among runs. Their job is nil.
	unexpected map[runID]*run
	// used is the capacity of all runs, including those that are stopping.
	used workload.Resources
	// reserved is the capacity that claims reserve on the worker.
	reserved workload.Resources
	// lastEnd is the highest number of the ends that were processed.
	lastEnd int64
	// unstoredEnds are the numbers of the ends that must not be acknowledged yet. Most of them wait until the record
	// that counts them is stored; for the others see processUnknownEnd.
	unstoredEnds map[int64]bool
	// withheldEnds are those of the unstoredEnds that no record counts.
	withheldEnds []int64
	health       workerhealth.Health
	// factor is how long work takes on the worker in the long run, relative to its declared run time; 1 if not known.
	factor      workerspeed.Factor
	factorKnown bool
	// tooSlow is set if urgent work of the service certainly misses its objective on the worker.
	tooSlow  bool
	throttle throttleState
	// observedAt is the time of the last listing in which interference was observed.
	observedAt WorkerClock
}

func newWorker(entry WorkerEntry) *worker {
	return &worker{
		entry: entry, runs: map[workload.TaskID]*run{}, unexpected: map[runID]*run{}, unstoredEnds: map[int64]bool{},
		throttle: throttleState{share: fullShare}, factor: 1,
	}
}

// add places a run on the worker.
func (worker *worker) add(run *run) {
	worker.runs[run.task] = run
	run.job.runs[run] = true
	worker.used = worker.used.Add(run.need)
}

// remove removes a run from the worker. It reports whether the run was there.
func (worker *worker) remove(run *run) bool {
	if worker.runs[run.task] != run {
		return false
	}
	delete(worker.runs, run.task)
	delete(run.job.runs, run)
	worker.used = worker.used.Sub(run.need)
	return true
}

// overCapacity reports whether the placed runs need more than the worker has. Its capacity may shrink at any time.
func (worker *worker) overCapacity() bool { return !worker.entry.Capacity.Covers(worker.used) }

// overclaimed reports whether the worker is too small for its claims even once its stopping runs have ended.
func (worker *worker) overclaimed() bool {
	needed := worker.reserved
	for _, run := range worker.runs {
		if !run.stopping {
			needed = needed.Add(run.need)
		}
	}
	return !worker.entry.Capacity.Covers(needed)
}

// acknowledgeable returns the number up to which the worker may discard all ends.
func (worker *worker) acknowledgeable() int64 {
	acknowledgeable := worker.lastEnd
	for number := range worker.unstoredEnds {
		acknowledgeable = min(acknowledgeable, number-1)
	}
	return acknowledgeable
}

// awaitsStorage reports whether the record that counts an end of the worker is not stored yet. If the worker were removed
// and came back, it would list the end again, and the end would be acknowledged too early.
func (worker *worker) awaitsStorage() bool {
	return len(worker.unstoredEnds) > len(worker.withheldEnds)
}

// onTrial reports whether the worker has a run that shows whether it is sound again.
func (worker *worker) onTrial() bool {
	for _, run := range worker.runs {
		if !run.startSent || worker.health.OnTrial(run.startedAt) {
			return true
		}
	}
	return false
}

// usable reports whether new tasks may start on the worker.
func (worker *worker) usable(now time.Duration) bool {
	return worker.listed && worker.settled && !worker.unreported && !worker.unresponsive && !worker.entry.Draining &&
		!worker.evacuated &&
		worker.health.Available(now) && len(worker.unexpected) == 0
}

// occupied reports whether runs are placed on the worker or listed by it.
func (worker *worker) occupied() bool { return len(worker.runs) > 0 || len(worker.unexpected) > 0 }

// needed reports whether the worker has a run that is not to be stopped.
func (worker *worker) needed() bool {
	for _, run := range worker.runs {
		if !run.stopping {
			return true
		}
	}
	return false
}

// updateLink passes the state of the worker that polls depend on to the worker's link.
func (worker *worker) updateLink() {
	if worker.link != nil {
		worker.link.update(linkDuty{
			occupied: worker.occupied(), extendLeases: worker.needed(), frequent: worker.mixed() || worker.isolating(worker.link.loop.clock()),
		}, worker.acknowledgeable())
	}
}
