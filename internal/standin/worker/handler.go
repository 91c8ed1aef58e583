package worker

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1/workerv1connect"
)

// maxRequest is the size limit of one request in bytes.
const maxRequest = 1 << 20

// Handler returns the handler that serves the worker's protocol.
func (worker *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(workerv1connect.NewWorkerServiceHandler(server{worker}, connect.WithReadMaxBytes(maxRequest)))
	return mux
}

// server adapts a Worker to the generated interface.
type server struct{ worker *Worker }

func (server server) Reserve(
	ctx context.Context, request *connect.Request[workerv1.ReserveRequest],
) (*connect.Response[workerv1.ReserveResponse], error) {
	return transport.CallUnary(ctx, request, server.worker.Reserve)
}

func (server server) Start(
	ctx context.Context, request *connect.Request[workerv1.StartRequest],
) (*connect.Response[workerv1.CommandResponse], error) {
	return transport.CallUnary(ctx, request, server.worker.Start)
}

func (server server) Release(
	ctx context.Context, request *connect.Request[workerv1.CommandRequest],
) (*connect.Response[workerv1.CommandResponse], error) {
	return transport.CallUnary(ctx, request, server.worker.Release)
}

func (server server) Stop(
	ctx context.Context, request *connect.Request[workerv1.CommandRequest],
) (*connect.Response[workerv1.CommandResponse], error) {
	return transport.CallUnary(ctx, request, server.worker.Stop)
}

func (server server) Checkpoint(
	ctx context.Context, request *connect.Request[workerv1.CommandRequest],
) (*connect.Response[workerv1.CommandResponse], error) {
	return transport.CallUnary(ctx, request, server.worker.Checkpoint)
}

func (server server) Throttle(
	ctx context.Context, request *connect.Request[workerv1.ThrottleRequest],
) (*connect.Response[workerv1.CommandResponse], error) {
	return transport.CallUnary(ctx, request, server.worker.Throttle)
}

func (server server) Sync(
	ctx context.Context, request *connect.Request[workerv1.SyncRequest],
) (*connect.Response[workerv1.SyncResponse], error) {
	return transport.CallUnary(ctx, request, server.worker.Sync)
}
