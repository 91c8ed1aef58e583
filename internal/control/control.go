// Package control is the controller: during a term it places tasks on workers, sends orders and records what became
// of each run.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/internal/term"
	"github.com/quetzalstall/quetzalstall/pkg/catalog"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Controller schedules during the terms of this process. Its exported fields are set before Lead.
type Controller struct {
	Store   keyvalue.Store
	Workers Workers
	// Adviser knows which workers may run the steps of profiles under advice; nil is none.
	Adviser Adviser
	// WorkerPrefix covers the entries of workers in the store, and DecodeWorker reads one.
	WorkerPrefix string
	DecodeWorker func(keyvalue.Item) (WorkerEntry, error)
	// Catalog returns the configuration in force, or nil before the first.
	Catalog func() *catalog.Catalog
	Clock   term.Clock
	// LeaseDuration is how long a run goes on after the last order to its worker.
	LeaseDuration time.Duration
	// FormerLeaseLimit is how long after the start of a term a former controller's leases may last.
	FormerLeaseLimit time.Duration
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
	Logger    hclog.Logger
	Metrics   gometrics.Registry

	current atomic.Pointer[dispatcher]
}

// errSucceeded means that another process has taken the term.
var errSucceeded = errors.New("another process has taken the term")

// errDiverged means that the store holds other documents than this term has written. A new term reads them again.
var errDiverged = errors.New("the store holds other documents than this term has written")

// Lead schedules until ctx ends or another process has taken the term.
func (controller *Controller) Lead(ctx context.Context, held *term.Term) {
	group, ctx := errgroup.WithContext(ctx)
	loop := newDispatcher(ctx, controller, held, group)
	group.Go(loop.run)
	controller.current.Store(loop)
	err := group.Wait()
	controller.current.Store(nil)
	loop.closeLinks()
	controller.Logger.Info("controller stopped", "token", int64(held.Token), "reason", err.Error())
}

// ObserveStatuses takes changes of the live documents that this process follows.
func (controller *Controller) ObserveStatuses(changes []keyvalue.Change) {
	loop := controller.current.Load()
	if loop == nil {
		return
	}
	loop.post(func(loop *dispatcher) { loop.observeStatuses(changes) })
}

// dispatcher is the state of one term. Only its own goroutine changes it; others post functions.
type dispatcher struct {
	*Controller
	ctx   context.Context
	term  *term.Term
	group *errgroup.Group
	begun time.Duration
	// expired is when old jobs were last looked for.
	expired time.Duration

	events chan func(*dispatcher)
	jobs   map[fleet.JobID]*job
	// open are the jobs of which tasks may still start; some may have ended since the last plan.
	open map[fleet.JobID]*job
	// statuses holds news of jobs that are not known yet.
	statuses map[fleet.JobID]ledger.StatusEntry
	// records holds what the former terms stored of jobs that are not known yet.
	records map[fleet.JobID]keyvalue.Item
	// unreadable are the jobs whose records cannot be read.
	unreadable map[fleet.JobID]bool
	workers    map[fleet.WorkerID]*worker
	claims     map[workload.TaskID]*claim
	advice     advice
	// arrivals is the recent demand of urgent jobs.
	arrivals arrivals
	// commits counts the transactions that are on their way.
	commits int
	writes  int64
	// dirty are the jobs whose records differ from the stored ones.
	dirty   map[fleet.JobID]*job
	changed bool
	// nextPlan is the earliest time of the next plan.
	nextPlan time.Duration
}

// eventQueue is how many posted events may wait.
const eventQueue = 4096

func newDispatcher(ctx context.Context, controller *Controller, held *term.Term, group *errgroup.Group) *dispatcher {
	return &dispatcher{
		Controller: controller, ctx: ctx, term: held, group: group, begun: controller.Clock(),
		events: make(chan func(*dispatcher), eventQueue), jobs: map[fleet.JobID]*job{}, open: map[fleet.JobID]*job{},
		dirty:    map[fleet.JobID]*job{},
		statuses: map[fleet.JobID]ledger.StatusEntry{}, records: map[fleet.JobID]keyvalue.Item{},
		unreadable: map[fleet.JobID]bool{}, workers: map[fleet.WorkerID]*worker{}, claims: map[workload.TaskID]*claim{},
		advice: advice{permits: map[workload.StepID]map[fleet.WorkerID]permit{}},
	}
}

func (loop *dispatcher) clock() time.Duration { return loop.Clock() }

// post hands an event to the loop. It waits while the queue is full and drops the event when the term has ended.
func (loop *dispatcher) post(event func(*dispatcher)) {
	select {
	case loop.events <- event:
	case <-loop.ctx.Done():
	}
}

// tick is how often the loop looks at deadlines without an event.
const tick = 100 * time.Millisecond

