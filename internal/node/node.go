// Package node assembles the components of one entry process and runs it: start, readiness, planned stop and state
// dump.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalstall/quetzalstall/internal/caller"
	"github.com/quetzalstall/quetzalstall/internal/domain"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/operator"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/settings"
	"github.com/quetzalstall/quetzalstall/internal/target"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Node is one entry process. Its exported fields are set before Run.
type Node struct {
	Settings settings.Settings
	Logger   hclog.Logger
	Metrics  gometrics.Registry
	// CallerListener and PeerListener are used instead of listeners at the addresses in Settings, unless they are nil.
	CallerListener, PeerListener net.Listener
	// Seed seeds the random choices of the request router, such as the choice of a peer, so that a run can be repeated.
	Seed uint64

	tls        *tls.Config
	inventory  *platform.Inventory
	store      *platform.RemoteStore
	config     *operator.Distributor
	membership *peer.Membership
	jobs       *domain.Service
	calls      *target.Router
	callers    *caller.Server
	client     *http.Client

	callerServer, peerServer *http.Server
	// assembled is true once all components exist. Ready reads the fields above only if it is true.
	assembled atomic.Bool
	// draining is true from the start of a planned stop.
	draining atomic.Bool
	// killed is cancelled by Kill and stops all work immediately.
	killed context.Context
	kill   context.CancelFunc
	// stopped is closed when Run returns.
	stopped chan struct{}
}

// New returns a Node. The settings must have passed the checks of package settings.
func New(settings settings.Settings) *Node {
	node := &Node{
		Settings: settings,
		Logger:   hclog.NewNullLogger(),
		Metrics:  gometrics.NewRegistry(),
		stopped:  make(chan struct{}),
	}
	node.killed, node.kill = context.WithCancel(context.Background())
	return node
}

// Run serves until ctx ends and then performs a planned stop: it finishes the requests in flight and leaves the
// membership within Settings.StopLimit. It returns an error if the process could not start or was killed, if a
// component failed, or if the planned stop exceeded the limit.
func (node *Node) Run(ctx context.Context) error {
	defer close(node.stopped)
	if err := node.assemble(); err != nil {
		return err
	}
	if err := node.listen(); err != nil {
		return err
	}
	node.assembled.Store(true)
	running, cancel := context.WithCancel(node.killed)
	defer cancel()
	var components errgroup.Group
	node.runComponents(running, &components)
	node.Logger.Info("process started", "vm_id", node.Settings.VM,
		"caller_address", node.CallerListener.Addr().String(), "peer_address", node.PeerListener.Addr().String())
	select {
	case <-ctx.Done():
	case <-node.killed.Done():
		node.closeServers()
		cancel()
		_ = components.Wait()
		return errors.New("process was killed")
	}
	err := node.drain()
	cancel()
	node.closeServers()
	if componentErr := components.Wait(); err == nil && componentErr != nil {
		err = componentErr
	}
	node.Logger.Info("process stopped", "vm_id", node.Settings.VM, "error", err)
	return err
}

// Kill stops all work immediately, as a crash does, and waits until Run has returned.
func (node *Node) Kill() {
	node.kill()
	<-node.stopped
}

// Close waits until Run has returned. It does not stop the process; the end of Run's context or Kill does.
func (node *Node) Close() { <-node.stopped }

// Ready reports whether the process accepts calls: it is assembled, is not draining and has a configuration.
func (node *Node) Ready() bool {
	return node.assembled.Load() && !node.draining.Load() && node.config.Current() != nil
}

// ConfigRevision returns the revision of the configuration in force, or 0 if there is none.
func (node *Node) ConfigRevision() fleet.Revision {
	return node.config.Revision()
}

func (node *Node) listen() error {
	listen := func(listener *net.Listener, address string) error {
		if *listener != nil {
			return nil
		}
		opened, err := net.Listen("tcp", address)
		*listener = opened
		return errors.Wrapf(err, "listen on %s", address)
	}
	if err := listen(&node.CallerListener, node.Settings.CallerAddress); err != nil {
		return err
	}
	return listen(&node.PeerListener, node.Settings.PeerAddress)
}

// runComponents starts all components. The two servers return only when they are closed, the other components only when
// ctx ends.
func (node *Node) runComponents(ctx context.Context, components *errgroup.Group) {
	components.Go(func() error { return node.inventory.Run(ctx) })
	components.Go(func() error { return node.config.Run(ctx) })
	components.Go(func() error { return node.membership.Run(ctx) })
	components.Go(func() error { return node.jobs.Run(ctx) })
	components.Go(func() error { return node.calls.Run(ctx) })
	components.Go(func() error { return transport.Serve(node.callerServer, node.CallerListener) })
	components.Go(func() error { return transport.Serve(node.peerServer, node.PeerListener) })
}

// drain performs the planned stop. It reports the process as not ready, gives load balancers time to react, refuses new
// requests, finishes the requests in flight, and releases the domain and the seat of this process, so that other
// processes can take them over.
func (node *Node) drain() error {
	node.Logger.Info("planned stop started", "vm_id", node.Settings.VM)
	timeout := time.NewTimer(time.Duration(node.Settings.StopLimit))
	defer timeout.Stop()
	node.draining.Store(true)
	node.callers.Drain()
	_ = lifecycle.Sleep(node.killed, time.Duration(node.Settings.BalancerDelay))
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		_ = node.callers.Close()
		node.jobs.Close()
		_ = node.calls.Close()
		node.membership.Leave(node.killed)
	}()
	select {
	case <-finished:
		return nil
	case <-node.killed.Done():
		return errors.New("process was killed during the planned stop")
	case <-timeout.C:
		return errors.Errorf("planned stop exceeded its limit of %v", time.Duration(node.Settings.StopLimit))
	}
}

func (node *Node) closeServers() {
	_ = node.callerServer.Close()
	_ = node.peerServer.Close()
	node.client.CloseIdleConnections()
}
