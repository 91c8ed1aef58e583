package target

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// runHere runs a task on own slots and those of peers, with retries within the budget.
func (router *Router) runHere(task *task) *callerv1.CallResponse {
	response := router.attempts(task)
	if task.idempotent() && !task.forwarded {
		router.outcomes.add(router, task, response)
	}
	return response
}

func (router *Router) attempts(task *task) *callerv1.CallResponse {
	group := router.groupOf(task.profile.Service)
	if !task.forwarded {
		// Only the process that may retry a request counts it.
		router.budget.deposit()
	}
	for attempt := 1; ; {
		given := group.acquire(task)
		if given.refusal != nil {
			return task.refused(given.refusal)
		}
		if given.peer != nil {
			response, refused := router.forwardForSlot(task, group, given.peer)
			if !refused {
				if router.retryAfter(task, response, attempt) {
					attempt++
					continue
				}
				return response
			}
			// A refusal of a peer put no load on a target; the next wait finds another slot or peer.
			continue
		}
		outcome := router.sendOnce(task, group, given.backend)
		response := router.responseOf(task, outcome)
		if !router.retryAfter(task, response, attempt) {
			return response
		}
		attempt++
	}
}

// sendOnce makes one attempt on an acquired slot and frees the slot when the run must have ended.
func (router *Router) sendOnce(task *task, group *group, backend *backend) result {
	ctx, cancel := context.WithDeadline(context.Background(), task.deadline)
	link, err := backend.pool.reserve(ctx)
	cancel()
	if err != nil {
		if errors.Is(err, errNoConnection) {
			router.count("limit.connections")
		}
		router.count("connections.failed")
		group.failed(backend)
		group.release(backend)
		return result{verdict: verdictNotRun, reason: err.Error()}
	}
	if !task.commit() {
		link.client.Release()
		group.release(backend)
		return result{verdict: verdictNotRun, reason: "the caller left before the request was sent"}
	}
	sent := time.Now()
	ctx, cancel = context.WithDeadline(context.Background(), sent.Add(group.longestTime()))
	defer cancel()
	outcome := exchange(ctx, link, backend.to, task.key, task.call.GetBody(), router.MaxAnswer)
	task.settle(outcome.verdict == verdictNotRun)
	group.answered(backend, outcome)
	if outcome.crossed {
		router.count("answers.crossed")
		link.retire()
	}
	if outcome.verdict == verdictUnknown {
		// The run may go on, so its slot counts as in use for the longest request time.
		group.hold(backend, sent)
	} else {
		group.release(backend)
	}
	return outcome
}

func (router *Router) responseOf(task *task, outcome result) *callerv1.CallResponse {
	response := &callerv1.CallResponse{RequestId: task.call.GetRequestId(), Answer: outcome.answer, Reason: outcome.reason}
	switch outcome.verdict {
	case verdictCompleted:
		response.Outcome = callerv1.Outcome_OUTCOME_COMPLETED
	case verdictFailed:
		response.Outcome = callerv1.Outcome_OUTCOME_FAILED
		response.Kind = string(fault.TargetFailed)
	case verdictNotRun:
		return task.refused(fault.New(fault.NoTarget, "%s", outcome.reason))
	default:
		return unknown(task.call, fault.AnswerLost, outcome.reason)
	}
	return response
}

// retryAfter decides on another attempt and waits with jitter before it. It may follow only when the request is
// idempotent or did not run, and within the budget, the deadline and the number of attempts.
func (router *Router) retryAfter(task *task, response *callerv1.CallResponse, attempt int) bool {
	switch response.GetOutcome() {
	case callerv1.Outcome_OUTCOME_NOT_RUN:
	case callerv1.Outcome_OUTCOME_UNKNOWN:
		if !task.idempotent() {
			return false
		}
	default:
		return false
	}
	if task.forwarded || attempt >= maxAttempts || task.isGone() {
		return false
	}
	delay := router.random.jitter(retryDelay << attempt)
	if time.Until(task.deadline) <= delay {
		return false
	}
	if !router.budget.withdraw() {
		router.count("limit.retry_budget")
		return false
	}
	router.count("retries")
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-task.gone:
		return false
	}
}

// keepConnections opens connections ahead of requests and replaces those that went silent.
func (router *Router) keepConnections(ctx context.Context) {
	for _, group := range router.allGroups() {
		for _, backend := range group.idle() {
			if !backend.pool.needsConnection() || !router.enter() {
				continue
			}
			go func() {
				defer router.inFlight.Done()
				if backend.pool.keep(ctx) != nil {
					group.failed(backend)
				}
			}()
		}
	}
}

func (group *group) closePools() {
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, backend := range group.backends {
		backend.pool.close()
	}
}

func (router *Router) count(name string) {
	router.counter("target." + name).Inc(1)
}

func (router *Router) countRefusal(kind fault.Kind) {
	router.counter(metrics.Name("target.refusals", "kind", string(kind))).Inc(1)
}

// Status tells what the home of a request id knows of it.
func (router *Router) Status(ctx context.Context, id fleet.OrganisationID, request fleet.RequestID) (*callerv1.StatusResponse, error) {
	router.init()
	return router.statusFromHome(ctx, id, request), nil
}
