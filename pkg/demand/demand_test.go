package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	second   = time.Second
	stepTime = 50 * time.Millisecond
	service1 = "service"
)

// play plays arrivals at a rate of jobs per second, of which one in hundred needs 64 accelerators and the others 4, and
// calls check after each step. Without arrivals at the end, it plays those of one step only.
func play(
	seed uint64, estimator *Estimator, until time.Duration, all fleet.Accelerators,
	perSecond func(time.Duration) float64, check func(time.Duration, Decision),
) {
	random := rand.New(rand.NewPCG(seed, 1))
	for now := time.Duration(0); now < until; now += stepTime {
		left := perSecond(now) * stepTime.Seconds()
		for left += math.Log(random.Float64()); left > 0; left += math.Log(random.Float64()) {
			size := fleet.Accelerators(4)
			if random.IntN(100) == 0 {
				size = 64
			}
			estimator.Observe(now, Arrival{Service: service1, Profile: "steady", Accelerators: size})
		}
		check(now, estimator.Headroom(now, service1, all))
	}
}

func waveOf(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return mean * (1 + math.Sin(2*math.Pi*at.Seconds()/17)/2) }
}

// TestWave guards against headroom that follows a wave late, so that it is small at the crest and large in the trough.
func TestWave(t *testing.T) {
	for seed := range uint64(5) {
		steady, kept := 0.0, 0.0
		perSecond := waveOf(5)
		play(seed, &Estimator{}, 100*second, 1<<20, perSecond, func(now time.Duration, decision Decision) {
			if now > 45*second {
				needed := perSecond(now+headroomTime/2) * headroomTime.Seconds() * 4.6
				steady += math.Abs(float64(decision.Steady) - needed)
				kept += math.Abs(float64(decision.Kept) - needed)
			}
		})
		if kept > 0.6*steady {
			t.Errorf("seed %d: the error is %.2f of that of the mean, want at most 0.6", seed, kept/steady)
		}
	}
}

// TestAsBefore guards against other headroom than the mean demand while demand is steady, while there are too few
// arrivals to know, while it comes in regular bursts that are no wave, and at the beginning of a term with many jobs
// waiting.
func TestAsBefore(t *testing.T) {
	for name, perSecond := range map[string]func(time.Duration) float64{
		"steady": func(time.Duration) float64 { return 5 },
		"few":    waveOf(0.5),
		"regular bursts": func(at time.Duration) float64 {
			return map[bool]float64{true: 15, false: 1.5}[at%(20*second) < 3*second]
		},
		"backlog": func(at time.Duration) float64 {
			return map[bool]float64{true: 800, false: 2}[at < 100*time.Millisecond]
		},
	} {
		for seed := range uint64(10) {
			play(seed, &Estimator{}, 120*second, 512, perSecond, func(now time.Duration, decision Decision) {
				if decision.Kept != decision.Steady {
					t.Fatalf("%s, seed %d: at %v %+v", name, seed, now, decision)
				}
			})
		}
	}
}

// TestWaveEnds guards against headroom that follows a wave after its end.
func TestWaveEnds(t *testing.T) {
	wave := waveOf(10)
	followed := false
	play(1, &Estimator{}, 120*second, 1<<20, func(now time.Duration) float64 {
		if now > 60*second {
			return 10
		}
		return wave(now)
	}, func(now time.Duration, decision Decision) {
		followed = followed || decision.Wave
		if now > 95*second && decision.Wave {
			t.Fatalf("the headroom follows a wave %v after its end", now-60*second)
		}
	})
	if !followed {
		t.Error("the wave was not found")
	}
}

// TestBurst guards against a burst of one profile after which the headroom does not follow the wave any more, or which it
// takes for the crest of a wave.
func TestBurst(t *testing.T) {
	for _, mean := range []float64{3, 10} {
		for name, perSecond := range map[string]func(time.Duration) float64{
			"wave": waveOf(mean), "steady": func(time.Duration) float64 { return mean },
		} {
			var estimator Estimator
			play(1, &estimator, 90*second, 1<<20, perSecond, func(now time.Duration, decision Decision) {
				if now >= 60*second && now < 62*second {
					estimator.Observe(now, Arrival{Service: service1, Profile: "burst", Accelerators: 8})
				}
				if now > 70*second && decision.Wave != (name == "wave") {
					t.Fatalf("%s of %v a second: at %v %+v", name, mean, now, estimator.Estimates(now)[0])
				}
			})
		}
	}
}

// TestBounds guards against headroom, state and time without bounds under a flood of jobs, profiles and services.
func TestBounds(t *testing.T) {
	var estimator Estimator
	kept, steps := 0.0, 0.0
	for now := time.Duration(0); now < 100*second; now += stepTime {
		for i := range 60 {
			if now > 20*second && now%(2*second) < second {
				profile := fleet.ProfileName(fmt.Sprint(int(now/(4*second)), "/", i%3))
				estimator.Observe(now, Arrival{Service: service1, Profile: profile, Accelerators: 64})
			}
			estimator.Observe(now, Arrival{
				Service: fleet.ServiceName(fmt.Sprint(i)), Accelerators: 1,
				Profile: fleet.ProfileName(fmt.Sprint(int(now/stepTime)*60 + i)),
			})
		}
		decision := estimator.Headroom(now, service1, 1000)
		kept, steps = kept+float64(decision.Kept), steps+1
		if decision.Kept > crestShare*1000 {
			t.Fatalf("%d of 1,000 accelerators are kept", decision.Kept)
		}
	}
	if mean := kept / steps; mean > 1.1*headroomShare*1000 {
		t.Errorf("%.0f of 1,000 accelerators are kept on average, want at most %.0f", mean, 1.1*headroomShare*1000)
	}
	if len(estimator.recent) > maxArrivals || len(estimator.services) > maxServices {
		t.Errorf("%d arrivals and %d services are kept", len(estimator.recent), len(estimator.services))
	}
	for _, known := range estimator.Estimates(100 * second) {
		if len(known.Profiles) > maxProfiles {
			t.Errorf("%d profiles are kept", len(known.Profiles))
		}
	}
}

// BenchmarkHeadroom measures an arrival and a decision, a hundred times a second, with as many profiles as are kept.
func BenchmarkHeadroom(b *testing.B) {
	var estimator Estimator
	now, i := time.Duration(0), 0
	step := func() {
		i++
		now += 10 * time.Millisecond
		profile := fleet.ProfileName(fmt.Sprint(i % maxProfiles))
		estimator.Observe(now, Arrival{Service: service1, Profile: profile, Accelerators: 1})
		estimator.Headroom(now, service1, 1000)
	}
	for range 10000 {
		step()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
