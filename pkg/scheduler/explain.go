package scheduler

import (
	"fmt"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Explain describes in a few lines why a job waits or on how many workers it runs.
func (core *Core) Explain(key fleet.JobKey) []string {
	job, ok := core.jobs[key]
	if !ok {
		return []string{fmt.Sprintf("job %s is not known to this domain", key)}
	}
	switch job.phase {
	case phaseRunning, phasePlacing:
		return core.explainActive(job)
	case phaseClaiming:
		return core.explainClaim(job)
	default:
		return core.explainWaiting(job)
	}
}

func (core *Core) explainActive(job *jobState) []string {
	state := "runs"
	if job.phase == phasePlacing {
		state = "is being started"
	}
	lines := []string{fmt.Sprintf("attempt %d %s on %d workers: %s", job.attempt, state, len(job.holdings), job.reason)}
	if len(job.holdings) > 0 && core.isEvacuated(job.holdings[0].worker.DataCentre) {
		lines = append(lines, fmt.Sprintf("data centre %s is evacuated: %s",
			job.holdings[0].worker.DataCentre, core.evacuationReason(core.budgetUpdated, job)))
	}
	switch {
	case job.cancelled:
		lines = append(lines, "it was cancelled and waits for its members to confirm the stop")
	case job.eviction == evictionCheckpoint:
		lines = append(lines, "it was asked to checkpoint, so that its accelerators become free")
	case job.eviction != evictionNone:
		lines = append(lines, "it is being stopped, so that its accelerators become free")
	}
	return lines
}

func (core *Core) explainClaim(job *jobState) []string {
	lines := []string{fmt.Sprintf("waits for evicted work to end: %s", job.reason)}
	for _, victim := range core.evicting {
		for _, holding := range job.holdings {
			if holding.worker.membersOf(victim) > 0 {
				lines = append(lines,
					fmt.Sprintf("worker %s: job %s is being evicted", holding.worker.ID, victim.spec.Key))
			}
		}
	}
	return lines
}

func (core *Core) explainWaiting(job *jobState) []string {
	owner := job.organisation
	lines := []string{fmt.Sprintf("waits for %s", job.shape())}
	evacuations := core.explainEvacuations(job)
	if len(evacuations) > 0 {
		// The first line is also the reason in the status that callers read.
		lines[0] += ": " + evacuations[0]
		lines = append(lines, evacuations[1:]...)
	}
	switch {
	case core.config == nil:
		return append(lines, "no configuration has been received yet")
	case !core.fleetKnown:
		return append(lines, "the list of workers has not been received yet")
	case !owner.fitsQuota(job.total):
		return append(lines, fmt.Sprintf(
			"it waits for the quota: it needs %d accelerators, and its organisation uses %d of %d",
			job.total, owner.held, owner.config.Quota))
	}
	if ahead := core.jobsAhead(job); ahead > 0 {
		lines = append(lines, fmt.Sprintf("jobs of its organisation ahead of it: %d", ahead))
	}
	free, open := int64(0), int64(0)
	for _, zone := range core.zones {
		free += zone.totals[viewFree]
		open += zone.totals[viewOpen]
	}
	switch {
	case job.preemptible:
		lines = append(lines, fmt.Sprintf("%d accelerators are free; it needs %s", free, job.spec.Profile.Shape))
	default:
		lines = append(lines, fmt.Sprintf("%d accelerators are free, %d of them outside cells; "+
			"the job cannot be preempted, so it may not use others' cells", free, open))
	}
	lines = append(lines, fmt.Sprintf("its organisation has %d accelerators guaranteed and uses %d",
		owner.guaranteed, owner.held))
	if job.reservation != nil {
		lines = append(lines, fmt.Sprintf(
			"%d workers are reserved for it; only work that can be preempted starts there", len(job.reservation)))
	}
	if len(job.failedOn) > 0 {
		lines = append(lines, fmt.Sprintf("it failed on workers %v and avoids them", job.failedOn))
	}
	return lines
}

// jobsAhead counts the waiting jobs of the organisation that go before a job.
func (core *Core) jobsAhead(job *jobState) int {
	count := 0
	for _, group := range job.organisation.queue.ordered {
		if group.jobs.Len() == 0 {
			continue
		}
		if group != job.group {
			if groupBefore(group, job.group) {
				count += group.jobs.Len()
			}
			continue
		}
		for _, other := range group.jobs {
			if submittedBefore(other, job) {
				count++
			}
		}
	}
	return count
}

// ExplainOrganisation describes how many accelerators of an organisation's guarantees are in use, lent to others or
// free, and which guarantees are not bound to accelerators.
func (core *Core) ExplainOrganisation(id fleet.OrganisationID) []string {
	owner, ok := core.organisationsByID[id]
	if !ok || owner.config == nil {
		return []string{fmt.Sprintf("organisation %s is not configured", id)}
	}
	var cells, used, lent, free int64
	for _, machine := range owner.cellWorkers {
		share := machine.share(owner.index)
		unused := machine.unusedCells(owner.index)
		idle := unused.atMost(machine.free.positive())
		cells += share.cell[0]
		used += min(share.used[0], share.cell[0])
		free += idle[0]
		lent += unused[0] - idle[0]
	}
	lines := []string{
		fmt.Sprintf("%d accelerators are guaranteed, %d of them are bound to cells", owner.guaranteed, cells),
		fmt.Sprintf("in cells: %d in use by the organisation, %d lent to others, %d free", used, lent, free),
		fmt.Sprintf("in use in all: %d; waiting jobs: %d", owner.held, owner.queue.waiting),
	}
	for _, zone := range core.evacuatedZones() {
		lines = append(lines, fmt.Sprintf("data centre %s is evacuated, so that no guarantee is bound there", zone.id))
	}
	for _, shortfall := range core.shortfalls() {
		if shortfall.Organisation == id {
			lines = append(lines,
				fmt.Sprintf("shortfall: %d of %s do not fit on the fleet", shortfall.Count, shortfall.Shape))
		}
	}
	return lines
}

// history holds the latest placements, evictions and refusals, with their reasons.
type history struct {
	placements ring[PlacementRecord]
	evictions  ring[EvictionRecord]
	refusals   ring[RefusalRecord]
}

// PlacementRecord is a placement in a dump.
type PlacementRecord struct {
	At      time.Time     `json:"at"`
	Key     fleet.JobKey  `json:"job"`
	Attempt fleet.Attempt `json:"attempt"`
	Members []Member      `json:"members"`
	Reason  string        `json:"reason"`
}

// EvictionRecord is an eviction in a dump.
type EvictionRecord struct {
	At      time.Time     `json:"at"`
	Key     fleet.JobKey  `json:"job"`
	Attempt fleet.Attempt `json:"attempt"`
	Reason  string        `json:"reason"`
}

// RefusalRecord is, in a dump, a job that ended without having run.
type RefusalRecord struct {
	Key    fleet.JobKey `json:"job"`
	Reason string       `json:"reason"`
}

func newHistory(size int) history {
	return history{ring[PlacementRecord]{size: size}, ring[EvictionRecord]{size: size}, ring[RefusalRecord]{size: size}}
}

func (history *history) placed(job *jobState, now time.Time, reason string) {
	job.reason = reason
	members := job.members()
	if len(members) > dumpMembers {
		members = members[:dumpMembers]
	}
	history.placements.add(PlacementRecord{now, job.spec.Key, job.attempt, members, reason})
}

func (history *history) evicted(job *jobState, now time.Time, reason string) {
	history.evictions.add(EvictionRecord{now, job.spec.Key, job.attempt, reason})
}

func (history *history) refused(key fleet.JobKey, reason string) {
	history.refusals.add(RefusalRecord{key, reason})
}

// ring holds the values added last, at most size of them.
type ring[T any] struct {
	size   int
	next   int
	values []T
}

func (ring *ring[T]) add(value T) {
	if len(ring.values) < ring.size {
		ring.values = append(ring.values, value)
		return
	}
	ring.values[ring.next] = value
	ring.next = (ring.next + 1) % ring.size
}

// list returns the values, oldest first.
func (ring *ring[T]) list() []T {
	listed := make([]T, 0, len(ring.values))
	listed = append(listed, ring.values[ring.next:]...)
	return append(listed, ring.values[:ring.next]...)
}
