package worker

import (
	"context"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Checkpoint asks every member to save its progress and end, until its worker lists that it does or grace has passed.
// The caller then stops the members that have not ended. Syncs with the workers follow at the interval FastSync for the
// duration grace, to detect the ends early.
func (manager *Manager) Checkpoint(ctx context.Context, members []Member, grace time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	forEach(members, func(_ int, member Member) bool {
		manager.SyncFast(member.Worker, time.Now().Add(grace))
		manager.checkpoint(ctx, member)
		return true
	})
}

func (manager *Manager) checkpoint(ctx context.Context, member Member) {
	retry := newRetry(manager.Timing.FastSync)
	for ctx.Err() == nil {
		lease, ok := manager.Lease(member.Worker, member.Lease)
		if ok && lease.State != workerv1.TaskState_TASK_STATE_RUNNING {
			return
		}
		if retry.due() {
			retry.sent()
			manager.requestCheckpoint(ctx, member.Worker, member.Lease)
		}
		_ = lifecycle.Sleep(ctx, retry.pause/4)
	}
}

func (manager *Manager) requestCheckpoint(ctx context.Context, worker fleet.WorkerID, lease fleet.LeaseID) {
	err := manager.send(ctx, worker, func(ctx context.Context, client Client, expires int64) (int64, error) {
		response, err := client.Checkpoint(ctx,
			&workerv1.CommandRequest{LeaseId: string(lease), ExpiresWorkerMs: expires})
		return response.GetWorkerMs(), err
	})
	if err == nil {
		manager.requestSync(worker)
	}
}
