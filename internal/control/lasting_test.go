package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestLastingTaskRestartsBesideWaitingGang guards against a task that lasts and is not started again after its end, because
// the free capacity is withheld for a gang that waits, in a service that is busy with other work.
func TestLastingTaskRestartsBesideWaitingGang(t *testing.T) {
	tests := []struct {
		name string
		// gang is the priority of the gang, and within the time within which the task has to start again.
		gang   workload.Priority
		within time.Duration
	}{
		{"gang of the same priority", 1, 0},
		{"gang of a higher priority", 0, 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const workers = 8
			loop := newTestLoop(t, workers)
			whole := workload.Step{
				Tasks: 5, Estimate: time.Minute, Each: workload.Resources{Accelerators: 8},
			}
			lasting := loop.submit(1, workload.Step{
				Tasks: 1, Estimate: 3 * time.Second, LongRunning: true, Each: workload.Resources{Accelerators: 1},
			})
			// It was accepted long ago, so that a job of its estimate would be far too late.
			lasting.Accepted = lasting.Accepted.Add(-time.Hour)
			// The gang cannot preempt the other work.
			loop.submit(test.gang, whole)
			loop.plan()
			if len(lasting.runs) != 1 {
				t.Fatal("the task that lasts does not start")
			}
			for placed := range lasting.runs {
				placed.startSent, placed.confirmedAt = true, loop.now+1
			}
			gang := loop.submit(test.gang, workload.Step{
				Tasks: 4, Gang: true, Estimate: 11 * time.Second, Each: workload.Resources{Accelerators: 8},
			})
			for placed := range lasting.runs {
				loop.endRun(placed, progress.RunFailed, "", "test")
			}
			for elapsed := time.Duration(0); elapsed <= test.within; elapsed += tickInterval {
				loop.plan()
				loop.now += tickInterval
			}
			if len(lasting.runs) != 1 {
				t.Errorf("the task does not run %s after its end, with 3 of %d workers idle", test.within, workers)
			}
			if len(gang.runs) > 0 {
				t.Error("the gang starts without room for it")
			}
		})
	}
}

// crashUnder lets the workers of all runs of a job restart, each of which was confirmed just before.
func (test *testLoop) crashUnder(job *job) {
	for placed := range job.runs {
		crashed := test.workers[job.record.Task(placed.task).At.Worker]
		placed.startSent, placed.confirmedAt = true, test.clock()
		test.noteBegun(job, placed.task, "test")
		crashed.lastHeard = test.clock()
		crashed.markFailing(test.clock(), true)
		test.attributeCrash(crashed, workerRestarted)
		for _, lost := range crashed.runs {
			test.endRun(lost, progress.RunLost, "", "test")
		}
	}
}

// TestLastingTaskIsNotGivenUp guards against a job whose task lasts and that is shown as failed because its workers crash, and
// against such a task that crashes one worker after the other without a pause.
func TestLastingTaskIsNotGivenUp(t *testing.T) {
	loop := newTestLoop(t, 8)
	loop.now = time.Minute
	lasting := loop.submit(1, workload.Step{Tasks: 1, LongRunning: true, Each: workload.Resources{Accelerators: 1}})
	const crashes, enough = 8, 3
	for n := range crashes {
		ended := loop.now
		for len(lasting.runs) == 0 && loop.now-ended < 9*time.Second {
			loop.plan()
			loop.now += tickInterval
		}
		if len(lasting.runs) != 1 {
			t.Fatalf("the task does not run 9 s after crash %d", n)
		}
		if waited := loop.now - ended; n > enough && waited < crashPause {
			t.Errorf("the task starts again %s after crash %d, want at least %s", waited, n, crashPause)
		}
		loop.crashUnder(lasting)
		if lasting.record.State != progress.Running {
			t.Fatalf("the job is %s after crash %d, want running", lasting.record.State, n+1)
		}
	}
}

// TestSuspectedServiceLeavesRoom guards against a crash under a service that has worked for long, after which each of its
// tasks keeps a worker from all other work for as long again.
func TestSuspectedServiceLeavesRoom(t *testing.T) {
	const workers = 8
	loop := newTestLoop(t, workers)
	loop.now = time.Hour
	service := loop.submit(1, workload.Step{Tasks: workers, LongRunning: true, Each: workload.Resources{Accelerators: 1}})
	loop.plan()
	for placed := range service.runs {
		id := placed.task
		service.record.CountCrash(id, placed.number, progress.Crash{
			Late: true, Lone: true, Worked: progress.WorkTime{AtLeast: time.Hour, AtMost: time.Hour},
		})
		service.suspectedAt(id, loop.now)
		loop.endRun(placed, progress.RunLost, "", "test")
	}
	loop.plan()
	if len(service.runs) != workers {
		t.Fatalf("%d tasks of the service run, want %d", len(service.runs), workers)
	}
	urgent := loop.submit(0, workload.Step{Tasks: workers - 1, Each: workload.Resources{Accelerators: 7}})
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += tickInterval {
		loop.plan()
		loop.now += tickInterval
	}
	if len(urgent.runs) != workers-1 {
		t.Errorf("%d urgent tasks run 3 s later beside the tasks of the service, want %d", len(urgent.runs), workers-1)
	}
}

