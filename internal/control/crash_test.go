package control

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestCrashIsExplainedByItsRun guards against a crash that counts as one without a suspect because the worker had already
// restarted when its failure was noticed. It would keep the crashes of other workers from blaming a task.
func TestCrashIsExplainedByItsRun(t *testing.T) {
	tests := []struct {
		name string
		err  error
		// crashes is the number of crashes that are counted at once.
		crashes int
	}{
		{"connection ended", errors.New("EOF"), 0},
		{"no response", context.DeadlineExceeded, 0},
		{"another incarnation", &RefusalError{Reason: RefusedIncarnation}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPlacedTask(t, func(loop *testLoop, _ *recordingWorkers, crashed *worker, job *job) {
				for _, start := range job.onStored {
					start()
				}
				time.Sleep(20 * time.Millisecond)
				loop.handlePollFailure(crashed.link, 1, test.err)
				if crashed.unexplained {
					t.Error("the crash counts as unexplained although a run had just started")
				}
				if count := job.record.Occurrences[0].Steps[0].Tasks[0].Crashes.Count; count != test.crashes {
					t.Errorf("%d crashes counted, want %d", count, test.crashes)
				}
			})
		})
	}
}
