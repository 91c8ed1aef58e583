package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/catalog"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// urgentCatalog has one urgent profile of the test service with a tight objective.
func urgentCatalog() *catalog.Catalog {
	return catalog.New(1, []catalog.Profile{{
		Name: "urgent", Host: "host", Prefix: "/", JobPolicy: workload.JobPolicy{Service: testService, Stretch: 1.5},
	}}, nil, catalog.Limits{})
}

// playUneven plays a fleet in which work takes 0.7 times as long as declared, and 1.7 times on each third worker. It
// returns the share of the urgent jobs that took more than one and a half times their work on a sound worker.
func playUneven(t *testing.T, bySpeed bool) float64 {
	play := newFleetPlay(t, 640, 0, 1)
	play.factors = map[fleet.WorkerID]float64{}
	for id := range play.workers {
		play.factors[id] = 0.7
		if id[len(id)-1]%3 == 0 {
			play.factors[id] = 1.7
		}
	}
	if bySpeed {
		play.Catalog = urgentCatalog
	}
	accepted, ended := map[*job]time.Duration{}, map[*job]time.Duration{}
	for play.now < 30*time.Second {
		if play.now < 20*time.Second {
			for _, job := range play.arrivals() {
				job.policy.Stretch = []float64{1.5, 3, 3}[job.policy.Priority]
				accepted[job] = play.now
			}
		}
		play.advance()
		for job := range accepted {
			if _, known := ended[job]; !known && job.record.State.Terminal() {
				ended[job] = play.now
			}
		}
	}
	urgent, late := 0, 0
	for job, at := range accepted {
		first := &run{job: job, task: workload.TaskID{Job: job.ID}}
		if job.policy.Priority != workload.Urgent || at < 5*time.Second {
			continue
		}
		urgent++
		if end, ok := ended[job]; !ok || end-at > first.workTime()*3/2+250*time.Millisecond {
			late++
		}
	}
	t.Logf("by speed %t: %d of %d urgent jobs late", bySpeed, late, urgent)
	return float64(late) / float64(urgent)
}

// TestUnevenWorkers plays urgent gangs beside batch work on a fleet of uneven speed. It guards against gangs that miss their
// objective because one of their workers is known to be slow while fast ones are free.
func TestUnevenWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// maxRatio is the most of the late jobs that may remain: the fleet is not known at first.
		const maxRatio = 1.0 / 3
		without, with := playUneven(t, false), playUneven(t, true)
		if with > maxRatio*without {
			t.Errorf("%.2f of the urgent jobs are late by speed, %.2f otherwise, want at most %.2f times that", with, without,
				maxRatio)
		}
	})
}

// TestSpeedsOfOtherController guards against knowledge that is lost or does harm when it is passed to another controller,
// or cannot be read there.
func TestSpeedsOfOtherController(t *testing.T) {
	known, other := newTestLoop(t, 4), newTestLoop(t, 4)
	for range 3 {
		job := known.submit(1, workload.Step{Tasks: 4, Estimate: time.Second})
		for id, seconds := range map[fleet.WorkerID]float64{"w0000": 1, "w0001": 2.5, "w0002": 1, "w0003": 1} {
			run := &run{job: job, task: workload.TaskID{Job: job.ID}, unit: &unitRuns{workers: []fleet.WorkerID{id}}}
			known.learnSpeed(run, seconds, 1)
		}
	}
	other.adoptSpeeds([]byte(`{"workers":{"w0001":[2000,100]}}`))
	other.adoptSpeeds([]byte("odd"))
	if _, ok := other.speeds.Factor("w0001", 0); ok {
		t.Error("an odd document was adopted")
	}
	other.adoptSpeeds(known.speeds.Encode(0))
	own, _ := known.speeds.Factor("w0001", 0)
	adopted, ok := other.speeds.Factor("w0001", 0)
	if !ok || adopted < 1.3 || adopted > own+0.2 {
		t.Errorf("factor %.2f is known: %t, want about %.2f", adopted, ok, own)
	}
}

// TestRemainingTimeOnSlowWorker guards against runs on a worker known as slow that are expected to end in the declared time.
func TestRemainingTimeOnSlowWorker(t *testing.T) {
	test := newTestLoop(t, 1)
	test.uneven[testService], test.workers["w0000"].factor = true, 2
	job := test.submit(1, workload.Step{Tasks: 1, Estimate: 10 * time.Second})
	test.plan()
	for run := range job.runs {
		if remaining := run.remainingTime(test.now + 5*time.Second); remaining != 15*time.Second {
			t.Errorf("%s remain after half of the declared run time, want 15 s", remaining)
		}
	}
}
