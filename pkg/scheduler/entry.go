package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// phase is where a job is in its life.
type phase int

const (
	// phaseWaiting means that the job holds nothing and is in a queue.
	phaseWaiting phase = iota
	// phaseClaiming means that the job has claimed accelerators of gangs that are being evicted.
	phaseClaiming
	// phasePlacing means that Place was decided and is not answered.
	phasePlacing
	// phaseRunning means that every member runs.
	phaseRunning
)

// eviction is how far the eviction of a gang is.
type eviction int

const (
	evictionNone eviction = iota
	evictionCheckpoint
	evictionStop
	// evictionStuck means that the stop was not confirmed in time.
	evictionStuck
)

// holding is the part of a gang on one worker.
type holding struct {
	worker  *worker
	members int
}

// entry is a job that the core knows, with its gang if it has one.
type entry struct {
	job          Job
	organisation *organisation
	caller       *caller
	unit         resources
	total        fleet.Accelerators
	preemptible  bool

	phase phase
	// attempt numbers the current attempt, or the last one.
	attempt fleet.Attempt
	// ran is set once an attempt may have started.
	ran bool
	// holdings is empty unless the job claims, is being placed or runs.
	holdings []holding
	// cell is the cell of the job's shape that the job occupies; nil if it runs elsewhere.
	cell *cell
	// began is when the current attempt was decided or recovered.
	began time.Time
	// waiting is when the job was queued last.
	waiting time.Time
	// used is the accelerator time of earlier attempts.
	used fleet.AcceleratorTime
	// reported is the accelerator time of the current attempt as reported by workers.
	reported fleet.AcceleratorTime
	resume   bool

	cancelled bool
	// overrun is set when the job ran longer than its profile allows.
	overrun    bool
	eviction   eviction
	evictionAt time.Time
	// hurried is set when a victim ignored its stop; the next victims get no grace period.
	hurried bool

	// failedOn holds the workers on which attempts failed.
	failedOn []fleet.WorkerID
	failures int
	// reservation holds the workers that are reserved for the job while it waits.
	reservation []*worker
	// lenient is set when the job found no place for some time without those workers.
	lenient bool

	group    *group
	position int
	reason   string
}

// newEntry returns the state of a submitted job.
func (core *Core) newEntry(now time.Time, job Job) *entry {
	owner := core.organisation(job.Key.Organisation)
	shape := fleet.Shape{}
	if job.Profile.Shape != nil {
		shape = *job.Profile.Shape
	}
	return &entry{
		job:          job,
		organisation: owner,
		caller:       owner.caller(job.Caller),
		unit:         resourcesOf(shape),
		total:        shape.Total(),
		preemptible:  job.Profile.Preemptible(),
		attempt:      job.Attempts,
		ran:          job.Attempts > 0,
		used:         job.Used,
		waiting:      now,
		position:     -1,
	}
}

// shape returns the shape of the job's gang.
func (entry *entry) shape() fleet.Shape { return *entry.job.Profile.Shape }

// urgent reports whether the job may displace less urgent work of its own organisation.
func (entry *entry) urgent() bool { return entry.job.Profile.Urgency == profile.UrgencyUrgent }

// holds reports whether accelerators are accounted to the job.
func (entry *entry) holds() bool { return entry.phase != phaseWaiting }

// active reports whether an attempt is under way.
func (entry *entry) active() bool { return entry.phase == phasePlacing || entry.phase == phaseRunning }

// attained returns the accelerator time that the job has used in all attempts.
func (entry *entry) attained(now time.Time) fleet.AcceleratorTime {
	return entry.used + entry.current(now)
}

// current returns the accelerator time of the current attempt. Reports lag, so the time held counts.
func (entry *entry) current(now time.Time) fleet.AcceleratorTime {
	if !entry.active() {
		return 0
	}
	held := fleet.AcceleratorTime(now.Sub(entry.began)) * fleet.AcceleratorTime(entry.total)
	return max(held, entry.reported)
}

// level returns the priority level by attained service; 0 is the best.
func (core *Core) level(now time.Time, job *entry) int {
	attained := job.attained(now)
	level := 0
	for level < len(core.settings.Levels) && attained >= core.settings.Levels[level] {
		level++
	}
	return level
}

// members lists the tasks of the gang.
func (entry *entry) members() []Member {
	members := make([]Member, 0, entry.shape().Members)
	for _, holding := range entry.holdings {
		for range holding.members {
			members = append(members, Member{holding.worker.ID, entry.shape().Accelerators})
		}
	}
	return members
}

// take accounts holdings to a job.
func (core *Core) take(job *entry, holdings []holding, claim bool) {
	job.holdings = holdings
	for _, holding := range holdings {
		amount := job.unit.times(holding.members)
		machine := holding.worker
		share := machine.editShare(job.organisation.tenant)
		share.used = share.used.plus(amount)
		if !job.preemptible {
			share.pinned = share.pinned.plus(amount)
		}
		if claim {
			machine.claimed = machine.claimed.plus(amount)
		} else {
			machine.gangs = append(machine.gangs, job)
		}
		core.refresh(machine)
		core.steps++
	}
	job.organisation.held += job.total
}

// release returns a job's holdings.
func (core *Core) release(job *entry) {
	claim := job.phase == phaseClaiming
	core.settleEviction(job)
	core.vacate(job)
	for _, holding := range job.holdings {
		amount := job.unit.times(holding.members)
		machine := holding.worker
		share := machine.editShare(job.organisation.tenant)
		share.used = share.used.minus(amount)
		if !job.preemptible {
			share.pinned = share.pinned.minus(amount)
		}
		if claim {
			machine.claimed = machine.claimed.minus(amount)
		} else {
			machine.dropGang(job)
		}
		machine.dropEmptyShares()
		core.refresh(machine)
		core.forgetIfGone(machine)
		core.steps++
	}
	job.holdings = nil
	job.organisation.held -= job.total
	job.organisation.roomVersion++
	if !job.preemptible {
		core.repackIfSmall()
	}
	core.freed()
}

// confirm turns a claim into a gang.
func (core *Core) confirm(job *entry) {
	for _, holding := range job.holdings {
		machine := holding.worker
		machine.claimed = machine.claimed.minus(job.unit.times(holding.members))
		machine.gangs = append(machine.gangs, job)
		core.steps++
	}
}

// dropGang forgets a gang on the worker.
func (worker *worker) dropGang(job *entry) {
	for i, other := range worker.gangs {
		if other == job {
			worker.gangs = append(worker.gangs[:i], worker.gangs[i+1:]...)
			return
		}
	}
}

// membersOf returns how many members of a gang the worker holds.
func (worker *worker) membersOf(job *entry) int {
	for _, holding := range job.holdings {
		if holding.worker == worker {
			return holding.members
		}
	}
	return 0
}
