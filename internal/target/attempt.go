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

// runWithoutHome runs a task on slots of this process and of peers without asking the home of its request id, the
// process that prevents a second run (see homeOf). It is used for idempotent requests, which may run twice, and for
// requests that a peer forwards because the peer has no free slot.
func (router *Router) runWithoutHome(task *task) *callerv1.CallResponse {
	response := router.runAttempts(task)
	if task.idempotent() && !task.forwarded {
		router.outcomes.add(router, task, response)
	}
	return response
}

// runAttempts makes attempts on slots of this process and of peers until an attempt decides the outcome or no retry is
// allowed.
func (router *Router) runAttempts(task *task) *callerv1.CallResponse {
	group := router.groupOf(task.profile.Service)
	if !task.forwarded {
		// A forwarded request counts towards the retry budget of the process that forwarded it, because only that
		// process may retry it.
		router.budget.deposit()
	}
	for attempt := 1; ; {
		given := group.acquire(task)
		if given.refusal != nil {
			return task.refusalResponse(given.refusal)
		}
		if given.peer != nil {
			response, refused := router.forwardForSlot(task, group, given.peer)
			if !refused {
				if router.waitForRetry(task, response, attempt) {
					attempt++
					continue
				}
				return response
			}
			// A refusal by a peer puts no load on a target, so it does not count as an attempt. The next acquire finds
			// another slot or peer.
			continue
		}
		outcome := router.sendOnce(task, group, given.backend)
		response := router.responseOf(task, outcome)
		if !router.waitForRetry(task, response, attempt) {
			return response
		}
		attempt++
	}
}

// sendOnce makes one attempt on an acquired slot. It frees the slot after the attempt. If the result is unknown, the
// request may still run, and the slot is freed only when the longest request time of the service has passed.
func (router *Router) sendOnce(task *task, group *group, backend *backend) attemptResult {
	ctx, cancel := context.WithDeadline(context.Background(), task.deadline)
	conn, err := backend.pool.reserve(ctx)
	cancel()
	if err != nil {
		if errors.Is(err, errNoConnection) {
			router.count("limit.connections")
		}
		router.count("connections.failed")
		group.recordConnectionFailure(backend)
		group.release(backend)
		return attemptResult{verdict: verdictNotRun, reason: err.Error()}
	}
	if !task.startAttempt() {
		conn.client.Release()
		group.release(backend)
		return attemptResult{verdict: verdictNotRun, reason: "the caller left before the request was sent"}
	}
	sent := time.Now()
	ctx, cancel = context.WithDeadline(context.Background(), sent.Add(group.longestRequestTime()))
	defer cancel()
	outcome := exchange(ctx, conn, backend.runURL, task.key, task.call.GetBody(), router.MaxAnswer)
	task.endAttempt(outcome.verdict == verdictNotRun)
	group.recordResult(backend, outcome)
	if outcome.crossed {
		router.count("answers.crossed")
		conn.retire()
	}
	if outcome.verdict == verdictUnknown {
		// The request may still run, so its slot counts as used until the longest request time has passed.
		group.releaseAfterRun(backend, sent)
	} else {
		group.release(backend)
	}
	return outcome
}

// responseOf returns the response for the result of an attempt.
func (router *Router) responseOf(task *task, outcome attemptResult) *callerv1.CallResponse {
	response := &callerv1.CallResponse{
		RequestId: task.call.GetRequestId(), Answer: outcome.answer, Reason: outcome.reason,
	}
	switch outcome.verdict {
	case verdictCompleted:
		response.Outcome = callerv1.Outcome_OUTCOME_COMPLETED
	case verdictFailed:
		response.Outcome = callerv1.Outcome_OUTCOME_FAILED
		response.Kind = string(fault.TargetFailed)
	case verdictNotRun:
		return task.refusalResponse(fault.New(fault.NoTarget, "%s", outcome.reason))
	default:
		return unknownResponse(task.call, fault.AnswerLost, outcome.reason)
	}
	return response
}

// waitForRetry reports whether another attempt must be made, and waits for a delay with jitter before it returns true.
// A retry requires that the request is idempotent or did not run. In addition, the retry budget, the deadline and the
// number of attempts must allow the retry, and the caller must still wait.
func (router *Router) waitForRetry(task *task, response *callerv1.CallResponse, attempt int) bool {
	switch response.GetOutcome() {
	case callerv1.Outcome_OUTCOME_NOT_RUN:
	case callerv1.Outcome_OUTCOME_UNKNOWN:
		if !task.idempotent() {
			return false
		}
	default:
		return false
	}
	if task.forwarded || attempt >= maxAttempts || task.isCallerGone() {
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
	case <-task.callerGone:
		return false
	}
}

// keepConnections opens connections to targets before requests need them, and replaces connections on which nothing was
// received for longer than quietTimeout.
func (router *Router) keepConnections(ctx context.Context) {
	for _, group := range router.allGroups() {
		for _, backend := range group.usableBackends() {
			if !backend.pool.needsMaintenance() || !router.trackInFlight() {
				continue
			}
			go func() {
				defer router.inFlight.Done()
				if backend.pool.maintain(ctx) != nil {
					group.recordConnectionFailure(backend)
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

// Status returns the status of a request. It asks the home of the request id, the process that holds the status.
func (router *Router) Status(ctx context.Context, id fleet.OrganisationID, request fleet.RequestID) (
	*callerv1.StatusResponse, error,
) {
	router.init()
	return router.statusFromHome(ctx, id, request), nil
}
