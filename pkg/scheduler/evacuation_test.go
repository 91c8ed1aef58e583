package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// evacuate applies a configuration in which exactly the given data centres are evacuated.
func (harness *harness) evacuate(ids ...fleet.DataCentreID) {
	next := *harness.core.config
	next.Revision++
	next.Evacuations = map[fleet.DataCentreID]profile.Evacuation{}
	for _, id := range ids {
		next.Evacuations[id] = profile.Evacuation{Since: harness.now, Revision: next.Revision}
	}
	harness.core.Apply(harness.now, ConfigChanged{&next})
	harness.decide()
}

// gangsIn returns the gangs that run in a data centre. It fails the test if one of them is only partly there.
func (harness *harness) gangsIn(id fleet.DataCentreID) []*runningGang {
	harness.t.Helper()
	var found []*runningGang
	for _, key := range harness.order {
		inside := 0
		for _, member := range harness.gangs[key].place.Members {
			if harness.workers[member.Worker].DataCentre == id {
				inside++
			}
		}
		if inside > 0 {
			found = append(found, harness.gangs[key])
		}
		if inside > 0 && inside < len(harness.gangs[key].place.Members) {
			harness.t.Fatalf("job %s runs only partly in %s", key, id)
		}
	}
	return found
}

// TestEvacuationMovesOnlyWhatLosesLittle guards against work that is started in an evacuated data centre, against moves
// of work that would be lost, ends soon or has no room elsewhere, and against a wrong reason in the list.
func TestEvacuationMovesOnlyWhatLosesLittle(t *testing.T) {
	gangShape := shape(2, 8, fleet.AdjacencyRack)
	once := pinned("once", gangShape)
	saving := preemptible("saving", gangShape, profile.UrgencyNormal)
	restarting := saving
	restarting.Checkpoint = false
	savingOnce := saving
	savingOnce.Idempotent = false
	tests := []struct {
		name     string
		profile  profile.Profile
		declared time.Duration
		// others is the number of jobs that run in the other data centre, which has room for four.
		others int
		moved  bool
		reason string
	}{
		{"saves checkpoints", saving, 0, 3, true, ""},
		{"longer than declared", saving, 5 * time.Second, 3, true, ""},
		{"no room elsewhere", saving, 0, 4, false, "waits for room elsewhere: 2 x 8"},
		{"ends soon", saving, 25 * time.Second, 0, false, "ends within 30s"},
		{"cannot be preempted", once, 0, 0, false, "cannot be preempted"},
		{"no checkpoints", restarting, 0, 0, false, "no checkpoints"},
		{"may not run twice", savingOnce, 0, 0, false, "may not run twice"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil})
			harness := newHarness(t, machines(16, 4, 2), config)
			harness.evacuate("centre-00")
			for range test.others {
				harness.submit("reed", "caller", once, time.Hour)
			}
			harness.decide()
			if len(harness.gangsIn("centre-00")) != 0 || len(harness.gangsIn("centre-01")) != test.others {
				t.Fatalf("%d jobs run in the evacuated data centre", len(harness.gangsIn("centre-00")))
			}
			harness.evacuate("centre-01")
			harness.advance(returnTime)
			key := harness.submit("reed", "caller", test.profile, time.Hour)
			harness.core.jobs[key].spec.DeclaredRunTime = test.declared
			harness.decide()
			harness.advance(10 * time.Second)
			harness.evacuate("centre-00")
			harness.advance(returnTime + 3*time.Second)
			if moved := len(harness.gangsIn("centre-00")) == 0; moved != test.moved || len(harness.gangs) != test.others+1 {
				t.Fatalf("moved: %t, want %t; %v", moved, test.moved, harness.core.Explain(key))
			}
			if test.moved && harness.remaining[key] == time.Hour {
				t.Error("the job was moved without its checkpoint")
			}
			work := harness.core.EvacuatedWork(harness.now)[0]
			if test.moved {
				if work.Jobs != 0 || work.Accelerators != 0 {
					t.Errorf("list of work after the move: %+v", work)
				}
				return
			}
			if harness.evictions > 0 || work.Jobs != 1 || work.Accelerators != 16 || work.Gangs[0].Workers != 2 ||
				!strings.Contains(work.Gangs[0].Reason, test.reason) {
				t.Errorf("%d evictions and list %+v, want none and the reason %q", harness.evictions, work, test.reason)
			}
		})
	}
}

