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

// kindHeader carries the error kind of a refusal.
const kindHeader = "Error-Kind"

// toldRequest is one request as its caller knows it.
type toldRequest struct {
	organisation fleet.OrganisationID
	id           string
	profile      profile.Profile
	outcome      callerv1.Outcome
	kind         string
	// mismatch describes an answer that belongs to another request or is not whole; empty for a good one.
	mismatch string
}

// requestLoad sends requests to the targets of the deployment's service.
type requestLoad struct {
	balancer *balancer

	mu   sync.Mutex
	told map[string]*toldRequest
	wait sync.WaitGroup
}

func newRequestLoad(balancer *balancer) *requestLoad {
	return &requestLoad{balancer: balancer, told: map[string]*toldRequest{}}
}

// start sends a request in the background; duplicate sends it a second time through another process at once.
func (load *requestLoad) start(ctx context.Context, request *toldRequest, service time.Duration, duplicate bool) {
	load.mu.Lock()
	load.told[request.id] = request
	load.mu.Unlock()
	body, _ := json.Marshal(target.Behaviour{SleepMs: int(service.Milliseconds()), Answer: answerOf(request.id)})
	message := &callerv1.CallRequest{
		RequestId: request.id, Profile: string(request.profile.Name), Caller: "desk", Body: body,
		FirstSentUnixMs: time.Now().UnixMilli(),
	}
	ctx = as(ctx, request.organisation)
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

func answerOf(id string) string { return "answer to " + id }

// send sends the request once; when the connection ends without an answer it asks for the status elsewhere.
func (load *requestLoad) send(ctx context.Context, request *toldRequest, message *callerv1.CallRequest) {
	client, ok := load.balancer.pick()
	if !ok {
		load.tell(request, callerv1.Outcome_OUTCOME_NOT_RUN, "no_process")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.caller.Call(callCtx, connect.NewRequest(message))
	if err == nil {
		load.check(request, response.Msg)
		return
	}
	if kind, proven := refusal(err); proven {
		load.tell(request, callerv1.Outcome_OUTCOME_NOT_RUN, kind)
		return
	}
	load.resolve(ctx, request)
}

func (load *requestLoad) check(request *toldRequest, response *callerv1.CallResponse) {
	if response.Outcome == callerv1.Outcome_OUTCOME_COMPLETED && string(response.Answer) != answerOf(request.id) {
		load.mu.Lock()
		request.mismatch = fmt.Sprintf("%s got the answer %q", request.id, response.Answer)
		load.mu.Unlock()
	}
	load.tell(request, response.Outcome, response.Kind)
}

// resolve asks other processes for the outcome of a request whose connection ended.
func (load *requestLoad) resolve(ctx context.Context, request *toldRequest) {
	for range 10 {
		_ = lifecycle.Sleep(ctx, pollInterval)
		client, ok := load.balancer.pick()
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := client.caller.Status(callCtx, connect.NewRequest(&callerv1.StatusRequest{RequestId: request.id}))
		cancel()
		if err == nil && response.Msg.Outcome != callerv1.Outcome_OUTCOME_PENDING {
			load.tell(request, response.Msg.Outcome, "told_by_status")
			return
		}
	}
	load.tell(request, callerv1.Outcome_OUTCOME_UNKNOWN, "connection_ended")
}

// weight orders outcomes by what they tell of a request that was sent twice: a copy that was refused says nothing of
// the other one.
func weight(outcome callerv1.Outcome) int {
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

// tell keeps what a caller was told; of two copies it keeps the outcome that tells more.
func (load *requestLoad) tell(request *toldRequest, outcome callerv1.Outcome, kind string) {
	load.mu.Lock()
	defer load.mu.Unlock()
	if weight(outcome) > weight(request.outcome) {
		request.outcome = outcome
		request.kind = kind
	}
}

// requestMaker draws requests of a deployment.
type requestMaker struct {
	random        *rand.Rand
	organisations []*profile.Organisation
	made          int
}

// next returns a request of a random organisation and profile, and its service time.
func (maker *requestMaker) next() (*toldRequest, time.Duration) {
	organisation := maker.organisations[maker.random.IntN(len(maker.organisations))]
	var profiles []profile.Profile
	for _, candidate := range organisation.Profiles {
		if !candidate.IsJob() {
			profiles = append(profiles, candidate)
		}
	}
	maker.made++
	request := &toldRequest{
		organisation: organisation.ID,
		id:           fmt.Sprintf("request-%05d", maker.made),
		profile:      profiles[maker.random.IntN(len(profiles))],
	}
	return request, time.Duration(5+maker.random.IntN(60)) * time.Millisecond
}

// wireID returns the id under which targets see the request; ids are unique only within an organisation.
func (request *toldRequest) wireID() string {
	return string(request.organisation) + "/" + request.id
}
