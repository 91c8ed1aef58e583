package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
)

// report is what is known of a worker's reports. The capacity of a worker may shrink at any time, and a worker that cannot
// reach the store cannot say so. Starts that are due while its latest report is old wait for the next one.
type report struct {
	// revision is that of the latest report that was read, and readAt the time when it was read, or long ago if it may be
	// old.
	revision keyvalue.Revision
	readAt   time.Duration
	// awaiting are the starts that wait for the next report, the first of them since awaitingSince.
	awaiting      []func()
	awaitingSince time.Duration
}

// recordReport takes note of the worker's entry if it is a new one. An entry that is read for the first time is as new as
// any, unless the store was away until just now.
func (loop *dispatcher) recordReport(worker *worker) {
	first := worker.report.revision == 0
	if worker.entry.Revision == worker.report.revision {
		return
	}
	worker.report.revision, worker.report.readAt = worker.entry.Revision, loop.clock()
	if read := worker.entry.ReadAt; !read.IsZero() {
		// An entry that was put off may have been read long ago.
		worker.report.readAt -= time.Since(read)
	}
	if first && loop.ReportsOutdated() {
		worker.report.readAt -= loop.MaxReportAge
	}
}

// capacityKnown reports whether the worker has reported its capacity lately.
func (loop *dispatcher) capacityKnown(worker *worker) bool {
	return loop.clock()-worker.report.readAt < loop.MaxReportAge
}

// awaitReport calls send after the next report of the worker.
func (worker *worker) awaitReport(now time.Duration, send func()) {
	if len(worker.report.awaiting) == 0 {
		worker.report.awaitingSince = now
	}
	worker.report.awaiting = append(worker.report.awaiting, send)
}

// sendAwaiting sends the starts that have waited for a report. Those that the capacity no longer allows end instead.
func (worker *worker) sendAwaiting() {
	awaiting := worker.report.awaiting
	worker.report.awaiting = nil
	for _, send := range awaiting {
		send()
	}
}

// maxReportWait is how long starts wait for a report. The reports of all workers are back by then after an outage.
const maxReportWait = 2500 * time.Millisecond

// dropAwaiting ends the starts on a worker that does not report in time, so that their tasks can start elsewhere.
func (loop *dispatcher) dropAwaiting(worker *worker) {
	if len(worker.report.awaiting) == 0 || loop.clock()-worker.report.awaitingSince < maxReportWait {
		return
	}
	worker.report.awaiting = nil
	for _, run := range worker.runs {
		if run.awaitsReport && !run.startSent {
			loop.endUnstarted(run, "not started: the worker does not report its capacity")
		}
	}
}
