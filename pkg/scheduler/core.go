package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Core is the Scheduler of one domain. It is a pure state machine and not safe for concurrent use.
type Core struct {
	settings Settings
	config   *profile.Config
	// fleetKnown is set once a FleetChanged event has listed the workers of the domain.
	fleetKnown bool

	workers           map[fleet.WorkerID]*worker
	presentWorkers    int
	zones             []*zone
	zonesByID         map[fleet.DataCentreID]*zone
	organisationsByID map[fleet.OrganisationID]*organisation
	organisations     []*organisation
	jobs              map[fleet.JobKey]*jobState
	waitingJobs       int

	cells   []*cell
	unbound []*cell
	// bindVersion changes whenever an unbound cell may have become bindable. bindVersionTried is the bindVersion of the
	// last attempt to bind the unbound cells.
	bindVersion, bindVersionTried uint64
	// cellsChanged is set when a cell was bound or unbound, until bindCells updates what is derived from the bound
	// cells.
	cellsChanged bool
	// packRounds limits the number of cell orders that repackCells tries in a row without an improvement.
	packRounds int
	// repack is set when repackCells may reduce the number of unbound cells.
	repack bool

	// claims holds the jobs that have claimed accelerators and wait for the evicted gangs on them to end.
	claims []*jobState
	// reservations holds the waiting jobs for which workers are reserved.
	reservations  []*jobState
	evicting      []*jobState
	runTimeLimits runTimeLimitHeap
	// recheckFeasibility is set when a change of the fleet or the configuration may have made waiting jobs infeasible.
	recheckFeasibility bool
	// feasibilityCache holds results of couldEverFit. Results for jobs that cannot be preempted are dropped when the
	// bound cells change; all results are dropped when recheckFeasibility is handled.
	feasibilityCache map[feasibilityQuery]bool
	// freshPacking is a core without jobs, whose cells were all packed anew on the current fleet. It is created when it
	// is first needed; nil before.
	freshPacking       *Core
	quarantinedWorkers int
	// failedSearches holds the searches that found no place, with the capacityVersion at which each one failed.
	failedSearches map[searchKey]uint64
	// capacityVersion changes whenever accelerators may have become free for waiting jobs.
	capacityVersion uint64
	steps           uint64
	// lossBudget is how many accelerator-seconds of work may still be lost by evicting gangs in favour of waiting jobs.
	// Reclaims of guarantees do not count against it.
	lossBudget float64
	// fairLossBudget is the separate budget for evicting gangs of organisations that have much more attained service
	// than the organisation of the waiting job.
	fairLossBudget float64
	// budgetUpdated is when the loss budgets last grew.
	budgetUpdated  time.Time
	lastCompaction time.Time
	nextCompaction time.Time
	evacuation     evacuationState
	consolidation  consolidation
	// decisions collects what the next call of Decide returns.
	decisions []Decision
	history   history
}

var _ Scheduler = (*Core)(nil)

// NewCore returns a scheduler without workers, configuration or jobs.
func NewCore(settings Settings) *Core {
	settings = settings.withDefaults()
	return &Core{
		settings:          settings,
		packRounds:        packRounds,
		workers:           map[fleet.WorkerID]*worker{},
		zonesByID:         map[fleet.DataCentreID]*zone{},
		organisationsByID: map[fleet.OrganisationID]*organisation{},
		jobs:              map[fleet.JobKey]*jobState{},
		feasibilityCache:  map[feasibilityQuery]bool{},
		failedSearches:    map[searchKey]uint64{},
		history:           newHistory(settings.History),
	}
}

// Steps returns the number of elementary steps of searches and updates so far. It measures cost independently of the
// machine.
func (core *Core) Steps() uint64 { return core.steps }

// capacityFreed records that waiting jobs and unbound cells for which no place was found may find one now.
func (core *Core) capacityFreed() {
	core.capacityVersion++
	core.bindVersion++
}

// addDecision adds a decision to those that Decide returns next.
func (core *Core) addDecision(decision Decision) { core.decisions = append(core.decisions, decision) }

// Apply updates the state by one event. It ignores events that contradict the state.
func (core *Core) Apply(now time.Time, event Event) {
	switch event := event.(type) {
	case FleetChanged:
		core.fleetChanged(event.Workers)
	case ConfigChanged:
		core.configChanged(now, event.Config)
	case JobSubmitted:
		core.jobSubmitted(now, event.Job)
	case JobCancelled:
		core.jobCancelled(now, event.Key)
	case GangStarted:
		core.gangStarted(now, event)
	case GangRecovered:
		core.gangRecovered(now, event)
	case PlaceFailed:
		core.placeFailed(now, event)
	case GangEnded:
		core.gangEnded(now, event)
	case UsageReported:
		core.usageReported(event)
	case WorkerLost:
		core.workerLost(event.Worker)
	case WorkerFound:
		core.workerFound(event)
	}
}

// Decide returns the actions that are due now. Afterwards the core's state assumes that all returned actions are being
// carried out.
func (core *Core) Decide(now time.Time) []Decision {
	core.accrueLossBudgets(now)
	core.readmit(now)
	core.returnWorkers(now)
	core.bindCells(now)
	core.stopOverruns(now)
	core.escalate(now)
	core.endInfeasibleJobs()
	core.settleClaims(now)
	core.dropUnusableReservations()
	if core.ready() {
		core.startMoved(now)
		core.schedule(now)
		core.moveEvacuated(now)
		core.consolidate(now)
	}
	decided := core.decisions
	core.decisions = nil
	return decided
}

// ready reports whether the core has received the configuration and the list of workers, without which it places no
// jobs.
func (core *Core) ready() bool { return core.config != nil && core.fleetKnown }

// NextWake returns the time at which Decide is due even without a further event; zero means never.
func (core *Core) NextWake() time.Time {
	var wake time.Time
	earliest := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, job := range core.evicting {
		if at, ok := core.nextEvictionStep(job); ok {
			earliest(at)
		}
	}
	if core.runTimeLimits.Len() > 0 {
		earliest(core.runTimeLimits[0].at)
	}
	if core.waitingJobs > 0 && !core.nextCompaction.IsZero() {
		earliest(core.nextCompaction)
	}
	if core.quarantinedWorkers > 0 {
		earliest(core.nextReadmission())
	}
	if at := core.evacuation.nextWake(); !at.IsZero() {
		earliest(at)
	}
	if at := core.consolidation.next; !at.IsZero() {
		earliest(at)
	}
	return wake
}
