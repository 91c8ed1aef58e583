package evacuation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// TestRequests guards against starts in an evacuated data centre after any series of requests, repeated and removed ones
// among them, and against starts by knowledge that is too old.
func TestRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := Requests{MaxAge: 3 * time.Second}
		now, confirmed := time.Duration(0), time.Duration(-1)
		expected := map[fleet.DataCentreID]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			dataCentre := fleet.DataCentreID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data_centre"))
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				if requests.Add(dataCentre, now) == expected[dataCentre] {
					t.Fatalf("a request for %s is new: %t", dataCentre, expected[dataCentre])
				}
				expected[dataCentre] = true
			case 1:
				if requests.Remove(dataCentre, now) != expected[dataCentre] {
					t.Fatalf("%s was evacuated: %t", dataCentre, !expected[dataCentre])
				}
				expected[dataCentre] = false
			default:
				confirmed = now
				requests.Confirm(now)
			}
			for dataCentre, evacuated := range expected {
				if evacuated && requests.Allows(dataCentre, "w", now) {
					t.Fatalf("start allowed in %s, which is evacuated", dataCentre)
				}
			}
			if young := confirmed >= 0 && now-confirmed < 3*time.Second; requests.Current(now) != young {
				t.Fatalf("requests are current: %t, confirmed %s ago", !young, now-confirmed)
			}
		}
	})
}

// TestRamp guards against a rush of starts on a data centre that was taken back, and against workers that stay unused.
func TestRamp(t *testing.T) {
	requests := Requests{}
	requests.Add("a", 0)
	requests.Remove("a", time.Second)
	const workers = 400
	former := 0
	for _, elapsed := range []time.Duration{0, RampTime / 2, RampTime} {
		allowed := 0
		for n := range workers {
			if requests.Allows("a", fleet.WorkerID(fmt.Sprintf("w%d", n)), time.Second+elapsed) {
				allowed++
			}
		}
		expected := int(workers * (rampStart + (1-rampStart)*elapsed.Seconds()/RampTime.Seconds()))
		if tolerance := workers / 10; allowed < expected-tolerance || allowed > expected+tolerance || allowed < former {
			t.Errorf("%d of %d workers in use after %s, want about %d", allowed, workers, elapsed, expected)
		}
		former = allowed
	}
	if former != workers {
		t.Errorf("%d workers of %d in use at the end", former, workers)
	}
}

// TestMoves guards against work that stays in an evacuated data centre for good, against moves that lose work, and against
// a service that loses more tasks at a time than was promised.
func TestMoves(t *testing.T) {
	for run, leaves := range map[Run]bool{
		{LongRunning: true}:                                    true,
		{Remaining: time.Hour}:                                 false,
		{Remaining: time.Hour, Checkpointed: true}:             true,
		{Remaining: MinMoveRemaining - 1, Checkpointed: true}:  false,
		{LongRunning: true, Checkpointed: true, Remaining: -1}: true,
	} {
		if run.Leaves() != leaves {
			t.Errorf("%+v leaves: %t, want %t", run, !leaves, leaves)
		}
	}
	for _, test := range []struct {
		limit, away, tasks int
		allowed            bool
	}{
		{0, 5, 3, true}, {1, 0, 1, true}, {1, 1, 1, false}, {2, 0, 3, false}, {3, 1, 2, true},
	} {
		if (Availability{Limit: test.limit, Away: test.away}).AllowsStop(test.tasks) != test.allowed {
			t.Errorf("%+v: the stop is allowed: %t, want %t", test, !test.allowed, test.allowed)
		}
	}
}
