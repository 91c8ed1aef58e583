package target

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/standin/network"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	testService     = fleet.ServiceName("tuning")
	testRequestTime = 2 * time.Second
	testSeats       = 7
)

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ config *profile.Config }

func (configs fixedConfig) Current() *profile.Config { return configs.config }

func testConfig(organisations ...fleet.OrganisationID) fixedConfig {
	config := &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
	limits := profile.Limits{MaxWaiting: 10_000, MaxRunTime: profile.Duration(testRequestTime), MaxBody: 1 << 16}
	for _, id := range organisations {
		config.Organisations[id] = &profile.Organisation{ID: id, Profiles: []profile.Profile{
			{Name: "read", Service: testService, Idempotent: true, Limits: limits},
			{Name: "write", Service: testService, Limits: limits},
		}}
	}
	return fixedConfig{config: config}
}

// cluster is a set of routers that call each other in memory, and of targets that they reach over in-memory
// connections.
type cluster struct {
	t       testing.TB
	targets []*standin.Target
	record  *standin.Record
	network *network.Network

	mu sync.Mutex
	// processes holds the current process of each VM.
	processes []*process
	// down holds the VMs, by index, whose process does not respond. dropsResponses holds the VMs whose process serves
	// calls of peers, but whose responses to peers are lost.
	down, dropsResponses map[int]bool
	// inventoryOverride replaces the inventory that every process reads; nil lists all targets.
	inventoryOverride []fleet.Target
	// alwaysReportFree makes the heartbeats of every process report free slots, as an out-of-date heartbeat can.
	alwaysReportFree bool
	// reported holds the free slots in the last heartbeat of each VM.
	reported   []map[fleet.ServiceName]int
	stopped    chan struct{}
	background sync.WaitGroup
}

// process is one entry process, reduced to its router. since is the time at which the process claimed its seat.
type process struct {
	*Router
	since  time.Time
	killed atomic.Bool
	cancel context.CancelFunc
}

// newCluster starts routers and targets in a synctest bubble. Router i has held seat i for an hour at the start of the
// fake clock, so that all slots are usable at once.
func newCluster(t testing.TB, routers, targets int, adjust func(*cluster)) *cluster {
	made := &cluster{
		t: t, record: standin.NewRecord(), network: network.New(),
		down: map[int]bool{}, dropsResponses: map[int]bool{}, stopped: make(chan struct{}),
		reported: make([]map[fleet.ServiceName]int, routers),
	}
	for i := range targets {
		address := fmt.Sprintf("target-%d:80", i)
		made.targets = append(made.targets, &standin.Target{
			ID: fleet.TargetID(fmt.Sprintf("target-%d", i)), Slots: 8, Connections: 60,
			Record: made.record, Listener: made.network.Listen(address), LateBy: testRequestTime / 2,
		})
	}
	for i := range routers {
		made.processes = append(made.processes, made.newProcess(i, time.Now().Add(-time.Hour)))
	}
	if adjust != nil {
		adjust(made)
	}
	for _, target := range made.targets {
		target.Start()
	}
	for _, process := range made.processes {
		made.start(process)
	}
	made.heartbeat()
	made.background.Go(made.runHeartbeats)
	return made
}

// runHeartbeats sends the free slots of every process to all others at an interval, until the cluster stops.
func (cluster *cluster) runHeartbeats() {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-cluster.stopped:
			return
		case <-ticker.C:
			cluster.heartbeat()
		}
	}
}

func (cluster *cluster) heartbeat() {
	reported := make([]map[fleet.ServiceName]int, len(cluster.processes))
	for vm := range reported {
		reported[vm] = map[fleet.ServiceName]int{testService: 4}
		if !cluster.alwaysReportFree {
			reported[vm] = cluster.process(vm).FreeSlots()
		}
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.reported = reported
}

func (cluster *cluster) freeSlots(vm int) map[fleet.ServiceName]int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.reported[vm]
}

func (cluster *cluster) newProcess(vm int, since time.Time) *process {
	made := &process{since: since}
	made.Router = &Router{
		View: clusterView{cluster: cluster, self: vm, own: made}, Configs: testConfig("reed", "bands", "choirs"),
		Targets: cluster.inventory, DataCentre: "ngara", Seed: uint64(vm + 1), DefaultRequestTime: testRequestTime,
		Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
			if made.killed.Load() {
				return nil, errConnectionCut
			}
			return cluster.network.Dial(ctx, kind, address)
		},
	}
	return made
}

func (cluster *cluster) start(process *process) {
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	process.init()
	cluster.background.Go(func() { _ = process.Run(ctx) })
}

// replace kills the process of a VM and starts a new process, which holds the same seat but has no history of request
// ids.
func (cluster *cluster) replace(vm int) {
	cluster.mu.Lock()
	former := cluster.processes[vm]
	next := cluster.newProcess(vm, time.Now())
	cluster.processes[vm] = next
	cluster.mu.Unlock()
	former.kill()
	cluster.start(next)
}

// kill ends a process at once. Nothing that it still does reaches a target, a peer or a caller.
func (process *process) kill() {
	process.killed.Store(true)
	process.cancel()
	for _, group := range process.allGroups() {
		group.closePools()
	}
}

func (process *process) seat() peer.Seat {
	seat, _, _ := process.View.OwnSeat()
	return seat
}

func (cluster *cluster) process(vm int) *process {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.processes[vm]
}