// TestMovesShareTheRoomElsewhere guards against gangs that are evicted together for room that only some of them find,
// and against moves of more than maxMoving gangs at the same time.
func TestMovesShareTheRoomElsewhere(t *testing.T) {
	for _, test := range []struct{ occupied, moved int }{{12, 16}, {0, 64}} {
		config := configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil})
		harness := newHarness(t, machines(32, 4, 2), config)
		harness.evacuate("centre-01")
		for range 64 {
			small := preemptible("small", shape(1, 2, fleet.AdjacencyWorker), profile.UrgencyNormal)
			harness.submit("reed", "caller", small, time.Hour)
		}
		harness.decide()
		harness.evacuate()
		harness.advance(returnTime)
		for range test.occupied {
			harness.submit("reed", "caller", pinned("once", shape(1, 8, fleet.AdjacencyWorker)), time.Hour)
		}
		harness.decide()
		harness.evacuate("centre-00")
		if harness.evictions > maxMoving {
			t.Errorf("%d gangs are moved at the same time", harness.evictions)
		}
		harness.advance(30 * time.Second)
		if left := len(harness.gangsIn("centre-00")); harness.evictions != test.moved || left != 64-test.moved {
			t.Errorf("%d evictions, and %d gangs left; want %d evictions", harness.evictions, left, test.moved)
		}
		if waiting := harness.core.waitingJobs; waiting > 0 {
			t.Errorf("%d moved jobs wait", waiting)
		}
	}
}

// TestGuaranteesDuringEvacuation guards against a guarantee that is not met from the other data centres, against a job
// that is refused instead of waiting for the evacuated one, and against an explanation that does not name it.
func TestGuaranteesDuringEvacuation(t *testing.T) {
	gangShape := shape(4, 8, fleet.AdjacencyDataCentre)
	config := configure(map[fleet.OrganisationID][]profile.Guarantee{
		"reed": {{Count: 1, Shape: gangShape}}, "valve": {{Count: 1, Shape: shape(8, 8, fleet.AdjacencyDataCentre)}},
	})
	// centre-00 has 8 workers, centre-01 and centre-02 have 4 each.
	listed := machines(16, 4, 4)
	for i := range listed[:8] {
		listed[i].DataCentre = "centre-00"
	}
	harness := newHarness(t, listed, config)
	if shortfalls := harness.core.shortfalls(); len(shortfalls) != 0 {
		t.Fatalf("shortfalls before the evacuation: %v", shortfalls)
	}
	harness.evacuate("centre-00")
	shortfalls := harness.core.shortfalls()
	if len(shortfalls) != 1 || shortfalls[0].Organisation != "valve" {
		t.Errorf("shortfalls %v, want one of valve", shortfalls)
	}
	urgent := harness.submit("reed", "caller", preemptible("urgent", gangShape, profile.UrgencyUrgent), time.Minute)
	large := harness.submit("valve", "caller", pinned("large", shape(8, 8, fleet.AdjacencyDataCentre)), time.Minute)
	harness.decide()
	harness.advance(urgentStartLimit)
	if _, started := harness.firstStart[urgent]; !started {
		t.Errorf("guaranteed job did not start: %v", harness.core.Explain(urgent))
	}
	if _, ended := harness.ended[large]; ended || len(harness.gangsIn("centre-00")) > 0 {
		t.Fatalf("job that fits only in the evacuated data centre: %+v", harness.ended[large])
	}
	want := "data centre centre-00 is evacuated, and the job fits nowhere else"
	if lines := harness.core.Explain(large); !strings.Contains(lines[0], want) {
		t.Errorf("explanation %q does not contain %q", lines, want)
	}
	if lines := harness.core.ExplainOrganisation("valve"); !strings.Contains(strings.Join(lines, "\n"), "centre-00") {
		t.Errorf("explanation of the organisation %q does not name the data centre", lines)
	}
	harness.evacuate()
	harness.advance(returnTime)
	if _, started := harness.firstStart[large]; !started {
		t.Errorf("job did not start after the data centre was taken back: %v", harness.core.Explain(large))
	}
}

// TestReturnIsGradual guards against all waiting jobs starting at once in a data centre that was taken back, and
// against workers that return although the data centre was evacuated again.
func TestReturnIsGradual(t *testing.T) {
	whole := pinned("whole", shape(1, 8, fleet.AdjacencyWorker))
	harness := newHarness(t, machines(40, 4, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil}))
	harness.evacuate("centre-00")
	for range 40 {
		harness.submit("reed", "caller", whole, time.Hour)
	}
	harness.decide()
	harness.evacuate()
	for step := range 5 {
		if started := len(harness.gangs); started > 2*(step+1) {
			t.Errorf("%d jobs started in %d steps", started, step+1)
		}
		harness.advance(returnInterval)
	}
	harness.evacuate("centre-00")
	running := len(harness.gangs)
	harness.advance(2 * returnTime)
	if running == 0 || len(harness.gangs) != running {
		t.Errorf("%d jobs run in a data centre that was evacuated again, %d before", len(harness.gangs), running)
	}
	harness.evacuate()
	harness.advance(returnTime)
	if len(harness.gangs) != 40 {
		t.Errorf("%d of 40 jobs run after the return", len(harness.gangs))
	}
}
