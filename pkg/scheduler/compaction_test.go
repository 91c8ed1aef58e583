package scheduler

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// scatter fills 4 workers with pairs of small jobs and ends one of each pair, so that every worker is half
// free. It returns a harness on which an hour has passed since.
func scatter(t *testing.T, small profile.Profile) *harness {
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

// Guards against a large job that waits while scattered accelerators would suffice for it.
func TestCompactionMakesRoomByCheckpoint(t *testing.T) {
	harness := scatter(t, preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal))
	large := harness.submit("reed", "other", preemptible("large", shape(2, 8, fleet.AdjacencyRack), profile.UrgencyNormal), time.Hour)
	harness.decide()
	harness.advance(30 * time.Second)
	if _, ok := harness.first[large]; !ok {
		t.Errorf("not started after 30 s: %v", harness.core.Explain(large))
	}
	if harness.evicts != 2 || len(harness.gangs) != 5 {
		t.Errorf("%d evictions and %d gangs, want 2 moved jobs and 5 gangs", harness.evicts, len(harness.gangs))
	}
}

// Guards against moving work whose loss exceeds the gain.
func TestCompactionSparesWorkThatWouldBeLost(t *testing.T) {
	small := preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal)
	small.Checkpoint = false
	harness := scatter(t, small)
	harness.submit("reed", "other", preemptible("large", shape(2, 8, fleet.AdjacencyRack), profile.UrgencyNormal), time.Hour)
	harness.decide()
	harness.advance(time.Minute)
	if harness.evicts != 0 {
		t.Errorf("%d evictions lose an hour each for a job that waited a minute, want 0", harness.evicts)
	}
}

// Guards against a large job that starves behind a stream of small work that cannot be preempted.
func TestStarvingJobGetsAReservation(t *testing.T) {
	harness := newHarness(t, machines(4, 4, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil, "valve": nil}))
	small := pinned("small", shape(1, 4, fleet.AdjacencyWorker))
	for range 8 {
		harness.submit("valve", "caller", small, time.Minute)
		harness.decide()
		harness.advance(7 * time.Second)
	}
	large := harness.submit("reed", "caller", pinned("large", shape(2, 8, fleet.AdjacencyRack)), time.Minute)
	for range 170 {
		if _, ok := harness.first[large]; ok {
			return
		}
		harness.submit("valve", "caller", small, time.Minute)
		harness.submit("valve", "caller", small, time.Minute)
		harness.decide()
		harness.advance(7 * time.Second)
	}
	t.Errorf("not started after 20 minutes of small jobs of a minute each: %v", harness.core.Explain(large))
}
