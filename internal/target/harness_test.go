package target

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	testService = fleet.ServiceName("tuning")
	testLongest = 2 * time.Second
	testSeats   = 7
)

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ config *profile.Config }

func (configs fixedConfig) Current() *profile.Config { return configs.config }

func testConfig(organisations ...fleet.OrganisationID) fixedConfig {
	config := &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
	limits := profile.Limits{MaxWaiting: 10_000, MaxRunTime: profile.Duration(testLongest), MaxBody: 1 << 16}
	for _, id := range organisations {
		config.Organisations[id] = &profile.Organisation{ID: id, Profiles: []profile.Profile{
			{Name: "read", Service: testService, Idempotent: true, Limits: limits},
			{Name: "write", Service: testService, Limits: limits},
		}}
	}
	return fixedConfig{config: config}
}

// cluster is a set of routers that reach each other in memory, and targets that they reach over pipes.
type cluster struct {
	t       testing.TB
	routers []*Router
	targets []*standin.Target
	record  *standin.Record
	network *network
	since   []time.Time

	mu sync.Mutex
	// down holds the processes that do not answer; lost those whose answers get lost after they were asked.
	down, lost map[int]bool
	// listed overrides the inventory that every process reads; nil lists all targets.
	listed []fleet.Target
	// blind makes every process see free slots everywhere, as an out-of-date view does.
	blind  bool
	cancel context.CancelFunc
	runs   sync.WaitGroup
}

// network connects dialled addresses to listeners in memory.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

