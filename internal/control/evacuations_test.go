package control

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	testEvacuations = "evacuate/"
	evacuatedCentre = "east"
)

func decodeTestEvacuation(item keyvalue.Item) (fleet.DataCentreID, error) {
	id := strings.TrimPrefix(item.Key, testEvacuations)
	if id == "" {
		return "", errors.New("no data centre")
	}
	return fleet.DataCentreID(id), nil
}

func evacuationChange(id string, deleted bool) []keyvalue.Change {
	return []keyvalue.Change{{Item: keyvalue.Item{Key: testEvacuations + id}, Deleted: deleted}}
}

// newTwoCentres returns a loop with workers in two data centres, the first half of them in evacuatedCentre.
func newTwoCentres(t *testing.T, workers int) *testLoop {
	test := newTestLoop(t, workers)
	test.EvacuationPrefix, test.DecodeEvacuation = testEvacuations, decodeTestEvacuation
	for i, id := range slices.Sorted(maps.Keys(test.workers)) {
		test.workers[id].entry.DataCentre = "west"
		if i < workers/2 {
			test.workers[id].entry.DataCentre = evacuatedCentre
		}
	}
	return test
}

// placedIn counts the placed runs on workers of a data centre that are not to be stopped.
func (test *testLoop) placedIn(dataCentre fleet.DataCentreID) int {
	count := 0
	for _, worker := range test.workers {
		for _, run := range worker.runs {
			if worker.entry.DataCentre == dataCentre && !run.stopping {
				count++
			}
		}
	}
	return count
}

var wholeWorker = workload.Resources{Millicores: 1000, MemoryMiB: 100, Accelerators: 8}

// TestEvacuatedDataCentreGetsNoTasks guards against placements in an evacuated data centre, also by claims of urgent work,
// and against data centres that stay closed after they were taken back.
func TestEvacuatedDataCentreGetsNoTasks(t *testing.T) {
	test := newTwoCentres(t, 8)
	test.observeEvacuations(evacuationChange(evacuatedCentre, false), false)
	test.observeEvacuations(evacuationChange("nowhere", false), false)
	test.observeEvacuations(evacuationChange("", false), false)
	test.submit(1, workload.Step{Tasks: 4, Each: wholeWorker, Estimate: time.Minute})
	test.submit(0, workload.Step{Tasks: 2, Each: wholeWorker, Estimate: time.Minute})
	test.plan()
	if placed, elsewhere := test.placedIn(evacuatedCentre), test.placedIn("west"); placed != 0 || elsewhere != 4 {
		t.Errorf("%d runs placed in the evacuated data centre, %d elsewhere, want 0 and 4", placed, elsewhere)
	}
	// A listing without the request takes the data centre back.
	test.observeEvacuations(evacuationChange("nowhere", false), true)
	test.now += time.Minute
	test.plan()
	if placed := test.placedIn(evacuatedCentre); placed == 0 {
		t.Error("nothing placed in the data centre that was taken back")
	}
}

// TestClaimInEvacuatedDataCentre guards against a unit that waits for capacity that it has claimed in a data centre which
// was evacuated since.
func TestClaimInEvacuatedDataCentre(t *testing.T) {
	test := newTwoCentres(t, 2)
	test.submit(1, workload.Step{Tasks: 2, Each: wholeWorker, Estimate: time.Minute})
	test.plan()
	test.submit(0, workload.Step{Tasks: 1, Each: wholeWorker, Estimate: time.Minute})
	test.plan()
	if len(test.claims) != 1 {
		t.Fatalf("%d claims, want 1", len(test.claims))
	}
	for _, claim := range test.claims {
		test.observeEvacuations(evacuationChange(string(test.workers[claim.places[0]].entry.DataCentre), false), false)
	}
	test.plan()
	for _, claim := range test.claims {
		if test.workers[claim.places[0]].evacuated {
			t.Error("capacity is claimed in the evacuated data centre")
		}
	}
}

