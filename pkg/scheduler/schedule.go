package scheduler

import "time"

// schedule places waiting jobs, first within guarantees, then on any free accelerators, and then by moving work.
func (core *Core) schedule(now time.Time) {
	if core.waitingJobs == 0 {
		return
	}
	core.prioritise(now)
	core.pass(now, core.tryGuarantee, passGuarantee)
	core.pass(now, core.tryFree, passFree)
	core.compact(now)
}

// prioritise computes the order of organisations and callers for one decision.
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

// passKind is the way in which a pass places jobs.
type passKind int

const (
	// passGuarantee places jobs of organisations with cells, by reclaims if necessary.
	passGuarantee passKind = iota
	// passFree places jobs on accelerators that are free.
	passFree
	// passCompaction moves work to free accelerators.
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

// turn holds the groups of one organisation that are still to be tried in a pass.
type turn struct {
	owner  *organisation
	groups []*group
}

// pass tries the first job of every group, in order of the organisations' attained service, least first, until no
// class finds a place.
func (core *Core) pass(now time.Time, try func(time.Time, *jobState) bool, kind passKind) {
	var turns []*turn
	for _, owner := range core.organisations {
		if groups := core.groupsToTry(owner, kind); len(groups) > 0 {
			turns = append(turns, &turn{owner, groups})
		}
	}
	for len(turns) > 0 {
		at := 0
		for i, turn := range turns {
			if turn.owner.priority < turns[at].owner.priority {
				at = i
			}
		}
		if !core.tryTurn(now, turns[at], try, kind) {
			turns = append(turns[:at], turns[at+1:]...)
		}
	}
}

// groupsToTry lists the groups whose class may find a place. A class that failed is skipped until capacity may have
// become free.
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

// tryTurn tries one job of an organisation and reports whether any groups are left to try.
func (core *Core) tryTurn(now time.Time, turn *turn, try func(time.Time, *jobState) bool, kind passKind) bool {
	at := 0
	for i, group := range turn.groups {
		core.steps++
		if groupBefore(group, turn.groups[at]) {
			at = i
		}
	}
	chosen := turn.groups[at]
	job := chosen.head()
	if turn.owner.fitsQuota(job.total) && try(now, job) {
		turn.owner.priority = core.normalisedService(now, turn.owner)
		job.caller.priority = core.service(now, &job.caller.account)
		if chosen.jobs.Len() == 0 {
			turn.groups = append(turn.groups[:at], turn.groups[at+1:]...)
		}
		return len(turn.groups) > 0
	}
	kept := turn.groups[:0]
	for _, group := range turn.groups {
		if group.key.class != chosen.key.class {
			kept = append(kept, group)
		}
	}
	turn.groups = kept
	if kind == passFree {
		turn.owner.classesWithoutPlace[chosen.key.class] = core.capacityVersion
	}
	return len(turn.groups) > 0
}

// tryGuarantee places a job of an organisation with cells: in the cells, on free accelerators elsewhere, or by a
// reclaim if the job fits in the cells once other work is evicted.
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
	if holdings := core.findOpen(job); holdings != nil {
		return core.start(now, job, holdings, "free accelerators outside cells")
	}
	if job.spec.Profile.Checkpoint && job.preemptible && !job.urgent() {
		if holdings := core.findAny(job); holdings != nil {
			return core.start(now, job, holdings, "free accelerators, with borrowing instead of a reclaim")
		}
	}
	return core.reclaim(now, job)
}

// mayIgnoreCells reports whether a job may be placed without regard to cells, since an eviction costs it little.
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

// start places a waiting job on free accelerators.
func (core *Core) start(now time.Time, job *jobState, holdings []holding, reason string) bool {
	core.dequeue(job)
	core.allocate(job, holdings, false)
	core.place(now, job, reason)
	return true
}
