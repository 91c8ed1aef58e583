package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// phase is the scheduling state of a job.
type phase int

const (
	// phaseWaiting means that no accelerators are assigned to the job and that it is in a queue.
	phaseWaiting phase = iota
	// phaseClaiming means that the job has claimed accelerators of gangs that are being evicted.
	phaseClaiming
	// phasePlacing means that a Place decision was made and neither GangStarted nor PlaceFailed has followed yet.
	phasePlacing
	// phaseRunning means that every member runs.
	phaseRunning
)

// eviction is the progress of the eviction of a gang.
type eviction int

const (
	evictionNone eviction = iota
	evictionCheckpoint
	evictionStop
	// evictionStuck means that the gang did not confirm its stop within Settings.StopConfirmation.
	evictionStuck
)

// holding is the number of members of a gang, claim or cell on one worker.
type holding struct {
	worker  *worker
	members int
}

// jobState is the state of a job, including its gang if it has one.
type jobState struct {
	spec         Job
	organisation *organisation
	caller       *caller
	// perMember holds the resources that one member of the gang needs.
	perMember   resources
	total       fleet.Accelerators
	preemptible bool

	phase phase
	// attempt is the number of the current attempt, or of the last one.
	attempt fleet.Attempt
	// mayHaveStarted is set once an attempt may have started.
	mayHaveStarted bool
	// holdings lists the accelerators that the job claims or uses, by worker. It is empty while the job waits.
	holdings []holding
	// cell is the cell of the job's own shape in which the job runs or which it claims; nil if there is none.
	cell *cell
	// began is when the current attempt was placed or recovered.
	began time.Time
	// queuedAt is when the job was last queued.
	queuedAt time.Time
	// used is the accelerator time of earlier attempts.
	used fleet.AcceleratorTime
	// reported is the accelerator time of the current attempt, as reported by the workers.
	reported fleet.AcceleratorTime
	resume   bool

	cancelled bool
	// overrun is set when the job ran longer than its profile allows.
	overrun    bool
	eviction   eviction
	evictionAt time.Time
	// moving is true while the gang is being evicted to continue outside its evacuated data centre.
	moving bool
	// consolidated is true while the gang is being evicted only to empty its worker.
	consolidated bool
	// destination is the worker that keeps resources for the job after such an eviction; nil if there is none.
	destination *worker
	// ignoredCheckpoint is set when a running gang of the job did not save a checkpoint in its grace period.
	ignoredCheckpoint bool
	// skipGrace is set when a gang that was evicted for the job's claim ignored its stop. If the job is urgent, the
	// gangs that are evicted for it from then until it is placed are stopped without a grace period.
	skipGrace bool

	// failedOn lists the workers on which attempts failed.
	failedOn []fleet.WorkerID
	failures int
	// reservation lists the workers that are reserved for the job while it waits.
	reservation []*worker
	// mayUseFailedOn is set when the job has waited for Settings.AvoidTime, during which it avoids the workers in
	// failedOn.
	mayUseFailedOn bool

	group     *group
	heapIndex int
	reason    string
}

// newJobState returns the state of a job to which no accelerators are assigned yet.
func (core *Core) newJobState(now time.Time, job Job) *jobState {
	owner := core.organisation(job.Key.Organisation)
	shape := fleet.Shape{}
	if job.Profile.Shape != nil {
		shape = *job.Profile.Shape
	}
	return &jobState{
		spec:           job,
		organisation:   owner,
		caller:         owner.caller(job.Caller),
		perMember:      resourcesOf(shape),
		total:          shape.Total(),
		preemptible:    job.Profile.Preemptible(),
		attempt:        job.Attempts,
		mayHaveStarted: job.Attempts > 0,
		used:           job.Used,
		queuedAt:       now,
		heapIndex:      -1,
	}
}

// shape returns the shape of the job's gang.
func (job *jobState) shape() fleet.Shape { return *job.spec.Profile.Shape }

// urgent reports whether the job may evict less urgent work of its own organisation.
func (job *jobState) urgent() bool { return job.spec.Profile.Urgency == profile.UrgencyUrgent }

