package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// urgentStartLimit is the time in which an urgent job must start, less the time to reserve and start its gang.
const urgentStartLimit = 4700*time.Millisecond - 500*time.Millisecond

// TestUrgentJobReclaimsItsCellInTime guards against a guarantee that is not reclaimed from borrowers in time. The
// borrowers checkpoint in time, checkpoint too late or not at all, or also ignore the stop.
func TestUrgentJobReclaimsItsCellInTime(t *testing.T) {
	tests := []struct {
		name           string
		checkpointTime time.Duration
		ignoresStop    bool
		members        int
	}{
		{"checkpoint in time", time.Second, false, 1},
		{"checkpoint too late", time.Minute, false, 1},
		{"gang of four workers", time.Minute, false, 4},
		{"one victim ignores its stop", time.Minute, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gangShape := shape(test.members, 8, fleet.AdjacencyRack)
			config := configure(map[fleet.OrganisationID][]profile.Guarantee{
				"reed":  {{Count: 2, Shape: gangShape}},
				"valve": nil,
			})
			harness := newHarness(t, machines(16, 4, 1), config)
			harness.checkpointTime = test.checkpointTime
			small := preemptible("small", shape(1, 2, fleet.AdjacencyWorker), profile.UrgencyNormal)
			for range 16 * 4 {
				harness.submit("valve", "caller", small, time.Hour)
			}
			harness.decide()
			if test.ignoresStop {
				machine := harness.core.organisationsByID["reed"].cellWorkers[0]
				harness.ignoresStop[machine.gangs[0].spec.Key] = true
			}
			harness.advance(10 * time.Second)
			urgent := harness.submit("reed", "caller",
				preemptible("urgent", gangShape, profile.UrgencyUrgent), time.Minute)
			harness.decide()
			asked := harness.now
			harness.advance(urgentStartLimit)
			began, ok := harness.firstStart[urgent]
			if !ok {
				t.Fatalf("not started after %s: %v", harness.now.Sub(asked), harness.core.Explain(urgent))
			}
			t.Logf("started after %s with %d evictions", began.Sub(asked), harness.evictions)
		})
	}
}

// TestPinnedWorkStaysOutOfCellsOfOthers guards against placing work that cannot be preempted in cells of other
// organisations, which then could not reclaim their cells.
func TestPinnedWorkStaysOutOfCellsOfOthers(t *testing.T) {
	gangShape := shape(1, 8, fleet.AdjacencyWorker)
	config := configure(map[fleet.OrganisationID][]profile.Guarantee{
		"reed":  {{Count: 3, Shape: gangShape}},
		"valve": nil,
	})
	harness := newHarness(t, machines(4, 4, 1), config)
	for range 32 {
		harness.submit("valve", "caller", pinned("pinned", shape(1, 1, fleet.AdjacencyWorker)), time.Hour)
	}
	harness.decide()
	if started := len(harness.gangs); started != 8 {
		t.Errorf("%d jobs started, want the 8 that fit outside cells", started)
	}
	for range 3 {
		harness.submit("reed", "caller", pinned("pinned", gangShape), time.Hour)
	}
	harness.decide()
	if started := len(harness.gangs); started != 11 {
		t.Errorf("%d jobs started, want 11", started)
	}
}

// TestVerdicts guards against a wrong verdict after the end of an attempt. The verdict depends on the result of the
// attempt, on whether the job was cancelled and on whether it may run twice.
func TestVerdicts(t *testing.T) {
	gangShape := shape(1, 8, fleet.AdjacencyWorker)
	once := pinned("once", gangShape)
	saved := pinned("saved", gangShape)
	saved.Checkpoint = true
	again := preemptible("again", gangShape, profile.UrgencyNormal)
	tests := []struct {
		name    string
		profile profile.Profile
		result  EndResult
		cancel  bool
		ended   bool
		verdict Verdict
	}{
		{"completed", once, EndCompleted, false, true, VerdictCompleted},
		{"completed before the cancellation", once, EndCompleted, true, true, VerdictCompleted},
		{"lost, must not run twice", once, EndLost, false, true, VerdictUnknown},
		{"lost but cancelled", once, EndLost, true, true, VerdictCancelled},
		{"lost, may run twice", again, EndLost, false, false, 0},
		{"stopped without checkpoint", saved, EndStopped, false, true, VerdictUnknown},
		{"checkpointed", saved, EndCheckpointed, false, false, 0},
		{"failed, must not run twice", once, EndFailed, false, true, VerdictFailed},
		{"failed, may run twice", again, EndFailed, false, false, 0},
		{"stopped and cancelled", again, EndStopped, true, true, VerdictCancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, machines(4, 4, 1),
				configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil}))
			key := harness.submit("reed", "caller", test.profile, time.Hour)
			harness.decide()
			if test.cancel {
				harness.core.Apply(harness.now, JobCancelled{key})
			}
			harness.end(key, test.result)
			harness.decide()
			finish, ended := harness.ended[key]
			if ended != test.ended || ended && finish.Verdict != test.verdict {
				t.Errorf("ended %t with verdict %d, want %t with %d", ended, finish.Verdict, test.ended, test.verdict)
			}
		})
	}
}

