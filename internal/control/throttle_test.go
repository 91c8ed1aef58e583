package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestAdjust guards shares against falling too slowly to keep a promise, moving before a change can show, and rising
// while a target is near.
func TestAdjust(t *testing.T) {
	tests := []struct {
		name  string
		share Share
		after time.Duration
		worst float64
		want  Share
	}{
		{"missed", 100, time.Second, 1.2, 30},
		{"missed again", 30, time.Second, 1.2, 0},
		{"missed, too early to tell", 100, 300 * time.Millisecond, 1.2, 100},
		{"near", 50, time.Second, 0.9, 50},
		{"well below", 50, time.Second, 0.5, 60},
		{"well below, too early to tell", 50, 300 * time.Millisecond, 0.5, 50},
		{"full already", 100, time.Second, 0.5, 100},
		{"from nothing", 0, time.Second, 0.5, 10},
	}
	for _, test := range tests {
		const before = WorkerClock(time.Hour)
		sharing := sharing{share: test.share, changed: before}
		changed := sharing.adjust(before+WorkerClock(test.after), test.worst)
		if sharing.share != test.want || changed != (test.want != test.share) {
			t.Errorf("%s: share %d, changed %t; want %d", test.name, sharing.share, changed, test.want)
		}
	}
}

// TestPaceOfFillingRuns guards filling runs at their full share against standing still on a worker unnoticed, and
// throttled ones against being moved.
func TestPaceOfFillingRuns(t *testing.T) {
	for _, share := range []Share{fullShare, 30, unknownShare} {
		step := workload.Step{Tasks: 1, BestEffortCPU: true, Estimate: 3 * time.Second}
		followed := &run{job: &job{Job: workload.Job{Steps: []workload.Step{step}}}, share: share}
		found := unclear
		for at := time.Duration(0); at < 4*time.Second; at += 200 * time.Millisecond {
			found = followed.judge(WorkerClock(time.Hour+at), 0)
		}
		if got, want := found == slow, share == fullShare; got != want {
			t.Errorf("share %d: a run that stands still is slow: %t, want %t", share, got, want)
		}
	}
}
