package target

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/peer"
)

const (
	throughputTargets = 10
	throughputCallers = 20
	throughputWindow  = 10 * time.Second
	// minThroughput is the required throughput per remaining slot after a failure, as a fraction of the throughput per
	// slot without a failure.
	minThroughput = 0.95
)

// saturate keeps more requests in progress than there are slots for the length of the window, and returns how many
// requests completed within the window. Callers of a lost process spread over the other processes, as behind a load
// balancer.
func (cluster *cluster) saturate(window time.Duration) int {
	end := time.Now().Add(window)
	var mu sync.Mutex
	count := 0
	var callers sync.WaitGroup
	for i := range testSeats * throughputCallers {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				vm := (i + n) % testSeats
				if cluster.isDown(vm) {
					vm = (vm + 1 + n%(testSeats-1)) % testSeats
				}
				got := cluster.call(context.Background(), vm,
					newCall(fmt.Sprintf("%d-%d", i, n), "read", `{"sleep_ms": 200}`))
				if got.GetOutcome() == completed && time.Now().Before(end) {
					mu.Lock()
					count++
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	return count
}

// slotsOf returns the number of slots that the seat of a VM owns over all targets.
func (cluster *cluster) slotsOf(vm int) int {
	total := 0
	for _, target := range cluster.allTargets() {
		total += shareOf(target, peer.RankSeats(string(target.ID), testSeats), cluster.process(vm).seat()).slots
	}
	return total
}

// Guards against a failure of a target, a VM or connections that lowers the throughput by a larger fraction than the
// fraction of slots lost in the failure.
func TestThroughputAfterFailures(t *testing.T) {
	failures := []struct {
		name string
		// fail causes the failure and returns the number of slots that are lost in it.
		fail func(*cluster) int
	}{
		{"healthy", func(*cluster) int { return 0 }},
		{"target lost", func(cluster *cluster) int { cluster.targets[0].Crash(); return cluster.targets[0].Slots }},
		{"VM lost", func(cluster *cluster) int {
			lost := cluster.slotsOf(3)
			cluster.setDown(3, true)
			cluster.process(3).kill()
			return lost
		}},
		{"a tenth of connections silent", func(cluster *cluster) int {
			for _, target := range cluster.targets[:testSeats] {
				target.Silence(1)
			}
			return 0
		}},
	}
	healthy := 0.0
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, testSeats, throughputTargets, nil)
				defer cluster.stop()
				time.Sleep(time.Second)
				go func() { _ = cluster.saturate(time.Second) }()
				time.Sleep(time.Second)
				remaining := throughputTargets*8 - failure.fail(cluster)
				count := cluster.saturate(throughputWindow)
				perSlot := float64(count) / float64(remaining)
				if failure.name == "healthy" {
					healthy = perSlot
				}
				t.Logf("%d requests on %d slots; throughput per slot is %.3f of that without a failure",
					count, remaining, perSlot/healthy)
				if perSlot < minThroughput*healthy {
					t.Errorf("throughput per remaining slot is %.3f of that without a failure, want at least %.2f",
						perSlot/healthy, minThroughput)
				}
				cluster.checkLimits()
			})
		})
	}
}
