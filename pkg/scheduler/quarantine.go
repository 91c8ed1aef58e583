package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// maxFailures is the number of failed attempts after which a job ends even if the failures are attributed to workers,
// so that the job does not run forever on a faulty fleet.
const maxFailures = 12

// maxFailedJobs limits the number of failed jobs that each worker's failure record holds.
const maxFailedJobs = 16

// recordSuccess clears the failure record of every worker of a gang.
func (core *Core) recordSuccess(held []holding) {
	for _, holding := range held {
		record := &holding.worker.health
		record.failedJobs = nil
		record.probation = false
		record.consecutiveQuarantines = 0
	}
}

// attemptFailed records a failure for the job and for the workers on which members failed. It then ends the job or
// queues it again. If the failed workers are not known, it records the failure for all workers of the gang.
func (core *Core) attemptFailed(now time.Time, job *jobState, held []holding, failed []fleet.WorkerID) {
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
			core.recordFailure(now, machine, job)
		}
	}
	switch {
	case !job.spec.Profile.Idempotent:
		core.finish(job, VerdictFailed, fault.TargetFailed, "a member failed and the job must not run twice")
	case core.ownFailures(job) >= core.settings.FailuresOfJob || job.failures >= maxFailures:
		core.discountFailures(job)
		reason := fmt.Sprintf("failed on %d different workers in %d attempts", len(job.failedOn), job.failures)
		core.finish(job, VerdictFailed, fault.TargetFailed, reason)
	default:
		core.requeue(now, job)
	}
}

// ownFailures counts the workers on which the job failed through its own fault. Workers to which workerAtFault
// attributes the failures do not count.
func (core *Core) ownFailures(job *jobState) int {
	count := 0
	for _, id := range job.failedOn {
		machine, ok := core.workers[id]
		if !ok || !core.workerAtFault(machine) {
			count++
		}
	}
	return count
}

// workerAtFault reports whether failures on the worker are attributed to the worker instead of to the jobs: the worker
// is in quarantine or on probation, or other jobs failed there as well.
func (core *Core) workerAtFault(machine *worker) bool {
	return machine.health.quarantinedOrOnProbation() || core.failureWeight(machine) > 1
}

// quarantinedOrOnProbation reports whether the worker is or was in quarantine and has had no success since.
func (health *health) quarantinedOrOnProbation() bool { return health.quarantined || health.probation }

// failureWeight returns the weighted number of jobs that failed on a worker. A job that also failed on another worker
// that is neither in quarantine nor on probation counts half, since the job itself may be at fault. Such a job still
// counts, since a few faulty workers that fail tasks fast get the same jobs one after the other.
func (core *Core) failureWeight(machine *worker) float64 {
	weight := 0.0
	for job := range machine.health.failedJobs {
		weight += 0.5
		othersSuspect := true
		for _, id := range job.failedOn {
			other, ok := core.workers[id]
			othersSuspect = othersSuspect && (id == machine.ID || !ok || other.health.quarantinedOrOnProbation())
		}
		if othersSuspect {
			weight += 0.5
		}
	}
	return weight
}

// discountFailures removes a job that ends as failed from the failure records of the workers on which it failed. A
// worker in its first quarantine since its last success is readmitted if fewer than Settings.FailuresOfWorker jobs
// remain in its record.
func (core *Core) discountFailures(job *jobState) {
	for _, id := range job.failedOn {
		machine, ok := core.workers[id]
		if !ok {
			continue
		}
		delete(machine.health.failedJobs, job)
		if machine.health.quarantined && len(machine.health.failedJobs) < core.settings.FailuresOfWorker &&
			machine.health.consecutiveQuarantines == 1 {
			core.endQuarantine(machine, "the jobs that failed here fail on other workers as well")
			machine.health.probation = false
			machine.health.consecutiveQuarantines = 0
		}
	}
}

// recordFailure records the failure of a job on a worker. It quarantines the worker when enough different jobs have
// failed there, unless quarantineLimit is reached. On probation, one failure is enough.
func (core *Core) recordFailure(now time.Time, machine *worker, job *jobState) {
	record := &machine.health
	if record.failedJobs == nil {
		record.failedJobs = map[*jobState]struct{}{}
	}
	if len(record.failedJobs) < maxFailedJobs {
		record.failedJobs[job] = struct{}{}
	}
	enough := core.failureWeight(machine) >= float64(core.settings.FailuresOfWorker) || record.probation
	if !enough || record.quarantined || !machine.present || core.quarantinedWorkers >= core.quarantineLimit() {
		return
	}
	record.quarantined = true
	record.until = now.Add(core.settings.QuarantineTime << min(record.consecutiveQuarantines, 6))
	record.consecutiveQuarantines++
	core.quarantinedWorkers++
	core.refresh(machine)
	core.unbindUnfitCells(machine)
	core.repackIfSmall()
	reason := fmt.Sprintf("%d different jobs failed without a success between them", len(record.failedJobs))
	core.addDecision(Quarantine{machine.ID, true, reason})
}

// quarantineLimit returns the maximum number of workers in quarantine.
func (core *Core) quarantineLimit() int {
	return int(float64(core.presentWorkers) * core.settings.QuarantineShare)
}

// readmit ends the quarantines that are over. A readmitted worker is on probation until its first success.
func (core *Core) readmit(now time.Time) {
	for core.quarantinedWorkers > 0 {
		machine := core.nextInQuarantine()
		if machine == nil || machine.health.until.After(now) {
			return
		}
		core.endQuarantine(machine, "quarantine time is over; one failure puts the worker back")
	}
}

// enforceQuarantineLimit readmits workers while more are in quarantine than quarantineLimit, which falls when the fleet
// shrinks.
func (core *Core) enforceQuarantineLimit() {
	for core.quarantinedWorkers > core.quarantineLimit() {
		machine := core.nextInQuarantine()
		if machine == nil {
			return
		}
		core.endQuarantine(machine, "the fleet shrank, and the share of it in quarantine is limited")
	}
}

// endQuarantine readmits a worker and puts it on probation.
func (core *Core) endQuarantine(machine *worker, reason string) {
	machine.health.quarantined = false
	machine.health.probation = true
	machine.health.failedJobs = nil
	core.quarantinedWorkers--
	core.refresh(machine)
	core.repackIfSmall()
	core.capacityFreed()
	core.addDecision(Quarantine{machine.ID, false, reason})
}

// nextInQuarantine returns the worker whose quarantine ends first; nil if there is none.
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

// nextReadmission returns when the next quarantine ends.
func (core *Core) nextReadmission() time.Time {
	if machine := core.nextInQuarantine(); machine != nil {
		return machine.health.until
	}
	return time.Time{}
}
