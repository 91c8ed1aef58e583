package worker

import (
	"context"
	"slices"
	"testing"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
)

// TestAddressChangeKeepsRuns guards against leases that are no longer renewed, and against the report of a lost worker,
// once a worker has moved to another address.
func TestAddressChangeKeepsRuns(t *testing.T) {
	runFleet(t, 2, func(tested *testFleet) {
		gang := tested.start("j")
		tested.workers["moved"] = tested.workers["w0"]
		tested.silence("w0")
		tested.listAt(0, "moved")
		time.Sleep(20 * time.Second)
		if running := tested.running(); running != 2 {
			t.Errorf("%d tasks run 20 s after the change, want 2", running)
		}
		if tested.reported(func(report Report) bool { return report.Lost }) {
			t.Errorf("the worker is reported as lost")
		}
		time.Sleep(time.Minute)
		for _, member := range gang.Members {
			lease, _ := tested.manager.Lease(member.Worker, member.Lease)
			if lease.State != workerv1.TaskState_TASK_STATE_COMPLETED {
				t.Errorf("member on %s: %s, want COMPLETED", member.Worker, lease.State)
			}
		}
	})
}

// TestAddressChangeEndsSyncsAtOldAddress guards against a second stream of syncs once a worker has another address.
func TestAddressChangeEndsSyncsAtOldAddress(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		former := tested.workers["w0"]
		tested.addWorker(0, "moved")
		tested.listAt(0, "moved")
		time.Sleep(2 * time.Second)
		before := former.Received(standin.OrderSync)
		time.Sleep(20 * time.Second)
		if syncs := former.Received(standin.OrderSync) - before; syncs != 0 {
			t.Errorf("%d syncs at the old address in 20 s, want none", syncs)
		}
	})
}

// TestAddressChangeWithRestart guards against a run that counts as running although its worker has restarted at another
// address.
func TestAddressChangeWithRestart(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		gang := tested.start("j")
		tested.workers["w0"].Crash()
		tested.addWorker(0, "moved").Restart()
		tested.listAt(0, "moved")
		time.Sleep(3 * time.Second)
		gone := tested.reported(func(report Report) bool { return slices.Contains(report.Gone, gang.Members[0].Lease) })
		if !gone {
			t.Errorf("the lease is not reported as gone")
		}
	})
}

// TestAddressChangeEndsRenewalAtOldAddress guards against the renewal of runs at an address that is no longer listed.
func TestAddressChangeEndsRenewalAtOldAddress(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		tested.start("j")
		tested.addWorker(0, "moved").Restart()
		tested.listAt(0, "moved")
		time.Sleep(tested.manager.Timing.MaxLeaseLifetime())
		if running := tested.running(); running != 0 {
			t.Errorf("%d tasks run at the old address after their leases, want 0", running)
		}
	})
}

// TestNoCommandByTheClockOfAnotherAddress guards against expiries that are computed from the clock of the process at
// the former address.
func TestNoCommandByTheClockOfAnotherAddress(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		moved := tested.addWorker(0, "moved")
		moved.Hang(true)
		defer moved.Hang(false)
		tested.listAt(0, "moved")
		if result := tested.manager.StartGang(context.Background(), tested.gang("j")); len(result.Busy) != 1 {
			t.Errorf("result %+v, want the worker as busy", result)
		}
		if sent := moved.Received(standin.OrderReserve); sent != 0 {
			t.Errorf("%d reservations sent before the worker's clock was read, want 0", sent)
		}
	})
}

// TestNoRenewalWithoutExpiry guards against a renewal that is sent before the worker's clock is known, which has no
// expiry and extends a lease however late it is handled.
func TestNoRenewalWithoutExpiry(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		gang := tested.start("j")
		moved := tested.workers["w0"]
		time.Sleep(2 * time.Second)
		tested.silence("w0")
		time.Sleep(time.Second)
		moved.SetFault(standin.OrderSync, &standin.Fault{Delay: 8 * time.Second})
		moved.SetFault(standin.OrderStop, &standin.Fault{Refusal: "unavailable"})
		tested.workers["moved"] = moved
		tested.listAt(0, "moved")
		time.Sleep(1500 * time.Millisecond)
		tested.stopInBackground(gang)
		time.Sleep(tested.manager.Timing.MaxLeaseLifetime())
		if running := tested.running(); running != 0 {
			t.Errorf("%d tasks run after the latest end of their leases, want 0", running)
		}
	})
}
