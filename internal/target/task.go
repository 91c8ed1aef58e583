package target

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// phase is where a task stands.
type phase int

const (
	// phaseWaiting: nothing is on its way; the caller may still withdraw the task.
	phaseWaiting phase = iota
	// phaseSent: an attempt may have reached a target or a peer.
	phaseSent
	// phaseWithdrawn: the caller went away before anything was sent; nothing will be sent.
	phaseWithdrawn
)

// task is one request on its way. It outlives its caller once it is sent, so that its slot stays accounted for
// and its outcome becomes known.
type task struct {
	organisation fleet.OrganisationID
	caller       fleet.CallerID
	call         *callerv1.CallRequest
	profile      *profile.Profile
	// key is the Request-Id on the wire: ids are unique only within an organisation.
	key string
	// deadline is the last moment to begin an attempt.
	deadline time.Time
	// forwarded is true when a peer asked for a slot; such a task runs at once on a slot of this process or not
	// at all, since it has used its one hop.
	forwarded bool
	// waited is set once the task has been in the queue; only its own goroutine uses it.
	waited bool

	// gone is closed when the caller no longer waits.
	gone chan struct{}
	// done is closed when response is set.
	done     chan struct{}
	response *callerv1.CallResponse

	mu    sync.Mutex
	phase phase
	// mayHaveRun is set by an attempt with an unknown result and never cleared.
	mayHaveRun bool
	goneOnce   sync.Once
}

func newTask(id fleet.OrganisationID, call *callerv1.CallRequest, profile *profile.Profile, deadline time.Time) *task {
	return &task{
		organisation: id,
		caller:       fleet.CallerID(call.GetCaller()),
		call:         call,
		profile:      profile,
		key:          keyOf(id, fleet.RequestID(call.GetRequestId())),
		deadline:     deadline,
		gone:         make(chan struct{}),
		done:         make(chan struct{}),
	}
}

func keyOf(id fleet.OrganisationID, request fleet.RequestID) string {
	return string(id) + "/" + string(request)
}

// commit claims the right to send. It reports false when the caller withdrew the task.
func (task *task) commit() bool {
	task.mu.Lock()
	defer task.mu.Unlock()
	if task.phase == phaseWithdrawn {
		return false
	}
	task.phase = phaseSent
	return true
}

// settle records the result of an attempt: not run returns the task to waiting.
func (task *task) settle(notRun bool) {
	task.mu.Lock()
	defer task.mu.Unlock()
	if notRun {
		task.phase = phaseWaiting
		return
	}
	task.mayHaveRun = true
}

// abandon is called when the caller no longer waits. It reports whether the task never ran and never will.
func (task *task) abandon() bool {
	task.mu.Lock()
	defer task.mu.Unlock()
	task.goneOnce.Do(func() { close(task.gone) })
	if task.phase != phaseWaiting {
		return task.phase == phaseWithdrawn && !task.mayHaveRun
	}
	task.phase = phaseWithdrawn
	return !task.mayHaveRun
}

// suspect marks a task that an earlier copy may have run.
func (task *task) suspect() {
	task.mu.Lock()
	defer task.mu.Unlock()
	task.mayHaveRun = true
}

func (task *task) isGone() bool {
	select {
	case <-task.gone:
		return true
	default:
		return false
	}
}

func (task *task) idempotent() bool { return task.profile.Idempotent }

// refused returns the response to a fault that proves that this attempt did not run. If an earlier one may have,
// the outcome is unknown.
func (task *task) refused(problem *fault.Error) *callerv1.CallResponse {
	task.mu.Lock()
	defer task.mu.Unlock()
	if task.mayHaveRun {
		return unknown(task.call, fault.AnswerLost, "an attempt was sent without an answer; then "+problem.Reason)
	}
	return notRun(task.call, problem)
}

// notRun returns the response to a request that did not run.
func notRun(call *callerv1.CallRequest, problem *fault.Error) *callerv1.CallResponse {
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

// unknown returns the response to a request that may have run.
func unknown(call *callerv1.CallRequest, kind fault.Kind, reason string) *callerv1.CallResponse {
	return &callerv1.CallResponse{
		RequestId: call.GetRequestId(),
		Outcome:   callerv1.Outcome_OUTCOME_UNKNOWN,
		Kind:      string(kind),
		Reason:    reason,
	}
}

// unproven returns the response to a refusal before the history of the request id could be consulted: a repeated
// request may have run earlier.
func unproven(call *callerv1.CallRequest, problem *fault.Error) *callerv1.CallResponse {
	if call.GetResubmission() {
		return unknown(call, fault.HistoryLost, "an earlier copy may have run: "+problem.Reason)
	}
	return notRun(call, problem)
}
