package bench

import (
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// place checks a placement, records it, and reports whether it can be executed.
func (record *record) place(place scheduler.Place) bool {
	state, ok := record.jobs[place.Job.Key]
	if !ok || state.phase != phaseWaiting {
		record.addViolation(RuleProtocol, "placement of %s, which is not waiting", place.Job.Key)
		return false
	}
	if place.Attempt <= state.attempt {
		record.addViolation(RuleProtocol, "attempt %d of %s after attempt %d", place.Attempt, place.Job.Key,
			state.attempt)
	}
	if state.mayHaveRun && !state.job.Profile.Idempotent && (!state.checkpointed || !place.Resume) {
		record.addViolation(RuleAtMostOnce, "%s may have run before, checkpoint %t, resume %t", place.Job.Key,
			state.checkpointed, place.Resume)
	}
	if place.Resume && !state.restorable {
		record.addViolation(RuleProtocol, "resume of %s without a checkpoint", place.Job.Key)
	}
	if !record.checkGang(state, place.Members) || !record.checkWorkers(place) {
		return false
	}
	state.phase, state.attempt, state.members = phaseStarting, place.Attempt, slices.Clone(place.Members)
	record.markChanged(state)
	if !record.allocate(state) {
		return false
	}
	record.checkReclaimable(state)
	return true
}

// checkGang reports whether a placement has the members of the job's shape and their accelerators. It records a
// violation otherwise.
func (record *record) checkGang(state *jobRecord, members []scheduler.Member) bool {
	shape := state.job.Profile.Shape
	if len(members) != shape.Members {
		record.addViolation(RulePartialGang, "%s has %d members, want %d", state.job.Key, len(members), shape.Members)
		return false
	}
	for _, member := range members {
		if member.Accelerators != shape.Accelerators {
			record.addViolation(RulePartialGang, "%s has a member of %d accelerators", state.job.Key,
				member.Accelerators)
			return false
		}
	}
	return true
}

// checkWorkers reports whether a placement uses only usable and adjacent workers. It records a violation otherwise.
func (record *record) checkWorkers(place scheduler.Place) bool {
	shape := place.Job.Profile.Shape
	var first string
	for _, member := range place.Members {
		state, ok := record.workers[member.Worker]
		_, evacuated := record.config.Evacuations[state.worker.DataCentre]
		if !ok || state.terminated || state.lossReported || state.worker.Leaving || state.quarantined || evacuated {
			record.addViolation(RuleUnusableWorker, "%s on %s", place.Job.Key, member.Worker)
			return false
		}
		group := state.groups[shape.Adjacency]
		if first == "" {
			first = group
		}
		if group != first {
			record.addViolation(RulePartialGang, "%s spans %s and %s", place.Job.Key, first, group)
			return false
		}
	}
	return true
}

// allocate adds the resources of a job's members to those held on its workers. It records a violation and releases
// the job if a worker has too few.
func (record *record) allocate(state *jobRecord) bool {
	fits := true
	for _, member := range state.members {
		worker := record.workers[member.Worker]
		worker.adjustHeld(state.job.Profile.Shape, 1)
		if worker.overcommitted() {
			fits = false
			record.addViolation(RuleDoubleGrant, "%s on %s: %d of %d accelerators", state.job.Key, member.Worker,
				worker.held+worker.foreign, worker.worker.Accelerators)
		}
	}
	if !fits {
		record.release(state)
	}
	return fits
}
