package control

import (
	"testing"
	"testing/synctest"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// TestWithheldEndIsBounded guards against one withheld end that keeps all later ends of its worker in the listings,
// until these have no room for further ends.
func TestWithheldEndIsBounded(t *testing.T) {
	withPlacedTask(t, func(loop *testLoop, _ *recordingWorkers, worker *worker, job *job) {
		synctest.Wait()
		id := workload.TaskID{Job: job.ID}
		loop.endRun(worker.runs[id], progress.RunLost, "", "test")
		loop.plan()
		ends := []RunEnd{{Number: 1, Task: id, Run: 1, How: progress.RunDone}}
		loop.processEnds(worker, ends)
		if worker.acknowledgeable() != 0 {
			t.Fatalf("ends up to %d can be acknowledged, want none", worker.acknowledgeable())
		}
		for len(ends) < maxListedEnds-1 && worker.acknowledgeable() == 0 {
			number := int64(len(ends)) + 1
			other := workload.TaskID{Job: fleet.JobID("other"), Index: len(ends)}
			ends = append(ends, RunEnd{Number: number, Task: other, Run: 1, How: progress.RunStopped})
			loop.processEnds(worker, ends)
		}
		if worker.acknowledgeable() == 0 {
			t.Errorf("none of %d ends can be acknowledged", len(ends))
		}
	})
}
