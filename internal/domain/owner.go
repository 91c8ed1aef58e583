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

// tickInterval is the time between two looks at what has become due.
const tickInterval = 250 * time.Millisecond

// errTermEnded is the error of a question to an owner whose term has ended.
var errTermEnded = errors.New("the domain was given up")

// owner runs the scheduler of a domain for one term. Its state belongs to the goroutine of run; other goroutines
// post functions to it.
type owner struct {
	service *Service
	// termID is unique to the term; it starts the write ids and the lease ids.
	termID     string
	termStart   time.Time
	manager *worker.Manager
	core    scheduler.Scheduler
	logger  hclog.Logger
	ctx     context.Context
	stop    context.CancelFunc
	// done is closed when run has returned.
	done chan struct{}
	// group counts the goroutines of the term.
	group sync.WaitGroup

	mutex   sync.Mutex
	mailbox []func()
	wake    chan struct{}

	// The fields below belong to the goroutine of run.

	jobs map[fleet.JobKey]*job
	// jobsByWorker finds the jobs with a member on a worker.
	jobsByWorker map[fleet.WorkerID]map[fleet.JobKey]bool
	// unsaved holds the jobs whose record is to be written.
	unsaved map[fleet.JobKey]bool
	// recovering holds the jobs whose attempt is not judged yet.
	recovering map[fleet.JobKey]bool
	// awaitingStore holds the jobs that wait for the store.
	awaitingStore    map[fleet.JobKey]bool
	unmatched map[fleet.LeaseID]unmatchedLease
	reportedForeign   map[fleet.WorkerID]fleet.Accelerators
	// refusedAt names the workers whose free accelerators the core is to be told of again, with the time of the refusal.
	refusedAt map[fleet.WorkerID]time.Time
	// creatingByProfile and creatingOf count the admitted jobs whose records are being created, by profile and organisation;
	// waiting and waitingOf those that wait.
	creatingByProfile   map[profileKey]int
	creatingByOrganisation map[fleet.OrganisationID]int
	waitingByProfile    map[profileKey]int
	waitingByOrganisation  map[fleet.OrganisationID]int
	fleetRevision  int64
	config     *profile.Config
	// settled is true once no command of a former owner can take effect and every worker has answered or is lost.
	settled   bool
	settledAt time.Time
	draining  bool
	usage       callerUsage
	// gaugesUpdatedAt is when the scheduler's state was last read into gauges.
	gaugesUpdatedAt time.Time
	idCounter  int64
	probing  bool
	probedAt time.Time
}

// profileKey identifies a profile across organisations.
type profileKey struct {
	organisation fleet.OrganisationID
	profile      fleet.ProfileName
}

func newOwner(service *Service) *owner {
	owned := &owner{
		service:    service,
		termID:        fmt.Sprintf("%s.%d", service.id, service.idCounter.Add(1)),
		core:       service.NewScheduler(),
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		jobs:       make(map[fleet.JobKey]*job),
		jobsByWorker:   make(map[fleet.WorkerID]map[fleet.JobKey]bool),
		unsaved:    make(map[fleet.JobKey]bool),
		recovering: make(map[fleet.JobKey]bool),
		awaitingStore:     make(map[fleet.JobKey]bool),
		unmatched:  make(map[fleet.LeaseID]unmatchedLease),
		reportedForeign:    make(map[fleet.WorkerID]fleet.Accelerators),
		refusedAt:      make(map[fleet.WorkerID]time.Time),
		creatingByProfile:   make(map[profileKey]int),
		usage:        newCallerUsage(),
		creatingByOrganisation: make(map[fleet.OrganisationID]int),
		waitingByProfile:    make(map[profileKey]int),
		waitingByOrganisation:  make(map[fleet.OrganisationID]int),
	}
	owned.logger = service.Logger.With("owner", owned.termID)
	owned.ctx, owned.stop = context.WithCancel(service.ctx)
	owned.manager = worker.NewManager(service.Dial, func(report worker.Report) {
		owned.post(func() { owned.handleReport(report) })
	})
	owned.manager.Timing = service.Timing
	owned.manager.Logger = owned.logger
	owned.manager.Metrics = service.Metrics
	owned.manager.Owner = owned.termID
	return owned
}

