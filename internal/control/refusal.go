package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

const (
	// firstHold is how long a job is held whose record the store refuses. Each further refusal doubles it up to maxHold.
	firstHold = 5 * time.Second
	maxHold   = 5 * time.Minute
	// shrinkFactor of the size of a refused record is the room that the record gets from then on.
	shrinkFactor = 0.75
)

// refusal is the state of a job whose record the store refuses to take, in a way that a retry does not change.
type refusal struct {
	// alone is set if the record was refused together with others. It is stored in a transaction of its own next.
	alone bool
	// count is the number of times that the record was refused alone in this term.
	count int
	// heldUntil is the time before which the record is not stored and no task of the job starts.
	heldUntil time.Duration
	// room is the size up to which the record is filled; 0 means that it is not limited by a refusal.
	room progress.Bytes
	// stateHeldUntil is the time before which the status is not stored without the record, because the store refused that.
	stateHeldUntil time.Duration
}

// held reports whether the job waits because its record was refused.
func (job *job) held(now time.Duration) bool { return now < job.refusal.heldUntil }

// commitRefused handles a transaction that the store would refuse again. If it stores several records, each is stored
// alone next, so that one that is refused does not hold up the others. Otherwise the job is held.
func (loop *dispatcher) commitRefused(batch batch, cause error) {
	delete(loop.pendingCommits, batch.number)
	for _, refused := range batch.versions {
		loop.restoreDirty(refused)
		refused.job.refusal.alone = true
	}
	if len(batch.versions) == 1 {
		only := batch.versions[0]
		if only.record != nil {
			loop.hold(only, cause)
		} else {
			only.job.refusal.stateHeldUntil = loop.clock() + firstHold
			loop.Logger.Error("the store does not take the status of a job", "job", string(only.job.ID), "error", cause.Error())
		}
	}
	loop.planNeeded = true
}

// hold gives up the starts of a job whose record the store refuses, which frees their capacity, and has the record stored
// again later, with fewer tasks placed. Runs that have started go on.
func (loop *dispatcher) hold(refused version, cause error) {
	job := refused.job
	pause := firstHold
	for range job.refusal.count {
		pause = min(2*pause, maxHold)
	}
	if job.refusal.count == 0 {
		loop.Logger.Error("the store does not take the record of a job; the job is held", "job", string(job.ID),
			"organisation", string(job.Organisation), "bytes", len(refused.record), "hold_ms", pause.Milliseconds(),
			"error", cause.Error())
	}
	metrics.Count(loop.Metrics, "records_refused")
	size := job.footprint.Record(len(job.record.Occurrences), len(job.runs))
	job.refusal.count++
	job.refusal.heldUntil = loop.clock() + pause
	job.refusal.room = progress.Bytes(shrinkFactor * float64(size))
	for run := range job.runs {
		if !run.startSent {
			loop.endUnstarted(run, "not started: the store does not take the record")
		}
	}
}
