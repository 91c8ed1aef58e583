package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/pkg/catalog"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// explained returns the job to explain in most tests, of one step.
func explained(priority workload.Priority, step workload.Step) workload.Job {
	return workload.Job{
		Organisation: testOrganisation, Profile: "profile", Steps: []workload.Step{step},
		Policy: workload.JobPolicy{Service: testService, Priority: priority, MaxAttempts: 3, Stretch: 3},
	}
}

// tasksOf returns a step of tasks that need only accelerators.
func tasksOf(tasks, accelerators int, estimate time.Duration) workload.Step {
	return workload.Step{
		Tasks: tasks, Each: workload.Resources{Accelerators: fleet.Accelerators(accelerators)}, Estimate: estimate,
	}
}

// numbered returns a worker of the loop by its number.
func (test *testLoop) numbered(number int) *worker {
	return test.workers[fleet.WorkerID(fmt.Sprintf("w%04d", number))]
}

// neverAdvising is an adviser that a test must not ask.
type neverAdvising struct{ Adviser }

// TestExplainWaiting guards against a wrong reason for which a unit waits, and for which its workers are left out.
func TestExplainWaiting(t *testing.T) {
	gang := tasksOf(2, 8, time.Second)
	gang.Gang, gang.SameRack = true, true
	inRack, labelled := tasksOf(1, 4, time.Minute), tasksOf(1, 4, time.Minute)
	inRack.DataRack, labelled.Label = "r000", "fast"
	fill := func(tasks, accelerators int) func(*testLoop) {
		return func(test *testLoop) {
			test.submit(1, tasksOf(tasks, accelerators, time.Minute))
			test.plan()
		}
	}
	tests := []struct {
		name    string
		workers int
		prepare func(*testLoop)
		job     workload.Job
		reason  WaitReason
		// out are reasons for workers that must be given.
		out []WorkerReason
	}{
		{"room", 2, fill(2, 7), explained(1, gang), WaitsForRoom, []WorkerReason{WorkerAccelerators}},
		{"label", 2, fill(0, 1), explained(1, labelled), TooLarge, []WorkerReason{WorkerLacksLabel}},
		{"millicores", 1, func(*testLoop) {}, explained(1, workload.Step{
			Tasks: 1, Each: workload.Resources{Millicores: 32001}}), TooLarge, []WorkerReason{WorkerMillicores}},
		{"memory", 1, func(*testLoop) {}, explained(1, workload.Step{
			Tasks: 1, Each: workload.Resources{MemoryMiB: 131073}}), TooLarge, []WorkerReason{WorkerMemory}},
		{"locality", 16, fill(13, 8), explained(1, inRack), WaitsForLocality,
			[]WorkerReason{WorkerAccelerators, WorkerOtherRack}},
		{"headroom", 4, func(test *testLoop) {
			for range 4 {
				test.submit(0, tasksOf(1, 8, time.Minute))
			}
			test.plan()
			for _, id := range slices.Sorted(maps.Keys(test.workers))[:1] {
				for _, run := range test.workers[id].runs {
					test.workers[id].remove(run)
				}
			}
		}, explained(1, tasksOf(1, 8, time.Minute)), WaitsForHeadroom, []WorkerReason{WorkerHeadroom, WorkerAccelerators}},
		{"earlier units", 1, func(test *testLoop) { test.submit(0, tasksOf(1, 8, time.Minute)) },
			explained(1, tasksOf(1, 8, time.Minute)), WaitsForEarlierUnits, []WorkerReason{WorkerEarlierUnits}},
		{"rack", 9, fill(7, 8), explained(1, gang), WaitsForLocality,
			[]WorkerReason{WorkerRackTooSmall, WorkerAccelerators}},
		{"tasks on a worker", 1, func(*testLoop) {}, explained(1, workload.Step{
			Tasks: 3, Each: workload.Resources{Accelerators: 1}, MaxPerWorker: 2, Gang: true}), WaitsForTaskLimit,
			[]WorkerReason{WorkersTooFew}},
		{"more tasks on a worker", 1, func(*testLoop) {}, explained(1, workload.Step{
			Tasks: 2, Each: workload.Resources{Accelerators: 1}, MaxPerWorker: 1}), WaitsForTaskLimit,
			[]WorkerReason{WorkerChosen}},
		{"record", 1, func(test *testLoop) { test.MaxValueBytes = 1 }, explained(1, tasksOf(2, 1, time.Minute)),
			WaitsForRecord, []WorkerReason{WorkerChosen}},
		{"advice", 2, func(test *testLoop) { test.Adviser = neverAdvising{} }, func() workload.Job {
			job := explained(1, tasksOf(1, 1, time.Minute))
			job.Policy.Advice.Validity = time.Second
			return job
		}(), WaitsForAdvice, []WorkerReason{WorkerNotAdvised}},
		{"speed", 2, func(test *testLoop) {
			test.submit(0, tasksOf(1, 8, time.Second))
			test.plan()
			test.uneven[testService] = true
			for _, worker := range test.workers {
				if len(worker.runs) == 0 {
					worker.factor, worker.tooSlow = 4, true
				}
			}
		}, explained(0, tasksOf(1, 8, time.Minute)), WaitsForSpeed, []WorkerReason{WorkerTooSlow, WorkerAccelerators}},
		{"evacuated", 2, func(test *testLoop) {
			test.DecodeEvacuation = decodeTestEvacuation
			test.numbered(0).entry.DataCentre = evacuatedCentre
			test.observeEvacuations(evacuationChange(evacuatedCentre, false), false)
			fill(1, 8)(test)
		}, explained(1, tasksOf(1, 8, time.Minute)), WaitsForEvacuated,
			[]WorkerReason{WorkerEvacuated, WorkerAccelerators}},
		{"starts blocked", 2, func(test *testLoop) { test.evacuations.MaxAge = time.Second },
			explained(1, tasksOf(1, 8, time.Minute)), StartsBlocked, []WorkerReason{WorkerChosen, WorkerNotNeeded}},
		{"unusable workers", 10, func(test *testLoop) {
			test.numbered(0).entry.Draining = true
			test.numbered(2).settled = false
			test.numbered(3).unresponsive = true
			test.numbered(4).listed = false
			test.numbered(5).unexpected[runID{}] = nil
			test.numbered(6).health.RecordFailure("other", 0, test.now)
			test.now += 3 * time.Second
			test.numbered(1).health.Pause(test.now, time.Minute)
			test.numbered(7).entry.Service = "other"
			suspect := &run{isolated: true, startedAt: test.now, job: &job{Job: explained(1, gang)}}
			test.numbered(8).runs[suspect.task] = suspect
			test.DecodeEvacuation, test.numbered(9).entry.DataCentre = decodeTestEvacuation, evacuatedCentre
			test.observeEvacuations(evacuationChange(evacuatedCentre, false), false)
			test.observeEvacuations(evacuationChange(evacuatedCentre, true), false)
		}, explained(1, gang), WaitsForUsable, []WorkerReason{
			WorkerDraining, WorkerPaused, WorkerNotSettled, WorkerUnresponsive, WorkerNotListed, WorkerUnexpectedRuns,
			WorkerOnProbation, WorkerIsolating, WorkerTakenBack,
		}},
		{"gangs", 2, func(test *testLoop) {
			test.Catalog = func() *catalog.Catalog {
				return catalog.New(1, nil, []catalog.Organisation{{ID: testOrganisation, Guaranteed: 16}}, catalog.Limits{})
			}
			test.submit(1, gang)
			test.plan()
		}, explained(0, gang), WaitsForGangs, []WorkerReason{WorkerAccelerators}},
		{"no workers", 0, func(*testLoop) {}, explained(0, gang), TooLarge, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, test.workers)
			test.prepare(loop)
			explanation := loop.explain(test.job)
			if len(explanation.Steps) != 1 {
				t.Fatalf("%d steps explained, want 1", len(explanation.Steps))
			}
			step := explanation.Steps[0]
			if step.WaitsFor != test.reason || step.Waiting != 1 {
				t.Errorf("%d units wait for %q, want 1 for %q", step.Waiting, step.WaitsFor, test.reason)
			}
			var given []WorkerReason
			for _, group := range step.Workers {
				given = append(given, group.Reason)
			}
			slices.Sort(given)
			slices.Sort(test.out)
			if !slices.Equal(given, test.out) {
				t.Errorf("reasons for workers are %v, want %v", given, test.out)
			}
		})
	}
}

