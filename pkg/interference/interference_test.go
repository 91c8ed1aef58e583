package interference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// history plays windows of runs of a kind to a learner, half of them beside a neighbour.
type history struct {
	jobs, workers int
	// pace returns the time for a unit of work.
	pace    func(job, worker int, beside bool) float64
	serving bool
	// beside selects the workers with the neighbour in a round; by default they alternate.
	beside func(round, job, worker int) bool
}

const roundLength = 2 * time.Second

// play plays rounds in which each job has a run on each worker, and returns what is known of the pair.
func (played history) play(learner *Learner, now *time.Duration, rounds int) Pair {
	random := rand.New(rand.NewPCG(1, 1))
	slot, _ := learner.Seen(Kind{Image: "observed"}, *now)
	neighbour, _ := learner.Seen(Kind{Image: "neighbour"}, *now)
	if played.beside == nil {
		played.beside = func(round, job, worker int) bool { return ((round+job)/3+worker)%2 == 0 }
	}
	for round := range rounds {
		for job := range played.jobs {
			for worker := range played.workers {
				beside := played.beside(round, job, worker)
				exposure := Exposure{}
				if exposure.Add(*now, 0); beside {
					exposure = Exposure{}
					exposure.Add(*now, Set(0).With(neighbour))
				}
				learner.Observe(Observation{
					At: *now + roundLength, Kind: slot, Job: fleet.JobID(fmt.Sprint(round/6, "j", job)),
					Worker: fleet.WorkerID(fmt.Sprint("w", worker)), Beside: exposure, Serving: played.serving,
					Time: played.pace(job, worker, beside) * (0.85 + 0.3*random.Float64()), TimeFactor: 1,
				})
			}
		}
		*now += roundLength
		learner.Seen(Kind{Image: "observed"}, *now)
		learner.Seen(Kind{Image: "neighbour"}, *now)
		learner.Evaluate(*now)
	}
	return learner.pair(slot, neighbour, learner.estimate(slot, neighbour, *now))
}

// TestLearner guards against interference that is not found, and against a slow worker, a slow job, an outlier or too few
// jobs or workers that count as interference.
func TestLearner(t *testing.T) {
	third := func(_, _ int, beside bool) float64 {
		if beside {
			return 4.0 / 3
		}
		return 1
	}
	tests := []struct {
		name string
		history
		interfering bool
	}{
		{"a third slower", history{jobs: 3, workers: 8, pace: third}, true},
		{"a third slower, unequal jobs and workers", history{jobs: 3, workers: 8,
			pace: func(job, worker int, beside bool) float64 {
				return third(job, worker, beside) * float64(job+1) * (0.9 + 0.05*float64(worker%4))
			}}, true},
		{"a twentieth slower", history{jobs: 3, workers: 8, pace: func(_, _ int, beside bool) float64 {
			return 0.7 + third(0, 0, beside)*0.15
		}}, false},
		{"no difference", history{jobs: 3, workers: 8, pace: func(int, int, bool) float64 { return 1 }}, false},
		{"faster", history{jobs: 3, workers: 8, pace: func(_, _ int, beside bool) float64 { return 1 / third(0, 0, beside) }},
			false},
		{"a slow worker that always has the neighbour", history{jobs: 3, workers: 8,
			pace: func(_, worker int, _ bool) float64 {
				if worker == 0 {
					return 3
				}
				return 1
			},
			beside: func(round, _, worker int) bool { return worker == 0 || worker%3 == round%3 }}, false},
		{"a slow job that is mostly beside the neighbour", history{jobs: 3, workers: 8,
			pace: func(job, _ int, _ bool) float64 { return []float64{3, 1, 1}[job] },
			beside: func(round, job, worker int) bool {
				return (worker+round)%4 == 0 != (job == 0)
			}}, false},
		{"one worker", history{jobs: 3, workers: 8, pace: third, beside: func(_, _, worker int) bool { return worker == 0 }}, false},
		{"two workers without the neighbour", history{jobs: 3, workers: 8, pace: third,
			beside: func(_, _, worker int) bool { return worker > 1 }}, false},
		{"all workers", history{jobs: 3, workers: 8, pace: third, beside: func(int, int, int) bool { return true }}, false},
		{"serving runs in relation to themselves", history{jobs: 3, workers: 8, serving: true,
			pace: func(_, worker int, beside bool) float64 { return third(0, 0, beside) * float64(worker+1) }}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Duration(0)
			found := test.play(NewLearner(), &now, 60)
			if found.Interfering != test.interfering || found.Interfering && (found.Slowdown < 1.2 || found.Slowdown > 1.5) {
				t.Errorf("learnt %+v, want interfering %t", found, test.interfering)
			}
		})
	}
	t.Run("one job", func(t *testing.T) {
		now := time.Duration(0)
		if found := (history{jobs: 1, workers: 8, pace: third}).play(NewLearner(), &now, 5); found.Interfering {
			t.Errorf("one job was enough: %+v", found)
		}
	})
	t.Run("forgotten with age, and learnt anew", func(t *testing.T) {
		now, learner := time.Duration(0), NewLearner()
		played := history{jobs: 3, workers: 8, pace: third}
		played.play(learner, &now, 60)
		now += HalfLife
		if changes := learner.Evaluate(now); len(changes) != 0 || learner.PairCount() != 1 {
			t.Errorf("forgotten after one half-life: %+v", changes)
		}
		now += 5 * HalfLife
		if changes := learner.Evaluate(now); len(changes) != 1 || changes[0].Began || len(learner.Pairs(now)) != 0 {
			t.Errorf("known after six half-lives: %+v", learner.Pairs(now))
		}
		if found := played.play(learner, &now, 60); !found.Interfering {
			t.Errorf("not learnt anew: %+v", found)
		}
	})
}

