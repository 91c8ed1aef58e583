package worker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// maxReadingAge bounds the age of a clock reading from which an expiry is computed. Clocks of 100 ppm drift
// by 60 ms in that time.
const maxReadingAge = 10 * time.Minute

// link is the conversation with one worker.
type link struct {
	manager *Manager
	machine fleet.Worker
	client  Client
	ctx     context.Context
	cancel  context.CancelFunc
	// kick asks for a sync at once.
	kick chan struct{}

	mutex sync.Mutex
	// workerMS is the worker's clock at the local moment readAt or a little earlier; zero readAt is no reading.
	workerMS int64
	readAt   time.Time
	leases   map[fleet.LeaseID]Lease
	holds    map[fleet.LeaseID]*hold
	// acknowledge holds the ends to be acknowledged with the next sync.
	acknowledge []string
	since       int64
	incarnation int64
	// mismatch is the difference between the worker's free accelerators and the table's, at the last full sync.
	mismatch fleet.Accelerators
	missed   int
	answered bool
	lost     bool
	// synced is when the last successful sync began.
	synced    time.Time
	fastUntil time.Time
}

// hold is what this process knows of a lease that it keeps.
type hold struct {
	// group is the gang that the lease is renewed with; nil while it is not renewed.
	group *group
	// kept is when the renewals began; from then on the worker knows the lease.
	kept time.Time
	// missing is true once the lease was found missing.
	missing bool
	// renewed is when the last renewal was sent.
	renewed time.Time
	// endsBy is when the lease must have ended unless it is renewed again.
	endsBy time.Time
}

func newLink(manager *Manager, machine fleet.Worker) *link {
	ctx, cancel := context.WithCancel(manager.ctx)
	return &link{
		manager: manager,
		machine: machine,
		client:  manager.Dial(machine),
		ctx:     ctx,
		cancel:  cancel,
		kick:    make(chan struct{}, 1),
		leases:  make(map[fleet.LeaseID]Lease),
		holds:   make(map[fleet.LeaseID]*hold),
	}
}

// run syncs until the link is closed. The first sync comes at once, since a takeover waits for it. The timer calls a
// function and is never set to a moment that has come: with Go 1.26 the race detector crashes when several
// goroutines of a synctest bubble run due timers themselves.
func (link *link) run() {
	timer := time.AfterFunc(link.pause(), link.nudge)
	defer timer.Stop()
	link.nudge()
	for {
		select {
		case <-link.ctx.Done():
			return
		case <-link.kick:
		}
		link.sync()
		timer.Reset(link.pause())
	}
}

// pause returns the time until the next sync, spread by a tenth so that workers do not fall into step.
func (link *link) pause() time.Duration {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	pause := link.manager.Timing.SyncEvery
	if time.Now().Before(link.fastUntil) {
		pause = link.manager.Timing.FastSync
	}
	return pause - time.Duration(rand.Int64N(int64(pause)/10+1))
}

func (link *link) sync() {
	request := link.nextRequest()
	// A renewal that the network delays would otherwise keep a lease alive that this process takes for ended.
	request.ExpiresWorkerMs, _ = link.expiry()
	began := time.Now()
	ctx, cancel := context.WithTimeout(link.ctx, link.manager.Timing.CommandExpiry)
	response, err := link.client.Sync(ctx, request)
	cancel()
	if link.ctx.Err() != nil {
		return
	}
	if err != nil {
		link.manager.count("worker_sync_failed", 1)
		link.manager.deliver(link.miss(request))
		return
	}
	report, again := link.take(request, response, began)
	link.manager.deliver(report)
	if again {
		link.nudge()
	}
}