func (network *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	network.mu.Lock()
	listener, ok := network.listeners[address]
	network.mu.Unlock()
	if !ok {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case listener.accept <- far:
		return near, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeListener struct {
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (network *network) listen(address string) *pipeListener {
	listener := &pipeListener{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	network.mu.Lock()
	defer network.mu.Unlock()
	network.listeners[address] = listener
	return listener
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.accept:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return pipeAddress(listener.address) }

type pipeAddress string

func (pipeAddress) Network() string        { return "pipe" }
func (address pipeAddress) String() string { return string(address) }

// newCluster starts routers and targets in a synctest bubble. Seat i belongs to router i, since the start of the
// fake clock minus an hour, so that all slots are usable at once.
func newCluster(t testing.TB, routers, targets int, adjust func(*cluster)) *cluster {
	made := &cluster{
		t: t, record: standin.NewRecord(), network: &network{listeners: map[string]*pipeListener{}},
		down: map[int]bool{}, lost: map[int]bool{},
	}
	for i := range targets {
		address := fmt.Sprintf("target-%d:80", i)
		made.targets = append(made.targets, &standin.Target{
			ID: fleet.TargetID(fmt.Sprintf("target-%d", i)), Slots: 8, Connections: 60,
			Record: made.record, Listener: made.network.listen(address), LateBy: testLongest / 2,
		})
	}
	for i := range routers {
		made.since = append(made.since, time.Now().Add(-time.Hour))
		made.routers = append(made.routers, &Router{
			View: clusterView{cluster: made, self: i}, Configs: testConfig("reed", "bands", "choirs"),
			Targets: made.inventory, DataCentre: "ngara", Dial: made.network.dial, Seed: uint64(i + 1),
			DefaultRequestTime: testLongest,
		})
	}
	if adjust != nil {
		adjust(made)
	}
	ctx, cancel := context.WithCancel(context.Background())
	made.cancel = cancel
	for _, target := range made.targets {
		target.Start()
	}
	for _, router := range made.routers {
		made.runs.Go(func() { _ = router.Run(ctx) })
	}
	return made
}

// stop ends everything and waits for it.
func (cluster *cluster) stop() {
	for _, router := range cluster.routers {
		_ = router.Close()
	}
	cluster.cancel()
	cluster.runs.Wait()
	for _, target := range cluster.targets {
		target.Close()
	}
	// Runs on targets go on for a while after their connections ended.
	time.Sleep(2 * testLongest)
}

func (cluster *cluster) inventory() []fleet.Target {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.listed != nil {
		return cluster.listed
	}
	return cluster.all()
}

func (cluster *cluster) all() []fleet.Target {
	var list []fleet.Target
	for i, target := range cluster.targets {
		list = append(list, target.Fleet(testService, []fleet.DataCentreID{"ngara", "gikomba"}[i%2]))
	}
	return list
}

func (cluster *cluster) list(targets []fleet.Target) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.listed = targets
}

func (cluster *cluster) setDown(process int, down bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.down[process] = down
}

func (cluster *cluster) setLost(process int, lost bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.lost[process] = lost
}

// takeSeat makes a process the new holder of its seat, with an empty history.
func (cluster *cluster) takeSeat(process int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.since[process] = time.Now()
	router := cluster.routers[process]
	router.ledger = newLedger(router.MaxRecords, router.MaxHeldAnswers)
}

// call sends a request to one process.
func (cluster *cluster) call(ctx context.Context, process int, call *callerv1.CallRequest) *callerv1.CallResponse {
	return cluster.routers[process].Call(ctx, "reed", call)
}

func newCall(id, name, body string) *callerv1.CallRequest {
	return &callerv1.CallRequest{
		RequestId: id, Profile: name, Caller: "c", Body: []byte(body), FirstSentUnixMs: time.Now().UnixMilli(),
	}
}

// homeProcess returns the process that is the home of a request id of organisation reed.
func (cluster *cluster) homeProcess(id string) int {
	return int(rankSeats("reed/"+id, testSeats)[0])
}

// clusterView shows every process to every other one.
type clusterView struct {
	cluster *cluster
	self    int
}

func (view clusterView) peer(process int) peer.Peer {
	shown := peer.Peer{
		VM: fleet.EntryVM{ID: fleet.VMID(fmt.Sprintf("vm-%d", process))}, Seat: peer.Seat(process), Ready: true,
	}
	if process != view.self {
		shown.Client = peerClient{cluster: view.cluster, process: process}
	}
	return shown
}

func (view clusterView) Self() peer.Peer { return view.peer(view.self) }

func (view clusterView) Live() []peer.Peer {
	var live []peer.Peer
	for i, router := range view.cluster.routers {
		if i == view.self || view.cluster.isDown(i) {
			continue
		}
		shown := view.peer(i)
		shown.FreeSlots = map[fleet.ServiceName]int{testService: 4}
		if !view.cluster.blind {
			shown.FreeSlots = router.FreeSlots()
		}
		live = append(live, shown)
	}
	return live
}

func (view clusterView) Owner(fleet.RegionID) (peer.Peer, bool) { return peer.Peer{}, false }

func (view clusterView) OwnSeat() (peer.Seat, time.Time, bool) {
	view.cluster.mu.Lock()
	defer view.cluster.mu.Unlock()
	if view.self >= testSeats {
		return peer.NoSeat, time.Time{}, false
	}
	return peer.Seat(view.self), view.cluster.since[view.self], true
}

func (view clusterView) SeatHolder(seat peer.Seat) (peer.Peer, bool) {
	if int(seat) >= len(view.cluster.routers) || view.cluster.isDown(int(seat)) {
		return peer.Peer{}, false
	}
	return view.peer(int(seat)), true
}

func (view clusterView) Seats() int { return testSeats }

func (cluster *cluster) isDown(process int) bool {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.down[process]
}

// peerClient reaches another process in memory.
type peerClient struct {
	peerv1connect.PeerServiceClient
	cluster *cluster
	process int
}

var errCut = connect.NewError(connect.CodeUnavailable, errors.New("connection ended"))

// reach reports the router of the process, and whether its answer gets lost.
func (client peerClient) reach(ctx context.Context) (router *Router, lost bool, err error) {
	client.cluster.mu.Lock()
	defer client.cluster.mu.Unlock()
	if client.cluster.down[client.process] {
		return nil, false, errCut
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.WroteHeaderField("", nil)
	}
	return client.cluster.routers[client.process], client.cluster.lost[client.process], nil
}

// ForwardCall calls the router of the process.
func (client peerClient) ForwardCall(ctx context.Context, request *connect.Request[peerv1.ForwardCallRequest]) (
	*connect.Response[callerv1.CallResponse], error,
) {
	router, lost, err := client.reach(ctx)
	if err != nil {
		return nil, err
	}
	answer, err := router.ForwardCall(ctx, request.Msg)
	if lost {
		return nil, errCut
	}
	return connect.NewResponse(answer), err
}

// LookUp calls the router of the process.
func (client peerClient) LookUp(ctx context.Context, request *connect.Request[peerv1.LookUpRequest]) (
	*connect.Response[callerv1.StatusResponse], error,
) {
	router, lost, err := client.reach(ctx)
	if err != nil || lost {
		return nil, errCut
	}
	answer, err := router.LookUp(ctx, request.Msg)
	return connect.NewResponse(answer), err
}

// RecordOutcomes calls the router of the process.
func (client peerClient) RecordOutcomes(ctx context.Context, request *connect.Request[peerv1.RecordOutcomesRequest]) (
	*connect.Response[peerv1.RecordOutcomesResponse], error,
) {
	router, lost, err := client.reach(ctx)
	if err != nil || lost {
		return nil, errCut
	}
	answer, err := router.RecordOutcomes(ctx, request.Msg)
	return connect.NewResponse(answer), err
}
