package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// claim is capacity reserved on workers for a unit. The unit waits until the preempted runs on these workers have
// stopped.
type claim struct {
	places []fleet.WorkerID
	each   workload.Resources
}

// candidate is a unit that is ready to start.
type candidate struct {
	job          *job
	unit         progress.Unit
	waitingSince time.Time
	// remaining is the declared run time of the critical path from the unit's step on.
	remaining time.Duration
	// overdue is set for a unit of tasks that last and have waited for too long. It may start far from its data and in the
	// headroom.
	overdue bool
}

// lateness classifies a candidate's job by the completion time that it can still reach.
type lateness int

// The values of lateness, in the order of preference.
const (
	// onTime jobs can still be completed within the objective, the completion time that their callers aim for.
	onTime lateness = iota
	// late jobs can be completed within lateFactor times the objective.
	late
	// tooLate jobs run only when no other job waits.
	tooLate
)

// lateFactor times the objective is the latest completion that is still useful to callers.
const lateFactor = 3

// lateness predicts the completion of the job from declared run times, as if the unit started now, and compares it with
// the objective. A task that lasts has no completion: how long ago its job was accepted says nothing.
func (candidate candidate) lateness(now time.Time) lateness {
	if candidate.step().LongRunning {
		return onTime
	}
	job := candidate.job
	objective := job.policy.Objective(job.criticalPath)
	completion := now.Add(candidate.remaining).Sub(candidate.waitingSince)
	switch {
	case completion <= objective:
		return onTime
	case completion <= lateFactor*objective:
		return late
	}
	return tooLate
}

// rank returns the rank of a candidate; a plan considers candidates with lower ranks first. The rank of a job that is
// on time is its priority. A late job ranks with the jobs of the next lower priority, and a job that is too late ranks
// last.
func (candidate candidate) rank(now time.Time) int {
	lateness := candidate.lateness(now)
	if lateness == tooLate {
		return lastRank
	}
	return int(candidate.job.policy.Priority) + int(lateness)
}

// lastRank is higher than the rank of every priority.
const lastRank = 1 << 20

func (candidate candidate) step() workload.Step { return candidate.job.Steps[candidate.unit.Step] }

// failures returns the number of failed runs of the unit.
func (candidate candidate) failures() int {
	if task := candidate.job.record.Task(candidate.key()); task != nil {
		return task.Failures
	}
	return 0
}

// key identifies the unit by the id of its first task.
func (candidate candidate) key() workload.TaskID {
	return workload.TaskID{
		Job: candidate.job.ID, Occurrence: candidate.unit.Occurrence, Step: candidate.unit.Step,
		Index: candidate.unit.Tasks[0],
	}
}

// plan decides which waiting units start, in the order of rank and deadline. Units that do not fit may preempt runs or
// have capacity withheld for them; see startOrClaim.
func (loop *dispatcher) plan() {
	loop.updatePolicies()
	loop.dropEndedAdvice()
	groups := loop.waitingGroups()
	loop.dropClaims()
	leaving := loop.leavingUnits()
	if len(groups) == 0 && len(leaving) == 0 || !loop.mayStart() {
		return
	}
	planner := newPlanner(loop)
	planner.beginApart(groups)
	now := time.Now()
	for i := range groups {
		planner.rank(&groups[i], now)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
		)
	})
	for _, group := range groups {
		planner.startGroup(group)
	}
	planner.moveLeaving(leaving)
}

const (
	// guaranteedRank is the rank of urgent jobs within their organisation's guarantee. It is lower than every other rank.
	guaranteedRank = -2
	// restartRank is the rank of tasks that last and have to start again soon.
	restartRank = -1
)

func (planner *planner) rank(group *group, now time.Time) {
	group.deadline, group.overdue = group.job.deadline(), planner.waitsTooLong(group)
	if group.job.policy.Priority == workload.Urgent && planner.withinGuarantee(group.job) {
		group.rank = guaranteedRank
		return
	}
	if planner.restartOverdue(group) {
		group.rank = restartRank
		return
	}
	group.rank = group.candidate(group.first).rank(now)
}

// updatePolicies sets the policies of open jobs from the configuration in force.
func (loop *dispatcher) updatePolicies() {
	catalog := loop.Catalog()
	if catalog == nil {
		return
	}
	for _, job := range loop.openJobs {
		if profile, ok := catalog.Profile(job.Profile); ok {
			job.policy = profile.JobPolicy
		}
	}
}

// dropClaims frees the capacity claimed for units that no longer wait, or on workers that are no longer usable or have
// become too small.
func (loop *dispatcher) dropClaims() {
	loop.forgetWithheld()
	for key, claim := range loop.claims {
		lost := slices.ContainsFunc(claim.places, func(id fleet.WorkerID) bool {
			worker := loop.workers[id]
			return worker == nil || !worker.usable(loop.clock()) || worker.overclaimed()
		})
		if lost || !loop.waits(key) {
			loop.dropClaim(key)
		}
	}
}

func (loop *dispatcher) dropClaim(key workload.TaskID) {
	claim := loop.claims[key]
	for _, id := range claim.places {
		if worker := loop.workers[id]; worker != nil {
			worker.reserved = worker.reserved.Sub(claim.each)
		}
	}
	delete(loop.claims, key)
}

// place records the placement of a unit and sends its start orders once the record is stored. It returns the runs.
func (loop *dispatcher) place(candidate candidate, places []fleet.WorkerID) []*run {
	if loop.rehearsal != nil {
		return loop.rehearsal.place(candidate, places)
	}
	job, unit, step := candidate.job, candidate.unit, candidate.step()
	locations := make([]progress.Location, len(places))
	for i, id := range places {
		locations[i] = loop.workers[id].location(loop.term.Token)
	}
	number := job.record.Place(job.Job, unit, locations)
	tasks := job.record.Tasks(unit.Occurrence, unit.Step)
	crossRack := loop.crossRack(step, places)
	loop.markDirty(job)
	runs := make([]*run, len(unit.Tasks))
	together := &unitRuns{
		workers: distinct(places), unconfirmed: len(places), resumed: tasks[unit.Tasks[0]].Checkpoint != "",
		factor: loop.slowestFactor(job.policy.Service, places),
	}
	for i, index := range unit.Tasks {
		known := loop.workers[places[i]]
		placed := &run{
			task:   workload.TaskID{Job: job.ID, Occurrence: unit.Occurrence, Step: unit.Step, Index: index},
			number: number, job: job, link: known.link, need: step.Need(), startedAt: loop.clock(),
			crossRack: crossRack, share: fullShare, unit: together,
		}
		known.add(placed)
		runs[i] = placed
		order := StartOrder{
			Task: placed.task, Run: number, Payload: job.Payload, Checkpoint: tasks[index].Checkpoint,
			Ticket: loop.advice.ticket(candidate.stepID(), known, loop.clock()),
		}
		job.onStored = append(job.onStored, func() { loop.sendStart(placed, order) })
		known.updateLink()
	}
	loop.noteKind(job, unit.Step, places)
	loop.Logger.Info("unit placed", "job", string(job.ID), "occurrence", unit.Occurrence, "step", unit.Step,
		"tasks", len(places), "run", int(number), "workers", distinct(places), "gang", step.Gang,
		"priority", int(job.policy.Priority), "waited_ms", time.Since(candidate.waitingSince).Milliseconds())
	return runs
}

func distinct(places []fleet.WorkerID) []fleet.WorkerID {
	return slices.Compact(slices.Sorted(slices.Values(places)))
}
