package progress

import (
	"testing"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestCountCrash guards against a wrong count of crashes: a job that goes on, or one that fails for others.
func TestCountCrash(t *testing.T) {
	const lone, unclear, survives, shared, late = "lone", "unclear", "survives", "shared", "late and lone"
	crashes := map[string]Crash{
		lone: {Lone: true}, unclear: {}, shared: {Late: true}, late: {Late: true, Lone: true},
	}
	tests := []struct {
		name   string
		runs   []string
		failed bool
	}{
		{"two crashes", []string{lone, lone}, false},
		{"three, one of them alone", []string{unclear, lone, unclear}, true},
		{"four unclear ones", []string{unclear, unclear, unclear, unclear}, false},
		{"five unclear ones", []string{unclear, unclear, unclear, unclear, unclear}, true},
		{"shared ones only", []string{shared, shared, shared, shared, shared, shared}, false},
		{"two shared ones, then one alone", []string{shared, shared, late}, false},
		{"two shared ones, then two alone", []string{shared, shared, late, late}, true},
		{"three shared ones, then one alone", []string{shared, shared, shared, late}, true},
		{"shared and unclear ones", []string{shared, shared, shared, shared, unclear, unclear, unclear}, false},
		{"a run that survives after shared ones", []string{shared, shared, late, survives, shared, shared, late}, false},
		{"a run that survives starts anew", []string{lone, lone, survives, lone, lone}, false},
	}
	for _, test := range tests {
		for _, gang := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				job := workload.Job{Steps: []workload.Step{{Tasks: 2, Gang: gang}}}
				record := New(job)
				unit := Unit{Tasks: []int{1}}
				if gang {
					unit.Tasks = []int{0, 1}
				}
				id := workload.TaskID{Index: 1}
				for _, end := range test.runs {
					run := record.Place(unit, make([]Location, len(unit.Tasks)))
					if end == survives {
						record.ClearCrashes(job, id)
					} else if !record.CountCrash(job, id, run, crashes[end]) || record.CountCrash(job, id, run, crashes[end]) {
						t.Error("a crash is not counted once")
					}
					for _, index := range unit.Tasks {
						record.End(job, workload.TaskID{Index: index}, run, RunLost, "", 3)
					}
				}
				if failed := record.State == Failed; failed != test.failed {
					t.Errorf("job failed %t, want %t", failed, test.failed)
				}
			})
		}
	}
}