// settled reports whether the job's gang is never moved to empty a worker, since a move would lose its progress or could
// end the job.
func (job *jobState) settled() bool {
	return !job.spec.Profile.Checkpoint || !job.spec.Profile.Idempotent
}

// holds reports whether accelerators are assigned to the job, by a claim or for a gang.
func (job *jobState) holds() bool { return job.phase != phaseWaiting }

// active reports whether an attempt is being placed or runs.
func (job *jobState) active() bool { return job.phase == phasePlacing || job.phase == phaseRunning }

// attainedService returns the accelerator time that all attempts of the job have used so far.
func (job *jobState) attainedService(now time.Time) fleet.AcceleratorTime {
	return job.used + job.attemptTime(now)
}

// attemptTime returns the accelerator time of the current attempt. Usage reports lag behind, so the result is at least
// the time for which the accelerators have been held.
func (job *jobState) attemptTime(now time.Time) fleet.AcceleratorTime {
	if !job.active() {
		return 0
	}
	held := fleet.AcceleratorTime(now.Sub(job.began)) * fleet.AcceleratorTime(job.total)
	return max(held, job.reported)
}

// level returns the priority level of a job; 0 is the highest priority. The more accelerator time the job has used, the
// lower is its priority.
func (core *Core) level(now time.Time, job *jobState) int {
	attained := job.attainedService(now)
	level := 0
	for level < len(core.settings.Levels) && attained >= core.settings.Levels[level] {
		level++
	}
	return level
}

// members lists the tasks of the gang.
func (job *jobState) members() []Member {
	members := make([]Member, 0, job.shape().Members)
	for _, holding := range job.holdings {
		for range holding.members {
			members = append(members, Member{holding.worker.ID, job.shape().Accelerators})
		}
	}
	return members
}

// allocate assigns accelerators to a job: as a claim if claim is set, otherwise for its gang.
func (core *Core) allocate(job *jobState, holdings []holding, claim bool) {
	job.holdings = holdings
	core.consolidation.pending = true
	for _, holding := range holdings {
		amount := job.perMember.times(holding.members)
		machine := holding.worker
		share := machine.editShare(job.organisation.index)
		share.used = share.used.plus(amount)
		if !job.preemptible {
			share.pinned = share.pinned.plus(amount)
		}
		if job.settled() {
			machine.settledGangs++
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

// release frees the accelerators that a job claims or uses and ends the job's eviction, if there is one.
func (core *Core) release(job *jobState) {
	claim := job.phase == phaseClaiming
	core.endEviction(job)
	core.vacate(job)
	core.consolidation.pending = true
	for _, holding := range job.holdings {
		amount := job.perMember.times(holding.members)
		machine := holding.worker
		share := machine.editShare(job.organisation.index)
		share.used = share.used.minus(amount)
		if !job.preemptible {
			share.pinned = share.pinned.minus(amount)
		}
		if job.settled() {
			machine.settledGangs--
		}
		if claim {
			machine.claimed = machine.claimed.minus(amount)
		} else {
			machine.dropGang(job)
		}
		machine.dropEmptyShares()
		core.refresh(machine)
		core.removeIfUnused(machine)
		core.steps++
	}
	job.holdings = nil
	job.organisation.held -= job.total
	job.organisation.cellCapacityVersion++
	if !job.preemptible {
		core.repackIfSmall()
	}
	core.capacityFreed()
}

// activateClaim turns the claim of a job into accelerators that its gang uses.
func (core *Core) activateClaim(job *jobState) {
	for _, holding := range job.holdings {
		machine := holding.worker
		machine.claimed = machine.claimed.minus(job.perMember.times(holding.members))
		machine.gangs = append(machine.gangs, job)
		core.refresh(machine)
		core.steps++
	}
}

// dropGang removes a gang from the worker.
func (worker *worker) dropGang(job *jobState) {
	for i, other := range worker.gangs {
		if other == job {
			worker.gangs = append(worker.gangs[:i], worker.gangs[i+1:]...)
			return
		}
	}
}

// membersOf returns the number of members of a gang on the worker.
func (worker *worker) membersOf(job *jobState) int {
	for _, holding := range job.holdings {
		if holding.worker == worker {
			return holding.members
		}
	}
	return 0
}
