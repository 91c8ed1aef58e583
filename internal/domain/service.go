// Package domain runs the jobs of a scheduling domain in the process that owns it: it keeps job records in the store,
// executes the decisions of the scheduler and sends commands to workers.
//
// A scheduling domain consists of the workers of one region and the jobs that run on them. The membership view names
// one entry process as the owner of the domain. A term is the time from taking over the domain until releasing it. The
// owner keeps its state in memory; only the job records survive a change of the owner. The core is the instance of
// scheduler.Scheduler that makes the decisions for one term. An attempt is one run of a job: a gang of members, each of
// which is a task on a worker with a lease of accelerators. An unwritten end is the end of a job that the store does
// not contain yet.
package domain

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalstall/quetzalstall/internal/caller"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const (
	// ownerCheckInterval is the time between two checks whether this process owns the domain.
	ownerCheckInterval = 250 * time.Millisecond
	// watchRetryInterval is the delay before an ended watch is opened again, so that a watch that returns at once
	// is not reopened in a tight loop.
	watchRetryInterval = time.Second
	// retentionCheckInterval is the time between two removals of expired records.
	retentionCheckInterval = time.Minute
	// maxRemovalsPerCheck limits the records removed in one retention check.
	maxRemovalsPerCheck = 200
)

// Service accepts jobs, reports their state and, for the domain that this process owns, runs them.
type Service struct {
	// View is the membership view, which names the owner of the domain.
	View  peer.View
	Store platform.Store
	// Configs provides the configuration of the organisations that is in force in this process.
	Configs caller.Configs
	// Inventory returns the last snapshot of the platform's VM list.
	Inventory    func() fleet.Inventory
	NewScheduler func() scheduler.Scheduler
	// Dial returns the client of a worker.
	Dial func(fleet.Worker) worker.Client
	// Domain is the domain of the jobs submitted here. If it is empty, the region of this process is used.
	Domain fleet.RegionID
	// StoreRegressed reports whether the store has returned to an older configuration and the newer one has not been
	// written back yet. As long as it returns true, no non-idempotent job starts.
	StoreRegressed func() bool
	Timing         worker.Timing
	// StableAfter is how long the view must name this process as the owner before the process takes over the domain.
	StableAfter time.Duration
	// PauseLimit is the longest time that may pass between two turns of the owner's loop. After a longer pause of the
	// process, the term ends: the owner's state is dropped, and the next term loads the job records again.
	PauseLimit time.Duration
	// Retention is how long the record of an ended job is kept.
	Retention time.Duration
	Logger    hclog.Logger
	Metrics   metrics.Registry

	cache *recordCache
	// id is unique to this process. The ids of its writes and terms begin with it.
	id        string
	idCounter atomic.Int64
	cancel    context.CancelFunc
	ctx       context.Context
	// calls counts the submissions and cancellations in progress.
	calls sync.WaitGroup
	// running counts the calls of Run that have not returned.
	running sync.WaitGroup

	mutex  sync.Mutex
	closed bool
	// owner is the state of the current term. It is nil while this process does not own the domain.
	owner *owner
	// unwrittenEnds holds the ends of jobs whose records could not be written yet, both this process's own and
	// those received from peers.
	unwrittenEnds map[fleet.JobKey]*Record
}

// NewService returns a Service with the default times of the design. The caller must set View, Store, Configs,
// Inventory, NewScheduler and Dial before Run.
func NewService() *Service {
	service := &Service{
		StoreRegressed: func() bool { return false },
		Timing:         worker.DefaultTiming(),
		StableAfter:    time.Second,
		PauseLimit:     2500 * time.Millisecond,
		Retention:      24 * time.Hour,
		Logger:         hclog.NewNullLogger(),
		Metrics:        metrics.NewRegistry(),
		id:             rand.Text()[:10],
		unwrittenEnds:  make(map[fleet.JobKey]*Record),
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	service.cache = newRecordCache(hclog.NewNullLogger(), service.recordChanged)
	return service
}

// Run keeps the record cache up to date and, while the view names this process as the owner, runs the jobs of the
// domain and removes expired records. It returns when ctx ends or Close is called.
func (service *Service) Run(ctx context.Context) error {
	service.running.Add(1)
	defer service.running.Done()
	service.cache.logger = service.Logger
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	release := context.AfterFunc(service.ctx, stop)
	defer release()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return service.watchRecords(ctx) })
	group.Go(func() error { return service.followOwnership(ctx) })
	group.Go(func() error { return service.removeExpired(ctx) })
	return group.Wait()
}

// Close rejects new submissions and cancellations. If this process owns the domain, Close ends the term once the gangs
// that are starting have started or failed. It then waits for Run and for the calls in progress.
func (service *Service) Close() {
	service.mutex.Lock()
	service.closed = true
	owner := service.owner
	service.mutex.Unlock()
	if owner != nil {
		owner.drain()
	}
	service.cancel()
	service.running.Wait()
	service.calls.Wait()
}

