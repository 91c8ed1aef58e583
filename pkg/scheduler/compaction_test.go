package scheduler

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// newHalfFreeHarness fills 4 workers with pairs of small jobs and ends one job of each pair, so that every worker is
// half free. It returns the harness an hour later.
func newHalfFreeHarness(t *testing.T, small profile.Profile) *harness {
	harness := newHarness(t, machines(4, 4, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil}))
	var keys []fleet.JobKey
	for range 8 {
		keys = append(keys, harness.submit("reed", "caller", small, 10*time.Hour))
		harness.decide()
	}
	for i := 0; i < 8; i += 2 {
		harness.end(keys[i], EndCompleted)
	}
	harness.decide()
	harness.advance(time.Hour)
	return harness
}

// TestCompactionFreesWorkersByCheckpoint guards against a large job that waits although enough accelerators are free in
// total. They are fragmented: each worker is half free, and the job needs two whole workers. The small gangs have two
// members, so that they are not moved before the job arrives.
func TestCompactionFreesWorkersByCheckpoint(t *testing.T) {
	harness := newHalfFreeHarness(t, preemptible("small", shape(2, 2, fleet.AdjacencyWorker), profile.UrgencyNormal))
	large := harness.submit("reed", "other",
		preemptible("large", shape(2, 8, fleet.AdjacencyRack), profile.UrgencyNormal), time.Hour)
	harness.decide()
	harness.advance(30 * time.Second)
	if _, ok := harness.firstStart[large]; !ok {
		t.Errorf("not started after 30 s: %v", harness.core.Explain(large))
	}
	if harness.evictions != 2 || len(harness.gangs) != 5 {
		t.Errorf("%d evictions and %d gangs, want 2 moved jobs and 5 gangs", harness.evictions, len(harness.gangs))
	}
}

// TestCompactionSparesWorkThatWouldBeLost guards against moving work whose loss exceeds the gain. The small jobs have
// run for an hour and cannot checkpoint, while the large job has waited for a minute at most.
func TestCompactionSparesWorkThatWouldBeLost(t *testing.T) {
	small := preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal)
	small.Checkpoint = false
	harness := newHalfFreeHarness(t, small)
	harness.submit("reed", "other",
		preemptible("large", shape(2, 8, fleet.AdjacencyRack), profile.UrgencyNormal), time.Hour)
	harness.decide()
	harness.advance(time.Minute)
	if harness.evictions != 0 {
		t.Errorf("%d evictions lose an hour each for a job that waited a minute, want 0", harness.evictions)
	}
}

// TestStarvingJobGetsAReservation guards against a large job that starves behind a stream of small jobs that cannot be
// preempted. Without a reservation, each small job that ends is replaced by another before a whole worker is free.
func TestStarvingJobGetsAReservation(t *testing.T) {
	harness := newHarness(t, machines(4, 4, 1),
		configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil, "valve": nil}))
	small := pinned("small", shape(1, 4, fleet.AdjacencyWorker))
	for range 8 {
		harness.submit("valve", "caller", small, time.Minute)
		harness.decide()
		harness.advance(7 * time.Second)
	}
	large := harness.submit("reed", "caller", pinned("large", shape(2, 8, fleet.AdjacencyRack)), time.Minute)
	for range 170 {
		if _, ok := harness.firstStart[large]; ok {
			return
		}
		harness.submit("valve", "caller", small, time.Minute)
		harness.submit("valve", "caller", small, time.Minute)
		harness.decide()
		harness.advance(7 * time.Second)
	}
	t.Errorf("not started after 20 minutes of small jobs of a minute each: %v", harness.core.Explain(large))
}
