package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Admit checks whether a job would be accepted now, without adding it. It returns nil or the reason for a refusal.
func (core *Core) Admit(_ time.Time, job Job) *fault.Error {
	if _, known := core.jobs[job.Key]; known {
		return nil
	}
	return core.refusal(job)
}

// refusal returns the reason for which a job is refused: it is infeasible or a queue is full. It returns nil if the job
// is accepted.
func (core *Core) refusal(job Job) *fault.Error {
	if refusal := core.infeasible(job); refusal != nil {
		return refusal
	}
	owner := core.organisation(job.Key.Organisation)
	organisationLimit := core.settings.MaxWaiting
	if owner.config != nil && owner.config.MaxWaiting > 0 {
		organisationLimit = owner.config.MaxWaiting
	}
	if owner.queue.notStartedTotal >= organisationLimit {
		return fault.New(fault.QueueFull,
			"organisation %s has %d waiting jobs, which is its limit", owner.id, organisationLimit).
			WithRetryAfter(core.settings.RetryAfter)
	}
	profileLimit := job.Profile.Limits.MaxWaiting
	if profileLimit > 0 && owner.queue.notStarted[job.Profile.Name] >= profileLimit {
		return fault.New(fault.QueueFull,
			"profile %s has %d waiting jobs, which is its limit", job.Profile.Name, profileLimit).
			WithRetryAfter(core.settings.RetryAfter)
	}
	return nil
}

// infeasible returns the reason for which a job can never run on this fleet under this configuration. It returns nil
// if the job can run, or if the fleet or the configuration has not been received yet.
func (core *Core) infeasible(job Job) *fault.Error {
	shape := job.Profile.Shape
	if shape == nil {
		return fault.New(fault.InvalidArgument, "profile %s has no shape", job.Profile.Name)
	}
	if shape.Members < 1 || shape.Accelerators < 1 {
		return fault.New(fault.Infeasible, "a shape needs at least one member and one accelerator")
	}
	if !core.ready() {
		return nil
	}
	document, known := core.config.Organisations[job.Key.Organisation]
	if !known {
		return fault.New(fault.UnknownProfile, "organisation %s is not configured", job.Key.Organisation)
	}
	if document.Quota > 0 && shape.Total() > document.Quota {
		return fault.New(fault.Infeasible, "%s exceeds the quota of %d accelerators", shape, document.Quota)
	}
	owner := core.organisation(job.Key.Organisation)
	query := feasibilityQuery{owner.index, *shape, job.Profile.Preemptible()}
	if query.preemptible {
		query.organisationIndex = anyOrganisation
	}
	if core.couldEverFit(query) {
		return nil
	}
	if query.preemptible {
		return fault.New(fault.Infeasible, "%s does not fit on the fleet", shape)
	}
	return fault.New(fault.Infeasible,
		"%s does not fit in the organisation's guarantees and the accelerators outside all guarantees", shape)
}

// anyOrganisation replaces the index of the organisation in a feasibilityQuery for a preemptible job, whose result does
// not depend on the organisation.
const anyOrganisation = -1

// feasibilityQuery identifies a check of whether a gang could run if nothing else ran.
type feasibilityQuery struct {
	organisationIndex int
	shape             fleet.Shape
	preemptible       bool
}

// couldEverFit reports whether a gang could run on the fleet if no other work ran. Lost and quarantined workers are
// taken as usable, since they may return.
func (core *Core) couldEverFit(query feasibilityQuery) bool {
	if feasible, known := core.feasibilityCache[query]; known {
		return feasible
	}
	feasible := core.fitsEmpty(query) || !query.preemptible && core.fitsFreshPacking(query)
	core.feasibilityCache[query] = feasible
	return feasible
}

// fitsEmpty reports whether a gang could run if nothing else ran and the cells stayed where they are bound now.
func (core *Core) fitsEmpty(query feasibilityQuery) bool {
	for _, zone := range core.zones {
		if core.assemble(query.shape, core.emptyCandidates(zone, query)) != nil {
			return true
		}
	}
	return false
}

// fitsFreshPacking reports whether a gang could run if no other work ran and all cells were packed anew. A cell that
// was moved for a time therefore makes no job infeasible.
func (core *Core) fitsFreshPacking(query feasibilityQuery) bool {
	if core.freshPacking == nil {
		var listed []fleet.Worker
		for _, zone := range core.zones {
			for _, machine := range zone.workers {
				if machine != nil {
					listed = append(listed, machine.Worker)
				}
			}
		}
		core.freshPacking = newPackedCore(core.config, listed, packRounds)
	}
	if query.organisationIndex != anyOrganisation {
		query.organisationIndex = core.freshPacking.organisation(core.organisations[query.organisationIndex].id).index
	}
	return core.freshPacking.fitsEmpty(query)
}

// emptyCandidates lists the workers of a data centre that could hold members if no work ran on them.
func (core *Core) emptyCandidates(zone *zone, query feasibilityQuery) []candidate {
	perMember := resourcesOf(query.shape)
	var candidates []candidate
	for _, machine := range zone.workers {
		core.steps++
		if machine == nil || machine.Leaving {
			continue
		}
		capacity := machine.capacity
		if !query.preemptible {
			capacity = machine.emptyCapacity(query.organisationIndex)
		}
		if slots := capacity.quotient(perMember); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	return candidates
}

// emptyCapacity returns the capacity of the worker outside the cells of other organisations.
func (worker *worker) emptyCapacity(organisationIndex int) resources {
	capacity := worker.capacity
	for _, share := range worker.shares {
		if share.organisationIndex != organisationIndex {
			capacity = capacity.minus(share.cell)
		}
	}
	return capacity
}

// endInfeasibleJobs ends the waiting jobs that a change of the fleet or the configuration made infeasible.
func (core *Core) endInfeasibleJobs() {
	if !core.recheckFeasibility || !core.ready() {
		return
	}
	core.recheckFeasibility = false
	core.freshPacking = nil
	clear(core.feasibilityCache)
	for _, owner := range core.organisations {
		owner.queue.removeEmptyGroups()
		for _, group := range owner.queue.ordered {
			refusal := core.infeasible(group.head().spec)
			for refusal != nil && group.jobs.Len() > 0 {
				job := group.head()
				core.dequeue(job)
				core.finish(job, job.refusalVerdict(), refusal.Kind, refusal.Reason)
			}
		}
	}
}
