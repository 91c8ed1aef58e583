package control

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// mixedFleet plays jobs with two images that slow each other down by a third, on workers of which one is slow. Times are
// those of the bubble of synctest.
type mixedFleet struct {
	*testLoop
	random *rand.Rand
	done   map[*run]float64
	pace   map[*run]float64
	slow   fleet.WorkerID
	// accepted and completed are the times of jobs that the fleet submitted.
	accepted  map[*job]time.Duration
	completed []time.Duration
	// mixed counts the starts beside the other image, of all that were made.
	mixed, starts int
	// listingsLost is set while no listing arrives.
	listingsLost bool
}

func newMixedFleet(t *testing.T, workers int, enabled bool) *mixedFleet {
	loop := newTestLoop(t, workers)
	loop.interference = newInterferenceState(enabled)
	return &mixedFleet{
		testLoop: loop, random: rand.New(rand.NewPCG(1, 2)), done: map[*run]float64{}, pace: map[*run]float64{},
		slow: "w0003", accepted: map[*job]time.Duration{},
	}
}

// submitImage adds a job with tasks of an image.
func (fleet *mixedFleet) submitImage(image string, tasks int, need workload.Resources) *job {
	added := fleet.submit(1, workload.Step{Tasks: tasks, Each: need, Estimate: 6 * time.Second, Image: image})
	fleet.accepted[added] = fleet.now
	return added
}

// factor returns the time that a run takes in relation to one that is alone on a sound worker.
func (fleet *mixedFleet) factor(worker *worker, run *run) float64 {
	factor := fleet.pace[run]
	if worker.entry.ID == fleet.slow {
		factor *= 1.7
	}
	for _, other := range worker.runs {
		if other.step().Image != run.step().Image {
			return factor * 4 / 3
		}
	}
	return factor
}

// tick plans, lets the runs work for a fifth of a second and has each worker list them.
func (fleet *mixedFleet) tick() {
	const length = 200 * time.Millisecond
	fleet.plan()
	for _, worker := range fleet.workers {
		for _, run := range worker.runs {
			if !run.startSent {
				fleet.start(worker, run)
			}
		}
	}
	time.Sleep(length)
	fleet.now += length
	for _, worker := range fleet.workers {
		listing := Listing{Clock: WorkerClock(fleet.now), Incarnation: 1}
		var ended []*run
		for id, run := range worker.runs {
			fleet.done[run] += length.Seconds() / run.step().Estimate.Seconds() / fleet.factor(worker, run)
			if fleet.done[run] >= 1 {
				ended = append(ended, run)
			}
			listing.Running = append(listing.Running, RunStatus{
				Task: id, Run: run.number, Percent: int(100 * min(fleet.done[run], 1)),
			})
		}
		if !fleet.listingsLost {
			fleet.checkRunning(worker, fleet.now, listing)
		}
		for _, run := range ended {
			fleet.endRun(run, progress.RunDone, "", "test")
		}
	}
	for job, accepted := range fleet.accepted {
		if job.record.State == progress.Completed {
			fleet.completed = append(fleet.completed, fleet.now-accepted)
			delete(fleet.accepted, job)
		}
	}
}

func (fleet *mixedFleet) start(worker *worker, started *run) {
	// Every fifth job takes twice as long as declared.
	started.startSent, started.startedAt = true, fleet.now
	fleet.pace[started] = 0.9 + 0.2*fleet.random.Float64()
	if started.job.ID[15]%5 == 0 {
		fleet.pace[started] *= 2
	}
	fleet.starts++
	for _, other := range worker.runs {
		if other.step().Image != started.step().Image {
			fleet.mixed++
			return
		}
	}
}

// play submits a job of each image every three seconds, which keeps about half of the fleet busy, and returns the mean
// completion time of those completed after the first part.
func (fleet *mixedFleet) play(length, learning time.Duration) time.Duration {
	need := workload.Resources{Millicores: 1000, MemoryMiB: 1000, Accelerators: 2}
	end := fleet.now + length
	for began, next := fleet.now, fleet.now; fleet.now < end; {
		if fleet.now >= next {
			fleet.submitImage("train:1", 6+fleet.random.IntN(4), need)
			fleet.submitImage("compress:2", 6+fleet.random.IntN(4), need)
			next += 3 * time.Second
		}
		if fleet.now-began < learning {
			fleet.completed, fleet.mixed, fleet.starts = nil, 0, 0
		}
		fleet.tick()
	}
	total := time.Duration(0)
	for _, taken := range fleet.completed {
		total += taken
	}
	return total / time.Duration(len(fleet.completed))
}

