package progress

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// monthly runs one task each minute of a month.
func monthly() workload.Job {
	return workload.Job{
		ID: "j", Steps: []workload.Step{{Tasks: 1}},
		Schedule: workload.Schedule{First: time.Unix(0, 0), Interval: time.Minute, Count: 31 * 24 * 60},
	}
}

func encoded(t interface{ Fatal(...any) }, record *Record) []byte {
	content, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestRecordOfManyOccurrences guards against a record that grows with the occurrences that are not due or long done.
func TestRecordOfManyOccurrences(t *testing.T) {
	job := monthly()
	record := New(job)
	for k := range job.Schedule.Count {
		unit := slices.Collect(record.Units(job, k, 0))[0]
		run := record.Place(job, unit, []Location{{Worker: "w"}})
		record.End(job, workload.TaskID{Job: job.ID, Occurrence: k}, run, RunDone, "", 3)
		record.Prune(k)
		if size := len(encoded(t, record)); k%10000 == 0 && size > 200 {
			t.Fatalf("the record takes %d bytes after %d occurrences", size, k+1)
		}
	}
	if record.State != Completed {
		t.Errorf("state %s after all occurrences, want completed", record.State)
	}
	if !record.Matches(job) {
		t.Error("the record does not match its job")
	}
}

// TestOccurrences guards against occurrences that run twice or never, in whatever order they begin, end and are
// pruned.
func TestOccurrences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "occurrences")
		job := workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}},
			Schedule: workload.Schedule{Count: count}}
		record := New(job)
		open := map[int]int{}
		for k := range count {
			open[k] = 3
		}
		for len(open) > 0 {
			k := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "occurrence")
			step := 0
			if record.StepDone(k, 0) {
				step = 1
			}
			if step == 1 != record.Ready(job, k, 1) {
				t.Fatalf("step 1 of occurrence %d is ready %t", k, step == 0)
			}
			unit := slices.Collect(record.Units(job, k, step))[0]
			run := record.Place(job, unit, make([]Location, 1))
			id := workload.TaskID{Job: "j", Occurrence: k, Step: step, Index: unit.Tasks[0]}
			if !record.End(job, id, run, RunDone, "", 3) {
				t.Fatalf("the end of %s does not count", id)
			}
			if open[k]--; open[k] == 0 {
				delete(open, k)
			}
			if rapid.Bool().Draw(t, "prune") {
				record.Prune(k)
			}
			read := Record{}
			if err := json.Unmarshal(encoded(t, record), &read); err != nil || !read.Matches(job) {
				t.Fatalf("a stored record does not match its job: %v %s", err, encoded(t, record))
			}
			record = &read
			checkUnfinished(t, record, job, open)
		}
		if record.State != Completed {
			t.Fatalf("state %s, want completed", record.State)
		}
	})
}

// checkUnfinished compares the waiting tasks of all occurrences that the record yields with the number of open ones.
func checkUnfinished(t *rapid.T, record *Record, job workload.Job, open map[int]int) {
	waiting := map[int]int{}
	for k := range record.Unfinished(job.Schedule.Count) {
		for step := range job.Steps {
			if units := slices.Collect(record.Units(job, k, step)); len(units) > 0 {
				waiting[k] += len(units)
			}
		}
	}
	if !maps.Equal(waiting, open) {
		t.Fatalf("waiting tasks %v, want %v", waiting, open)
	}
	if done := record.State == Completed; done != (len(open) == 0) {
		t.Fatalf("state %s with %d open occurrences", record.State, len(open))
	}
}

// TestRecordOfEarlierVersion guards against progress that is lost because a record has an entry for each occurrence.
func TestRecordOfEarlierVersion(t *testing.T) {
	job := workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 1}}, Schedule: workload.Schedule{Count: 5}}
	const stored = `{"write":"1-1","state":"running","occurrences":[` +
		`{"steps":[{"tasks":[{"phase":"done","run":1}]}]},` +
		`{"steps":[{"tasks":[{"phase":"placed","run":2,"at":{"worker_id":"w"}}]}]},` +
		`{"steps":[{"tasks":[{}]}]},{"steps":[{"tasks":[{"run":3}]}]},{"steps":[{"tasks":[{}]}]}]}`
	var record Record
	if err := json.Unmarshal([]byte(stored), &record); err != nil || !record.Matches(job) {
		t.Fatalf("the record does not match its job: %v", err)
	}
	for k, want := range []Task{
		{Phase: Done, Run: 1}, {Phase: Placed, Run: 2, At: Location{Worker: "w"}}, {}, {Run: 3}, {},
	} {
		if task := record.Task(workload.TaskID{Occurrence: k}); task != nil && *task != want || task == nil && want != (Task{}) {
			t.Errorf("occurrence %d: %+v, want %+v", k, task, want)
		}
	}
	record.Prune(0)
	if waiting := slices.Collect(record.Unfinished(5)); !slices.Equal(waiting, []int{1, 2, 3, 4}) {
		t.Errorf("unfinished occurrences %v, want 1 to 4", waiting)
	}
}

// TestSizeOfRecords guards against records that grow beyond the size that is reckoned with.
func TestSizeOfRecords(t *testing.T) {
	job := workload.Job{ID: "j", Steps: []workload.Step{{Tasks: 2000}, {Tasks: 500}}}
	record := New(job)
	location := Location{Worker: "i-76e77ecba1", Incarnation: 1796497653916, Address: "255.255.255.255:65535"}
	longest := WorkTime{AtLeast: 200 * time.Hour, AtMost: 200 * time.Hour}
	for i := range 2000 {
		run := record.Place(job, Unit{Tasks: []int{i}}, []Location{location})
		if i%2 == 0 {
			record.End(job, workload.TaskID{Index: i}, run, RunDone, "", 3)
			continue
		}
		id := workload.TaskID{Index: i}
		record.CountCrash(id, run, Crash{Worked: longest, Late: true})
		record.End(job, id, run, RunFailed, "00000bb87a21d94b", 0)
		run = record.Place(job, Unit{Tasks: []int{i}}, []Location{location})
		if !record.NoteSeen(id, run) {
			t.Fatal("a run after a crash is not recorded as seen")
		}
	}
	size, reckoned := Bytes(len(encoded(t, record))), FootprintOf(job).Record(1, 1000)
	if size > reckoned {
		t.Errorf("the record takes %d bytes, more than %d", size, reckoned)
	}
}

// TestCheckSize guards against accepting a job whose record the store never takes.
func TestCheckSize(t *testing.T) {
	const limit = 1 << 20
	tests := []struct {
		name  string
		steps []workload.Step
		valid bool
	}{
		{"one task", []workload.Step{{Tasks: 1}}, true},
		{"4096 tasks", []workload.Step{{Tasks: 4096}}, true},
		{"12,000 steps", slices.Repeat([]workload.Step{{Tasks: 1}}, 12000), true},
		{"65,536 tasks", slices.Repeat([]workload.Step{{Tasks: 4096}}, 16), false},
		{"a gang of 256", []workload.Step{{Tasks: 256, Gang: true}}, true},
		{"a gang of 2048", []workload.Step{{Tasks: 2048, Gang: true}}, true},
		{"a gang of 4096", []workload.Step{{Tasks: 4096, Gang: true}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := CheckSize(workload.Job{Steps: test.steps}, limit); (err == nil) != test.valid {
				t.Errorf("got %v, want valid %t", err, test.valid)
			}
		})
	}
}
