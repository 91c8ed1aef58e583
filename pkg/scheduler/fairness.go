package scheduler

import (
	"math"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// account measures the attained service of an organisation or caller: the accelerator-seconds that it has used, decayed
// with a half-life. Without decay, an organisation or caller that was idle for long would block all others until it had
// caught up.
type account struct {
	value   float64
	updated time.Time
	inUse   fleet.Accelerators
}

// read returns the attained service at the given time.
func (account *account) read(now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(account.updated)
	if elapsed <= 0 {
		return account.value
	}
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	gain := float64(account.inUse) * halfLife.Seconds() / math.Ln2 * (1 - decay)
	return account.value*decay + gain
}

// change decays the attained service up to now and then changes the number of accelerators in use.
func (account *account) change(now time.Time, halfLife time.Duration, by fleet.Accelerators) {
	account.value = account.read(now, halfLife)
	account.updated = now
	account.inUse += by
}

// caller holds the accelerator time that one caller of an organisation has used, for fairness between callers.
type caller struct {
	id      fleet.CallerID
	account account
	// priority is the result of Core.service for the caller in the current decision. The caller with the least goes
	// first.
	priority float64
}

// organisation holds what the core knows of one organisation: its usage, its callers, its cells and its waiting jobs.
type organisation struct {
	id fleet.OrganisationID
	// index is the index of the organisation in Core.organisations.
	index  int
	config *profile.Organisation
	// guaranteed is the sum of the accelerators of all guarantees.
	guaranteed fleet.Accelerators
	// held counts the accelerators that the organisation's claims and gangs hold.
	held    fleet.Accelerators
	account account
	// priority is the result of Core.normalisedService in the current decision. The organisation with the least goes
	// first.
	priority float64
	callers  map[fleet.CallerID]*caller
	// cellWorkers lists the workers with cells of the organisation, by data centre, rack and slot.
	cellWorkers []*worker
	// cellsOf holds the bound cells by shape.
	cellsOf map[fleet.Shape][]*cell
	// cellsChanged is set when cellWorkers and cellsOf are out of date.
	cellsChanged bool
	queue        queue
	// cellCapacityVersion changes whenever more of the organisation's work may fit in its cells.
	cellCapacityVersion uint64
	// classesWithoutCellCapacity holds the classes whose jobs do not fit in the cells even after evictions, with the
	// cellCapacityVersion of the check.
	classesWithoutCellCapacity map[class]uint64
	// classesWithoutPlace holds the classes whose jobs found no free accelerators, with the capacityVersion of the
	// search.
	classesWithoutPlace map[class]uint64
}

// organisation returns the state of an organisation, which is added if it is unknown.
func (core *Core) organisation(id fleet.OrganisationID) *organisation {
	if known, ok := core.organisationsByID[id]; ok {
		return known
	}
	fresh := &organisation{
		id:                         id,
		index:                      len(core.organisations),
		callers:                    map[fleet.CallerID]*caller{},
		classesWithoutPlace:        map[class]uint64{},
		classesWithoutCellCapacity: map[class]uint64{},
	}
	fresh.queue.init()
	core.organisationsByID[id] = fresh
	core.organisations = append(core.organisations, fresh)
	return fresh
}

// caller returns the state of a caller, which is added if it is unknown.
func (organisation *organisation) caller(id fleet.CallerID) *caller {
	if known, ok := organisation.callers[id]; ok {
		return known
	}
	fresh := &caller{id: id}
	organisation.callers[id] = fresh
	return fresh
}

// charge changes the number of accelerators in use in the accounts of a job's organisation and caller.
func (core *Core) charge(now time.Time, job *jobState, by fleet.Accelerators) {
	halfLife := core.settings.ServiceHalfLife
	job.organisation.account.change(now, halfLife, by)
	job.caller.account.change(now, halfLife, by)
}

// service returns the attained service of an account plus Settings.FairnessQuantum for each accelerator in use. This
// addition makes concurrent placements alternate between organisations, or callers, of equal attained service.
func (core *Core) service(now time.Time, account *account) float64 {
	quantum := core.settings.FairnessQuantum.Seconds()
	return account.read(now, core.settings.ServiceHalfLife) + float64(account.inUse)*quantum
}

// normalisedService returns the service of an organisation divided by the accelerators of its guarantees. One
// accelerator is added to the divisor, so that organisations without guarantees have a finite value.
func (core *Core) normalisedService(now time.Time, owner *organisation) float64 {
	return core.service(now, &owner.account) / float64(owner.guaranteed+1)
}

// fitsQuota reports whether a further gang stays within the organisation's quota.
func (organisation *organisation) fitsQuota(total fleet.Accelerators) bool {
	if organisation.config == nil || organisation.config.Quota == 0 {
		return true
	}
	return organisation.held+total <= organisation.config.Quota
}
