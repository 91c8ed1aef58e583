package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// claim is room that a unit waits for while others stop there.
type claim struct {
	places []fleet.WorkerID
	need   workload.Resources
}

// demand is a unit that could start now.
type demand struct {
	job   *job
	unit  progress.Unit
	since time.Time
}

// outlook is what a demand's job can still reach.
type outlook int

// The outlooks, the best first.
const (
	// inTime jobs can still be completed within their callers' objective.
	inTime outlook = iota
	// late jobs can be completed within lateFactor times the objective.
	late
	// tooLate jobs are completed only when nothing else waits.
	tooLate
)

// lateFactor times the objective is how long a completion is still of use to callers.
const lateFactor = 3

// outlook tells what the job can reach if the unit starts now and declared run times hold.
func (demand demand) outlook(now time.Time) outlook {
	job := demand.job
	left := job.remaining(demand.unit.Occurrence, demand.unit.Step)
	objective := time.Duration(job.terms.Stretch*float64(job.CriticalPath())) + job.terms.CompletionOffset
	reached := now.Add(left).Sub(demand.since)
	switch {
	case reached <= objective:
		return inTime
	case reached <= lateFactor*objective:
		return late
	}
	return tooLate
}

// rank orders demands: what is of no use any more comes last, and what is late stands back by one priority.
func (demand demand) rank(now time.Time) int {
	seen := demand.outlook(now)
	if seen == tooLate {
		return lastRank
	}
	return int(demand.job.terms.Priority) + int(seen)
}

// lastRank comes after every priority.
const lastRank = 1 << 20

func (demand demand) step() workload.Step { return demand.job.Steps[demand.unit.Step] }

// key identifies the unit by the first of its tasks.
func (demand demand) key() workload.TaskID {
	return workload.TaskID{
		Job: demand.job.ID, Occurrence: demand.unit.Occurrence, Step: demand.unit.Step, Index: demand.unit.Tasks[0],
	}
}

// plan starts every unit that fits, the most urgent first.
func (loop *dispatcher) plan() {
	loop.updateTerms()
	loop.forgetEnded()
	groups := loop.waitingGroups()
	loop.dropClaims(groups)
	if len(groups) == 0 {
		return
	}
	planner := newPlanner(loop)
	now := time.Now()
	for i := range groups {
		planner.rank(&groups[i], now)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.units[0].Occurrence, b.units[0].Occurrence),
			cmp.Compare(a.units[0].Step, b.units[0].Step),
		)
	})
	for _, group := range groups {
		planner.tryGroup(group)
	}
}

// group is the units of one step of one occurrence that could start now, at least one, with what orders them.
type group struct {
	job      *job
	units    []progress.Unit
	since    time.Time
	rank     int
	deadline time.Time
}

// demand returns the demand of one unit of the group.
func (group group) demand(unit progress.Unit) demand {
	return demand{job: group.job, unit: unit, since: group.since}
}

// guaranteedRank is that of urgent work within its organisation's guarantee, which comes first.
const guaranteedRank = -1

func (planner *planner) rank(group *group, now time.Time) {
	group.deadline = group.job.deadline()
	if group.job.terms.Priority == workload.Urgent && planner.guaranteed(group.job) {
		group.rank = guaranteedRank
		return
	}
	group.rank = group.demand(group.units[0]).rank(now)
}

// updateTerms gives open jobs the terms of the configuration in force.
func (loop *dispatcher) updateTerms() {
	catalog := loop.Catalog()
	if catalog == nil {
		return
	}
	for _, job := range loop.open {
		if profile, ok := catalog.Profile(job.Profile); ok {
			job.terms = profile.JobPolicy
		}
	}
}

// waitingGroups lists the units whose turn has come.
func (loop *dispatcher) waitingGroups() []group {
	var found []group
	now := time.Now()
	for id, job := range loop.open {
		if !job.open() {
			delete(loop.open, id)
			continue
		}
		for k := range job.record.Occurrences {
			due := job.Schedule.Due(k)
			if due.After(now) {
				break
			}
			since := job.Accepted
			if due.After(since) {
				since = due
			}
			for s := range job.Steps {
				if !job.record.Ready(job.Job, k, s) {
					continue
				}
				if units := job.record.Units(job.Job, k, s); len(units) > 0 {
					found = append(found, group{job: job, units: units, since: since})
				}
			}
		}
	}
	return found
}

// dropClaims frees room that was kept for units that no longer wait, or on workers that take nothing any more.
func (loop *dispatcher) dropClaims(groups []group) {
	if len(loop.claims) == 0 {
		return
	}
	waiting := map[workload.TaskID]bool{}
	for _, group := range groups {
		for _, unit := range group.units {
			waiting[group.demand(unit).key()] = true
		}
	}
	for key, claim := range loop.claims {
		lost := slices.ContainsFunc(claim.places, func(id fleet.WorkerID) bool {
			worker := loop.workers[id]
			return worker == nil || !worker.usable(loop.clock())
		})
		if !waiting[key] || lost {
			loop.dropClaim(key)
		}
	}
}

func (loop *dispatcher) dropClaim(key workload.TaskID) {
	claim := loop.claims[key]
	for _, id := range claim.places {
		if worker := loop.workers[id]; worker != nil {
			worker.reserved = worker.reserved.Sub(claim.need)
		}
	}
	delete(loop.claims, key)
}

// place records the placement of a unit and starts it once the record is stored.
func (loop *dispatcher) place(demand demand, places []fleet.WorkerID) {
	job, unit, step := demand.job, demand.unit, demand.step()
	locations := make([]progress.Location, len(places))
	for i, id := range places {
		locations[i] = loop.workers[id].entry.location()
	}
	tasks := job.record.Occurrences[unit.Occurrence].Steps[unit.Step].Tasks
	number := job.record.Place(unit, locations)
	far := loop.far(step, places)
	loop.markDirty(job)
	for i, index := range unit.Tasks {
		known := loop.workers[places[i]]
		placed := &run{
			task:   workload.TaskID{Job: job.ID, Occurrence: unit.Occurrence, Step: unit.Step, Index: index},
			number: number, job: job, link: known.link, need: step.Need(), since: loop.clock(), far: far,
			share: fullShare,
		}
		known.add(placed)
		order := StartOrder{
			Task: placed.task, Run: number, Payload: job.Payload, Checkpoint: tasks[index].Checkpoint,
			Ticket: loop.advice.ticket(demand.stepID(), known, loop.clock()),
		}
		job.after = append(job.after, func() { loop.sendStart(placed, order) })
		known.updateLink()
	}
	loop.Logger.Info("unit placed", "job", string(job.ID), "occurrence", unit.Occurrence, "step", unit.Step,
		"tasks", len(places), "run", int(number), "workers", distinct(places), "gang", step.Gang,
		"priority", int(job.terms.Priority), "waited_ms", time.Since(demand.since).Milliseconds())
}

func distinct(places []fleet.WorkerID) []fleet.WorkerID {
	return slices.Compact(slices.Sorted(slices.Values(places)))
}
