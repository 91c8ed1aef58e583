package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// errorKindHeader is the response header with the error kind of a refusal.
const errorKindHeader = "Error-Kind"

// trackedRequest is one request and the information that its caller has received about it.
type trackedRequest struct {
	organisation fleet.OrganisationID
	id           string
	profile      profile.Profile
	outcome      callerv1.Outcome
	// kind is the error kind of the outcome, or how the caller obtained the outcome if its call had no response.
	kind string
	// mismatch describes an answer that belongs to another request or is incomplete; empty if the answer is correct.
	mismatch string
}

// requestLoad sends requests to the targets of the deployment's service.
type requestLoad struct {
	balancer *balancer

	mu      sync.Mutex
	tracked map[string]*trackedRequest
	wait    sync.WaitGroup
}

func newRequestLoad(balancer *balancer) *requestLoad {
	return &requestLoad{balancer: balancer, tracked: map[string]*trackedRequest{}}
}

// start sends a request in the background. If duplicate is true, it sends the request twice at the same time, each time
// to a process that the balancer picks.
func (load *requestLoad) start(ctx context.Context, request *trackedRequest, service time.Duration, duplicate bool) {
	load.mu.Lock()
	load.tracked[request.id] = request
	load.mu.Unlock()
	body, _ := json.Marshal(target.Behaviour{SleepMs: int(service.Milliseconds()), Answer: answerOf(request.id)})
	message := &callerv1.CallRequest{
		RequestId: request.id, Profile: string(request.profile.Name), Caller: "desk", Body: body,
		FirstSentUnixMs: time.Now().UnixMilli(),
	}
	ctx = withOrganisation(ctx, request.organisation)
	load.wait.Add(1)
	go func() {
		defer load.wait.Done()
		load.send(ctx, request, message)
	}()
	if duplicate {
		load.wait.Add(1)
		go func() {
			defer load.wait.Done()
			repeated := &callerv1.CallRequest{
				RequestId: message.RequestId, Profile: message.Profile, Caller: message.Caller, Body: message.Body,
				FirstSentUnixMs: message.FirstSentUnixMs, Resubmission: true,
			}
			load.send(ctx, request, repeated)
		}()
	}
}

// answerOf returns the correct answer to the request with an id.
func answerOf(id string) string { return "answer to " + id }

// send sends the request once. If the call fails without a refusal that guarantees that nothing ran, it polls the
// status of the request.
func (load *requestLoad) send(ctx context.Context, request *trackedRequest, message *callerv1.CallRequest) {
	client, ok := load.balancer.pick()
	if !ok {
		load.recordOutcome(request, callerv1.Outcome_OUTCOME_NOT_RUN, "no_process")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.caller.Call(callCtx, connect.NewRequest(message))
	if err == nil {
		load.checkAnswer(request, response.Msg)
		return
	}
	if kind, proven := refusalKind(err); proven {
		load.recordOutcome(request, callerv1.Outcome_OUTCOME_NOT_RUN, kind)
		return
	}
	load.resolve(ctx, request)
}

// checkAnswer stores the outcome of a response, and a mismatch if its answer is not the correct one.
func (load *requestLoad) checkAnswer(request *trackedRequest, response *callerv1.CallResponse) {
	if response.Outcome == callerv1.Outcome_OUTCOME_COMPLETED && string(response.Answer) != answerOf(request.id) {
		load.mu.Lock()
		request.mismatch = fmt.Sprintf("%s got the answer %q", request.id, response.Answer)
		load.mu.Unlock()
	}
	load.recordOutcome(request, response.Outcome, response.Kind)
}

// resolve polls the outcome of a request whose call failed, each time at a process that the balancer picks, and records
// it. If ten polls return no outcome, it records that the outcome is unknown.
func (load *requestLoad) resolve(ctx context.Context, request *trackedRequest) {
	for range 10 {
		_ = lifecycle.Sleep(ctx, pollInterval)
		client, ok := load.balancer.pick()
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := client.caller.Status(callCtx,
			connect.NewRequest(&callerv1.StatusRequest{RequestId: request.id}))
		cancel()
		if err == nil && response.Msg.Outcome != callerv1.Outcome_OUTCOME_PENDING {
			load.recordOutcome(request, response.Msg.Outcome, "told_by_status")
			return
		}
	}
	load.recordOutcome(request, callerv1.Outcome_OUTCOME_UNKNOWN, "connection_ended")
}

// outcomeRank ranks outcomes by how much they prove about a request that was sent twice. A refused copy proves nothing
// about the other copy, so NOT_RUN has the lowest rank.
func outcomeRank(outcome callerv1.Outcome) int {
	switch outcome {
	case callerv1.Outcome_OUTCOME_COMPLETED:
		return 4
	case callerv1.Outcome_OUTCOME_FAILED:
		return 3
	case callerv1.Outcome_OUTCOME_UNKNOWN:
		return 2
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		return 1
	}
	return 0
}

// recordOutcome stores the outcome that a caller received. Of the outcomes of two copies it keeps the higher-ranked
// one.
func (load *requestLoad) recordOutcome(request *trackedRequest, outcome callerv1.Outcome, kind string) {
	load.mu.Lock()
	defer load.mu.Unlock()
	if outcomeRank(outcome) > outcomeRank(request.outcome) {
		request.outcome = outcome
		request.kind = kind
	}
}

// requestGenerator generates random requests for the organisations of a deployment.
type requestGenerator struct {
	random        *rand.Rand
	organisations []*profile.Organisation
	// count is the number of generated requests.
	count int
}

// next returns a request of a random organisation and request profile, and its service time.
func (generator *requestGenerator) next() (*trackedRequest, time.Duration) {
	organisation := generator.organisations[generator.random.IntN(len(generator.organisations))]
	var profiles []profile.Profile
	for _, candidate := range organisation.Profiles {
		if !candidate.IsJob() {
			profiles = append(profiles, candidate)
		}
	}
	generator.count++
	request := &trackedRequest{
		organisation: organisation.ID,
		id:           fmt.Sprintf("request-%05d", generator.count),
		profile:      profiles[generator.random.IntN(len(profiles))],
	}
	return request, time.Duration(5+generator.random.IntN(60)) * time.Millisecond
}

// targetRequestID returns the request id that targets receive. It includes the organisation because request ids are
// unique only within an organisation.
func (request *trackedRequest) targetRequestID() string {
	return string(request.organisation) + "/" + request.id
}
