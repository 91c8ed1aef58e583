package scheduler

import "time"

// schedule places waiting jobs: first within guarantees, then on any free accelerators, and then by evicting
// preemptible gangs, which run on other workers or later.
func (core *Core) schedule(now time.Time) {
	if core.waitingJobs == 0 {
		return
	}
	core.prioritise(now)
	core.pass(now, core.tryGuarantee, passGuarantee)
	core.pass(now, core.tryFree, passFree)
	core.compact(now)
}

// prioritise computes the priorities of organisations and callers for one decision. It also removes empty groups from
// the queues and lets jobs that have waited long enough use the workers on which they failed.
func (core *Core) prioritise(now time.Time) {
	for _, owner := range core.organisations {
		owner.priority = core.normalisedService(now, owner)
		if owner.queue.waiting == 0 {
			continue
		}
		owner.queue.removeEmptyGroups()
		for _, group := range owner.queue.ordered {
			core.allowFailedOn(now, group)
			group.caller.priority = core.service(now, &group.caller.account)
		}
	}
}

// passKind is the means by which a pass over the waiting jobs finds accelerators.
type passKind int

const (
	// passGuarantee places jobs of organisations that have bound cells, by reclaims if necessary.
	passGuarantee passKind = iota
	// passFree places jobs on accelerators that are free.
	passFree
	// passCompaction evicts preemptible gangs, or reserves workers, for jobs that found no free accelerators.
	passCompaction
)

// allowFailedOn lets the first job of a group use the workers on which it failed, once it has waited for AvoidTime.
func (core *Core) allowFailedOn(now time.Time, group *group) {
	if group.key.class.avoidingJob == "" {
		return
	}
	job := group.head()
	if !job.mayUseFailedOn && now.Sub(job.queuedAt) >= core.settings.AvoidTime {
		job.mayUseFailedOn = true
		core.capacityVersion++
		job.organisation.cellCapacityVersion++
	}
}

// untriedGroups holds the groups of waiting jobs of one organisation that are still to be tried in a pass.
type untriedGroups struct {
	owner  *organisation
	groups []*group
}

// pass calls try for the first jobs of the groups of all organisations. The next job is always one of the organisation
// with the least attained service relative to its guarantee. When a job exceeds the quota or finds no place, the
// organisation's groups of the same class are not tried again in this pass. The pass ends when no groups are left.
func (core *Core) pass(now time.Time, try func(time.Time, *jobState) bool, kind passKind) {
	var remaining []*untriedGroups
	for _, owner := range core.organisations {
		if groups := core.groupsToTry(owner, kind); len(groups) > 0 {
			remaining = append(remaining, &untriedGroups{owner, groups})
		}
	}
	for len(remaining) > 0 {
		at := 0
		for i, untried := range remaining {
			if untried.owner.priority < remaining[at].owner.priority {
				at = i
			}
		}
		if !core.tryNextJob(now, remaining[at], try, kind) {
			remaining = append(remaining[:at], remaining[at+1:]...)
		}
	}
}

