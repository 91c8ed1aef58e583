package domain

import (
	"context"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// memoryStore is an in-memory store. Its faults, an outage and lost responses, affect all processes.
type memoryStore struct {
	mutex    sync.Mutex
	entries  map[string]platform.Entry
	revision platform.StoreRevision
	log      []platform.Change
	changed  chan struct{}
	down     bool
	// lostResponses is the number of coming writes whose responses are lost after the writes took effect.
	lostResponses int
	// delay is the time that a write takes. watchDelay is the time after which watches deliver a change.
	delay      time.Duration
	watchDelay time.Duration
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: make(map[string]platform.Entry), changed: make(chan struct{})}
}

func (store *memoryStore) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *memoryStore) count() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return len(store.entries)
}

func (store *memoryStore) loseResponses(count int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lostResponses = count
}

func (store *memoryStore) setDelay(delay time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.delay = delay
}

func (store *memoryStore) setWatchDelay(delay time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.watchDelay = delay
}

func (store *memoryStore) swap(
	key string, value []byte, expected platform.StoreRevision,
) (platform.StoreRevision, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return 0, platform.ErrUnavailable
	}
	if store.entries[key].Revision != expected {
		return 0, platform.ErrConflict
	}
	store.revision++
	store.entries[key] = platform.Entry{Key: key, Value: value, Revision: store.revision}
	store.append(platform.Change{Entry: store.entries[key]})
	if store.lostResponses > 0 {
		store.lostResponses--
		return 0, platform.ErrOutcomeUnknown
	}
	return store.revision, nil
}

