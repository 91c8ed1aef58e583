package target

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	lookUpTimeout = 2 * time.Second
	flushTimeout  = 2 * time.Second
	// maxPendingOutcomes limits the number of outcomes that wait to be sent to the homes of their request ids (see
	// homeOf). Further outcomes are dropped.
	maxPendingOutcomes = 8192
	maxBatch           = 512
)

// homeOf returns the seat that is the home of a request id: the first seat in the rank order for the key of the id. The
// process that holds this seat is also called the home. It remembers the id of a non-idempotent request, so that no
// copy runs a second time, and holds the status of every request.
func (router *Router) homeOf(key string) peer.Seat {
	return router.RankSeats(key, router.View.Seats())[0]
}

// runViaHome runs a request that is not idempotent through the home of its id, which is this process or a peer.
func (router *Router) runViaHome(task *task) *callerv1.CallResponse {
	home := router.homeOf(task.key)
	if seat, _, ok := router.View.OwnSeat(); ok && seat == home {
		return router.runAsHome(task)
	}
	holder, ok := router.View.SeatHolder(home)
	if !ok || holder.Client == nil {
		return uncheckedRefusal(task.call, fault.New(fault.HomeUnavailable, "no live process holds seat %d", home))
	}
	router.count("forwards.home")
	response, notRun := router.forward(task, &holder, &peerv1.ForwardCallRequest{
		Organisation: string(task.organisation),
		Call:         task.call,
		AsHome:       true,
	}, router.groupOf(task.profile.Service).longestRequestTime())
	if notRun && response == nil {
		return uncheckedRefusal(task.call, fault.New(fault.HomeUnavailable,
			"the holder of seat %d could not be reached", home))
	}
	return response
}

// runAsHome runs a request as the home of its id, at most once for each id.
func (router *Router) runAsHome(task *task) *callerv1.CallResponse {
	seat, since, ok := router.View.OwnSeat()
	if !ok || seat != router.homeOf(task.key) {
		return uncheckedRefusal(task.call,
			fault.New(fault.HomeUnavailable, "this process is not the home of the request id"))
	}
	found, fresh, refused := router.ledger.begin(task, since)
	if refused != nil {
		return refused
	}
	if !fresh {
		router.count("duplicates")
		return router.awaitFirstCopy(task, found)
	}
	response := router.runAttempts(task)
	router.ledger.finish(found, response)
	return response
}

// awaitFirstCopy waits until the first copy of a request has ended, and returns the response to that copy. If the
// deadline of the task passes or its caller leaves first, the outcome is unknown.
func (router *Router) awaitFirstCopy(task *task, first *record) *callerv1.CallResponse {
	// The first copy may have run, so the outcome of this copy must not be "not run".
	task.setMayHaveRun()
	timer := time.NewTimer(time.Until(task.deadline))
	defer timer.Stop()
	select {
	case <-first.done:
		return router.ledger.responseTo(task.call, first)
	case <-task.callerGone:
	case <-timer.C:
	}
	return unknownResponse(task.call, fault.AnswerLost, "the first copy of this request has not ended")
}

