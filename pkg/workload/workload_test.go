package workload

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestCheckOfOddJobs guards against sums over tasks, jobs and times that overflow, and against images that are too long
// to store with each job or that break the lines of a log.
func TestCheckOfOddJobs(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Job)
		valid  bool
	}{
		{"sound", func(*Job) {}, true},
		{"no need", func(job *Job) { job.Steps[0].Each = Resources{} }, true},
		{"large need", func(job *Job) { job.Steps[0].Each.Millicores = 1 << 30 }, true},
		{"9e18 accelerators", func(job *Job) { job.Steps[0].Each.Accelerators = 9e18 }, false},
		{"9e18 millicores", func(job *Job) { job.Steps[0].Each.Millicores = 9e18 }, false},
		{"9e18 MiB", func(job *Job) { job.Steps[0].Each.MemoryMiB = 9e18 }, false},
		{"negative accelerators", func(job *Job) { job.Steps[0].Each.Accelerators = -1 }, false},
		{"4096 tasks", func(job *Job) { job.Steps[0].Tasks = 4096 }, true},
		{"4097 tasks", func(job *Job) { job.Steps[0].Tasks = 4097 }, false},
		{"many occurrences", func(job *Job) { job.Schedule.Count = 1 << 20 }, true},
		{"too many occurrences", func(job *Job) { job.Schedule.Count = 1<<20 + 1 }, false},
		{"many tasks", func(job *Job) { job.Steps = slices.Repeat([]Step{{Tasks: 4096}}, 16) }, true},
		{"too many tasks", func(job *Job) { job.Steps = slices.Repeat([]Step{{Tasks: 4096}}, 17) }, false},
		{"most occurrences", func(job *Job) { job.Schedule.Count = math.MaxInt }, false},
		{"long interval", func(job *Job) { job.Schedule = Schedule{Count: 10, Interval: 365 * 24 * time.Hour} }, true},
		{"longest interval", func(job *Job) { job.Schedule = Schedule{Count: 2, Interval: math.MaxInt64} }, false},
		{"late", func(job *Job) { job.Schedule.First = time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC) }, false},
		{"early", func(job *Job) { job.Schedule.First = time.Date(-1, 1, 1, 0, 0, 0, 0, time.UTC) }, false},
		{"longest estimate", func(job *Job) { job.Steps[0].Estimate = math.MaxInt64 }, false},
		{"lowest estimate", func(job *Job) { job.Steps[0].Estimate = math.MinInt64 }, false},
		{"image", func(job *Job) { job.Steps[0].Image = "registry:5000/team/train:1.2@sha256:ab" }, true},
		{"longest image", func(job *Job) { job.Steps[0].Image = strings.Repeat("i", 512) }, true},
		{"too long image", func(job *Job) { job.Steps[0].Image = strings.Repeat("i", 513) }, false},
		{"image of two lines", func(job *Job) { job.Steps[0].Image = "a\nb" }, false},
		{"long estimates", func(job *Job) {
			job.Steps[0].Estimate = 60 * 365 * 24 * time.Hour
			job.Steps = append(job.Steps, job.Steps[0])
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			job := Job{Steps: []Step{{
				Tasks: 2, Each: Resources{Millicores: 1000, MemoryMiB: 100, Accelerators: 1}, Estimate: time.Minute,
			}}}
			test.change(&job)
			if err := job.Check(); (err == nil) != test.valid {
				t.Errorf("got %v, want valid %t", err, test.valid)
			}
		})
	}
}

// TestObjective guards against a target completion time that overflows, or that depends on the processor.
func TestObjective(t *testing.T) {
	const year = 365 * 24 * time.Hour
	tests := []struct {
		name         string
		policy       JobPolicy
		criticalPath time.Duration
		want         time.Duration
	}{
		{"sound", JobPolicy{Stretch: 3, CompletionOffset: time.Second}, time.Minute, 181 * time.Second},
		{"no policy", JobPolicy{}, time.Minute, 0},
		{"large stretch", JobPolicy{Stretch: 1e300}, time.Minute, maxObjective},
		{"large negative stretch", JobPolicy{Stretch: -1e300}, time.Minute, -maxObjective},
		{"long path", JobPolicy{Stretch: 1e6}, 100 * year, maxObjective},
		{"long offset", JobPolicy{Stretch: 1, CompletionOffset: math.MaxInt64}, time.Minute, maxObjective},
		{"long path and offset", JobPolicy{Stretch: 1e300, CompletionOffset: math.MaxInt64}, time.Minute, maxObjective},
		{"infinite stretch of nothing", JobPolicy{Stretch: math.Inf(1)}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.policy.Objective(test.criticalPath); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestDueBy guards against occurrences that start before they are due, and against ones that never start.
func TestDueBy(t *testing.T) {
	first := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	minutely := Schedule{First: first, Interval: time.Minute, Count: 44640}
	tests := []struct {
		name     string
		schedule Schedule
		now      time.Time
		due      int
	}{
		{"no schedule", Schedule{}, first, 1},
		{"before the first", minutely, first.Add(-1), 0},
		{"the first", minutely, first, 1},
		{"just before the second", minutely, first.Add(time.Minute - 1), 1},
		{"the second", minutely, first.Add(time.Minute), 2},
		{"the last", minutely, first.Add(44639 * time.Minute), 44640},
		{"long after", minutely, first.AddDate(400, 0, 0), 44640},
		{"all at once", Schedule{First: first, Count: 5}, first, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			due := test.schedule.DueBy(test.now)
			if due != test.due {
				t.Fatalf("%d occurrences are due, want %d", due, test.due)
			}
			if due > 0 && test.schedule.Due(due-1).After(test.now) {
				t.Errorf("occurrence %d counts as due before %s", due-1, test.schedule.Due(due-1))
			}
		})
	}
}
