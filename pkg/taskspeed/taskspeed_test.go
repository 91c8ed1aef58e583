package taskspeed

import (
	"math"
	"testing"
	"time"
)

const testWindow = 2 * time.Second

// observed returns a tracker with one sample a second of the given progress.
func observed(done ...float64) *Tracker {
	tracker := &Tracker{}
	for second, part := range done {
		tracker.Observe(Sample{At: time.Hour + time.Duration(second)*time.Second, Done: part}, testWindow)
	}
	return tracker
}

func sameSpeed(a, b Speed) bool { return math.Abs(float64(a-b)) < 1e-9 }

// TestRecent guards against a speed from too short a time, and against one that old samples outside the window affect.
func TestRecent(t *testing.T) {
	tests := []struct {
		name   string
		done   []float64
		known  bool
		recent Speed
	}{
		{"no sample", nil, false, 0},
		{"one sample", []float64{0.5}, false, 0},
		{"less than the window", []float64{0, 0.1}, false, 0},
		{"the window", []float64{0, 0.1, 0.2}, true, 0.1},
		{"slower lately", []float64{0, 0.3, 0.6, 0.61, 0.62}, true, 0.01},
		{"no progress lately", []float64{0, 0.3, 0.3, 0.3}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recent, known := observed(test.done...).Recent(testWindow)
			if known != test.known || !sameSpeed(recent, test.recent) {
				t.Errorf("got %v, %t, want %v, %t", recent, known, test.recent, test.known)
			}
		})
	}
}

// TestMean guards against a mean speed from too short a time or that counts the work of an earlier run.
func TestMean(t *testing.T) {
	tests := []struct {
		name  string
		done  []float64
		known bool
		mean  Speed
	}{
		{"no sample", nil, false, 0},
		{"less than the window", []float64{0, 0.1}, false, 0},
		{"no progress", []float64{0.5, 0.5, 0.5, 0.5}, false, 0},
		{"resumed from a checkpoint", []float64{0.5, 0.6, 0.6, 0.6, 0.7}, true, 0.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mean, known := observed(test.done...).Mean(testWindow)
			if known != test.known || !sameSpeed(mean, test.mean) {
				t.Errorf("got %v, %t, want %v, %t", mean, known, test.mean, test.known)
			}
		})
	}
}

// TestMoving guards against a startup without progress that counts as time at work.
func TestMoving(t *testing.T) {
	tracker := observed(0.2, 0.2, 0.2, 0.3, 0.4)
	if moving, want := tracker.Moving(), (Sample{At: time.Hour + 2*time.Second, Done: 0.2}); moving != want {
		t.Errorf("got %v, want %v", moving, want)
	}
}

// TestRepeatedSample guards against a listing that arrives late or twice and replaces a later one.
func TestRepeatedSample(t *testing.T) {
	tracker := observed(0, 0.1)
	last := tracker.Last()
	tracker.Observe(Sample{At: last.At, Done: 0.9}, testWindow)
	tracker.Observe(Sample{At: last.At - time.Second/2, Done: 0.9}, testWindow)
	if tracker.Last() != last {
		t.Errorf("got %v, want %v", tracker.Last(), last)
	}
}

// TestBest guards against a best speed that a slower one replaces.
func TestBest(t *testing.T) {
	tracker := &Tracker{}
	for _, speed := range []Speed{0.1, 0.3, 0.2, -1} {
		tracker.RaiseBest(speed)
	}
	if tracker.Best() != 0.3 {
		t.Errorf("got %v, want 0.3", tracker.Best())
	}
}