// nextRequest collects the renewals that are due. What a renewal may extend is noted before it is sent.
func (link *link) nextRequest() *workerv1.SyncRequest {
	timing := link.manager.Timing
	now := time.Now()
	ttl := timing.TaskLease
	renew := make(map[fleet.LeaseID]bool)
	for id, gang := range link.dueRenewals(now) {
		age := now.Sub(gang.confirmedAt(now))
		if age > timing.RenewEvery {
			continue
		}
		ttl = min(ttl, timing.TaskLease+timing.Margin-age)
		renew[id] = true
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	request := &workerv1.SyncRequest{TtlMs: ttl.Milliseconds(), Since: link.since, Acknowledge: link.acknowledge}
	link.acknowledge = nil
	for id := range renew {
		hold, ok := link.holds[id]
		if !ok || hold.group == nil {
			continue
		}
		request.Renew = append(request.Renew, string(id))
		hold.renewed = now
		hold.endsBy = later(hold.endsBy, now.Add(timing.MaxLeaseLifetime()))
	}
	link.manager.count("worker_lease_renewals", int64(len(request.Renew)))
	return request
}

// dueRenewals returns the leases to be renewed, with their gangs.
func (link *link) dueRenewals(now time.Time) map[fleet.LeaseID]*group {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	due := make(map[fleet.LeaseID]*group)
	for id, hold := range link.holds {
		if hold.group != nil && now.Sub(hold.renewed) >= link.manager.Timing.RenewEvery {
			due[id] = hold.group
		}
	}
	return due
}

// miss notes a failed sync. Its renewals are due again, and its acknowledgements are kept.
func (link *link) miss(request *workerv1.SyncRequest) Report {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for _, id := range request.Renew {
		if hold, ok := link.holds[fleet.LeaseID(id)]; ok {
			hold.renewed = time.Time{}
		}
	}
	link.acknowledge = append(link.acknowledge, request.Acknowledge...)
	link.missed++
	if link.missed < link.manager.Timing.MissedSyncs || link.lost {
		return Report{}
	}
	link.lost = true
	link.manager.count("worker_lost", 1)
	link.manager.Logger.Warn("worker lost", "worker", link.machine.ID, "missed_syncs", link.missed)
	return Report{Worker: link.machine.ID, Lost: true}
}

// take enters a response into the table. It reports true when a full sync must follow at once.
func (link *link) take(request *workerv1.SyncRequest, response *workerv1.SyncResponse, began time.Time) (Report, bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	report := Report{Worker: link.machine.ID, Found: link.lost || !link.answered}
	link.missed, link.lost, link.answered = 0, false, true
	link.workerMS, link.readAt = response.WorkerMs, time.Now()
	if link.incarnation != response.Incarnation || response.Revision < request.Since {
		restarted := link.incarnation != 0 && link.incarnation != response.Incarnation
		link.incarnation = response.Incarnation
		link.since = 0
		if restarted {
			report.Gone = link.clear()
		}
		if request.Since != 0 {
			return report, true
		}
	}
	link.synced = began
	seen := make(map[fleet.LeaseID]bool, len(response.Leases))
	for _, state := range response.Leases {
		lease := link.enter(state)
		seen[lease.ID] = true
		report.Changed = append(report.Changed, lease)
	}
	link.since = response.Revision
	report.Gone = append(report.Gone, link.missingHolds(began)...)
	if request.Since == 0 {
		report.Gone = append(report.Gone, link.removeUnseen(seen)...)
		link.mismatch = link.difference(response)
		return report, false
	}
	if link.difference(response) != link.mismatch {
		link.since = 0
		return report, true
	}
	return report, false
}

// enter puts a reported lease into the table.
func (link *link) enter(state *workerv1.LeaseState) Lease {
	lease := Lease{
		ID:     fleet.LeaseID(state.LeaseId),
		Worker: link.machine.ID,
		Key: fleet.JobKey{
			Organisation: fleet.OrganisationID(state.Label.GetOrganisation()),
			Job:          fleet.JobID(state.Label.GetJobId()),
		},
		Label:        state.Label,
		State:        state.State,
		Accelerators: fleet.Accelerators(state.Accelerators),
		Used:         fleet.AcceleratorTime(time.Duration(state.UsedMs) * time.Millisecond),
	}
	link.leases[lease.ID] = lease
	link.manager.addIndex(lease)
	return lease
}

// removeUnseen removes the leases that a full sync did not contain and returns those whose end was not seen.
func (link *link) removeUnseen(seen map[fleet.LeaseID]bool) []fleet.LeaseID {
	var gone []fleet.LeaseID
	for id, lease := range link.leases {
		if seen[id] {
			continue
		}
		delete(link.leases, id)
		link.manager.removeIndex(lease)
		if lease.Active() {
			gone = append(gone, id)
		}
	}
	return gone
}

// missingHolds returns the renewed leases that the worker did not report although it once granted them, as after
// a restart before the first sync that would have shown them.
func (link *link) missingHolds(began time.Time) []fleet.LeaseID {
	var missing []fleet.LeaseID
	for id, hold := range link.holds {
		if _, known := link.leases[id]; known || hold.group == nil || hold.missing || !hold.kept.Before(began) {
			continue
		}
		hold.missing = true
		missing = append(missing, id)
	}
	return missing
}

func (link *link) clear() []fleet.LeaseID {
	return link.removeUnseen(nil)
}

// difference compares the worker's free accelerators with the table's; it changes when an end was missed.
func (link *link) difference(response *workerv1.SyncResponse) fleet.Accelerators {
	free := link.machine.Accelerators
	for _, lease := range link.leases {
		if lease.Active() {
			free -= lease.Accelerators
		}
	}
	return fleet.Accelerators(response.FreeAccelerators) - free
}

// terminate ends the link and returns its leases as gone.
func (link *link) terminate() Report {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return Report{Worker: link.machine.ID, Lost: true, Gone: link.clear()}
}

func (link *link) lease(id fleet.LeaseID) (Lease, bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	lease, ok := link.leases[id]
	return lease, ok
}

func (link *link) syncedSince(moment time.Time) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.answered && link.synced.After(moment)
}

