package control

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workerhealth"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// crashUnderDecided lets the workers of all runs of a job restart while nothing is known of the runs but that a former
// controller had decided to start them.
func (test *testLoop) crashUnderDecided(job *job) {
	for placed := range job.runs {
		crashed := test.workers[job.record.Task(placed.task).At.Worker]
		placed.startSent, placed.restored = true, true
		crashed.markFailing(test.clock(), true)
		test.attributeCrash(crashed, workerRestarted)
		for _, lost := range crashed.runs {
			test.endRun(lost, progress.RunLost, "", "test")
		}
	}
}

// TestJobDoesNotFailForDecisions guards against a job that is shown as failed because its workers were lost together with
// the controller, although no worker, or only one or two, had started its task; and against a task that crashes its workers
// and is not given up because the controller changed meanwhile.
func TestJobDoesNotFailForDecisions(t *testing.T) {
	const known, decided = true, false
	tests := []struct {
		name string
		// crashes are those of the workers of the task, in succession.
		crashes []bool
		failed  bool
	}{
		{"decisions only", []bool{decided, decided, decided, decided, decided, decided, decided, decided}, false},
		{"decisions and one run", []bool{decided, decided, known, decided, decided, decided}, false},
		{"one run and decisions", []bool{known, decided, decided, decided, decided, decided}, false},
		{"two runs and decisions", []bool{known, known, decided, decided, decided}, false},
		{"three runs", []bool{known, known, known}, true},
		{"three runs and a decision", []bool{known, decided, known, known}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 16)
			loop.now = time.Minute
			job := loop.submit(1, workload.Step{Tasks: 1, Each: workload.Resources{Accelerators: 1}})
			for n, crash := range test.crashes {
				for waited := time.Duration(0); len(job.runs) == 0 && waited < 9*time.Second; waited += tickInterval {
					loop.plan()
					loop.now += tickInterval
				}
				if len(job.runs) != 1 {
					t.Fatalf("the task does not run 9 s after crash %d", n)
				}
				if crash == known {
					loop.crashUnder(job)
				} else {
					loop.crashUnderDecided(job)
				}
				if failed := job.record.State == progress.Failed; failed && n+1 < len(test.crashes) {
					t.Fatalf("the job is shown as failed after crash %d", n+1)
				}
				loop.now += backgroundWindow
			}
			if failed := job.record.State == progress.Failed; failed != test.failed {
				t.Errorf("failed is %t, want %t", failed, test.failed)
			}
		})
	}
}

// TestRunSeenByFormerController guards against a run that a worker is known to have begun, and that the next controller takes
// for a mere decision, so that its task crashes more workers than it may; and against a record that is stored once more for
// each start of a task under which no worker has crashed.
func TestRunSeenByFormerController(t *testing.T) {
	tests := []struct {
		name string
		// crashed is set if a worker has crashed under the task before, and answered if the start of the run was answered.
		crashed, answered bool
		want              presence
	}{
		{"first run", false, true, presenceRecorded},
		{"answered start after a crash", true, true, presenceConfirmed},
		{"unanswered start after a crash", true, false, presenceRecorded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			former := newTestLoop(t, 4)
			former.now = time.Minute
			placed := former.submit(1, workload.Step{Tasks: 1, Each: workload.Resources{Accelerators: 1}})
			former.plan()
			if test.crashed {
				former.crashUnder(placed)
				former.plan()
			}
			for decided := range placed.runs {
				decided.startSent = true
				if test.answered {
					decided.confirmedAt = former.clock()
				}
				former.noteSeen(decided)
			}
			next := newTestLoop(t, 4)
			next.pendingRecords[placed.ID] = keyvalue.Item{
				Key: ledger.RecordKey(placed.ID), Value: ledger.Encode(placed.record), Revision: 2,
			}
			next.addJob(placed.Job, 1)
			runs := next.jobs[placed.ID].runs
			if len(runs) != 1 {
				t.Fatalf("%d runs are restored, want 1", len(runs))
			}
			for restored := range runs {
				if presence := restored.presence(); presence != test.want {
					t.Errorf("the presence of the run is %s, want %s", presence, test.want)
				}
			}
		})
	}
}

