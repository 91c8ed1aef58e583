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

// Adviser decides which workers may run a step whose profile requires advice.
type Adviser interface {
	// Advise returns a ticket for each of the given workers that may run the step. Calls must not overlap.
	Advise(ctx context.Context, step workload.StepID, workers []fleet.WorkerID) (Tickets, error)
}

// Tickets are the response of an adviser.
type Tickets struct {
	// ByWorker has a ticket for each worker that may run the step.
	ByWorker map[fleet.WorkerID]Ticket
	// Validity is how long the tickets are valid; 0 means the validity in the profile.
	Validity time.Duration
}

const (
	// adviceBatch is the maximum number of workers in one call to the adviser, because each worker delays the response.
	adviceBatch = 16
	// adviceSlack is how long before its expiry a ticket is no longer used: the start still has to be stored and sent.
	adviceSlack = 500 * time.Millisecond
	// adviceTimeout is added to the time that the adviser needs for its decisions to get the timeout of a call.
	adviceTimeout = time.Second
	// adviceRetry is the pause after a failed call. For the same step it doubles adviceRetryDoublings times, to 2 s, so
	// that the calls for other steps get their turn if only some fail.
	adviceRetry          = 250 * time.Millisecond
	adviceRetryDoublings = 3
	// ticketPause is the pause after the second ticket in succession that a worker refused. It doubles
	// ticketPauseDoublings times, to 8 s. After the first one there is none, because a ticket may expire on its way.
	ticketPause          = time.Second
	ticketPauseDoublings = 3
	// ticketSuccession is the time within which refusals of tickets count as in succession. It is longer than the
	// longest pause.
	ticketSuccession = 10 * time.Second
)

// permit is the adviser's decision on whether one incarnation of a worker may run a step.
type permit struct {
	incarnation progress.Incarnation
	// ticket is empty if the worker may not run the step or has refused its ticket.
	ticket Ticket
	// until is the time from which the ticket is no longer used or, if the worker refused it, another one is requested.
	until time.Duration
	// refusals is the number of tickets in succession that the worker refused, the last one at refusedAt.
	refusals  int
	refusedAt time.Duration
}

// advice caches the adviser's decisions. At most one call to the adviser is pending at a time.
type advice struct {
	permits     map[workload.StepID]map[fleet.WorkerID]permit
	callPending bool
	// retryFrom is the earliest time of the next call after a failure.
	retryFrom time.Duration
	// failures are the steps for which calls failed since the last successful call for any step.
	failures map[workload.StepID]adviceFailures
}

// adviceFailures counts the failed calls for a step. The next one is made from retryFrom on.
type adviceFailures struct {
	count     int
	retryFrom time.Duration
}

// recordFailure records a failed call for a step.
func (advice *advice) recordFailure(step workload.StepID, now time.Duration) {
	advice.retryFrom = now + adviceRetry
	failures := advice.failures[step]
	failures.retryFrom = now + adviceRetry<<min(failures.count, adviceRetryDoublings)
	failures.count++
	if advice.failures == nil {
		advice.failures = map[workload.StepID]adviceFailures{}
	}
	advice.failures[step] = failures
}

// mayAsk reports whether a call for a step may be made.
func (advice *advice) mayAsk(step workload.StepID, now time.Duration) bool {
	return !advice.callPending && now >= max(advice.retryFrom, advice.failures[step].retryFrom)
}

// current returns the permit of a worker for a step and whether the permit is still valid. A permit without a ticket
// means that the worker may not run the step. Such a permit never expires and covers all incarnations of the worker,
// because the set of workers that may run a step does not change; but after a refused ticket it is valid only for a
// pause.
func (advice *advice) current(step workload.StepID, worker *worker, now time.Duration) (permit, bool) {
	permit, ok := advice.permits[step][worker.entry.ID]
	if !ok || permit.ticket == "" && permit.refusals == 0 {
		return permit, ok
	}
	return permit, permit.incarnation == worker.entry.Incarnation && now < permit.until
}

// ticket returns the valid ticket of a worker for a step, or "" if there is none.
func (advice *advice) ticket(step workload.StepID, worker *worker, now time.Duration) Ticket {
	permit, ok := advice.current(step, worker, now)
	if !ok {
		return ""
	}
	return permit.ticket
}

// drop removes a ticket that a worker has refused. Several starts with one ticket may be refused.
func (advice *advice) drop(step workload.StepID, id fleet.WorkerID, now time.Duration) {
	refused, ok := advice.permits[step][id]
	if !ok || refused.ticket == "" {
		return
	}
	if now-refused.refusedAt > ticketSuccession {
		refused.refusals = 0
	}
	pause := time.Duration(0)
	if refused.refusals > 0 {
		pause = ticketPause << min(refused.refusals-1, ticketPauseDoublings)
	}
	refused.ticket, refused.until, refused.refusedAt = "", now+pause, now
	refused.refusals++
	advice.permits[step][id] = refused
}

// dropEndedAdvice removes the permits and failures for jobs that have ended.
func (loop *dispatcher) dropEndedAdvice() {
	maps.DeleteFunc(loop.advice.failures, func(step workload.StepID, _ adviceFailures) bool {
		return loop.openJobs[step.Job] == nil
	})
	maps.DeleteFunc(loop.advice.permits, func(step workload.StepID, _ map[fleet.WorkerID]permit) bool {
		return loop.openJobs[step.Job] == nil
	})
}

