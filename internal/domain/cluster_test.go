package domain

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// gangBound is that of section 2.3 of the design.
var gangBound = standin.GangBound{Start: 5 * time.Second, Running: 16 * time.Second}

// Profiles of the tests: gangs of three members with four accelerators each.
const (
	repeatable = "repeatable"
	once       = "once"
	saving     = "saving"
	// bounded lets ten jobs wait.
	bounded = "bounded"
)

// testRetention replaces the day for which ended jobs are kept.
const testRetention = 2 * time.Hour

// errorReporter is the part of testing.TB that a cluster needs.
type errorReporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// cluster is a set of entry processes over one store and one set of workers.
type cluster struct {
	t       errorReporter
	store   *memory
	record  *standin.Record
	workers map[fleet.WorkerID]*standin.Worker
	fleet   fleet.Inventory

	mutex sync.Mutex
	// processes is in the order in which they become owners.
	processes []*process
	// split puts each process on a side of its own.
	split bool
	told  map[fleet.JobKey]standin.ReportedOutcome
}

func newCluster(t errorReporter, workers, processes int) *cluster {
	made := &cluster{
		t:       t,
		store:   newMemory(),
		record:  standin.NewRecord(),
		workers: make(map[fleet.WorkerID]*standin.Worker),
		fleet:   fleet.Inventory{Revision: 1},
		told:    make(map[fleet.JobKey]standin.ReportedOutcome),
	}
	for i := range workers {
		machine := fleet.Worker{ID: fleet.WorkerID(fmt.Sprintf("w%d", i)), Region: "r", Cores: 32, Memory: 1 << 36, Accelerators: 8}
		made.fleet.Workers = append(made.fleet.Workers, machine)
		made.workers[machine.ID] = standin.New(machine, made.record, standin.Settings{ClockOffset: time.Duration(i) * time.Hour})
	}
	for i := range processes {
		made.launch(fmt.Sprintf("p%d", i))
	}
	return made
}

func testConfig() *profile.Config {
	shape := &fleet.Shape{Members: 3, Accelerators: 4, Cores: 1, Memory: 1}
	limits := profile.Limits{MaxWaiting: 1000}
	return &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{
		"org": {ID: "org", Profiles: []profile.Profile{
			{Name: repeatable, Shape: shape, Idempotent: true, Limits: limits},
			{Name: once, Shape: shape, Limits: limits},
			{Name: bounded, Shape: shape, Idempotent: true, Limits: profile.Limits{MaxWaiting: 10}},
			{Name: saving, Shape: shape, Checkpoint: true, Limits: limits},
		}},
	}}
}

// launch starts a process.
func (cluster *cluster) launch(name string) *process {
	ctx, stop := context.WithCancel(context.Background())
	launched := &process{cluster: cluster, name: fleet.VMID(name), stop: stop, ended: make(chan struct{}), counts: make(map[string]int)}
	service := NewService()
	service.View = view{launched}
	service.Store = &storeLink{store: cluster.store, process: launched, healthy: true}
	service.Configs = fixedConfig{testConfig()}
	service.Inventory = func() fleet.Inventory { return cluster.fleet }
	service.NewScheduler = newFIFO
	service.Retention = testRetention
	service.Dial = func(machine fleet.Worker) worker.Client {
		return workerLink{worker: cluster.workers[machine.ID], process: launched}
	}
	launched.service = service
	cluster.mutex.Lock()
	cluster.processes = append(cluster.processes, launched)
	cluster.mutex.Unlock()
	go func() {
		defer close(launched.ended)
		_ = service.Run(ctx)
	}()
	return launched
}

// seenBy returns the live processes that a process sees, in the order in which they become owners.
func (cluster *cluster) seenBy(viewer *process) []*process {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	seen := slices.Clone(cluster.processes)
	return slices.DeleteFunc(seen, func(other *process) bool {
		return !other.alive() || cluster.split && other != viewer
	})
}

func (cluster *cluster) setSplit(split bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.split = split
}

// live returns any live process.
func (cluster *cluster) live() *process {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, process := range cluster.processes {
		if process.alive() {
			return process
		}
	}
	return nil
}

