package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

const (
	// recordShare is the fraction of the largest document that a record is filled to. The rest is for checkpoints and
	// addresses that are longer than usual.
	recordShare = 0.9
	// keepDone is how long a done occurrence stays in its record. Until then a worker may list the end of an earlier run
	// again, which must be recognised: the leases on a worker that was out of reach have expired long before.
	keepDone = time.Minute
)

// maxBegun limits the occurrences of one job that one plan may begin. Their demands are equal, so that later ones cannot
// start before the first.
const maxBegun = 256

// recordLimit returns the size up to which the record of a job is filled. The store would never take a larger record, and
// the tasks in it could not start.
func (loop *dispatcher) recordLimit(job *job) progress.Bytes {
	limit := progress.Bytes(recordShare * float64(loop.MaxValueBytes))
	if room := job.refusal.room; room > 0 {
		limit = min(limit, room)
	}
	return limit
}

// recordHasRoom reports whether the record of a job can take the placement of a unit. While no task of the job is placed
// any unit may be, so that a job that was accepted without regard to its size is tried.
func (loop *dispatcher) recordHasRoom(candidate candidate) bool {
	job := candidate.job
	if len(job.runs) == 0 {
		return true
	}
	occurrences := len(job.record.Occurrences)
	if job.record.Occurrence(candidate.unit.Occurrence) == nil {
		occurrences++
	}
	placed := len(job.runs) + len(candidate.unit.Tasks)
	return job.footprint.Record(occurrences, placed) <= loop.recordLimit(job)
}

// pruneDone removes the occurrences from the record that have been done for keepDone.
func (job *job) pruneDone(now time.Duration) {
	if job.Schedule.Count == 0 {
		return
	}
	var over []int
	for _, occurrence := range job.record.Occurrences {
		if !occurrence.Done() {
			continue
		}
		since, known := job.doneSince[occurrence.Number]
		if !known {
			if job.doneSince == nil {
				job.doneSince = map[int]time.Duration{}
			}
			job.doneSince[occurrence.Number] = now
			continue
		}
		if now-since > keepDone {
			over = append(over, occurrence.Number)
		}
	}
	for _, number := range over {
		job.record.Prune(number)
		delete(job.doneSince, number)
	}
}
