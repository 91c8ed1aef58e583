package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestAdjust guards against shares that fall too slowly to keep a target, that change again before the last change can
// show, or that rise while a response time is near its target.
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
		{"missed, before the last change shows", 100, 300 * time.Millisecond, 1.2, 100},
		{"near", 50, time.Second, 0.9, 50},
		{"well below", 50, time.Second, 0.5, 60},
		{"well below, before the last change shows", 50, 300 * time.Millisecond, 0.5, 50},
		{"full already", 100, time.Second, 0.5, 100},
		{"raised from 0", 0, time.Second, 0.5, 10},
	}
	for _, test := range tests {
		const before = WorkerClock(time.Hour)
		sharing := throttleState{share: test.share, changedAt: before}
		changed := sharing.adjust(before+WorkerClock(test.after), test.worst)
		if sharing.share != test.want || changed != (test.want != test.share) {
			t.Errorf("%s: share %d, changed %t; want %d", test.name, sharing.share, changed, test.want)
		}
	}
}

// TestSpeedOfBestEffortRuns guards against an undetected best-effort run that makes no progress although it has a full
// share, and against moves of best-effort runs that are slow only because they are throttled.
func TestSpeedOfBestEffortRuns(t *testing.T) {
	for _, share := range []Share{fullShare, 30, unknownShare} {
		step := workload.Step{Tasks: 1, BestEffortCPU: true, Estimate: 3 * time.Second}
		run := &run{job: &job{Job: workload.Job{Steps: []workload.Step{step}}}, share: share}
		verdict := unclear
		for at := time.Duration(0); at < 4*time.Second; at += 200 * time.Millisecond {
			verdict = run.assess(WorkerClock(time.Hour+at), 0)
		}
		if got, want := verdict == slow, share == fullShare; got != want {
			t.Errorf("share %d: a run without progress is slow: %t, want %t", share, got, want)
		}
	}
}
