package worker

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Timing holds the times of the protocol with workers.
type Timing struct {
	// SyncEvery is the time between two syncs with a worker; a worker is lost after MissedSyncs failed ones.
	SyncEvery   time.Duration
	MissedSyncs int
	// FastSync replaces SyncEvery while the end of a task is awaited.
	FastSync time.Duration
	// RenewEvery is the time between two renewals of a lease.
	RenewEvery time.Duration
	// TaskLease, Probation and Reservation are the lengths of the three kinds of lease.
	TaskLease   time.Duration
	Probation   time.Duration
	Reservation time.Duration
	// CommandExpiry is how long a command may take effect, in the worker's clock. Calls time out with it.
	CommandExpiry time.Duration
	// Margin covers the drift between two clocks over one lease.
	Margin time.Duration
}

// DefaultTiming returns the times of the design page.
func DefaultTiming() Timing {
	return Timing{
		SyncEvery:     time.Second,
		MissedSyncs:   3,
		FastSync:      200 * time.Millisecond,
		RenewEvery:    5 * time.Second,
		TaskLease:     15 * time.Second,
		Probation:     3 * time.Second,
		Reservation:   3 * time.Second,
		CommandExpiry: time.Second,
		Margin:        time.Second,
	}
}

// MaxLeaseLifetime is how long after a renewal was sent its lease must have ended, if no other renewal follows.
func (timing Timing) MaxLeaseLifetime() time.Duration {
	return timing.CommandExpiry + timing.TaskLease + timing.Margin
}

// MaxProbationLifetime is how long after a start was sent its task must have ended, if no renewal follows.
func (timing Timing) MaxProbationLifetime() time.Duration {
	return timing.CommandExpiry + timing.Probation + timing.Margin
}

// TakeoverDelay is how long after reading a job's record no command of its former owner can take effect any more.
func (timing Timing) TakeoverDelay() time.Duration {
	return timing.Reservation + timing.CommandExpiry + timing.Margin
}

// Lease is a lease as its worker last reported it.
type Lease struct {
	ID           fleet.LeaseID
	Worker       fleet.WorkerID
	Key          fleet.JobKey
	Label        *workerv1.LeaseLabel
	State        workerv1.TaskState
	Accelerators fleet.Accelerators
	Used         fleet.AcceleratorTime
}

// Active reports whether the lease holds its accelerators.
func (lease Lease) Active() bool {
	switch lease.State {
	case workerv1.TaskState_TASK_STATE_RESERVED, workerv1.TaskState_TASK_STATE_RUNNING, workerv1.TaskState_TASK_STATE_CHECKPOINTING:
		return true
	default:
		return false
	}
}

// Report tells what a sync with a worker brought. Only what happened is set.
type Report struct {
	Worker fleet.WorkerID
	// Lost is true when the worker has just been lost.
	Lost bool
	// Found is true when the worker answers for the first time or again.
	Found bool
	// Changed holds the leases that changed.
	Changed []Lease
	// Gone holds leases that the worker no longer knows and whose end was not seen.
	Gone []fleet.LeaseID
}

// Manager keeps up the conversation with the workers of a domain: health, clocks, lease tables and renewals.
type Manager struct {
	// Dial returns the client of a worker.
	Dial func(fleet.Worker) Client
	// Report takes what the workers report. It is called from many goroutines and must not block.
	Report  func(Report)
	Timing  Timing
	Logger  hclog.Logger
	Metrics metrics.Registry
	// Owner is the label of this process in the leases that it takes.
	Owner string

	mutex sync.Mutex
	// links holds one entry for each worker of the fleet.
	links map[fleet.WorkerID]*link
	// index finds the leases of a job by their labels.
	index  map[fleet.JobKey]map[fleet.LeaseID]fleet.WorkerID
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// NewManager returns a Manager with the times of the design page. It syncs from SetFleet on until Close.
func NewManager(dial func(fleet.Worker) Client, report func(Report)) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		Dial:    dial,
		Report:  report,
		Timing:  DefaultTiming(),
		Logger:  hclog.NewNullLogger(),
		Metrics: metrics.NewRegistry(),
		links:   make(map[fleet.WorkerID]*link),
		index:   make(map[fleet.JobKey]map[fleet.LeaseID]fleet.WorkerID),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Close ends all syncs and waits for them. The leases stay as they are on the workers.
func (manager *Manager) Close() {
	manager.cancel()
	manager.group.Wait()
}

// SetFleet starts syncs with new workers and ends those with workers that are no longer listed. The leases of
// the latter are reported as gone, since an unlisted VM has terminated.
func (manager *Manager) SetFleet(workers []fleet.Worker) {
	listed := make(map[fleet.WorkerID]bool, len(workers))
	for _, machine := range workers {
		listed[machine.ID] = true
		manager.addLink(machine)
	}
	for _, removed := range manager.removeLinks(listed) {
		removed.cancel()
		manager.deliver(removed.terminate())
	}
}

func (manager *Manager) addLink(machine fleet.Worker) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if known, ok := manager.links[machine.ID]; ok && known.machine.Address == machine.Address {
		return
	}
	if manager.ctx.Err() != nil {
		return
	}
	added := newLink(manager, machine)
	manager.links[machine.ID] = added
	manager.group.Go(added.run)
}

