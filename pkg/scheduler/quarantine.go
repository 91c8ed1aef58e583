package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// failuresBound ends a job whatever its workers are like, so that a faulty fleet cannot keep it for ever.
const failuresBound = 12

// blameBound bounds the jobs that are remembered for each worker.
const blameBound = 16

// praise notes a success on every worker of a gang.
func (core *Core) praise(held []holding) {
	for _, holding := range held {
		record := &holding.worker.health
		record.blame = nil
		record.probation = false
		record.terms = 0
	}
}

// attemptFailed decides whether a failure is the job's or the workers'.
func (core *Core) attemptFailed(now time.Time, job *entry, held []holding, failed []fleet.WorkerID) {
	if len(failed) == 0 {
		for _, holding := range held {
			failed = append(failed, holding.worker.ID)
		}
	}
	job.failures++
	for _, id := range failed {
		if !slices.Contains(job.failedOn, id) {
			job.failedOn = append(job.failedOn, id)
		}
		if machine, ok := core.workers[id]; ok {
			core.blame(now, machine, job)
		}
	}
	switch {
	case !job.job.Profile.Idempotent:
		core.finish(job, VerdictFailed, fault.TargetFailed, "a member failed and the job must not run twice")
	case core.failuresOfOwn(job) >= core.settings.FailuresOfJob || job.failures >= failuresBound:
		core.exonerate(job)
		reason := fmt.Sprintf("failed on %d different workers in %d attempts", len(job.failedOn), job.failures)
		core.finish(job, VerdictFailed, fault.TargetFailed, reason)
	default:
		core.requeue(now, job)
	}
}

// failuresOfOwn counts the workers whose failures are taken as the job's own. Failures on a worker that
// other jobs blame as well do not count.
func (core *Core) failuresOfOwn(job *entry) int {
	count := 0
	for _, id := range job.failedOn {
		machine, ok := core.workers[id]
		if !ok || !core.suspect(machine) {
			count++
		}
	}
	return count
}

// suspect reports whether failures on the worker are taken as the worker's.
func (core *Core) suspect(machine *worker) bool {
	return machine.health.doubtful() || core.blameOn(machine) > 1
}

// doubtful reports whether the worker is or was in quarantine and has had no success since.
func (health *health) doubtful() bool { return health.quarantined || health.probation }

// blameOn weighs the failures on a worker by different jobs, in jobs. A job that also failed on a worker in
// good standing counts half, since it may be at fault itself. It does count, since a few workers that fail
// fast draw the same jobs one after the other.
func (core *Core) blameOn(machine *worker) float64 {
	weight := 0.0
	for job := range machine.health.blame {
		weight += 0.5
		excused := true
		for _, id := range job.failedOn {
			other, ok := core.workers[id]
			excused = excused && (id == machine.ID || !ok || other.health.doubtful())
		}
		if excused {
			weight += 0.5
		}
	}
	return weight
}

// exonerate drops the blame of a job that fails wherever it runs. A worker that is in quarantine because of
// such jobs is readmitted.
func (core *Core) exonerate(job *entry) {
	for _, id := range job.failedOn {
		machine, ok := core.workers[id]
		if !ok {
			continue
		}
		delete(machine.health.blame, job)
		if machine.health.quarantined && len(machine.health.blame) < core.settings.FailuresOfWorker && machine.health.terms == 1 {
			core.endQuarantine(machine, "the jobs that failed here fail on other workers as well")
			machine.health.probation = false
			machine.health.terms = 0
		}
	}
}

// blame notes a failure on a worker and quarantines it when enough different jobs failed there.
func (core *Core) blame(now time.Time, machine *worker, job *entry) {
	record := &machine.health
	if record.blame == nil {
		record.blame = map[*entry]struct{}{}
	}
	if len(record.blame) < blameBound {
		record.blame[job] = struct{}{}
	}
	enough := core.blameOn(machine) >= float64(core.settings.FailuresOfWorker) || record.probation
	if !enough || record.quarantined || !machine.present || core.quarantined >= core.quarantineBound() {
		return
	}
	record.quarantined = true
	record.until = now.Add(core.settings.QuarantineTime << min(record.terms, 6))
	record.terms++
	core.quarantined++
	core.refresh(machine)
	core.breakCells(machine)
	core.repackIfSmall()
	reason := fmt.Sprintf("%d different jobs failed without a success between them", len(record.blame))
	core.decide(Quarantine{machine.ID, true, reason})
}

// quarantineBound returns the number of workers that may be in quarantine.
func (core *Core) quarantineBound() int {
	return int(float64(core.present) * core.settings.QuarantineShare)
}

// readmit ends the quarantines that are over. The worker is on probation until a first success.
func (core *Core) readmit(now time.Time) {
	for core.quarantined > 0 {
		machine := core.nextInQuarantine()
		if machine == nil || machine.health.until.After(now) {
			return
		}
		core.endQuarantine(machine, "quarantine time is over; one failure puts the worker back")
	}
}

// trimQuarantine readmits workers when the fleet shrank below what its quarantine allows.
func (core *Core) trimQuarantine() {
	for core.quarantined > core.quarantineBound() {
		machine := core.nextInQuarantine()
		if machine == nil {
			return
		}
		core.endQuarantine(machine, "the fleet shrank; the share in quarantine is bounded")
	}
}

// endQuarantine readmits one worker.
func (core *Core) endQuarantine(machine *worker, reason string) {
	machine.health.quarantined = false
	machine.health.probation = true
	machine.health.blame = nil
	core.quarantined--
	core.refresh(machine)
	core.repackIfSmall()
	core.freed()
	core.decide(Quarantine{machine.ID, false, reason})
}

// nextInQuarantine returns the worker whose quarantine ends first.
func (core *Core) nextInQuarantine() *worker {
	var first *worker
	for _, zone := range core.zones {
		for _, machine := range zone.workers {
			if machine == nil || !machine.health.quarantined {
				continue
			}
			if first == nil || machine.health.until.Before(first.health.until) {
				first = machine
			}
		}
	}
	return first
}

// nextReadmission returns when the first quarantine ends.
func (core *Core) nextReadmission() time.Time {
	if machine := core.nextInQuarantine(); machine != nil {
		return machine.health.until
	}
	return time.Time{}
}
