package scheduler

import (
	"math"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// account measures attained service as accelerator-seconds that decay with a half-life. Without decay, a
// party that was idle for long would shut out all others until it had caught up.
type account struct {
	value float64
	at    time.Time
	rate  fleet.Accelerators
}

// read returns the attained service at a time.
func (account *account) read(now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(account.at)
	if elapsed <= 0 {
		return account.value
	}
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	gain := float64(account.rate) * halfLife.Seconds() / math.Ln2 * (1 - decay)
	return account.value*decay + gain
}

// change settles the account and changes the number of accelerators in use.
func (account *account) change(now time.Time, halfLife time.Duration, by fleet.Accelerators) {
	account.value = account.read(now, halfLife)
	account.at = now
	account.rate += by
}

// caller is the state of one party within an organisation.
type caller struct {
	id      fleet.CallerID
	account account
	// priority is the service as of the current decision; least goes first.
	priority float64
}

// organisation is the state of one organisation.
type organisation struct {
	id     fleet.OrganisationID
	tenant int
	config *profile.Organisation
	// guaranteed is the sum of the accelerators of all guarantees.
	guaranteed fleet.Accelerators
	// held counts the accelerators of claims and gangs.
	held    fleet.Accelerators
	account account
	// priority is the normalised service as of the current decision; least goes first.
	priority float64
	callers  map[fleet.CallerID]*caller
	// cellWorkers are the workers with cells of the organisation, in a fixed order.
	cellWorkers []*worker
	// cellsOf holds the bound cells by shape.
	cellsOf map[fleet.Shape][]*cell
	// cellsMoved is set when cellWorkers is out of date.
	cellsMoved bool
	queue      queue
	// roomVersion changes whenever the organisation's cells may hold more of its work.
	roomVersion uint64
	// crowded holds the classes that the cells cannot hold, with the room version.
	crowded map[class]uint64
	// failed holds the classes that found no place, with the version of the free capacity.
	failed map[class]uint64
}

// organisation returns the state of an organisation, new if it is unknown.
func (core *Core) organisation(id fleet.OrganisationID) *organisation {
	if known, ok := core.byID[id]; ok {
		return known
	}
	fresh := &organisation{
		id:      id,
		tenant:  len(core.organisations),
		callers: map[fleet.CallerID]*caller{},
		failed:  map[class]uint64{},
		crowded: map[class]uint64{},
	}
	fresh.queue.init()
	core.byID[id] = fresh
	core.organisations = append(core.organisations, fresh)
	return fresh
}

// caller returns the state of a caller, new if it is unknown.
func (organisation *organisation) caller(id fleet.CallerID) *caller {
	if known, ok := organisation.callers[id]; ok {
		return known
	}
	fresh := &caller{id: id}
	organisation.callers[id] = fresh
	return fresh
}

// charge changes the number of accelerators that a job's organisation and caller use.
func (core *Core) charge(now time.Time, job *entry, by fleet.Accelerators) {
	halfLife := core.settings.ServiceHalfLife
	job.organisation.account.change(now, halfLife, by)
	job.caller.account.change(now, halfLife, by)
}

// service returns attained service plus a charge for what is in use now. The charge makes concurrent
// placements alternate between parties whose attained service is equal.
func (core *Core) service(now time.Time, account *account) float64 {
	quantum := core.settings.FairnessQuantum.Seconds()
	return account.read(now, core.settings.ServiceHalfLife) + float64(account.rate)*quantum
}

// normalised returns the service of an organisation over its guarantee. One accelerator is added, so that
// organisations without a guarantee have a finite weight.
func (core *Core) normalised(now time.Time, owner *organisation) float64 {
	return core.service(now, &owner.account) / float64(owner.guaranteed+1)
}

// quotaLeft reports whether a further gang stays within the organisation's quota.
func (organisation *organisation) quotaLeft(total fleet.Accelerators) bool {
	if organisation.config == nil || organisation.config.Quota == 0 {
		return true
	}
	return organisation.held+total <= organisation.config.Quota
}
