package worker

import (
	"context"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
)

// refusalNoLease is the refusal of a worker that has no active lease with the given id.
const refusalNoLease = "no_lease"

// StopGang stops every member and returns the final state of each. It waits until every member has ended or ctx is
// done. The response to a stop is no proof of an end. A member has ended when its worker lists it as ended or no longer
// lists it, or when the latest end of its lease has passed and the worker does not list it as active after that. Its
// state is UNSPECIFIED if the worker did not report one. The error is ctx.Err(), which is nil unless ctx is done.
func (manager *Manager) StopGang(ctx context.Context, members []Member) ([]workerv1.TaskState, error) {
	ends := make([]workerv1.TaskState, len(members))
	forEach(members, func(index int, member Member) bool {
		stopping := newStopping(manager, member)
		ends[index] = stopping.run(ctx)
		return true
	})
	return ends, ctx.Err()
}

// stopping is the stop of one member. It is sent again until the worker's listing shows the end of the lease.
type stopping struct {
	manager *Manager
	member  Member
	// endsBy is the latest time at which the lease ends. It never decreases.
	endsBy time.Time
	retry  retry
}

// newStopping ends the renewals of a member's lease and returns its stop.
func newStopping(manager *Manager, member Member) *stopping {
	endsBy, ok := manager.EndsBy(member.Worker, member.Lease)
	if !ok {
		endsBy = time.Now().Add(manager.Timing.MaxLeaseLifetime())
	}
	// From now on, no renewal may extend the lease.
	manager.TrackWithoutRenewal(member, endsBy)
	return &stopping{manager: manager, member: member, endsBy: endsBy, retry: newRetry(manager.Timing.FastSync)}
}

// run sends stops until the member has ended or ctx is done, and returns the final state of the member.
func (stopping *stopping) run(ctx context.Context) workerv1.TaskState {
	for ctx.Err() == nil {
		if state, ended := stopping.ended(); ended {
			return state
		}
		if stopping.retry.due() {
			stopping.request(ctx)
			continue
		}
		_ = lifecycle.Sleep(ctx, stopping.retry.pause/4)
	}
	return workerv1.TaskState_TASK_STATE_UNSPECIFIED
}

// request sends a stop. If the worker says that no task runs under the lease, fast syncs follow, because only the
// listing shows the end.
func (stopping *stopping) request(ctx context.Context) {
	manager, member := stopping.manager, stopping.member
	first := stopping.retry.sentAt.IsZero()
	stopping.retry.sent()
	var response *workerv1.CommandResponse
	err := manager.send(ctx, member.Worker, func(ctx context.Context, client Client, expires int64) (int64, error) {
		var err error
		response, err = client.Stop(ctx,
			&workerv1.CommandRequest{LeaseId: string(member.Lease), ExpiresWorkerMs: expires})
		return response.GetWorkerMs(), err
	})
	if response.GetDone() || response.GetRefusal() == refusalNoLease {
		manager.SyncFast(member.Worker, time.Now().Add(manager.Timing.SyncEvery))
		return
	}
	manager.count("worker_stops_refused", 1)
	if first {
		manager.Logger.Warn("stop not confirmed, sent again until the end is listed", "worker", member.Worker,
			"lease", member.Lease, "refusal", response.GetRefusal(), "error", err)
	}
}

// ended returns the final state of the member once it has ended.
func (stopping *stopping) ended() (workerv1.TaskState, bool) {
	const unreported = workerv1.TaskState_TASK_STATE_UNSPECIFIED
	manager, member := stopping.manager, stopping.member
	session, listed := manager.session(member.Worker)
	if !listed {
		return unreported, true
	}
	if endsBy, ok := session.endsBy(member.Lease); ok {
		stopping.endsBy = later(stopping.endsBy, endsBy)
	}
	expired := time.Now().After(stopping.endsBy)
	lease, known := session.lease(member.Lease)
	switch {
	case known && !lease.Active():
		return lease.State, true
	case known && session.reachable():
		return unreported, false
	case known:
		return unreported, expired
	default:
		stopped := !stopping.retry.sentAt.IsZero() && session.syncedSince(stopping.retry.sentAt)
		return unreported, stopped || expired
	}
}
