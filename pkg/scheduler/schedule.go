package scheduler

import "time"

// schedule places waiting jobs: first within guarantees, then on whatever is free.
func (core *Core) schedule(now time.Time) {
	if core.waiting == 0 {
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
		owner.priority = core.normalised(now, owner)
		if owner.queue.waiting == 0 {
			continue
		}
		owner.queue.sweep()
		for _, group := range owner.queue.ordered {
			core.relent(now, group)
			group.caller.priority = core.service(now, &group.caller.account)
		}
	}
}

// passKind says what a pass may do for a job.
type passKind int

const (
	// passGuarantee places jobs in cells of their organisation.
	passGuarantee passKind = iota
	// passFree places jobs on accelerators that are free.
	passFree
	// passCompaction moves work to make room.
	passCompaction
)

// relent lets a job use the workers on which it failed when it found no other place for some time.
func (core *Core) relent(now time.Time, group *group) {
	if group.key.class.only == "" {
		return
	}
	job := group.head()
	if !job.lenient && now.Sub(job.waiting) >= core.settings.AvoidTime {
		job.lenient = true
		core.version++
		job.organisation.roomVersion++
	}
}

// turn is what is left to try for one organisation in one pass.
type turn struct {
	owner  *organisation
	groups []*group
}

// pass tries the first job of every group, least attained service first, until no class finds a place.
func (core *Core) pass(now time.Time, try func(time.Time, *entry) bool, kind passKind) {
	var turns []*turn
	for _, owner := range core.organisations {
		if groups := core.hopeful(owner, kind); len(groups) > 0 {
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

// hopeful lists the groups whose class may find a place since it last failed.
func (core *Core) hopeful(owner *organisation, kind passKind) []*group {
	var groups []*group
	for _, group := range owner.queue.ordered {
		core.steps++
		if version, failed := owner.failed[group.key.class]; failed && version == core.version && kind != passCompaction {
			continue
		}
		if group.jobs.Len() > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

// tryTurn tries one job of an organisation and reports whether there are others to try.
func (core *Core) tryTurn(now time.Time, turn *turn, try func(time.Time, *entry) bool, kind passKind) bool {
	at := 0
	for i, group := range turn.groups {
		core.steps++
		if before(group, turn.groups[at]) {
			at = i
		}
	}
	home := turn.groups[at]
	job := home.head()
	if turn.owner.quotaLeft(job.total) && try(now, job) {
		turn.owner.priority = core.normalised(now, turn.owner)
		job.caller.priority = core.service(now, &job.caller.account)
		if home.jobs.Len() == 0 {
			turn.groups = append(turn.groups[:at], turn.groups[at+1:]...)
		}
		return len(turn.groups) > 0
	}
	kept := turn.groups[:0]
	for _, group := range turn.groups {
		if group.key.class != home.key.class {
			kept = append(kept, group)
		}
	}
	turn.groups = kept
	if kind == passFree {
		turn.owner.failed[home.key.class] = core.version
	}
	return len(turn.groups) > 0
}

// tryGuarantee places a job that its organisation's cells can hold, by reclaim if need be.
func (core *Core) tryGuarantee(now time.Time, job *entry) bool {
	owner := job.organisation
	if len(owner.cellWorkers) == 0 {
		return false
	}
	kind := classOf(job)
	if version, known := owner.crowded[kind]; known && version == owner.roomVersion {
		return false
	}
	if job.guaranteed() {
		if core.tryExact(now, job) {
			return true
		}
		if !job.preemptible || job.urgent() {
			return false
		}
	}
	if !job.job.Profile.Checkpoint {
		// Work that a reclaim would lose stays out of cells while there is room elsewhere.
		if holdings := core.findOpen(job); holdings != nil {
			return core.start(now, job, holdings, "free accelerators outside cells")
		}
	}
	if job.roams() {
		// Work that moves cheaply fills the fullest workers wherever they are, so that whole workers stay free.
		if holdings := core.findAny(job); holdings != nil {
			return core.start(now, job, holdings, "the fullest workers with room")
		}
	}
	if holdings := core.findOwn(job); holdings != nil {
		return core.start(now, job, holdings, "free cells of its organisation")
	}
	if core.assemble(job.shape(), core.roomCandidates(job)) == nil {
		owner.crowded[kind] = owner.roomVersion
		return false
	}
	if holdings := core.findOpen(job); holdings != nil {
		return core.start(now, job, holdings, "free accelerators outside cells")
	}
	if job.job.Profile.Checkpoint && job.preemptible && !job.urgent() {
		if holdings := core.findAny(job); holdings != nil {
			return core.start(now, job, holdings, "free accelerators, with borrowing instead of a reclaim")
		}
	}
	return core.reclaim(now, job)
}

// roams reports whether a job may be placed without regard to cells, since a reclaim costs it little.
func (entry *entry) roams() bool {
	used := &entry.job.Profile
	return used.Checkpoint && used.Idempotent && !entry.urgent() && !entry.guaranteed()
}

// tryFree places a job on accelerators that are free, in cells of others only if it is preemptible.
func (core *Core) tryFree(now time.Time, job *entry) bool {
	if core.startReserved(now, job) {
		return true
	}
	if job.roams() {
		if holdings := core.findAny(job); holdings != nil {
			return core.start(now, job, holdings, "the fullest workers with room")
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
func (core *Core) start(now time.Time, job *entry, holdings []holding, reason string) bool {
	core.dequeue(job)
	core.take(job, holdings, false)
	core.place(now, job, reason)
	return true
}
