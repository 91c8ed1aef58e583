package worker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// testFleet is a manager with stand-in workers of eight accelerators.
type testFleet struct {
	t        *testing.T
	manager  *Manager
	record   *standin.Record
	machines []fleet.Worker
	// workers holds the worker at each address.
	workers map[string]*standin.Worker
	mutex   sync.Mutex
	// silent holds the addresses at which no sync is answered.
	silent  map[string]bool
	reports []Report
}

// runFleet runs a test on a fake clock with a manager that has synced with its workers. Worker i has the id and the
// address w<i>.
func runFleet(t *testing.T, workers int, test func(fleet *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tested := &testFleet{
			t: t, record: standin.NewRecord(), workers: make(map[string]*standin.Worker), silent: make(map[string]bool),
		}
		tested.manager = NewManager(tested.dial, tested.addReport)
		defer tested.manager.Close()
		for i := range workers {
			name := fmt.Sprintf("w%d", i)
			tested.machines = append(tested.machines, fleet.Worker{
				ID: fleet.WorkerID(name), Address: name, Cores: 8, Memory: 1 << 30, Accelerators: 8,
			})
			tested.addWorker(i, name)
		}
		tested.manager.SetFleet(tested.machines)
		time.Sleep(time.Second)
		test(tested)
	})
}

func (tested *testFleet) dial(machine fleet.Worker) Client {
	return testLink{Client: tested.workers[machine.Address], fleet: tested, address: machine.Address}
}

// testLink is a connection to the worker at an address.
type testLink struct {
	Client
	fleet   *testFleet
	address string
}

func (link testLink) Sync(ctx context.Context, request *workerv1.SyncRequest) (*workerv1.SyncResponse, error) {
	if link.fleet.isSilent(link.address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return link.Client.Sync(ctx, request)
}

// silence makes syncs at an address wait without a response from now on.
func (tested *testFleet) silence(address string) {
	tested.mutex.Lock()
	defer tested.mutex.Unlock()
	tested.silent[address] = true
}

func (tested *testFleet) isSilent(address string) bool {
	tested.mutex.Lock()
	defer tested.mutex.Unlock()
	return tested.silent[address]
}

// addWorker starts a worker with the capacity of machine i at an address.
func (tested *testFleet) addWorker(i int, address string) *standin.Worker {
	tested.workers[address] = standin.New(tested.machines[i], tested.record, standin.Settings{})
	return tested.workers[address]
}

// listAt lists machine i at another address.
func (tested *testFleet) listAt(i int, address string) {
	machines := append([]fleet.Worker(nil), tested.machines...)
	machines[i].Address = address
	tested.machines = machines
	tested.manager.SetFleet(machines)
}

func (tested *testFleet) addReport(report Report) {
	tested.mutex.Lock()
	defer tested.mutex.Unlock()
	tested.reports = append(tested.reports, report)
}

// reported reports whether a report satisfies a condition.
func (tested *testFleet) reported(condition func(Report) bool) bool {
	tested.mutex.Lock()
	defer tested.mutex.Unlock()
	for _, report := range tested.reports {
		if condition(report) {
			return true
		}
	}
	return false
}

// gang returns a gang with a member of one accelerator on each worker, whose tasks take a minute.
func (tested *testFleet) gang(job string) Gang {
	gang := Gang{
		Key:           fleet.JobKey{Organisation: "org", Job: fleet.JobID(job)},
		Attempt:       1,
		Input:         standin.Input{RunTimeMS: 60_000}.Encode(),
		StartDeadline: time.Now().Add(tested.manager.Timing.Reservation),
	}
	for i, machine := range tested.machines {
		lease := fleet.LeaseID(fmt.Sprintf("%s.%d", job, i))
		gang.Members = append(gang.Members, Member{Worker: machine.ID, Lease: lease, Accelerators: 1})
	}
	return gang
}

// start starts a gang, which must succeed.
func (tested *testFleet) start(job string) Gang {
	tested.t.Helper()
	gang := tested.gang(job)
	if result := tested.manager.StartGang(context.Background(), gang); !result.Started {
		tested.t.Fatalf("gang not started: %+v", result)
	}
	time.Sleep(2 * time.Second)
	return gang
}

// running returns the number of tasks that run.
func (tested *testFleet) running() int {
	count := 0
	for _, run := range tested.record.Runs() {
		if run.End.IsZero() {
			count++
		}
	}
	return count
}
