package domain

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// tickInterval is the longest time between two turns of the owner's loop.
const tickInterval = 250 * time.Millisecond

// errTermEnded is the error of a call to an owner whose term has ended.
var errTermEnded = errors.New("the term of the owner has ended")

// owner runs the scheduler of a domain for one term, the time from taking over the domain until releasing it. Only the
// goroutine of run accesses its state. Other goroutines post functions to that goroutine.
type owner struct {
	service *Service
	// termID is unique to the term. It is the prefix of the term's write ids and lease ids.
	termID    string
	termStart time.Time
	manager   *worker.Manager
	core      scheduler.Scheduler
	logger    hclog.Logger
	ctx       context.Context
	stop      context.CancelFunc
	// done is closed when run has returned.
	done chan struct{}
	// group counts the goroutines of the term.
	group sync.WaitGroup

	mutex   sync.Mutex
	mailbox []func()
	wake    chan struct{}

	// Only the goroutine of run accesses the fields below.

	jobs map[fleet.JobKey]*job
	// jobsByWorker holds, for each worker, the jobs with a member on it.
	jobsByWorker map[fleet.WorkerID]map[fleet.JobKey]bool
	// unsaved holds the jobs whose records have yet to be written.
	unsaved map[fleet.JobKey]bool
	// recovering holds the jobs in phaseRecovering.
	recovering map[fleet.JobKey]bool
	// awaitingStore holds the jobs that wait for the store to respond again.
	awaitingStore map[fleet.JobKey]bool
	// unmatched holds the leases that belong to no attempt in the owner's state.
	unmatched map[fleet.LeaseID]unmatchedLease
	// reportedForeign holds, for each worker, the number of foreign accelerators that was last reported to the core:
	// those occupied by leases that the core does not count as in use by its jobs.
	reportedForeign map[fleet.WorkerID]fleet.Accelerators
	// refusedAt holds the workers that refused a reservation, with the time of the refusal, until their foreign
	// accelerators are reported to the core again.
	refusedAt map[fleet.WorkerID]time.Time
	// creatingByProfile and creatingByOrganisation count the admitted jobs whose records are being created.
	// waitingByProfile and waitingByOrganisation count the waiting jobs.
	creatingByProfile      map[profileKey]int
	creatingByOrganisation map[fleet.OrganisationID]int
	waitingByProfile       map[profileKey]int
	waitingByOrganisation  map[fleet.OrganisationID]int
	fleetRevision          int64
	config                 *profile.Config
	// settled is true once the state of the workers is certain enough for the core to make decisions. First, no command
	// of a former owner may take effect any more, which takes TakeoverDelay. Second, every worker must have responded
	// in this term or be lost, unless MaxLeaseLifetime has passed: by then, the leases of a former owner have ended.
	settled   bool
	settledAt time.Time
	draining  bool
	usage     callerUsage
	// gaugesUpdatedAt is when the gauges of the scheduler's state were last updated.
	gaugesUpdatedAt time.Time
	idCounter       int64
	// probing is true while a read that probes the store is in progress. probedAt is when flush last began a write or a
	// probe began; while the store does not respond, it limits the rate of both.
	probing  bool
	probedAt time.Time
}

// profileKey identifies a profile by its organisation and its name. Different organisations may use the same name.
type profileKey struct {
	organisation fleet.OrganisationID
	profile      fleet.ProfileName
}

