package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Admit tells whether a job could be taken now, without taking it.
func (core *Core) Admit(_ time.Time, job Job) *fault.Error {
	if _, known := core.jobs[job.Key]; known {
		return nil
	}
	return core.refusal(job)
}

// refusal returns why a job is not taken; nil if it is.
func (core *Core) refusal(job Job) *fault.Error {
	if refusal := core.infeasible(job); refusal != nil {
		return refusal
	}
	owner := core.organisation(job.Key.Organisation)
	bound := core.settings.MaxWaiting
	if owner.config != nil && owner.config.MaxWaiting > 0 {
		bound = owner.config.MaxWaiting
	}
	if owner.queue.freshTotal >= bound {
		return fault.New(fault.QueueFull, "organisation %s has %d waiting jobs, its bound", owner.id, bound).
			WithRetryAfter(core.settings.RetryAfter)
	}
	limit := job.Profile.Limits.MaxWaiting
	if limit > 0 && owner.queue.fresh[job.Profile.Name] >= limit {
		return fault.New(fault.QueueFull, "profile %s has %d waiting jobs, its bound", job.Profile.Name, limit).
			WithRetryAfter(core.settings.RetryAfter)
	}
	return nil
}

// infeasible returns why a job can never run on this fleet under this configuration; nil if it can, or if
// either is not known yet.
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
	question := feasibility{owner.tenant, *shape, job.Profile.Preemptible()}
	if question.preemptible {
		question.tenant = anyTenant
	}
	if core.fitsSometime(question) {
		return nil
	}
	if question.preemptible {
		return fault.New(fault.Infeasible, "%s does not fit on the fleet", shape)
	}
	return fault.New(fault.Infeasible,
		"%s does not fit in the organisation's guarantees and outside other guarantees", shape)
}

// anyTenant stands for the organisation in questions whose answer does not depend on it.
const anyTenant = -1

// feasibility is a question whether a gang could run if nothing else did.
type feasibility struct {
	tenant      int
	shape       fleet.Shape
	preemptible bool
}

// fitsSometime answers from the cells and workers alone. Lost and quarantined workers count, since they may
// come back.
func (core *Core) fitsSometime(question feasibility) bool {
	if answer, known := core.feasible[question]; known {
		return answer
	}
	answer := core.fitsEmpty(question) || !question.preemptible && core.fitsPristine(question)
	core.feasible[question] = answer
	return answer
}

// fitsEmpty answers from where the cells are now.
func (core *Core) fitsEmpty(question feasibility) bool {
	for _, zone := range core.zones {
		if core.assemble(question.shape, core.emptyCandidates(zone, question)) != nil {
			return true
		}
	}
	return false
}

// fitsPristine answers from where a new packing of the whole fleet has the cells. Cells that moved for a
// while make no job infeasible.
func (core *Core) fitsPristine(question feasibility) bool {
	if core.pristine == nil {
		var listed []fleet.Worker
		for _, zone := range core.zones {
			for _, machine := range zone.workers {
				if machine != nil {
					listed = append(listed, machine.Worker)
				}
			}
		}
		core.pristine = packer(core.config, listed, packRounds)
	}
	if question.tenant != anyTenant {
		question.tenant = core.pristine.organisation(core.organisations[question.tenant].id).tenant
	}
	return core.pristine.fitsEmpty(question)
}

// emptyCandidates lists the workers of a data centre as if nothing ran.
func (core *Core) emptyCandidates(zone *zone, question feasibility) []candidate {
	unit := resourcesOf(question.shape)
	var candidates []candidate
	for _, machine := range zone.workers {
		core.steps++
		if machine == nil || machine.Leaving {
			continue
		}
		room := machine.capacity
		if !question.preemptible {
			room = machine.emptyRoom(question.tenant)
		}
		if slots := room.quotient(unit); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	return candidates
}

// emptyRoom returns what the cells of other tenants leave of an empty worker.
func (worker *worker) emptyRoom(tenant int) resources {
	room := worker.capacity
	for _, share := range worker.shares {
		if share.tenant != tenant {
			room = room.minus(share.cell)
		}
	}
	return room
}

// checkFeasibility ends the waiting jobs that a change of fleet or configuration made infeasible.
func (core *Core) checkFeasibility() {
	if !core.recheck || !core.ready() {
		return
	}
	core.recheck = false
	core.pristine = nil
	clear(core.feasible)
	for _, owner := range core.organisations {
		owner.queue.sweep()
		for _, group := range owner.queue.ordered {
			refusal := core.infeasible(group.head().job)
			for refusal != nil && group.jobs.Len() > 0 {
				job := group.head()
				core.dequeue(job)
				core.finish(job, job.refusalVerdict(), refusal.Kind, refusal.Reason)
			}
		}
	}
}
