package bench

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// urgentBound is the start of urgent work inside a guarantee, including the stop grace period.
	urgentStartBound = 4700 * time.Millisecond
	// leaseBound ends a task whose worker does not respond: task lease 15 s and 1 s margin.
	leaseExpiryBound = 16 * time.Second
	// reclaimBound is for work that is not urgent: one victim may end only by its lease.
	reclaimBound = urgentStartBound + leaseExpiryBound
)

// demand follows one guaranteed shape of one organisation, for urgent work or for all work.
type demand struct {
	organisation fleet.OrganisationID
	guarantee    profile.Guarantee
	urgentOnly   bool
	bound        time.Duration
	// missing has one entry for each shape that is asked for and does not run, the oldest first.
	unmet []unmetShape
	// asked and running are the numbers at the last change of the organisation's jobs.
	requested, running int
	// waits holds how long each satisfied shape took.
	waits []time.Duration
}

// missingShape is a guaranteed shape that is asked for and does not run.
type unmetShape struct {
	since    time.Time
	reported bool
}

// guaranteeRecord checks that guaranteed shapes run within their bounds and can always be reclaimed.
type guaranteeRecord struct {
	record  *record
	demands []*demand
	// notBefore is the earliest start of a bound; faults move it, since bounds hold for workers that respond.
	boundsStart time.Time
}

func newGuaranteeRecord(record *record) *guaranteeRecord {
	guarantees := &guaranteeRecord{record: record}
	guarantees.reset()
	return guarantees
}

// reset follows the guarantees of the configuration in force.
func (guarantees *guaranteeRecord) reset() {
	guarantees.demands = nil
	for _, id := range sortedOrganisations(guarantees.record.config) {
		for _, guarantee := range guarantees.record.config.Organisations[id].Guarantees {
			guarantees.demands = append(guarantees.demands,
				&demand{organisation: id, guarantee: guarantee, urgentOnly: true, bound: urgentStartBound},
				&demand{organisation: id, guarantee: guarantee, bound: reclaimBound})
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

// disturb restarts all bounds after a fault whose effects may last for the given time.
func (guarantees *guaranteeRecord) restartBounds(duration time.Duration) {
	until := guarantees.record.now.Add(duration)
	if until.After(guarantees.boundsStart) {
		guarantees.boundsStart = until
	}
}

// check compares what is asked for with what runs, now.
func (guarantees *guaranteeRecord) check() {
	changed := guarantees.record.changed
	for _, demand := range guarantees.demands {
		guarantees.checkDemand(demand, changed[demand.organisation])
	}
	clear(changed)
}

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
			guarantees.checkBound(demand, &demand.unmet[0])
			newlyRunning--
		}
		demand.unmet = demand.unmet[1:]
	}
	for i := range demand.unmet {
		guarantees.checkBound(demand, &demand.unmet[i])
	}
}

func (guarantees *guaranteeRecord) checkBound(demand *demand, unmet *unmetShape) {
	elapsed := guarantees.elapsed(*unmet)
	if unmet.reported || elapsed <= demand.bound || guarantees.excused(demand) {
		return
	}
	unmet.reported = true
	guarantees.record.addViolation(RuleGuarantee, "%s: %d x (%s), urgent %t, asked for since %s", demand.organisation,
		demand.guarantee.Count, demand.guarantee.Shape, demand.urgentOnly, elapsed)
}

// elapsed returns how long a shape has been missing, not counting the time that faults excuse.
func (guarantees *guaranteeRecord) elapsed(unmet unmetShape) time.Duration {
	since := unmet.since
	if guarantees.boundsStart.After(since) {
		since = guarantees.boundsStart
	}
	return max(0, guarantees.record.now.Sub(since))
}

// count returns how many guaranteed shapes are asked for and how many run. The organisation's own work that the
// demand must not displace takes away from the guarantee: a job of another guaranteed shape beyond the count of
// that shape, and a job of any other shape, as if each member occupied one shape.
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
		displaced := demand.urgentOnly && state.job.Profile.Preemptible() && !isUrgent(state.job)
		if state.phase == phaseWaiting || displaced {
			continue
		}
		others[shape]++
		if shape == demand.guarantee.Shape || others[shape] > guarantees.guaranteedCount(demand.organisation, shape) {
			occupied += shape.Members
		}
	}
	return min(requested, max(0, demand.guarantee.Count-occupied)), running
}

// promised returns how many copies of a shape an organisation is guaranteed.
func (guarantees *guaranteeRecord) guaranteedCount(id fleet.OrganisationID, shape fleet.Shape) int {
	count := 0
	for _, guarantee := range guarantees.record.config.Organisations[id].Guarantees {
		if guarantee.Shape == shape {
			count += guarantee.Count
		}
	}
	return count
}

// excused reports whether lost workers leave no room for the shape beside what must not be taken.
func (guarantees *guaranteeRecord) excused(demand *demand) bool {
	if !slices.ContainsFunc(guarantees.record.order, func(worker *workerRecord) bool { return worker.lost || worker.terminated }) {
		return false
	}
	fixed := map[fleet.WorkerID]fleet.Accelerators{}
	for _, state := range guarantees.record.active {
		own := state.job.Key.Organisation == demand.organisation
		if state.job.Profile.Preemptible() && !own && guarantees.guaranteedCount(state.job.Key.Organisation, *state.job.Profile.Shape) == 0 {
			continue
		}
		for _, member := range state.members {
			fixed[member.Worker] += member.Accelerators
		}
	}
	room := guarantees.record.copies(demand.guarantee.Shape, func(worker *workerRecord) fleet.Accelerators {
		if worker.free() == 0 && worker.held == 0 || worker.lost || worker.quarantined {
			return 0
		}
		return worker.worker.Accelerators - worker.foreign - fixed[worker.worker.ID]
	})
	return room == 0
}

// copies returns how many copies of a shape fit, if each worker has the given accelerators available. It is exact
// for copies of one shape.
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

// urgentWaits returns how long urgent work inside guarantees took to start.
func (guarantees *guaranteeRecord) urgentWaits() []time.Duration {
	var waits []time.Duration
	for _, demand := range guarantees.demands {
		if demand.urgentOnly {
			waits = append(waits, demand.waits...)
		}
	}
	return waits
}