// recordOfState returns all that a plan may change, as text.
func (test *testLoop) recordOfState(t *testing.T) string {
	loop, text := test.dispatcher, &strings.Builder{}
	var values []string
	loop.Metrics.Each(func(name string, metric any) { values = append(values, fmt.Sprintln(name, metric)) })
	slices.Sort(values)
	fmt.Fprint(text, values)
	fmt.Fprintln(text, loop.withheldSince, loop.backgroundCrashes, loop.advice, loop.evacuations, loop.startsBlocked,
		loop.speeds, loop.uneven, loop.nextFactors, loop.headroom.estimator.Estimates(test.now), loop.pendingCommits, len(loop.dirty), loop.planNeeded,
		loop.nextPlan, len(loop.jobs), len(loop.openJobs))
	for _, key := range slices.SortedFunc(maps.Keys(loop.claims), func(a, b workload.TaskID) int {
		return strings.Compare(a.String(), b.String())
	}) {
		fmt.Fprintln(text, key, *loop.claims[key])
	}
	for _, id := range slices.Sorted(maps.Keys(loop.jobs)) {
		job := loop.jobs[id]
		record, err := json.Marshal(job.record)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(text, id, string(record), job.policy, len(job.runs), len(job.onStored), job.held(test.now))
	}
	for _, id := range slices.Sorted(maps.Keys(loop.workers)) {
		worker := loop.workers[id]
		fmt.Fprintln(text, id, worker.used, worker.reserved, worker.factor, worker.tooSlow, worker.health, worker.dump(0))
	}
	return text.String()
}