func (store *memoryStore) append(change platform.Change) {
	store.log = append(store.log, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// storeLink is one process's connection to the store.
type storeLink struct {
	store   *memoryStore
	process *process
	mutex   sync.Mutex
	healthy bool
}

// awaitRunning waits until the process is not paused. It returns an error if the process has been killed.
func (link *storeLink) awaitRunning(ctx context.Context) error {
	if err := link.process.awaitRunning(ctx); err != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (link *storeLink) setHealth(err error) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.healthy = err == nil || err == platform.ErrConflict || err == platform.ErrNotFound
}

func (link *storeLink) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := link.awaitRunning(ctx); err != nil {
		return platform.Entry{}, err
	}
	link.store.mutex.Lock()
	defer link.store.mutex.Unlock()
	entry, ok := link.store.entries[key]
	var err error
	if link.store.down {
		err = platform.ErrUnavailable
	} else if !ok {
		err = platform.ErrNotFound
	}
	link.setHealth(err)
	return entry, err
}

func (link *storeLink) List(context.Context, string) ([]platform.Entry, error) { return nil, nil }

func (link *storeLink) Swap(
	ctx context.Context, key string, value []byte, expected platform.StoreRevision,
) (platform.StoreRevision, error) {
	if err := link.awaitRunning(ctx); err != nil {
		return 0, err
	}
	link.store.mutex.Lock()
	delay := link.store.delay
	link.store.mutex.Unlock()
	time.Sleep(delay)
	revision, err := link.store.swap(key, value, expected)
	link.setHealth(err)
	link.process.countCall("swap")
	return revision, err
}

func (link *storeLink) Delete(ctx context.Context, key string, expected platform.StoreRevision) error {
	if err := link.awaitRunning(ctx); err != nil {
		return err
	}
	link.store.mutex.Lock()
	defer link.store.mutex.Unlock()
	if link.store.entries[key].Revision != expected {
		return platform.ErrConflict
	}
	link.store.append(platform.Change{Entry: link.store.entries[key], Deleted: true})
	delete(link.store.entries, key)
	return nil
}

func (link *storeLink) Watch(ctx context.Context, prefix string, deliver func(platform.Change)) {
	for ctx.Err() == nil {
		link.watchOnce(ctx, prefix, deliver)
		_ = lifecycle.Sleep(ctx, time.Second)
	}
}

// watchOnce delivers all entries and then the changes until the store goes down.
func (link *storeLink) watchOnce(ctx context.Context, prefix string, deliver func(platform.Change)) {
	store := link.store
	store.mutex.Lock()
	position := len(store.log)
	var entries []platform.Entry
	for key, entry := range store.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	down := store.down
	store.mutex.Unlock()
	if down || link.awaitRunning(ctx) != nil {
		return
	}
	for _, entry := range entries {
		deliver(platform.Change{Entry: entry})
	}
	deliver(platform.Change{CaughtUp: true})
	for ctx.Err() == nil {
		store.mutex.Lock()
		changes := store.log[position:]
		position = len(store.log)
		changed, down, delay := store.changed, store.down, store.watchDelay
		store.mutex.Unlock()
		if len(changes) > 0 {
			time.Sleep(delay)
		}
		if link.awaitRunning(ctx) != nil {
			return
		}
		for _, change := range changes {
			deliver(change)
		}
		if down {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (link *storeLink) Healthy() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.healthy
}

// workerLink is one process's connection to a worker.
type workerLink struct {
	worker  *standin.Worker
	process *process
}

func callWorker[Q, A any](
	ctx context.Context, link workerLink, step string, request Q, call func(context.Context, Q) (*A, error),
) (*A, error) {
	if err := link.process.awaitRunning(ctx); err != nil {
		return nil, err
	}
	response, err := call(ctx, request)
	link.process.countCall(step)
	if dead := link.process.awaitRunning(ctx); dead != nil {
		return nil, dead
	}
	return response, err
}

func (link workerLink) Reserve(
	ctx context.Context, request *workerv1.ReserveRequest,
) (*workerv1.ReserveResponse, error) {
	return callWorker(ctx, link, "reserve", request, link.worker.Reserve)
}

func (link workerLink) Start(ctx context.Context, request *workerv1.StartRequest) (*workerv1.CommandResponse, error) {
	return callWorker(ctx, link, "start", request, link.worker.Start)
}

func (link workerLink) Release(
	ctx context.Context, request *workerv1.CommandRequest,
) (*workerv1.CommandResponse, error) {
	return callWorker(ctx, link, "release", request, link.worker.Release)
}

func (link workerLink) Stop(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error) {
	return callWorker(ctx, link, "stop", request, link.worker.Stop)
}

func (link workerLink) Checkpoint(
	ctx context.Context, request *workerv1.CommandRequest,
) (*workerv1.CommandResponse, error) {
	return callWorker(ctx, link, "checkpoint", request, link.worker.Checkpoint)
}

func (link workerLink) Throttle(
	ctx context.Context, request *workerv1.ThrottleRequest,
) (*workerv1.CommandResponse, error) {
	return callWorker(ctx, link, "throttle", request, link.worker.Throttle)
}

func (link workerLink) Sync(ctx context.Context, request *workerv1.SyncRequest) (*workerv1.SyncResponse, error) {
	return callWorker(ctx, link, "sync", request, link.worker.Sync)
}

// process runs the Service of one entry process of a cluster. A test can pause it or crash it at a chosen call.
type process struct {
	cluster *cluster
	name    fleet.VMID
	service *Service
	stop    context.CancelFunc
	done    chan struct{}

	mutex  sync.Mutex
	dead   bool
	paused chan struct{}
	// counts holds the number of calls that the process has made so far, by kind, such as "swap" or "start". The
	// process crashes after call number crashCount of crashKind.
	counts     map[string]int
	crashKind  string
	crashCount int
}

// awaitRunning waits until the process is not paused. It returns an error if the process has been killed.
func (process *process) awaitRunning(ctx context.Context) error {
	process.mutex.Lock()
	paused, dead := process.paused, process.dead
	process.mutex.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
			<-paused // Timeouts of a paused process take effect once it resumes.
			return ctx.Err()
		}
	}
	if dead {
		return fault.New(fault.OwnerUnavailable, "process is dead")
	}
	return nil
}

// countCall counts a call and kills the process if the call is the one set by crashAfter.
func (process *process) countCall(kind string) {
	process.mutex.Lock()
	process.counts[kind]++
	due := process.crashKind == kind && process.counts[kind] == process.crashCount
	process.dead = process.dead || due
	process.mutex.Unlock()
	if due {
		process.stop()
	}
}

// count returns the number of calls of a kind so far.
func (process *process) count(kind string) int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.counts[kind]
}

