package bench

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// urgentStartLimit is the maximum time from the request of a guaranteed shape by an urgent job until the job runs.
	// It includes the grace period for stopping preempted work.
	urgentStartLimit = 4700 * time.Millisecond
	// leaseExpiryLimit is the maximum time for which a task continues after its worker has stopped responding: the task
	// lease of 15 s and a margin of 1 s.
	leaseExpiryLimit = 16 * time.Second
	// reclaimLimit is the maximum time from the request of a guaranteed shape by any job until the job runs. It
	// includes leaseExpiryLimit because a preempted task may end only when its lease expires.
	reclaimLimit = urgentStartLimit + leaseExpiryLimit
)

// demand counts how many copies of one guaranteed shape the jobs of an organisation request, and how many run. If
// urgentOnly is true, only requests by urgent jobs count.
type demand struct {
	organisation fleet.OrganisationID
	guarantee    profile.Guarantee
	urgentOnly   bool
	limit        time.Duration
	// unmet has one entry for each requested copy that does not run, the oldest first.
	unmet []unmetShape
	// requested and running count the copies of the shape, as of the last change of the organisation's jobs.
	requested, running int
	// waits holds, for each requested copy that has run, the time from the request until it ran.
	waits []time.Duration
}

// unmetShape is one copy of a guaranteed shape that is requested and does not run.
type unmetShape struct {
	since time.Time
	// reported is true once a violation of the limit was recorded.
	reported bool
}

// guaranteeRecord checks that guaranteed shapes run within their time limits after they are requested.
type guaranteeRecord struct {
	record  *record
	demands []*demand
	// limitsStart is the time before which waiting does not count towards a limit. A fault moves it to the end of the
	// fault's effects, since the limits hold only for workers that respond.
	limitsStart time.Time
}

func newGuaranteeRecord(record *record) *guaranteeRecord {
	guarantees := &guaranteeRecord{record: record}
	guarantees.reset()
	return guarantees
}

// reset creates two demands for each guarantee of the current configuration: one for urgent jobs and one for all jobs.
func (guarantees *guaranteeRecord) reset() {
	guarantees.demands = nil
	for _, id := range sortedOrganisations(guarantees.record.config) {
		for _, guarantee := range guarantees.record.config.Organisations[id].Guarantees {
			guarantees.demands = append(guarantees.demands,
				&demand{organisation: id, guarantee: guarantee, urgentOnly: true, limit: urgentStartLimit},
				&demand{organisation: id, guarantee: guarantee, limit: reclaimLimit})
		}
	}
}

