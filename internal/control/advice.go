package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Ticket proves to a worker that it may run a step.
type Ticket string

// Adviser knows which workers may run a step whose profile is under advice.
type Adviser interface {
	// Advise tells which of the workers may run the step. It answers one call at a time.
	Advise(ctx context.Context, step workload.StepID, workers []fleet.WorkerID) (Tickets, error)
}

// Tickets are an adviser's answer.
type Tickets struct {
	// ByWorker has a ticket for each worker that may run the step.
	ByWorker map[fleet.WorkerID]Ticket
	// Validity is how long they hold; 0 is as long as the profile says.
	Validity time.Duration
}

const (
	// adviceBatch is how many workers one call names, since each of them makes the answer later.
	adviceBatch = 16
	// adviceSlack is how long before its end a ticket is not used any more: the start still has to be stored and sent.
	adviceSlack = 500 * time.Millisecond
	// adviceTimeout bounds a call beyond the time that the adviser needs.
	adviceTimeout = time.Second
	// adviceRetry separates calls after one that failed.
	adviceRetry = 250 * time.Millisecond
)

// permit is what the adviser said of one life of a worker.
type permit struct {
	incarnation progress.Incarnation
	// ticket is empty for a worker that may not run the step.
	ticket Ticket
	// until is when the ticket is not used any more.
	until time.Duration
}

// advice holds what is known of the steps under advice. Only one call is on its way at a time.
type advice struct {
	permits map[workload.StepID]map[fleet.WorkerID]permit
	asking  bool
	// retryFrom is the earliest time of the next call.
	retryFrom time.Duration
}

// known returns what the adviser said of a worker for a step, as long as it holds. Which workers may run a step does
// not change, so a refusal holds for all lives of the worker.
func (advice *advice) known(step workload.StepID, worker *worker, now time.Duration) (permit, bool) {
	permit, ok := advice.permits[step][worker.entry.ID]
	if !ok || permit.ticket == "" {
		return permit, ok
	}
	return permit, permit.incarnation == worker.entry.Incarnation && now < permit.until
}

// ticket returns the ticket of a worker for a step; empty if there is none that holds.
func (advice *advice) ticket(step workload.StepID, worker *worker, now time.Duration) Ticket {
	permit, ok := advice.known(step, worker, now)
	if !ok {
		return ""
	}
	return permit.ticket
}

// forget drops a ticket that a worker has refused.
func (advice *advice) forget(step workload.StepID, id fleet.WorkerID) {
	delete(advice.permits[step], id)
}

// forgetEnded drops what is known of jobs that have ended.
func (loop *dispatcher) forgetEnded() {
	maps.DeleteFunc(loop.advice.permits, func(step workload.StepID, _ map[fleet.WorkerID]permit) bool {
		return loop.open[step.Job] == nil
	})
}

// stepID names the step of a unit.
func (demand demand) stepID() workload.StepID { return demand.key().StepID() }

func (demand demand) advised() bool { return demand.job.terms.Advice.Validity > 0 }

// permitted returns the workers that may run the demand, as far as that is known.
func (planner *planner) permitted(workers []*placement.Worker, demand demand) []*placement.Worker {
	if !demand.advised() {
		return workers
	}
	loop, step := planner.loop, demand.stepID()
	return slices.DeleteFunc(slices.Clone(workers), func(worker *placement.Worker) bool {
		return loop.advice.ticket(step, loop.workers[worker.ID], planner.now) == ""
	})
}

