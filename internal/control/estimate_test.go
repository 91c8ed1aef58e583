package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestBelowTypicalSpeed guards against a gang that stays on a slow worker because a wrong declaration is not excluded,
// and against runs that count as slow since the declarations of their profile are far from the truth.
func TestBelowTypicalSpeed(t *testing.T) {
	const estimate = 10 * time.Second
	tests := []struct {
		name string
		// done are the speeds of earlier runs relative to the declared one.
		done   []float64
		recent float64
		below  bool
	}{
		{"too few runs", []float64{1, 1, 1}, 0.1, false},
		{"a seventh of the typical speed", []float64{1, 1, 1.5, 0.7, 1, 1, 1, 1.2}, 0.14, true},
		{"declarations are ten times too low", []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, 0.1, false},
		{"a third of the runs were on slow workers", []float64{1, 1, 1, 0.14, 1, 0.14, 1, 1, 0.14}, 0.14, true},
		{"slower than typical, but not far", []float64{1, 1, 1, 1, 1, 1, 1, 1}, 0.5, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			job := loop.submit(1, workload.Step{Tasks: 1, Estimate: estimate})
			for _, ratio := range test.done {
				job.accuracy.add(ratio)
			}
			run := &run{job: job, task: workload.TaskID{Job: job.ID}}
			if below := run.belowTypical(speed(test.recent) * run.declaredSpeed()); below != test.below {
				t.Errorf("below the typical speed is %t, want %t", below, test.below)
			}
		})
	}
}

// TestEstimateAccuracyForgets guards against an accuracy that no longer follows the declarations.
func TestEstimateAccuracyForgets(t *testing.T) {
	var accuracy estimateAccuracy
	for range estimateSamples {
		accuracy.add(1)
	}
	for range estimateSamples {
		accuracy.add(2)
	}
	if median, ok := accuracy.median(); !ok || median != 2 {
		t.Errorf("median %v, %t; want 2", median, ok)
	}
}
