package worker

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// renewalGroup renews the leases of a gang together. It limits how long an incomplete gang can run, even if the owner
// fails before it stops the gang: each member's lease ends at the latest TaskLease plus Margin after the last time at
// which all members were confirmed to be running or completed. The response to a start is no confirmation, so that a
// gang ends with its probation if a worker has confirmed a start that it did not carry out.
type renewalGroup struct {
	manager *Manager
	members []Member

	mutex sync.Mutex
	// checkedAt is the time at which lastConfirmed was computed. Once it is not zero, it is computed at most once per
	// SyncEvery, because each computation visits every member of the gang.
	checkedAt     time.Time
	lastConfirmed time.Time
}

// confirmedAt returns the latest time at which every member was confirmed to be running or completed. It is zero if a
// member has not been listed as running, has ended in another way or its worker is not listed.
func (group *renewalGroup) confirmedAt(now time.Time) time.Time {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !group.lastConfirmed.IsZero() && now.Sub(group.checkedAt) < group.manager.Timing.SyncEvery {
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

// confirmedAt returns the last time at which the worker listed the task of a lease as running. It returns now if the
// task has completed, and the zero time if it has not been listed or has ended in another way.
func (session *session) confirmedAt(id fleet.LeaseID, now time.Time) time.Time {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	switch session.leases[id].State {
	case workerv1.TaskState_TASK_STATE_COMPLETED:
		return now
	case workerv1.TaskState_TASK_STATE_RUNNING, workerv1.TaskState_TASK_STATE_CHECKPOINTING:
		return session.lastSync
	default:
		return time.Time{}
	}
}

// awaitsFirstRenewal reports whether a lease on probation is to be renewed. The caller holds the lock.
func (session *session) awaitsFirstRenewal(now time.Time) bool {
	for _, tracked := range session.tracked {
		if tracked.group != nil && !tracked.renewed && !tracked.missing &&
			now.Sub(tracked.renewedSince) < session.manager.Timing.Probation {
			return true
		}
	}
	return false
}
