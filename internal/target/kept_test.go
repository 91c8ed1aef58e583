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
	keptTargets = 10
	keptCallers = 20
	keptWindow  = 10 * time.Second
	// minKept is the required part of the healthy requests for each remaining slot.
	minKept = 0.95
)

// saturate keeps more requests waiting than there are slots for a window of time and returns how many completed.
// Callers of a lost process spread over the others, as behind a load balancer.
func (cluster *cluster) saturate(window time.Duration) int {
	end := time.Now().Add(window)
	var mu sync.Mutex
	kept := 0
	var callers sync.WaitGroup
	for i := range testSeats * keptCallers {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				vm := (i + n) % testSeats
				if cluster.isDown(vm) {
					vm = (vm + 1 + n%(testSeats-1)) % testSeats
				}
				got := cluster.call(context.Background(), vm, newCall(fmt.Sprintf("%d-%d", i, n), "read", `{"sleep_ms": 200}`))
				if got.GetOutcome() == completed && time.Now().Before(end) {
					mu.Lock()
					kept++
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	return kept
}

// slotsOf returns the slots that a seat owns over all targets.
func (cluster *cluster) slotsOf(vm int) int {
	total := 0
	for _, target := range cluster.all() {
		total += shareOf(target, peer.RankSeats(string(target.ID), testSeats), cluster.process(vm).seat()).slots
	}
	return total
}

// Guards against failures that cost more requests than the slots that are lost with them.
func TestRequestsKept(t *testing.T) {
	failures := []struct {
		name string
		// fail makes the failure and returns the slots that are lost with it.
		fail func(*cluster) int
	}{
		{"healthy", func(*cluster) int { return 0 }},
		{"target lost", func(cluster *cluster) int { cluster.targets[0].Crash(); return cluster.targets[0].Slots }},
		{"VM lost", func(cluster *cluster) int {
			lost := cluster.slotsOf(3)
			cluster.setDown(3, true)
			cluster.process(3).end()
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
				cluster := newCluster(t, testSeats, keptTargets, nil)
				defer cluster.stop()
				time.Sleep(time.Second)
				go func() { _ = cluster.saturate(time.Second) }()
				time.Sleep(time.Second)
				remaining := keptTargets*8 - failure.fail(cluster)
				kept := cluster.saturate(keptWindow)
				perSlot := float64(kept) / float64(remaining)
				if failure.name == "healthy" {
					healthy = perSlot
				}
				t.Logf("%d requests on %d slots, %.3f of healthy per slot", kept, remaining, perSlot/healthy)
				if perSlot < minKept*healthy {
					t.Errorf("kept %.3f of healthy per remaining slot, want at least %.2f", perSlot/healthy, minKept)
				}
				cluster.checkLimits()
			})
		})
	}
}
