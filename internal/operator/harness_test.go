package operator

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/standin/network"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// process is a Distributor from which peers can pull the configuration. It records the revisions that subscribers
// receive.
type process struct {
	*Distributor
	peerv1connect.UnimplementedPeerServiceHandler
	id fleet.VMID

	mu        sync.Mutex
	revisions []fleet.Revision
}

func newProcess(index int, store platform.Store) *process {
	created := &process{Distributor: NewDistributor(store), id: fleet.VMID(fmt.Sprintf("vm%d", index))}
	created.Random = func() float64 { return float64(index%7+1) / 8 }
	created.Subscribe(func(config *profile.Config) {
		created.mu.Lock()
		defer created.mu.Unlock()
		created.revisions = append(created.revisions, config.Revision)
	})
	return created
}

// PullConfig implements the peer service with the Distributor.
func (process *process) PullConfig(
	ctx context.Context, request *connect.Request[peerv1.PullConfigRequest],
) (*connect.Response[peerv1.PullConfigResponse], error) {
	return process.Distributor.PullConfig(ctx, request)
}

func (process *process) asPeer() peer.Peer {
	return peer.Peer{VM: fleet.EntryVM{ID: process.id}, Client: process}
}

func (process *process) receiveRevisions(others []*process) {
	for _, other := range others {
		if other != process {
			process.RecordPeerRevision(other.asPeer(), other.Revision())
		}
	}
}

// checkRevisionsIncrease returns an error if a revision that came into force was not higher than the one before.
func (process *process) checkRevisionsIncrease() error {
	process.mu.Lock()
	defer process.mu.Unlock()
	for i := 1; i < len(process.revisions); i++ {
		if process.revisions[i] <= process.revisions[i-1] {
			return fmt.Errorf("revisions in force at %s do not increase: %v", process.id, process.revisions)
		}
	}
	return nil
}

// cluster is a set of processes that report their revisions to each other, on the fake clock of a synctest bubble.
type cluster struct {
	t         *testing.T
	standin   *standin.Platform
	network   *network.Network
	ctx       context.Context
	server    *http.Server
	group     sync.WaitGroup
	mu        sync.Mutex
	processes []*process
}

func newCluster(t *testing.T, size int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	cluster := &cluster{t: t, standin: standin.New(), network: network.New(), ctx: ctx}
	cluster.startPlatform()
	t.Cleanup(func() {
		cancel()
		cluster.group.Wait()
		for _, member := range cluster.processes {
			member.Close()
			if err := member.checkRevisionsIncrease(); err != nil {
				t.Error(err)
			}
		}
		cluster.stopPlatform()
	})
	for range size {
		cluster.start()
	}
	time.Sleep(time.Second)
	return cluster
}

func (cluster *cluster) startPlatform() {
	cluster.server = transport.NewServer(cluster.standin.Handler(), nil)
	listener := cluster.network.Listen("platform:80")
	go func(server *http.Server) { _ = server.Serve(listener) }(cluster.server)
}

func (cluster *cluster) stopPlatform() { _ = cluster.server.Close() }

// start adds a process that accesses the store through the real client.
func (cluster *cluster) start() *process {
	client := transport.NewHTTPClientWithDial(nil, cluster.network.Dial)
	cluster.t.Cleanup(client.CloseIdleConnections)
	store := platform.NewStore(
		platformv1connect.NewStoreServiceClient(client, "http://platform"), metrics.NewRegistry())
	started := newProcess(len(cluster.processes), store)
	cluster.mu.Lock()
	cluster.processes = append(cluster.processes, started)
	cluster.mu.Unlock()
	cluster.group.Go(func() { _ = started.Run(cluster.ctx) })
	cluster.group.Go(func() {
		for cluster.ctx.Err() == nil {
			cluster.mu.Lock()
			others := cluster.processes
			cluster.mu.Unlock()
			started.receiveRevisions(others)
			time.Sleep(500 * time.Millisecond)
		}
	})
	return started
}

// countAtRevision returns the number of processes that have a revision in force.
func (cluster *cluster) countAtRevision(revision fleet.Revision) int {
	count := 0
	for _, member := range cluster.processes {
		if member.Revision() == revision {
			count++
		}
	}
	return count
}

func (cluster *cluster) mustApply(member *process, request *operatorv1.ApplyRequest) {
	cluster.t.Helper()
	if _, err := member.Apply(cluster.ctx, request); err != nil {
		cluster.t.Fatalf("Apply: %v", err)
	}
}

// setQuota returns an edit that sets the quota of an organisation, based on the revision seen.
func setQuota(seen fleet.Revision, id, organisation string, quota int) *operatorv1.ApplyRequest {
	return &operatorv1.ApplyRequest{
		SeenRevision: int64(seen),
		EditId:       id,
		Organisation: organisation,
		DocumentJson: fmt.Sprintf(`{"organisation":%q,"quota":%d,"max_waiting":10}`, organisation, quota),
	}
}

func kindOf(err error) fault.Kind {
	if err == nil {
		return ""
	}
	return fault.FromError(err).Kind
}
