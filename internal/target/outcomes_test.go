package target

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/knownred"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	completed = callerv1.Outcome_OUTCOME_COMPLETED
	failed    = callerv1.Outcome_OUTCOME_FAILED
	notRun    = callerv1.Outcome_OUTCOME_NOT_RUN
	unknown   = callerv1.Outcome_OUTCOME_UNKNOWN
)

// Guards against an outcome that the table in section 2.6 of docs/design.md does not permit for an event on the wire.
func TestOutcomeMatchesTransportEvent(t *testing.T) {
	tests := map[string]struct {
		fault   standin.Fault
		body    string
		outcome callerv1.Outcome
		kind    fault.Kind
		begun   int
	}{
		"whole answer":     {standin.FaultNone, "hello", completed, "", 1},
		"empty answer":     {standin.FaultNone, "", completed, "", 1},
		"target failed":    {standin.FaultNone, `{"status": 422}`, failed, fault.TargetFailed, 1},
		"not begun":        {standin.FaultRefused, "hello", notRun, fault.NoTarget, 0},
		"crossed answer":   {standin.FaultCrossed, "hello", unknown, fault.AnswerLost, 1},
		"truncated":        {standin.FaultTruncated, "hello", unknown, fault.AnswerLost, 1},
		"reset":            {standin.FaultReset, "hello", unknown, fault.AnswerLost, 1},
		"late but in time": {standin.FaultLate, "hello", completed, "", 1},
		"never answered":   {standin.FaultNone, `{"sleep_ms": 5000}`, unknown, fault.AnswerLost, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, testSeats, 2, func(cluster *cluster) {
					for _, target := range cluster.targets {
						target.Fault = func(string) standin.Fault { return test.fault }
					}
				})
				defer cluster.stop()
				got := cluster.call(context.Background(), 0, newCall("a", "write", test.body))
				if got.GetOutcome() != test.outcome || got.GetKind() != string(test.kind) {
					t.Errorf("got %v, want %v, %s", got, test.outcome, test.kind)
				}
				if begun := cluster.record.Runs("reed/a").Begun; begun != test.begun {
					t.Errorf("ran %d times, want %d", begun, test.begun)
				}
				if (got.GetRetryAfterMs() > 0) != (test.outcome == notRun) {
					t.Errorf("retry_after_ms = %d", got.GetRetryAfterMs())
				}
			})
		})
	}
}

// Guards against the outcome "unknown" when the connection fails before the request is written, and against the outcome
// "not run" when the connection fails after the request is written.
func TestConnectionFailureBeforeAndAfterSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, testSeats, 1, nil)
		defer cluster.stop()
		time.Sleep(time.Second)
		responses := make(chan *callerv1.CallResponse, 1)
		go func() {
			responses <- cluster.call(context.Background(), 0, newCall("a", "write", `{"sleep_ms": 1000}`))
		}()
		time.Sleep(100 * time.Millisecond)
		cluster.targets[0].Crash()
		if got := <-responses; got.GetOutcome() != unknown {
			t.Errorf("request on a connection that was cut: got %v, want outcome unknown", got)
		}
		// This lets process 1 detect the end of its own connection before it sends request b.
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if got := cluster.call(ctx, 1, newCall("b", "write", "x")); got.GetOutcome() != notRun {
			t.Errorf("request without a connection: got %v, want outcome not run", got)
		}
		if begun := cluster.record.Runs("reed/b").Begun; begun != 0 {
			t.Errorf("request b ran %d times, want 0", begun)
		}
	})
}