// TestKindsThatInterfere guards against kinds of task that slow each other down and still start on the same workers
// although there is room elsewhere, so that callers wait longer, and against a slow worker or a slow job that is taken
// for interference.
func TestKindsThatInterfere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, learning = 5 * time.Minute, 2 * time.Minute
		plain, apart := newMixedFleet(t, 16, false), newMixedFleet(t, 16, true)
		before := plain.play(length, learning)
		after := apart.play(length, learning)
		t.Logf("mean completion %s without and %s with the setting; starts beside the other kind: %d of %d, %d of %d",
			before, after, plain.mixed, plain.starts, apart.mixed, apart.starts)
		if after > before*92/100 {
			t.Errorf("mean completion %s, want at most 92%% of the %s without the setting", after, before)
		}
		if 4*apart.mixed > apart.starts || 2*plain.mixed < plain.starts {
			t.Errorf("%d of %d starts are beside the other kind, and %d of %d without the setting",
				apart.mixed, apart.starts, plain.mixed, plain.starts)
		}
		pairs := apart.dump().Interference
		for _, pair := range pairs {
			if pair.Interfering != (pair.Kinds[0] != pair.Kinds[1]) || pair.Interfering && (pair.Slowdown < 1.2 || pair.Slowdown > 1.5) {
				t.Errorf("learnt %+v; only the two images slow each other down, by a third", pair)
			}
		}
		if !slices.ContainsFunc(pairs, func(pair PairDump) bool { return pair.Interfering }) {
			t.Errorf("no pair counts as interfering: %+v", pairs)
		}
	})
}

// TestNothingWaitsForInterference guards against a unit that waits because the only room is beside a kind that interferes
// with it, and against one that takes the room of a larger unit of the same plan to be apart.
func TestNothingWaitsForInterference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newMixedFleet(t, 16, true)
		fleet.play(2*time.Minute, 0)
		for len(fleet.accepted) > 0 {
			fleet.tick()
		}
		each := workload.Resources{Accelerators: 1}
		resident := fleet.submitImage("train:1", 16, workload.Resources{Accelerators: 5})
		fleet.plan()
		if placed := placedTasks(resident); placed != 16 {
			t.Fatalf("%d tasks are placed, want one on each worker", placed)
		}
		small := fleet.submitImage("compress:2", 48, each)
		fleet.plan()
		if placed := placedTasks(small); placed != 48 {
			t.Errorf("%d tasks are placed beside the other kind, want all 48 that fit", placed)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		fleet := newMixedFleet(t, 2, true)
		fleet.slow = ""
		fleet.learnPair(t)
		fleet.submitImage("train:1", 1, workload.Resources{Accelerators: 6})
		fleet.plan()
		small := fleet.submitImage("compress:2", 1, workload.Resources{Accelerators: 1})
		large := fleet.submitImage("other", 1, workload.Resources{Accelerators: 8})
		fleet.plan()
		if placedTasks(large) != 1 || placedTasks(small) != 1 {
			t.Errorf("%d large and %d small tasks are placed, want both", placedTasks(large), placedTasks(small))
		}
	})
}

// learnPair has the learner of a fleet learn from another fleet that the two images interfere.
func (fleet *mixedFleet) learnPair(t *testing.T) {
	t.Helper()
	teacher := newMixedFleet(t, 16, true)
	teacher.play(2*time.Minute, 0)
	if teacher.interference.learner.PairCount() != 1 {
		t.Fatalf("the pair is not learnt: %+v", teacher.dump().Interference)
	}
	fleet.interference, fleet.now = teacher.interference, teacher.now
}

// TestInterferenceAfterFailures guards against wrong pairs after listings were lost for a while, and against a controller
// that does not learn the pairs of the former one again.
func TestInterferenceAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newMixedFleet(t, 16, true)
		for range 3 {
			fleet.play(20*time.Second, 0)
			fleet.listingsLost = true
			fleet.play(10*time.Second, 0)
			fleet.listingsLost = false
		}
		fleet.play(time.Minute, 0)
		if count := fleet.interference.learner.PairCount(); count != 1 {
			t.Errorf("%d pairs count after lost listings, want 1: %+v", count, fleet.dump().Interference)
		}
		fleet.interference = newInterferenceState(true)
		fleet.play(2*time.Minute, 0)
		if count := fleet.interference.learner.PairCount(); count != 1 {
			t.Errorf("%d pairs count after a change of controller, want 1: %+v", count, fleet.dump().Interference)
		}
	})
}

// TestInterferenceOff guards against a setting that is off and still costs something or changes placements.
func TestInterferenceOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newMixedFleet(t, 4, false)
		fleet.play(10*time.Second, 0)
		if state := fleet.interference; state.learner != nil || state.present != nil || fleet.dump().Interference != nil {
			t.Error("state is kept although the setting is off")
		}
		for id, worker := range fleet.workers {
			for _, run := range worker.runs {
				if run.exposed != nil {
					t.Errorf("a run on %s is observed", id)
				}
			}
		}
	})
}
