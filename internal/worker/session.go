package worker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// maxClockReadingAge is the maximum age of a clock reading from which an expiry is computed. Two clocks that differ by
// 100 ppm drift apart by 60 ms in that time.
const maxClockReadingAge = 10 * time.Minute

// session syncs with one worker. It holds the worker's client, the lease table (the leases in the worker's sync
// responses), and the leases that this process has requested or taken over (tracked).
type session struct {
	manager *Manager
	ctx     context.Context
	cancel  context.CancelFunc
	// syncRequested triggers an immediate sync.
	syncRequested chan struct{}

	mutex   sync.Mutex
	machine fleet.Worker
	// link is replaced when the address of the worker changes. Responses over an earlier link are ignored, because
	// another process may have sent them.
	link *link
	// workerClockMS is a reading of the worker's clock, taken at the local time clockReadAt or shortly before. If
	// clockReadAt is zero, the clock has not been read.
	workerClockMS int64
	clockReadAt   time.Time
	leases        map[fleet.LeaseID]Lease
	tracked       map[fleet.LeaseID]*trackedLease
	// unacknowledged holds the ended leases that the next sync acknowledges.
	unacknowledged []string
	// sinceRevision is the revision of the worker's leases up to which this process has their changes. The next sync
	// requests only later changes, or all leases if sinceRevision is 0 (a full sync).
	sinceRevision int64
	incarnation   int64
	// mismatch is the result of freeMismatch at the last full sync. A different result shows that the lease table is
	// out of date.
	mismatch    fleet.Accelerators
	missedSyncs int
	// responded is true once the worker has responded to a sync.
	responded bool
	lost      bool
	// lastSync is the time at which the last successful sync started.
	lastSync time.Time
	// fastUntil is the time until which the interval between syncs is Timing.FastSync.
	fastUntil time.Time
}

// link is the connection to one address of a worker.
type link struct{ client Client }

func newSession(manager *Manager, machine fleet.Worker) *session {
	ctx, cancel := context.WithCancel(manager.ctx)
	return &session{
		manager:       manager,
		machine:       machine,
		link:          &link{manager.Dial(machine)},
		ctx:           ctx,
		cancel:        cancel,
		syncRequested: make(chan struct{}, 1),
		leases:        make(map[fleet.LeaseID]Lease),
		tracked:       make(map[fleet.LeaseID]*trackedLease),
	}
}

// run syncs with the worker until the context of the session ends. The first sync starts immediately because a takeover
// waits for it. The timer calls a function and its delay is always positive: with Go 1.26 the race detector crashes
// when several goroutines of a synctest bubble run due timers themselves.
func (session *session) run() {
	timer := time.AfterFunc(session.nextSyncDelay(), session.requestSync)
	defer timer.Stop()
	session.requestSync()
	for {
		select {
		case <-session.ctx.Done():
			return
		case <-session.syncRequested:
		}
		session.sync()
		timer.Reset(session.nextSyncDelay())
	}
}

// nextSyncDelay returns the delay before the next sync. It is shortened at random by up to a tenth of the interval, so
// that the syncs with different workers do not run at the same time. A lease on probation is renewed by the sync after
// the one that listed its task as running, so that syncs are fast until then.
func (session *session) nextSyncDelay() time.Duration {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	delay := session.manager.Timing.SyncEvery
	if now := time.Now(); now.Before(session.fastUntil) || session.awaitsFirstRenewal(now) {
		delay = session.manager.Timing.FastSync
	}
	return delay - time.Duration(rand.Int64N(int64(delay)/10+1))
}

func (session *session) sync() {
	link, request := session.nextRequest()
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(session.ctx, session.manager.Timing.CommandExpiry)
	response, err := link.client.Sync(ctx, request)
	cancel()
	if session.ctx.Err() != nil {
		return
	}
	if err != nil {
		session.manager.count("worker_sync_failed", 1)
		session.manager.deliver(session.recordFailedSync(link, request))
		return
	}
	report, resync := session.applyResponse(link, request, response, startedAt)
	session.manager.deliver(report)
	if resync {
		session.requestSync()
	}
}

// changeAddress continues the session at another address of the worker. The clock at that address is unknown until its
// first response.
func (session *session) changeAddress(machine fleet.Worker) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.machine.Address == machine.Address {
		return
	}
	session.manager.Logger.Info("worker's address changed", "worker", machine.ID, "from", session.machine.Address,
		"to", machine.Address)
	session.machine, session.link = machine, &link{session.manager.Dial(machine)}
	session.clockReadAt = time.Time{}
	session.missedSyncs = 0
	session.requestSync()
}

