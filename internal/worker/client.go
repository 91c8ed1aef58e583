// Package worker sends commands to workers: it reserves leases and starts, renews and stops gangs of tasks. It also
// keeps tables of the leases that workers report. A gang is one attempt to run a job, with one task (member) per lease.
// A sync is a request that renews and acknowledges leases at one worker and returns the changes of its leases.
package worker

import (
	"context"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1/workerv1connect"
)

// Client sends commands to one worker. After an error, the command may or may not have taken effect.
type Client interface {
	Reserve(ctx context.Context, request *workerv1.ReserveRequest) (*workerv1.ReserveResponse, error)
	Start(ctx context.Context, request *workerv1.StartRequest) (*workerv1.CommandResponse, error)
	Release(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error)
	Stop(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error)
	Checkpoint(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error)
	Throttle(ctx context.Context, request *workerv1.ThrottleRequest) (*workerv1.CommandResponse, error)
	Sync(ctx context.Context, request *workerv1.SyncRequest) (*workerv1.SyncResponse, error)
}

// maxResponse is the maximum size of a response in bytes.
const maxResponse = 4 << 20

// NewClient returns a Client for the worker at baseURL.
func NewClient(client connect.HTTPClient, baseURL string) Client {
	return remote{workerv1connect.NewWorkerServiceClient(client, baseURL,
		connect.WithReadMaxBytes(maxResponse), transport.Uncompressed())}
}

// remote implements Client with the RPC client that is generated from the protocol.
type remote struct {
	service workerv1connect.WorkerServiceClient
}

func send[Q, A any](
	ctx context.Context, request *Q, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	response, err := call(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (remote remote) Reserve(ctx context.Context, request *workerv1.ReserveRequest) (*workerv1.ReserveResponse, error) {
	return send(ctx, request, remote.service.Reserve)
}

func (remote remote) Start(ctx context.Context, request *workerv1.StartRequest) (*workerv1.CommandResponse, error) {
	return send(ctx, request, remote.service.Start)
}

func (remote remote) Release(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error) {
	return send(ctx, request, remote.service.Release)
}

func (remote remote) Stop(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error) {
	return send(ctx, request, remote.service.Stop)
}

func (remote remote) Checkpoint(
	ctx context.Context, request *workerv1.CommandRequest,
) (*workerv1.CommandResponse, error) {
	return send(ctx, request, remote.service.Checkpoint)
}

func (remote remote) Throttle(
	ctx context.Context, request *workerv1.ThrottleRequest,
) (*workerv1.CommandResponse, error) {
	return send(ctx, request, remote.service.Throttle)
}

func (remote remote) Sync(ctx context.Context, request *workerv1.SyncRequest) (*workerv1.SyncResponse, error) {
	return send(ctx, request, remote.service.Sync)
}