// statusFromHome returns the status of a request from the home of its id, which is this process or a peer.
func (router *Router) statusFromHome(
	ctx context.Context, id fleet.OrganisationID, request fleet.RequestID,
) *callerv1.StatusResponse {
	key := requestKey(id, request)
	home := router.homeOf(key)
	if seat, _, ok := router.View.OwnSeat(); ok && seat == home {
		return router.ledger.status(key)
	}
	holder, ok := router.View.SeatHolder(home)
	if !ok || holder.Client == nil {
		return unknownStatus("the home of this request id is not available")
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	response, err := holder.Client.LookUp(ctx, connect.NewRequest(&peerv1.LookUpRequest{
		Organisation: string(id), RequestId: string(request),
	}))
	if err != nil {
		return unknownStatus("the home of this request id could not be reached: " + err.Error())
	}
	return response.Msg
}

// LookUp returns the status of a request for a peer. This process is the home of the request id.
func (router *Router) LookUp(_ context.Context, request *peerv1.LookUpRequest) (*callerv1.StatusResponse, error) {
	router.init()
	key := requestKey(fleet.OrganisationID(request.GetOrganisation()), fleet.RequestID(request.GetRequestId()))
	return router.ledger.status(key), nil
}

// RecordOutcomes stores the outcomes of idempotent requests that a peer sends to this process as their home.
func (router *Router) RecordOutcomes(_ context.Context, request *peerv1.RecordOutcomesRequest) (
	*peerv1.RecordOutcomesResponse, error,
) {
	router.init()
	router.storeOutcomes(request.GetOutcomes())
	return &peerv1.RecordOutcomesResponse{}, nil
}

func (router *Router) storeOutcomes(batch []*peerv1.RequestOutcome) {
	for _, outcome := range batch {
		key := requestKey(fleet.OrganisationID(outcome.GetOrganisation()), fleet.RequestID(outcome.GetRequestId()))
		router.ledger.storeOutcome(key, outcome.GetOutcome(), outcome.GetReason())
	}
}

// outcomeBuffer holds the outcomes of idempotent requests until they are sent to the homes of the request ids.
type outcomeBuffer struct {
	mu      sync.Mutex
	pending []*peerv1.RequestOutcome
}

func (outcomes *outcomeBuffer) add(router *Router, task *task, response *callerv1.CallResponse) {
	outcomes.mu.Lock()
	defer outcomes.mu.Unlock()
	if len(outcomes.pending) >= maxPendingOutcomes {
		router.count("limit.pending_outcomes")
		return
	}
	outcomes.pending = append(outcomes.pending, &peerv1.RequestOutcome{
		Organisation: string(task.organisation),
		RequestId:    task.call.GetRequestId(),
		Outcome:      response.GetOutcome(),
		Reason:       response.GetReason(),
	})
}

func (outcomes *outcomeBuffer) take() []*peerv1.RequestOutcome {
	outcomes.mu.Lock()
	defer outcomes.mu.Unlock()
	taken := outcomes.pending
	outcomes.pending = nil
	return taken
}

// flushOutcomes sends each pending outcome to the home of its request id, in batches. If a home cannot be reached, the
// outcomes for it are lost, and the status of these requests is then unknown.
func (router *Router) flushOutcomes(ctx context.Context) {
	byHome := map[peer.Seat][]*peerv1.RequestOutcome{}
	for _, outcome := range router.outcomes.take() {
		key := requestKey(fleet.OrganisationID(outcome.GetOrganisation()), fleet.RequestID(outcome.GetRequestId()))
		home := router.homeOf(key)
		byHome[home] = append(byHome[home], outcome)
	}
	own, _, seated := router.View.OwnSeat()
	var sending sync.WaitGroup
	for home, batch := range byHome {
		if seated && own == home {
			router.storeOutcomes(batch)
			continue
		}
		holder, ok := router.View.SeatHolder(home)
		if !ok || holder.Client == nil {
			router.counter("target.outcomes.lost").Inc(int64(len(batch)))
			continue
		}
		sending.Go(func() { router.sendOutcomes(ctx, holder, batch) })
	}
	sending.Wait()
}

func (router *Router) sendOutcomes(ctx context.Context, to peer.Peer, batch []*peerv1.RequestOutcome) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for len(batch) > 0 {
		part := batch[:min(len(batch), maxBatch)]
		batch = batch[len(part):]
		_, err := to.Client.RecordOutcomes(ctx, connect.NewRequest(&peerv1.RecordOutcomesRequest{Outcomes: part}))
		if err != nil {
			router.counter("target.outcomes.lost").Inc(int64(len(part)))
			router.Logger.Warn("outcomes not recorded at their home", "vm", to.VM.ID, "count", len(part), "error", err)
		}
	}
}