// stepID returns the id of the unit's step.
func (candidate candidate) stepID() workload.StepID { return candidate.key().StepID() }

func (candidate candidate) advised() bool { return candidate.job.policy.Advice.Validity > 0 }

// permitted returns the workers that have a valid ticket for the step, or all workers if the step needs no ticket.
func (planner *planner) permitted(workers []*placement.Worker, candidate candidate) []*placement.Worker {
	if !candidate.advised() {
		return workers
	}
	loop, step := planner.loop, candidate.stepID()
	return slices.DeleteFunc(slices.Clone(workers), func(worker *placement.Worker) bool {
		return loop.advice.ticket(step, loop.workers[worker.ID], planner.now) == ""
	})
}

// awaitsAdvice requests further tickets for a unit that needs them, and reports whether the unit has to wait for the
// adviser. A unit needs further tickets in two cases: if the workers with a ticket have too little free capacity while
// workers on which the adviser has not decided have some, and if the workers with a ticket would be too few even when
// empty.
func (planner *planner) awaitsAdvice(pool *servicePool, wanted placement.Demand, candidate candidate) bool {
	if !candidate.advised() || planner.loop.Adviser == nil {
		return false
	}
	allowed := planner.eligible(pool.all, candidate)
	if placement.Fits(allowed, wanted, placement.FreeCapacity, true) {
		return false
	}
	unadvised := planner.unadvised(pool, wanted, candidate)
	if placement.Fits(allowed, wanted, placement.TotalCapacity, true) {
		unadvised = slices.DeleteFunc(unadvised, func(worker *placement.Worker) bool {
			return !worker.Free.Fits(wanted.Each)
		})
	}
	if len(unadvised) == 0 {
		return false
	}
	planner.loop.askAdviser(candidate, unadvised[:min(len(unadvised), adviceBatch)])
	return true
}

// unadvised returns the workers on which there is no valid decision of the adviser for the step and which could run one
// task when empty. Workers in the rack of the step's data come first, then the racks with the most free capacity for
// the tasks, and in each rack the workers with the most free capacity.
func (planner *planner) unadvised(pool *servicePool, wanted placement.Demand, candidate candidate) []*placement.Worker {
	loop, step, single := planner.loop, candidate.stepID(), wanted
	single.Tasks = 1
	var found []*placement.Worker
	byRack := map[fleet.RackID]int{}
	for _, worker := range pool.all {
		_, known := loop.advice.current(step, loop.workers[worker.ID], planner.now)
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

// askAdviser requests tickets for workers, unless a call to the adviser is pending or failed a short time ago.
func (loop *dispatcher) askAdviser(candidate candidate, workers []*placement.Worker) {
	now, step, advicePolicy := loop.clock(), candidate.stepID(), candidate.job.policy.Advice
	if !loop.advice.mayAsk(step, now) {
		return
	}
	loop.advice.callPending = true
	incarnations := make(map[fleet.WorkerID]progress.Incarnation, len(workers))
	ids := make([]fleet.WorkerID, len(workers))
	for i, worker := range workers {
		ids[i], incarnations[worker.ID] = worker.ID, loop.workers[worker.ID].entry.Incarnation
	}
	loop.group.Go(func() error {
		limit := advicePolicy.DecisionTime + time.Duration(len(ids))*advicePolicy.TimePerWorker + adviceTimeout
		ctx, cancel := context.WithTimeout(loop.ctx, limit)
		defer cancel()
		tickets, err := loop.Adviser.Advise(ctx, step, ids)
		until := now + cmp.Or(tickets.Validity, advicePolicy.Validity) - adviceSlack
		loop.post(func(loop *dispatcher) { loop.recordAdvice(step, incarnations, tickets.ByWorker, until, err) })
		return nil
	})
}

// recordAdvice caches the adviser's response or, if the call failed, sets the earliest time of the next call. The
// validity of tickets counts from the time of the call, which is before the adviser issued them.
func (loop *dispatcher) recordAdvice(
	step workload.StepID, incarnations map[fleet.WorkerID]progress.Incarnation, tickets map[fleet.WorkerID]Ticket,
	until time.Duration, err error,
) {
	loop.advice.callPending, loop.planNeeded = false, true
	if err != nil {
		loop.advice.recordFailure(step, loop.clock())
		loop.Logger.Warn("no advice", "job", string(step.Job), "step", step.Step, "workers", len(incarnations),
			"error", err.Error())
		return
	}
	loop.advice.failures = nil
	permits := loop.advice.permits[step]
	if permits == nil {
		permits = map[fleet.WorkerID]permit{}
		loop.advice.permits[step] = permits
	}
	for id, incarnation := range incarnations {
		decided := permit{incarnation: incarnation, ticket: tickets[id], until: until}
		if former := permits[id]; decided.ticket != "" && former.incarnation == incarnation {
			decided.refusals, decided.refusedAt = former.refusals, former.refusedAt
		}
		permits[id] = decided
	}
	loop.Logger.Info("advice received", "job", string(step.Job), "occurrence", step.Occurrence, "step", step.Step,
		"workers", len(incarnations), "allowed", len(tickets))
}