func newOwner(service *Service) *owner {
	owner := &owner{
		service:                service,
		termID:                 fmt.Sprintf("%s.%d", service.id, service.idCounter.Add(1)),
		core:                   service.NewScheduler(),
		wake:                   make(chan struct{}, 1),
		done:                   make(chan struct{}),
		jobs:                   make(map[fleet.JobKey]*job),
		jobsByWorker:           make(map[fleet.WorkerID]map[fleet.JobKey]bool),
		unsaved:                make(map[fleet.JobKey]bool),
		recovering:             make(map[fleet.JobKey]bool),
		awaitingStore:          make(map[fleet.JobKey]bool),
		unmatched:              make(map[fleet.LeaseID]unmatchedLease),
		reportedForeign:        make(map[fleet.WorkerID]fleet.Accelerators),
		refusedAt:              make(map[fleet.WorkerID]time.Time),
		creatingByProfile:      make(map[profileKey]int),
		usage:                  newCallerUsage(),
		creatingByOrganisation: make(map[fleet.OrganisationID]int),
		waitingByProfile:       make(map[profileKey]int),
		waitingByOrganisation:  make(map[fleet.OrganisationID]int),
	}
	owner.logger = service.Logger.With("owner", owner.termID)
	owner.ctx, owner.stop = context.WithCancel(service.ctx)
	owner.manager = worker.NewManager(service.Dial, func(report worker.Report) {
		owner.post(func() { owner.handleReport(report) })
	})
	owner.manager.Timing = service.Timing
	owner.manager.Logger = owner.logger
	owner.manager.Metrics = service.Metrics
	owner.manager.Owner = owner.termID
	return owner
}

// post queues a function for the goroutine of run. It never blocks.
func (owner *owner) post(work func()) {
	owner.mutex.Lock()
	owner.mailbox = append(owner.mailbox, work)
	owner.mutex.Unlock()
	owner.notify()
}

// notify wakes the goroutine of run.
func (owner *owner) notify() {
	select {
	case owner.wake <- struct{}{}:
	default:
	}
}

