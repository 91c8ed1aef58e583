// Package control implements the controller. During a term, which is a period in which this process makes the
// scheduling decisions, the controller places tasks on workers, sends orders to the workers and records the outcome of
// each run.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/internal/term"
	"github.com/quetzalstall/quetzalstall/pkg/catalog"
	"github.com/quetzalstall/quetzalstall/pkg/evacuation"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workerspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Controller schedules jobs during the terms of this process. Its exported fields are set before Lead is called.
type Controller struct {
	Store   keyvalue.Store
	Workers Workers
	// Adviser returns the workers that may run the steps of profiles that require advice. It may be nil.
	Adviser Adviser
	// WorkerPrefix is the key prefix of the workers' entries in the store, and DecodeWorker decodes an entry.
	WorkerPrefix string
	DecodeWorker func(keyvalue.Item) (WorkerEntry, error)
	// EvacuationPrefix is the key prefix of the requests to evacuate data centres; empty if the deployment has none.
	// DecodeEvacuation returns the data centre that an item names; MaxEvacuationAge is the age of the latest confirmation
	// of the requests from which on no task starts.
	EvacuationPrefix string
	DecodeEvacuation func(keyvalue.Item) (fleet.DataCentreID, error)
	MaxEvacuationAge time.Duration
	// Catalog returns the configuration in force, or nil before the first one is loaded.
	Catalog func() *catalog.Catalog
	Clock   term.Clock
	// MaxReportAge is the age of a worker's report from which on its capacity is not known. ReportsOutdated tells
	// whether the reports in the store may be of the time before an outage that has just ended.
	MaxReportAge    time.Duration
	ReportsOutdated func() bool
	// LeaseDuration is how long a worker continues a run after the last order that extends its lease.
	LeaseDuration time.Duration
	// MaxLease is the longest lease that a worker grants, on its own clock, whatever the deadline of the order.
	MaxLease time.Duration
	// FormerLeaseLimit is the longest time for which leases that a former controller granted can last after the start
	// of a term. A former controller is the controller of an earlier term.
	FormerLeaseLimit time.Duration
	// FormerLeasesEnd returns a time by which all leases have ended that controllers have granted, in the terms from one
	// token up to but not including another one, by orders that the intended incarnations carried out. It returns false if
	// the time is not known. It is sooner than FormerLeaseLimit allows if these controllers are known to have ceased to send
	// orders. It may be nil.
	FormerLeasesEnd func(from, to keyvalue.Revision) (at time.Duration, known bool)
	// MaxValueBytes is the size of a document that the store takes at the most.
	MaxValueBytes progress.Bytes
	// Retention is how long the documents of an ended job are kept.
	Retention time.Duration
	// Tombstones has the tombstones in the store, of which the controller deletes those whose retention has ended. It may be
	// nil.
	Tombstones *ledger.TombstoneCache
	// Interference has kinds of task kept apart that slow each other down on the same worker.
	Interference bool
	Logger       hclog.Logger
	Metrics      gometrics.Registry

	current atomic.Pointer[dispatcher]
	// explanations limits the rate of Explain.
	explanations explanationLimit
}

// errSuperseded means that another process holds the term now.
var errSuperseded = errors.New("another process has taken the term")

// errDiverged means that documents in the store differ from those that this term wrote. The next term reads them again.
var errDiverged = errors.New("the store holds other documents than this term has written")

// Lead schedules jobs until ctx ends or another process has taken the term.
func (controller *Controller) Lead(ctx context.Context, held *term.Term) {
	group, ctx := errgroup.WithContext(ctx)
	loop := newDispatcher(ctx, controller, held, group)
	// A status that changes after load has read the statuses must be delivered, so this comes before load.
	controller.current.Store(loop)
	group.Go(loop.run)
	err := group.Wait()
	controller.current.Store(nil)
	loop.endTerm()
	controller.Logger.Info("controller stopped", "token", int64(held.Token), "reason", err.Error())
}

// ObserveStatuses passes changes of the jobs' status documents to the dispatcher of the current term. It does nothing
// while this process holds no term.
func (controller *Controller) ObserveStatuses(changes []keyvalue.Change) {
	loop := controller.current.Load()
	if loop == nil {
		return
	}
	loop.post(func(loop *dispatcher) { loop.observeStatuses(changes) })
}