// TestDecisionDoesNotProlongWait guards against a task that lasts and waits for longer after its end, because a run of it was
// placed meanwhile that never started.
func TestDecisionDoesNotProlongWait(t *testing.T) {
	loop := newTestLoop(t, 8)
	loop.now = time.Minute
	// The gang cannot preempt this work.
	loop.submit(0, workload.Step{Tasks: 5, Estimate: time.Minute, Each: workload.Resources{Accelerators: 8}})
	lasting := loop.submit(1, workload.Step{
		Tasks: 1, Estimate: 3 * time.Second, LongRunning: true, Each: workload.Resources{Accelerators: 1},
	})
	lasting.Accepted = lasting.Accepted.Add(-time.Hour)
	loop.plan()
	for began := range lasting.runs {
		began.startSent, began.confirmedAt = true, loop.now
		loop.endRun(began, progress.RunFailed, "", "test")
	}
	ended := loop.now
	loop.now += restartWithin - tickInterval
	loop.plan()
	if len(lasting.runs) != 1 {
		t.Fatal("the task is not placed again")
	}
	for decided := range lasting.runs {
		loop.endUnstarted(decided, "test")
	}
	loop.submit(0, workload.Step{
		Tasks: 4, Gang: true, Estimate: 11 * time.Second, Each: workload.Resources{Accelerators: 8},
	})
	for len(lasting.runs) == 0 && loop.now-ended < 9*time.Second {
		loop.plan()
		loop.now += tickInterval
	}
	if waited := loop.now - ended; waited > restartWithin+2*tickInterval {
		t.Errorf("the task is placed %s after its end, want at most %s later than that", waited, restartWithin)
	}
}

// TestWorkBeforeTheTerm guards against work that is thrown away after a change of the controller, because the runs of the
// former one count as just begun: they are preempted as if they had nothing to lose, and moved as if all was left to do.
func TestWorkBeforeTheTerm(t *testing.T) {
	tests := []struct {
		name            string
		restored        bool
		percent         int
		loss, remaining time.Duration
	}{
		{"own run, by its start", false, 90, 8 * time.Second, 96 * time.Second},
		{"run of a former controller, almost done", true, 90, 2 * 94 * time.Second, 6 * time.Second},
		{"run of a former controller, just begun", true, 0, 8 * time.Second, 96 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			step := workload.Step{Tasks: 1, Estimate: 100 * time.Second, Each: workload.Resources{Accelerators: 2}}
			job := loop.submit(1, step)
			listed := &run{
				task: workload.TaskID{Job: job.ID}, job: job, need: step.Need(), startedAt: loop.now, startSent: true,
				restored: test.restored, share: fullShare,
			}
			listed.assess(WorkerClock(time.Hour), test.percent)
			now := loop.now + 4*time.Second
			if loss := listed.loss(now); loss != test.loss {
				t.Errorf("%s of accelerator time are lost if it stops, want %s", loss, test.loss)
			}
			if remaining := listed.remainingTime(now); remaining != test.remaining {
				t.Errorf("%s remain, want %s", remaining, test.remaining)
			}
		})
	}
}

// TestEndAfterRestartOfWorker guards against a task that lasts and starts again without a pause after it has crashed its
// worker, because the run counts as one that was only decided once its worker has restarted.
func TestEndAfterRestartOfWorker(t *testing.T) {
	loop := newTestLoop(t, 1)
	loop.now = time.Minute
	lasting := loop.submit(1, workload.Step{Tasks: 1, LongRunning: true, Each: workload.Resources{Accelerators: 1}})
	for range 2 {
		loop.now += time.Minute
		loop.plan()
		if len(lasting.runs) != 1 {
			t.Fatal("the task is not placed")
		}
		for began := range lasting.runs {
			began.startSent, began.confirmedAt = true, loop.now
			began.followRestart()
			loop.endRun(began, progress.RunLost, "", "missing from the worker's listing")
		}
		if ended := lasting.lastEnded[workload.TaskID{Job: lasting.ID}]; ended != loop.now {
			t.Errorf("the last run ended at %s, want %s", ended, loop.now)
		}
	}
}