func (loop *dispatcher) run() error {
	if err := loop.load(); err != nil {
		return err
	}
	loop.follow()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-loop.events:
			event(loop)
		case <-ticker.C:
			loop.sweep()
			loop.changed = true
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
	// planPause is the least time between two plans, so that many events share one.
	planPause = 10 * time.Millisecond
	// planRest times the duration of a plan passes before the next, so that plans leave time for orders and ends.
	planRest = 2
	// planPauseMax bounds the pause after a plan that took very long.
	planPauseMax = 200 * time.Millisecond
)

// planIfDue plans after a change, or sets the timer if it is too early for a plan.
func (loop *dispatcher) planIfDue(timer *time.Timer) {
	if !loop.changed {
		return
	}
	began := loop.clock()
	if began < loop.nextPlan {
		timer.Reset(loop.nextPlan - began)
		return
	}
	loop.changed = false
	loop.plan()
	ended := loop.clock()
	taken := ended - began
	metrics.Observe(loop.Metrics, "plan_milliseconds", taken)
	loop.nextPlan = ended + min(max(planPause, planRest*taken), planPauseMax)
}

// load reads the records and statuses of the former terms. No other process writes records any more, since that
// needs the former term's key.
func (loop *dispatcher) load() error {
	var records, live, jobs []keyvalue.Item
	for jobs == nil {
		var err error
		if records, err = loop.list(ledger.RecordPrefix); err == nil {
			live, err = loop.list(ledger.LivePrefix)
		}
		if err == nil {
			jobs, err = loop.list(ledger.JobPrefix)
		}
		if err != nil {
			loop.Logger.Warn("records not read yet", "error", err.Error())
			if err := lifecycle.Sleep(loop.ctx, commitRetry); err != nil {
				return err
			}
		}
	}
	for _, item := range records {
		loop.records[fleet.JobID(item.Key[len(ledger.RecordPrefix):])] = item
	}
	loop.observeStatuses(asChanges(live))
	loop.observeJobs(asChanges(jobs))
	loop.Logger.Info("records read", "records", len(records), "jobs", len(jobs))
	return nil
}

func asChanges(items []keyvalue.Item) []keyvalue.Change {
	changes := make([]keyvalue.Change, len(items))
	for i, item := range items {
		changes[i] = keyvalue.Change{Item: item}
	}
	return changes
}

func (loop *dispatcher) list(prefix string) ([]keyvalue.Item, error) {
	ctx, cancel := context.WithTimeout(loop.ctx, listTimeout)
	defer cancel()
	items, _, err := loop.Store.List(ctx, prefix)
	if items == nil {
		items = []keyvalue.Item{}
	}
	if err != nil {
		return nil, err
	}
	return items, nil
}

const (
	// listTimeout bounds a listing of all its pages.
	listTimeout = 3 * time.Second
	// followInterval is the least time between two watch calls of the controller.
	followInterval = 40 * time.Millisecond
	// followWait bounds one watch call, and so how long a silent connection goes unnoticed.
	followWait = 1500 * time.Millisecond
	// followRetry is the pause after a failed call to the store.
	followRetry = 200 * time.Millisecond
	// workerInterval is the least time between two watch calls for workers, whose entries change all the time.
	workerInterval = 300 * time.Millisecond
)

// follow keeps up with accepted jobs and with workers.
func (loop *dispatcher) follow() {
	jobs := &keyvalue.Mirror{
		Store: loop.Store, Prefix: ledger.JobPrefix, Interval: followInterval, Wait: followWait, RetryPause: followRetry,
		Logger: loop.Logger, Apply: func(changes []keyvalue.Change, _ bool) {
			loop.post(func(loop *dispatcher) { loop.observeJobs(changes) })
		},
	}
	workers := &keyvalue.Mirror{
		Store: loop.Store, Prefix: loop.WorkerPrefix, Interval: workerInterval, Wait: followWait, RetryPause: followRetry,
		Logger: loop.Logger, Apply: func(changes []keyvalue.Change, whole bool) {
			read := time.Now()
			loop.post(func(loop *dispatcher) { loop.observeWorkers(changes, whole, read) })
		},
	}
	loop.group.Go(func() error { return jobs.Run(loop.ctx) })
	loop.group.Go(func() error { return workers.Run(loop.ctx) })
}

func (loop *dispatcher) closeLinks() {
	for _, worker := range loop.workers {
		if worker.link != nil {
			worker.link.cancel()
		}
	}
}

// observeJobs takes accepted jobs.
func (loop *dispatcher) observeJobs(changes []keyvalue.Change) {
	for _, change := range changes {
		id := fleet.JobID(change.Key[len(ledger.JobPrefix):])
		if change.Deleted {
			loop.forget(id)
			continue
		}
		if loop.jobs[id] != nil || loop.unreadable[id] {
			continue
		}
		accepted, err := ledger.Decode[workload.Job](change.Item)
		if err == nil {
			err = accepted.Check()
		}
		if err != nil {
			loop.Logger.Error("unreadable job", "key", change.Key, "error", err.Error())
			continue
		}
		loop.addJob(accepted, change.Revision)
	}
	loop.changed = true
}