// TestNoPairsByChance guards against pairs that count although no kind slows another down, when many kinds with tasks of
// unequal work run beside one another, and against comparisons that take more memory than their limit.
func TestNoPairsByChance(t *testing.T) {
	const kinds, workers, rounds = 40, 30, 200
	learner, random := NewLearner(), rand.New(rand.NewPCG(3, 4))
	began, now := 0, time.Duration(0)
	for round := range rounds {
		var slots [kinds]Slot
		for i := range slots {
			slots[i], _ = learner.Seen(Kind{Profile: "p", Step: i}, now)
		}
		for worker := range workers {
			var present Set
			for range 6 {
				present = present.With(slots[random.IntN(kinds)])
			}
			for slot := range present.all() {
				exposure := Exposure{}
				exposure.Add(now, present.Without(slot))
				learner.Observe(Observation{
					At: now + roundLength, Kind: slot, Job: fleet.JobID(fmt.Sprint(round / 10)),
					Worker: fleet.WorkerID(fmt.Sprint(worker)), Beside: exposure,
					Time: 0.75 + 0.5*random.Float64(), TimeFactor: 1,
				})
			}
		}
		now += roundLength
		for _, change := range learner.Evaluate(now) {
			if change.Began {
				began++
			}
		}
	}
	if began > 3 {
		t.Errorf("%d of %d pairs counted at some time, want 3 at most", began, kinds*(kinds+1)/2)
	}
	for i := range learner.slots {
		for _, found := range learner.slots[i].beside {
			if found != nil && len(found.comparisons) > maxComparisons {
				t.Fatalf("%d comparisons", len(found.comparisons))
			}
		}
	}
}

// TestKindsAreBounded guards against more kinds than MaxKinds, against a kind in use that loses its slot, and against a
// new kind that inherits what was learnt of a former one.
func TestKindsAreBounded(t *testing.T) {
	learner, now := NewLearner(), time.Duration(0)
	history{jobs: 3, workers: 8, pace: func(_, _ int, beside bool) float64 {
		return map[bool]float64{true: 2, false: 1}[beside]
	}}.play(learner, &now, 60)
	now += kindResidence
	for i := range MaxKinds {
		if _, ok := learner.Seen(Kind{Step: i}, now); !ok {
			t.Fatalf("kind %d has no slot although the others were not seen for %s", i, kindResidence)
		}
	}
	changes := learner.Evaluate(now + evaluateInterval)
	if _, ok := learner.Seen(Kind{Step: MaxKinds}, now+time.Second); ok || len(learner.byKind) != MaxKinds {
		t.Errorf("%d kinds are followed, want %d", len(learner.byKind), MaxKinds)
	}
	if len(changes) != 1 || changes[0].Began || learner.PairCount() != 0 || len(learner.Pairs(now)) != 0 {
		t.Errorf("pairs of kinds that were dropped: %+v, %+v", changes, learner.Pairs(now))
	}
	job := workload.Job{Profile: "p", Steps: []workload.Step{{Image: "i"}, {}}}
	if KindOf(&job, 0) != (Kind{Image: "i"}) || KindOf(&job, 1) != (Kind{Profile: "p", Step: 1}) {
		t.Errorf("kinds %v and %v", KindOf(&job, 0), KindOf(&job, 1))
	}
}
