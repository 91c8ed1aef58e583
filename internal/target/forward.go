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
	// A peer that refused is asked again when its next heartbeat has come.
	exhaustedTime = 100 * time.Millisecond
	// A peer answers for a request at the latest when the request must have ended.
	forwardMargin = time.Second
	answerMargin  = 50 * time.Millisecond
)

// candidates returns the ready peers that report free slots and did not refuse just now. It needs the lock.
func (group *group) candidates(live []peer.Peer) []peer.Peer {
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

// freeAtPeers returns the slots that peers report free. It needs the lock.
func (group *group) freeAtPeers(live []peer.Peer) int {
	total := 0
	for _, candidate := range group.candidates(live) {
		total += candidate.FreeSlots[group.service]
	}
	return total
}

// pickPeer takes two peers at random and returns the one with more free slots. It needs the lock.
func (group *group) pickPeer(live []peer.Peer) (peer.Peer, bool) {
	candidates := group.candidates(live)
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

func (group *group) exhaust(refusing *peer.Peer) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.exhausted[refusing.VM.ID] = time.Now().Add(group.router.random.jitter(exhaustedTime))
}

// follow gives waiting requests to a peer that has just ended one: the slot is free now, while the heartbeat that
// says so comes later. One more probes for further free slots, unless the peer refused just now.
func (group *group) follow(to *peer.Peer) {
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

// forwardForSlot asks a peer to run a task on a slot of its own. It reports refused when the peer made no attempt
// at a target, so that asking another one adds no load there.
func (router *Router) forwardForSlot(task *task, group *group, to *peer.Peer) (response *callerv1.CallResponse, refused bool) {
	router.count("forwards.slot")
	response, notRun := router.forward(task, to, &peerv1.ForwardCallRequest{
		Organisation: string(task.organisation),
		Call:         task.call,
		Hops:         1,
	}, group.longestTime())
	if !notRun {
		if response.GetOutcome() != callerv1.Outcome_OUTCOME_UNKNOWN {
			group.follow(to)
		}
		return response, false
	}
	if response.GetKind() == string(fault.NoTarget) {
		return task.refused(fault.New(fault.NoTarget, "%s", response.GetReason())), false
	}
	router.count("forwards.refused")
	group.exhaust(to)
	return nil, true
}

// forward sends a task to a peer. It reports notRun when the peer, or the connection to it, proves that the
// request did not run there.
func (router *Router) forward(task *task, to *peer.Peer, request *peerv1.ForwardCallRequest, longest time.Duration) (
	response *callerv1.CallResponse, notRun bool,
) {
	remaining := time.Until(task.deadline)
	if remaining <= 0 {
		return nil, true
	}
	if !task.commit() {
		return nil, true
	}
	// The peer stops waiting a little earlier, so that its refusal arrives before the caller's deadline.
	request.RemainingMs = max((remaining - min(remaining/10, answerMargin)).Milliseconds(), 1)
	ctx, cancel := context.WithTimeout(context.Background(), remaining+longest+forwardMargin)
	defer cancel()
	var wrote atomic.Bool
	answer, err := to.Client.ForwardCall(traceWrite(ctx, &wrote), connect.NewRequest(request))
	response, notRun = judgeForward(ctx, task, answer, err, wrote.Load())
	task.settle(notRun)
	return response, notRun
}

func judgeForward(ctx context.Context, task *task, answer *connect.Response[callerv1.CallResponse], err error, wrote bool) (
	response *callerv1.CallResponse, notRun bool,
) {
	switch {
	case err != nil && ctx.Err() == nil && !wrote && !answeredByPeer(err):
		return nil, true
	case err != nil:
		return unknown(task.call, fault.AnswerLost, "the peer did not answer: "+err.Error()), false
	case answer.Msg.GetRequestId() != task.call.GetRequestId():
		return unknown(task.call, fault.AnswerLost, "the peer answered another request"), false
	case answer.Msg.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN:
		return answer.Msg, true
	}
	return answer.Msg, false
}

// answeredByPeer reports whether an error came over the wire, so that the request was written. Peers in the same
// process write nothing that could be traced.
func answeredByPeer(err error) bool {
	return connect.IsWireError(err)
}

// ForwardCall serves a peer: as the home of a request id, or with a slot of this process.
func (router *Router) ForwardCall(ctx context.Context, request *peerv1.ForwardCallRequest) (*callerv1.CallResponse, error) {
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
	if !router.enter() {
		router.countRefusal(fault.Draining)
		return router.refusePeer(request, fault.New(fault.Draining, "the process is stopping")), nil
	}
	run := router.serveHome
	if !request.GetAsHome() {
		task.forwarded = true
		run = router.runHere
	}
	go router.serve(task, run)
	// The peer answers its caller at the deadline; it still wants to know how the request ended.
	return router.await(ctx, task), nil
}

// refusePeer refuses before anything else. A request for a slot was never here before.
func (router *Router) refusePeer(request *peerv1.ForwardCallRequest, problem *fault.Error) *callerv1.CallResponse {
	if request.GetAsHome() {
		return unproven(request.GetCall(), problem)
	}
	return notRun(request.GetCall(), problem)
}