// TestExplanationIsThePlan guards against an explanation that differs from what the plan does with the same job right
// after it, and against one that changes or logs anything.
func TestExplanationIsThePlan(t *testing.T) {
	started, claimed, waiting := 0, 0, 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 5))
		test := newTestLoop(t, 24)
		logged := &bytes.Buffer{}
		test.Logger = hclog.New(&hclog.LoggerOptions{Output: logged, Level: hclog.Trace})
		test.Catalog = urgentCatalog
		draw := func() (workload.Priority, workload.Step) {
			step := tasksOf(1+random.IntN(6), 1+random.IntN(8), time.Duration(1+random.IntN(20))*time.Second)
			step.Gang, step.SameRack = random.IntN(2) == 0, random.IntN(2) == 0
			step.MaxPerWorker = random.IntN(3)
			return workload.Priority(random.IntN(3)), step
		}
		for range 1 + random.IntN(30) {
			test.submit(draw())
			if random.IntN(2) == 0 {
				test.plan()
			}
			test.now += 200 * time.Millisecond
		}
		priority, step := draw()
		logged.Reset()
		before := test.recordOfState(t)
		explanation := test.explain(explained(priority, step)).Steps[0]
		if after := test.recordOfState(t); after != before || logged.Len() > 0 {
			t.Fatalf("seed %d: an explanation logged %q and changed\n%s\nto\n%s", seed, logged, before, after)
		}
		job := test.submit(priority, step)
		stopping := test.stopping()
		test.plan()
		starting, claiming := map[fleet.WorkerID]bool{}, map[fleet.WorkerID]bool{}
		for run := range job.runs {
			starting[job.record.Task(run.task).At.Worker] = true
		}
		claims := 0
		for key, claim := range test.claims {
			if key.Job == job.ID {
				claims++
				for _, id := range claim.places {
					claiming[id] = true
				}
			}
		}
		started, claimed, waiting = started+len(starting), claimed+claims, waiting+explanation.Waiting
		if want := slices.Sorted(maps.Keys(starting)); !slices.Equal(explanation.Starting.Workers, want) {
			t.Errorf("seed %d: explained to start on %v, starts on %v", seed, explanation.Starting.Workers, want)
		}
		if want := slices.Sorted(maps.Keys(claiming)); !slices.Equal(explanation.Claiming.Workers, want) ||
			explanation.Claiming.Units != claims {
			t.Errorf("seed %d: explained to claim %v, claims %v", seed, explanation.Claiming, want)
		}
		if stopped := test.stopping() - stopping; explanation.Claiming.Runs > stopped || claims > 0 && stopped == 0 {
			t.Errorf("seed %d: explained to stop %d runs, %d are to stop", seed, explanation.Claiming.Runs, stopped)
		}
	}
	if started < 20 || claimed < 5 || waiting < 20 {
		t.Errorf("compared %d started, %d claimed, %d waiting units, want at least 20, 5 and 20", started, claimed, waiting)
	}
}