// TestWhyRunIsStillThere guards against operators who are told that a run in an evacuated data centre ends by itself although
// it is not known whether it has begun, and who wait for it or take the worker away.
func TestWhyRunIsStillThere(t *testing.T) {
	const unknown = "it is not known whether it has begun"
	tests := []struct {
		name  string
		learn func(*run)
		want  string
	}{
		{"start not sent", func(run *run) { run.startSent = false }, "its start is not sent yet"},
		{"unanswered start", func(*run) {}, unknown},
		{"placed by a former controller", func(run *run) { run.restored = true }, unknown},
		{"answered start", func(run *run) { run.confirmedAt = 1 }, "it ends by itself"},
		{"listed", func(run *run) { run.firstListed, run.listedAt = 1, 1 }, "it ends by itself"},
		{"being stopped", func(run *run) { run.stopping = true }, "it is being stopped"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTwoCentres(t, 2)
			job := loop.submit(1, workload.Step{Tasks: 2, Estimate: time.Second, Each: wholeWorker})
			loop.plan()
			for placed := range job.runs {
				placed.startSent = true
				test.learn(placed)
			}
			loop.observeEvacuations(evacuationChange(evacuatedCentre, false), true)
			for placed := range job.runs {
				placed.stopping = test.want == "it is being stopped"
			}
			dumps, _ := loop.dumpEvacuations()
			if len(dumps) != 1 || len(dumps[0].Runs) != 1 || dumps[0].Runs[0].Why != test.want {
				t.Errorf("the dump is %+v, want one run because %s", dumps, test.want)
			}
		})
	}
}

// TestDumpTellsUnknownWork guards against operators who take an evacuated data centre for empty although a worker there does
// not answer, or lists a run that was not placed there.
func TestDumpTellsUnknownWork(t *testing.T) {
	tests := []struct {
		name         string
		learn        func(*testLoop, *worker)
		silent, runs int
	}{
		{"empty", func(*testLoop, *worker) {}, 0, 0},
		{"no response in this term", func(_ *testLoop, known *worker) { known.settled = false }, 1, 0},
		{"no response any more", func(_ *testLoop, known *worker) { known.unresponsive = true }, 1, 0},
		{"unexpected run", func(_ *testLoop, known *worker) {
			id := workload.TaskID{Job: "job"}
			known.unexpected[runID{task: id, number: 1}] = &run{task: id, number: 1, stopping: true}
		}, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTwoCentres(t, 2)
			loop.observeEvacuations(evacuationChange(evacuatedCentre, false), true)
			test.learn(loop, loop.workers["w0000"])
			dumps, _ := loop.dumpEvacuations()
			if len(dumps) != 1 || len(dumps[0].Silent) != test.silent || len(dumps[0].Runs) != test.runs {
				t.Errorf("the dump is %+v, want %d silent workers and %d runs", dumps, test.silent, test.runs)
			}
		})
	}
}

// TestGaugesEndWithTheTerm guards against a process that goes on exporting the gauges of the controller as they were at the end
// of its term, beside those of the new controller.
func TestGaugesEndWithTheTerm(t *testing.T) {
	loop := newTestLoop(t, 4)
	loop.Tombstones = ledger.NewTombstoneCache(loop.Logger)
	loop.submit(0, workload.Step{Tasks: 2, Each: workload.Resources{Accelerators: 8}})
	loop.plan()
	loop.countJobsNotBegun()
	loop.removeTombstones()
	gauges := func() (names []string) {
		loop.Metrics.Each(func(name string, metric any) {
			switch metric.(type) {
			case gometrics.Gauge, gometrics.GaugeFloat64:
				names = append(names, name)
			}
		})
		return names
	}
	if count := len(gauges()); count < 5 {
		t.Errorf("%d gauges are exported during the term, want at least 5", count)
	}
	loop.endTerm()
	if left := gauges(); len(left) > 0 {
		t.Errorf("%q are exported after the term, want none", left)
	}
}

// TestSurvivalCountsFromTheStart guards against a run that counts as one that works, so that it is above suspicion and its
// worker sound, because its start was sent long ago although the worker has only just begun it.
func TestSurvivalCountsFromTheStart(t *testing.T) {
	const sent, late = time.Minute, 1200 * time.Millisecond
	tests := []struct {
		name      string
		answered  time.Duration
		requested time.Duration
		survived  bool
	}{
		{"answered at once, listed soon", sent, sent + 100*time.Millisecond, false},
		{"answered at once, listed later", sent, sent + workerhealth.SurvivalTime, true},
		{"answered late, listed soon after", sent + late, sent + late + 100*time.Millisecond, false},
		{"answered late, listed later", sent + late, sent + late + workerhealth.SurvivalTime, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			loop.now = sent
			job := loop.submit(1, workload.Step{Tasks: 1, Each: workload.Resources{Accelerators: 1}})
			loop.plan()
			for began := range job.runs {
				began.startSent, began.startedAt, began.confirmedAt = true, sent, test.answered
				loop.recordSurvivors(loop.workers["w0000"], []*run{began}, test.requested)
				if began.survived != test.survived {
					t.Errorf("survived is %t, want %t", began.survived, test.survived)
				}
			}
		})
	}
}
