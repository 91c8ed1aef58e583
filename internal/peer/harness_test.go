package peer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// cluster is a set of processes that call each other directly, on the fake clock of a synctest bubble.
type cluster struct {
	t         *testing.T
	standin   *standin.Platform
	mu        sync.Mutex
	processes map[string]*process
	// cut holds the pairs of sender and receiver whose heartbeats are lost.
	cut       map[[2]string]bool
	inventory fleet.Inventory
}

// process is a Membership that can be stopped and paused.
type process struct {
	*Membership
	cluster *cluster
	cancel  context.CancelFunc
	done    chan struct{}
	// resumeSignal is closed at the end of a pause. It is nil while the process is not paused.
	resumeSignal chan struct{}
}

func (process *process) pause() {
	process.cluster.mu.Lock()
	defer process.cluster.mu.Unlock()
	process.resumeSignal = make(chan struct{})
}

func (process *process) resume() {
	process.cluster.mu.Lock()
	defer process.cluster.mu.Unlock()
	close(process.resumeSignal)
	process.resumeSignal = nil
}

func (process *process) waitForResume() {
	process.cluster.mu.Lock()
	resumed := process.resumeSignal
	process.cluster.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func newCluster(t *testing.T, size int) *cluster {
	cluster := &cluster{t: t, standin: standin.New(), processes: map[string]*process{}, cut: map[[2]string]bool{}}
	t.Cleanup(func() {
		for _, process := range cluster.processes {
			process.stop()
		}
	})
	for i := range size {
		cluster.list(fmt.Sprintf("vm%d", i))
	}
	for i := range size {
		cluster.start(fmt.Sprintf("vm%d", i), 1)
	}
	return cluster
}

// vmOf returns the entry VM with a name. VMs with an even number are in region a, the others in region b.
func vmOf(name string) fleet.EntryVM {
	region := fleet.RegionID("a")
	if name[len(name)-1]%2 == 1 {
		region = "b"
	}
	return fleet.EntryVM{
		ID: fleet.VMID(name), Address: name, Region: region, DataCentre: fleet.DataCentreID("dc-" + region),
	}
}

func (cluster *cluster) list(name string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.inventory.Revision++
	cluster.inventory.Entries = append([]fleet.EntryVM{vmOf(name)}, cluster.inventory.Entries...)
}

func (cluster *cluster) unlist(name string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.inventory.Revision++
	var kept []fleet.EntryVM
	for _, entry := range cluster.inventory.Entries {
		if entry.Address != name {
			kept = append(kept, entry)
		}
	}
	cluster.inventory.Entries = kept
}

func (cluster *cluster) start(name string, incarnation int64) *process {
	ctx, cancel := context.WithCancel(context.Background())
	started := &process{
		Membership: NewMembership(standin.NewDirect(cluster.standin), vmOf(name), incarnation),
		cluster:    cluster,
		cancel:     cancel,
		done:       make(chan struct{}),
	}
	started.seats.Random = func() float64 { return float64(name[len(name)-1]%7) / 7 }
	started.Inventory = func() (fleet.Inventory, bool) {
		started.waitForResume()
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		return cluster.inventory, true
	}
	started.NewClient = func(address string) peerv1connect.PeerServiceClient {
		return &directClient{cluster: cluster, from: name, to: address}
	}
	cluster.mu.Lock()
	cluster.processes[name] = started
	cluster.mu.Unlock()
	go func() {
		defer close(started.done)
		_ = started.Run(ctx)
	}()
	return started
}

// stop ends a process without releasing its seat.
func (process *process) stop() {
	process.cancel()
	<-process.done
}

func (cluster *cluster) kill(name string) {
	cluster.mu.Lock()
	killed := cluster.processes[name]
	delete(cluster.processes, name)
	cluster.mu.Unlock()
	killed.stop()
}

func (cluster *cluster) setCut(cut bool, from, to string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.cut[[2]string{from, to}] = cut
}

func (cluster *cluster) heal() {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	clear(cluster.cut)
}

// ownersOf returns the owners of a region according to all processes other than except, with the number of processes
// that return each owner.
func (cluster *cluster) ownersOf(region fleet.RegionID, except string) map[fleet.VMID]int {
	owners := map[fleet.VMID]int{}
	for name, process := range cluster.processes {
		if name != except {
			owner, _ := process.Owner(region)
			owners[owner.VM.ID]++
		}
	}
	return owners
}

// holders returns, for each seat, the processes whose OwnSeat returns it.
func (cluster *cluster) holders() map[Seat][]string {
	holders := map[Seat][]string{}
	for name, process := range cluster.processes {
		if seat, _, ok := process.OwnSeat(); ok {
			holders[seat] = append(holders[seat], name)
		}
	}
	return holders
}

// directClient is a client that calls the handler of another process directly.
type directClient struct {
	peerv1connect.UnimplementedPeerServiceHandler
	cluster  *cluster
	from, to string
}

// Heartbeat calls the receiver. It fails if the receiver does not exist, and times out if the receiver is paused or the
// heartbeats of this sender to it are lost.
func (client *directClient) Heartbeat(
	ctx context.Context, request *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	client.cluster.mu.Lock()
	receiver := client.cluster.processes[client.to]
	cut := client.cluster.cut[[2]string{client.from, client.to}] || (receiver != nil && receiver.resumeSignal != nil)
	client.cluster.mu.Unlock()
	if receiver == nil {
		return nil, errors.New("connection refused")
	}
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return receiver.Membership.Heartbeat(ctx, request)
}

func sampleFor(total time.Duration, sample func()) {
	for range total / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		sample()
	}
}
