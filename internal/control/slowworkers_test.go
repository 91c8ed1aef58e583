package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/taskspeed"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestBlamesWorker guards against sound workers that count as slow because a job takes longer than declared, and against
// slow workers that are excused by it.
func TestBlamesWorker(t *testing.T) {
	tests := []struct {
		name string
		// others are the verdicts on the other runs of the step, one on each of as many workers.
		others []verdict
		found  verdict
		gang   bool
		// faster is set if the run was faster before.
		faster bool
		blamed bool
	}{
		{"the only run", nil, belowDeclared, false, false, true},
		{"one other, behind too", []verdict{belowDeclared}, belowDeclared, false, false, true},
		{"all others behind", []verdict{belowDeclared, slow, belowDeclared}, belowDeclared, false, false, false},
		{"no progress, like all others", []verdict{slow, slow}, slow, false, false, false},
		{"others not assessed yet", []verdict{unclear, unclear}, slow, false, false, false},
		{"others steady", []verdict{steady, steady}, belowDeclared, false, false, true},
		{"most others steady", []verdict{steady, steady, belowDeclared}, slow, false, false, true},
		{"most others behind", []verdict{steady, belowDeclared, belowDeclared}, slow, false, false, false},
		{"faster before, others behind", []verdict{slow, slow}, slow, false, true, true},
		{"a gang that stands still", []verdict{slow, slow}, slow, true, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, len(test.others)+1)
			job := loop.submit(1, workload.Step{
				Tasks: len(test.others) + 1, Gang: test.gang, Estimate: time.Second, MaxPerWorker: 1,
			})
			loop.plan()
			verdicts := append([]verdict{test.found}, test.others...)
			var judged *run
			for placed := range job.runs {
				placed.startSent, placed.verdict = true, verdicts[placed.task.Index]
				if placed.task.Index == 0 {
					judged = placed
				}
			}
			if test.faster {
				judged.speeds.RaiseBest(0.1)
			}
			if blamed := judged.blamesWorker(test.found); blamed != test.blamed {
				t.Errorf("blames the worker: %t, want %t", blamed, test.blamed)
			}
		})
	}
}

// observeIdleMinute adds samples of a minute in which the run made no progress.
func (run *run) observeIdleMinute() {
	run.speeds.Observe(taskspeed.Sample{At: 1}, speedWindow)
	run.speeds.Observe(taskspeed.Sample{At: time.Minute}, speedWindow)
}

// TestShareOfSlowWorkers guards against a service, a data centre or a rack of which too much is paused on suspicion.
func TestShareOfSlowWorkers(t *testing.T) {
	tests := []struct {
		name         string
		workers      int
		dataCentreOf func(worker int) int
		paused       int
	}{
		{"one worker", 1, func(int) int { return 0 }, 1},
		{"a quarter of the service", 48, func(int) int { return 0 }, 12},
		{"half of a small data centre", 48, func(worker int) int { return min(worker/8, 1) }, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, test.workers)
			perDataCentre, pausedIn, perRack, pausedOf := map[fleet.DataCentreID]int{}, map[fleet.DataCentreID]int{},
				map[fleet.RackID]int{}, map[fleet.RackID]int{}
			for n := range test.workers {
				worker := loop.workers[fleet.WorkerID(fmt.Sprintf("w%04d", n))]
				worker.entry.DataCentre = fleet.DataCentreID(fmt.Sprint(test.dataCentreOf(n)))
				perDataCentre[worker.entry.DataCentre]++
				perRack[worker.entry.Rack]++
			}
			paused := 0
			for n := range test.workers {
				worker := loop.workers[fleet.WorkerID(fmt.Sprintf("w%04d", n))]
				job := loop.submit(1, workload.Step{Tasks: 1, Estimate: time.Second})
				placed := &run{task: workload.TaskID{Job: job.ID}, job: job}
				placed.observeIdleMinute()
				placed.speeds.RaiseBest(0.1)
				loop.handleSlowRuns(worker, map[*run]verdict{placed: slow})
				if worker.health.PausedAsSlow(loop.now) {
					paused++
					pausedIn[worker.entry.DataCentre]++
					pausedOf[worker.entry.Rack]++
				}
			}
			if paused != test.paused {
				t.Errorf("%d workers are paused, want %d", paused, test.paused)
			}
			for id, count := range pausedIn {
				if most := max(1, perDataCentre[id]/2); count > most {
					t.Errorf("%d workers of data centre %s are paused, want %d at most", count, id, most)
				}
			}
			for id, count := range pausedOf {
				if most := max(1, perRack[id]*3/4); count > most {
					t.Errorf("%d workers of rack %s are paused, want %d at most", count, id, most)
				}
			}
		})
	}
}