// TestStartsMeetEvacuation guards against starts in an evacuated data centre that were decided, or sent without a
// response, before the request was known, and against starts by knowledge that is too old.
func TestStartsMeetEvacuation(t *testing.T) {
	for _, when := range []string{"stored", "unanswered", "unconfirmed"} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test := newTestLoop(t, 1)
				began := time.Now()
				test.Clock = func() time.Duration { return time.Since(began) }
				workers := &unresponsiveWorkers{}
				test.Workers, test.LeaseDuration = workers, time.Minute
				test.EvacuationPrefix, test.DecodeEvacuation = testEvacuations, decodeTestEvacuation
				worker := test.workers["w0000"]
				worker.entry.DataCentre = evacuatedCentre
				test.connect(worker, worker.entry, 1, formerLeases{})
				worker.settled = true
				job := test.submit(1, workload.Step{Tasks: 1, Each: wholeWorker, Estimate: time.Minute})
				test.plan()
				if when == "unanswered" {
					sendStored(job)
					time.Sleep(startTimeout / 2)
				}
				if when == "unconfirmed" {
					test.evacuations.MaxAge = time.Second
				} else {
					test.observeEvacuations(evacuationChange(evacuatedCentre, false), false)
				}
				if when != "unanswered" {
					sendStored(job)
				}
				synctest.Wait()
				sent := workers.attempts.Load()
				time.Sleep(10 * time.Second)
				if expected := map[string]int32{"unanswered": 1}[when]; sent != expected || workers.attempts.Load() != sent {
					t.Errorf("%d starts were sent, and %d later, want %d", sent, workers.attempts.Load()-sent, expected)
				}
				worker.link.cancel()
				_ = test.group.Wait()
			})
		})
	}
}

// list records that a listing has shown the run at work.
func (run *run) list(now time.Duration) {
	run.startSent, run.working, run.firstListed, run.listedAt = true, true, max(now, 1), max(now, 1)
}

// TestLastingTasksLeaveInTurn guards against a service that loses more of its tasks at a time than was promised, and
// against tasks that last and stay in an evacuated data centre.
func TestLastingTasksLeaveInTurn(t *testing.T) {
	test := newTwoCentres(t, 8)
	job := test.submit(1, workload.Step{Tasks: 4, Each: wholeWorker, LongRunning: true, MaxUnavailable: 1})
	test.plan()
	for round := range 20 {
		test.now += time.Second
		for run := range job.runs {
			if run.stopping {
				test.endRun(run, "stopped", "", "listed")
				continue
			}
			run.list(test.now)
		}
		if round == 0 {
			test.observeEvacuations(evacuationChange(evacuatedCentre, false), false)
		}
		test.plan()
		working := 0
		for run := range job.runs {
			if !run.stopping {
				working++
			}
		}
		if working < 3 {
			t.Fatalf("%d tasks are left in round %d, want 3 at least", working, round)
		}
	}
	if placed, elsewhere := test.placedIn(evacuatedCentre), test.placedIn("west"); placed != 0 || elsewhere != 4 {
		t.Errorf("%d runs in the evacuated data centre, %d elsewhere, want 0 and 4", placed, elsewhere)
	}
}

// TestPreemptionKeepsAvailability guards against preemption of more tasks of a service than may be away.
func TestPreemptionKeepsAvailability(t *testing.T) {
	for limit, victims := range map[int]int{0: 2, 1: 0, 2: 2} {
		test := newTestLoop(t, 4)
		job := test.submit(1, workload.Step{Tasks: 4, Each: wholeWorker, LongRunning: true, MaxUnavailable: limit})
		test.plan()
		for run := range job.runs {
			run.list(test.now)
		}
		test.submit(0, workload.Step{
			Tasks: 2, Gang: true, Each: wholeWorker, Estimate: time.Hour, Checkpoints: true,
		})
		test.plan()
		stopping := 0
		for run := range job.runs {
			if run.stopping {
				stopping++
			}
		}
		if stopping != victims {
			t.Errorf("%d tasks preempted with %d allowed away, want %d", stopping, limit, victims)
		}
	}
}
