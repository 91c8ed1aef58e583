package progress

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

var testJob = workload.Job{ID: "j", Steps: []workload.Step{
	{Tasks: 2}, {Tasks: 3, Gang: true, After: []int{0}},
}}

func task(step, index int) workload.TaskID {
	return workload.TaskID{Job: "j", Step: step, Index: index}
}

// progressOf returns the progress of a task, which is the zero value before a task of its step has been placed.
func progressOf(record *Record, id workload.TaskID) Task {
	if known := record.Task(id); known != nil {
		return *known
	}
	return Task{}
}

func placeAll(record *Record, step int) {
	for unit := range record.Units(testJob, 0, step) {
		record.Place(testJob, unit, make([]Location, len(unit.Tasks)))
	}
}

// TestStepOrder guards against starting a step before the steps that it depends on are done, and against a gang that
// is not complete after one of its members is done.
func TestStepOrder(t *testing.T) {
	record := New(testJob)
	placeAll(record, 0)
	record.Begin()
	record.End(testJob, task(0, 0), 1, RunDone, "", 2)
	if record.Ready(testJob, 0, 1) {
		t.Error("the second step is ready before the first is done")
	}
	record.End(testJob, task(0, 1), 1, RunDone, "", 2)
	if !record.Ready(testJob, 0, 1) || record.State != Running {
		t.Errorf("state %s", record.State)
	}
	placeAll(record, 1)
	if !record.End(testJob, task(1, 1), 1, RunDone, "", 2) || record.State != Completed {
		t.Errorf("state %s after the gang is done, want completed", record.State)
	}
	if record.End(testJob, task(1, 0), 1, RunFailed, "", 2) {
		t.Error("the end of a member changed the record after the gang was done")
	}
}

// TestRunOutcomes guards against counting an outcome other than a failure towards the maximum of attempts, and against
// counting a failed run of a gang once for each member.
func TestRunOutcomes(t *testing.T) {
	tests := []struct {
		name     string
		step     int
		ends     []RunOutcome
		attempts int
		state    State
	}{
		{"outcomes other than a failure do not count", 0,
			[]RunOutcome{RunStopped, RunLeaseExpired, RunLost, RunGangBroken}, 2, Running},
		{"failures fail the job", 0, []RunOutcome{RunFailed, RunStopped, RunFailed}, 2, Failed},
		{"no maximum of attempts", 0, []RunOutcome{RunFailed, RunFailed, RunFailed}, 0, Running},
		{"a failed run of a gang counts once", 1, []RunOutcome{RunFailed}, 2, Running},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			record := New(testJob)
			for _, outcome := range test.ends {
				placeAll(record, test.step)
				record.Begin()
				run := record.Task(task(test.step, 0)).Run
				for index := range testJob.Steps[test.step].Tasks {
					record.End(testJob, task(test.step, index), run, outcome, "", test.attempts)
				}
			}
			if record.State != test.state {
				t.Errorf("state %s, want %s", record.State, test.state)
			}
		})
	}
}

// TestGangWaitsForAllMembers guards against starting a new run of a gang while a member of its previous run may still
// be running.
func TestGangWaitsForAllMembers(t *testing.T) {
	record := New(testJob)
	placeAll(record, 1)
	record.End(testJob, task(1, 0), 1, RunGangBroken, "c1", 2)
	if units := slices.Collect(record.Units(testJob, 0, 1)); len(units) != 0 {
		t.Errorf("units %v wait before all members have ended", units)
	}
	record.End(testJob, task(1, 1), 1, RunGangBroken, "", 2)
	record.End(testJob, task(1, 2), 1, RunGangBroken, "", 2)
	units := slices.Collect(record.Units(testJob, 0, 1))
	if len(units) != 1 || record.Place(testJob, units[0], make([]Location, 3)) != 2 {
		t.Errorf("units %v, want the gang once, with run 2", units)
	}
	if record.Task(task(1, 2)).Checkpoint != "c1" {
		t.Error("the members start from different checkpoints")
	}
}

