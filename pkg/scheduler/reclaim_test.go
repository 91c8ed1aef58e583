package scheduler

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// TestReclaimSparesWorkThatIgnoredACheckpoint guards against a job that loses all of its progress again and again
// because it is taken for one that saves checkpoints, although it has ignored a request before.
func TestReclaimSparesWorkThatIgnoredACheckpoint(t *testing.T) {
	whole := shape(1, 8, fleet.AdjacencyWorker)
	harness := newHarness(t, machines(2, 2, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{
		"reed": {{Count: 1, Shape: whole}}, "valve": nil,
	}))
	harness.checkpointTime = time.Hour
	for range 2 {
		harness.submit("valve", "caller", preemptible("batch", whole, profile.UrgencyNormal), 10*time.Hour)
	}
	harness.decide()
	harness.advance(time.Minute)
	urgent := preemptible("urgent", whole, profile.UrgencyUrgent)
	harness.submit("reed", "caller", urgent, time.Minute)
	harness.decide()
	harness.advance(30 * time.Minute)
	var stopped []fleet.JobKey
	for key, gang := range harness.gangs {
		if gang.place.Attempt == 2 {
			stopped = append(stopped, key)
		}
	}
	if len(stopped) != 1 {
		t.Fatalf("%d jobs ignored a checkpoint and were restarted, want 1", len(stopped))
	}
	harness.checkpointTime = time.Second
	harness.submit("reed", "caller", urgent, time.Minute)
	harness.decide()
	harness.advance(10 * time.Second)
	if gang := harness.gangs[stopped[0]]; gang == nil || gang.place.Attempt != 2 {
		t.Errorf("%s, which ignored a checkpoint, was evicted again after 30 minutes, instead of the other job",
			stopped[0])
	}
}
