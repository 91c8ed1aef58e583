package worker

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// trackedLease is the state of a lease that this process has requested or taken over.
type trackedLease struct {
	// group holds the members of the gang whose leases are renewed together. It is nil while this lease is not renewed.
	group *renewalGroup
	// renewedSince is the time at which the renewals of the lease started. The worker had granted the lease before.
	renewedSince time.Time
	// missing is true once findMissing has found that the worker no longer has the lease.
	missing bool
	// lastRenewal is the time at which the last renewal was sent; zero if the next one is due.
	lastRenewal time.Time
	// renewed is true once a renewal was sent.
	renewed bool
	// endsBy is the latest time at which the lease ends unless it is renewed again.
	endsBy time.Time
}

// recordLease stores a reported lease in the lease table.
func (session *session) recordLease(state *workerv1.LeaseState) Lease {
	lease := Lease{
		ID:     fleet.LeaseID(state.LeaseId),
		Worker: session.machine.ID,
		Key: fleet.JobKey{
			Organisation: fleet.OrganisationID(state.Label.GetOrganisation()),
			Job:          fleet.JobID(state.Label.GetJobId()),
		},
		Label:        state.Label,
		State:        state.State,
		Accelerators: fleet.Accelerators(state.Accelerators),
		Used:         fleet.AcceleratorTime(time.Duration(state.UsedMs) * time.Millisecond),
	}
	session.leases[lease.ID] = lease
	session.manager.addToIndex(lease)
	return lease
}

// removeUnseen removes the leases that a full sync did not contain from the lease table. It returns the removed leases
// that the table showed as active, because the worker has not reported their final states.
func (session *session) removeUnseen(seen map[fleet.LeaseID]bool) []fleet.LeaseID {
	var missing []fleet.LeaseID
	for id, lease := range session.leases {
		if seen[id] {
			continue
		}
		delete(session.leases, id)
		session.manager.removeFromIndex(lease)
		if lease.Active() {
			missing = append(missing, id)
		}
	}
	return missing
}

// findMissing returns the renewed leases that the worker granted but no longer reports, and marks them as missing. This
// happens when a worker restarts between granting a lease and the first sync that would have reported it.
func (session *session) findMissing(startedAt time.Time) []fleet.LeaseID {
	var missing []fleet.LeaseID
	for id, tracked := range session.tracked {
		if _, known := session.leases[id]; known || tracked.group == nil || tracked.missing ||
			!tracked.renewedSince.Before(startedAt) {
			continue
		}
		tracked.missing = true
		missing = append(missing, id)
	}
	return missing
}

func (session *session) removeAll() []fleet.LeaseID {
	return session.removeUnseen(nil)
}

// freeMismatch returns the worker's free accelerators minus those that are free according to the lease table. The
// difference is constant as long as the lease table contains every change of the worker's leases.
func (session *session) freeMismatch(response *workerv1.SyncResponse) fleet.Accelerators {
	free := session.machine.Accelerators
	for _, lease := range session.leases {
		if lease.Active() {
			free -= lease.Accelerators
		}
	}
	return fleet.Accelerators(response.FreeAccelerators) - free
}

func (session *session) lease(id fleet.LeaseID) (Lease, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	lease, ok := session.leases[id]
	return lease, ok
}

// track records the latest end of a lease, unless a later end is recorded already. From then on the lease is renewed
// together with the other leases of group, or not renewed if group is nil.
func (session *session) track(id fleet.LeaseID, endsBy time.Time, group *renewalGroup) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	tracked, ok := session.tracked[id]
	if !ok {
		tracked = &trackedLease{}
		session.tracked[id] = tracked
	}
	if group != nil {
		tracked.renewedSince = time.Now()
	}
	tracked.group = group
	tracked.endsBy = later(tracked.endsBy, endsBy)
}

func (session *session) endsBy(id fleet.LeaseID) (time.Time, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	tracked, ok := session.tracked[id]
	if !ok {
		return time.Time{}, false
	}
	return tracked.endsBy, true
}

func (session *session) forget(id fleet.LeaseID) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	delete(session.tracked, id)
	lease, ok := session.leases[id]
	if !ok || lease.Active() {
		return
	}
	session.unacknowledged = append(session.unacknowledged, string(id))
	delete(session.leases, id)
	session.manager.removeFromIndex(lease)
}

func (session *session) activeLeases() []Lease {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	var leases []Lease
	for _, lease := range session.leases {
		if lease.Active() {
			leases = append(leases, lease)
		}
	}
	return leases
}
