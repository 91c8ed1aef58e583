package node

import (
	"context"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
)

// peerService implements the API for other entry processes. It passes each call to the component that handles it.
type peerService struct {
	node *Node
}

// Heartbeat records the state of the sender and returns the state of this process.
func (service peerService) Heartbeat(
	ctx context.Context, request *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return service.node.membership.Heartbeat(ctx, request)
}

// PullConfig returns the configuration in force at this process to a peer whose configuration has a lower revision.
func (service peerService) PullConfig(
	ctx context.Context, request *connect.Request[peerv1.PullConfigRequest],
) (*connect.Response[peerv1.PullConfigResponse], error) {
	return service.node.config.PullConfig(ctx, request)
}

// SubmitJob accepts a job if this process owns the job's domain, the region in which the job is scheduled.
func (service peerService) SubmitJob(
	ctx context.Context, request *connect.Request[peerv1.SubmitJobRequest],
) (*connect.Response[peerv1.SubmitJobResponse], error) {
	response, err := service.node.jobs.SubmitJob(ctx, request.Msg)
	return respond(response, err)
}

// CancelJob cancels a job if this process owns the job's domain.
func (service peerService) CancelJob(
	ctx context.Context, request *connect.Request[peerv1.CancelJobRequest],
) (*connect.Response[peerv1.CancelJobResponse], error) {
	response, err := service.node.jobs.CancelJob(ctx, request.Msg)
	return respond(response, err)
}

// ExplainJob returns the state of a job and the reasons for it if this process owns the job's domain.
func (service peerService) ExplainJob(
	ctx context.Context, request *connect.Request[peerv1.ExplainJobRequest],
) (*connect.Response[peerv1.ExplainJobResponse], error) {
	response, err := service.node.jobs.ExplainJob(ctx, request.Msg)
	return respond(response, err)
}

// ListEvacuatedWork returns the work in evacuated data centres if this process owns a domain.
func (service peerService) ListEvacuatedWork(
	ctx context.Context, request *connect.Request[peerv1.ListEvacuatedWorkRequest],
) (*connect.Response[peerv1.ListEvacuatedWorkResponse], error) {
	response, err := service.node.jobs.ListEvacuatedWork(ctx, request.Msg)
	return respond(response, err)
}

// JobEnds accepts the final records of jobs that the process that owns the jobs' domain could not write to the store
// yet.
func (service peerService) JobEnds(
	ctx context.Context, request *connect.Request[peerv1.JobEndsRequest],
) (*connect.Response[peerv1.JobEndsResponse], error) {
	response, err := service.node.jobs.JobEnds(ctx, request.Msg)
	return respond(response, err)
}

// ForwardCall runs a request on a slot of this process, or handles it as the home of the request id, the process that
// prevents a second run of the request.
func (service peerService) ForwardCall(
	ctx context.Context, request *connect.Request[peerv1.ForwardCallRequest],
) (*connect.Response[callerv1.CallResponse], error) {
	response, err := service.node.calls.ForwardCall(ctx, request.Msg)
	return respond(response, err)
}

// RecordOutcomes records outcomes of idempotent requests for whose ids this process is the home.
func (service peerService) RecordOutcomes(
	ctx context.Context, request *connect.Request[peerv1.RecordOutcomesRequest],
) (*connect.Response[peerv1.RecordOutcomesResponse], error) {
	response, err := service.node.calls.RecordOutcomes(ctx, request.Msg)
	return respond(response, err)
}

// LookUp returns the status of a request for whose id this process is the home.
func (service peerService) LookUp(
	ctx context.Context, request *connect.Request[peerv1.LookUpRequest],
) (*connect.Response[callerv1.StatusResponse], error) {
	response, err := service.node.calls.LookUp(ctx, request.Msg)
	return respond(response, err)
}
