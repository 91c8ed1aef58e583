package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Core is the pure scheduler of one domain. It implements Scheduler and is not safe for concurrent use.
type Core struct {
	settings Settings
	config   *profile.Config
	// fleetKnown is set once the workers of the domain are known.
	fleetKnown bool

	workers       map[fleet.WorkerID]*worker
	present       int
	zones         []*zone
	zoneOf        map[fleet.DataCentreID]*zone
	byID          map[fleet.OrganisationID]*organisation
	organisations []*organisation
	jobs          map[fleet.JobKey]*entry
	waiting       int

	cells   []*cell
	unbound []*cell
	// bindVersion changes whenever a cell that found no place may find one.
	bindVersion, bindTried uint64
	// cellsMoved is set when lists that follow from the cells are out of date.
	cellsMoved bool
	packRounds int
	// repack is set when a repacking of all cells may reduce the shortfall.
	repack bool

	claims []*entry
	// reservations holds the waiting jobs with a reservation.
	reservations []*entry
	evicting     []*entry
	limits       limitHeap
	// recheck is set when waiting jobs may have become infeasible.
	recheck bool
	// feasible holds answers that stay true until recheck is set.
	feasible map[feasibility]bool
	// pristine holds a new packing of the fleet; nil until it is needed.
	pristine    *Core
	quarantined int
	// exhausted holds the searches that found nothing, with the version at that time.
	exhausted map[searchKey]uint64
	// version changes whenever capacity may have become free.
	version uint64
	steps   uint64
	// budget is the accelerator-seconds that moving work may still lose; earned is when it last grew.
	budget float64
	// fairBudget is the same for moving work of organisations with more attained service.
	fairBudget     float64
	earned         time.Time
	compacted      time.Time
	nextCompaction time.Time
	// decided collects the decisions until Decide returns them.
	decided []Decision
	history history
}

var _ Scheduler = (*Core)(nil)

// NewCore returns a scheduler without workers, configuration or jobs.
func NewCore(settings Settings) *Core {
	settings = settings.withDefaults()
	return &Core{
		settings:   settings,
		packRounds: packRounds,
		workers:    map[fleet.WorkerID]*worker{},
		zoneOf:     map[fleet.DataCentreID]*zone{},
		byID:       map[fleet.OrganisationID]*organisation{},
		jobs:       map[fleet.JobKey]*entry{},
		feasible:   map[feasibility]bool{},
		exhausted:  map[searchKey]uint64{},
		history:    newHistory(settings.History),
	}
}

// Steps counts elementary steps of searches and updates. It measures cost independently of the machine.
func (core *Core) Steps() uint64 { return core.steps }

// freed notes that jobs that found no place may find one.
func (core *Core) freed() {
	core.version++
	core.bindVersion++
}

// decide adds a decision.
func (core *Core) decide(decision Decision) { core.decided = append(core.decided, decision) }

// Apply takes one event into the state. Events that contradict the state are ignored.
func (core *Core) Apply(now time.Time, event Event) {
	switch event := event.(type) {
	case FleetChanged:
		core.fleetChanged(event.Workers)
	case ConfigChanged:
		core.configChanged(event.Config)
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

// Decide returns what is to be done now and assumes in its state that it is being done.
func (core *Core) Decide(now time.Time) []Decision {
	core.earn(now)
	core.readmit(now)
	core.bindCells(now)
	core.endOverruns(now)
	core.escalate(now)
	core.checkFeasibility()
	core.settleClaims(now)
	core.reviewReservations()
	if core.ready() {
		core.schedule(now)
	}
	decided := core.decided
	core.decided = nil
	return decided
}

// ready reports whether the core knows enough to place jobs.
func (core *Core) ready() bool { return core.config != nil && core.fleetKnown }

// NextWake returns when Decide has something to do without a further event; zero is never.
func (core *Core) NextWake() time.Time {
	var wake time.Time
	earliest := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, job := range core.evicting {
		if at, ok := core.escalation(job); ok {
			earliest(at)
		}
	}
	if core.limits.Len() > 0 {
		earliest(core.limits[0].at)
	}
	if core.waiting > 0 && !core.nextCompaction.IsZero() {
		earliest(core.nextCompaction)
	}
	if core.quarantined > 0 {
		earliest(core.nextReadmission())
	}
	return wake
}
