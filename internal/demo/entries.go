package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/node"
	"github.com/quetzalstall/quetzalstall/internal/settings"
	"github.com/quetzalstall/quetzalstall/internal/standin/deployment"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// entry is an entry process that runs as a Node within the demo, with a client for calls to it.
type entry struct {
	vm     fleet.EntryVM
	node   *node.Node
	client callerClient
	stop   context.CancelFunc
	// ended is closed after the process has ended and err has been set.
	ended chan struct{}
	err   error
	// removed is true after the process has been killed or stopped.
	removed bool
}

// entries starts, kills and replaces the entry processes of a deployment.
type entries struct {
	standins *deployment.Standins
	balancer *balancer
	logger   hclog.Logger
	seed     uint64
	http     *http.Client

	mu sync.Mutex
	// running holds every process that was started, including those that have been removed.
	running []*entry
	started int
}

func newEntries(standins *deployment.Standins, balancer *balancer, logger hclog.Logger, seed uint64) *entries {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &entries{
		standins: standins, balancer: balancer, logger: logger, seed: seed,
		http: &http.Client{Transport: transport},
	}
}

// start starts the process of the entry VM at an index of the inventory.
func (entries *entries) start(index int) error {
	entries.mu.Lock()
	vm := entries.standins.Fleet.Entries[index]
	entries.mu.Unlock()
	callerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	vm.Address = peerListener.Addr().String()
	entries.mu.Lock()
	entries.standins.Fleet.Entries[index] = vm
	entries.standins.Publish()
	entries.mu.Unlock()
	created := node.New(entries.newSettings(vm, callerListener.Addr().String()))
	created.CallerListener, created.PeerListener = callerListener, peerListener
	created.Logger = entries.logger.With("vm_id", vm.ID)
	entries.mu.Lock()
	entries.started++
	created.Seed = entries.seed*100 + uint64(entries.started)
	ctx, stop := context.WithCancel(context.Background())
	running := &entry{
		vm: vm, node: created, stop: stop, ended: make(chan struct{}),
		client: newCallerClient(entries.http, callerListener.Addr().String()),
	}
	entries.running = append(entries.running, running)
	entries.mu.Unlock()
	go func() {
		defer close(running.ended)
		if running.err = created.Run(ctx); running.err != nil {
			entries.logger.Warn("entry process ended", "vm_id", vm.ID, "error", running.err)
		}
	}()
	return nil
}

// newSettings returns the settings of a process, with up to three live processes as its peers.
func (entries *entries) newSettings(vm fleet.EntryVM, callerAddress string) settings.Settings {
	chosen := settings.Default()
	chosen.VM = vm.ID
	chosen.Region = vm.Region
	chosen.DataCentre = vm.DataCentre
	chosen.CallerAddress = callerAddress
	chosen.PeerAddress = vm.Address
	chosen.StoreAddress = entries.standins.PlatformAddress
	chosen.BalancerDelay = profile.Duration(time.Second)
	chosen.StopLimit = profile.Duration(20 * time.Second)
	entries.mu.Lock()
	defer entries.mu.Unlock()
	for _, other := range entries.running {
		if !other.removed && len(chosen.Peers) < 3 {
			chosen.Peers = append(chosen.Peers, other.vm.Address)
		}
	}
	return chosen
}

// live returns the processes that have not been removed.
func (entries *entries) live() []*entry {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	var live []*entry
	for _, candidate := range entries.running {
		if !candidate.removed {
			live = append(live, candidate)
		}
	}
	return live
}

// anyClient returns the client of a live process, which may not be ready, or false if there is none.
func (entries *entries) anyClient() (callerClient, bool) {
	live := entries.live()
	if len(live) == 0 {
		return callerClient{}, false
	}
	return live[0].client, true
}

// checkHealth passes the ready processes to the balancer and returns their number.
func (entries *entries) checkHealth() int {
	var ready []callerClient
	for _, candidate := range entries.live() {
		if entries.isReady(candidate) {
			ready = append(ready, candidate.client)
		}
	}
	entries.balancer.set(ready)
	return len(ready)
}

// runHealthChecks checks the health of the processes periodically until ctx ends.
func (entries *entries) runHealthChecks(ctx context.Context) {
	for ; ctx.Err() == nil; lifecycle.Sleep(ctx, healthCheckInterval) {
		entries.checkHealth()
	}
}

// isReady reports whether the readiness endpoint of a process returns status 200 within one second.
func (entries *entries) isReady(candidate *entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+candidate.client.address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := entries.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until every live process is ready. It returns an error after limit.
func (entries *entries) awaitReady(ctx context.Context, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(
		ctx, 100*time.Millisecond) {
		if entries.checkHealth() == len(entries.live()) {
			return nil
		}
	}
	return errors.Errorf("not every entry process became ready within %v", limit)
}

// kill ends a process as a crash of its VM would, and removes the VM from the platform's list.
func (entries *entries) kill(victim *entry) {
	entries.markRemoved(victim)
	victim.node.Kill()
	victim.stop()
	entries.removeFromList(victim)
}

// removeFromList removes the VM of a process from the platform's list.
func (entries *entries) removeFromList(removed *entry) {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	entries.standins.Fleet.Entries = slices.DeleteFunc(entries.standins.Fleet.Entries, func(vm fleet.EntryVM) bool {
		return vm.ID == removed.vm.ID
	})
	entries.standins.Publish()
}

// drain stops a process as planned, waits for its end and returns its error.
func (entries *entries) drain(leaving *entry) error {
	leaving.stop()
	<-leaving.ended
	entries.markRemoved(leaving)
	entries.removeFromList(leaving)
	return errors.Wrapf(leaving.err, "planned stop of %s", leaving.vm.ID)
}

func (entries *entries) markRemoved(ended *entry) {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	ended.removed = true
}

// replace starts a process on a new VM in place of one that was removed.
func (entries *entries) replace(former *entry) error {
	vm := former.vm
	vm.ID = fleet.VMID(fmt.Sprintf("%s-r", vm.ID))
	entries.mu.Lock()
	index := len(entries.standins.Fleet.Entries)
	entries.standins.Fleet.Entries = append(entries.standins.Fleet.Entries, vm)
	entries.mu.Unlock()
	return entries.start(index)
}

func (entries *entries) killAll() {
	for _, candidate := range entries.live() {
		entries.kill(candidate)
	}
	entries.http.CloseIdleConnections()
}