// groupsToTry lists the groups of an organisation whose class may find a place. Except in a compaction, a class that
// found no free accelerators is skipped until capacity may have become free.
func (core *Core) groupsToTry(owner *organisation, kind passKind) []*group {
	var groups []*group
	for _, group := range owner.queue.ordered {
		core.steps++
		if version, failed := owner.classesWithoutPlace[group.key.class]; failed &&
			version == core.capacityVersion && kind != passCompaction {
			continue
		}
		if group.jobs.Len() > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

// tryNextJob tries the job that goes first among an organisation's untried groups. If the job exceeds the quota or
// finds no place, all groups of the same class are dropped from the untried ones. It reports whether any groups are
// left to try.
func (core *Core) tryNextJob(
	now time.Time, untried *untriedGroups, try func(time.Time, *jobState) bool, kind passKind,
) bool {
	at := 0
	for i, group := range untried.groups {
		core.steps++
		if groupBefore(group, untried.groups[at]) {
			at = i
		}
	}
	chosen := untried.groups[at]
	job := chosen.head()
	if untried.owner.fitsQuota(job.total) && try(now, job) {
		untried.owner.priority = core.normalisedService(now, untried.owner)
		job.caller.priority = core.service(now, &job.caller.account)
		if chosen.jobs.Len() == 0 {
			untried.groups = append(untried.groups[:at], untried.groups[at+1:]...)
		}
		return len(untried.groups) > 0
	}
	kept := untried.groups[:0]
	for _, group := range untried.groups {
		if group.key.class != chosen.key.class {
			kept = append(kept, group)
		}
	}
	untried.groups = kept
	if kind == passFree {
		untried.owner.classesWithoutPlace[chosen.key.class] = core.capacityVersion
	}
	return len(untried.groups) > 0
}

// tryGuarantee places a job of an organisation with bound cells: in the cells or on free accelerators elsewhere. It
// reclaims accelerators of the cells if none are free and the job fits once the work that it may evict has ended.
func (core *Core) tryGuarantee(now time.Time, job *jobState) bool {
	owner := job.organisation
	if len(owner.cellWorkers) == 0 {
		return false
	}
	kind := classOf(job)
	if version, known := owner.classesWithoutCellCapacity[kind]; known && version == owner.cellCapacityVersion {
		return false
	}
	if job.guaranteed() {
		if core.tryMatchingCell(now, job) {
			return true
		}
		if !job.preemptible || job.urgent() {
			return false
		}
	}
	if !job.spec.Profile.Checkpoint {
		// A reclaim would lose the progress of work that cannot checkpoint. Such work stays out of cells while
		// accelerators outside them are free.
		if holdings := core.findOpen(job); holdings != nil {
			return core.start(now, job, holdings, "free accelerators outside cells")
		}
	}
	if job.mayIgnoreCells() {
		// Work that can be moved at little loss fills the fullest workers anywhere, so that whole workers stay free.
		if holdings := core.findAny(job); holdings != nil {
			return core.start(now, job, holdings, "the fullest workers with enough free accelerators")
		}
	}
	if holdings := core.findOwn(job); holdings != nil {
		return core.start(now, job, holdings, "free cells of its organisation")
	}
	if core.assemble(job.shape(), core.cellCandidates(job)) == nil {
		owner.classesWithoutCellCapacity[kind] = owner.cellCapacityVersion
		return false
	}
	if holdings, reason := core.findWithoutReclaim(job); holdings != nil {
		return core.start(now, job, holdings, reason)
	}
	return core.reclaim(now, job)
}

// mayIgnoreCells reports whether a job is placed on free accelerators whether cells cover them or not, since its later
// eviction would lose little work.
func (job *jobState) mayIgnoreCells() bool {
	jobProfile := &job.spec.Profile
	return jobProfile.Checkpoint && jobProfile.Idempotent && !job.urgent() && !job.guaranteed()
}

// tryFree places a job on free accelerators. Only preemptible jobs may use cells of other organisations.
func (core *Core) tryFree(now time.Time, job *jobState) bool {
	if core.startReserved(now, job) {
		return true
	}
	if job.mayIgnoreCells() {
		if holdings := core.findAny(job); holdings != nil {
			return core.start(now, job, holdings, "the fullest workers with enough free accelerators")
		}
		return false
	}
	if holdings := core.findOpen(job); holdings != nil {
		return core.start(now, job, holdings, "free accelerators outside cells")
	}
	if holdings := core.findAny(job); holdings != nil {
		return core.start(now, job, holdings, "free accelerators, with borrowing")
	}
	return false
}

// start begins an attempt of a waiting job on free accelerators. It always returns true.
func (core *Core) start(now time.Time, job *jobState, holdings []holding, reason string) bool {
	core.dequeue(job)
	core.allocate(job, holdings, false)
	core.place(now, job, reason)
	return true
}
