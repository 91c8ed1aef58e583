package demo

import (
	"context"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/examples"
	"github.com/quetzalstall/quetzalstall/internal/standin/deployment"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// newTestDemo returns a demo with empty records on which verify can be called.
func newTestDemo(t *testing.T) *Demo {
	t.Helper()
	example, err := examples.Load("reed")
	if err != nil {
		t.Fatal(err)
	}
	demo := New("reed", 1)
	demo.example = example
	demo.standins = deployment.New(example.Fleet)
	demo.result = &Result{RefusedKinds: map[string]int{}, UnknownKinds: map[string]int{}}
	demo.jobs = newJobLoad(nil)
	demo.requests = newRequestLoad(nil)
	demo.config = &configWatch{}
	return demo
}

// Guards against a verification that does not detect an outcome that contradicts the runs of its request, or a request
// whose caller received no outcome.
func TestVerifyFindsUntrueRequestOutcomes(t *testing.T) {
	tests := []struct {
		name         string
		outcome      callerv1.Outcome
		runs         standin.Runs
		untrue, lost int
	}{
		{
			name: "completed and ended", outcome: callerv1.Outcome_OUTCOME_COMPLETED,
			runs: standin.Runs{Begun: 1, Ended: 1},
		},
		{
			name: "completed without an end", outcome: callerv1.Outcome_OUTCOME_COMPLETED,
			runs: standin.Runs{Begun: 1}, untrue: 1,
		},
		{name: "not run but ran", outcome: callerv1.Outcome_OUTCOME_NOT_RUN, runs: standin.Runs{Begun: 1}, untrue: 1},
		{name: "failed but never ran", outcome: callerv1.Outcome_OUTCOME_FAILED, untrue: 1},
		{name: "unknown", outcome: callerv1.Outcome_OUTCOME_UNKNOWN, runs: standin.Runs{Begun: 1}},
		{name: "no outcome received", lost: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			demo := newTestDemo(t)
			demo.verifyOutcome(&trackedRequest{id: "r", outcome: test.outcome}, test.runs)
			if demo.result.UntrueAnswers != test.untrue || demo.result.LostAnswers != test.lost {
				t.Errorf("%d untrue and %d lost answers, want %d and %d",
					demo.result.UntrueAnswers, demo.result.LostAnswers, test.untrue, test.lost)
			}
		})
	}
}

// Guards against a verification that does not detect a job that was reported as completed but never ran, a probe that
// did not start in time, or a configuration revision that went back.
func TestVerifyFindsViolations(t *testing.T) {
	demo := newTestDemo(t)
	now := time.Now()
	demo.jobs.tracked[fleet.JobKey{Organisation: "schools", Job: "a"}] = &trackedJob{
		key:     fleet.JobKey{Organisation: "schools", Job: "a"},
		outcome: callerv1.Outcome_OUTCOME_COMPLETED, outcomeTime: now,
	}
	probe := fleet.JobKey{Organisation: "benches", Job: "p"}
	demo.jobs.tracked[probe] = &trackedJob{
		key: probe, outcome: callerv1.Outcome_OUTCOME_UNKNOWN, outcomeTime: now, submitted: now, probe: true,
	}
	demo.config.addProblem(&entry{vm: fleet.EntryVM{ID: "entry-1"}}, 3, 4, "went back from")
	demo.verify()
	if demo.result.UntrueAnswers != 1 || demo.result.GuaranteesUnmet != 1 || demo.result.ConfigReverts != 1 {
		t.Errorf("untrue %d, guarantees unmet %d, reverts %d, want 1 each: %v", demo.result.UntrueAnswers,
			demo.result.GuaranteesUnmet, demo.result.ConfigReverts, demo.result.Details)
	}
	if demo.result.Violations() != 3 || demo.result.UntimedViolations() != 2 {
		t.Errorf("%d violations, %d of them untimed, want 3 and 2",
			demo.result.Violations(), demo.result.UntimedViolations())
	}
}

// Guards against a verification that does not detect a second run of a job that is not idempotent, or a gang of which a
// member is missing.
func TestVerifyReadsWorkerRecord(t *testing.T) {
	demo := newTestDemo(t)
	now := time.Unix(1_000, 0)
	machine := fleet.Worker{ID: "w", Accelerators: 8, Cores: 8, Memory: 1 << 30}
	standin := worker.New(machine, demo.standins.WorkerRecord, worker.Settings{Now: func() time.Time { return now }})
	run := func(lease string, attempt int32) {
		t.Helper()
		ctx := context.Background()
		label := &workerv1.LeaseLabel{
			Organisation: "benches", JobId: "j", Profile: "bench-trial", Attempt: attempt, GangMembers: 2,
		}
		input := worker.Input{RunTimeMS: 300_000}
		_, err := standin.Reserve(ctx,
			&workerv1.ReserveRequest{LeaseId: lease, Accelerators: 1, TtlMs: 60_000, Label: label})
		if err != nil {
			t.Fatal(err)
		}
		started, err := standin.Start(ctx,
			&workerv1.StartRequest{LeaseId: lease, TtlMs: 600_000, Input: input.Encode()})
		if err != nil || !started.Done {
			t.Fatalf("start: %v, %v", started, err)
		}
	}
	run("a", 1)
	run("b", 2)
	record := demo.standins.WorkerRecord
	if found := record.DoubleRuns(demo.isIdempotent); len(found) != 1 {
		t.Errorf("double runs %v, want one", found)
	}
	bound := worker.GangBound{Start: partialGangStartLimit, Running: partialGangRunningLimit}
	now = now.Add(time.Minute)
	if found := record.PartialGangs(bound, now); len(found) == 0 {
		t.Error("no partial gang was found, want the gang of two with one member")
	}
}

// Guards against a probe that submits more jobs than fit into the guarantees, or none although some fit.
func TestGuaranteedUrgent(t *testing.T) {
	demo := newTestDemo(t)
	want := map[fleet.OrganisationID]int{"benches": 3, "choirs": 4, "bands": 0, "schools": 0}
	for _, organisation := range demo.example.Organisations {
		if _, count := guaranteedUrgent(organisation); count != want[organisation.ID] {
			t.Errorf("%s: %d probes, want %d", organisation.ID, count, want[organisation.ID])
		}
	}
	if gangFits(
		fleet.Shape{Members: 1, Accelerators: 8, Adjacency: fleet.AdjacencyWorker},
		fleet.Shape{Members: 2, Accelerators: 4, Adjacency: fleet.AdjacencyRack}) {
		t.Error("a member with 8 accelerators fits into a shape whose members have 4")
	}
}
