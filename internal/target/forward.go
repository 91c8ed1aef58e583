package target

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// exhaustedTime is the time for which a peer that refused a request gets no further request. It is shorter than the
	// interval of heartbeats, so the peer may get a request again before it has reported its free slots anew.
	exhaustedTime = 100 * time.Millisecond
	// forwardMargin allows for the transfer of a peer's response. The peer responds at the latest when the request must
	// have ended: at the deadline, the latest start, plus the longest request time.
	forwardMargin = time.Second
	// maxDeadlineMargin limits the time by which the deadline for a peer is earlier than the caller's deadline. This
	// time is a tenth of the remaining time, but at most maxDeadlineMargin.
	maxDeadlineMargin = 50 * time.Millisecond
)

// candidatePeers returns the ready peers that report free slots and did not refuse a request within exhaustedTime.
// group.mu must be held.
func (group *group) candidatePeers(live []peer.Peer) []peer.Peer {
	now := time.Now()
	var result []peer.Peer
	for _, known := range live {
		exhausted := now.Before(group.exhausted[known.VM.ID])
		if known.Client != nil && known.Ready && known.FreeSlots[group.service] > 0 && !exhausted {
			result = append(result, known)
		}
	}
	return result
}

// freePeerSlots returns the number of free slots that the candidate peers report. group.mu must be held.
func (group *group) freePeerSlots(live []peer.Peer) int {
	total := 0
	for _, candidate := range group.candidatePeers(live) {
		total += candidate.FreeSlots[group.service]
	}
	return total
}

// pickPeer takes two candidate peers at random and returns the one with more free slots. group.mu must be held.
func (group *group) pickPeer(live []peer.Peer) (peer.Peer, bool) {
	candidates := group.candidatePeers(live)
	if len(candidates) == 0 {
		return peer.Peer{}, false
	}
	first := group.router.random.intN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first], true
	}
	second := group.router.random.intN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].FreeSlots[group.service] > candidates[first].FreeSlots[group.service] {
		first = second
	}
	return candidates[first], true
}

// markExhausted excludes a peer that refused a request from the candidates for about exhaustedTime.
func (group *group) markExhausted(refusing *peer.Peer) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.exhausted[refusing.VM.ID] = time.Now().Add(group.router.random.jitter(exhaustedTime))
}

// grantFreedPeerSlot is called when a forwarded request has ended and so has freed a slot at its peer. It grants free
// slots of this process to waiting requests. It then grants the peer to one more waiting request, without waiting for
// the heartbeat that reports the freed slot. If the peer has not refused a request within exhaustedTime, a second
// waiting request is also granted the peer, which may have further free slots.
func (group *group) grantFreedPeerSlot(to *peer.Peer) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.dispatch()
	grants := 1
	if !time.Now().Before(group.exhausted[to.VM.ID]) {
		grants++
	}
	for range min(grants, group.queue.total) {
		group.queue.pop().granted <- grant{peer: to}
	}
}

// forwardForSlot asks a peer to run a task on one of its slots. refused is true when the peer made no attempt, so that
// asking another peer adds no load on targets.
func (router *Router) forwardForSlot(task *task, group *group, to *peer.Peer) (
	response *callerv1.CallResponse, refused bool,
) {
	router.count("forwards.slot")
	response, notRun := router.forward(task, to, &peerv1.ForwardCallRequest{
		Organisation: string(task.organisation),
		Call:         task.call,
		Hops:         1,
	}, group.longestRequestTime())
	if !notRun {
		if response.GetOutcome() != callerv1.Outcome_OUTCOME_UNKNOWN {
			group.grantFreedPeerSlot(to)
		}
		return response, false
	}
	if response.GetKind() == string(fault.NoTarget) {
		return task.refusalResponse(fault.New(fault.NoTarget, "%s", response.GetReason())), false
	}
	router.count("forwards.refused")
	group.markExhausted(to)
	return nil, true
}

