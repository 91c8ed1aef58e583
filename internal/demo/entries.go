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

// entry is one running entry process.
type entry struct {
	vm     fleet.EntryVM
	node   *node.Node
	client callerClient
	stop   context.CancelFunc
	// ended is closed when the process has ended; err is set before that.
	ended chan struct{}
	err   error
	// gone is true once the process was killed or stopped.
	gone bool
}

// entries starts, kills and replaces the entry processes of a deployment.
type entries struct {
	standins *deployment.Standins
	balancer *balancer
	logger   hclog.Logger
	seed     uint64
	http     *http.Client

	mu      sync.Mutex
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

// start starts the process of the VM at an index of the fleet.
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
	created := node.New(entries.settingsOf(vm, callerListener.Addr().String()))
	created.CallerListener, created.PeerListener = callerListener, peerListener
	created.Logger = entries.logger.With("vm_id", vm.ID)
	entries.mu.Lock()
	entries.started++
	created.Seed = entries.seed*100 + uint64(entries.started)
	ctx, stop := context.WithCancel(context.Background())
	running := &entry{vm: vm, node: created, stop: stop, ended: make(chan struct{}), client: newCallerClient(entries.http, callerListener.Addr().String())}
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

func (entries *entries) settingsOf(vm fleet.EntryVM, callerAddress string) settings.Settings {
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
		if !other.gone && len(chosen.Peers) < 3 {
			chosen.Peers = append(chosen.Peers, other.vm.Address)
		}
	}
	return chosen
}

// live returns the processes that have not been ended.
func (entries *entries) live() []*entry {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	var live []*entry
	for _, candidate := range entries.running {
		if !candidate.gone {
			live = append(live, candidate)
		}
	}
	return live
}

// anyClient returns a client of some live process, ready or not.
func (entries *entries) anyClient() (callerClient, bool) {
	live := entries.live()
	if len(live) == 0 {
		return callerClient{}, false
	}
	return live[0].client, true
}

// refresh does the balancer's health checks.
func (entries *entries) refresh() int {
	var ready []callerClient
	for _, candidate := range entries.live() {
		if entries.isReady(candidate) {
			ready = append(ready, candidate.client)
		}
	}
	entries.balancer.set(ready)
	return len(ready)
}

// check does the balancer's health checks until ctx ends.
func (entries *entries) check(ctx context.Context) {
	for ; ctx.Err() == nil; lifecycle.Sleep(ctx, readyCheck) {
		entries.refresh()
	}
}

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

// awaitReady waits until every live process is ready.
func (entries *entries) awaitReady(ctx context.Context, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(ctx, 100*time.Millisecond) {
		if entries.refresh() == len(entries.live()) {
			return nil
		}
	}
	return errors.Errorf("not every entry process became ready within %v", limit)
}

// kill ends a process as a crash of its VM does, and removes the VM from the platform's list.
func (entries *entries) kill(victim *entry) {
	entries.markGone(victim)
	victim.node.Kill()
	victim.stop()
	entries.unlist(victim)
}

// unlist removes the VM from the platform's list.
func (entries *entries) unlist(gone *entry) {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	entries.standins.Fleet.Entries = slices.DeleteFunc(entries.standins.Fleet.Entries, func(vm fleet.EntryVM) bool {
		return vm.ID == gone.vm.ID
	})
	entries.standins.Publish()
}

// drain stops a process as planned and returns an error if it did not end well.
func (entries *entries) drain(leaving *entry) error {
	leaving.stop()
	<-leaving.ended
	entries.markGone(leaving)
	entries.unlist(leaving)
	return errors.Wrapf(leaving.err, "planned stop of %s", leaving.vm.ID)
}

func (entries *entries) markGone(ended *entry) {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	ended.gone = true
}

// replace starts a process on a new VM in place of one that is gone.
func (entries *entries) replace(gone *entry) error {
	vm := gone.vm
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