func (link *link) reachable() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.answered && !link.lost
}

func (link *link) isLost() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.lost
}

// hold notes when a lease must have ended, and renews it with its gang or, without one, no longer.
func (link *link) hold(id fleet.LeaseID, endsBy time.Time, gang *group) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	kept, ok := link.holds[id]
	if !ok {
		kept = &hold{}
		link.holds[id] = kept
	}
	if gang != nil {
		kept.kept = time.Now()
	}
	kept.group = gang
	kept.endsBy = later(kept.endsBy, endsBy)
}

func (link *link) endsBy(id fleet.LeaseID) (time.Time, bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	kept, ok := link.holds[id]
	if !ok {
		return time.Time{}, false
	}
	return kept.endsBy, true
}

func (link *link) forget(id fleet.LeaseID) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	delete(link.holds, id)
	lease, ok := link.leases[id]
	if !ok || lease.Active() {
		return
	}
	link.acknowledge = append(link.acknowledge, string(id))
	delete(link.leases, id)
	link.manager.removeIndex(lease)
}

func (link *link) syncFast(until time.Time) {
	link.mutex.Lock()
	link.fastUntil = later(link.fastUntil, until)
	link.mutex.Unlock()
	link.nudge()
}

func (link *link) nudge() {
	select {
	case link.kick <- struct{}{}:
	default:
	}
}

func (link *link) active() []Lease {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	var leases []Lease
	for _, lease := range link.leases {
		if lease.Active() {
			leases = append(leases, lease)
		}
	}
	return leases
}

// expiry returns the moment of the worker's clock after which a command sent now has no effect. The reading is
// a lower bound of the worker's clock, so the expiry is never late.
func (link *link) expiry() (int64, bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	age := time.Since(link.readAt)
	if link.readAt.IsZero() || age > maxReadingAge {
		return 0, false
	}
	return link.workerMS + (age + link.manager.Timing.CommandExpiry).Milliseconds(), true
}

// read takes the clock of a command's response.
func (link *link) read(workerMS int64) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.workerMS, link.readAt = workerMS, time.Now()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
