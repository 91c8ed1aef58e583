package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workerhealth"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestWorkerHealth guards against two wrong attributions of a failed run. A worker that fails every run must be paused.
// A job that fails on every worker must not take healthy workers out of use.
func TestWorkerHealth(t *testing.T) {
	type end struct {
		worker  fleet.WorkerID
		job     int
		outcome progress.RunOutcome
		after   time.Duration
	}
	const first, second, third fleet.WorkerID = "w0000", "w0001", "w0002"
	tests := []struct {
		name string
		ends []end
		// paused are the workers that may get no new tasks after the last end.
		paused []fleet.WorkerID
	}{
		{"one failure", []end{{first, 0, progress.RunFailed, 0}}, []fleet.WorkerID{first}},
		{"a pause ends", []end{
			{first, 0, progress.RunFailed, 0}, {second, 1, progress.RunDone, workerhealth.FailurePause},
		}, nil},
		{"pauses grow", []end{
			{first, 0, progress.RunFailed, 0}, {first, 1, progress.RunFailed, workerhealth.FailurePause},
			{second, 2, progress.RunDone, workerhealth.FailurePause},
		}, []fleet.WorkerID{first}},
		{"a successful run clears the worker", []end{
			{first, 0, progress.RunFailed, 0}, {first, 1, progress.RunDone, time.Millisecond},
		}, nil},
		{"a job that fails on two workers", []end{
			{first, 0, progress.RunFailed, 0}, {second, 0, progress.RunFailed, 0},
		}, nil},
		{"a worker that fails other jobs too", []end{
			{first, 1, progress.RunFailed, 0}, {first, 0, progress.RunFailed, 0}, {second, 0, progress.RunFailed, 0},
		}, []fleet.WorkerID{first}},
		{"a job that fails on an unreliable worker", []end{
			{second, 0, progress.RunFailed, 0}, {first, 1, progress.RunFailed, 0}, {first, 0, progress.RunFailed, 0},
		}, []fleet.WorkerID{first}},
		{"a stopped run has no effect", []end{{third, 0, progress.RunStopped, 0}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 3)
			jobs := []*job{loop.submit(1, smallTasks), loop.submit(1, smallTasks), loop.submit(1, smallTasks)}
			for _, end := range test.ends {
				loop.now += end.after
				ended := &run{job: jobs[end.job], startedAt: loop.now}
				loop.updateHealth(loop.workers[end.worker], ended, end.outcome)
			}
			paused := map[fleet.WorkerID]bool{}
			for _, id := range test.paused {
				paused[id] = true
			}
			for id, worker := range loop.workers {
				if worker.usable(loop.now) == paused[id] {
					t.Errorf("worker %s: usable differs from the expected %t", id, !paused[id])
				}
			}
		})
	}
}

// progressSample is the progress of a run in one listing of its worker.
type progressSample struct {
	at      time.Duration
	percent int
}

// sampleProgress appends samples up to a time, at a rate in percent per second.
func sampleProgress(samples []progressSample, until time.Duration, rate float64) []progressSample {
	last := progressSample{}
	if len(samples) > 0 {
		last = samples[len(samples)-1]
	}
	start, startPercent := last.at, float64(last.percent)
	for at := start + 500*time.Millisecond; at <= until; at += 500 * time.Millisecond {
		samples = append(samples, progressSample{
			at: at, percent: min(int(startPercent+rate*(at-start).Seconds()), 100),
		})
	}
	return samples
}