// TestRecordRoundTrip guards against losing progress when another process takes over: a record that is encoded and
// decoded must equal the original. The record is the result of random events.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := New(testJob)
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			step := rapid.IntRange(0, 1).Draw(t, "step")
			if rapid.Bool().Draw(t, "place") && record.Ready(testJob, 0, step) {
				placeAll(record, step)
				continue
			}
			id := task(step, rapid.IntRange(0, testJob.Steps[step].Tasks-1).Draw(t, "index"))
			outcome := rapid.SampledFrom([]RunOutcome{RunDone, RunFailed, RunStopped}).Draw(t, "how")
			before := progressOf(record, id)
			changed := record.End(testJob, id, before.Run, outcome, "", 3)
			if after := progressOf(record, id); changed && after.Run < before.Run {
				t.Fatalf("run %d after %d", after.Run, before.Run)
			}
		}
		encoded, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		var read Record
		if err := json.Unmarshal(encoded, &read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(&read, record) || !read.Matches(testJob) {
			t.Fatalf("read %+v, written %+v", read, record)
		}
	})
}

// TestEndAbandoned guards against losing work that a worker did while it was unreachable, and against counting this
// work although a later run of the task has been placed.
func TestEndAbandoned(t *testing.T) {
	tests := []struct {
		name    string
		replace bool
		outcome RunOutcome
		changed bool
		phase   Phase
	}{
		{"done run counts", false, RunDone, true, Done},
		{"failed run counts", false, RunFailed, true, Waiting},
		{"stopped run does not count", false, RunStopped, false, Waiting},
		{"replaced run does not count", true, RunDone, false, Placed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			record := New(testJob)
			placeAll(record, 0)
			record.End(testJob, task(0, 0), 1, RunLeaseExpired, "", 2)
			if test.replace {
				placeAll(record, 0)
			}
			if record.Superseded(task(0, 0), 1) != test.replace {
				t.Error("Superseded does not report whether a later run was placed")
			}
			changed := record.EndAbandoned(testJob, task(0, 0), 1, test.outcome, 2)
			if changed != test.changed || record.Task(task(0, 0)).Phase != test.phase {
				t.Errorf("changed %t, phase %q", changed, record.Task(task(0, 0)).Phase)
			}
		})
	}
}

// TestBegin guards against a job that counts as running although none of its tasks has begun, and against one that counts
// as waiting although one has.
func TestBegin(t *testing.T) {
	tests := []struct {
		name string
		// before is how an earlier run of each task ended that had begun; empty if there was none.
		before RunOutcome
		state  State
	}{
		{"no earlier run", "", Queued},
		{"an earlier run failed", RunFailed, Running},
		{"an earlier run was lost", RunLost, Running},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			record := New(testJob)
			if test.before != "" {
				placeAll(record, 0)
				if !record.Begin() || record.Begin() {
					t.Error("the beginning does not count once")
				}
				record.End(testJob, task(0, 0), 1, test.before, "", 9)
				record.End(testJob, task(0, 1), 1, test.before, "", 9)
			}
			placeAll(record, 0)
			run := record.Task(task(0, 0)).Run
			for _, index := range []int{0, 1} {
				if record.State != test.state {
					t.Errorf("state %s while task %d is placed, want %s", record.State, index, test.state)
				}
				if !record.End(testJob, task(0, index), run, RunLost, "", 9) ||
					record.End(testJob, task(0, index), run, RunLost, "", 9) {
					t.Error("the end does not count once")
				}
			}
			if record.State != test.state {
				t.Errorf("state %s after the ends, want %s", record.State, test.state)
			}
		})
	}
}

// TestRestore guards against a stored job that counts as running because it was only placed, or as waiting because its
// state was stored without its record.
func TestRestore(t *testing.T) {
	tests := []struct {
		name           string
		record, stored State
		begun          bool
		want           State
	}{
		{"waiting", Queued, Queued, false, Queued},
		{"placed by an earlier version", Running, Running, false, Queued},
		{"begun, and the record stored", Running, Running, true, Running},
		{"begun, and only the state stored", Queued, Running, false, Running},
		{"begun, and only the record stored", Running, Queued, true, Running},
		{"begun under an earlier version that took over", Queued, Queued, true, Running},
		{"done", Completed, Running, true, Completed},
		{"cancelled", Queued, Cancelled, false, Queued},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			record := New(testJob)
			record.State, record.Begun = test.record, test.begun
			record.Restore(test.stored)
			if record.State != test.want || test.want == Running && !record.Begun {
				t.Errorf("state %s, begun %t, want %s", record.State, record.Begun, test.want)
			}
		})
	}
}
