package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// unresponsiveWorkers counts the starts and responds to none.
type unresponsiveWorkers struct {
	recordingWorkers
	attempts atomic.Int32
}

func (workers *unresponsiveWorkers) Start(ctx context.Context, _ WorkerEntry, _ StartOrder) (WorkerClock, error) {
	workers.attempts.Add(1)
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestNoStartOfEndedRun guards against a further attempt to start a run that has ended, after which its task may run
// twice.
func TestNoStartOfEndedRun(t *testing.T) {
	withPlacedTask(t, func(loop *testLoop, _ *recordingWorkers, worker *worker, job *job) {
		synctest.Wait()
		workers := &unresponsiveWorkers{}
		loop.Workers = workers
		job.onStored[0]()
		synctest.Wait()
		loop.endRun(worker.runs[workload.TaskID{Job: job.ID}], progress.RunLost, "", "test")
		time.Sleep(2 * time.Second)
		if attempts := workers.attempts.Load(); attempts != 1 {
			t.Errorf("%d attempts to start the run, want only the one before its end", attempts)
		}
	})
}