func (manager *Manager) removeLinks(listed map[fleet.WorkerID]bool) []*link {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	var removed []*link
	for id, known := range manager.links {
		if !listed[id] {
			removed = append(removed, known)
			delete(manager.links, id)
		}
	}
	return removed
}

// deliver passes on a report unless it is empty or the manager is closed.
func (manager *Manager) deliver(report Report) {
	empty := !report.Lost && !report.Found && len(report.Changed) == 0 && len(report.Gone) == 0
	if empty || manager.ctx.Err() != nil {
		return
	}
	manager.Report(report)
}

func (manager *Manager) link(id fleet.WorkerID) (*link, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	found, ok := manager.links[id]
	return found, ok
}

// LeasesOf returns the leases that the workers hold or remember for a job.
func (manager *Manager) LeasesOf(key fleet.JobKey) []Lease {
	manager.mutex.Lock()
	places := make(map[fleet.LeaseID]fleet.WorkerID, len(manager.index[key]))
	for id, worker := range manager.index[key] {
		places[id] = worker
	}
	manager.mutex.Unlock()
	var leases []Lease
	for id, worker := range places {
		if lease, ok := manager.Lease(worker, id); ok {
			leases = append(leases, lease)
		}
	}
	return leases
}

// Lease returns a lease as the worker last reported it.
func (manager *Manager) Lease(worker fleet.WorkerID, id fleet.LeaseID) (Lease, bool) {
	found, ok := manager.link(worker)
	if !ok {
		return Lease{}, false
	}
	return found.lease(id)
}

// SyncedSince reports whether a sync that began after a moment has succeeded.
func (manager *Manager) SyncedSince(worker fleet.WorkerID, moment time.Time) bool {
	found, ok := manager.link(worker)
	return ok && found.syncedSince(moment)
}

// Reachable reports whether the worker is listed, has answered and is not lost.
func (manager *Manager) Reachable(worker fleet.WorkerID) bool {
	found, ok := manager.link(worker)
	return ok && found.reachable()
}

// Lost reports whether the worker is not listed, or has missed too many syncs.
func (manager *Manager) Lost(worker fleet.WorkerID) bool {
	found, ok := manager.link(worker)
	return !ok || found.isLost()
}

// EndsBy returns when a lease must have ended by the renewals that were sent; false if the lease is not kept.
func (manager *Manager) EndsBy(worker fleet.WorkerID, id fleet.LeaseID) (time.Time, bool) {
	found, ok := manager.link(worker)
	if !ok {
		return time.Time{}, false
	}
	return found.endsBy(id)
}

// Forget ends the renewals of a lease and acknowledges its end to the worker.
func (manager *Manager) Forget(worker fleet.WorkerID, id fleet.LeaseID) {
	if found, ok := manager.link(worker); ok {
		found.forget(id)
	}
}

func (manager *Manager) nudge(worker fleet.WorkerID) {
	if found, ok := manager.link(worker); ok {
		found.nudge()
	}
}

// SyncFast syncs with a worker at once and then often until a moment, because the end of a task is awaited.
func (manager *Manager) SyncFast(worker fleet.WorkerID, until time.Time) {
	if found, ok := manager.link(worker); ok {
		found.syncFast(until)
	}
}

// ActiveLeases returns the leases that hold accelerators of a worker.
func (manager *Manager) ActiveLeases(worker fleet.WorkerID) []Lease {
	found, ok := manager.link(worker)
	if !ok {
		return nil
	}
	return found.active()
}

func (manager *Manager) addIndex(lease Lease) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.index[lease.Key] == nil {
		manager.index[lease.Key] = make(map[fleet.LeaseID]fleet.WorkerID)
	}
	manager.index[lease.Key][lease.ID] = lease.Worker
}

func (manager *Manager) removeIndex(lease Lease) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.index[lease.Key], lease.ID)
	if len(manager.index[lease.Key]) == 0 {
		delete(manager.index, lease.Key)
	}
}

func (manager *Manager) count(name string, by int64) {
	metrics.GetOrRegisterCounter(name, manager.Metrics).Inc(by)
}