// The home of a request id is the process that prevents a second run of the request. Guards against a home that runs a
// request a second time, or that reports a request as not run although its history of the request id is incomplete.
func TestHomeRules(t *testing.T) {
	old := func(call *callerv1.CallRequest, age time.Duration) *callerv1.CallRequest {
		call.FirstSentUnixMs = time.Now().Add(-age).UnixMilli()
		return call
	}
	again := func(call *callerv1.CallRequest) *callerv1.CallRequest {
		call.Resubmission = true
		return call
	}
	tests := map[string]struct {
		prepare func(cluster *cluster, home int)
		call    func() *callerv1.CallRequest
		outcome callerv1.Outcome
		kind    fault.Kind
		begun   int
	}{
		"first submission": {nil, func() *callerv1.CallRequest { return newCall("a", "write", "x") }, completed, "", 1},
		"resubmission that the home never saw": {
			nil, func() *callerv1.CallRequest { return again(newCall("a", "write", "x")) }, completed, "", 1,
		},
		"nine minutes old": {
			nil, func() *callerv1.CallRequest { return old(newCall("a", "write", "x"), 9*time.Minute) },
			completed, "", 1,
		},
		"older than 10 minutes": {
			nil, func() *callerv1.CallRequest { return old(newCall("a", "write", "x"), 11*time.Minute) },
			unknown, fault.HistoryLost, 0,
		},
		"first sent ahead of the clock": {
			nil, func() *callerv1.CallRequest { return old(newCall("a", "write", "x"), -3*time.Second) },
			notRun, fault.InvalidArgument, 0,
		},
		"first sent before the home took its seat": {
			func(cluster *cluster, home int) { cluster.replace(home) },
			func() *callerv1.CallRequest { return again(old(newCall("a", "write", "x"), time.Minute)) },
			unknown, fault.HistoryLost, 0,
		},
		"first sent within the clock skew of the seat": {
			func(cluster *cluster, home int) { cluster.replace(home); time.Sleep(time.Second) },
			func() *callerv1.CallRequest { return newCall("a", "write", "x") }, unknown, fault.HistoryLost, 0,
		},
		"first sent after the home took its seat": {
			func(cluster *cluster, home int) { cluster.replace(home); time.Sleep(3 * time.Second) },
			func() *callerv1.CallRequest { return newCall("a", "write", "x") }, completed, "", 1,
		},
		"home lost, first submission": {
			func(cluster *cluster, home int) { cluster.setDown(home, true) },
			func() *callerv1.CallRequest { return newCall("a", "write", "x") }, notRun, fault.HomeUnavailable, 0,
		},
		"home lost, resubmission": {
			func(cluster *cluster, home int) { cluster.setDown(home, true) },
			func() *callerv1.CallRequest { return again(newCall("a", "write", "x")) }, unknown, fault.HistoryLost, 0,
		},
		"answer of the home lost": {
			func(cluster *cluster, home int) { cluster.setDropsResponses(home, true) },
			func() *callerv1.CallRequest { return newCall("a", "write", "x") }, unknown, fault.AnswerLost, 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, testSeats, 2, nil)
				defer cluster.stop()
				home := cluster.homeProcess("a")
				if test.prepare != nil {
					test.prepare(cluster, home)
				}
				got := cluster.call(context.Background(), (home+1)%testSeats, test.call())
				if got.GetOutcome() != test.outcome || got.GetKind() != string(test.kind) {
					t.Errorf("got %v, want %v %q", got, test.outcome, test.kind)
				}
				synctest.Wait()
				if begun := cluster.record.Runs("reed/a").Begun; begun != test.begun {
					t.Errorf("ran %d times, want %d", begun, test.begun)
				}
			})
		})
	}
}

// Guards against copies of a request at several processes that run a second time or do not get the answer of the first
// run, and against a home that drops a request id while a copy of the request is still young enough to be accepted.
func TestDuplicatesGetTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, testSeats, 2, nil)
		defer cluster.stop()
		call := newCall("a", "write", `{"sleep_ms": 500, "answer": "done"}`)
		responses := make(chan *callerv1.CallResponse, 10)
		for process := range testSeats {
			go func() { responses <- cluster.call(context.Background(), process, call) }()
		}
		for range testSeats {
			if got := <-responses; got.GetOutcome() != completed || string(got.GetAnswer()) != "done" {
				t.Errorf("copy: got %v, want outcome completed with the first answer", got)
			}
		}
		for _, wait := range []time.Duration{time.Minute, 8 * time.Minute, 2 * time.Minute} {
			time.Sleep(wait)
			got := cluster.call(context.Background(), 0, &callerv1.CallRequest{
				RequestId: "a", Profile: "write", FirstSentUnixMs: call.GetFirstSentUnixMs(), Resubmission: true,
			})
			if got.GetOutcome() != completed && got.GetOutcome() != unknown {
				t.Errorf("copy after %v more: got %v, want outcome completed or unknown", wait, got)
			}
		}
		if begun := cluster.record.Runs("reed/a").Begun; begun != 1 {
			t.Errorf("ran %d times, want 1", begun)
		}
	})
}