// forward sends a task to a peer. notRun is true when the response of the peer, or the way in which the connection
// failed, proves that the request did not run.
func (router *Router) forward(task *task, to *peer.Peer, request *peerv1.ForwardCallRequest, longest time.Duration) (
	response *callerv1.CallResponse, notRun bool,
) {
	remaining := time.Until(task.deadline)
	if remaining <= 0 {
		return nil, true
	}
	if !task.startAttempt() {
		return nil, true
	}
	// The peer gets an earlier deadline, so that its refusal arrives before the deadline of the caller.
	request.RemainingMs = max((remaining - min(remaining/10, maxDeadlineMargin)).Milliseconds(), 1)
	ctx, cancel := context.WithTimeout(context.Background(), remaining+longest+forwardMargin)
	defer cancel()
	var wrote atomic.Bool
	received, err := to.Client.ForwardCall(traceWrite(ctx, &wrote), connect.NewRequest(request))
	response, notRun = classifyForward(ctx, task, received, err, wrote.Load())
	task.endAttempt(notRun)
	return response, notRun
}

// classifyForward returns the response to a forwarded task, and notRun if the request is proven not to have run.
func classifyForward(
	ctx context.Context, task *task, received *connect.Response[callerv1.CallResponse], err error, wrote bool,
) (response *callerv1.CallResponse, notRun bool) {
	switch {
	case err != nil && ctx.Err() == nil && !wrote && !isErrorFromPeer(err):
		return nil, true
	case err != nil:
		return unknownResponse(task.call, fault.AnswerLost, "the peer did not respond: "+err.Error()), false
	case received.Msg.GetRequestId() != task.call.GetRequestId():
		return unknownResponse(task.call, fault.AnswerLost, "the peer responded to another request"), false
	case received.Msg.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN:
		return received.Msg, true
	}
	return received.Msg, false
}

// isErrorFromPeer reports whether the peer returned the error, which proves that the request was written. It is checked
// in addition to the trace, because a call to a peer in the same process writes no bytes that the trace could record.
func isErrorFromPeer(err error) bool {
	return connect.IsWireError(err)
}

// ForwardCall runs a request for a peer: as the home of the request id if the peer sets as_home, and otherwise on a
// slot of this process.
func (router *Router) ForwardCall(ctx context.Context, request *peerv1.ForwardCallRequest) (
	*callerv1.CallResponse, error,
) {
	router.init()
	call := request.GetCall()
	remaining := time.Duration(request.GetRemainingMs()) * time.Millisecond
	limited, cancel := context.WithTimeout(ctx, remaining)
	task, problem := router.admit(limited, fleet.OrganisationID(request.GetOrganisation()), call)
	cancel()
	if problem != nil {
		router.countRefusal(problem.Kind)
		return router.refusePeer(request, problem), nil
	}
	if !router.trackInFlight() {
		router.countRefusal(fault.Draining)
		return router.refusePeer(request, fault.New(fault.Draining, "the process is stopping")), nil
	}
	task.callerErr = ctx.Err
	run := router.runAsHome
	if !request.GetAsHome() {
		task.forwarded = true
		run = router.runWithoutHome
	}
	go router.runToEnd(task, run)
	// The remaining time does not limit this wait: the forwarding process responds to its caller at the deadline, but
	// still needs the outcome of the request.
	return router.await(ctx, task), nil
}

// refusePeer returns the response to a forwarded request that this process refuses without an attempt. A request that
// was forwarded for a slot has not run at this process. For a request that was forwarded to its home, this process has
// not checked whether an earlier copy ran, so the outcome of a resubmission is unknown.
func (router *Router) refusePeer(request *peerv1.ForwardCallRequest, problem *fault.Error) *callerv1.CallResponse {
	if request.GetAsHome() {
		return uncheckedRefusal(request.GetCall(), problem)
	}
	return notRunResponse(request.GetCall(), problem)
}
