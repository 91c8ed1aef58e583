package domain

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

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
	// evicted holds the gangs that have stopped since countReclaims last counted them.
	evicted []evictedGang
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

// close ends the term. No more commands are sent, and the leases on the workers are left as they are.
func (owner *owner) close() {
	owner.stop()
	owner.manager.Close()
	owner.group.Wait()
}
