package worker

import (
	"testing"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
)

// TestNoRenewalBeforeListed guards against a part of a gang that runs for longer than its probation because a worker
// confirmed a start that it did not carry out.
func TestNoRenewalBeforeListed(t *testing.T) {
	runFleet(t, 2, func(tested *testFleet) {
		tested.workers["w0"].SetFault(standin.OrderStart, standin.OrderFaults()["confirmed_only"])
		tested.start("j")
		time.Sleep(tested.manager.Timing.MaxProbationLifetime() - 2*time.Second)
		if running := tested.running(); running != 0 {
			t.Errorf("%d tasks of an incomplete gang run after their probation, want 0", running)
		}
	})
}

// TestFirstRenewalDespiteLostSync guards against a gang that ends with its probation because a sync after its start was
// lost.
func TestFirstRenewalDespiteLostSync(t *testing.T) {
	runFleet(t, 2, func(tested *testFleet) {
		tested.workers["w0"].SetFault(standin.OrderSync, standin.OrderFaults()["late"])
		go func() {
			time.Sleep(900 * time.Millisecond)
			tested.workers["w0"].SetFault(standin.OrderSync, nil)
		}()
		tested.start("j")
		time.Sleep(8 * time.Second)
		if running := tested.running(); running != 2 {
			t.Errorf("%d tasks run after their probation, want 2", running)
		}
	})
}

// TestAcknowledgementIsRepeated guards against ended tasks that stay in the log of a worker because the sync that
// acknowledged them was not carried out.
func TestAcknowledgementIsRepeated(t *testing.T) {
	for _, name := range []string{"unavailable_503", "late"} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(tested *testFleet) {
				worker := tested.workers["w0"]
				gang := tested.start("j")
				if _, err := tested.manager.StopGang(tested.t.Context(), gang.Members); err != nil {
					t.Fatal(err)
				}
				worker.SetFault(standin.OrderSync, standin.OrderFaults()[name])
				tested.manager.Forget("w0", gang.Members[0].Lease)
				time.Sleep(5 * time.Second)
				worker.SetFault(standin.OrderSync, nil)
				time.Sleep(5 * time.Second)
				listing, err := worker.Sync(tested.t.Context(), &workerv1.SyncRequest{})
				if err != nil || len(listing.Leases) != 0 {
					t.Errorf("listed after the acknowledgement: %v, %v", listing, err)
				}
			})
		})
	}
}

// TestRunOfRemovedWorker guards against a run that is renewed or taken for a current one after its worker was no longer
// listed and then listed again.
func TestRunOfRemovedWorker(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		gang := tested.start("j")
		tested.manager.SetFleet(nil)
		states, err := tested.manager.StopGang(tested.t.Context(), gang.Members)
		if err != nil || states[0] != workerv1.TaskState_TASK_STATE_UNSPECIFIED {
			t.Errorf("states %v, %v, want UNSPECIFIED at once", states, err)
		}
		tested.manager.SetFleet(tested.machines)
		time.Sleep(time.Second)
		if lease, ok := tested.manager.Lease("w0", gang.Members[0].Lease); !ok || !lease.Active() {
			t.Fatalf("lease %v, want the run that is listed again", lease)
		}
		time.Sleep(tested.manager.Timing.MaxLeaseLifetime())
		if running := tested.running(); running != 0 {
			t.Errorf("%d tasks run after their leases, want 0", running)
		}
	})
}