// dispatcher makes the scheduling decisions of one term. Only the goroutine of run reads and changes its state. Other
// goroutines pass functions to post, and the goroutine of run calls these functions.
type dispatcher struct {
	*Controller
	ctx     context.Context
	term    *term.Term
	group   *errgroup.Group
	started time.Duration
	// lastExpiry is the time of the last search for jobs whose retention has ended.
	lastExpiry time.Duration

	events chan func(*dispatcher)
	jobs   map[fleet.JobID]*job
	// openJobs are the jobs whose tasks may still start. Jobs that end are removed only at the next plan.
	openJobs map[fleet.JobID]*job
	// pendingStatuses holds the statuses of jobs that have not been added yet.
	pendingStatuses map[fleet.JobID]ledger.StatusEntry
	// pendingRecords holds the records that former terms stored for jobs that have not been added yet.
	pendingRecords map[fleet.JobID]keyvalue.Item
	// invalidRecords are the jobs whose records cannot be decoded or do not match the job.
	invalidRecords map[fleet.JobID]bool
	// invalidJobs are the documents under ledger.JobPrefix that are not those of jobs.
	invalidJobs *keyvalue.InvalidItems
	// invalidStatuses are the status documents that cannot be read.
	invalidStatuses *keyvalue.InvalidItems
	// invalidEntries are the entries under WorkerPrefix that name no worker to use.
	invalidEntries *keyvalue.InvalidItems
	workers        map[fleet.WorkerID]*worker
	// entriesConfirmedAt is the latest time at which the entries of the workers were known to be complete; 0 if they never
	// were in this term.
	entriesConfirmedAt time.Duration
	// contested are the latest entries of workers that contradict what is known of them; see contradicts.
	contested map[fleet.WorkerID]WorkerEntry
	// restartedAt has the time at which each worker last named another incarnation, and restarts those replacements of
	// links that wait because of it.
	restartedAt map[fleet.WorkerID]time.Duration
	restarts    map[fleet.WorkerID]restart
	// formerLinks has the last links of the workers that were removed in this term.
	formerLinks map[fleet.WorkerID]formerLink
	claims      map[workload.TaskID]*claim
	// withheldSince has the time from which capacity is withheld for a unit while its service is not busy.
	withheldSince map[workload.TaskID]time.Duration
	// unexpectedRuns counts the unexpected runs of each task that has any.
	unexpectedRuns map[workload.TaskID]int
	// backgroundCrashes are the times of the recent crashes of workers for which no run can be to blame.
	backgroundCrashes []time.Duration
	advice            advice
	// evacuations are the requests to evacuate data centres, and invalidEvacuations the items that name none.
	evacuations        evacuation.Requests
	invalidEvacuations *keyvalue.InvalidItems
	// startsBlocked is set while no task starts because the evacuations have not been confirmed lately.
	startsBlocked bool
	// speeds is what was learnt of the lasting speeds of workers, and storedSpeeds what of it was stored. uneven has the
	// services in which placement depends on it.
	speeds       workerspeed.Fleet
	storedSpeeds storedSpeeds
	uneven       map[fleet.ServiceName]bool
	// nextFactors is the earliest time at which the time factors of all workers are computed again.
	nextFactors  time.Duration
	interference interferenceState
	headroom     headroom
	// pendingCommits are the transactions without a known outcome, by the numbers of their batches.
	pendingCommits map[int64]pendingCommit
	commitCount    int64
	writeCount     int64
	// dirty are the jobs whose records differ from the stored ones.
	dirty map[fleet.JobID]*job
	// unpublished has the jobs whose state running is not stored yet.
	unpublished map[*job]bool
	planNeeded  bool
	// removingTombstones is set while expired tombstones are being deleted.
	removingTombstones bool
	// rehearsal is set in the copy of a dispatcher that plans without effects for an explanation.
	rehearsal *rehearsal
	// nextPlan is the earliest time of the next plan.
	nextPlan time.Duration
}

// eventQueueSize is the maximum number of posted functions that wait for the dispatcher.
const eventQueueSize = 4096

func newDispatcher(ctx context.Context, controller *Controller, held *term.Term, group *errgroup.Group) *dispatcher {
	return &dispatcher{
		Controller: controller, ctx: ctx, term: held, group: group, started: controller.Clock(),
		events: make(chan func(*dispatcher), eventQueueSize), jobs: map[fleet.JobID]*job{},
		openJobs: map[fleet.JobID]*job{}, dirty: map[fleet.JobID]*job{}, unpublished: map[*job]bool{},
		pendingStatuses: map[fleet.JobID]ledger.StatusEntry{}, pendingRecords: map[fleet.JobID]keyvalue.Item{},
		invalidRecords: map[fleet.JobID]bool{}, workers: map[fleet.WorkerID]*worker{},
		claims: map[workload.TaskID]*claim{}, withheldSince: map[workload.TaskID]time.Duration{}, contested: map[fleet.WorkerID]WorkerEntry{},
		restartedAt: map[fleet.WorkerID]time.Duration{}, restarts: map[fleet.WorkerID]restart{},
		formerLinks: map[fleet.WorkerID]formerLink{}, unexpectedRuns: map[workload.TaskID]int{},
		invalidJobs: keyvalue.NewInvalidItems(controller.Logger, hclog.Error,
			"invalid job document ignored", "job document is valid again"),
		invalidStatuses: keyvalue.NewInvalidItems(controller.Logger, hclog.Error,
			"invalid status document", "status document is valid again"),
		invalidEntries: keyvalue.NewInvalidItems(controller.Logger, hclog.Warn,
			"invalid worker entry; the worker counts as not listed", "worker entry is valid again"),
		evacuations: evacuation.Requests{MaxAge: controller.MaxEvacuationAge},
		invalidEvacuations: keyvalue.NewInvalidItems(controller.Logger, hclog.Warn,
			"invalid evacuation request", "evacuation request is valid again"),
		uneven:         map[fleet.ServiceName]bool{},
		pendingCommits: map[int64]pendingCommit{}, interference: newInterferenceState(controller.Interference),
		advice: advice{permits: map[workload.StepID]map[fleet.WorkerID]permit{}},
	}
}