// nextRequest builds a sync request with the renewals and acknowledgements that are due, and returns it with the link
// to send it on. A lease is not renewed if the members of its gang were last confirmed to be running or completed more
// than RenewEvery ago, or if the worker's clock is unknown. It updates the latest end of each renewed lease before the
// renewal is sent, because the renewal may take effect even if the sync fails.
func (session *session) nextRequest() (*link, *workerv1.SyncRequest) {
	timing := session.manager.Timing
	now := time.Now()
	ttl := timing.TaskLease
	renew := make(map[fleet.LeaseID]bool)
	for id, group := range session.dueRenewals(now) {
		age := now.Sub(group.confirmedAt(now))
		if age > timing.RenewEvery {
			continue
		}
		ttl = min(ttl, timing.TaskLease+timing.Margin-age)
		renew[id] = true
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	request := &workerv1.SyncRequest{
		TtlMs: ttl.Milliseconds(), Since: session.sinceRevision, Acknowledge: session.unacknowledged,
	}
	session.unacknowledged = nil
	// Without an expiry, a delayed renewal could extend a lease that this process already considers ended.
	expires, ok := session.expiry()
	if !ok {
		return session.link, request
	}
	request.ExpiresWorkerMs = expires
	for id := range renew {
		tracked, ok := session.tracked[id]
		if !ok || tracked.group == nil {
			continue
		}
		request.Renew = append(request.Renew, string(id))
		tracked.lastRenewal, tracked.renewed = now, true
		tracked.endsBy = later(tracked.endsBy, now.Add(timing.MaxLeaseLifetime()))
	}
	session.manager.count("worker_lease_renewals", int64(len(request.Renew)))
	return session.link, request
}

// dueRenewals returns the leases whose renewal is due, with their renewal groups.
func (session *session) dueRenewals(now time.Time) map[fleet.LeaseID]*renewalGroup {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	due := make(map[fleet.LeaseID]*renewalGroup)
	for id, tracked := range session.tracked {
		if tracked.group != nil && now.Sub(tracked.lastRenewal) >= session.manager.Timing.RenewEvery {
			due[id] = tracked.group
		}
	}
	return due
}

// recordFailedSync counts a failed sync and schedules its renewals and acknowledgements for the next sync. It returns a
// report of the loss of the worker if this is the failure number MissedSyncs in succession, and an empty report
// otherwise. A failure over an earlier link does not count.
func (session *session) recordFailedSync(link *link, request *workerv1.SyncRequest) Report {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.returnToNextSync(request)
	if session.link != link {
		return Report{}
	}
	session.missedSyncs++
	if session.missedSyncs < session.manager.Timing.MissedSyncs || session.lost {
		return Report{}
	}
	session.lost = true
	session.manager.count("worker_lost", 1)
	session.manager.Logger.Warn("worker lost", "worker", session.machine.ID, "missed_syncs", session.missedSyncs)
	return Report{Worker: session.machine.ID, Lost: true}
}

// returnToNextSync schedules the renewals and acknowledgements of a request for the next sync.
func (session *session) returnToNextSync(request *workerv1.SyncRequest) {
	for _, id := range request.Renew {
		if tracked, ok := session.tracked[fleet.LeaseID(id)]; ok {
			tracked.lastRenewal = time.Time{}
		}
	}
	session.unacknowledged = append(session.unacknowledged, request.Acknowledge...)
}

// applyResponse updates the session from a sync response and returns the changes. It returns true if a full sync must
// follow immediately, because the worker has restarted or the lease table does not match the worker's free
// accelerators.
func (session *session) applyResponse(
	link *link, request *workerv1.SyncRequest, response *workerv1.SyncResponse, startedAt time.Time,
) (Report, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.link != link || session.ctx.Err() != nil {
		session.returnToNextSync(request)
		return Report{}, false
	}
	report := Report{Worker: session.machine.ID, Found: session.lost || !session.responded}
	session.missedSyncs, session.lost, session.responded = 0, false, true
	session.workerClockMS, session.clockReadAt = response.WorkerMs, time.Now()
	if session.incarnation != response.Incarnation || response.Revision < request.Since {
		restarted := session.incarnation != 0 && session.incarnation != response.Incarnation
		session.incarnation = response.Incarnation
		session.sinceRevision = 0
		if restarted {
			report.Gone = session.removeAll()
		}
		if request.Since != 0 {
			return report, true
		}
	}
	session.lastSync = startedAt
	seen := make(map[fleet.LeaseID]bool, len(response.Leases))
	for _, state := range response.Leases {
		lease := session.recordLease(state)
		seen[lease.ID] = true
		report.Changed = append(report.Changed, lease)
	}
	session.sinceRevision = response.Revision
	report.Gone = append(report.Gone, session.findMissing(startedAt)...)
	if request.Since == 0 {
		report.Gone = append(report.Gone, session.removeUnseen(seen)...)
		session.mismatch = session.freeMismatch(response)
		return report, false
	}
	if session.freeMismatch(response) != session.mismatch {
		session.sinceRevision = 0
		return report, true
	}
	return report, false
}

// terminate removes all leases from the lease table. It returns a report of the worker as lost and of the active leases
// as gone.
func (session *session) terminate() Report {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return Report{Worker: session.machine.ID, Lost: true, Gone: session.removeAll()}
}

func (session *session) syncedSince(moment time.Time) bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return session.responded && session.lastSync.After(moment)
}

func (session *session) reachable() bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return session.responded && !session.lost
}

func (session *session) isLost() bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return session.lost
}

func (session *session) syncFast(until time.Time) {
	session.mutex.Lock()
	session.fastUntil = later(session.fastUntil, until)
	session.mutex.Unlock()
	session.requestSync()
}

func (session *session) requestSync() {
	select {
	case session.syncRequested <- struct{}{}:
	default:
	}
}

// commandLink returns the link for a command and the expiry of a command that is sent now.
func (session *session) commandLink() (*link, int64, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	expires, ok := session.expiry()
	return session.link, expires, ok
}

// expiry returns the time on the worker's clock after which a command sent now has no effect. The worker's clock is
// estimated from the last reading, which was taken before its response arrived here. The estimate is therefore never
// ahead of the clock, apart from drift, and the expiry is never too late. expiry returns false if there is no reading
// or the last one is older than maxClockReadingAge. The caller holds the lock.
func (session *session) expiry() (int64, bool) {
	age := time.Since(session.clockReadAt)
	if session.clockReadAt.IsZero() || age > maxClockReadingAge {
		return 0, false
	}
	return session.workerClockMS + (age + session.manager.Timing.CommandExpiry).Milliseconds(), true
}

// recordClock stores the worker's clock from the response to a command over a link.
func (session *session) recordClock(link *link, workerMS int64) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.link == link {
		session.workerClockMS, session.clockReadAt = workerMS, time.Now()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
