package control

import (
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// The fractions of the workers of a service that may be paused as slow at the same time: of all, of those in one data
// centre and of those in one rack, but at least one of each. Beyond them another cause is more likely than slow workers,
// and the work of others needs the rest.
const (
	maxSlowOfService    = 0.25
	maxSlowOfDataCentre = 0.5
	maxSlowOfRack       = 0.75
)

// handleSlowRuns pauses a slow worker and moves the runs that would end sooner elsewhere. A worker with a steady run is
// not slow. Runs that are only below their declared speed are evidence against the worker if they belong to several
// jobs.
func (loop *dispatcher) handleSlowRuns(worker *worker, verdicts map[*run]verdict) {
	slowFound, jobsBelow := false, map[fleet.JobID]bool{}
	for run, found := range verdicts {
		switch {
		case found == steady:
			worker.health.RecordNormalSpeed()
			return
		case found < belowDeclared || !run.blamesWorker(found):
		case found == slow:
			slowFound = true
		default:
			jobsBelow[run.job.ID] = true
		}
	}
	if !slowFound && len(jobsBelow) < 2 || !loop.mayPauseAsSlow(worker) {
		return
	}
	if worker.health.RecordSlow(loop.clock()) {
		loop.Logger.Warn("slow worker paused", "worker", string(worker.entry.ID), "runs", len(verdicts))
	}
	for run, found := range verdicts {
		if found >= belowDeclared && run.blamesWorker(found) && run.endsSoonerElsewhere() && run.job.countMove(run.task) {
			loop.stopRun(run, "worker is slow")
			loop.stopGang(run)
		}
	}
}

// blamesWorker reports whether the verdict on a run is evidence against its worker, and not against what was declared of
// its job. A run that was faster before is such evidence. One that only stays behind its declared run time is not if the
// other runs of its step do so on other workers too. The members of a gang all stop when one does, which says nothing of
// the job.
func (run *run) blamesWorker(found verdict) bool {
	if found == slow && (run.speeds.Best() > 0 || run.step().Gang) {
		return true
	}
	steadyElsewhere, behindElsewhere, elsewhere := 0, 0, map[fleet.WorkerID]bool{}
	at := run.workerID()
	for other := range run.job.runs {
		id := other.workerID()
		if other.task.Step != run.task.Step || id == at || elsewhere[id] || !other.startSent || other.stopping {
			continue
		}
		elsewhere[id] = true
		switch {
		case other.verdict == steady:
			steadyElsewhere++
		case other.verdict >= belowDeclared:
			behindElsewhere++
		}
	}
	// With one other worker, either of the two may be slow.
	return len(elsewhere) < 2 || steadyElsewhere >= max(behindElsewhere, 1)
}

// workerID returns the worker that the run is placed on, or an empty id once its task is not placed any more.
func (run *run) workerID() fleet.WorkerID {
	if task := run.job.record.Task(run.task); task != nil {
		return task.At.Worker
	}
	return ""
}

// mayPauseAsSlow reports whether the worker is paused as slow already, or may be without exceeding the share of its
// service, data centre or rack.
func (loop *dispatcher) mayPauseAsSlow(suspect *worker) bool {
	now := loop.clock()
	if suspect.health.PausedAsSlow(now) {
		return true
	}
	var service, dataCentre, rack slowShare
	for _, other := range loop.workers {
		if other.entry.Service != suspect.entry.Service || !other.listed {
			continue
		}
		paused := other.health.PausedAsSlow(now)
		service.add(paused)
		if other.entry.DataCentre == suspect.entry.DataCentre {
			dataCentre.add(paused)
		}
		if other.entry.Rack == suspect.entry.Rack {
			rack.add(paused)
		}
	}
	return service.allows(maxSlowOfService) && dataCentre.allows(maxSlowOfDataCentre) && rack.allows(maxSlowOfRack)
}

// slowShare counts workers and those of them that are paused as slow.
type slowShare struct{ workers, paused int }

func (share *slowShare) add(paused bool) {
	share.workers++
	if paused {
		share.paused++
	}
}

// allows reports whether one more worker may be paused with at most a fraction of all paused.
func (share *slowShare) allows(most float64) bool {
	return share.paused < max(1, int(most*float64(share.workers)))
}

// countMove counts a move of a task and reports whether the number of moves is within maxMoves.
func (job *job) countMove(id workload.TaskID) bool {
	if job.moves == nil {
		job.moves = map[workload.TaskID]int{}
	}
	job.moves[id]++
	return job.moves[id] <= maxMoves
}