// post hands a function to the goroutine of run. It never blocks.
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

// runOnLoop runs a question in the owner's goroutine and returns its answer.
func runOnLoop[T any](ctx context.Context, owner *owner, question func() T) (T, error) {
	answer := make(chan T, 1)
	owner.post(func() { answer <- question() })
	var zero T
	select {
	case value := <-answer:
		return value, nil
	case <-owner.done:
		return zero, errTermEnded
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// run works until the domain is to be given up and returns why.
func (owner *owner) run(ctx context.Context) string {
	defer close(owner.done)
	owner.takeOver()
	last := time.Now()
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
		if now.Sub(last) > owner.service.PauseLimit {
			return fmt.Sprintf("paused for %s", now.Sub(last))
		}
		if !owner.service.isOwner() {
			return "another process owns the domain"
		}
		owner.runMailbox()
		owner.tick(now)
		owner.updateGauges(now)
		owner.decide()
		owner.flush()
		last = time.Now()
		timer.Reset(owner.timeToNextTurn(last))
	}
}

// close ends the term: nothing is sent any more, and the leases stay as they are on the workers.
func (owner *owner) close() {
	owner.stop()
	owner.manager.Close()
	owner.group.Wait()
}

// drain takes no further decisions and waits until the gangs that are starting have started or failed.
func (owner *owner) drain() {
	ctx, cancel := context.WithTimeout(owner.ctx, owner.service.Timing.Settling())
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

// runAsync runs work in a goroutine of the term.
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

// timeToNextTurn returns the time until something becomes due.
func (owner *owner) timeToNextTurn(now time.Time) time.Duration {
	pause := tickInterval
	if next := owner.core.NextWake(); owner.settled && !next.IsZero() {
		pause = min(pause, max(next.Sub(now), time.Millisecond))
	}
	return pause
}

// takeOver reads the copies. Jobs that may be running are judged once their workers have answered.
func (owner *owner) takeOver() {
	owner.termStart = time.Now()
	owner.refresh(owner.termStart)
	for _, held := range owner.service.cache.all() {
		owner.recordChanged(held.record.Key(), held.record, held.revision)
	}
	for _, known := range owner.jobs {
		known.takenOver = true
	}
	for _, ended := range owner.service.listUnwrittenEnds() {
		owner.applyUnwrittenEnd(ended)
	}
}

// refresh takes in a newer configuration and fleet.
func (owner *owner) refresh(now time.Time) {
	if config := owner.service.Configs.Current(); config != nil && (owner.config == nil || config.Revision > owner.config.Revision) {
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

// tick does what has become due.
func (owner *owner) tick(now time.Time) {
	owner.refresh(now)
	owner.checkSettled(now)
	owner.recoverAll(now)
	owner.resolveUnmatched(now)
	owner.updateRefused(now)
	owner.probeStore(now)
}

// checkSettled notes when decisions may begin.
func (owner *owner) checkSettled(now time.Time) {
	if owner.settled || now.Sub(owner.termStart) < owner.service.Timing.Settling() {
		return
	}
	for _, machine := range owner.service.Inventory().Workers {
		if machine.Region != owner.service.domain() {
			continue
		}
		answered := owner.manager.SyncedSince(machine.ID, owner.termStart)
		if !answered && now.Sub(owner.termStart) < owner.service.Timing.LeaseEnd() && !owner.manager.Lost(machine.ID) {
			return
		}
	}
	owner.settled, owner.settledAt = true, now
	owner.logger.Info("domain settled", "jobs", len(owner.jobs), "recovering", len(owner.recovering))
}

// recordChanged takes a change of a job's record that another process may have made; record is nil for a removed one.
func (owner *owner) recordChanged(key fleet.JobKey, record *Record, revision platform.StoreRevision) {
	known := owner.jobs[key]
	switch {
	case record == nil || record.Domain != owner.service.domain():
	case known == nil && record.State != StateEnded:
		owner.addJob(record, revision)
	case known == nil || revision <= known.revision || strings.HasPrefix(record.WriteID, owner.termID+"-"):
	default:
		owner.applyConflictingRecord(known, record, revision)
	}
}

// addJob takes an accepted job into the state of the owner.
func (owner *owner) addJob(record *Record, revision platform.StoreRevision) {
	added := newJob(record, revision)
	owner.jobs[record.Key()] = added
	if record.State == StateStarting {
		owner.startRecovery(added)
		return
	}
	owner.enqueue(added)
}

// enqueue gives a job to the core, or ends it when it was cancelled.
func (owner *owner) enqueue(job *job) {
	owner.setPhase(job, phaseQueued)
	if job.record.CancelRequested {
		owner.endJob(job, scheduler.VerdictCancelled, "", "cancelled")
		return
	}
	job.inCore = true
	owner.core.Apply(time.Now(), scheduler.JobSubmitted{Job: job.record.schedulerJob()})
}

// admit tells whether a job can be taken now. An admitted job counts until admitted is called.
func (owner *owner) admit(record *Record) *fault.Error {
	if owner.draining {
		return fault.New(fault.Draining, "the owner is stopping").WithRetryAfter(ownerRetryAfter)
	}
	if owner.config == nil || owner.config.Organisations[record.Organisation] == nil {
		return fault.New(fault.OwnerUnavailable, "the owner has not received the configuration yet").WithRetryAfter(ownerRetryAfter)
	}
	if refusal := owner.core.Admit(time.Now(), record.schedulerJob()); refusal != nil {
		return refusal
	}
	key := profileKey{record.Organisation, record.Profile.Name}
	if count := owner.waitingByProfile[key] + owner.creatingByProfile[key]; count >= record.Profile.Limits.MaxWaiting {
		return fault.New(fault.QueueFull, "%d jobs of profile %s wait", count, key.profile).WithRetryAfter(ownerRetryAfter)
	}
	bound := owner.config.Organisations[key.organisation].MaxWaiting
	if count := owner.waitingByOrganisation[key.organisation] + owner.creatingByOrganisation[key.organisation]; bound > 0 && count >= bound {
		return fault.New(fault.QueueFull, "%d jobs of organisation %s wait", count, key.organisation).WithRetryAfter(ownerRetryAfter)
	}
	owner.creatingByProfile[key]++
	owner.creatingByOrganisation[key.organisation]++
	return nil
}

// admissionDone ends the count of an admissionDone job, whose record now exists or never will.
func (owner *owner) admissionDone(record *Record) {
	owner.creatingByProfile[profileKey{record.Organisation, record.Profile.Name}]--
	owner.creatingByOrganisation[record.Organisation]--
}

// explain returns the state of a job and the reasons for it.
func (owner *owner) explain(key fleet.JobKey) []string {
	if key.Job == "" {
		return owner.core.ExplainOrganisation(key.Organisation)
	}
	known := owner.jobs[key]
	if known == nil {
		return nil
	}
	lines := []string{known.phase.String()}
	switch known.phase {
	case phaseRecovering:
		return append(lines, "the new owner is finding out whether the job runs")
	case phaseAwaitingStore:
		return append(lines, "waits for the store")
	case phaseDone:
		return append(lines, "ended; the end is being written")
	}
	if known.record.CancelRequested {
		lines = append(lines, "cancelled; waits until every member has stopped")
	}
	if !owner.settled {
		lines = append(lines, "the owner is taking over the domain")
	}
	return append(lines, owner.core.Explain(key)...)
}

func (owner *owner) countPhase(wanted phase) int {
	count := 0
	for _, known := range owner.jobs {
		if known.phase == wanted {
			count++
		}
	}
	return count
}

// dump returns the state of the owner.
func (owner *owner) dump() any {
	phases := make(map[string]int)
	for _, known := range owner.jobs {
		phases[known.phase.String()]++
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
