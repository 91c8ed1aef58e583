// Package node puts the parts of one entry process together: start, readiness, planned stop and state dump.
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
	// CallerListener and PeerListener replace the listeners at the addresses of Settings; both may be nil.
	CallerListener, PeerListener net.Listener
	// Seed makes the choices between peers repeatable.
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
	// assembled is true once every part exists; the parts above are read only after that.
	assembled atomic.Bool
	// draining is true from the begin of a planned stop.
	draining atomic.Bool
	// killed ends everything at once when it is cancelled.
	killed context.Context
	kill   context.CancelFunc
	// stopped is closed when Run has returned.
	stopped chan struct{}
}

// New returns a Node with settings that have been checked.
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

// Run serves until ctx ends and then stops as planned: it finishes what is in flight within the stop limit.
// It returns an error when it could not start, or when the stop limit passed with requests in flight.
func (node *Node) Run(ctx context.Context) error {
	defer close(node.stopped)
	if err := node.assemble(); err != nil {
		return err
	}
	if err := node.listen(); err != nil {
		return err
	}
	node.assembled.Store(true)
	running, end := context.WithCancel(node.killed)
	defer end()
	var parts errgroup.Group
	node.runParts(running, &parts)
	node.Logger.Info("process started", "vm_id", node.Settings.VM, "caller_address", node.CallerListener.Addr().String(),
		"peer_address", node.PeerListener.Addr().String())
	select {
	case <-ctx.Done():
	case <-node.killed.Done():
		node.closeServers()
		end()
		_ = parts.Wait()
		return errors.New("process was ended at once")
	}
	err := node.drain()
	end()
	node.closeServers()
	if failed := parts.Wait(); err == nil && failed != nil {
		err = failed
	}
	node.Logger.Info("process stopped", "vm_id", node.Settings.VM, "error", err)
	return err
}

// Kill ends the process's work at once, as a crash does, and waits until Run has returned.
func (node *Node) Kill() {
	node.kill()
	<-node.stopped
}

// Close waits until Run has returned.
func (node *Node) Close() { <-node.stopped }

// Ready reports whether the process takes calls.
func (node *Node) Ready() bool {
	return node.assembled.Load() && !node.draining.Load() && node.config.Current() != nil
}

// ConfigRevision returns the revision of the configuration in force; 0 without one.
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

// runParts starts every part. A part returns only when its context ends.
func (node *Node) runParts(ctx context.Context, parts *errgroup.Group) {
	parts.Go(func() error { return node.inventory.Run(ctx) })
	parts.Go(func() error { return node.config.Run(ctx) })
	parts.Go(func() error { return node.membership.Run(ctx) })
	parts.Go(func() error { return node.jobs.Run(ctx) })
	parts.Go(func() error { return node.calls.Run(ctx) })
	parts.Go(func() error { return transport.Serve(node.callerServer, node.CallerListener) })
	parts.Go(func() error { return transport.Serve(node.peerServer, node.PeerListener) })
}

// drain is the planned stop: unready, a time for the load balancer, nothing new, all in flight finished, ownership
// and seat handed over.
func (node *Node) drain() error {
	node.Logger.Info("planned stop began", "vm_id", node.Settings.VM)
	limit := time.NewTimer(time.Duration(node.Settings.StopLimit))
	defer limit.Stop()
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
		return errors.New("planned stop was cut short")
	case <-limit.C:
		return errors.Errorf("planned stop exceeded its limit of %v", time.Duration(node.Settings.StopLimit))
	}
}

func (node *Node) closeServers() {
	_ = node.callerServer.Close()
	_ = node.peerServer.Close()
	node.client.CloseIdleConnections()
}