// TestRunSpeed guards against runs that stay on a slow worker, and against a false alarm that moves a run and loses its
// work.
func TestRunSpeed(t *testing.T) {
	tests := []struct {
		name        string
		estimate    time.Duration
		checkpoints bool
		crossRack   bool
		steps       []progressSample
		verdict     verdict
		moves       bool
	}{
		{"as declared", 10 * time.Second, false, false, sampleProgress(nil, 5*time.Second, 10), steady, false},
		{
			"takes five times as long as declared", 2 * time.Second, false, false,
			sampleProgress(nil, 6*time.Second, 8), belowDeclared, false,
		},
		{"in another rack", 10 * time.Second, false, true, sampleProgress(nil, 5*time.Second, 3), steady, false},
		{
			"no progress from the start", 3 * time.Second, false, false,
			sampleProgress(nil, 2*time.Second, 0), slow, true,
		},
		{
			"takes so long that a window shows no whole percent", 9 * time.Second, false, false,
			sampleProgress(nil, 9*time.Second, 0.3), unclear, false,
		},
		{
			"no progress for a short time", 10 * time.Second, false, false,
			sampleProgress(sampleProgress(nil, 5*time.Second, 10), 6500*time.Millisecond, 0), slow, false,
		},
		{
			"no progress for a long time", 10 * time.Second, false, false,
			sampleProgress(sampleProgress(nil, 5*time.Second, 10), 13*time.Second, 0), slow, true,
		},
		{
			"no progress, with checkpoints", 10 * time.Second, true, false,
			sampleProgress(sampleProgress(nil, 5*time.Second, 10), 8*time.Second, 0), slow, true,
		},
		{
			"slows down", 10 * time.Second, true, false,
			sampleProgress(sampleProgress(nil, 5*time.Second, 10), 10*time.Second, 1.5), slow, true,
		},
		{
			"resumes after a pause", 10 * time.Second, false, false,
			sampleProgress(sampleProgress(sampleProgress(nil, 3*time.Second, 10), 6*time.Second, 0), 8*time.Second, 10),
			steady, false,
		},
		{
			"waits for its end to be listed", 2 * time.Second, false, false,
			sampleProgress(sampleProgress(nil, 2*time.Second, 50), 9*time.Second, 0), unclear, false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			job := loop.submit(1, workload.Step{Tasks: 1, Estimate: test.estimate, Checkpoints: test.checkpoints})
			run := &run{task: workload.TaskID{Job: job.ID}, job: job, crossRack: test.crossRack}
			verdict := unclear
			for _, sample := range test.steps {
				verdict = run.assess(WorkerClock(time.Hour+sample.at), sample.percent)
			}
			if verdict != test.verdict {
				t.Errorf("verdict %d, want %d", verdict, test.verdict)
			}
			if moves := verdict == slow && run.endsSoonerElsewhere(); moves != test.moves {
				t.Errorf("ends sooner elsewhere: %t, want %t", moves, test.moves)
			}
		})
	}
}

// TestHandleSlowRuns guards against healthy workers that count as slow because one declared run time is wrong, against
// slow workers that stay in use, and against a task that is moved without limit.
func TestHandleSlowRuns(t *testing.T) {
	tests := []struct {
		name     string
		verdicts []verdict
		slow     bool
	}{
		{"no clear verdict", []verdict{unclear, unclear}, false},
		{"one steady run clears the worker", []verdict{slow, belowDeclared, steady}, false},
		{"one slow run", []verdict{slow, unclear}, true},
		{"one declaration that is wrong", []verdict{belowDeclared, unclear}, false},
		{"several jobs below their declared speeds", []verdict{belowDeclared, belowDeclared}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			worker := loop.workers["w0000"]
			verdicts := map[*run]verdict{}
			for _, found := range test.verdicts {
				job := loop.submit(1, workload.Step{Tasks: 1, Estimate: time.Second})
				run := &run{task: workload.TaskID{Job: job.ID}, job: job}
				run.observeIdleMinute()
				verdicts[run] = found
			}
			loop.handleSlowRuns(worker, verdicts)
			if usable := worker.usable(loop.now); usable == test.slow {
				t.Errorf("usable is %t, want the opposite", usable)
			}
			for run, found := range verdicts {
				if run.stopping != (test.slow && found >= belowDeclared) {
					t.Errorf("a run with verdict %d: stopping is %t, want the opposite", found, run.stopping)
				}
			}
		})
	}
	job := &job{}
	for range maxMoves {
		if !job.countMove(workload.TaskID{}) {
			t.Error("a move is refused before maxMoves is reached")
		}
	}
	if job.countMove(workload.TaskID{}) {
		t.Error("a move beyond maxMoves is allowed")
	}
}
