package scheduler

import (
	"slices"
	"time"
)

// evict ends a gang to free its accelerators. A gang that can checkpoint first gets a grace period for it, unless
// skipGrace is set.
func (core *Core) evict(now time.Time, job *jobState, skipGrace bool, reason string) {
	if skipGrace || !job.spec.Profile.Checkpoint {
		core.issueStop(now, job, reason)
		return
	}
	core.startEviction(now, job, evictionCheckpoint)
	core.addDecision(Evict{job.spec.Key, job.attempt, EvictCheckpoint, reason})
	core.history.evicted(job, now, reason)
}

// stop ends a gang without a checkpoint, unless it is being stopped already.
func (core *Core) stop(now time.Time, job *jobState, reason string) {
	if job.eviction < evictionStop {
		core.issueStop(now, job, reason)
	}
}

// issueStop adds the decision to stop a gang at once.
func (core *Core) issueStop(now time.Time, job *jobState, reason string) {
	core.startEviction(now, job, evictionStop)
	core.addDecision(Evict{job.spec.Key, job.attempt, EvictStop, reason})
	core.history.evicted(job, now, reason)
}

// startEviction records a step of an eviction. With the first step, it counts the gang's resources as expected to
// become free.
func (core *Core) startEviction(now time.Time, job *jobState, step eviction) {
	if job.eviction == evictionNone {
		for _, holding := range job.holdings {
			holding.worker.evicting = holding.worker.evicting.plus(job.perMember.times(holding.members))
		}
		core.evicting = append(core.evicting, job)
	}
	job.eviction = step
	job.evictionAt = now
}

// endEviction removes the record of a gang's eviction, if there is one. The gang's resources are no longer counted as
// expected to become free.
func (core *Core) endEviction(job *jobState) {
	if job.eviction == evictionNone {
		return
	}
	if job.eviction != evictionStuck {
		core.releaseEvicting(job)
	}
	job.eviction = evictionNone
	job.moving, job.consolidated = false, false
	core.evicting = slices.DeleteFunc(core.evicting, func(other *jobState) bool { return other == job })
}

func (core *Core) releaseEvicting(job *jobState) {
	for _, holding := range job.holdings {
		holding.worker.evicting = holding.worker.evicting.minus(job.perMember.times(holding.members))
	}
}

// nextEvictionStep returns when the next step of a gang's eviction is due, and false if there is no further step.
func (core *Core) nextEvictionStep(job *jobState) (time.Time, bool) {
	switch job.eviction {
	case evictionCheckpoint:
		return job.evictionAt.Add(core.settings.CheckpointGrace), true
	case evictionStop:
		return job.evictionAt.Add(core.settings.StopConfirmation), true
	default:
		return time.Time{}, false
	}
}

// escalate stops the gangs whose grace period for a checkpoint is over, unless they may continue. Gangs that have not
// confirmed a stop within Settings.StopConfirmation are no longer expected to free their accelerators.
func (core *Core) escalate(now time.Time) {
	for _, job := range slices.Clone(core.evicting) {
		at, ok := core.nextEvictionStep(job)
		if !ok || at.After(now) {
			continue
		}
		if job.mayContinue() {
			job.ignoredCheckpoint = true
			core.endEviction(job)
			core.dropDestination(job)
			continue
		}
		job.evictionAt = now
		if job.eviction == evictionCheckpoint {
			job.eviction = evictionStop
			job.ignoredCheckpoint = job.ignoredCheckpoint || job.phase == phaseRunning
			core.addDecision(Evict{job.spec.Key, job.attempt, EvictStop, "the grace period for the checkpoint is over"})
			continue
		}
		core.releaseEvicting(job)
		job.eviction = evictionStuck
		core.skipGraceAfter(job)
		core.capacityFreed()
	}
}

// skipGraceAfter sets skipGrace of the jobs whose claims wait for a gang that ignores its stop.
func (core *Core) skipGraceAfter(stuck *jobState) {
	for _, claim := range core.claims {
		for _, holding := range claim.holdings {
			if holding.worker.membersOf(stuck) > 0 {
				claim.skipGrace = true
			}
		}
	}
}