// stopping counts the runs that are to be stopped.
func (test *testLoop) stopping() int {
	count := 0
	for _, worker := range test.workers {
		for _, run := range worker.runs {
			if run.stopping {
				count++
			}
		}
	}
	return count
}

// BenchmarkExplain measures one explanation in the state of BenchmarkPlanOverload.
func BenchmarkExplain(b *testing.B) {
	test := newTestLoop(b, 350)
	test.overload(600)
	// The first plans start what fits. Those of BenchmarkPlanOverload find nothing more to start.
	for range 3 {
		test.plan()
	}
	b.ReportAllocs()
	for b.Loop() {
		test.explain(explained(1, largeGang))
	}
}

// TestExplainPreemption guards against wrong costs of a preemption, and a wrong place in the order of waiting units.
func TestExplainPreemption(t *testing.T) {
	test := newTestLoop(t, 1)
	test.submit(1, tasksOf(2, 4, time.Minute))
	test.plan()
	test.now += time.Second
	test.submit(0, tasksOf(3, 9, time.Minute))
	test.submit(1, tasksOf(1, 9, time.Minute))
	step := test.explain(explained(0, tasksOf(1, 8, time.Minute))).Steps[0]
	if step.Claiming.Units != 1 || step.Claiming.Runs != 2 || step.Claiming.LostMS != 8000 || step.UnitsBefore != 3 {
		t.Errorf("explained as %+v, want 2 runs stopped that lose 8000 ms, after 3 units", step)
	}
}

// TestExplainBounds guards against explanations that take the processor from plans, and texts longer than a page.
func TestExplainBounds(t *testing.T) {
	var limit explanationLimit
	if !limit.allow(0) || limit.allow(explanationInterval-1) || !limit.allow(explanationInterval) {
		t.Error("more than one explanation within the interval, or none after it")
	}
	test := newTestLoop(t, 8)
	if _, err := test.Explain(context.Background(), workload.Job{}); err != ErrNoTerm {
		t.Errorf("without a term: %v, want %v", err, ErrNoTerm)
	}
	job := explained(1, tasksOf(2, 1, time.Minute))
	job.Steps = slices.Repeat(job.Steps, 2*maxListedSteps)
	job.Steps = append(job.Steps, workload.Step{Tasks: 1, After: []int{0}})
	explanation := test.explain(job)
	if len(explanation.Steps) != maxListedSteps || explanation.OmittedSteps != maxListedSteps || explanation.LaterSteps != 1 {
		t.Errorf("%d steps listed, %d omitted, %d later", len(explanation.Steps), explanation.OmittedSteps,
			explanation.LaterSteps)
	}
	if lines := strings.Count(explanation.Text(), "\n"); lines > 60 {
		t.Errorf("the text has %d lines, want at most 60", lines)
	}
}

// TestQuietCopy guards against a field of Controller that explanations do not see.
func TestQuietCopy(t *testing.T) {
	var controller Controller
	fields := reflect.ValueOf(&controller).Elem()
	// filled sets a field to a value that is not zero.
	filled := map[string]bool{}
	for i := range fields.NumField() {
		field := fields.Field(i)
		if !field.CanSet() {
			continue
		}
		switch field.Kind() {
		case reflect.Int64:
			field.SetInt(1)
		case reflect.String:
			field.SetString("x")
		case reflect.Func:
			field.Set(reflect.MakeFunc(field.Type(), nil))
		default:
			continue
		}
		filled[fields.Type().Field(i).Name] = true
	}
	copied := reflect.ValueOf(controller.quietCopy()).Elem()
	for name := range filled {
		if copied.FieldByName(name).IsZero() {
			t.Errorf("field %s is not copied", name)
		}
	}
}
