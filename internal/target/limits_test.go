package target

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// runLoad starts atOnce concurrent callers at each of the given number of processes. Each caller sends perCaller
// requests, one after the other. runLoad returns the number of requests for each outcome.
func (cluster *cluster) runLoad(processes, atOnce, perCaller int, name, body string) map[callerv1.Outcome]int {
	var mu sync.Mutex
	outcomes := map[callerv1.Outcome]int{}
	var refusals []string
	var callers sync.WaitGroup
	for i := range processes * atOnce {
		callers.Go(func() {
			for n := range perCaller {
				ctx, cancel := context.WithTimeout(context.Background(), 4*testRequestTime)
				got := cluster.call(ctx, i%processes,
					newCall(fmt.Sprintf("%s-%d-%d-%d", name, time.Now().UnixNano(), i, n), name, body))
				cancel()
				mu.Lock()
				outcomes[got.GetOutcome()]++
				if got.GetOutcome() == notRun && len(refusals) < 10 {
					refusals = append(refusals, got.GetKind()+": "+got.GetReason())
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	cluster.t.Logf("first refusals: %q", refusals)
	return outcomes
}

// limitViolations returns a description of every target whose limits were exceeded.
func (cluster *cluster) limitViolations() (violations []string) {
	for _, target := range cluster.targets {
		usage := cluster.record.Usage(target.ID)
		if usage.HighestSlots > target.Slots || usage.HighestConnections > target.Connections ||
			usage.RefusedSlots+usage.RefusedConnections > 0 {
			violations = append(violations, fmt.Sprintf("%s: limits exceeded: %+v", target.ID, usage))
		}
	}
	return violations
}

func (cluster *cluster) checkLimits() {
	cluster.t.Helper()
	for _, violation := range cluster.limitViolations() {
		cluster.t.Error(violation)
	}
}

// Guards against more slots or connections in use than a target has while the processes have different views of the
// cluster: two processes have no seat, all processes see free slots at all peers, one process is replaced, callers
// leave, responses are lost, and connections become silent.
func TestLimitsHoldWhileViewsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var count atomic.Int64
		cluster := newCluster(t, testSeats+2, 3, func(cluster *cluster) {
			cluster.alwaysReportFree = true
			for _, target := range cluster.targets {
				target.Fault = func(string) standin.Fault {
					if kind := standin.Fault(count.Add(1) % 100); kind <= standin.FaultReset {
						return kind
					}
					return standin.FaultNone
				}
			}
		})
		defer cluster.stop()
		var failures sync.WaitGroup
		failures.Go(func() {
			for round := range 6 {
				time.Sleep(time.Second)
				cluster.targets[round%3].Silence(round)
				if round == 2 {
					cluster.replace(1)
				}
				cluster.setInventory(cluster.allTargets()[round%2:])
			}
		})
		outcomes := cluster.runLoad(testSeats+2, 10, 20, "read", `{"sleep_ms": 100}`)
		failures.Wait()
		cluster.checkLimits()
		if outcomes[completed] < 900 {
			t.Errorf("only %d of 1800 requests completed: %v", outcomes[completed], outcomes)
		}
	})
}

// Guards against requests that wait while slots at peers are free, in a process with a seat and in one without.
func TestRequestsReachFreeSlotsOfPeers(t *testing.T) {
	for _, process := range []int{0, testSeats} {
		t.Run(fmt.Sprint(process), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, testSeats+1, 2, nil)
				defer cluster.stop()
				var callers sync.WaitGroup
				for i := range 16 {
					callers.Go(func() {
						got := cluster.call(context.Background(), process,
							newCall(fmt.Sprint(i), "read", `{"sleep_ms": 500}`))
						if got.GetOutcome() != completed {
							t.Errorf("%v", got)
						}
					})
				}
				time.Sleep(450 * time.Millisecond)
				if begun := cluster.record.Begun(); begun != 16 {
					t.Errorf("%d of 16 requests began on 16 slots", begun)
				}
				callers.Wait()
				cluster.checkLimits()
			})
		})
	}
}

// Guards against a request that begins on a target more than 3 s after the target began to leave, and against a request
// that is interrupted because its target leaves. Either the target itself or the platform's list announces that the
// target will leave.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	for _, announce := range []bool{false, true} {
		t.Run(fmt.Sprintf("announced %v", announce), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, testSeats, 2, func(cluster *cluster) {
					cluster.targets[0].Announce = announce
				})
				defer cluster.stop()
				go func() {
					time.Sleep(time.Second)
					cluster.targets[0].Leave()
					if !announce {
						listed := cluster.allTargets()
						listed[0].Leaving = true
						cluster.setInventory(listed)
					}
				}()
				outcomes := cluster.runLoad(testSeats, 2, 40, "write", `{"sleep_ms": 150}`)
				if outcomes[completed] != testSeats*2*40 {
					t.Errorf("got outcomes %v, want all completed", outcomes)
				}
				if last := cluster.record.Usage(cluster.targets[0].ID).LastBeginAfterLeaving; last > 3*time.Second {
					t.Errorf("last request began %v after the target began to leave, want at most 3 s", last)
				}
			})
		})
	}
}

// Guards against a silent connection that is still used after 5 s or is never replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, testSeats, 1, nil)
		defer cluster.stop()
		time.Sleep(time.Second)
		before := cluster.record.Usage(cluster.targets[0].ID)
		silenced := cluster.targets[0].Silence(100)
		if silenced != testSeats || before.Connections != testSeats {
			t.Fatalf("%d of %d connections silenced, want one of each process", silenced, before.Connections)
		}
		time.Sleep(5 * time.Second)
		outcomes := cluster.runLoad(testSeats, 1, 3, "write", "x")
		if outcomes[completed] != 3*testSeats {
			t.Errorf("got outcomes %v 5 s after the silence, want all completed", outcomes)
		}
		if opened := cluster.record.Usage(cluster.targets[0].ID).AcceptedConnections; opened != 2*testSeats {
			t.Errorf("%d connections opened, want %d", opened, 2*testSeats)
		}
		cluster.checkLimits()
	})
}