// crashAfter kills the process right after it has made the given number of further calls of a kind.
func (process *process) crashAfter(kind string, calls int) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.crashKind, process.crashCount = kind, process.counts[kind]+calls
}

// kill ends the process without a graceful shutdown.
func (process *process) kill() {
	process.mutex.Lock()
	process.dead = true
	process.mutex.Unlock()
	process.stop()
	<-process.done
}

// pause stops the process and its loops for a time. The responses to its calls in flight are delayed until it resumes.
func (process *process) pause(length time.Duration) {
	resumed := make(chan struct{})
	process.mutex.Lock()
	process.paused = resumed
	process.mutex.Unlock()
	if owned := process.service.currentOwner(); owned != nil {
		owned.post(func() { <-resumed })
	}
	go func() {
		time.Sleep(length)
		process.mutex.Lock()
		process.paused = nil
		process.mutex.Unlock()
		close(resumed)
	}()
}

func (process *process) alive() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return !process.dead
}

// peerView is a process's view of the others: the live processes from which no partition separates it.
type peerView struct{ process *process }

func (view peerView) Self() peer.Peer {
	return peer.Peer{VM: fleet.EntryVM{ID: view.process.name, Region: "r"}}
}

func (view peerView) Live() []peer.Peer {
	var live []peer.Peer
	for _, other := range view.process.cluster.visibleTo(view.process) {
		if other != view.process {
			live = append(live,
				peer.Peer{VM: fleet.EntryVM{ID: other.name, Region: "r"}, Client: peerLink{service: other.service}})
		}
	}
	return live
}

func (view peerView) Owner(fleet.RegionID) (peer.Peer, bool) {
	for _, other := range view.process.cluster.visibleTo(view.process) {
		return peer.Peer{VM: fleet.EntryVM{ID: other.name, Region: "r"}, Client: peerLink{service: other.service}}, true
	}
	return peer.Peer{}, false
}

func (view peerView) OwnSeat() (peer.Seat, time.Time, bool)  { return peer.NoSeat, time.Time{}, false }
func (view peerView) SeatHolder(peer.Seat) (peer.Peer, bool) { return peer.Peer{}, false }
func (view peerView) Seats() int                             { return 0 }

// peerLink calls another process directly.
type peerLink struct {
	peerv1connect.PeerServiceClient
	service *Service
}

func (link peerLink) SubmitJob(
	ctx context.Context, request *connect.Request[peerv1.SubmitJobRequest],
) (*connect.Response[peerv1.SubmitJobResponse], error) {
	return transport.CallUnary(ctx, request, link.service.SubmitJob)
}

func (link peerLink) CancelJob(
	ctx context.Context, request *connect.Request[peerv1.CancelJobRequest],
) (*connect.Response[peerv1.CancelJobResponse], error) {
	return transport.CallUnary(ctx, request, link.service.CancelJob)
}

func (link peerLink) ExplainJob(
	ctx context.Context, request *connect.Request[peerv1.ExplainJobRequest],
) (*connect.Response[peerv1.ExplainJobResponse], error) {
	return transport.CallUnary(ctx, request, link.service.ExplainJob)
}

func (link peerLink) ListEvacuatedWork(
	ctx context.Context, request *connect.Request[peerv1.ListEvacuatedWorkRequest],
) (*connect.Response[peerv1.ListEvacuatedWorkResponse], error) {
	return transport.CallUnary(ctx, request, link.service.ListEvacuatedWork)
}

func (link peerLink) JobEnds(
	ctx context.Context, request *connect.Request[peerv1.JobEndsRequest],
) (*connect.Response[peerv1.JobEndsResponse], error) {
	return transport.CallUnary(ctx, request, link.service.JobEnds)
}

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ config *profile.Config }

func (fixed fixedConfig) Current() *profile.Config { return fixed.config }

var _ worker.Client = workerLink{}
