package scheduler

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// wholeWorkers counts the workers without gangs and claims.
func (harness *harness) wholeWorkers() int {
	count := 0
	for _, machine := range harness.core.workers {
		if machine.free == machine.capacity {
			count++
		}
	}
	return count
}

// TestHalfUsedWorkersAreEmptied guards against free accelerators that stay in pieces which no member of a large shape
// can use, after the ends of small gangs have left every worker half used.
func TestHalfUsedWorkersAreEmptied(t *testing.T) {
	harness := newHalfFreeHarness(t, preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal))
	if got := harness.wholeWorkers(); got != 2 {
		t.Errorf("%d whole workers, want 2: four gangs of 4 accelerators fit on two workers of 8", got)
	}
	if harness.evictions != 2 || len(harness.gangs) != 4 {
		t.Errorf("%d evictions and %d gangs, want 2 moves and 4 gangs", harness.evictions, len(harness.gangs))
	}
}

// TestMoveContinuesOnItsDestination guards against a moved job that queues behind waiting jobs, which would make its
// caller pay for the whole worker that others get.
func TestMoveContinuesOnItsDestination(t *testing.T) {
	small := preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal)
	harness := newHarness(t, machines(2, 2, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil}))
	var keys []fleet.JobKey
	for range 3 {
		keys = append(keys, harness.submit("reed", "caller", small, time.Hour))
		harness.decide()
	}
	harness.advance(10 * time.Minute)
	harness.end(keys[0], EndCompleted)
	harness.decide()
	for range 20 {
		harness.submit("reed", "other", preemptible("whole", shape(1, 8, fleet.AdjacencyWorker), profile.UrgencyNormal),
			time.Hour)
	}
	harness.advance(3 * time.Second)
	for _, key := range keys[1:] {
		if harness.gangs[key] == nil {
			t.Errorf("%s does not run: %v", key, harness.core.Explain(key))
		}
	}
	if harness.evictions != 1 || len(harness.gangs) != 3 {
		t.Errorf("%d evictions and %d gangs, want 1 move, and one whole job beside the small ones", harness.evictions,
			len(harness.gangs))
	}
}

// TestConsolidationLosesNoWork guards against work that is thrown away to empty a worker: of gangs that cannot
// checkpoint, must not run twice, or do not save their checkpoint in time.
func TestConsolidationLosesNoWork(t *testing.T) {
	half := func(change func(*profile.Profile)) profile.Profile {
		small := preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal)
		change(&small)
		return small
	}
	for name, small := range map[string]profile.Profile{
		"no checkpoint":  half(func(small *profile.Profile) { small.Checkpoint = false }),
		"not idempotent": half(func(small *profile.Profile) { small.Idempotent = false }),
		"urgent":         half(func(small *profile.Profile) { small.Urgency = profile.UrgencyUrgent }),
	} {
		if harness := newHalfFreeHarness(t, small); harness.evictions != 0 {
			t.Errorf("%s: %d evictions, want 0", name, harness.evictions)
		}
	}
	harness := newHarness(t, machines(2, 2, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil}))
	harness.checkpointTime = 10 * time.Hour
	var keys []fleet.JobKey
	for range 3 {
		keys = append(keys, harness.submit("reed", "caller", half(func(*profile.Profile) {}), 5*time.Hour))
		harness.decide()
	}
	harness.end(keys[0], EndCompleted)
	harness.decide()
	harness.advance(time.Hour)
	for _, key := range keys[1:] {
		if gang := harness.gangs[key]; gang == nil || gang.place.Attempt != 1 {
			t.Errorf("%s was stopped because it ignored a checkpoint: %v", key, harness.core.Explain(key))
		}
	}
	if harness.evictions != 2 {
		t.Errorf("%d evictions, want 2: each gang is asked once for a checkpoint, and none is stopped", harness.evictions)
	}
	for _, machine := range harness.core.workers {
		if machine.kept != (resources{}) || machine.evicting != (resources{}) {
			t.Errorf("%s keeps %v and expects %v of moves that did not happen", machine.ID, machine.kept, machine.evicting)
		}
	}
}

// TestReclaimTakesKeptAccelerators guards against a guarantee that cannot be reclaimed until a move to its accelerators
// has ended.
func TestReclaimTakesKeptAccelerators(t *testing.T) {
	whole := shape(1, 8, fleet.AdjacencyWorker)
	harness := newHarness(t, machines(2, 2, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{
		"reed": {{Count: 2, Shape: whole}}, "valve": nil,
	}))
	small := preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal)
	var keys []fleet.JobKey
	for range 3 {
		keys = append(keys, harness.submit("valve", "caller", small, time.Hour))
		harness.decide()
	}
	harness.advance(10 * time.Minute)
	harness.end(keys[0], EndCompleted)
	harness.decide()
	if harness.evictions != 1 {
		t.Fatalf("%d evictions, want 1 move", harness.evictions)
	}
	for range 2 {
		key := harness.submit("reed", "caller", preemptible("urgent", whole, profile.UrgencyUrgent), time.Minute)
		harness.decide()
		if job := harness.core.jobs[key]; job.phase != phaseClaiming {
			t.Errorf("%s has no claim: %v", key, harness.core.Explain(key))
		}
	}
}
