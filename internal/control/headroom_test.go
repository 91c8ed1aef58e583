package control

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/demand"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// demandPlay plays urgent gangs on a fleet of 64 workers that would otherwise be full of long gangs.
type demandPlay struct {
	*fleetPlay
	// perSecond returns the rate at which urgent gangs arrive.
	perSecond func(time.Duration) float64
	// forgetful is set for a play without the part: a controller that knows only the last 8 s takes demand as steady.
	forgetful bool
	arrived   []timedJob
	// waits are the times from the arrivals to the starts of urgent gangs after warmUp, and idle is the mean fraction of
	// the accelerators that are free then.
	waits []time.Duration
	idle  float64
}

type timedJob struct {
	*job
	at time.Duration
}

const (
	// warmUp is the time in which the fleet fills and the wave is found.
	warmUp      = 45 * time.Second
	demandTime  = 100 * time.Second
	playWorkers = 64
)

func (play *demandPlay) play() {
	var waiting []timedJob
	var backlog []*job
	for play.now < demandTime {
		left := play.perSecond(play.now) * playStep.Seconds()
		for left += math.Log(play.random.Float64()); left > 0; left += math.Log(play.random.Float64()) {
			waiting = append(waiting, timedJob{play.submitGang(0, 1+play.random.IntN(3), 2*time.Second), play.now})
			play.arrived = append(play.arrived, waiting[len(waiting)-1])
		}
		backlog = slices.DeleteFunc(backlog, func(job *job) bool { return len(job.runs) > 0 })
		for len(backlog) < 10 {
			backlog = append(backlog, play.submitGang(1, 1+play.random.IntN(6), 20*time.Second))
		}
		if play.forgetful {
			play.replayArrivals()
		}
		play.advance()
		play.sumIdle()
		waiting = slices.DeleteFunc(waiting, func(job timedJob) bool {
			if len(job.runs) > 0 && job.at > warmUp {
				play.waits = append(play.waits, play.now-job.at)
			}
			return len(job.runs) > 0
		})
	}
	for _, job := range waiting {
		play.waits = append(play.waits, play.now-job.at)
	}
	slices.Sort(play.waits)
}

func (play *demandPlay) submitGang(priority workload.Priority, members int, estimate time.Duration) *job {
	return play.submit(priority, workload.Step{
		Tasks: members, Each: workload.Resources{Accelerators: 4}, Estimate: estimate, Gang: true,
	})
}

// replayArrivals has the controller know the arrivals of the last 8 s only.
func (play *demandPlay) replayArrivals() {
	play.headroom.estimator = demand.Estimator{}
	for _, job := range play.arrived {
		if play.now-job.at <= 8*time.Second {
			play.headroom.add(job.at, job.job)
		}
	}
}

// sumIdle sums what is free.
func (play *demandPlay) sumIdle() {
	for _, worker := range play.workers {
		if free := worker.entry.Capacity.Sub(worker.used).Accelerators; play.now > warmUp {
			play.idle += float64(free) / (playWorkers * 8) * float64(playStep) / float64(demandTime-warmUp)
		}
	}
}

// TestUnevenDemand plays waves and bursts of urgent gangs. It guards against urgent gangs that wait at the crest because
// the headroom follows the demand late, against more idle accelerators, and against longer waits than before while
// demand is steady or comes in bursts.
func TestUnevenDemand(t *testing.T) {
	wave := func(at time.Duration) float64 { return 4.5 + 2.25*math.Sin(2*math.Pi*at.Seconds()/17) }
	tests := []struct {
		name      string
		perSecond func(time.Duration) float64
		// maxWait is the largest 95th percentile of the waits, as a fraction of that without the part.
		maxWait float64
	}{
		{"steady", func(time.Duration) float64 { return 4 }, 1},
		{"wave", wave, 0.6},
		{"regular bursts", func(at time.Duration) float64 {
			if at%(20*time.Second) < 3*time.Second {
				return 15
			}
			return 1.5
		}, 1},
		{"burst", func(at time.Duration) float64 {
			if at >= 55*time.Second && at < 58*time.Second || at >= 86*time.Second && at < 89*time.Second {
				return 15
			}
			return 1.5
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var waits, idle [2]float64
			for seed := uint64(1); seed <= 2; seed++ {
				for i, forgetful := range []bool{true, false} {
					synctest.Test(t, func(t *testing.T) {
						play := &demandPlay{
							fleetPlay: newFleetPlay(t, playWorkers, 0, seed),
							perSecond: test.perSecond, forgetful: forgetful,
						}
						play.play()
						waits[i] += play.waits[len(play.waits)*95/100].Seconds() / 2
						idle[i] += play.idle / 2
					})
				}
			}
			t.Logf("95 of 100 urgent gangs wait %.3f s (without the part %.3f s); idle %.3f (%.3f)",
				waits[1], waits[0], idle[1], idle[0])
			if waits[1] > test.maxWait*waits[0] {
				t.Errorf("95 of 100 urgent gangs wait up to %.3f s, want at most %.1f times %.3f s", waits[1], test.maxWait,
					waits[0])
			}
			if idle[1] > idle[0]+0.02 {
				t.Errorf("%.3f of the accelerators are idle, want at most 0.02 more than %.3f", idle[1], idle[0])
			}
		})
	}
}

// TestHeadroomAfterChangeOfController guards against a new controller that takes the waiting jobs it reads at the start
// of its term for a burst, or follows a wave that it has not seen.
func TestHeadroomAfterChangeOfController(t *testing.T) {
	test := newTestLoop(t, playWorkers)
	for range 40 {
		test.submit(0, workload.Step{Tasks: 1, Each: workload.Resources{Accelerators: 4}})
	}
	for ; test.now < 20*time.Second; test.now += playStep {
		test.plan()
		want := fleet.Accelerators(40 * 4 * 2.5 / 8)
		if test.now > 8*time.Second {
			want = 0
		}
		if kept := test.keptFree(test.now, testService, playWorkers*8); kept != want {
			t.Fatalf("%v after the start of the term %d accelerators are kept, want %d", test.now, kept, want)
		}
	}
	if estimates := test.dump().Demand; len(estimates) != 1 || estimates[0].Following {
		t.Errorf("the dump has %+v, want one service with steady demand", estimates)
	}
}