// TestFailuresAreAttributed guards against attributing the failures of a faulty worker to its jobs, or those of a
// faulty job to its workers, and against a quarantine of more than a tenth of the fleet. A faulty worker fails all
// tasks; a faulty job fails on all workers.
func TestFailuresAreAttributed(t *testing.T) {
	harness := newHarness(t, machines(40, 4, 1), configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil}))
	for _, id := range []fleet.WorkerID{"worker-00003", "worker-00017"} {
		harness.broken[id] = true
	}
	small := preemptible("small", shape(1, 4, fleet.AdjacencyWorker), profile.UrgencyNormal)
	var good, bad []fleet.JobKey
	for i := range 400 {
		key := harness.submit("reed", "caller", small, 20*time.Second)
		if i%20 == 7 {
			harness.faulty[key] = true
			bad = append(bad, key)
		} else {
			good = append(good, key)
		}
	}
	harness.decide()
	harness.advance(5 * time.Minute)
	for _, key := range good {
		if finish, ok := harness.ended[key]; !ok || finish.Verdict != VerdictCompleted {
			t.Errorf("job %s: ended %t with %+v, want completed", key, ok, finish)
		}
	}
	for _, key := range bad {
		if finish, ok := harness.ended[key]; !ok || finish.Verdict != VerdictFailed {
			t.Errorf("job %s: ended %t with %+v, want failed", key, ok, finish)
		}
	}
	for id := range harness.quarantines {
		if !harness.broken[id] {
			t.Errorf("worker %s is sound but was quarantined", id)
		}
	}
	if len(harness.quarantines) != 2 {
		t.Errorf("%d workers were quarantined, want 2", len(harness.quarantines))
	}
}

// TestRefusals guards against queues that grow without limit, and against jobs that wait although they can never run,
// because they are larger than the fleet or the fleet has shrunk since their submission.
func TestRefusals(t *testing.T) {
	config := configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil})
	config.Organisations["reed"].MaxWaiting = 3
	harness := newHarness(t, machines(2, 2, 1), config)
	whole := preemptible("whole", shape(2, 8, fleet.AdjacencyRack), profile.UrgencyNormal)
	var keys []fleet.JobKey
	for range 6 {
		keys = append(keys, harness.submit("reed", "caller", whole, time.Hour))
		harness.decide()
	}
	refused := 0
	for _, key := range keys {
		if finish, ok := harness.ended[key]; ok && finish.Verdict == VerdictNotRun && finish.Kind == "queue_full" {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("%d jobs were refused, want 2: one runs and three wait", refused)
	}
	large := harness.submit("reed", "caller", preemptible("large", shape(3, 8, fleet.AdjacencyRack), 0), time.Hour)
	harness.decide()
	if finish := harness.ended[large]; finish.Kind != "infeasible" || finish.Verdict != VerdictNotRun {
		t.Errorf("a job larger than the fleet ended with %+v", finish)
	}
	harness.core.Apply(harness.now, FleetChanged{machines(2, 2, 1)[:1]})
	harness.decide()
	for _, key := range keys[1:4] {
		if finish := harness.ended[key]; finish.Kind != "infeasible" || finish.Verdict != VerdictNotRun {
			t.Errorf("job %s: ended with %+v after the fleet shrank", key, finish)
		}
	}
}

