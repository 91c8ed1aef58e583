package worker

import (
	"context"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Guards against a renewal that arrives after its expiry time and still extends the lease: the task would then run on
// although its owner assumes that the lease has ended.
func TestExpiredRenewalHasNoEffect(t *testing.T) {
	now := time.Unix(1_000, 0)
	standin := New(fleet.Worker{ID: "w", Accelerators: 1}, NewRecord(), Settings{Now: func() time.Time { return now }})
	ctx := context.Background()
	reserved, err := standin.Reserve(ctx, &workerv1.ReserveRequest{
		LeaseId: "l", Accelerators: 1, TtlMs: 3_000, Label: &workerv1.LeaseLabel{GangMembers: 1}})
	if err != nil || !reserved.Granted {
		t.Fatalf("reserve: %v, %v", reserved, err)
	}
	input := Input{RunTimeMS: 60_000}
	if started, err := standin.Start(ctx, &workerv1.StartRequest{
		LeaseId: "l", TtlMs: 3_000, Input: input.Encode()}); err != nil || !started.Done {
		t.Fatalf("start: %v, %v", started, err)
	}
	state := func(sync *workerv1.SyncRequest) workerv1.TaskState {
		t.Helper()
		response, err := standin.Sync(ctx, sync)
		if err != nil || len(response.Leases) != 1 {
			t.Fatalf("sync: %v, %v", response, err)
		}
		return response.Leases[0].State
	}
	renewal := &workerv1.SyncRequest{Renew: []string{"l"}, TtlMs: 3_000, ExpiresWorkerMs: reserved.WorkerMs + 2_000}
	now = now.Add(1_900 * time.Millisecond)
	if got := state(renewal); got != workerv1.TaskState_TASK_STATE_RUNNING {
		t.Fatalf("state %s after a renewal before its expiry time, want RUNNING", got)
	}
	now = now.Add(200 * time.Millisecond)
	state(renewal)
	now = now.Add(2_900 * time.Millisecond)
	if got := state(&workerv1.SyncRequest{}); got != workerv1.TaskState_TASK_STATE_LAPSED {
		t.Errorf("state %s after a renewal past its expiry time, want LAPSED", got)
	}
}