// TestLastingTaskRestartsFarFromData guards against a task that lasts and is never started again beside free capacity,
// because the workers near its data are occupied by work that lasts as well.
func TestLastingTaskRestartsFarFromData(t *testing.T) {
	tests := []struct {
		name string
		// ran is set if the task ran before it waits.
		ran bool
	}{{"it has run before", true}, {"it has never run", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const workers = 32
			loop := newTestLoop(t, workers)
			near := workload.Step{
				Tasks: 8 * 8, LongRunning: true, Each: workload.Resources{Accelerators: 1}, DataRack: "r000",
			}
			occupying := loop.submit(1, near)
			loop.plan()
			if len(occupying.runs) != near.Tasks {
				t.Fatalf("%d tasks run near the data, want %d", len(occupying.runs), near.Tasks)
			}
			elsewhere := near
			elsewhere.Tasks, elsewhere.DataRack = 16*8, ""
			loop.submit(1, elsewhere)
			loop.plan()
			waiting := occupying
			if test.ran {
				for placed := range occupying.runs {
					placed.startSent, placed.confirmedAt = true, loop.now+1
				}
				crashed := loop.workers["w0000"]
				crashed.listed = false
				for _, lost := range crashed.runs {
					loop.endRun(lost, progress.RunLost, "", "test")
				}
			} else {
				near.Tasks = 1
				waiting = loop.submit(1, near)
			}
			for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += tickInterval {
				loop.plan()
				loop.now += tickInterval
				waiting.Accepted = waiting.Accepted.Add(-tickInterval)
			}
			if count := len(waiting.runs); count != near.Tasks {
				t.Errorf("%d of %d tasks run 6 s later, with a quarter of the fleet idle", count, near.Tasks)
			}
		})
	}
}

// TestLastingTaskRestartsInHeadroom guards against a task that lasts and is never started again beside free capacity,
// because all of it is kept free for urgent jobs as long as they come.
func TestLastingTaskRestartsInHeadroom(t *testing.T) {
	for _, test := range []struct {
		name string
		ran  bool
	}{{"it has run before", true}, {"it has never run", false}} {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 12)
			// The workers have 96 accelerators, of which 10 stay free once the lost worker is gone.
			lasting := loop.submit(1, workload.Step{Tasks: 78, LongRunning: true, Each: workload.Resources{Accelerators: 1}})
			loop.plan()
			urgent := workload.Step{Tasks: 4, Each: workload.Resources{Accelerators: 1}, Estimate: 600 * time.Millisecond}
			play := func(length time.Duration) {
				for end := loop.now + length; loop.now < end; loop.now += tickInterval {
					if loop.now%(600*time.Millisecond) == 0 {
						loop.submit(0, urgent)
					}
					loop.plan()
					loop.endRunsAfter(600 * time.Millisecond)
				}
			}
			play(20 * time.Second)
			waiting, want := lasting, 78
			if test.ran {
				for _, crashed := range loop.workers {
					if len(crashed.runs) == 8 {
						crashed.listed = false
						for _, lost := range crashed.runs {
							lost.startSent, lost.confirmedAt = true, loop.now
							loop.endRun(lost, progress.RunLost, "", "test")
						}
						break
					}
				}
			} else {
				waiting, want = loop.submit(1, workload.Step{
					Tasks: 2, LongRunning: true, Each: workload.Resources{Accelerators: 1},
				}), 2
			}
			waiting.Accepted = waiting.Accepted.Add(-restartWithin)
			play(6 * time.Second)
			if count := len(waiting.runs); count != want {
				t.Errorf("%d of %d tasks run 6 s later beside urgent jobs", count, want)
			}
		})
	}
}

// endRunsAfter ends the runs of tasks that do not last and have run for a time.
func (test *testLoop) endRunsAfter(length time.Duration) {
	for _, worker := range test.workers {
		for _, placed := range worker.runs {
			if !placed.step().LongRunning && test.now-placed.startedAt >= length {
				test.endRun(placed, progress.RunDone, "", "test")
			}
		}
	}
}
