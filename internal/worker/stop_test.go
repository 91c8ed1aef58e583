package worker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
)

// stopInBackground begins to stop a gang and returns a function that reports the states once the stop has returned.
func (tested *testFleet) stopInBackground(gang Gang) func() ([]workerv1.TaskState, bool) {
	done := make(chan []workerv1.TaskState, 1)
	go func() {
		states, _ := tested.manager.StopGang(tested.t.Context(), gang.Members)
		done <- states
	}()
	return func() ([]workerv1.TaskState, bool) {
		synctest.Wait()
		select {
		case states := <-done:
			return states, true
		default:
			return nil, false
		}
	}
}

// TestStopIsSentUntilListedAsEnded guards against a stop that counts as done while the worker still lists the run.
func TestStopIsSentUntilListedAsEnded(t *testing.T) {
	for name, fault := range standin.OrderFaults() {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(tested *testFleet) {
				worker := tested.workers["w0"]
				gang := tested.start("j")
				worker.SetFault(standin.OrderStop, fault)
				result := tested.stopInBackground(gang)
				time.Sleep(8 * time.Second)
				if _, returned := result(); returned {
					t.Errorf("the stop has returned while the task runs")
				}
				if sent := worker.Received(standin.OrderStop); sent < 3 || sent > 10 {
					t.Errorf("%d stops in 8 s, want 3 to 10", sent)
				}
				refused := metrics.GetOrRegisterCounter("worker_stops_refused", tested.manager.Metrics).Count()
				if confirmed := fault.Ignored || fault.Refusal == refusalNoLease; (refused > 0) == confirmed {
					t.Errorf("%d stops counted as refused", refused)
				}
				worker.SetFault(standin.OrderStop, nil)
				time.Sleep(4 * time.Second)
				states, returned := result()
				if !returned || states[0] != workerv1.TaskState_TASK_STATE_STOPPED || tested.running() != 0 {
					t.Errorf("4 s after the fault: returned %t, states %v, %d tasks run",
						returned, states, tested.running())
				}
			})
		})
	}
}

// TestRefusedStopEndsWithTheLease guards against the renewal of a lease whose task is to stop.
func TestRefusedStopEndsWithTheLease(t *testing.T) {
	for name, fault := range standin.OrderFaults() {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(tested *testFleet) {
				gang := tested.start("j")
				tested.workers["w0"].SetFault(standin.OrderStop, fault)
				result := tested.stopInBackground(gang)
				time.Sleep(tested.manager.Timing.MaxLeaseLifetime() + 2*time.Second)
				states, returned := result()
				if !returned || states[0] != workerv1.TaskState_TASK_STATE_LAPSED || tested.running() != 0 {
					t.Errorf("returned %t, states %v, %d tasks run; want LAPSED", returned, states, tested.running())
				}
			})
		})
	}
}

// TestStopAfterTheLeaseWhileListed guards against a run that counts as ended by its lease while its worker, whose clock
// stood still, lists it.
func TestStopAfterTheLeaseWhileListed(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		tested.manager.SetFleet(nil)
		stopped := time.Now()
		tested.workers["w0"] = standin.New(tested.machines[0], tested.record, standin.Settings{
			Now: func() time.Time { return stopped },
		})
		tested.workers["w0"].SetFault(standin.OrderStop, standin.OrderFaults()["refused_unavailable"])
		tested.manager.SetFleet(tested.machines)
		time.Sleep(time.Second)
		gang := tested.start("j")
		result := tested.stopInBackground(gang)
		time.Sleep(time.Minute)
		if _, returned := result(); returned {
			t.Errorf("the stop has returned while the worker lists the task as running")
		}
		tested.workers["w0"].SetFault(standin.OrderStop, nil)
		time.Sleep(4 * time.Second)
		if states, returned := result(); !returned || states[0] != workerv1.TaskState_TASK_STATE_STOPPED {
			t.Errorf("4 s after the fault: returned %t, states %v", returned, states)
		}
	})
}

// TestStopOfSilentWorker guards against a stop that waits for longer than the lease of a worker that does not respond.
func TestStopOfSilentWorker(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		gang := tested.start("j")
		tested.workers["w0"].Hang(true)
		defer tested.workers["w0"].Hang(false)
		result := tested.stopInBackground(gang)
		time.Sleep(10 * time.Second)
		if _, returned := result(); returned {
			t.Errorf("the stop has returned while the lease lasts")
		}
		time.Sleep(10 * time.Second)
		if states, returned := result(); !returned || states[0] != workerv1.TaskState_TASK_STATE_UNSPECIFIED {
			t.Errorf("after the lease: returned %t, states %v, want UNSPECIFIED", returned, states)
		}
	})
}

// TestStopAfterRestart guards against a stop that waits for a run of an earlier incarnation of its worker.
func TestStopAfterRestart(t *testing.T) {
	runFleet(t, 1, func(tested *testFleet) {
		gang := tested.start("j")
		tested.workers["w0"].Restart()
		result := tested.stopInBackground(gang)
		time.Sleep(2 * time.Second)
		if states, returned := result(); !returned || states[0] != workerv1.TaskState_TASK_STATE_UNSPECIFIED {
			t.Errorf("returned %t, states %v, want UNSPECIFIED", returned, states)
		}
	})
}
