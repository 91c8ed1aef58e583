package target

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
)

// Guards against a request path that does not deliver a whole answer, for both kinds of profiles and from every
// process, and against a status that another process does not know.
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
					t.Errorf("%s ran %d times", id, runs)
				}
			}
		}
	})
}
