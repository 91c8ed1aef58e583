package workerspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const testWorkers = 120

// observeSteps observes the runs of steps on random workers, half of them gangs. The declared run times of a step are wrong by
// up to 40% and those of its tasks by 25% more.
func observeSteps(known *Fleet, random *rand.Rand, steps int, factorOf func(worker int) float64) {
	spread := func(most float64) float64 { return math.Exp((2*random.Float64() - 1) * most) }
	for step := range steps {
		declared, tasks := spread(0.4), 2+random.IntN(12)
		id := workload.StepID{Job: fleet.JobID(fmt.Sprint(step))}
		now := time.Duration(step) * 100 * time.Millisecond
		var gang []fleet.WorkerID
		pace := 0.0
		for range tasks {
			worker := random.IntN(testWorkers)
			name := fleet.WorkerID(fmt.Sprint("w", worker))
			factor := factorOf(worker) * declared
			if step%2 == 0 {
				known.Observe(Observation{Step: id, Workers: []fleet.WorkerID{name}, Factor: Factor(factor * spread(0.25)),
					Weight: 1}, now)
				continue
			}
			gang, pace = append(gang, name), max(pace, factor)
		}
		known.Observe(Observation{Step: id, Workers: gang, Factor: Factor(pace * spread(0.25)), Weight: 1}, now)
	}
}

// TestFactorsOfUnevenFleet guards against workers that are taken for fast or slow although runs have shown otherwise, beside
// wrong declarations and gangs that go at the pace of their slowest member.
func TestFactorsOfUnevenFleet(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		var known Fleet
		factorOf := func(worker int) float64 {
			if worker%3 == 0 {
				return 1.7
			}
			return 0.7
		}
		observeSteps(&known, rand.New(rand.NewPCG(seed, 1)), 120, factorOf)
		wrong, sure := 0, 0
		for worker := range testWorkers {
			factor, ok := known.Factor(fleet.WorkerID(fmt.Sprint("w", worker)), 12*time.Second)
			if !ok {
				continue
			}
			sure++
			if (factor > 1.1) != (worker%3 == 0) {
				wrong++
			}
		}
		if sure < testWorkers*9/10 || wrong > sure/20 {
			t.Errorf("seed %d: %d of %d known workers are taken for others", seed, wrong, sure)
		}
	}
}

// TestFactorsOfEvenFleet guards against workers that are taken for slower than others where all are equal, for whatever was
// declared.
func TestFactorsOfEvenFleet(t *testing.T) {
	for _, declared := range []float64{0.05, 0.5, 1, 2, 20} {
		var known Fleet
		observeSteps(&known, rand.New(rand.NewPCG(1, 1)), 120, func(int) float64 { return declared })
		var factors []Factor
		for worker := range testWorkers {
			if factor, ok := known.Factor(fleet.WorkerID(fmt.Sprint("w", worker)), 12*time.Second); ok {
				factors = append(factors, factor)
			}
		}
		slices.Sort(factors)
		median, slow := factors[len(factors)/2], factors[len(factors)*98/100]
		if slow > median*MinDifference {
			t.Errorf("declared wrong %.2f times: factors of %.2f beside a median of %.2f", declared, slow, median)
		}
	}
}

// TestOddObservations guards against progress that makes no sense and spoils what is known, and against knowledge that is
// kept for ever.
func TestOddObservations(t *testing.T) {
	var known Fleet
	w := []fleet.WorkerID{"w"}
	for _, seen := range []Observation{
		{Workers: w, Factor: 0, Weight: 1}, {Workers: w, Factor: -1, Weight: 1}, {Workers: w, Factor: Factor(math.NaN()), Weight: 1},
		{Workers: w, Factor: Factor(math.Inf(1)), Weight: 1}, {Factor: 1, Weight: 1}, {Workers: w, Factor: 1, Weight: -1},
	} {
		known.Observe(seen, 0)
	}
	if known.Version() != 0 {
		t.Error("an odd observation was learnt from")
	}
	for range 3 {
		known.Observe(Observation{Workers: w, Factor: 1.7, Weight: 1}, 0)
	}
	if _, ok := known.Factor("w", time.Second); !ok {
		t.Error("a worker is not known after three runs")
	}
	if _, ok := known.Factor("w", time.Hour); ok {
		t.Error("a worker is known an hour after its last run")
	}
}

// TestRank guards against urgent units that get slow workers before fast ones, and against others that take the fast ones,
// or workers on which they miss their objective.
func TestRank(t *testing.T) {
	urgent := NeedOf(3*time.Second, 0, 2*time.Second, true)
	if !(urgent.Rank(0.7, true) < urgent.Rank(1, true) && urgent.Rank(1, true) < urgent.Rank(1.7, true)) {
		t.Error("urgent units do not prefer fast workers")
	}
	batch := NeedOf(10*time.Second, 0, 5*time.Second, false)
	if !(batch.Rank(1.7, true) < batch.Rank(1, true) && batch.Rank(1, true) < batch.Rank(0.7, true) && batch.Rank(0.7, true) < batch.Rank(2.5, true)) {
		t.Error("other units do not prefer the slowest workers that suffice")
	}
	if !(batch.Rank(1, false) < batch.Rank(1.7, true) && urgent.Rank(0.7, true) < urgent.Rank(1, false)) {
		t.Error("units with slack do not make unknown workers known, or urgent ones do")
	}
	late := NeedOf(time.Second, 2*time.Second, 5*time.Second, false)
	if !(late.Rank(0.7, true) < late.Rank(1.7, true)) {
		t.Error("late units do not prefer fast workers")
	}
}

// BenchmarkDesignSize reports the memory of what is known of 12,000 workers, the size of its stored form, and the time to
// look up all factors, which a controller does twice a second.
func BenchmarkDesignSize(b *testing.B) {
	const workers = 12_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	names := make([]fleet.WorkerID, workers)
	var known Fleet
	for i := range names {
		names[i] = fleet.WorkerID(fmt.Sprintf("i-%010x", i))
		known.Observe(Observation{Workers: names[i : i+1], Factor: 1.7, Weight: 1}, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		for _, name := range names {
			known.Factor(name, time.Second)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	b.ReportMetric(float64(len(known.Encode(0)))/(1<<10), "KiB_stored")
}
