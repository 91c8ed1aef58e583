package control

import (
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const testJobID fleet.JobID = "0000000000000001"

func statusChange(state progress.State, revision keyvalue.Revision) []keyvalue.Change {
	return []keyvalue.Change{{Item: keyvalue.Item{
		Key: ledger.StatusKey(testJobID), Value: ledger.Encode(ledger.Status{State: state}), Revision: revision,
	}}}
}

// TestCancellationBeforeJob guards against tasks that start although their job was cancelled, because the cancellation
// arrived before the job or before an older status of it.
func TestCancellationBeforeJob(t *testing.T) {
	running, cancelled := statusChange(progress.Running, 5), statusChange(progress.Cancelled, 9)
	tests := []struct {
		name         string
		before, then [][]keyvalue.Change
	}{
		{"before the job", [][]keyvalue.Change{running, cancelled}, nil},
		{"before an older status and the job", [][]keyvalue.Change{cancelled, running}, nil},
		{"after the job", nil, [][]keyvalue.Change{running, cancelled}},
		{"after the job, before an older status", nil, [][]keyvalue.Change{cancelled, running}},
		{"before the job, older status after it", [][]keyvalue.Change{cancelled}, [][]keyvalue.Change{running}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loop := newTestLoop(t, 1)
			for _, changes := range test.before {
				loop.observeStatuses(changes)
			}
			job := loop.submit(1, workload.Step{Tasks: 1, Estimate: time.Second})
			for _, changes := range test.then {
				loop.observeStatuses(changes)
			}
			loop.plan()
			if job.open() || placedTasks(job) > 0 {
				t.Errorf("job is open: %t, with %d placed tasks", job.open(), placedTasks(job))
			}
		})
	}
}