// runOnLoop runs a function in the goroutine of run and returns its result.
func runOnLoop[T any](ctx context.Context, owner *owner, call func() T) (T, error) {
	result := make(chan T, 1)
	owner.post(func() { result <- call() })
	var zero T
	select {
	case value := <-result:
		return value, nil
	case <-owner.done:
		return zero, errTermEnded
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// run takes over the domain, executes the turns of the owner's loop until the term must end, and returns the reason for
// the end.
func (owner *owner) run(ctx context.Context) string {
	defer close(owner.done)
	owner.takeOver()
	lastTurn := time.Now()
	timer := time.AfterFunc(tickInterval, owner.notify)
	defer timer.Stop()
	owner.notify()
	for {
		select {
		case <-ctx.Done():
			return "stopping"
		case <-owner.ctx.Done():
			return "stopping"
		case <-owner.wake:
		}
		now := time.Now()
		if now.Sub(lastTurn) > owner.service.PauseLimit {
			return fmt.Sprintf("paused for %s", now.Sub(lastTurn))
		}
		if !owner.service.isOwner() {
			return "another process owns the domain"
		}
		owner.runMailbox()
		owner.tick(now)
		owner.updateGauges(now)
		owner.decide()
		owner.flush()
		lastTurn = time.Now()
		timer.Reset(owner.timeToNextTurn(lastTurn))
	}
}

// close ends the term. No more commands are sent, and the leases on the workers are left as they are.
func (owner *owner) close() {
	owner.stop()
	owner.manager.Close()
	owner.group.Wait()
}

// drain stops the execution of decisions and waits until every starting gang has started or failed, but no longer than
// TakeoverDelay.
func (owner *owner) drain() {
	ctx, cancel := context.WithTimeout(owner.ctx, owner.service.Timing.TakeoverDelay())
	defer cancel()
	for ctx.Err() == nil {
		starting, err := runOnLoop(ctx, owner, func() int {
			owner.draining = true
			return owner.countPhase(phaseStarting)
		})
		if err != nil || starting == 0 {
			return
		}
		_ = lifecycle.Sleep(ctx, tickInterval/5)
	}
}

// runAsync runs work in a goroutine that close waits for. The context of work is cancelled when the term ends.
func (owner *owner) runAsync(work func(ctx context.Context)) {
	owner.group.Go(func() { work(owner.ctx) })
}

func (owner *owner) runMailbox() {
	owner.mutex.Lock()
	mailbox := owner.mailbox
	owner.mailbox = nil
	owner.mutex.Unlock()
	for _, work := range mailbox {
		work()
	}
}

// timeToNextTurn returns the time until the core has a decision that is due, but at most tickInterval.
func (owner *owner) timeToNextTurn(now time.Time) time.Duration {
	delay := tickInterval
	if next := owner.core.NextWake(); owner.settled && !next.IsZero() {
		delay = min(delay, max(next.Sub(now), time.Millisecond))
	}
	return delay
}

// takeOver loads the job records of the domain from the cache and applies the unwritten ends. Jobs that may be running
// are recovered once their workers have responded.
func (owner *owner) takeOver() {
	owner.termStart = time.Now()
	owner.refresh(owner.termStart)
	for _, cached := range owner.service.cache.all() {
		owner.recordChanged(cached.record.Key(), cached.record, cached.revision)
	}
	for _, job := range owner.jobs {
		job.takenOver = true
	}
	for _, ended := range owner.service.listUnwrittenEnds() {
		owner.applyUnwrittenEnd(ended)
	}
}

// refresh passes a newer configuration and a newer list of the domain's workers to the core, and the workers also to
// the manager, if this process has received them.
func (owner *owner) refresh(now time.Time) {
	// Another configuration of the same revision replaces the one in force if the store lost an edit.
	if config := owner.service.Configs.Current(); config != nil && config != owner.config &&
		(owner.config == nil || config.Revision >= owner.config.Revision) {
		owner.logEvacuations(config)
		owner.config = config
		owner.core.Apply(now, scheduler.ConfigChanged{Config: config})
	}
	inventory := owner.service.Inventory()
	if inventory.Revision <= owner.fleetRevision {
		return
	}
	owner.fleetRevision = inventory.Revision
	var workers []fleet.Worker
	for _, machine := range inventory.Workers {
		if machine.Region == owner.service.domain() {
			workers = append(workers, machine)
		}
	}
	owner.core.Apply(now, scheduler.FleetChanged{Workers: workers})
	owner.manager.SetFleet(workers)
}

// tick runs the periodic work of each turn: it applies a newer configuration and VM list, and advances the jobs in
// recovery, the unmatched leases and the jobs that wait for the store.
func (owner *owner) tick(now time.Time) {
	owner.refresh(now)
	owner.checkSettled(now)
	owner.recoverAll(now)
	owner.resolveUnmatched(now)
	owner.updateRefused(now)
	owner.probeStore(now)
}

// checkSettled sets settled, which allows the core to make decisions, once TakeoverDelay has passed and every worker
// has responded or is lost, or MaxLeaseLifetime has passed.
func (owner *owner) checkSettled(now time.Time) {
	if owner.settled || now.Sub(owner.termStart) < owner.service.Timing.TakeoverDelay() {
		return
	}
	for _, machine := range owner.service.Inventory().Workers {
		if machine.Region != owner.service.domain() {
			continue
		}
		responded := owner.manager.SyncedSince(machine.ID, owner.termStart)
		if !responded && now.Sub(owner.termStart) < owner.service.Timing.MaxLeaseLifetime() &&
			!owner.manager.Lost(machine.ID) {
			return
		}
	}
	owner.settled, owner.settledAt = true, now
	owner.logger.Info("domain settled", "jobs", len(owner.jobs), "recovering", len(owner.recovering))
}

// recordChanged applies a change of a job's record that another process made, and adds a new job to the owner's state.
// Changes that this term made or has already read are ignored. A removal, for which record is nil, changes nothing
// here.
func (owner *owner) recordChanged(key fleet.JobKey, record *Record, revision platform.StoreRevision) {
	job := owner.jobs[key]
	switch {
	case record == nil || record.Domain != owner.service.domain():
	case job == nil && record.State != StateEnded:
		owner.addJob(record, revision)
	case job == nil || revision <= job.revision || strings.HasPrefix(record.WriteID, owner.termID+"-"):
	default:
		owner.applyConflictingRecord(job, record, revision)
	}
}

// addJob adds an accepted job to the owner's state. It starts the recovery of the job if an attempt may be running, and
// enqueues the job otherwise.
func (owner *owner) addJob(record *Record, revision platform.StoreRevision) {
	job := newJob(record, revision)
	owner.jobs[record.Key()] = job
	if record.State == StateStarting {
		owner.startRecovery(job)
		return
	}
	owner.enqueue(job)
}

// enqueue adds a job to the core, or ends it if it was cancelled.
func (owner *owner) enqueue(job *job) {
	owner.setPhase(job, phaseQueued)
	if job.record.CancelRequested {
		owner.endJob(job, scheduler.VerdictCancelled, "", "cancelled")
		return
	}
	job.inCore = true
	owner.core.Apply(time.Now(), scheduler.JobSubmitted{Job: job.record.schedulerJob()})
}

// admit returns the refusal of a job that cannot be accepted now, or nil. An admitted job counts towards the limits of
// waiting jobs until admissionDone is called, because it is not in the queue before its record has been created.
func (owner *owner) admit(record *Record) *fault.Error {
	if owner.draining {
		return fault.New(fault.Draining, "the owner is stopping").WithRetryAfter(ownerRetryAfter)
	}
	if owner.config == nil || owner.config.Organisations[record.Organisation] == nil {
		return fault.New(fault.OwnerUnavailable, "the owner has not received the configuration yet").
			WithRetryAfter(ownerRetryAfter)
	}
	if refusal := owner.core.Admit(time.Now(), record.schedulerJob()); refusal != nil {
		return refusal
	}
	key := profileKey{record.Organisation, record.Profile.Name}
	if count := owner.waitingByProfile[key] + owner.creatingByProfile[key]; count >= record.Profile.Limits.MaxWaiting {
		return fault.New(fault.QueueFull, "%d jobs of profile %s wait", count, key.profile).
			WithRetryAfter(ownerRetryAfter)
	}
	limit := owner.config.Organisations[key.organisation].MaxWaiting
	if count := owner.waitingByOrganisation[key.organisation] +
		owner.creatingByOrganisation[key.organisation]; limit > 0 && count >= limit {
		return fault.New(fault.QueueFull, "%d jobs of organisation %s wait", count, key.organisation).
			WithRetryAfter(ownerRetryAfter)
	}
	owner.creatingByProfile[key]++
	owner.creatingByOrganisation[key.organisation]++
	return nil
}

// admissionDone ends the counting of an admitted job as a job whose record is being created. The record now exists or
// will not be created.
func (owner *owner) admissionDone(record *Record) {
	owner.creatingByProfile[profileKey{record.Organisation, record.Profile.Name}]--
	owner.creatingByOrganisation[record.Organisation]--
}

// explain returns the state of a job, followed by the reasons for that state. It returns nil if the job is not in the
// owner's state. Without a job id, it returns the core's explanation of the organisation.
func (owner *owner) explain(key fleet.JobKey) []string {
	if key.Job == "" {
		return owner.core.ExplainOrganisation(key.Organisation)
	}
	job := owner.jobs[key]
	if job == nil {
		return nil
	}
	lines := []string{job.phase.String()}
	switch job.phase {
	case phaseRecovering:
		return append(lines, "the new owner is checking whether an attempt is running")
	case phaseAwaitingStore:
		return append(lines, "waits for the store")
	case phaseDone:
		return append(lines, "ended; the end is being written")
	}
	if job.record.CancelRequested {
		lines = append(lines, "cancelled; waits until every member has stopped")
	}
	if !owner.settled {
		lines = append(lines, "the owner is taking over the domain")
	}
	return append(lines, owner.core.Explain(key)...)
}

func (owner *owner) countPhase(wanted phase) int {
	count := 0
	for _, job := range owner.jobs {
		if job.phase == wanted {
			count++
		}
	}
	return count
}

// dump returns the state of the owner for Service.Dump.
func (owner *owner) dump() any {
	phases := make(map[string]int)
	for _, job := range owner.jobs {
		phases[job.phase.String()]++
	}
	return map[string]any{
		"tag":              owner.termID,
		"since":            owner.termStart,
		"settled":          owner.settled,
		"jobs_by_phase":    phases,
		"unsaved":          len(owner.unsaved),
		"unmatched_leases": len(owner.unmatched),
		"scheduler":        owner.core.Dump(),
	}
}
