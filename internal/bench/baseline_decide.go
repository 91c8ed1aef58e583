package bench

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Decide returns what is to be done now.
func (baseline *baseline) Decide(now time.Time) []scheduler.Decision {
	for _, entry := range slices.Clone(baseline.placed) {
		if entry.evicted && !entry.stopAt.IsZero() && !now.Before(entry.stopAt) {
			entry.stopAt = time.Time{}
			baseline.stop(entry, "checkpoint request ignored")
		}
	}
	baseline.placeWaiting(now)
	return baseline.take()
}

// placeWaiting places what fits. With strict priority it makes room for the first job that does not fit.
func (baseline *baseline) placeWaiting(now time.Time) {
	full := map[fleet.Shape]bool{}
	for _, entry := range slices.Clone(baseline.waiting) {
		shape := *entry.job.Profile.Shape
		if full[shape] {
			continue
		}
		if members := baseline.fit(shape, baseline.free); members != nil {
			baseline.place(entry, members)
			continue
		}
		if !baseline.byUrgency {
			return
		}
		if len(full) == 0 {
			baseline.makeRoom(now, entry)
		}
		full[shape] = true
	}
}

func (baseline *baseline) take() []scheduler.Decision {
	decisions := baseline.pending
	baseline.pending = nil
	return decisions
}

// fit returns the first members that fit into the free accelerators, or nil.
func (baseline *baseline) fit(shape fleet.Shape, free map[fleet.WorkerID]fleet.Accelerators) []scheduler.Member {
	found := map[string][]scheduler.Member{}
	for i := range baseline.workers {
		worker := &baseline.workers[i]
		if free[worker.ID] < shape.Accelerators || baseline.unusable[worker.ID] || worker.Leaving {
			continue
		}
		group := baseline.groups[i][shape.Adjacency]
		for left := free[worker.ID]; left >= shape.Accelerators; left -= shape.Accelerators {
			found[group] = append(found[group], scheduler.Member{Worker: worker.ID, Accelerators: shape.Accelerators})
			if len(found[group]) == shape.Members {
				return found[group]
			}
		}
	}
	return nil
}

func (baseline *baseline) place(entry *baselineJob, members []scheduler.Member) {
	baseline.waiting = remove(baseline.waiting, entry)
	baseline.placed = append(baseline.placed, entry)
	entry.members = members
	entry.attempt++
	entry.started = false
	for _, member := range members {
		baseline.free[member.Worker] -= member.Accelerators
	}
	baseline.pending = append(baseline.pending, scheduler.Place{
		Job: entry.job, Attempt: entry.attempt, Members: members, Resume: entry.saved, Reason: "fits",
	})
}

// makeRoom asks less urgent preemptible work to end, the latest first, until the job would fit.
func (baseline *baseline) makeRoom(now time.Time, entry *baselineJob) {
	free := map[fleet.WorkerID]fleet.Accelerators{}
	for id, accelerators := range baseline.free {
		free[id] = accelerators
	}
	give := func(victim *baselineJob) {
		for _, member := range victim.members {
			free[member.Worker] += member.Accelerators
		}
	}
	for _, victim := range baseline.placed {
		if victim.evicted {
			give(victim)
		}
	}
	var victims []*baselineJob
	for _, victim := range slices.Backward(baseline.placed) {
		if baseline.fit(*entry.job.Profile.Shape, free) != nil {
			break
		}
		lessUrgent := victim.job.Profile.Urgency < entry.job.Profile.Urgency
		if lessUrgent && victim.started && !victim.evicted && victim.job.Profile.Preemptible() {
			give(victim)
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

func (baseline *baseline) evict(now time.Time, victim *baselineJob) {
	if !victim.job.Profile.Checkpoint {
		baseline.stop(victim, "displaced by more urgent work")
		return
	}
	victim.evicted = true
	victim.stopAt = now.Add(baselineGrace)
	baseline.pending = append(baseline.pending, scheduler.Evict{
		Key: victim.job.Key, Attempt: victim.attempt, Step: scheduler.EvictCheckpoint, Reason: "displaced by more urgent work",
	})
}

// NextWake returns when the earliest grace period ends; zero is never.
func (baseline *baseline) NextWake() time.Time {
	var wake time.Time
	for _, entry := range baseline.placed {
		if entry.evicted && !entry.stopAt.IsZero() && (wake.IsZero() || entry.stopAt.Before(wake)) {
			wake = entry.stopAt
		}
	}
	return wake
}

// Admit takes every job.
func (baseline *baseline) Admit(time.Time, scheduler.Job) *fault.Error { return nil }

// Explain gives no reasons.
func (baseline *baseline) Explain(fleet.JobKey) []string { return nil }

// ExplainOrganisation gives no reasons.
func (baseline *baseline) ExplainOrganisation(fleet.OrganisationID) []string { return nil }

// Dump returns the sizes of the queues.
func (baseline *baseline) Dump() any {
	return map[string]int{"waiting": len(baseline.waiting), "placed": len(baseline.placed)}
}
