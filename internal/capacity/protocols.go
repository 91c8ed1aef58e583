package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1/workerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// callsPerPoint is the number of calls that are measured for one point.
const callsPerPoint = 3000

// serveOnLoopback serves a handler on loopback. It returns its URL, a client, the counter of the client's bytes, and a
// function that stops client and server.
func serveOnLoopback(handler http.Handler) (string, *http.Client, *byteCounter, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, nil, nil, errors.Wrap(err, "listen")
	}
	server := transport.NewServer(handler, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	counter := &byteCounter{}
	client := transport.NewHTTPClientWithDial(nil, counter.dial)
	stop := func() {
		client.CloseIdleConnections()
		_ = server.Close()
		<-done
	}
	return transport.BaseURL(listener.Addr().String(), nil), client, counter, stop, nil
}

// measureCalls returns the mean cost of a call at one size.
func measureCalls(size int, counter *byteCounter, call func() error) (Point, error) {
	if err := call(); err != nil {
		return Point{}, err
	}
	before := counter.bytes.Load()
	cpu, err := repeatConcurrently(callsPerPoint, call)
	if err != nil {
		return Point{}, err
	}
	return Point{Size: size, CPU: cpu, Bytes: float64(counter.bytes.Load()-before) / callsPerPoint}, nil
}

// workerSync measures one Sync call that renews all leases of a worker.
func workerSync(ctx context.Context) (Series, error) {
	series := Series{Operation: "worker: one Sync that renews every lease", Unit: "leases"}
	for _, leases := range []int{1, 5, 10, 20} {
		point, err := measureSync(ctx, leases)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

func measureSync(ctx context.Context, leases int) (Point, error) {
	machine := fleet.Worker{
		ID: "w", Accelerators: fleet.Accelerators(leases), Cores: fleet.Cores(leases), Memory: fleet.Bytes(leases),
	}
	standin := worker.New(machine, worker.NewRecord(), worker.Settings{})
	url, client, counter, stop, err := serveOnLoopback(standin.Handler())
	if err != nil {
		return Point{}, err
	}
	defer stop()
	stub := workerv1connect.NewWorkerServiceClient(client, url, transport.Uncompressed())
	request := &workerv1.SyncRequest{TtlMs: 3_600_000}
	for i := range leases {
		id := fmt.Sprintf("0123456789.%d.1.%d", i, i)
		request.Renew = append(request.Renew, id)
		if err := startTask(ctx, stub, id); err != nil {
			return Point{}, err
		}
	}
	first, err := stub.Sync(ctx, connect.NewRequest(request))
	if err != nil {
		return Point{}, errors.Wrap(err, "sync")
	}
	request.Since = first.Msg.Revision
	return measureCalls(leases, counter, func() error {
		_, err := stub.Sync(ctx, connect.NewRequest(request))
		return err
	})
}

func startTask(ctx context.Context, stub workerv1connect.WorkerServiceClient, id string) error {
	label := &workerv1.LeaseLabel{
		Organisation: "organisation-100", JobId: "job-123456", Profile: "planning", Attempt: 1, GangMembers: 1,
	}
	reserved, err := stub.Reserve(ctx, connect.NewRequest(&workerv1.ReserveRequest{
		LeaseId: id, Accelerators: 1, TtlMs: 60_000, Label: label,
	}))
	if err != nil || !reserved.Msg.Granted {
		return errors.Errorf("reserve: %v, %v", reserved, err)
	}
	input := worker.Input{RunTimeMS: 3_600_000}
	started, err := stub.Start(ctx, connect.NewRequest(&workerv1.StartRequest{
		LeaseId: id, TtlMs: 3_600_000, Input: input.Encode(),
	}))
	if err != nil || !started.Msg.Done {
		return errors.Errorf("start: %v, %v", started, err)
	}
	return nil
}

// heartbeatServer is a peer service that returns the same response to all heartbeats.
type heartbeatServer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	response *peerv1.HeartbeatResponse
}

// Heartbeat returns the fixed response.
func (server heartbeatServer) Heartbeat(
	context.Context, *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return connect.NewResponse(server.response), nil
}

// heartbeat measures one heartbeat and its response.
func heartbeat(ctx context.Context) (Series, error) {
	series := Series{Operation: "membership: one heartbeat and its answer", Unit: "services"}
	for _, services := range []int{1, 4, 16} {
		free := map[string]int32{}
		for i := range services {
			free[fmt.Sprintf("service-%d", i)] = 50
		}
		response := &peerv1.HeartbeatResponse{
			VmId: "entry-100", Incarnation: 1 << 60, ConfigRevision: 1 << 20, Seat: 5, Ready: true, FreeSlots: free,
			DataCentre: "westlands",
		}
		_, handler := peerv1connect.NewPeerServiceHandler(heartbeatServer{response: response})
		url, client, counter, stop, err := serveOnLoopback(handler)
		if err != nil {
			return series, err
		}
		stub := peerv1connect.NewPeerServiceClient(client, url, transport.Uncompressed())
		request := &peerv1.HeartbeatRequest{
			VmId: "entry-101", Incarnation: 1 << 60, ConfigRevision: 1 << 20, Seat: 6, Ready: true, FreeSlots: free,
			Address: "10.100.100.100:7001", DataCentre: "westlands",
		}
		point, err := measureCalls(services, counter, func() error {
			_, err := stub.Heartbeat(ctx, connect.NewRequest(request))
			return err
		})
		stop()
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}
