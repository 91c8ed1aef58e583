package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// share is what one tenant has and uses on one worker.
type share struct {
	tenant int
	// cell is the part of the worker that the tenant's cells cover.
	cell resources
	// used is what the tenant's gangs and claims hold.
	used resources
	// pinned is the part of used that cannot be preempted.
	pinned resources
}

// worker is the state of one machine.
type worker struct {
	fleet.Worker
	capacity resources
	zone     *zone
	rack     *rack
	slot     int
	// present is false for a worker that only gangs of a former fleet still name.
	present bool
	lost    bool
	// refused is set when the worker refused a reservation, until it reports free accelerators.
	refused bool
	foreign fleet.Accelerators
	health  health
	shares  []share
	gangs   []*entry
	cells   []*cell
	// reserved is the starving job for which work that cannot be preempted is kept off; nil if there is none.
	reserved *entry
	// claimed is the part of the shares' use that waits for evicted gangs to end.
	claimed resources
	// ending is what evicted gangs still hold.
	ending resources
	// The fields below follow from the ones above; see Core.refresh.
	free     resources
	open     resources
	bindable resources
	keys     [views]int
}

// bindableState reports whether cells may be on the worker.
func (worker *worker) bindableState() bool {
	return worker.present && !worker.lost && !worker.Leaving && !worker.health.quarantined
}

// usable reports whether the worker gets new work.
func (worker *worker) usable() bool { return worker.bindableState() && !worker.refused }

// share returns the share of a tenant; the zero share if there is none.
func (worker *worker) share(tenant int) share {
	for i := range worker.shares {
		if worker.shares[i].tenant == tenant {
			return worker.shares[i]
		}
	}
	return share{tenant: tenant}
}

// editShare returns the share of a tenant to be changed.
func (worker *worker) editShare(tenant int) *share {
	for i := range worker.shares {
		if worker.shares[i].tenant == tenant {
			return &worker.shares[i]
		}
	}
	worker.shares = append(worker.shares, share{tenant: tenant})
	return &worker.shares[len(worker.shares)-1]
}

// dropEmptyShares forgets tenants that have and use nothing here.
func (worker *worker) dropEmptyShares() {
	kept := worker.shares[:0]
	for _, share := range worker.shares {
		if share.cell != (resources{}) || share.used != (resources{}) {
			kept = append(kept, share)
		}
	}
	worker.shares = kept
}

// derive computes free, open and bindable.
//
// Work that cannot be preempted never exceeds its own cells by more than the part of the worker that no
// cell covers. Every cell can therefore be emptied of other tenants' work.
func (worker *worker) derive() {
	foreign := resources{int64(worker.foreign)}
	free := worker.capacity.minus(foreign)
	uncovered := free
	for i := range worker.shares {
		share := &worker.shares[i]
		free = free.minus(share.used)
		uncovered = uncovered.minus(share.cell).minus(share.pinned.minus(share.cell).positive())
	}
	worker.free = free
	worker.bindable = uncovered
	worker.open = uncovered.atMost(free)
	if worker.reserved != nil {
		worker.open = resources{}
	}
}

// pinnedRoom returns what a job that cannot be preempted may still take.
func (worker *worker) pinnedRoom(job *entry) resources {
	return worker.pinnedLimit(job).atMost(worker.free)
}

// pinnedLimit returns what a job that cannot be preempted could take if all work that can be ended.
func (worker *worker) pinnedLimit(job *entry) resources {
	own := worker.share(job.organisation.tenant)
	if worker.reserved != nil && worker.reserved != job {
		return own.cell.minus(own.pinned).positive()
	}
	return worker.bindable.positive().plus(own.cell.minus(own.pinned).positive())
}

// ownRoom returns what the tenant's cells here hold beyond the tenant's own use.
func (worker *worker) ownRoom(tenant int) resources {
	own := worker.share(tenant)
	return own.cell.minus(own.used).positive()
}

// bindableFor returns what a further cell of the tenant may cover.
func (worker *worker) bindableFor(tenant int) resources {
	own := worker.share(tenant)
	return worker.bindable.plus(own.pinned.minus(own.cell).positive())
}

// health is the record of failures of one worker.
type health struct {
	quarantined bool
	// probation is set after readmission, until a first success.
	probation bool
	until     time.Time
	// terms counts the quarantines without a success since.
	terms int
	// blame holds the jobs that failed here since the last success.
	blame map[*entry]struct{}
}
