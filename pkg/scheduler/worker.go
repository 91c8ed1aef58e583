package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// share is the part of one worker that one organisation has and uses.
type share struct {
	// organisationIndex is the index of the organisation in Core.organisations.
	organisationIndex int
	// cell is the part of the worker that the organisation's cells cover.
	cell resources
	// used is the part that the organisation's gangs and claims hold.
	used resources
	// pinned is the part of used that cannot be preempted.
	pinned resources
}

// worker is the state of a worker.
type worker struct {
	fleet.Worker
	capacity resources
	zone     *zone
	rack     *rack
	slot     int
	// present is false if the worker left the fleet and only gangs still refer to it.
	present bool
	lost    bool
	// refused is set when the worker refused a placement, until it reports free accelerators.
	refused bool
	// foreign counts the accelerators held by leases of which the core has no record.
	foreign fleet.Accelerators
	health  health
	shares  []share
	gangs   []*jobState
	cells   []*cell
	// reserved is the starving job for which the worker is reserved; nil if there is none. Another job that cannot be
	// preempted starts there only in cells of its organisation.
	reserved *jobState
	// claimed is the part of the shares' used resources that belongs to claims, which wait for evicted gangs to end.
	claimed resources
	// evicting holds the resources that evicted gangs still hold and are expected to free.
	evicting resources
	// The fields below are derived from the ones above by Core.refresh.
	free     resources
	open     resources
	bindable resources
	keys     [views]int
}

// mayHoldCells reports whether cells may be bound to the worker.
func (worker *worker) mayHoldCells() bool {
	return worker.present && !worker.lost && !worker.Leaving && !worker.health.quarantined
}

// usable reports whether the worker may get new work.
func (worker *worker) usable() bool { return worker.mayHoldCells() && !worker.refused }

// share returns the share of an organisation; the zero share if there is none.
func (worker *worker) share(organisationIndex int) share {
	for i := range worker.shares {
		if worker.shares[i].organisationIndex == organisationIndex {
			return worker.shares[i]
		}
	}
	return share{organisationIndex: organisationIndex}
}

// editShare returns the share of an organisation for modification, and adds it if there is none.
func (worker *worker) editShare(organisationIndex int) *share {
	for i := range worker.shares {
		if worker.shares[i].organisationIndex == organisationIndex {
			return &worker.shares[i]
		}
	}
	worker.shares = append(worker.shares, share{organisationIndex: organisationIndex})
	return &worker.shares[len(worker.shares)-1]
}

// dropEmptyShares removes the shares of organisations that have and use nothing on the worker.
func (worker *worker) dropEmptyShares() {
	kept := worker.shares[:0]
	for _, share := range worker.shares {
		if share.cell != (resources{}) || share.used != (resources{}) {
			kept = append(kept, share)
		}
	}
	worker.shares = kept
}

// derive computes free, open and bindable. Open resources are free, covered by no cell and not reserved. Bindable
// resources may be covered by further cells.
//
// The work of an organisation that cannot be preempted exceeds the organisation's cells by at most the part of the
// worker that no cell covers. Every cell can therefore be emptied of the work of other organisations.
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

// freeForPinned returns the resources that a job that cannot be preempted can take now.
func (worker *worker) freeForPinned(job *jobState) resources {
	return worker.pinnedLimit(job).atMost(worker.free)
}

// pinnedLimit returns the resources that a job that cannot be preempted could take if all preemptible work ended.
func (worker *worker) pinnedLimit(job *jobState) resources {
	own := worker.share(job.organisation.index)
	if worker.reserved != nil && worker.reserved != job {
		return own.cell.minus(own.pinned).positive()
	}
	return worker.bindable.positive().plus(own.cell.minus(own.pinned).positive())
}

// unusedCells returns the part of the organisation's cells on the worker that the organisation does not use itself.
func (worker *worker) unusedCells(organisationIndex int) resources {
	own := worker.share(organisationIndex)
	return own.cell.minus(own.used).positive()
}

// bindableFor returns the resources that a further cell of the organisation may cover.
func (worker *worker) bindableFor(organisationIndex int) resources {
	own := worker.share(organisationIndex)
	return worker.bindable.plus(own.pinned.minus(own.cell).positive())
}

// health is the failure record of a worker.
type health struct {
	quarantined bool
	// probation is set after a quarantine, until the first success.
	probation bool
	until     time.Time
	// consecutiveQuarantines counts the quarantines since the last success.
	consecutiveQuarantines int
	// failedJobs holds the jobs that failed on the worker since its last success.
	failedJobs map[*jobState]struct{}
}