// TestInvariantsUnderMixedLoad guards against jobs that are placed while they run, accelerators that are used twice,
// partial gangs, and cells that cannot be emptied of work of other organisations. Jobs of random shape and urgency,
// preemptible or not, are submitted, evicted and cancelled.
func TestInvariantsUnderMixedLoad(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		config := configure(map[fleet.OrganisationID][]profile.Guarantee{
			"reed": {
				{Count: 2, Shape: shape(2, 8, fleet.AdjacencyRack)},
				{Count: 4, Shape: shape(1, 4, fleet.AdjacencyWorker)},
			},
			"valve": {{Count: 1, Shape: shape(4, 4, fleet.AdjacencyDataCentre)}},
			"horn":  nil,
		})
		harness := newHarness(t, machines(16, 4, 2), config)
		shapes := []fleet.Shape{
			shape(1, 1, fleet.AdjacencyWorker), shape(1, 4, fleet.AdjacencyWorker), shape(2, 8, fleet.AdjacencyRack),
			shape(4, 4, fleet.AdjacencyDataCentre), shape(2, 3, fleet.AdjacencyRack),
		}
		owners := []fleet.OrganisationID{"reed", "valve", "horn"}
		var keys []fleet.JobKey
		for range 400 {
			jobProfile := preemptible("any", shapes[random.IntN(len(shapes))], profile.Urgency(random.IntN(4)))
			jobProfile.Idempotent = random.IntN(2) == 0
			jobProfile.Checkpoint = random.IntN(2) == 0
			harness.checkpointTime = time.Duration(random.IntN(3000)) * time.Millisecond
			keys = append(keys, harness.submit(owners[random.IntN(3)], "caller", jobProfile,
				time.Duration(random.IntN(60))*time.Second))
			harness.decide()
			if random.IntN(20) == 0 {
				harness.core.Apply(harness.now, JobCancelled{keys[random.IntN(len(keys))]})
				harness.decide()
			}
			harness.advance(time.Duration(random.IntN(30)) * 100 * time.Millisecond)
		}
		harness.advance(time.Hour)
		for _, key := range keys {
			if _, ok := harness.ended[key]; !ok {
				t.Errorf("seed %d: job %s has not ended: %v", seed, key, harness.core.Explain(key))
			}
		}
	}
}

// TestReclaimMovesTheCellAwayFromWorkThatWouldBeLost guards against a reclaim that stops work without a checkpoint
// although the cell could be moved to accelerators whose work can checkpoint.
func TestReclaimMovesTheCellAwayFromWorkThatWouldBeLost(t *testing.T) {
	gangShape := shape(1, 8, fleet.AdjacencyWorker)
	config := configure(map[fleet.OrganisationID][]profile.Guarantee{
		"reed":  {{Count: 1, Shape: gangShape}},
		"valve": nil,
	})
	harness := newHarness(t, machines(4, 4, 1), config)
	rerun := preemptible("rerun", gangShape, profile.UrgencyNormal)
	rerun.Checkpoint = false
	var expensive []fleet.JobKey
	for range 3 {
		harness.submit("valve", "caller", preemptible("saved", gangShape, profile.UrgencyNormal), 10*time.Hour)
		harness.decide()
	}
	expensive = append(expensive, harness.submit("valve", "caller", rerun, 10*time.Hour))
	harness.decide()
	harness.advance(time.Hour)
	urgent := harness.submit("reed", "caller", preemptible("urgent", gangShape, profile.UrgencyUrgent), time.Minute)
	harness.decide()
	harness.advance(urgentStartLimit)
	if _, ok := harness.firstStart[urgent]; !ok {
		t.Errorf("not started: %v", harness.core.Explain(urgent))
	}
	for _, key := range expensive {
		if gang, ok := harness.gangs[key]; !ok || gang.place.Attempt != 1 {
			t.Errorf("job %s lost an hour of work", key)
		}
	}
}