func (cluster *cluster) submit(id, profile string, input standin.Input) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := cluster.live().service.Submit(ctx, "org", &callerv1.SubmitRequest{JobId: id, Profile: profile, Input: input.Encode()})
	return err
}

// status asks any live process and notes what it says of an ended job.
func (cluster *cluster) status(id string) (callerv1.Outcome, string) {
	key := fleet.JobKey{Organisation: "org", Job: fleet.JobID(id)}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := cluster.live().service.Status(ctx, key)
	if err != nil {
		return callerv1.Outcome_OUTCOME_UNSPECIFIED, err.Error()
	}
	ended := response.Outcome != callerv1.Outcome_OUTCOME_PENDING
	if told, ok := cluster.told[key]; ok && ended && told.Outcome != response.Outcome {
		cluster.t.Errorf("job %s: told %s and then %s", id, told.Outcome, response.Outcome)
	} else if !ok && ended {
		cluster.told[key] = standin.ReportedOutcome{Outcome: response.Outcome, At: time.Now()}
	}
	return response.Outcome, response.State + ": " + response.Reason
}

// tryCancel asks a live process once.
func (cluster *cluster) tryCancel(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, _ = cluster.live().service.Cancel(ctx, fleet.JobKey{Organisation: "org", Job: fleet.JobID(id)})
}

// cancel asks live processes until one has noted the cancellation.
func (cluster *cluster) cancel(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := cluster.live().service.Cancel(ctx, fleet.JobKey{Organisation: "org", Job: fleet.JobID(id)}); err == nil {
			return
		}
		_ = lifecycle.Sleep(ctx, time.Second)
	}
	cluster.t.Errorf("job %s: cancellation not noted", id)
}

// await waits until a job has the outcome.
func (cluster *cluster) await(id string, want callerv1.Outcome, within time.Duration) {
	cluster.t.Helper()
	deadline := time.Now().Add(within)
	outcome, reason := cluster.status(id)
	for outcome != want && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		outcome, reason = cluster.status(id)
	}
	if outcome != want {
		cluster.t.Errorf("job %s: outcome %s (%s) after %s, want %s", id, outcome, reason, within, want)
	}
}

// check judges the invariants by the stand-ins' record.
func (cluster *cluster) check() {
	cluster.t.Helper()
	now := time.Now()
	found := cluster.record.PartialGangs(gangBound, now)
	found = append(found, cluster.record.DoubleRuns(func(run standin.Run) bool { return run.Profile == repeatable || run.Profile == bounded })...)
	found = append(found, cluster.record.Overcommitted(now)...)
	found = append(found, cluster.record.Contradictions(cluster.told)...)
	for _, violation := range found {
		cluster.t.Errorf("invariant broken: %s", violation)
	}
}

// attempts returns the number of attempts of a job of which a member ran.
func (cluster *cluster) attempts(id string) int {
	attempts := make(map[fleet.Attempt]bool)
	for _, run := range cluster.record.Runs() {
		if run.Key.Job == fleet.JobID(id) {
			attempts[run.Attempt] = true
		}
	}
	return len(attempts)
}

// close ends all processes.
func (cluster *cluster) close() {
	for _, process := range cluster.processes {
		process.kill()
	}
}

// runCluster runs a test over a cluster on a fake clock, once the first process owns the domain.
func runCluster(t *testing.T, workers, processes int, test func(t *testing.T, cluster *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		made := newCluster(t, workers, processes)
		time.Sleep(8 * time.Second)
		test(t, made)
		made.check()
		made.close()
	})
}

func TestJobRunsToItsEnd(t *testing.T) {
	runCluster(t, 4, 3, func(t *testing.T, cluster *cluster) {
		for i, profile := range []string{repeatable, once, saving} {
			if err := cluster.submit(fmt.Sprintf("j%d", i), profile, standin.Input{RunTimeMS: 20_000}); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 3 {
			cluster.await(fmt.Sprintf("j%d", i), callerv1.Outcome_OUTCOME_COMPLETED, 90*time.Second)
		}
	})
}
