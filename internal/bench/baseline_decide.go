package bench

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Decide returns the decisions since the last call, after stopping gangs whose checkpoint grace period ended and
// placing waiting jobs.
func (baseline *baseline) Decide(now time.Time) []scheduler.Decision {
	for _, entry := range slices.Clone(baseline.placed) {
		if entry.evictRequested && !entry.graceEnd.IsZero() && !now.Before(entry.graceEnd) {
			entry.graceEnd = time.Time{}
			baseline.stop(entry, "no checkpoint within the grace period")
		}
	}
	baseline.placeWaiting(now)
	return baseline.takePending()
}

// placeWaiting places the waiting jobs that fit. BaselineFIFO stops at the first job that does not fit.
// BaselinePriority evicts less urgent work for that job and continues with jobs of other shapes.
func (baseline *baseline) placeWaiting(now time.Time) {
	unplaceable := map[fleet.Shape]bool{}
	for _, entry := range slices.Clone(baseline.waiting) {
		shape := *entry.job.Profile.Shape
		if unplaceable[shape] {
			continue
		}
		if members := baseline.fit(shape, baseline.free); members != nil {
			baseline.place(entry, members)
			continue
		}
		if !baseline.byUrgency {
			return
		}
		if len(unplaceable) == 0 {
			baseline.preemptFor(now, entry)
		}
		unplaceable[shape] = true
	}
}

// takePending returns and clears the pending decisions.
func (baseline *baseline) takePending() []scheduler.Decision {
	decisions := baseline.pending
	baseline.pending = nil
	return decisions
}

// fit returns members for a shape, all in the first group of adjacent workers with enough free accelerators, or nil if
// there is no such group.
func (baseline *baseline) fit(shape fleet.Shape, free map[fleet.WorkerID]fleet.Accelerators) []scheduler.Member {
	members := map[string][]scheduler.Member{}
	for i := range baseline.workers {
		worker := &baseline.workers[i]
		if free[worker.ID] < shape.Accelerators || baseline.unusable[worker.ID] || worker.Leaving {
			continue
		}
		group := baseline.groups[i][shape.Adjacency]
		for left := free[worker.ID]; left >= shape.Accelerators; left -= shape.Accelerators {
			members[group] = append(members[group],
				scheduler.Member{Worker: worker.ID, Accelerators: shape.Accelerators})
			if len(members[group]) == shape.Members {
				return members[group]
			}
		}
	}
	return nil
}

func (baseline *baseline) place(entry *baselineJob, members []scheduler.Member) {
	baseline.waiting = removeJob(baseline.waiting, entry)
	baseline.placed = append(baseline.placed, entry)
	entry.members = members
	entry.attempt++
	entry.started = false
	for _, member := range members {
		baseline.free[member.Worker] -= member.Accelerators
	}
	baseline.pending = append(baseline.pending, scheduler.Place{
		Job: entry.job, Attempt: entry.attempt, Members: members, Resume: entry.checkpointed, Reason: "fits",
	})
}

// preemptFor evicts less urgent preemptible jobs, the most recently placed first, until the job fits. It evicts nothing
// if the job would not fit even then.
func (baseline *baseline) preemptFor(now time.Time, entry *baselineJob) {
	free := map[fleet.WorkerID]fleet.Accelerators{}
	for id, accelerators := range baseline.free {
		free[id] = accelerators
	}
	addFree := func(victim *baselineJob) {
		for _, member := range victim.members {
			free[member.Worker] += member.Accelerators
		}
	}
	for _, victim := range baseline.placed {
		if victim.evictRequested {
			addFree(victim)
		}
	}
	var victims []*baselineJob
	for _, victim := range slices.Backward(baseline.placed) {
		if baseline.fit(*entry.job.Profile.Shape, free) != nil {
			break
		}
		lessUrgent := victim.job.Profile.Urgency < entry.job.Profile.Urgency
		if lessUrgent && victim.started && !victim.evictRequested && victim.job.Profile.Preemptible() {
			addFree(victim)
			victims = append(victims, victim)
		}
	}
	if baseline.fit(*entry.job.Profile.Shape, free) == nil {
		return
	}
	for _, victim := range victims {
		baseline.evict(now, victim)
	}
}

// evict requests a checkpoint of the victim, or stops it if it cannot save one.
func (baseline *baseline) evict(now time.Time, victim *baselineJob) {
	if !victim.job.Profile.Checkpoint {
		baseline.stop(victim, "preempted by more urgent work")
		return
	}
	victim.evictRequested = true
	victim.graceEnd = now.Add(baselineCheckpointGrace)
	baseline.pending = append(baseline.pending, scheduler.Evict{
		Key: victim.job.Key, Attempt: victim.attempt, Step: scheduler.EvictCheckpoint,
		Reason: "preempted by more urgent work",
	})
}

// NextWake returns the end of the earliest checkpoint grace period, or zero if there is none.
func (baseline *baseline) NextWake() time.Time {
	var wake time.Time
	for _, entry := range baseline.placed {
		if entry.evictRequested && !entry.graceEnd.IsZero() && (wake.IsZero() || entry.graceEnd.Before(wake)) {
			wake = entry.graceEnd
		}
	}
	return wake
}

// Admit accepts every job.
func (baseline *baseline) Admit(time.Time, scheduler.Job) *fault.Error { return nil }

// Explain returns nothing, since baselines give no explanations.
func (baseline *baseline) Explain(fleet.JobKey) []string { return nil }

// ExplainOrganisation returns nothing, since baselines give no explanations.
func (baseline *baseline) ExplainOrganisation(fleet.OrganisationID) []string { return nil }

// EvacuatedWork returns nothing, since baselines know no evacuations.
func (baseline *baseline) EvacuatedWork(time.Time) []scheduler.EvacuatedWork { return nil }

// Dump returns the sizes of the queues.
func (baseline *baseline) Dump() any {
	return map[string]int{"waiting": len(baseline.waiting), "placed": len(baseline.placed)}
}
