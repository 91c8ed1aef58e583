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

// Timing holds the intervals and timeouts of the protocol with workers.
type Timing struct {
	// SyncEvery is the interval between syncs with a worker. A worker counts as lost after MissedSyncs consecutive
	// failed syncs.
	SyncEvery   time.Duration
	MissedSyncs int
	// FastSync is the interval between syncs while the end of a task is expected.
	FastSync time.Duration
	// RenewEvery is the interval between renewals of a lease.
	RenewEvery time.Duration
	// A lease expires at the worker at the latest TaskLease after its last renewal. Before the first renewal it expires
	// Probation after the start of its task, and before the start it expires Reservation after it was granted.
	TaskLease   time.Duration
	Probation   time.Duration
	Reservation time.Duration
	// CommandExpiry is the time after sending within which a command can take effect, measured on the worker's clock.
	// It is also the timeout of the call.
	CommandExpiry time.Duration
	// Margin allows for the drift between two clocks during one lease.
	Margin time.Duration
}

// DefaultTiming returns the timing that the design documentation specifies.
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

// MaxLeaseLifetime returns the time after sending a renewal within which its lease ends if no other renewal follows.
func (timing Timing) MaxLeaseLifetime() time.Duration {
	return timing.CommandExpiry + timing.TaskLease + timing.Margin
}

// MaxProbationLifetime returns the time after sending a start within which its task ends if no renewal follows.
func (timing Timing) MaxProbationLifetime() time.Duration {
	return timing.CommandExpiry + timing.Probation + timing.Margin
}

// TakeoverDelay returns the time that a new owner of a job waits after it has read the job's record. After that time,
// no command of the former owner can take effect.
func (timing Timing) TakeoverDelay() time.Duration {
	return timing.Reservation + timing.CommandExpiry + timing.Margin
}

// Lease is the state of a lease in the last report of its worker.
type Lease struct {
	ID           fleet.LeaseID
	Worker       fleet.WorkerID
	Key          fleet.JobKey
	Label        *workerv1.LeaseLabel
	State        workerv1.TaskState
	Accelerators fleet.Accelerators
	Used         fleet.AcceleratorTime
}

// Active reports whether the lease occupies its accelerators.
func (lease Lease) Active() bool {
	switch lease.State {
	case workerv1.TaskState_TASK_STATE_RESERVED, workerv1.TaskState_TASK_STATE_RUNNING,
		workerv1.TaskState_TASK_STATE_CHECKPOINTING:
		return true
	default:
		return false
	}
}

// Report holds the changes of a worker and its leases that a sync found, or that follow from the removal of the worker
// from the fleet. Fields without a change are zero.
type Report struct {
	Worker fleet.WorkerID
	// Lost is true if the worker has become lost, by missed syncs or because it is no longer listed.
	Lost bool
	// Found is true if the worker has responded for the first time, or for the first time since it was lost.
	Found bool
	// Changed holds the leases that the worker reported as new or changed.
	Changed []Lease
	// Gone holds the leases that ended although the worker reported no final state, because the worker no longer has
	// them or is not listed.
	Gone []fleet.LeaseID
}

// Manager syncs with the workers of a domain: it tracks their health, clocks and leases, and renews leases.
type Manager struct {
	// Dial creates a client for a worker. It is called once for each worker and for each change of its address.
	Dial func(fleet.Worker) Client
	// Report receives the changes that workers report. It is called from many goroutines and must not block.
	Report  func(Report)
	Timing  Timing
	Logger  hclog.Logger
	Metrics metrics.Registry
	// Owner is the owner in the labels of the leases that this Manager reserves. It identifies the domain owner that
	// sends the commands.
	Owner string

	mutex sync.Mutex
	// sessions holds one session for each worker of the fleet.
	sessions map[fleet.WorkerID]*session
	// leasesByJob maps a job to its leases, according to their labels, and to the workers that hold them.
	leasesByJob map[fleet.JobKey]map[fleet.LeaseID]fleet.WorkerID
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup
}

// NewManager returns a Manager with the default timing. The Manager syncs with the workers that SetFleet lists until
// Close is called.
func NewManager(dial func(fleet.Worker) Client, report func(Report)) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		Dial:        dial,
		Report:      report,
		Timing:      DefaultTiming(),
		Logger:      hclog.NewNullLogger(),
		Metrics:     metrics.NewRegistry(),
		sessions:    make(map[fleet.WorkerID]*session),
		leasesByJob: make(map[fleet.JobKey]map[fleet.LeaseID]fleet.WorkerID),
		ctx:         ctx,
		cancel:      cancel,
	}
}

// Close ends all syncs and waits for them to return. The workers keep their leases.
func (manager *Manager) Close() {
	manager.cancel()
	manager.group.Wait()
}

