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

// process is a distributor with what its peers and subscribers see of it.
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

// PullConfig lets peers pull from this process.
func (served *process) PullConfig(
	ctx context.Context, request *connect.Request[peerv1.PullConfigRequest],
) (*connect.Response[peerv1.PullConfigResponse], error) {
	return served.Distributor.PullConfig(ctx, request)
}

func (served *process) asPeer() peer.Peer {
	return peer.Peer{VM: fleet.EntryVM{ID: served.id}, Client: served}
}

func (served *process) hear(others []*process) {
	for _, other := range others {
		if other != served {
			served.RecordPeerRevision(other.asPeer(), other.Revision())
		}
	}
}

// neverReverted reports whether the revisions in force only grew.
func (served *process) neverReverted() error {
	served.mu.Lock()
	defer served.mu.Unlock()
	for i := 1; i < len(served.revisions); i++ {
		if served.revisions[i] <= served.revisions[i-1] {
			return fmt.Errorf("%s had revisions %v in force", served.id, served.revisions)
		}
	}
	return nil
}

// cluster is a set of processes that exchange heartbeats on the fake clock.
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
	formed := &cluster{t: t, standin: standin.New(), network: network.New(), ctx: ctx}
	formed.startPlatform()
	t.Cleanup(func() {
		cancel()
		formed.group.Wait()
		for _, member := range formed.processes {
			member.Close()
			if err := member.neverReverted(); err != nil {
				t.Error(err)
			}
		}
		formed.stopPlatform()
	})
	for range size {
		formed.start()
	}
	time.Sleep(time.Second)
	return formed
}

func (formed *cluster) startPlatform() {
	formed.server = transport.NewServer(formed.standin.Handler(), nil)
	listener := formed.network.Listen("platform:80")
	go func(server *http.Server) { _ = server.Serve(listener) }(formed.server)
}

func (formed *cluster) stopPlatform() { _ = formed.server.Close() }

// start adds a process over the real client of the store.
func (formed *cluster) start() *process {
	client := transport.NewHTTPClientWithDial(nil, formed.network.Dial)
	formed.t.Cleanup(client.CloseIdleConnections)
	store := platform.NewStore(
		platformv1connect.NewStoreServiceClient(client, "http://platform"), metrics.NewRegistry())
	started := newProcess(len(formed.processes), store)
	formed.mu.Lock()
	formed.processes = append(formed.processes, started)
	formed.mu.Unlock()
	formed.group.Go(func() { _ = started.Run(formed.ctx) })
	formed.group.Go(func() {
		for formed.ctx.Err() == nil {
			formed.mu.Lock()
			others := formed.processes
			formed.mu.Unlock()
			started.hear(others)
			time.Sleep(500 * time.Millisecond)
		}
	})
	return started
}

// inForce returns the number of processes at a revision.
func (formed *cluster) inForce(revision fleet.Revision) int {
	count := 0
	for _, member := range formed.processes {
		if member.Revision() == revision {
			count++
		}
	}
	return count
}

func (formed *cluster) mustApply(member *process, request *operatorv1.ApplyRequest) {
	formed.t.Helper()
	if _, err := member.Apply(formed.ctx, request); err != nil {
		formed.t.Fatalf("Apply: %v", err)
	}
}

// set returns an edit that sets the quota of an organisation.
func set(seen fleet.Revision, id, organisation string, quota int) *operatorv1.ApplyRequest {
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
