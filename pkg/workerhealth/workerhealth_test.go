package workerhealth

import (
	"testing"
	"time"
)

// TestHealth guards against a worker that gets all kinds of tasks again although it fails every run that it starts, and
// against one that stays out of use although it has run a task since.
func TestHealth(t *testing.T) {
	const second = time.Second
	type state struct{ available, onProbation, proven bool }
	tests := []struct {
		name   string
		events func(*Health)
		now    time.Duration
		want   state
	}{
		{"no runs", func(*Health) {}, second, state{true, false, false}},
		{"paused after a failure", func(health *Health) {
			health.RecordFailure("a", second, second)
		}, 2 * second, state{false, true, false}},
		{"on probation after the pause", func(health *Health) {
			health.RecordFailure("a", second, second)
		}, second + FailurePause, state{true, true, false}},
		{"probation ends without a task", func(health *Health) {
			health.RecordFailure("a", second, second)
		}, second + FailurePause + Probation, state{true, false, false}},
		{"a run that started before the failure clears nothing", func(health *Health) {
			health.RecordFailure("a", 2*second, 3*second)
			health.RecordSurvival(2 * second)
		}, 3*second + FailurePause, state{true, true, false}},
		{"a run that started after the failure clears it", func(health *Health) {
			health.RecordFailure("a", second, second)
			health.RecordSurvival(2 * second)
		}, 3 * second, state{true, false, true}},
		{"runs that failed together count once", func(health *Health) {
			for range 5 {
				health.RecordFailure("a", second, second)
			}
		}, second + FailurePause, state{true, true, false}},
		{"a second failure pauses for longer", func(health *Health) {
			health.RecordFailure("a", 0, second)
			health.RecordFailure("b", second+FailurePause, 3*second)
		}, 3*second + FailurePause, state{false, true, false}},
		{"a job that is to blame is forgiven", func(health *Health) {
			health.RecordFailure("a", second, second)
			health.Forgive("a")
		}, second, state{true, false, false}},
		{"failures of two jobs are not forgiven", func(health *Health) {
			health.RecordFailure("a", second, second)
			health.RecordFailure("b", second, second)
			health.Forgive("a")
		}, second, state{false, true, false}},
		{"slow runs pause the worker", func(health *Health) {
			health.RecordSlow(second)
		}, 2 * second, state{false, true, false}},
		{"a normal speed ends the doubt", func(health *Health) {
			health.RecordSlow(second)
			health.RecordNormalSpeed()
		}, second + SlowPause, state{true, false, false}},
		{"slow again after the pause", func(health *Health) {
			health.RecordSlow(0)
			health.RecordSlow(SlowPause)
		}, SlowPause + SlowPause, state{false, true, false}},
		{"a report during the pause does not double it", func(health *Health) {
			health.RecordSlow(0)
			health.RecordSlow(second)
		}, second + SlowPause, state{true, true, false}},
		{"a run that survives says nothing of its speed", func(health *Health) {
			health.RecordSlow(second)
			health.RecordSurvival(2 * second)
		}, 2 * second, state{false, true, false}},
		{"proof expires", func(health *Health) {
			health.RecordSurvival(second)
		}, second + ProofAge, state{true, false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var health Health
			test.events(&health)
			got := state{health.Available(test.now), health.OnProbation(test.now), health.Proven(test.now)}
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestPausesAreBounded guards against a worker that is left out for good after many failures.
func TestPausesAreBounded(t *testing.T) {
	var health Health
	now := time.Duration(0)
	for range 100 {
		now = health.PausedUntil() + time.Millisecond
		health.RecordFailure("a", now, now)
	}
	if pause := health.PausedUntil() - now; pause != MaxFailurePause {
		t.Errorf("the pause after 100 failures is %s, want %s", pause, MaxFailurePause)
	}
}

// TestBlameJob guards against a wide job that is blamed because two of its many workers fail, and against a job that
// fails everywhere and takes workers out of use.
func TestBlameJob(t *testing.T) {
	tests := []struct {
		failed, sound int
		blamed        bool
	}{
		{1, 0, false}, {2, 0, true}, {2, 1, true}, {2, 2, false}, {4, 30, false}, {20, 18, true},
	}
	for _, test := range tests {
		if blamed := BlameJob(test.failed, test.sound); blamed != test.blamed {
			t.Errorf("failed on %d workers, sound on %d: blamed is %t", test.failed, test.sound, blamed)
		}
	}
}