// beginCall adds a call to the calls in progress. Once Close has been called, it adds nothing and returns false.
func (service *Service) beginCall() bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.closed {
		return false
	}
	service.calls.Add(1)
	return true
}

func (service *Service) watchRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		service.Store.Watch(ctx, recordPrefix, service.cache.handleChange)
		_ = lifecycle.Sleep(ctx, watchRetryInterval)
	}
	return nil
}

// recordChanged handles a change of a cached record: it drops the unwritten end of the job if the record has ended, and
// passes the change to the owner if this process owns the domain.
func (service *Service) recordChanged(key fleet.JobKey, record *Record, revision platform.StoreRevision) {
	if record != nil && record.State == StateEnded {
		service.removeUnwrittenEnd(key)
	}
	if owner := service.currentOwner(); owner != nil {
		owner.post(func() { owner.recordChanged(key, record, revision) })
	}
}

// followOwnership runs a term whenever this process has been ready and the view has named it as the owner for
// StableAfter. The term ends when the view names another process.
func (service *Service) followOwnership(ctx context.Context) error {
	var namedSince time.Time
	for ctx.Err() == nil {
		if !service.isOwner() || !service.readyToOwn() {
			namedSince = time.Time{}
		} else if namedSince.IsZero() {
			namedSince = time.Now()
		}
		if !namedSince.IsZero() && time.Since(namedSince) >= service.StableAfter {
			service.runTerm(ctx)
			namedSince = time.Time{}
			continue
		}
		_ = lifecycle.Sleep(ctx, ownerCheckInterval)
	}
	return nil
}

// isOwner reports whether the view names this process as the owner.
func (service *Service) isOwner() bool {
	ownerPeer, ok := service.View.Owner(service.domain())
	return ok && ownerPeer.VM.ID == service.View.Self().VM.ID
}

// readyToOwn reports whether this process has what an owner needs: all job records, a configuration and the workers.
func (service *Service) readyToOwn() bool {
	return service.cache.loaded() && service.Configs.Current() != nil && service.Inventory().Revision > 0
}

// runTerm takes over the domain, runs its jobs until the term ends, and releases the domain.
func (service *Service) runTerm(ctx context.Context) {
	owner := newOwner(service)
	service.mutex.Lock()
	if service.closed {
		service.mutex.Unlock()
		return
	}
	service.owner = owner
	service.mutex.Unlock()
	service.count("takeovers", 1)
	service.Logger.Info("domain taken over", "domain", service.domain(), "owner", owner.termID)
	reason := owner.run(ctx)
	service.mutex.Lock()
	service.owner = nil
	service.mutex.Unlock()
	owner.close()
	service.removeOwnerGauges()
	service.Logger.Info("domain released", "domain", service.domain(), "owner", owner.termID, "reason", reason)
}

// removeExpired removes the records of jobs that ended more than Retention ago, if this process is the owner.
func (service *Service) removeExpired(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = lifecycle.Sleep(ctx, retentionCheckInterval)
		if service.currentOwner() == nil {
			continue
		}
		removed := 0
		for _, cached := range service.cache.all() {
			expired := cached.record.State == StateEnded && time.Since(cached.record.Ended) > service.Retention
			if !expired || cached.record.Domain != service.domain() || removed >= maxRemovalsPerCheck ||
				ctx.Err() != nil {
				continue
			}
			removed++
			if err := service.Store.Delete(ctx, recordKey(cached.record.Key()), cached.revision); err != nil {
				service.Logger.Debug("expired record not removed", "job", cached.record.Job,
					"organisation", cached.record.Organisation, "error", err)
			}
		}
	}
	return nil
}

// currentOwner returns the state of the current term if this process owns the domain, otherwise nil.
func (service *Service) currentOwner() *owner {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.owner
}

func (service *Service) domain() fleet.RegionID {
	if service.Domain != "" {
		return service.Domain
	}
	return service.View.Self().VM.Region
}

// nextWriteID returns an id that no other write has.
func (service *Service) nextWriteID() string {
	return fmt.Sprintf("%s-%d", service.id, service.idCounter.Add(1))
}

func (service *Service) count(name string, by int64) {
	metrics.GetOrRegisterCounter(name, service.Metrics).Inc(by)
}

// countRefusal counts a refusal and returns it.
func (service *Service) countRefusal(refusal *fault.Error) *fault.Error {
	service.count("refusals_"+string(refusal.Kind), 1)
	return refusal
}

// Dump returns the state of the service as a value that marshals to JSON.
func (service *Service) Dump() any {
	service.mutex.Lock()
	ends := len(service.unwrittenEnds)
	owner := service.owner
	service.mutex.Unlock()
	dump := map[string]any{
		"domain":          service.domain(),
		"job_copies":      len(service.cache.all()),
		"unwritten_ends":  ends,
		"copies_complete": service.cache.loaded(),
		"owner":           nil,
	}
	if owner != nil {
		ctx, cancel := context.WithTimeout(service.ctx, dumpTimeout)
		defer cancel()
		if state, err := runOnLoop(ctx, owner, owner.dump); err == nil {
			dump["owner"] = state
		}
	}
	return dump
}