// stop ends all processes and targets and waits for them.
func (cluster *cluster) stop() {
	for _, process := range cluster.processes {
		_ = process.Close()
		process.cancel()
	}
	close(cluster.stopped)
	cluster.background.Wait()
	for _, target := range cluster.targets {
		target.Close()
	}
	// Runs on targets continue for a while after their connections have ended.
	time.Sleep(2 * testRequestTime)
}

func (cluster *cluster) inventory() []fleet.Target {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.inventoryOverride != nil {
		return cluster.inventoryOverride
	}
	return cluster.allTargets()
}

func (cluster *cluster) allTargets() []fleet.Target {
	var list []fleet.Target
	for i, target := range cluster.targets {
		list = append(list, target.FleetTarget(testService, []fleet.DataCentreID{"ngara", "gikomba"}[i%2]))
	}
	return list
}

func (cluster *cluster) setInventory(targets []fleet.Target) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.inventoryOverride = targets
}

func (cluster *cluster) setDown(process int, down bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.down[process] = down
}

func (cluster *cluster) setDropsResponses(process int, drops bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.dropsResponses[process] = drops
}

// call sends a request of organisation reed to one process.
func (cluster *cluster) call(ctx context.Context, process int, call *callerv1.CallRequest) *callerv1.CallResponse {
	return cluster.process(process).Call(ctx, "reed", call)
}

func newCall(id, name, body string) *callerv1.CallRequest {
	return &callerv1.CallRequest{
		RequestId: id, Profile: name, Caller: "c", Body: []byte(body), FirstSentUnixMs: time.Now().UnixMilli(),
	}
}

// homeProcess returns the process that is the home of a request id of organisation reed.
func (cluster *cluster) homeProcess(id string) int {
	return int(peer.RankSeats("reed/"+id, testSeats)[0])
}

// clusterView is the membership view of one process. It contains all processes that are not down.
type clusterView struct {
	cluster *cluster
	self    int
	own     *process
}

func (view clusterView) peer(process int) peer.Peer {
	shown := peer.Peer{
		VM: fleet.EntryVM{ID: fleet.VMID(fmt.Sprintf("vm-%d", process))}, Seat: peer.Seat(process), Ready: true,
	}
	if process != view.self {
		shown.Client = peerClient{cluster: view.cluster, process: process, from: view.own}
	}
	return shown
}

func (view clusterView) Self() peer.Peer { return view.peer(view.self) }

func (view clusterView) Live() []peer.Peer {
	var live []peer.Peer
	for i := range view.cluster.processes {
		if i == view.self || view.cluster.isDown(i) {
			continue
		}
		shown := view.peer(i)
		shown.FreeSlots = view.cluster.freeSlots(i)
		live = append(live, shown)
	}
	return live
}

func (view clusterView) Owner(fleet.RegionID) (peer.Peer, bool) { return peer.Peer{}, false }

func (view clusterView) OwnSeat() (peer.Seat, time.Time, bool) {
	if view.self >= testSeats {
		return peer.NoSeat, time.Time{}, false
	}
	return peer.Seat(view.self), view.own.since, true
}

func (view clusterView) SeatHolder(seat peer.Seat) (peer.Peer, bool) {
	if int(seat) >= len(view.cluster.processes) || view.cluster.isDown(int(seat)) {
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

// peerClient calls another process in memory.
type peerClient struct {
	peerv1connect.PeerServiceClient
	cluster *cluster
	process int
	from    *process
}

var errConnectionCut = connect.NewError(connect.CodeUnavailable, errors.New("connection ended"))

// callPeer calls the current process of a VM. The response is lost if dropsResponses contains the VM or if either
// process was killed.
func callPeer[Message any](ctx context.Context, client peerClient, call func(*Router) (*Message, error)) (
	*connect.Response[Message], error,
) {
	if client.from.killed.Load() || client.cluster.isDown(client.process) {
		return nil, errConnectionCut
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.WroteHeaderField("", nil)
	}
	receiver := client.cluster.process(client.process)
	message, err := call(receiver.Router)
	client.cluster.mu.Lock()
	lost := client.cluster.dropsResponses[client.process]
	client.cluster.mu.Unlock()
	if lost || receiver.killed.Load() || client.from.killed.Load() {
		return nil, errConnectionCut
	}
	return connect.NewResponse(message), err
}

// ForwardCall calls ForwardCall of the router of the process.
func (client peerClient) ForwardCall(ctx context.Context, request *connect.Request[peerv1.ForwardCallRequest]) (
	*connect.Response[callerv1.CallResponse], error,
) {
	return callPeer(ctx, client, func(router *Router) (*callerv1.CallResponse, error) {
		return router.ForwardCall(ctx, request.Msg)
	})
}

// LookUp calls LookUp of the router of the process.
func (client peerClient) LookUp(ctx context.Context, request *connect.Request[peerv1.LookUpRequest]) (
	*connect.Response[callerv1.StatusResponse], error,
) {
	return callPeer(ctx, client, func(router *Router) (*callerv1.StatusResponse, error) {
		return router.LookUp(ctx, request.Msg)
	})
}

// RecordOutcomes calls RecordOutcomes of the router of the process.
func (client peerClient) RecordOutcomes(ctx context.Context, request *connect.Request[peerv1.RecordOutcomesRequest]) (
	*connect.Response[peerv1.RecordOutcomesResponse], error,
) {
	return callPeer(ctx, client, func(router *Router) (*peerv1.RecordOutcomesResponse, error) {
		return router.RecordOutcomes(ctx, request.Msg)
	})
}
