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

// Guards against a slot that gets a new request while the previous run on it may continue. This can happen when the
// connection of the run is cut, and when the process that owns the slot is replaced by a new process, which has no
// record of the run.
func TestSlotStaysTakenWhileRunMayContinue(t *testing.T) {
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
						cluster.call(context.Background(), i%testSeats,
							newCall(fmt.Sprint(i), "write", `{"sleep_ms": 1900}`))
					})
				}
				time.Sleep(100 * time.Millisecond)
				if used := cluster.record.Usage("target-0").Slots; used != cluster.targets[0].Slots {
					t.Fatalf("%d slots in use before the failure, want all", used)
				}
				fail(cluster)
				outcomes := cluster.runLoad(testSeats, 3, 3, "read", `{"sleep_ms": 100}`)
				callers.Wait()
				if outcomes[completed] == 0 {
					t.Errorf("no request completed after the failure: outcomes %v", outcomes)
				}
				cluster.checkLimits()
			})
		})
	}
}

// Guards against the outcome "not run" for a request whose retry is refused after an earlier attempt that may have
// run.
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
		if got.GetOutcome() != unknown || attempts.Load() < 2 {
			t.Errorf("after %d attempts: got %v, want outcome unknown after at least 2", attempts.Load(), got)
		}
	})
}

// Guards against a request that is sent to a target after its caller got the outcome "not run", which means that the
// request did not run and will not run.
func TestWithdrawnTaskIsNeverSent(t *testing.T) {
	tests := map[string]struct {
		before func(*task)
		notRun bool
		starts bool
	}{
		"waiting":                  {func(*task) {}, true, false},
		"sent":                     {func(task *task) { task.startAttempt() }, false, true},
		"sent and proven not run":  {func(task *task) { task.startAttempt(); task.endAttempt(true) }, true, false},
		"sent with unknown result": {func(task *task) { task.startAttempt(); task.endAttempt(false) }, false, true},
		"unknown, then not run": {func(task *task) {
			task.startAttempt()
			task.endAttempt(false)
			task.startAttempt()
			task.endAttempt(true)
		}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newTask("reed", newCall("a", "write", ""), &profile.Profile{}, time.Now())
			test.before(made)
			if got := made.abandon(); got != test.notRun {
				t.Errorf("abandon = %v, want %v", got, test.notRun)
			}
			if got := made.startAttempt(); got != test.starts {
				t.Errorf("startAttempt after abandon = %v, want %v", got, test.starts)
			}
		})
	}
}

// Guards against an attempt for a caller whose context has ended while no goroutine has abandoned the task yet: the
// caller is told that the request did not run.
func TestNoAttemptOnceTheCallerHasLeft(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	made := newTask("reed", newCall("a", "write", ""), &profile.Profile{}, time.Now())
	made.callerErr = ctx.Err
	cancel()
	if made.startAttempt() {
		t.Error("an attempt starts although the caller has left")
	}
	if !made.isCallerGone() {
		t.Error("the caller does not count as gone")
	}
	if !made.abandon() {
		t.Error("the request counts as one that may have run")
	}
}

// The ledger is the history of request ids at their home. Guards against a full ledger that drops an id while a copy of
// the request may still arrive, because the copy would run a second time. Also guards against held answers of unbounded
// size.
func TestLedgerLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := newLedger(10, 50)
		since := time.Now().Add(-time.Hour)
		begin := func(i int) (*record, *task, string) {
			made := newTask("reed", newCall(fmt.Sprint(i), "write", ""), &profile.Profile{}, time.Now())
			found, fresh, refusal := ledger.begin(made, since)
			if fresh {
				response := notRunResponse(made.call, fault.New(fault.NoTarget, ""))
				if i < 10 {
					response = unknownResponse(made.call, fault.AnswerLost, "")
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
			t.Errorf("%d ids held of requests that did not run, want 0", records)
		}
		for i := range 10 {
			begin(i)
		}
		if _, _, kind := begin(10); kind != string(fault.QueueFull) {
			t.Errorf("eleventh id: got kind %q, want queue_full", kind)
		}
		if _, _, held := ledger.size(); held > 50 {
			t.Errorf("%d bytes of answers held, want at most 50", held)
		}
		first, copied, _ := begin(0)
		if got := ledger.responseTo(copied.call, first); got.GetOutcome() != unknown {
			t.Errorf("copy of a request whose answer was dropped: got %v, want outcome unknown", got)
		}
		last, copied, _ := begin(9)
		if got := ledger.responseTo(copied.call, last); got.GetOutcome() != completed {
			t.Errorf("copy of a request whose answer is held: got %v, want outcome completed", got)
		}
		ledger.expire(time.Now().Add(historyRetention))
		if records, _, _ := ledger.size(); records != 10 {
			t.Errorf("%d ids held after 10 minutes, want all 10, because a copy may still arrive", records)
		}
		ledger.expire(time.Now().Add(historyRetention + 3*maxClockSkew))
		if records, _, held := ledger.size(); records != 0 || held != 0 {
			t.Errorf("%d ids and %d bytes held after all expired, want none", records, held)
		}
	})
}

// Guards against a Close that interrupts a request in flight or accepts a new one, and against the outcome "not run"
// for a resubmission to a closing process, which no longer checks the history of the request id.
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
		if got := cluster.call(
			context.Background(), home, newCall("b", "read", "x"),
		); got.GetKind() != string(fault.Draining) {
			t.Errorf("new request during Close: got %v, want kind draining", got)
		}
		again := newCall("a", "write", "x")
		again.Resubmission = true
		for process := range cluster.processes {
			if got := cluster.call(context.Background(), process, again); got.GetOutcome() != unknown {
				t.Errorf("copy at process %d during Close: got %v, want outcome unknown", process, got)
			}
		}
		select {
		case <-closed:
			t.Error("Close returned before the request in flight ended")
		default:
		}
		if got := <-first; got != completed {
			t.Errorf("request in flight: got outcome %v, want completed", got)
		}
		<-closed
		if begun := cluster.record.Begun(); begun != 1 {
			t.Errorf("%d runs, want 1", begun)
		}
	})
}

// TestStatusCountsSentAttempts guards against the status of a request that waits for a slot and is said to have been
// attempted.
func TestStatusCountsSentAttempts(t *testing.T) {
	ledger := newLedger(10, 50)
	call := &callerv1.CallRequest{RequestId: "r", FirstSentUnixMs: time.Now().UnixMilli()}
	made := newTask("org", call, &profile.Profile{}, time.Now().Add(time.Minute))
	if _, fresh, _ := ledger.begin(made, time.Now().Add(-time.Hour)); !fresh {
		t.Fatal("the request is refused")
	}
	check := func(when string, want int32) {
		t.Helper()
		status := ledger.status(made.key)
		if status.Attempts != want || status.Outcome != callerv1.Outcome_OUTCOME_PENDING {
			t.Errorf("%s: %v, want %d attempts", when, status, want)
		}
	}
	check("waiting", 0)
	made.startAttempt()
	check("sent", 1)
	made.endAttempt(true)
	check("refused by the target", 0)
	made.startAttempt()
	made.endAttempt(false)
	check("may have run", 1)
}