// Guards against a wrong outcome for a caller that leaves, or whose deadline passes, at each step of a request.
func TestDeadlineAndCancellationAtEachStep(t *testing.T) {
	busy := func(cluster *cluster) {
		for i := range 16 {
			id := fmt.Sprintf("busy-%d", i)
			go cluster.call(context.Background(), i%testSeats, newCall(id, "read", `{"sleep_ms": 1500}`))
		}
		time.Sleep(200 * time.Millisecond)
	}
	tests := map[string]struct {
		prepare func(*cluster)
		wait    time.Duration
		outcome callerv1.Outcome
		begun   int
	}{
		"before it is sent": {nil, 0, notRun, 0},
		// The caller's wait ends 533 ms after the start, when no heartbeat or dispatch happens at the same time.
		"in the queue":          {busy, 333 * time.Millisecond, notRun, 0},
		"while it runs":         {nil, 300 * time.Millisecond, unknown, 1},
		"after its answer came": {nil, 5 * time.Second, completed, 1},
	}
	for name, test := range tests {
		for _, cancelled := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancelled %v", name, cancelled), func(t *testing.T) {
				knownred.SkipIfListed(t)
				synctest.Test(t, func(t *testing.T) {
					cluster := newCluster(t, testSeats, 2, nil)
					defer cluster.stop()
					if test.prepare != nil {
						test.prepare(cluster)
					}
					ctx, cancel := context.WithCancel(context.Background())
					if !cancelled {
						ctx, cancel = context.WithTimeout(context.Background(), test.wait)
					}
					defer cancel()
					timer := time.AfterFunc(test.wait, cancel)
					defer timer.Stop()
					if test.wait == 0 {
						cancel()
					}
					home := cluster.homeProcess("a")
					got := cluster.call(ctx, home, newCall("a", "write", `{"sleep_ms": 1000}`))
					if got.GetOutcome() != test.outcome {
						t.Errorf("got %v, want %v", got, test.outcome)
					}
					time.Sleep(2 * testRequestTime)
					if begun := cluster.record.Runs("reed/a").Begun; begun != test.begun {
						t.Errorf("ran %d times, want %d", begun, test.begun)
					}
				})
			})
		}
	}
}

// Guards against a status that differs from the outcome of the request or is visible to another organisation, and
// against a status other than unknown while the home cannot be reached.
func TestStatusFromAnyProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, testSeats, 2, nil)
		defer cluster.stop()
		for _, name := range []string{"read", "write"} {
			cluster.call(context.Background(), 2, newCall(name, name, "x"))
		}
		time.Sleep(time.Second)
		check := func(id fleet.RequestID, except int, want callerv1.Outcome) {
			for process, router := range cluster.processes {
				got, err := router.Status(context.Background(), "reed", id)
				if err != nil || got.GetOutcome() != want && process != except {
					t.Errorf("status of %s at process %d: got %v, %v; want %v", id, process, got, err, want)
				}
			}
		}
		check("read", -1, completed)
		check("write", -1, completed)
		if got, _ := cluster.processes[0].Status(context.Background(), "bands", "write"); got.GetOutcome() != unknown {
			t.Errorf("status for another organisation: got %v, want outcome unknown", got)
		}
		home := cluster.homeProcess("read")
		cluster.setDown(home, true)
		check("read", home, unknown)
	})
}