// forget drops a job whose documents are gone from the store.
func (loop *dispatcher) forget(id fleet.JobID) {
	delete(loop.jobs, id)
	delete(loop.open, id)
	delete(loop.dirty, id)
}

func (loop *dispatcher) addJob(accepted workload.Job, revision keyvalue.Revision) {
	added := &job{Job: accepted, terms: accepted.Policy, record: progress.New(accepted)}
	added.status = ledger.StatusEntry{
		Status: ledger.Status{
			State: progress.Queued, Profile: accepted.Profile, Organisation: accepted.Organisation,
			Scheduled: accepted.Schedule.Count > 0,
		},
		// A job and its first status are written by one transaction, so they share the revision.
		Revision: revision,
	}
	if known, ok := loop.statuses[accepted.ID]; ok {
		added.status = known
		delete(loop.statuses, accepted.ID)
	}
	item, ok := loop.records[accepted.ID]
	delete(loop.records, accepted.ID)
	if !ok {
		loop.jobs[accepted.ID], loop.open[accepted.ID] = added, added
		loop.arrivals.note(loop.clock(), added)
		loop.Logger.Info("job taken", "job", string(accepted.ID), "profile", string(accepted.Profile),
			"waited_ms", time.Since(accepted.Accepted).Milliseconds())
		return
	}
	record, err := ledger.Decode[progress.Record](item)
	if err != nil || !record.Matches(accepted) {
		// What has run of the job is not known, so nothing of it may start.
		loop.unreadable[accepted.ID] = true
		loop.Logger.Error("unreadable record, the job stays as it is", "key", item.Key)
		return
	}
	loop.jobs[accepted.ID], loop.open[accepted.ID] = added, added
	added.record, added.recordRevision = &record, item.Revision
	loop.restoreRuns(added)
	if !added.open() {
		loop.stopJob(added)
	}
}

// restoreRuns takes over what a former controller placed. The first listing of each worker settles it.
func (loop *dispatcher) restoreRuns(job *job) {
	for id, task := range job.placed() {
		restored := &run{
			task: id, number: task.Run, job: job, need: job.Steps[id.Step].Need(), since: loop.clock(), sent: true,
			checkFrom: loop.begun - 1,
		}
		loop.occupy(restored, task.At)
	}
}

// observeStatuses takes news of jobs, which tell of cancellations.
func (loop *dispatcher) observeStatuses(changes []keyvalue.Change) {
	for _, change := range changes {
		id, ok := ledger.JobOfStatus(change.Key)
		if !ok || change.Deleted {
			continue
		}
		status, err := ledger.Decode[ledger.Status](change.Item)
		if err != nil {
			loop.Logger.Error("unreadable status", "key", change.Key, "error", err.Error())
			continue
		}
		entry := ledger.StatusEntry{Status: status, Revision: change.Revision}
		job := loop.jobs[id]
		if job == nil {
			loop.statuses[id] = entry
			continue
		}
		loop.adoptStatus(job, entry)
	}
}

func (loop *dispatcher) adoptStatus(job *job, entry ledger.StatusEntry) {
	if entry.Revision <= job.status.Revision {
		return
	}
	job.status = entry
	if entry.State == progress.Cancelled {
		loop.Logger.Info("job cancelled", "job", string(job.ID), "status_revision", int64(entry.Revision))
		loop.stopJob(job)
	}
	loop.changed = true
}

// stopJob ends every run of a job.
func (loop *dispatcher) stopJob(job *job) {
	for _, run := range loop.runsOf(job) {
		loop.stopRun(run, "job over")
	}
}

// runsOf returns the placed runs of a job that have not ended.
func (loop *dispatcher) runsOf(job *job) []*run {
	var runs []*run
	for id, task := range job.placed() {
		worker := loop.workers[task.At.Worker]
		if worker == nil {
			continue
		}
		if run := worker.runs[id]; run != nil {
			runs = append(runs, run)
		}
	}
	return runs
}

// expireInterval is how often jobs are looked for that need not be kept any longer.
const expireInterval = 5 * time.Second

// sweep notices what only time brings: leases that have ended and jobs that need not be kept any longer.
func (loop *dispatcher) sweep() {
	for _, worker := range loop.workers {
		if len(worker.runs) > 0 && loop.allLapsed(worker) {
			loop.lapse(worker)
		}
		if worker.link != nil && !worker.present && len(worker.runs) == 0 && worker.silent {
			loop.removeWorker(worker)
		}
	}
	if loop.clock()-loop.expired > expireInterval {
		loop.expired = loop.clock()
		loop.expire()
	}
}

// allLapsed reports whether no run can be left on a worker that does not answer.
func (loop *dispatcher) allLapsed(worker *worker) bool {
	if worker.link == nil {
		return loop.clock() > loop.begun+loop.FormerLeaseLimit
	}
	return worker.silent && worker.link.lapsed()
}

func (loop *dispatcher) removeWorker(worker *worker) {
	worker.link.cancel()
	delete(loop.workers, worker.entry.ID)
	loop.Logger.Info("worker removed", "worker", string(worker.entry.ID))
}
