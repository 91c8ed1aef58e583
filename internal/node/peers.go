package node

import (
	"context"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
)

// peers serves the other entry processes by handing each call to the part that it concerns.
type peers struct {
	node *Node
}

// Heartbeat tells the state of this process and takes that of the sender.
func (peers peers) Heartbeat(ctx context.Context, request *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return peers.node.membership.Heartbeat(ctx, request)
}

// PullConfig returns the configuration in force.
func (peers peers) PullConfig(ctx context.Context, request *connect.Request[peerv1.PullConfigRequest]) (*connect.Response[peerv1.PullConfigResponse], error) {
	return peers.node.config.PullConfig(ctx, request)
}

// SubmitJob takes a job as the owner of its domain.
func (peers peers) SubmitJob(ctx context.Context, request *connect.Request[peerv1.SubmitJobRequest]) (*connect.Response[peerv1.SubmitJobResponse], error) {
	response, err := peers.node.jobs.SubmitJob(ctx, request.Msg)
	return answer(response, err)
}

// CancelJob cancels a job as the owner of its domain.
func (peers peers) CancelJob(ctx context.Context, request *connect.Request[peerv1.CancelJobRequest]) (*connect.Response[peerv1.CancelJobResponse], error) {
	response, err := peers.node.jobs.CancelJob(ctx, request.Msg)
	return answer(response, err)
}

// ExplainJob tells why a job waits, as the owner of its domain.
func (peers peers) ExplainJob(ctx context.Context, request *connect.Request[peerv1.ExplainJobRequest]) (*connect.Response[peerv1.ExplainJobResponse], error) {
	response, err := peers.node.jobs.ExplainJob(ctx, request.Msg)
	return answer(response, err)
}

// JobEnds takes ends of jobs whose records could not be written yet.
func (peers peers) JobEnds(ctx context.Context, request *connect.Request[peerv1.JobEndsRequest]) (*connect.Response[peerv1.JobEndsResponse], error) {
	response, err := peers.node.jobs.JobEnds(ctx, request.Msg)
	return answer(response, err)
}

// ForwardCall runs a request on a slot of this process, or as the home of its id.
func (peers peers) ForwardCall(ctx context.Context, request *connect.Request[peerv1.ForwardCallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	response, err := peers.node.calls.ForwardCall(ctx, request.Msg)
	return answer(response, err)
}

// RecordOutcomes takes outcomes of idempotent requests as their home.
func (peers peers) RecordOutcomes(ctx context.Context, request *connect.Request[peerv1.RecordOutcomesRequest]) (*connect.Response[peerv1.RecordOutcomesResponse], error) {
	response, err := peers.node.calls.RecordOutcomes(ctx, request.Msg)
	return answer(response, err)
}

// LookUp tells the outcome of a request as its home.
func (peers peers) LookUp(ctx context.Context, request *connect.Request[peerv1.LookUpRequest]) (*connect.Response[callerv1.StatusResponse], error) {
	response, err := peers.node.calls.LookUp(ctx, request.Msg)
	return answer(response, err)
}
