// Package domain runs the jobs of scheduling domains: records in the store, decisions, and commands to workers.
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
	// ownerCheckInterval is the time between two looks at the view.
	ownerCheckInterval = 250 * time.Millisecond
	// watchRetryInterval bounds how fast a watch that returns at once is opened again.
	watchRetryInterval = time.Second
	// retentionCheckInterval is the time between two removals of old records.
	retentionCheckInterval = time.Minute
	// maxRemovalsPerCheck bounds the records removed at one retention check.
	maxRemovalsPerCheck = 200
)

// Service accepts, follows and, for the domain that this process owns, runs jobs.
type Service struct {
	// View tells which process owns the domain.
	View  peer.View
	Store platform.Store
	// Configs gives the configuration in force.
	Configs caller.Configs
	// Inventory returns the last reading of the platform's list.
	Inventory    func() fleet.Inventory
	NewScheduler func() scheduler.Scheduler
	// Dial returns the client of a worker.
	Dial func(fleet.Worker) worker.Client
	// Domain is the domain of the jobs submitted here; empty is the region of this process.
	Domain fleet.RegionID
	// StoreRegressed reports that the store came back with an older configuration; no non-idempotent job starts.
	StoreRegressed func() bool
	Timing         worker.Timing
	// StableAfter is how long the view must name this process before it takes the domain.
	StableAfter time.Duration
	// PauseLimit is how long the owner may stand still before it drops everything and reads again.
	PauseLimit time.Duration
	// Retention is how long the record of an ended job is kept.
	Retention time.Duration
	Logger    hclog.Logger
	Metrics   metrics.Registry

	cache *recordCache
	// id is unique to this process; it starts the write ids.
	id     string
	idCounter atomic.Int64
	cancel context.CancelFunc
	ctx    context.Context
	// calls counts the requests and background sends in progress.
	calls sync.WaitGroup
	// running ends when Run has returned.
	running sync.WaitGroup

	mutex  sync.Mutex
	closed bool
	// owner is nil while this process does not own the domain.
	owner *owner
	// unwrittenEnds holds the unwrittenEnds of jobs whose records could not be written yet, own and told by peers.
	unwrittenEnds map[fleet.JobKey]*Record
}

// NewService returns a Service with the times of the design page. The fields without a default are to be set.
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
		unwrittenEnds:           make(map[fleet.JobKey]*Record),
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	service.cache = newRecordCache(hclog.NewNullLogger(), service.recordChanged)
	return service
}

// Run keeps the copies and owns the domain whenever the view says so, until ctx ends or Close is called.
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

// Close takes nothing new, gives the domain up after the gangs that are starting have started, and waits.
func (service *Service) Close() {
	service.mutex.Lock()
	service.closed = true
	owned := service.owner
	service.mutex.Unlock()
	if owned != nil {
		owned.drain()
	}
	service.cancel()
	service.running.Wait()
	service.calls.Wait()
}

// beginCall counts a request in progress; it reports false once the service is closing.
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

// recordChanged passes a change of a copy on to the owner.
func (service *Service) recordChanged(key fleet.JobKey, record *Record, revision platform.StoreRevision) {
	if record != nil && record.State == StateEnded {
		service.removeUnwrittenEnd(key)
	}
	if owned := service.currentOwner(); owned != nil {
		owned.post(func() { owned.recordChanged(key, record, revision) })
	}
}

// followOwnership takes the domain when the view has named this process for long enough, and drops it when it no longer does.
func (service *Service) followOwnership(ctx context.Context) error {
	var since time.Time
	for ctx.Err() == nil {
		if !service.isOwner() || !service.readyToOwn() {
			since = time.Time{}
		} else if since.IsZero() {
			since = time.Now()
		}
		if !since.IsZero() && time.Since(since) >= service.StableAfter {
			service.runTerm(ctx)
			since = time.Time{}
			continue
		}
		_ = lifecycle.Sleep(ctx, ownerCheckInterval)
	}
	return nil
}

// isOwner reports whether the view names this process as the owner.
func (service *Service) isOwner() bool {
	holder, ok := service.View.Owner(service.domain())
	return ok && holder.VM.ID == service.View.Self().VM.ID
}

// readyToOwn reports whether this process knows enough: all job records, a configuration and the workers.
func (service *Service) readyToOwn() bool {
	return service.cache.loaded() && service.Configs.Current() != nil && service.Inventory().Revision > 0
}

// runTerm runs one term as the owner.
func (service *Service) runTerm(ctx context.Context) {
	owned := newOwner(service)
	service.mutex.Lock()
	if service.closed {
		service.mutex.Unlock()
		return
	}
	service.owner = owned
	service.mutex.Unlock()
	service.count("takeovers", 1)
	service.Logger.Info("domain taken over", "domain", service.domain(), "owner", owned.termID)
	reason := owned.run(ctx)
	service.mutex.Lock()
	service.owner = nil
	service.mutex.Unlock()
	owned.close()
	service.Logger.Info("domain given up", "domain", service.domain(), "owner", owned.termID, "reason", reason)
}

// removeExpired removes the records of jobs that ended long ago, if this process is the owner.
func (service *Service) removeExpired(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = lifecycle.Sleep(ctx, retentionCheckInterval)
		if service.currentOwner() == nil {
			continue
		}
		removed := 0
		for _, held := range service.cache.all() {
			old := held.record.State == StateEnded && time.Since(held.record.Ended) > service.Retention
			if !old || held.record.Domain != service.domain() || removed >= maxRemovalsPerCheck || ctx.Err() != nil {
				continue
			}
			removed++
			if err := service.Store.Delete(ctx, recordKey(held.record.Key()), held.revision); err != nil {
				service.Logger.Debug("old record not removed", "job", held.record.Job, "organisation", held.record.Organisation, "error", err)
			}
		}
	}
	return nil
}

// currentOwner returns the owner of the domain if it is this process, else nil.
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
	owned := service.owner
	service.mutex.Unlock()
	dump := map[string]any{
		"domain":          service.domain(),
		"job_copies":      len(service.cache.all()),
		"unwritten_ends":  ends,
		"copies_complete": service.cache.loaded(),
		"owner":           nil,
	}
	if owned != nil {
		ctx, cancel := context.WithTimeout(service.ctx, dumpTimeout)
		defer cancel()
		if state, err := runOnLoop(ctx, owned, owned.dump); err == nil {
			dump["owner"] = state
		}
	}
	return dump
}