// SetFleet starts syncs with new workers, continues them at the new address of a worker whose address has changed, and
// ends the syncs with workers that are no longer listed. The leases of unlisted workers are reported as gone, since an
// unlisted VM has terminated.
func (manager *Manager) SetFleet(workers []fleet.Worker) {
	listed := make(map[fleet.WorkerID]bool, len(workers))
	for _, machine := range workers {
		listed[machine.ID] = true
		if existing, ok := manager.session(machine.ID); ok {
			existing.changeAddress(machine)
			continue
		}
		manager.addSession(machine)
	}
	for _, removed := range manager.removeSessions(listed) {
		removed.cancel()
		manager.deliver(removed.terminate())
	}
}

func (manager *Manager) addSession(machine fleet.Worker) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.ctx.Err() != nil {
		return
	}
	added := newSession(manager, machine)
	manager.sessions[machine.ID] = added
	manager.group.Go(added.run)
}

func (manager *Manager) removeSessions(listed map[fleet.WorkerID]bool) []*session {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	var removed []*session
	for id, existing := range manager.sessions {
		if !listed[id] {
			removed = append(removed, existing)
			delete(manager.sessions, id)
		}
	}
	return removed
}

// deliver passes a report to Report unless the report is empty or the manager is closed.
func (manager *Manager) deliver(report Report) {
	empty := !report.Lost && !report.Found && len(report.Changed) == 0 && len(report.Gone) == 0
	if empty || manager.ctx.Err() != nil {
		return
	}
	manager.Report(report)
}

func (manager *Manager) session(id fleet.WorkerID) (*session, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	session, ok := manager.sessions[id]
	return session, ok
}

// LeasesOf returns the leases of a job that workers have reported, including ended leases that were not acknowledged.
func (manager *Manager) LeasesOf(key fleet.JobKey) []Lease {
	manager.mutex.Lock()
	workers := make(map[fleet.LeaseID]fleet.WorkerID, len(manager.leasesByJob[key]))
	for id, worker := range manager.leasesByJob[key] {
		workers[id] = worker
	}
	manager.mutex.Unlock()
	var leases []Lease
	for id, worker := range workers {
		if lease, ok := manager.Lease(worker, id); ok {
			leases = append(leases, lease)
		}
	}
	return leases
}

// Lease returns a lease in the state that the worker last reported.
func (manager *Manager) Lease(worker fleet.WorkerID, id fleet.LeaseID) (Lease, bool) {
	session, ok := manager.session(worker)
	if !ok {
		return Lease{}, false
	}
	return session.lease(id)
}

// SyncedSince reports whether a sync that began after a given time has succeeded.
func (manager *Manager) SyncedSince(worker fleet.WorkerID, moment time.Time) bool {
	session, ok := manager.session(worker)
	return ok && session.syncedSince(moment)
}

// Reachable reports whether the worker is listed, has responded to a sync and is not lost.
func (manager *Manager) Reachable(worker fleet.WorkerID) bool {
	session, ok := manager.session(worker)
	return ok && session.reachable()
}

// Lost reports whether the worker is not listed or has missed MissedSyncs syncs.
func (manager *Manager) Lost(worker fleet.WorkerID) bool {
	session, ok := manager.session(worker)
	return !ok || session.isLost()
}

// EndsBy returns the latest time at which a lease ends, given the commands and renewals that were sent. It returns
// false if this process has neither requested nor taken over the lease.
func (manager *Manager) EndsBy(worker fleet.WorkerID, id fleet.LeaseID) (time.Time, bool) {
	session, ok := manager.session(worker)
	if !ok {
		return time.Time{}, false
	}
	return session.endsBy(id)
}

// Forget stops tracking and renewing a lease and, if the lease has ended, acknowledges the end to the worker.
func (manager *Manager) Forget(worker fleet.WorkerID, id fleet.LeaseID) {
	if session, ok := manager.session(worker); ok {
		session.forget(id)
	}
}

func (manager *Manager) requestSync(worker fleet.WorkerID) {
	if session, ok := manager.session(worker); ok {
		session.requestSync()
	}
}

// SyncFast syncs with a worker immediately and then at the interval FastSync until the given time. It is used while the
// end of a task is expected.
func (manager *Manager) SyncFast(worker fleet.WorkerID, until time.Time) {
	if session, ok := manager.session(worker); ok {
		session.syncFast(until)
	}
}

// ActiveLeases returns the leases that occupy accelerators of a worker.
func (manager *Manager) ActiveLeases(worker fleet.WorkerID) []Lease {
	session, ok := manager.session(worker)
	if !ok {
		return nil
	}
	return session.activeLeases()
}

func (manager *Manager) addToIndex(lease Lease) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.leasesByJob[lease.Key] == nil {
		manager.leasesByJob[lease.Key] = make(map[fleet.LeaseID]fleet.WorkerID)
	}
	manager.leasesByJob[lease.Key][lease.ID] = lease.Worker
}

func (manager *Manager) removeFromIndex(lease Lease) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.leasesByJob[lease.Key], lease.ID)
	if len(manager.leasesByJob[lease.Key]) == 0 {
		delete(manager.leasesByJob, lease.Key)
	}
}

func (manager *Manager) count(name string, by int64) {
	metrics.GetOrRegisterCounter(name, manager.Metrics).Inc(by)
}
