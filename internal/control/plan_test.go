package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalstall/quetzalstall/internal/term"
	"github.com/quetzalstall/quetzalstall/pkg/catalog"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	testService      = "service"
	testOrganisation = "organisation"
)

// testLoop is a dispatcher without links to workers: placements are decided and nothing is sent.
type testLoop struct {
	*dispatcher
	now  time.Duration
	jobs int
}

// newTestLoop returns a loop with equal workers, eight to a rack.
func newTestLoop(tb testing.TB, workers int) *testLoop {
	tb.Helper()
	group, ctx := errgroup.WithContext(context.Background())
	test := &testLoop{}
	controller := &Controller{
		Clock:   func() time.Duration { return test.now },
		Catalog: func() *catalog.Catalog { return nil }, Logger: hclog.NewNullLogger(), Metrics: gometrics.NewRegistry(),
	}
	test.dispatcher = newDispatcher(ctx, controller, &term.Term{Token: 1}, group)
	for i := range workers {
		known := newWorker(WorkerEntry{
			ID: fleet.WorkerID(fmt.Sprintf("w%04d", i)), Incarnation: 1, Service: testService,
			Rack:     fleet.RackID(fmt.Sprintf("r%03d", i/8)),
			Capacity: workload.Resources{Millicores: 32000, MemoryMiB: 131072, Accelerators: 8},
		})
		known.present, known.settled = true, true
		test.workers[known.entry.ID] = known
	}
	return test
}

// submit adds an accepted job of one step.
func (test *testLoop) submit(priority workload.Priority, step workload.Step) *job {
	test.jobs++
	id := fleet.JobID(fmt.Sprintf("%016x", test.jobs))
	test.addJob(workload.Job{
		ID: id, Organisation: testOrganisation, Profile: "profile", Steps: []workload.Step{step}, Accepted: time.Now(),
		Terms: workload.Terms{Service: testService, Priority: priority, Attempts: 3, Stretch: 3},
	}, 1)
	return test.dispatcher.jobs[id]
}

var (
	smallTasks = workload.Step{
		Tasks: 30, Each: workload.Resources{Millicores: 2800, MemoryMiB: 8200, Accelerators: 1}, Estimate: 6 * time.Second,
	}
	urgentGang = workload.Step{
		Tasks: 5, Each: workload.Resources{Millicores: 3700, MemoryMiB: 20000, Accelerators: 8}, Estimate: 2 * time.Second,
		Gang: true, SameRack: true,
	}
	largeGang = workload.Step{
		Tasks: 10, Each: workload.Resources{Millicores: 13000, MemoryMiB: 38000, Accelerators: 4}, Estimate: 7 * time.Second,
		Gang: true,
	}
)

// BenchmarkPlanOverload measures one plan while far more work waits than the fleet can run.
func BenchmarkPlanOverload(b *testing.B) {
	test := newTestLoop(b, 350)
	for i := range 600 {
		switch i % 6 {
		case 0:
			test.submit(2, smallTasks)
		case 1:
			test.submit(1, largeGang)
		default:
			test.submit(0, urgentGang)
		}
	}
	test.plan()
	b.ReportAllocs()
	for b.Loop() {
		test.plan()
	}
}