func (loop *dispatcher) clock() time.Duration { return loop.Clock() }

// post queues a function that the goroutine of run calls. It blocks while the queue is full, and drops the function
// once the term has ended.
func (loop *dispatcher) post(event func(*dispatcher)) {
	select {
	case loop.events <- event:
	case <-loop.ctx.Done():
	}
}

// tickInterval is the interval at which the loop checks deadlines when no event arrives.
const tickInterval = 100 * time.Millisecond

func (loop *dispatcher) run() error {
	if err := loop.load(); err != nil {
		return err
	}
	loop.startWatches()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-loop.events:
			event(loop)
		case <-ticker.C:
			loop.sweep()
			loop.planNeeded = true
		case <-timer.C:
		case <-loop.ctx.Done():
			return loop.ctx.Err()
		}
		for pending := true; pending; {
			select {
			case event := <-loop.events:
				event(loop)
			default:
				pending = false
			}
		}
		loop.planIfDue(timer)
		loop.flush()
	}
}

const (
	// minPlanPause is the minimum pause between two plans, so that one plan handles many events.
	minPlanPause = 10 * time.Millisecond
	// planPauseFactor times the duration of a plan is the pause after it. The pause leaves time to send orders and to
	// process ends of runs.
	planPauseFactor = 2
	// maxPlanPause limits the pause after a very long plan.
	maxPlanPause = 200 * time.Millisecond
)

// planIfDue runs a plan if something has changed since the last plan. Before nextPlan it only sets the timer, so that a
// plan runs then.
func (loop *dispatcher) planIfDue(timer *time.Timer) {
	if !loop.planNeeded {
		return
	}
	began := loop.clock()
	if began < loop.nextPlan {
		timer.Reset(loop.nextPlan - began)
		return
	}
	loop.planNeeded = false
	loop.plan()
	ended := loop.clock()
	taken := ended - began
	metrics.Observe(loop.Metrics, "plan_milliseconds", taken)
	loop.nextPlan = ended + min(max(minPlanPause, planPauseFactor*taken), maxPlanPause)
}

// termGauges are the names of the gauges that only the controller exports.
var termGauges = []string{
	"plan_groups", "plan_partial_jobs", "headroom_accelerators", "urgent_accelerators_per_second", "interfering_pairs",
	"placed_jobs_not_begun", "tombstones",
}

// endTerm closes the links to all workers and removes the gauges of the term: what they show changes at another process now.
func (loop *dispatcher) endTerm() {
	loop.closeLinks()
	metrics.RemoveGauges(loop.Metrics, termGauges...)
}

func (loop *dispatcher) closeLinks() {
	for _, worker := range loop.workers {
		if worker.link != nil {
			worker.link.cancel()
		}
	}
}

// sweep handles what only the passage of time brings about: it ends runs whose leases have expired, and removes workers
// that no longer exist and jobs whose retention has ended.
func (loop *dispatcher) sweep() {
	for _, worker := range loop.workers {
		loop.dropAwaiting(worker)
		loop.restartIfDue(worker)
		loop.resolveContested(worker)
		if worker.occupied() && loop.leasesExpired(worker) {
			loop.expireRuns(worker)
		}
		if worker.link != nil && !worker.listed && !worker.occupied() && worker.unresponsive && !worker.awaitsStorage() {
			loop.removeWorker(worker)
		}
	}
	loop.countJobsNotBegun()
	loop.storeSpeeds()
	if loop.clock()-loop.lastExpiry > expiryInterval {
		loop.lastExpiry = loop.clock()
		loop.removeExpiredJobs()
		loop.removeTombstones()
	}
}

// leasesExpired reports whether a worker is unresponsive, or has no link because its entry has not been read in this
// term, and every lease on the worker has certainly expired. No run can be left there then.
func (loop *dispatcher) leasesExpired(worker *worker) bool {
	if worker.link == nil {
		return loop.clock() > loop.started+loop.FormerLeaseLimit
	}
	return worker.unresponsive && (worker.link.leasesExpired() || loop.restoredLeasesExpired(worker))
}

func (loop *dispatcher) removeWorker(worker *worker) {
	worker.link.cancel()
	// If the worker is listed again before the next plan, its new state has nothing reserved for these claims.
	for key, claim := range loop.claims {
		if slices.Contains(claim.places, worker.entry.ID) {
			loop.dropClaim(key)
		}
	}
	loop.formerLinks[worker.entry.ID] = formerLink{token: worker.link.token, leases: worker.link.nextFormerLeases()}
	delete(loop.workers, worker.entry.ID)
	delete(loop.contested, worker.entry.ID)
	delete(loop.restartedAt, worker.entry.ID)
	delete(loop.restarts, worker.entry.ID)
	loop.Logger.Info("worker removed", "worker", string(worker.entry.ID))
}
