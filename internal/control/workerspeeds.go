package control

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/workerspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// unitRuns is what the runs of one unit that start together have in common.
type unitRuns struct {
	// workers are the distinct workers of the runs.
	workers []fleet.WorkerID
	// unconfirmed is the number of the runs whose start the worker has not confirmed, and startedAt the time of the last
	// confirmation.
	unconfirmed int
	startedAt   time.Duration
	// resumed is set if the runs resumed from a checkpoint, so that their whole run time says nothing.
	resumed bool
	// factor is the time factor of the slowest worker as it was known at the start; 0 if placement does not depend on it.
	factor workerspeed.Factor
	// partSeen and wholeSeen are set once a part of the work, and all of it, was learnt from.
	partSeen, wholeSeen bool
}

// expected returns how long a declared run time is expected to last on the workers of the unit.
func (unit *unitRuns) expected(declared time.Duration) time.Duration {
	if unit == nil || unit.factor == 0 {
		return declared
	}
	return time.Duration(float64(unit.factor) * float64(declared))
}

// confirm records that the start of one of the runs was confirmed.
func (unit *unitRuns) confirm(now time.Duration) {
	if unit != nil {
		unit.unconfirmed--
		unit.startedAt = now
	}
}

const (
	// minPart is the part of its work that a run must have done while it was watched, so that the whole percents in which
	// workers report progress give its speed to a few percent.
	minPart = 0.15
	// partWeight is the weight of an observation of a part of a run. The whole run follows, and counts 1.
	partWeight = 0.5
	// minWholeRun is the run time from which on the delays of its start and its end are small beside it.
	minWholeRun = 400 * time.Millisecond
)

// comparable reports whether the speed of the run says something of its worker.
func (run *run) comparableSpeed() bool {
	step := run.step()
	return run.unit != nil && step.Estimate > 0 && !step.LongRunning && !step.BestEffortCPU && !run.crossRack &&
		!run.stopping
}

// learnFromProgress learns from the progress of a run, once for each unit.
func (loop *dispatcher) learnFromProgress(run *run, worker *worker) {
	if !run.comparableSpeed() || run.unit.partSeen || run.verdict != steady || worker.health.Unreliable() {
		return
	}
	first, last := run.speeds.Moving(), run.speeds.Last()
	part, span := last.Done-first.Done, last.At-first.At
	if part < minPart || span < speedWindow {
		return
	}
	run.unit.partSeen = true
	loop.learnSpeed(run, span.Seconds()/part, partWeight)
}

// learnFromEnd learns from a run that was done, once for each unit.
func (loop *dispatcher) learnFromEnd(run *run, worker *worker) {
	if worker == nil || !run.comparableSpeed() || run.unit.wholeSeen || run.unit.resumed || run.unit.unconfirmed > 0 {
		return
	}
	run.unit.wholeSeen = true
	ran := loop.clock() - run.unit.startedAt
	if ran < minWholeRun || worker.health.Unreliable() || worker.unresponsive {
		return
	}
	loop.learnSpeed(run, ran.Seconds(), 1)
}

// learnSpeed learns from a unit that takes the given time for all of its work.
func (loop *dispatcher) learnSpeed(run *run, seconds, weight float64) {
	loop.speeds.Observe(workerspeed.Observation{
		Step: run.task.StepID(), Workers: run.unit.workers, Weight: weight,
		Factor: workerspeed.Factor(seconds / run.step().Estimate.Seconds()),
	}, loop.clock())
}

const (
	// unevenShare is the fraction of the workers with a known factor that must be too slow for an urgent profile for
	// placement to begin to depend on speed, and unevenAgain the one below which it ceases to. Single workers may be taken
	// for slow by mistake. fewSlow is the least number of workers that are too slow.
	unevenShare = 0.1
	unevenAgain = 0.05
	fewSlow     = 4
	// factorInterval is the interval at which the time factors of all workers are computed again.
	factorInterval = 500 * time.Millisecond
)

// serviceSpeeds are the time factors of the workers of one service, as far as they are known.
type serviceSpeeds struct{ known []workerspeed.Factor }

// refreshFactors computes the time factors of all workers, and in which services placement depends on them.
func (loop *dispatcher) refreshFactors() {
	now := loop.clock()
	if loop.speeds.Version() == 0 || now < loop.nextFactors {
		return
	}
	loop.nextFactors = now + factorInterval
	services := map[fleet.ServiceName]*serviceSpeeds{}
	for id, worker := range loop.workers {
		service := services[worker.entry.Service]
		if service == nil {
			service = &serviceSpeeds{}
			services[worker.entry.Service] = service
		}
		factor, known := loop.speeds.Factor(id, now)
		if worker.factor, worker.factorKnown = factor, known; known {
			service.known = append(service.known, factor)
		}
	}
	limits := map[fleet.ServiceName]workerspeed.Factor{}
	for name, service := range services {
		limits[name] = loop.slowLimit(name, service.known)
		first, _ := slices.BinarySearch(service.known, limits[name])
		slow, share := len(service.known)-first, unevenShare
		if loop.uneven[name] {
			share = unevenAgain
		}
		loop.noteUneven(name, slow >= fewSlow && float64(slow) >= share*float64(len(service.known)), slow)
	}
	for _, worker := range loop.workers {
		worker.tooSlow = loop.uneven[worker.entry.Service] && worker.factor >= limits[worker.entry.Service]
	}
}