// awaitsAdvice reports whether the demand waits for the adviser, and asks it if that may help: while the workers that
// may run the demand have no room and others have, or while there are too few of them even when they are empty.
func (planner *planner) awaitsAdvice(service *rooms, wanted placement.Demand, demand demand) bool {
	if !demand.advised() || planner.loop.Adviser == nil {
		return false
	}
	allowed := planner.eligible(service.all, demand)
	if placement.Fits(allowed, wanted, placement.FreeCapacity, true) {
		return false
	}
	unknown := planner.unknown(service, wanted, demand)
	if placement.Fits(allowed, wanted, placement.TotalCapacity, true) {
		unknown = slices.DeleteFunc(unknown, func(worker *placement.Worker) bool {
			return !worker.Free.Fits(wanted.Each)
		})
	}
	if len(unknown) == 0 {
		return false
	}
	planner.loop.ask(demand, unknown[:min(len(unknown), adviceBatch)])
	return true
}

// unknown returns the workers of which the adviser has not spoken and that could hold a task: the racks with the most
// room for the demand first, and there the workers with the most room.
func (planner *planner) unknown(service *rooms, wanted placement.Demand, demand demand) []*placement.Worker {
	loop, step, single := planner.loop, demand.stepID(), wanted
	single.Tasks = 1
	var found []*placement.Worker
	byRack := map[fleet.RackID]int{}
	for _, worker := range service.all {
		_, known := loop.advice.known(step, loop.workers[worker.ID], planner.now)
		if !known && placement.Fits([]*placement.Worker{worker}, single, placement.TotalCapacity, false) {
			found = append(found, worker)
			byRack[worker.Rack] += worker.Free.Count(wanted.Each)
		}
	}
	nearData := func(worker *placement.Worker) int {
		if wanted.DataRack != "" && worker.Rack != wanted.DataRack {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(found, func(a, b *placement.Worker) int {
		return cmp.Or(
			cmp.Compare(nearData(a), nearData(b)),
			cmp.Compare(byRack[b.Rack], byRack[a.Rack]),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(b.Free.Count(wanted.Each), a.Free.Count(wanted.Each)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return found
}

// ask asks the adviser about workers, unless a call is on its way or one has just failed.
func (loop *dispatcher) ask(demand demand, about []*placement.Worker) {
	now := loop.clock()
	if loop.advice.asking || now < loop.advice.retryFrom {
		return
	}
	loop.advice.asking = true
	step, terms := demand.stepID(), demand.job.terms.Advice
	lives := make(map[fleet.WorkerID]progress.Incarnation, len(about))
	ids := make([]fleet.WorkerID, len(about))
	for i, worker := range about {
		ids[i], lives[worker.ID] = worker.ID, loop.workers[worker.ID].entry.Incarnation
	}
	loop.group.Go(func() error {
		limit := terms.DecisionTime + time.Duration(len(ids))*terms.TimePerWorker + adviceTimeout
		ctx, cancel := context.WithTimeout(loop.ctx, limit)
		defer cancel()
		tickets, err := loop.Adviser.Advise(ctx, step, ids)
		until := now + cmp.Or(tickets.Validity, terms.Validity) - adviceSlack
		loop.post(func(loop *dispatcher) { loop.takeAdvice(step, lives, tickets.ByWorker, until, err) })
		return nil
	})
}

// takeAdvice takes the adviser's answer. Tickets are counted from the time of the question, which is before they began.
func (loop *dispatcher) takeAdvice(
	step workload.StepID, lives map[fleet.WorkerID]progress.Incarnation, tickets map[fleet.WorkerID]Ticket,
	until time.Duration, err error,
) {
	loop.advice.asking, loop.changed = false, true
	if err != nil {
		loop.advice.retryFrom = loop.clock() + adviceRetry
		loop.Logger.Warn("no advice", "job", string(step.Job), "step", step.Step, "workers", len(lives), "error", err.Error())
		return
	}
	known := loop.advice.permits[step]
	if known == nil {
		known = map[fleet.WorkerID]permit{}
		loop.advice.permits[step] = known
	}
	for id, life := range lives {
		known[id] = permit{incarnation: life, ticket: tickets[id], until: until}
	}
	loop.Logger.Info("advice received", "job", string(step.Job), "occurrence", step.Occurrence, "step", step.Step,
		"workers", len(lives), "allowed", len(tickets))
}