// Guards against retries that multiply the load when every attempt fails. A request that is not idempotent can pass
// through two processes, and only one of them may count it towards its retry budget.
func TestRetryBudget(t *testing.T) {
	tests := []struct {
		broken  standin.Fault
		profile string
	}{
		{standin.FaultRefused, "read"}, {standin.FaultTruncated, "read"}, {standin.FaultReset, "read"},
		{standin.FaultRefused, "write"},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.broken, test.profile), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts atomic.Int64
				cluster := newCluster(t, testSeats, 20, func(cluster *cluster) {
					for _, target := range cluster.targets {
						target.Fault = func(string) standin.Fault { attempts.Add(1); return test.broken }
					}
				})
				defer cluster.stop()
				const requests = testSeats * 100
				outcomes := cluster.runLoad(testSeats, 1, 100, test.profile, "x")
				if got := attempts.Load(); got > requests*11/10 {
					t.Errorf("%d attempts for %d requests, want at most 1.1 per request", got, requests)
				}
				if outcomes[completed] != 0 || test.broken != standin.FaultRefused && outcomes[unknown] == 0 {
					t.Errorf("got outcomes %v, want none completed, and some unknown unless targets refuse", outcomes)
				}
				saved := 0.0
				for _, process := range cluster.processes {
					saved += process.budget.balance()
				}
				if granted := float64(attempts.Load()-requests) + saved; granted > requests*retryRatio+0.01 {
					t.Errorf("%.1f retries made or left in the budgets of %d requests, want at most 0.1 per request",
						granted, requests)
				}
			})
		})
	}
}

// Guards against requests that go to another data centre while the nearest has free slots, or that wait for the nearest
// although it is full and another has free slots.
func TestNearestDataCentreFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 4, nil)
		defer cluster.stop()
		// These requests advance the rotation among equally used targets to a target in the other data centre.
		for i := range 2 {
			cluster.call(context.Background(), 0, newCall(fmt.Sprintf("first-%d", i), "read", "x"))
		}
		near := 0
		for _, target := range cluster.allTargets() {
			if target.DataCentre == "ngara" {
				near += shareOf(target, peer.RankSeats(string(target.ID), testSeats), 0).slots
			}
		}
		for i := range near + 1 {
			go cluster.call(context.Background(), 0, newCall(fmt.Sprint(i), "read", `{"sleep_ms": 300}`))
			time.Sleep(time.Millisecond)
			far := cluster.record.Usage("target-1").Slots + cluster.record.Usage("target-3").Slots
			if want := max(i+1-near, 0); far != want {
				t.Errorf("%d requests: %d in the other data centre, want %d", i+1, far, want)
			}
		}
	})
}

// Guards against shares of seats that overlap or that leave slots of a target without an owner.
func TestSharesAddUp(t *testing.T) {
	tests := []struct{ slots, connections, usable int }{{8, 60, 8}, {3, 60, 3}, {8, 4, 8}, {0, 60, 0}, {20, 7, 20}}
	for _, test := range tests {
		target := fleet.Target{ID: "target-1", Slots: test.slots, Connections: test.connections}
		ranked := peer.RankSeats(string(target.ID), testSeats)
		var slots, connections int
		for seat := range ranked {
			own := shareOf(target, ranked, ranked[seat])
			slots += own.slots
			connections += own.connections
			if own.slots > 0 && own.connections == 0 {
				t.Errorf("%+v: seat %d has slots and no connection", test, seat)
			}
		}
		if slots != test.usable || connections != test.connections {
			t.Errorf("%+v: shares add up to %d slots, %d connections", test, slots, connections)
		}
	}
}

func newWaiter(organisation fleet.OrganisationID, caller fleet.CallerID) *waiter {
	return &waiter{
		task:    &task{organisation: organisation, caller: caller, profile: &profile.Profile{}},
		granted: make(chan grant, 1),
	}
}

// Guards against a large organisation or caller that delays a small one, and against a flood of requests from one
// caller that evicts the requests of other callers when the queue is full.
func TestFairQueue(t *testing.T) {
	queue := newFairQueue(100)
	for range 90 {
		queue.push(newWaiter("large", "a"))
	}
	for range 5 {
		queue.push(newWaiter("large", "b"))
		queue.push(newWaiter("small", "a"))
	}
	if evicted := queue.push(newWaiter("small", "b")); evicted == nil ||
		evicted.task.organisation != "large" || evicted.task.caller != "a" {
		t.Errorf("evicted %+v, want a request of the largest caller", evicted)
	}
	flood := newWaiter("large", "a")
	if evicted := queue.push(flood); evicted != flood {
		t.Errorf("the newest request of the largest caller evicted %+v, want itself", evicted.task)
	}
	served := map[string]int{}
	for range 12 {
		next := queue.pop().task
		served[string(next.organisation)+"/"+string(next.caller)]++
	}
	want := map[string]int{"large/a": 3, "large/b": 3, "small/a": 5, "small/b": 1}
	for key, count := range want {
		if served[key] != count {
			t.Errorf("first 12 served: %v, want %v", served, want)
		}
	}
	for queue.pop() != nil {
		continue
	}
	if queue.total != 0 || len(queue.organisations)+len(queue.profiles) != 0 {
		t.Errorf("empty queue holds %d requests, organisations %v", queue.total, queue.organisations)
	}
}
