package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// share records which resources of one worker the cells of one organisation cover, and which its work holds.
type share struct {
	// organisationIndex is the index of the organisation in Core.organisations.
	organisationIndex int
	// cell holds the resources that the organisation's cells cover.
	cell resources
	// used holds the resources that the organisation's gangs and claims hold.
	used resources
	// pinned is the part of used that belongs to jobs that cannot be preempted.
	pinned resources
}

// worker holds what the core knows of a worker: its capacity, its health, and the gangs, cells and claims on it.
type worker struct {
	fleet.Worker
	capacity resources
	zone     *zone
	rack     *rack
	// slot is the index of the worker in zone.workers.
	slot int
	// present is false if the worker has left the fleet. Its state is kept while gangs or claims still refer to it.
	present bool
	lost    bool
	// evacuated is true while the worker's data centre is evacuated, and after that until the worker's turn to return.
	evacuated bool
	// refused is set when the worker refused a placement. The next WorkerFound event clears it.
	refused bool
	// foreign counts the accelerators held by leases of which the core has no record.
	foreign fleet.Accelerators
	health  health
	shares  []share
	gangs   []*jobState
	// settledGangs counts the settled gangs and claims on the worker.
	settledGangs int
	cells        []*cell
	// reserved is the starving job for which the worker is reserved; nil if there is none. Meanwhile other jobs that
	// cannot be preempted start on the worker only in cells of their own organisations.
	reserved *jobState
	// claimed is the part of the shares' used resources that belongs to claims, which wait for evicted gangs to end.
	claimed resources
	// kept holds the free resources that are kept for jobs that are moved to the worker to empty others.
	kept resources
	// evicting holds the resources of the gangs that are being evicted and are still expected to end in time.
	evicting resources
	// Core.refresh computes the fields below from the fields above.
	free     resources
	open     resources
	bindable resources
	keys     [views]int
}

// mayHoldCells reports whether cells may be bound to the worker.
func (worker *worker) mayHoldCells() bool {
	return worker.present && !worker.lost && !worker.Leaving && !worker.health.quarantined && !worker.evacuated
}

// usable reports whether the worker may get new work.
func (worker *worker) usable() bool { return worker.mayHoldCells() && !worker.refused }

// share returns the organisation's share of the worker; it is empty if the organisation has none.
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

// dropEmptyShares removes the shares of organisations that have neither cells nor work on the worker.
func (worker *worker) dropEmptyShares() {
	kept := worker.shares[:0]
	for _, share := range worker.shares {
		if share.cell != (resources{}) || share.used != (resources{}) {
			kept = append(kept, share)
		}
	}
	worker.shares = kept
}

// derive computes free, open and bindable. Free resources are held by no gang, claim or foreign lease, and not kept for
// a moved job. Open resources
// are free, outside all cells and on a worker that is not reserved. Bindable resources may be covered by further cells.
//
// Jobs that cannot be preempted may hold resources beyond the cells of their organisations, but in sum at most those
// that no cell covers. Every cell can therefore be emptied of the work of other organisations.
func (worker *worker) derive() {
	foreign := resources{int64(worker.foreign)}
	free := worker.capacity.minus(foreign)
	uncovered := free
	for i := range worker.shares {
		share := &worker.shares[i]
		free = free.minus(share.used)
		uncovered = uncovered.minus(share.cell).minus(share.pinned.minus(share.cell).positive())
	}
	free = free.minus(worker.kept)
	worker.free = free
	worker.bindable = uncovered
	worker.open = uncovered.atMost(free)
	if worker.reserved != nil {
		worker.open = resources{}
	}
}

// freeForPinned returns the resources that the job, which cannot be preempted, can take now without an eviction.
func (worker *worker) freeForPinned(job *jobState) resources {
	return worker.pinnedLimit(job).atMost(worker.free)
}

// pinnedLimit returns the resources that the job, which cannot be preempted, could take if all preemptible work on the
// worker ended.
func (worker *worker) pinnedLimit(job *jobState) resources {
	own := worker.share(job.organisation.index)
	if worker.reserved != nil && worker.reserved != job {
		return own.cell.minus(own.pinned).positive()
	}
	return worker.bindable.positive().plus(own.cell.minus(own.pinned).positive())
}

// unusedCells returns the resources in the organisation's cells on the worker that the organisation's own work does not
// use.
func (worker *worker) unusedCells(organisationIndex int) resources {
	own := worker.share(organisationIndex)
	return own.cell.minus(own.used).positive()
}

// bindableFor returns the resources that a further cell of the organisation may cover. These include resources outside
// cells that belong to non-preemptible jobs of the organisation.
func (worker *worker) bindableFor(organisationIndex int) resources {
	own := worker.share(organisationIndex)
	return worker.bindable.plus(own.pinned.minus(own.cell).positive())
}

// health is the failure record of a worker.
type health struct {
	quarantined bool
	// probation is set from the end of a quarantine until the first success. Meanwhile a single failure puts the worker
	// into quarantine again.
	probation bool
	until     time.Time
	// consecutiveQuarantines counts the quarantines since the last success.
	consecutiveQuarantines int
	// failedJobs holds the jobs that failed on the worker since its last success.
	failedJobs map[*jobState]struct{}
}
