package target

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// phase states whether a task may have been sent to a target or a peer, or was withdrawn by its caller.
type phase int

const (
	// phaseWaiting means that no attempt is in progress. The caller can still withdraw the task.
	phaseWaiting phase = iota
	// phaseSent means that an attempt may have reached a target or a peer.
	phaseSent
	// phaseWithdrawn means that the caller left while no attempt was in progress. No further attempt is made.
	phaseWithdrawn
)

// task is one request in progress. Once it has been sent, it continues even if its caller leaves, so that its slot
// stays accounted for and its outcome becomes known.
type task struct {
	organisation fleet.OrganisationID
	caller       fleet.CallerID
	call         *callerv1.CallRequest
	profile      *profile.Profile
	// key is the value of the Request-Id header of requests to targets. It includes the organisation, because request
	// ids are unique only within an organisation.
	key string
	// deadline is the latest time at which an attempt may begin.
	deadline time.Time
	// forwarded is true if a peer forwarded the task because it had no free slot. A forwarded task runs at once on a
	// slot of this process or is refused, because a request is forwarded for a slot at most once.
	forwarded bool
	// wasQueued is set once the task has been in the queue. Only the goroutine that runs the task uses it.
	wasQueued bool

	// callerErr returns an error once the caller no longer waits, which may be before callerGone is closed; nil if the
	// caller's context is not known.
	callerErr func() error
	// callerGone is closed when the caller no longer waits.
	callerGone chan struct{}
	// done is closed when response is set.
	done     chan struct{}
	response *callerv1.CallResponse

	mu    sync.Mutex
	phase phase
	// mayHaveRun is set when the request may have run, and never cleared.
	mayHaveRun     bool
	callerGoneOnce sync.Once
}

func newTask(id fleet.OrganisationID, call *callerv1.CallRequest, profile *profile.Profile, deadline time.Time) *task {
	return &task{
		organisation: id,
		caller:       fleet.CallerID(call.GetCaller()),
		call:         call,
		profile:      profile,
		key:          requestKey(id, fleet.RequestID(call.GetRequestId())),
		deadline:     deadline,
		callerGone:   make(chan struct{}),
		done:         make(chan struct{}),
	}
}

// requestKey returns the key that identifies a request among all organisations.
func requestKey(id fleet.OrganisationID, request fleet.RequestID) string {
	return string(id) + "/" + string(request)
}

// startAttempt marks the task as sent. It returns false if the caller has withdrawn the task, or has left before the
// task was sent; the task must then not be sent.
func (task *task) startAttempt() bool {
	task.mu.Lock()
	defer task.mu.Unlock()
	if task.phase == phaseWaiting && task.callerLeft() {
		task.phase = phaseWithdrawn
	}
	if task.phase == phaseWithdrawn {
		return false
	}
	task.phase = phaseSent
	return true
}

// endAttempt records the result of an attempt. If the request did not run, the task is waiting again.
func (task *task) endAttempt(notRun bool) {
	task.mu.Lock()
	defer task.mu.Unlock()
	if notRun {
		task.phase = phaseWaiting
		return
	}
	task.mayHaveRun = true
}

// attempts returns 1 if an attempt may have reached a target or a peer, unless the request did not run there, and 0 otherwise.
func (task *task) attempts() int32 {
	task.mu.Lock()
	defer task.mu.Unlock()
	if task.phase == phaseSent || task.mayHaveRun {
		return 1
	}
	return 0
}

// abandon records that the caller no longer waits, and withdraws the task if no attempt is in progress. It returns true
// if the request has not run and will not run.
func (task *task) abandon() bool {
	task.mu.Lock()
	defer task.mu.Unlock()
	task.callerGoneOnce.Do(func() { close(task.callerGone) })
	if task.phase != phaseWaiting {
		return task.phase == phaseWithdrawn && !task.mayHaveRun
	}
	task.phase = phaseWithdrawn
	return !task.mayHaveRun
}

// setMayHaveRun records that an earlier copy of the request may have run.
func (task *task) setMayHaveRun() {
	task.mu.Lock()
	defer task.mu.Unlock()
	task.mayHaveRun = true
}

// callerLeft reports whether the caller's context has ended. The context can end before abandon is called, because
// another goroutine waits for it.
func (task *task) callerLeft() bool { return task.callerErr != nil && task.callerErr() != nil }

func (task *task) isCallerGone() bool {
	select {
	case <-task.callerGone:
		return true
	default:
		return task.callerLeft()
	}
}

func (task *task) idempotent() bool { return task.profile.Idempotent }

// refusalResponse returns the response to a fault that proves that the current attempt did not run. The outcome is
// unknown if an earlier attempt may have run.
func (task *task) refusalResponse(problem *fault.Error) *callerv1.CallResponse {
	task.mu.Lock()
	defer task.mu.Unlock()
	if task.mayHaveRun {
		return unknownResponse(task.call, fault.AnswerLost,
			"an earlier attempt may have run; then "+problem.Reason)
	}
	return notRunResponse(task.call, problem)
}

// notRunResponse returns the response to a request that did not run.
func notRunResponse(call *callerv1.CallRequest, problem *fault.Error) *callerv1.CallResponse {
	response := &callerv1.CallResponse{
		RequestId: call.GetRequestId(),
		Outcome:   callerv1.Outcome_OUTCOME_NOT_RUN,
		Kind:      string(problem.Kind),
		Reason:    problem.Reason,
	}
	if fault.AnswerFor(problem.Kind).Retriable {
		response.RetryAfterMs = max(problem.RetryAfter, minRetryAfter).Milliseconds()
	}
	return response
}

// unknownResponse returns the response to a request that may have run.
func unknownResponse(call *callerv1.CallRequest, kind fault.Kind, reason string) *callerv1.CallResponse {
	return &callerv1.CallResponse{
		RequestId: call.GetRequestId(),
		Outcome:   callerv1.Outcome_OUTCOME_UNKNOWN,
		Kind:      string(kind),
		Reason:    reason,
	}
}

// uncheckedRefusal returns the response to a request that is refused before the history of its id has been checked. The
// outcome of a resubmission is unknown, because an earlier copy may have run.
func uncheckedRefusal(call *callerv1.CallRequest, problem *fault.Error) *callerv1.CallResponse {
	if call.GetResubmission() {
		return unknownResponse(call, fault.HistoryLost, "an earlier copy may have run: "+problem.Reason)
	}
	return notRunResponse(call, problem)
}
