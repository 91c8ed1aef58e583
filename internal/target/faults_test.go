package target

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Guards against a slot that is used again while the run on it goes on: after its connection was cut, and after its
// process was replaced.
func TestSlotsOfRunsThatMayGoOn(t *testing.T) {
	failures := map[string]func(*cluster){
		"connections cut": func(cluster *cluster) { cluster.targets[0].CloseConnections() },
		"processes replaced": func(cluster *cluster) {
			for vm := range cluster.processes {
				cluster.replace(vm)
			}
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, testSeats, 1, nil)
				defer cluster.stop()
				var callers sync.WaitGroup
				for i := range 4 * testSeats {
					callers.Go(func() {
						cluster.call(context.Background(), i%testSeats, newCall(fmt.Sprint(i), "write", `{"sleep_ms": 1900}`))
					})
				}
				time.Sleep(100 * time.Millisecond)
				if used := cluster.record.Usage("target-0").Slots; used != cluster.targets[0].Slots {
					t.Fatalf("%d slots in use before the failure", used)
				}
				fail(cluster)
				outcomes := cluster.load(testSeats, 3, 3, "read", `{"sleep_ms": 100}`)
				callers.Wait()
				if outcomes[completed] == 0 {
					t.Errorf("slots never became free: %v", outcomes)
				}
				cluster.checkLimits()
			})
		})
	}
}

// Guards against "not run" after an earlier attempt that may have run, when the retry is refused.
func TestRefusedRetryDoesNotHideEarlierAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int64
		cluster := newCluster(t, testSeats, 2, func(cluster *cluster) {
			for _, target := range cluster.targets {
				target.Fault = func(id string) standin.Fault {
					if id != "reed/a" {
						return standin.FaultNone
					}
					if attempts.Add(1) == 1 {
						return standin.FaultReset
					}
					return standin.FaultRefused
				}
			}
		})
		defer cluster.stop()
		for i := range 40 {
			cluster.call(context.Background(), 0, newCall(fmt.Sprint(i), "read", "x"))
		}
		got := cluster.call(context.Background(), 0, newCall("a", "read", "x"))
		if got.GetOutcome() != unsure || attempts.Load() < 2 {
			t.Errorf("after %d attempts: %v", attempts.Load(), got)
		}
	})
}

// Guards against a request that is sent after its caller was told that it was not.
func TestWithdrawnTaskIsNeverSent(t *testing.T) {
	tests := map[string]struct {
		before  func(*task)
		notRun  bool
		commits bool
	}{
		"waiting":                  {func(*task) {}, true, false},
		"sent":                     {func(task *task) { task.commit() }, false, true},
		"sent and proven not run":  {func(task *task) { task.commit(); task.settle(true) }, true, false},
		"sent with unknown result": {func(task *task) { task.commit(); task.settle(false) }, false, true},
		"unknown, then not run": {func(task *task) {
			task.commit()
			task.settle(false)
			task.commit()
			task.settle(true)
		}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newTask("reed", newCall("a", "write", ""), &profile.Profile{}, time.Now())
			test.before(made)
			if got := made.abandon(); got != test.notRun {
				t.Errorf("abandon reports not run %v, want %v", got, test.notRun)
			}
			if got := made.commit(); got != test.commits {
				t.Errorf("commit after abandon = %v, want %v", got, test.commits)
			}
		})
	}
}

// Guards against request ids that are given up while a copy may still come, when the memory of the home is full; and
// against answers that grow without bound.
func TestLedgerBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := newLedger(10, 50)
		since := time.Now().Add(-time.Hour)
		begin := func(i int) (*record, *task, string) {
			made := newTask("reed", newCall(fmt.Sprint(i), "write", ""), &profile.Profile{}, time.Now())
			found, fresh, refusal := ledger.begin(made, since)
			if fresh {
				response := notRun(made.call, fault.New(fault.NoTarget, ""))
				if i < 10 {
					response = unknown(made.call, fault.AnswerLost, "")
					response.Outcome, response.Answer = completed, make([]byte, 10)
				}
				ledger.finish(found, response)
			}
			return found, made, refusal.GetKind()
		}
		for i := 20; i < 40; i++ {
			begin(i)
		}
		if records, _, _ := ledger.size(); records != 0 || ledger.byAge.Len() != 0 {
			t.Errorf("%d ids held of requests that did not run", records)
		}
		for i := range 10 {
			begin(i)
		}
		if _, _, kind := begin(10); kind != string(fault.QueueFull) {
			t.Errorf("eleventh id: kind %q", kind)
		}
		if _, _, held := ledger.size(); held > 50 {
			t.Errorf("%d bytes of answers held", held)
		}
		first, copied, _ := begin(0)
		if got := ledger.responseTo(copied.call, first); got.GetOutcome() != unsure {
			t.Errorf("copy whose answer is gone: %v", got)
		}
		last, copied, _ := begin(9)
		if got := ledger.responseTo(copied.call, last); got.GetOutcome() != completed {
			t.Errorf("copy whose answer is held: %v", got)
		}
		ledger.expire(time.Now().Add(historyTime))
		if records, _, _ := ledger.size(); records != 10 {
			t.Errorf("%d ids held after 10 minutes, want all: a copy may be on its way", records)
		}
		ledger.expire(time.Now().Add(historyTime + 3*clockSkew))
		if records, _, held := ledger.size(); records != 0 || held != 0 {
			t.Errorf("%d ids and %d bytes held for longer than needed", records, held)
		}
	})
}

// Guards against a stop that interrupts a request in flight or takes a new one, and against "not run" for a repeated
// request whose history the stopping process no longer consults.
func TestCloseFinishesRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, testSeats, 2, nil)
		defer cluster.stop()
		home := cluster.homeProcess("a")
		first := make(chan callerv1.Outcome, 1)
		go func() {
			first <- cluster.call(context.Background(), home, newCall("a", "write", `{"sleep_ms": 1000}`)).GetOutcome()
		}()
		time.Sleep(100 * time.Millisecond)
		closed := make(chan struct{})
		go func() { _ = cluster.process(home).Close(); close(closed) }()
		time.Sleep(100 * time.Millisecond)
		if got := cluster.call(context.Background(), home, newCall("b", "read", "x")); got.GetKind() != string(fault.Draining) {
			t.Errorf("new request during the stop: %v", got)
		}
		again := newCall("a", "write", "x")
		again.Resubmission = true
		for process := range cluster.processes {
			if got := cluster.call(context.Background(), process, again); got.GetOutcome() != unsure {
				t.Errorf("copy at %d during the stop: %v", process, got)
			}
		}
		select {
		case <-closed:
			t.Error("the stop did not wait for the request in flight")
		default:
		}
		if got := <-first; got != completed {
			t.Errorf("request in flight ended %v", got)
		}
		<-closed
		if begun := cluster.record.Begun(); begun != 1 {
			t.Errorf("%d runs, want 1", begun)
		}
	})
}
