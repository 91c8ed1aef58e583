package worker

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// group is a gang whose leases are renewed together: no member's lease outlives the last sign of any other member
// by more than a task lease and its margin, even if the owner fails before it stops the gang.
type group struct {
	manager *Manager
	members []Member

	mutex sync.Mutex
	// scanned is when confirmed was found; it is found again after SyncEvery, so that a large gang costs little.
	scanned   time.Time
	confirmed time.Time
}

// confirmedAt returns a moment at which every member was known to run or to have completed. It is zero when a
// member has ended otherwise.
func (group *group) confirmedAt(now time.Time) time.Time {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if now.Sub(group.scanned) < group.manager.Timing.SyncEvery {
		return group.confirmed
	}
	group.scanned = now
	group.confirmed = now
	for _, member := range group.members {
		found, ok := group.manager.link(member.Worker)
		if !ok {
			group.confirmed = time.Time{}
			break
		}
		if at := found.confirmedAt(member.Lease, now); at.Before(group.confirmed) {
			group.confirmed = at
		}
	}
	return group.confirmed
}

// RenewGang renews the leases of a gang from now on. EndsBy is when they must have ended if no renewal arrives.
func (manager *Manager) RenewGang(members []Member, endsBy time.Time) {
	gang := &group{manager: manager, members: members}
	for _, member := range members {
		if found, ok := manager.link(member.Worker); ok {
			found.hold(member.Lease, endsBy, gang)
		}
	}
	for _, member := range members {
		manager.nudge(member.Worker)
	}
}

// TrackWithoutRenewal notes when a lease must have ended, and ends its renewals.
func (manager *Manager) TrackWithoutRenewal(member Member, endsBy time.Time) {
	if found, ok := manager.link(member.Worker); ok {
		found.hold(member.Lease, endsBy, nil)
	}
}

// confirmedAt returns when a lease was last known to run; now if its task has completed, zero if it has ended
// otherwise.
func (link *link) confirmedAt(id fleet.LeaseID, now time.Time) time.Time {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	lease, known := link.leases[id]
	hold, held := link.holds[id]
	switch {
	case known && lease.State == workerv1.TaskState_TASK_STATE_COMPLETED:
		return now
	case known && lease.Active():
		return link.synced
	case !known && held && !hold.missing:
		return hold.kept
	default:
		return time.Time{}
	}
}
