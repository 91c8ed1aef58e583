package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestNoteEnd guards the choice between a worker that fails whatever it runs and a job that fails wherever it runs: the
// first must get nothing new soon, and the second must not take sound workers out of use.
func TestNoteEnd(t *testing.T) {
	type end struct {
		worker fleet.WorkerID
		job    int
		how    progress.RunOutcome
		after  time.Duration
	}
	const first, second, third fleet.WorkerID = "w0000", "w0001", "w0002"
	tests := []struct {
		name string
		ends []end
		// out are the workers that get nothing new after the last end.
		out []fleet.WorkerID
	}{
		{"one failure", []end{{first, 0, progress.RunFailed, 0}}, []fleet.WorkerID{first}},
		{"a pause ends", []end{{first, 0, progress.RunFailed, 0}, {second, 1, progress.RunDone, failurePause}}, nil},
		{"pauses grow", []end{
			{first, 0, progress.RunFailed, 0}, {first, 1, progress.RunFailed, failurePause},
			{second, 2, progress.RunDone, failurePause},
		}, []fleet.WorkerID{first}},
		{"a done run clears", []end{{first, 0, progress.RunFailed, 0}, {first, 1, progress.RunDone, 0}}, nil},
		{"a job that fails on two workers", []end{
			{first, 0, progress.RunFailed, 0}, {second, 0, progress.RunFailed, 0},
		}, nil},
		{"a worker that others accuse too", []end{
			{first, 1, progress.RunFailed, 0}, {first, 0, progress.RunFailed, 0}, {second, 0, progress.RunFailed, 0},
		}, []fleet.WorkerID{first}},
		{"a job that fails on a doubted worker", []end{
			{second, 0, progress.RunFailed, 0}, {first, 1, progress.RunFailed, 0}, {first, 0, progress.RunFailed, 0},
		}, []fleet.WorkerID{first}},
		{"a stopped run says nothing", []end{{third, 0, progress.RunStopped, 0}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 3)
			jobs := []*job{loop.submit(1, smallTasks), loop.submit(1, smallTasks), loop.submit(1, smallTasks)}
			for _, end := range test.ends {
				loop.now += end.after
				loop.noteEnd(loop.workers[end.worker], jobs[end.job], end.how)
			}
			out := map[fleet.WorkerID]bool{}
			for _, id := range test.out {
				out[id] = true
			}
			for id, worker := range loop.workers {
				if worker.usable(loop.now) == out[id] {
					t.Errorf("%s is usable: %t", id, !out[id])
				}
			}
		})
	}
}

// paceStep is what a worker lists of one run at one time.
type paceStep struct {
	at      time.Duration
	percent int
}

// follow lists a run at a steady rate, in percent a second, from one time to another.
func follow(steps []paceStep, until time.Duration, rate float64) []paceStep {
	last := paceStep{}
	if len(steps) > 0 {
		last = steps[len(steps)-1]
	}
	from, done := last.at, float64(last.percent)
	for at := from + 500*time.Millisecond; at <= until; at += 500 * time.Millisecond {
		steps = append(steps, paceStep{at: at, percent: min(int(done+rate*(at-from).Seconds()), 100)})
	}
	return steps
}

// TestPace guards runs against standing on a slow worker, and against losing their work for a wrong alarm.
func TestPace(t *testing.T) {
	tests := []struct {
		name        string
		estimate    time.Duration
		checkpoints bool
		far         bool
		steps       []paceStep
		verdict     verdict
		moves       bool
	}{
		{"as declared", 10 * time.Second, false, false, follow(nil, 5*time.Second, 10), steady, false},
		{"takes five times as long as declared", 2 * time.Second, false, false, follow(nil, 6*time.Second, 8), behind, false},
		{"in another rack", 10 * time.Second, false, true, follow(nil, 5*time.Second, 3), steady, false},
		{"stands still from the start", 3 * time.Second, false, false, follow(nil, 2*time.Second, 0), slow, true},
		{"stands still for a moment", 10 * time.Second, false, false, follow(follow(nil, 5*time.Second, 10), 6500*time.Millisecond, 0), slow, false},
		{"stands still for long", 10 * time.Second, false, false, follow(follow(nil, 5*time.Second, 10), 13*time.Second, 0), slow, true},
		{"stands still with checkpoints", 10 * time.Second, true, false, follow(follow(nil, 5*time.Second, 10), 8*time.Second, 0), slow, true},
		{"slows down", 10 * time.Second, true, false, follow(follow(nil, 5*time.Second, 10), 10*time.Second, 1.5), slow, true},
		{"goes on after a pause", 10 * time.Second, false, false, follow(follow(follow(nil, 3*time.Second, 10), 6*time.Second, 0), 8*time.Second, 10), steady, false},
		{"waits for its end to be listed", 2 * time.Second, false, false, follow(follow(nil, 2*time.Second, 50), 9*time.Second, 0), unclear, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			job := loop.submit(1, workload.Step{Tasks: 1, Estimate: test.estimate, Checkpoints: test.checkpoints})
			followed := &run{task: workload.TaskID{Job: job.ID}, job: job, far: test.far}
			found := unclear
			for _, step := range test.steps {
				found = followed.judge(WorkerClock(time.Hour+step.at), step.percent)
			}
			if found != test.verdict {
				t.Errorf("verdict %d, want %d", found, test.verdict)
			}
			if moves := found == slow && followed.endsSoonerElsewhere(); moves != test.moves {
				t.Errorf("ends sooner elsewhere: %t, want %t", moves, test.moves)
			}
		})
	}
}

// TestActOn guards which workers count as slow, and how often a task may be taken off one.
func TestActOn(t *testing.T) {
	tests := []struct {
		name     string
		verdicts []verdict
		slow     bool
	}{
		{"nothing is known", []verdict{unclear, unclear}, false},
		{"one steady run clears", []verdict{slow, behind, steady}, false},
		{"one run that stands still", []verdict{slow, unclear}, true},
		{"one declaration that is wrong", []verdict{behind, unclear}, false},
		{"several jobs behind", []verdict{behind, behind}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			worker := loop.workers["w0000"]
			verdicts := map[*run]verdict{}
			for _, found := range test.verdicts {
				job := loop.submit(1, workload.Step{Tasks: 1, Estimate: time.Second})
				followed := &run{task: workload.TaskID{Job: job.ID}, job: job}
				followed.pace.observe(sample{at: 1, done: 0}, paceWindow)
				followed.pace.observe(sample{at: WorkerClock(time.Minute), done: 0}, paceWindow)
				verdicts[followed] = found
			}
			loop.actOn(worker, verdicts)
			if usable := worker.usable(loop.now); usable == test.slow {
				t.Errorf("the worker is usable: %t", usable)
			}
			for followed, found := range verdicts {
				if followed.stopping != (test.slow && found >= behind) {
					t.Errorf("a run with verdict %d is stopped: %t", found, followed.stopping)
				}
			}
		})
	}
	job := &job{}
	for range mostMoves {
		if !job.mayMove(workload.TaskID{}) {
			t.Error("a task may not be moved often enough")
		}
	}
	if job.mayMove(workload.TaskID{}) {
		t.Error("a task may be moved without end")
	}
}