func sortedOrganisations(config *profile.Config) []fleet.OrganisationID {
	var ids []fleet.OrganisationID
	for id := range config.Organisations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// restartLimits makes all limits start again after a fault, once its effects, which last for at most the given
// duration, have ended.
func (guarantees *guaranteeRecord) restartLimits(duration time.Duration) {
	until := guarantees.record.now.Add(duration)
	if until.After(guarantees.limitsStart) {
		guarantees.limitsStart = until
	}
}

// check counts the requested and the running copies of all guaranteed shapes, and records a violation for each copy
// that has not run within its limit.
func (guarantees *guaranteeRecord) check() {
	changed := guarantees.record.changed
	for _, demand := range guarantees.demands {
		guarantees.checkDemand(demand, changed[demand.organisation])
	}
	clear(changed)
}

// checkDemand updates the list of requested copies that do not run, and records a violation for each of them that has
// exceeded the limit. It counts the organisation's jobs again only if changed is true.
func (guarantees *guaranteeRecord) checkDemand(demand *demand, changed bool) {
	now := guarantees.record.now
	requested, running := demand.requested, demand.running
	if changed {
		requested, running = guarantees.countShapes(demand)
	}
	for len(demand.unmet) < requested-running {
		demand.unmet = append(demand.unmet, unmetShape{since: now})
	}
	newlyRunning := running - demand.running
	demand.requested, demand.running = requested, running
	for len(demand.unmet) > max(0, requested-running) {
		if newlyRunning > 0 {
			demand.waits = append(demand.waits, guarantees.elapsed(demand.unmet[0]))
			guarantees.checkLimit(demand, &demand.unmet[0])
			newlyRunning--
		}
		demand.unmet = demand.unmet[1:]
	}
	for i := range demand.unmet {
		guarantees.checkLimit(demand, &demand.unmet[i])
	}
}

// checkLimit records a violation, once for each unmet shape, if the limit is exceeded and the demand is not exempt.
func (guarantees *guaranteeRecord) checkLimit(demand *demand, unmet *unmetShape) {
	elapsed := guarantees.elapsed(*unmet)
	if unmet.reported || elapsed <= demand.limit || guarantees.exempt(demand) {
		return
	}
	unmet.reported = true
	guarantees.record.addViolation(RuleGuarantee, "%s: %d x (%s), urgent %t, requested but not running for %s",
		demand.organisation, demand.guarantee.Count, demand.guarantee.Shape, demand.urgentOnly, elapsed)
}

// elapsed returns the time for which a copy of a shape has been requested without running, not counting the time before
// limitsStart.
func (guarantees *guaranteeRecord) elapsed(unmet unmetShape) time.Duration {
	since := unmet.since
	if guarantees.limitsStart.After(since) {
		since = guarantees.limitsStart
	}
	return max(0, guarantees.record.now.Sub(since))
}

// countShapes returns how many copies of the demand's shape are requested within the guarantee, and how many run. Other
// work of the organisation that the demand must not preempt reduces the guarantee: jobs of the same shape that are not
// requests of the demand, jobs of another guaranteed shape beyond that shape's guaranteed count, and jobs of shapes
// without a guarantee. Each member of such a job reduces the guarantee by one copy.
func (guarantees *guaranteeRecord) countShapes(demand *demand) (requested, running int) {
	occupied := 0
	others := map[fleet.Shape]int{}
	for _, state := range guarantees.record.byOrganisation[demand.organisation] {
		shape := *state.job.Profile.Shape
		if shape == demand.guarantee.Shape && !state.cancelled && (!demand.urgentOnly || isUrgent(state.job)) {
			requested++
			if state.phase == phaseRunning {
				running++
			}
			continue
		}
		preempted := demand.urgentOnly && state.job.Profile.Preemptible() && !isUrgent(state.job)
		if state.phase == phaseWaiting || preempted {
			continue
		}
		others[shape]++
		if shape == demand.guarantee.Shape || others[shape] > guarantees.guaranteedCount(demand.organisation, shape) {
			occupied += shape.Members
		}
	}
	return min(requested, max(0, demand.guarantee.Count-occupied)), running
}

// guaranteedCount returns how many copies of a shape an organisation is guaranteed.
func (guarantees *guaranteeRecord) guaranteedCount(id fleet.OrganisationID, shape fleet.Shape) int {
	count := 0
	for _, guarantee := range guarantees.record.config.Organisations[id].Guarantees {
		if guarantee.Shape == shape {
			count += guarantee.Count
		}
	}
	return count
}

// exempt reports whether the limit of a demand does not apply because workers were lost and the remaining ones have too
// little capacity for one copy of the shape. The capacity excludes work that the demand must not preempt:
// non-preemptible work, the organisation's own work, and other organisations' jobs of guaranteed shapes.
func (guarantees *guaranteeRecord) exempt(demand *demand) bool {
	if !slices.ContainsFunc(guarantees.record.order, func(worker *workerRecord) bool {
		return worker.lost || worker.terminated
	}) {
		return false
	}
	fixed := map[fleet.WorkerID]fleet.Accelerators{}
	for _, state := range guarantees.record.active {
		own := state.job.Key.Organisation == demand.organisation
		if state.job.Profile.Preemptible() && !own &&
			guarantees.guaranteedCount(state.job.Key.Organisation, *state.job.Profile.Shape) == 0 {
			continue
		}
		for _, member := range state.members {
			fixed[member.Worker] += member.Accelerators
		}
	}
	copies := guarantees.record.copies(demand.guarantee.Shape, func(worker *workerRecord) fleet.Accelerators {
		if worker.free() == 0 && worker.held == 0 || worker.lost || worker.quarantined {
			return 0
		}
		return worker.worker.Accelerators - worker.foreign - fixed[worker.worker.ID]
	})
	return copies == 0
}

// copies returns how many copies of a shape fit on the fleet at the same time if they may use, on each worker, as many
// accelerators as available returns. The result is exact because all copies have the same shape.
func (record *record) copies(shape fleet.Shape, available func(*workerRecord) fleet.Accelerators) int {
	members := map[string]int{}
	for _, worker := range record.order {
		if fit := int(available(worker) / shape.Accelerators); fit > 0 {
			members[worker.groups[shape.Adjacency]] += fit
		}
	}
	total := 0
	for _, fit := range members {
		total += fit / shape.Members
	}
	return total
}

// urgentWaits returns, for each copy of a guaranteed shape that an urgent job requested and that has run, the time from
// the request until it ran.
func (guarantees *guaranteeRecord) urgentWaits() []time.Duration {
	var waits []time.Duration
	for _, demand := range guarantees.demands {
		if demand.urgentOnly {
			waits = append(waits, demand.waits...)
		}
	}
	return waits
}
