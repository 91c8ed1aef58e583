package worker

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// renewalGroup renews the leases of a gang together. It limits how long an incomplete gang can run, even if the owner
// fails before it stops the gang: each member's lease ends at the latest TaskLease plus Margin after the last time at
// which all members were confirmed to be active or completed.
type renewalGroup struct {
	manager *Manager
	members []Member

	mutex sync.Mutex
	// checkedAt is the time at which lastConfirmed was computed. It is computed at most once per SyncEvery, because
	// each computation visits every member of the gang.
	checkedAt     time.Time
	lastConfirmed time.Time
}

// confirmedAt returns the latest time at which every member was confirmed to be active or completed. It is zero if a
// member has ended in another way or its worker is not listed.
func (group *renewalGroup) confirmedAt(now time.Time) time.Time {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if now.Sub(group.checkedAt) < group.manager.Timing.SyncEvery {
		return group.lastConfirmed
	}
	group.checkedAt = now
	group.lastConfirmed = now
	for _, member := range group.members {
		session, ok := group.manager.session(member.Worker)
		if !ok {
			group.lastConfirmed = time.Time{}
			break
		}
		if at := session.confirmedAt(member.Lease, now); at.Before(group.lastConfirmed) {
			group.lastConfirmed = at
		}
	}
	return group.lastConfirmed
}

// RenewGang starts to renew the leases of a gang. endsBy is the latest time at which the leases end if no renewal
// arrives.
func (manager *Manager) RenewGang(members []Member, endsBy time.Time) {
	group := &renewalGroup{manager: manager, members: members}
	for _, member := range members {
		if session, ok := manager.session(member.Worker); ok {
			session.track(member.Lease, endsBy, group)
		}
	}
	for _, member := range members {
		manager.requestSync(member.Worker)
	}
}

// TrackWithoutRenewal records the latest end of a lease and stops its renewals.
func (manager *Manager) TrackWithoutRenewal(member Member, endsBy time.Time) {
	if session, ok := manager.session(member.Worker); ok {
		session.track(member.Lease, endsBy, nil)
	}
}

// confirmedAt returns the last time at which a lease was confirmed to be active. It returns now if the task has
// completed, and the zero time if the lease has ended in another way or is missing. A lease that no sync has reported
// yet counts as confirmed at the time at which its renewals started.
func (session *session) confirmedAt(id fleet.LeaseID, now time.Time) time.Time {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	lease, known := session.leases[id]
	tracked, isTracked := session.tracked[id]
	switch {
	case known && lease.State == workerv1.TaskState_TASK_STATE_COMPLETED:
		return now
	case known && lease.Active():
		return session.lastSync
	case !known && isTracked && !tracked.missing:
		return tracked.renewedSince
	default:
		return time.Time{}
	}
}
