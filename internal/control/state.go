package control

import (
	"iter"
	"sync/atomic"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// job is an accepted job with its progress.
type job struct {
	workload.Job
	terms          workload.JobPolicy
	status         ledger.StatusEntry
	record         *progress.Record
	recordRevision keyvalue.Revision
	// writing is set while a version of the record is being stored.
	writing bool
	// after is what happens once the present version of the record is stored.
	after []func()
	// failedOn are the workers on which runs of the job failed in this term.
	failedOn map[fleet.WorkerID]bool
	// best is the highest speed that was seen of any run of each kind.
	best map[runKind]speed
	// moves counts how often each task was taken off a slow worker in this term.
	moves map[workload.TaskID]int
}

// open reports whether tasks of the job may still start.
func (job *job) open() bool {
	return !job.status.State.Terminal() && !job.record.State.Terminal()
}

// placed yields the tasks of the job that are placed on workers.
func (job *job) placed() iter.Seq2[workload.TaskID, progress.Task] {
	return func(yield func(workload.TaskID, progress.Task) bool) {
		for k, occurrence := range job.record.Occurrences {
			for s, step := range occurrence.Steps {
				for i, task := range step.Tasks {
					id := workload.TaskID{Job: job.ID, Occurrence: k, Step: s, Index: i}
					if task.Phase == progress.Placed && !yield(id, task) {
						return
					}
				}
			}
		}
	}
}

// deadline is the completion time that the job's callers aim at, by its declared run times.
func (job *job) deadline() time.Time {
	return job.Accepted.Add(time.Duration(job.terms.Stretch*float64(job.CriticalPath())) + job.terms.CompletionOffset)
}

// remaining returns the declared run time of the longest chain of steps from a step on that are not done.
func (job *job) remaining(occurrence, from int) time.Duration {
	ends := make([]time.Duration, len(job.Steps))
	longest := time.Duration(0)
	for i := from; i < len(job.Steps); i++ {
		for _, earlier := range job.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if !job.record.Occurrences[occurrence].Steps[i].AllDone() {
			ends[i] += job.Steps[i].Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// run is a placed run of a task, which takes room on a worker until it has ended for certain.
type run struct {
	task   workload.TaskID
	number progress.RunNumber
	job    *job
	link   *link
	need   workload.Resources
	since  time.Duration
	// sent is set once the start may have left this process.
	sent bool
	// over is set once the run has ended for certain.
	over atomic.Bool
	// stopping is set once the run is to end.
	stopping bool
	pace     pace
	// far is set if the run's data or its gang is in another rack, which makes it slower.
	far bool
	// checkFrom is the time after which a listing that is asked for must show the run or its end; 0 is unknown.
	checkFrom time.Duration
	// share is what the worker was last told that the run may work, and throttling is set while it is told.
	share      Share
	throttling bool
}

func (run *run) step() workload.Step { return run.job.Steps[run.task.Step] }

// worker is a worker with what occupies it.
type worker struct {
	entry WorkerEntry
	// present is set while the store lists the worker.
	present bool
	link    *link
	// settled is set once the worker has answered in this term; before, unknown runs may occupy it.
	settled bool
	// silent is set while the worker does not answer.
	silent bool
	runs   map[workload.TaskID]*run
	// taken is the room of all runs, those that are stopping included.
	taken workload.Resources
	// reserved is the room kept for units that wait for others to stop.
	reserved workload.Resources
	// seen is the highest number of an end that was taken in.
	seen int64
	// unsaved are the numbers of ends that must not be acknowledged yet.
	unsaved map[int64]bool
	health  health
	sharing sharing
}

func newWorker(entry WorkerEntry) *worker {
	return &worker{entry: entry, runs: map[workload.TaskID]*run{}, unsaved: map[int64]bool{}, sharing: sharing{share: fullShare}}
}

// add puts a run on the worker.
func (worker *worker) add(run *run) {
	worker.runs[run.task] = run
	worker.taken = worker.taken.Add(run.need)
}

// remove takes a run off the worker. It reports whether it was there.
func (worker *worker) remove(run *run) bool {
	if worker.runs[run.task] != run {
		return false
	}
	delete(worker.runs, run.task)
	worker.taken = worker.taken.Sub(run.need)
	return true
}

// acknowledged is the number up to which all ends are stored.
func (worker *worker) acknowledged() int64 {
	least := worker.seen
	for number := range worker.unsaved {
		least = min(least, number-1)
	}
	return least
}

// usable reports whether new tasks may start on the worker.
func (worker *worker) usable(now time.Duration) bool {
	return worker.present && worker.settled && !worker.silent && !worker.entry.Draining && worker.health.good(now)
}

// updateLink tells the link what the worker holds now.
func (worker *worker) updateLink() {
	if worker.link != nil {
		worker.link.set(len(worker.runs) > 0, worker.shared(), worker.acknowledged())
	}
}
