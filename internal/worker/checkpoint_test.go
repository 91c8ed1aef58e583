package worker

import (
	"context"
	"testing"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
)

const testGrace = 2 * time.Second

// TestCheckpointIsSentUntilListed guards against a gang that loses its work because a worker did not carry out one
// request for a checkpoint.
func TestCheckpointIsSentUntilListed(t *testing.T) {
	for name, fault := range standin.OrderFaults() {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 2, func(tested *testFleet) {
				gang := tested.start("j")
				worker := tested.workers["w0"]
				worker.SetFault(standin.OrderCheckpoint, fault)
				go tested.manager.Checkpoint(context.Background(), gang.Members, testGrace)
				time.Sleep(500 * time.Millisecond)
				worker.SetFault(standin.OrderCheckpoint, nil)
				time.Sleep(testGrace - 500*time.Millisecond)
				for _, run := range tested.record.Runs() {
					if run.State != workerv1.TaskState_TASK_STATE_CHECKPOINTED {
						t.Errorf("task on %s: %s after the grace period, want CHECKPOINTED", run.Worker, run.State)
					}
				}
			})
		})
	}
}

// TestCheckpointEndsWithTheGracePeriod guards against a flood of requests for checkpoints and against requests after
// the grace period.
func TestCheckpointEndsWithTheGracePeriod(t *testing.T) {
	for name, fault := range standin.OrderFaults() {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(tested *testFleet) {
				gang := tested.start("j")
				worker := tested.workers["w0"]
				worker.SetFault(standin.OrderCheckpoint, fault)
				tested.manager.Checkpoint(context.Background(), gang.Members, testGrace)
				time.Sleep(10 * time.Second)
				if sent := worker.Received(standin.OrderCheckpoint); sent > 5 {
					t.Errorf("%d requests, want at most 5", sent)
				}
				if run := tested.record.Runs()[0]; run.State == workerv1.TaskState_TASK_STATE_CHECKPOINTED {
					t.Errorf("the task saved its progress after the grace period")
				}
			})
		})
	}
}