// TestOwnWorkLeavesOtherShapesReclaimable guards against a guaranteed shape that cannot be reclaimed. Its cell is
// filled by work of the same organisation of another guaranteed shape, or claimed by a borrower that does not run yet.
func TestOwnWorkLeavesOtherShapesReclaimable(t *testing.T) {
	single, pair := shape(1, 8, fleet.AdjacencyWorker), shape(2, 8, fleet.AdjacencyRack)
	config := configure(map[fleet.OrganisationID][]profile.Guarantee{
		"reed":  {{Count: 1, Shape: single}, {Count: 1, Shape: pair}},
		"valve": {{Count: 1, Shape: single}},
	})
	harness := newHarness(t, machines(4, 4, 1), config)
	for range 4 {
		harness.submit("reed", "caller", preemptible("single", single, profile.UrgencyUrgent), time.Hour)
	}
	harness.decide()
	harness.advance(30 * time.Second)
	urgent := harness.submit("reed", "caller", preemptible("pair", pair, profile.UrgencyUrgent), time.Minute)
	harness.decide()
	harness.advance(urgentStartLimit)
	if _, ok := harness.firstStart[urgent]; !ok {
		t.Errorf("not started: %v", harness.core.Explain(urgent))
	}
	other := harness.submit("valve", "caller", preemptible("single", single, profile.UrgencyUrgent), time.Minute)
	harness.decide()
	harness.advance(urgentStartLimit)
	if _, ok := harness.firstStart[other]; !ok {
		t.Errorf("not started: %v", harness.core.Explain(other))
	}
}

// TestLostWorkersMoveCellsOrShowShortfalls guards against cells that are not bound again after their workers were lost,
// and against a shortfall that is hidden or attributed to the wrong organisation.
func TestLostWorkersMoveCellsOrShowShortfalls(t *testing.T) {
	gangShape := shape(2, 8, fleet.AdjacencyRack)
	config := configure(map[fleet.OrganisationID][]profile.Guarantee{
		"reed":  {{Count: 3, Shape: gangShape}},
		"valve": nil,
	})
	harness := newHarness(t, machines(8, 4, 1), config)
	lose := func(machine *worker) {
		harness.core.Apply(harness.now, WorkerLost{machine.ID})
		harness.decide()
	}
	lose(harness.core.organisationsByID["reed"].cellWorkers[0])
	if short := harness.core.shortfalls(); len(short) != 0 {
		t.Errorf("shortfall %v after one loss, want none: the fourth place is free", short)
	}
	for range 3 {
		lose(harness.core.organisationsByID["reed"].cellWorkers[0])
	}
	short := harness.core.shortfalls()
	if len(short) != 1 || short[0].Organisation != "reed" || short[0].Shape != gangShape || short[0].Count < 1 {
		t.Errorf("shortfalls are %v, want one of reed for %s", short, gangShape)
	}
	for id := range harness.workers {
		harness.core.Apply(harness.now, WorkerFound{Worker: id})
	}
	harness.decide()
	if short := harness.core.shortfalls(); len(short) != 0 {
		t.Errorf("shortfall %v after all workers are back", short)
	}
}

// TestRecoveredGangKeepsItsAccelerators guards against placing a gang again that was found running after a takeover, or
// granting its accelerators to other jobs. The gang is reported before the fleet and the configuration are received.
func TestRecoveredGangKeepsItsAccelerators(t *testing.T) {
	gangShape := shape(1, 8, fleet.AdjacencyWorker)
	core := NewCore(Settings{})
	key := fleet.JobKey{Organisation: "reed", Job: "recovered"}
	job := Job{Key: key, Caller: "caller", Profile: pinned("pinned", gangShape), Submitted: start}
	core.Apply(start, GangRecovered{Job: job, Attempt: 4, Members: []Member{{"worker-00000", 8}}})
	core.Apply(start, JobSubmitted{job})
	core.Apply(start, FleetChanged{machines(2, 2, 1)})
	core.Apply(start, ConfigChanged{configure(map[fleet.OrganisationID][]profile.Guarantee{"reed": nil})})
	for _, id := range []fleet.JobID{"first", "second"} {
		other := job
		other.Key.Job = id
		core.Apply(start, JobSubmitted{other})
	}
	decided := core.Decide(start)
	if len(decided) != 1 {
		t.Fatalf("decisions are %v, want one placement", decided)
	}
	if place, ok := decided[0].(Place); !ok || place.Members[0].Worker != "worker-00001" {
		t.Errorf("decision is %v, want a placement on the other worker", decided[0])
	}
	core.Apply(start, GangEnded{Key: key, Attempt: 4, Result: EndCompleted})
	if decided = core.Decide(start); len(decided) != 2 {
		t.Errorf("decisions are %v, want an end and a placement", decided)
	}
}
