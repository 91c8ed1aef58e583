package target

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
)

// Guards against a request that does not get its whole answer or does not run exactly once, through every process and
// with both an idempotent profile and one that is not.
func TestCallCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, testSeats, 2, nil)
		defer cluster.stop()
		for process := range cluster.processes {
			for _, name := range []string{"read", "write"} {
				id := name + string(rune('a'+process))
				got := cluster.call(context.Background(), process, newCall(id, name, "hello"))
				if got.GetOutcome() != callerv1.Outcome_OUTCOME_COMPLETED || string(got.GetAnswer()) != "hello" {
					t.Errorf("process %d, %s: %v", process, name, got)
				}
				if runs := cluster.record.Runs("reed/" + id).Begun; runs != 1 {
					t.Errorf("%s ran %d times, want 1", id, runs)
				}
			}
		}
	})
}