// slowLimit returns the factor from which on urgent work of a service misses its objective even if it starts at once,
// although it meets it on most workers. It sorts the known factors.
func (loop *dispatcher) slowLimit(service fleet.ServiceName, known []workerspeed.Factor) workerspeed.Factor {
	catalog := loop.Catalog()
	if catalog == nil || len(known) == 0 {
		return workerspeed.Factor(math.Inf(1))
	}
	stretch, ok := catalog.LeastStretch(service)
	if !ok {
		return workerspeed.Factor(math.Inf(1))
	}
	slices.Sort(known)
	return max(workerspeed.Factor(stretch), known[len(known)/2]*workerspeed.MinDifference)
}

// noteUneven logs when the placement in a service begins or ceases to depend on the speed of workers.
func (loop *dispatcher) noteUneven(service fleet.ServiceName, uneven bool, slow int) {
	if loop.uneven[service] == uneven {
		return
	}
	loop.uneven[service] = uneven
	metrics.Count(loop.Metrics, "uneven_service_changes")
	loop.Logger.Info("workers of uneven speed", "service", string(service), "placement_by_speed", uneven, "slow", slow)
}

// slowestFactor returns the highest time factor of the workers, or 0 if placement in their service does not depend on it.
func (loop *dispatcher) slowestFactor(service fleet.ServiceName, places []fleet.WorkerID) workerspeed.Factor {
	slowest := workerspeed.Factor(0)
	if !loop.uneven[service] {
		return slowest
	}
	for _, id := range places {
		slowest = max(slowest, loop.workers[id].factor)
	}
	return slowest
}

// speedNeed returns what the objective of a candidate's job asks of the speed of workers.
func (candidate candidate) speedNeed(now time.Time) workerspeed.Need {
	policy := candidate.job.policy
	return workerspeed.NeedOf(policy.Objective(candidate.job.criticalPath), now.Sub(candidate.waitingSince),
		candidate.remaining, policy.Priority == workload.Urgent)
}

// demandOf returns the demand of a candidate.
func (planner *planner) demandOf(pool *servicePool, candidate candidate) placement.Demand {
	wanted := placement.DemandOf(candidate.step(), len(candidate.unit.Tasks))
	wanted.Restricted = candidate.advised()
	wanted.PreferProven = candidate.failures() > 0 || candidate.suspected()
	if pool.uneven && !candidate.step().LongRunning {
		wanted.BySpeed, wanted.Speed = true, candidate.speedNeed(time.Now())
	}
	return wanted
}

const (
	// speedStoreInterval is the shortest time between two writes of what was learnt, and speedStoreRate the number of bytes
	// a second that they may take.
	speedStoreInterval = 5 * time.Second
	speedStoreRate     = 3000
)

// storeSpeeds stores what was learnt of the workers of uneven services, for the next controller.
func (loop *dispatcher) storeSpeeds() {
	if !loop.anyUneven() || loop.speeds.Version() == loop.storedSpeeds.version ||
		loop.clock() < loop.storedSpeeds.next {
		return
	}
	encoded := loop.speeds.Encode(loop.clock())
	interval := max(speedStoreInterval, time.Duration(len(encoded))*time.Second/speedStoreRate)
	loop.storedSpeeds.version, loop.storedSpeeds.next = loop.speeds.Version(), loop.clock()+interval
	txn := keyvalue.Txn{
		Conditions: []keyvalue.Condition{loop.term.Condition()},
		Writes:     []keyvalue.Write{{Key: ledger.SpeedsKey, Value: encoded}},
	}
	loop.group.Go(func() error {
		ctx, cancel := context.WithTimeout(loop.ctx, commitTimeout)
		defer cancel()
		if _, err := loop.Store.Commit(ctx, txn); err != nil {
			loop.Logger.Info("speeds of workers not stored", "error", err.Error())
		}
		return nil
	})
}

func (loop *dispatcher) anyUneven() bool {
	for _, uneven := range loop.uneven {
		if uneven {
			return true
		}
	}
	return false
}

// loadSpeeds reads what former controllers have learnt. Plans do not wait for it, and go on without if it cannot be read.
func (loop *dispatcher) loadSpeeds() {
	loop.group.Go(func() error {
		ctx, cancel := context.WithTimeout(loop.ctx, commitTimeout)
		defer cancel()
		item, err := loop.Store.Get(ctx, ledger.SpeedsKey)
		if errors.Is(err, keyvalue.ErrNotFound) {
			return nil
		}
		if err != nil {
			loop.Logger.Info("speeds of workers not read", "error", err.Error())
			return nil
		}
		loop.post(func(loop *dispatcher) { loop.adoptSpeeds(item.Value) })
		return nil
	})
}

// adoptSpeeds takes over what a former controller has stored, unless this one has learnt something already.
func (loop *dispatcher) adoptSpeeds(encoded []byte) {
	known, err := workerspeed.Decode(encoded, loop.clock())
	if err != nil {
		loop.Logger.Warn("stored speeds of workers ignored", "key", ledger.SpeedsKey, "error", err.Error())
		return
	}
	if loop.speeds.Version() == 0 {
		loop.speeds = known
		loop.planNeeded = true
	}
}

// storedSpeeds tells which version of the speeds was stored last, and when the next one may be.
type storedSpeeds struct {
	version int64
	next    time.Duration
}
