package scheduler

import (
	"slices"
	"time"
)

// evict takes a gang's accelerators back, by a checkpoint if the gang can make one.
func (core *Core) evict(now time.Time, job *entry, hurried bool, reason string) {
	if hurried || !job.job.Profile.Checkpoint {
		core.stopFor(now, job, reason)
		return
	}
	core.startEviction(now, job, evictionCheckpoint)
	core.decide(Evict{job.job.Key, job.attempt, EvictCheckpoint, reason})
	core.history.evicted(job, now, reason)
}

// stop ends a gang at once.
func (core *Core) stop(now time.Time, job *entry, reason string) {
	if job.eviction < evictionStop {
		core.stopFor(now, job, reason)
	}
}

func (core *Core) stopFor(now time.Time, job *entry, reason string) {
	core.startEviction(now, job, evictionStop)
	core.decide(Evict{job.job.Key, job.attempt, EvictStop, reason})
	core.history.evicted(job, now, reason)
}

// startEviction accounts what an eviction is going to free.
func (core *Core) startEviction(now time.Time, job *entry, step eviction) {
	if job.eviction == evictionNone {
		for _, holding := range job.holdings {
			holding.worker.ending = holding.worker.ending.plus(job.unit.times(holding.members))
		}
		core.evicting = append(core.evicting, job)
	}
	job.eviction = step
	job.evictionAt = now
}

// settleEviction ends the accounting of an eviction.
func (core *Core) settleEviction(job *entry) {
	if job.eviction == evictionNone {
		return
	}
	if job.eviction != evictionStuck {
		core.endEnding(job)
	}
	job.eviction = evictionNone
	core.evicting = slices.DeleteFunc(core.evicting, func(other *entry) bool { return other == job })
}

func (core *Core) endEnding(job *entry) {
	for _, holding := range job.holdings {
		holding.worker.ending = holding.worker.ending.minus(job.unit.times(holding.members))
	}
}

// escalation returns when the next step of an eviction is due.
func (core *Core) escalation(job *entry) (time.Time, bool) {
	switch job.eviction {
	case evictionCheckpoint:
		return job.evictionAt.Add(core.settings.CheckpointGrace), true
	case evictionStop:
		return job.evictionAt.Add(core.settings.StopConfirmation), true
	default:
		return time.Time{}, false
	}
}

// escalate stops gangs whose grace period is over and gives up those that ignore the stop.
func (core *Core) escalate(now time.Time) {
	for _, job := range core.evicting {
		at, ok := core.escalation(job)
		if !ok || at.After(now) {
			continue
		}
		job.evictionAt = now
		if job.eviction == evictionCheckpoint {
			job.eviction = evictionStop
			core.decide(Evict{job.job.Key, job.attempt, EvictStop, "the grace period for the checkpoint is over"})
			continue
		}
		core.endEnding(job)
		job.eviction = evictionStuck
		core.hurry(job)
		core.freed()
	}
}

// hurry marks the claims that wait for a gang that ignores its stop. Their next victims get no grace period.
func (core *Core) hurry(stuck *entry) {
	for _, claim := range core.claims {
		for _, holding := range claim.holdings {
			if holding.worker.membersOf(stuck) > 0 {
				claim.hurried = true
			}
		}
	}
}
