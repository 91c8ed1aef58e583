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

// gangLimits holds the times for which only a part of a gang may run, by section 2.3 of the design.
var gangLimits = standin.GangBound{Start: 5 * time.Second, Running: 16 * time.Second}

// The profiles of the tests have gangs of three members with four accelerators each.
const (
	idempotentProfile    = "repeatable"
	nonIdempotentProfile = "once"
	checkpointProfile    = "saving"
	// limitedQueueProfile limits the queue to ten jobs.
	limitedQueueProfile = "bounded"
)

// testRetention replaces the default retention of one day.
const testRetention = 2 * time.Hour

// errorReporter is the part of testing.TB that a cluster needs.
type errorReporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// cluster is a set of entry processes with one store and one set of workers.
type cluster struct {
	t       errorReporter
	store   *memoryStore
	record  *standin.Record
	workers map[fleet.WorkerID]*standin.Worker
	clocks  map[fleet.WorkerID]*workerClock
	fleet   fleet.Inventory
	// prepare changes the service of a process before the process starts; nil changes nothing. Its context ends with the
	// process.
	prepare func(ctx context.Context, service *Service)

	mutex sync.Mutex
	// processes lists the processes in the order in which they become owners. A process sees the first one that is
	// alive and that it can reach as the owner.
	processes []*process
	// partitioned is true while no process can reach any other process.
	partitioned bool
	reported    map[fleet.JobKey]standin.ReportedOutcome
}

func newCluster(t errorReporter, workers, processes int) *cluster {
	cluster := &cluster{
		t:        t,
		store:    newMemoryStore(),
		record:   standin.NewRecord(),
		workers:  make(map[fleet.WorkerID]*standin.Worker),
		clocks:   make(map[fleet.WorkerID]*workerClock),
		fleet:    fleet.Inventory{Revision: 1},
		reported: make(map[fleet.JobKey]standin.ReportedOutcome),
	}
	for i := range workers {
		machine := fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("w%d", i)), Region: "r", Cores: 32, Memory: 1 << 36, Accelerators: 8,
		}
		cluster.fleet.Workers = append(cluster.fleet.Workers, machine)
		clock := new(workerClock)
		cluster.clocks[machine.ID] = clock
		cluster.workers[machine.ID] = standin.New(machine, cluster.record,
			standin.Settings{ClockOffset: time.Duration(i) * time.Hour, Now: clock.now})
	}
	for i := range processes {
		cluster.startProcess(fmt.Sprintf("p%d", i))
	}
	return cluster
}

// workerClock is the clock of a worker, which stands still while the worker is suspended.
type workerClock struct {
	mutex     sync.Mutex
	stoppedAt time.Time
	lag       time.Duration
}

func (clock *workerClock) now() time.Time {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	if !clock.stoppedAt.IsZero() {
		return clock.stoppedAt.Add(-clock.lag)
	}
	return time.Now().Add(-clock.lag)
}

func (clock *workerClock) stop() {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.stoppedAt = time.Now()
}

func (clock *workerClock) resume() {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.lag += time.Since(clock.stoppedAt)
	clock.stoppedAt = time.Time{}
}

// suspend stops a worker, its tasks and its clock for a time.
func (cluster *cluster) suspend(id fleet.WorkerID, length time.Duration) {
	cluster.workers[id].Hang(true)
	cluster.clocks[id].stop()
	time.Sleep(length)
	cluster.clocks[id].resume()
	cluster.workers[id].Hang(false)
}

func testConfig() *profile.Config {
	shape := &fleet.Shape{Members: 3, Accelerators: 4, Cores: 1, Memory: 1}
	limits := profile.Limits{MaxWaiting: 1000}
	return &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{
		"org": {ID: "org", Profiles: []profile.Profile{
			{Name: idempotentProfile, Shape: shape, Idempotent: true, Limits: limits},
			{Name: nonIdempotentProfile, Shape: shape, Limits: limits},
			{Name: limitedQueueProfile, Shape: shape, Idempotent: true, Limits: profile.Limits{MaxWaiting: 10}},
			{Name: checkpointProfile, Shape: shape, Checkpoint: true, Limits: limits},
		}},
	}}
}

// startProcess starts an entry process.
func (cluster *cluster) startProcess(name string) *process {
	ctx, stop := context.WithCancel(context.Background())
	process := &process{
		cluster: cluster, name: fleet.VMID(name), stop: stop, done: make(chan struct{}), counts: make(map[string]int),
	}
	service := NewService()
	service.View = peerView{process}
	service.Store = &storeLink{store: cluster.store, process: process, healthy: true}
	service.Configs = fixedConfig{testConfig()}
	service.Inventory = cluster.inventory
	service.NewScheduler = newFIFO
	service.Retention = testRetention
	service.Dial = func(machine fleet.Worker) worker.Client {
		return workerLink{worker: cluster.workers[machine.ID], process: process}
	}
	if cluster.prepare != nil {
		cluster.prepare(ctx, service)
	}
	process.service = service
	cluster.mutex.Lock()
	cluster.processes = append(cluster.processes, process)
	cluster.mutex.Unlock()
	go func() {
		defer close(process.done)
		_ = service.Run(ctx)
	}()
	return process
}

func (cluster *cluster) inventory() fleet.Inventory {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.fleet
}

// list replaces the list of workers.
func (cluster *cluster) list(workers []fleet.Worker) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.fleet = fleet.Inventory{Revision: cluster.fleet.Revision + 1, Workers: workers}
}

// visibleTo returns the live processes that a process sees, in the order in which they become owners.
func (cluster *cluster) visibleTo(viewer *process) []*process {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	visible := slices.Clone(cluster.processes)
	return slices.DeleteFunc(visible, func(other *process) bool {
		return !other.alive() || cluster.partitioned && other != viewer
	})
}

func (cluster *cluster) setPartitioned(partitioned bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.partitioned = partitioned
}

// liveProcess returns a live process, or nil if there is none.
func (cluster *cluster) liveProcess() *process {
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
	_, err := cluster.liveProcess().service.Submit(ctx, "org",
		&callerv1.SubmitRequest{JobId: id, Profile: profile, Input: input.Encode()})
	return err
}

// status requests the status of a job from a live process and records the reported outcome. An outcome that differs
// from the one reported earlier is an error.
func (cluster *cluster) status(id string) (callerv1.Outcome, string) {
	key := fleet.JobKey{Organisation: "org", Job: fleet.JobID(id)}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := cluster.liveProcess().service.Status(ctx, key)
	if err != nil {
		return callerv1.Outcome_OUTCOME_UNSPECIFIED, err.Error()
	}
	ended := response.Outcome != callerv1.Outcome_OUTCOME_PENDING
	if earlier, ok := cluster.reported[key]; ok && ended && earlier.Outcome != response.Outcome {
		cluster.t.Errorf("job %s: reported as %s and then as %s", id, earlier.Outcome, response.Outcome)
	} else if !ok && ended {
		cluster.reported[key] = standin.ReportedOutcome{Outcome: response.Outcome, At: time.Now()}
	}
	return response.Outcome, response.State + ": " + response.Reason
}

// tryCancel sends a cancellation to a live process once.
func (cluster *cluster) tryCancel(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, _ = cluster.liveProcess().service.Cancel(ctx, fleet.JobKey{Organisation: "org", Job: fleet.JobID(id)})
}

// cancel sends a cancellation to live processes until one accepts it.
func (cluster *cluster) cancel(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := cluster.liveProcess().service.Cancel(ctx,
			fleet.JobKey{Organisation: "org", Job: fleet.JobID(id)}); err == nil {
			return
		}
		_ = lifecycle.Sleep(ctx, time.Second)
	}
	cluster.t.Errorf("job %s: cancellation not accepted", id)
}

// awaitOutcome waits until a job has the wanted outcome. After the given time, it reports an error.
func (cluster *cluster) awaitOutcome(id string, want callerv1.Outcome, within time.Duration) {
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

// checkInvariants reports partial gangs, second runs of non-idempotent jobs, overcommitted workers, and outcomes that
// contradict the runs that the stand-in workers recorded.
func (cluster *cluster) checkInvariants() {
	cluster.t.Helper()
	now := time.Now()
	violations := cluster.record.PartialGangs(gangLimits, now)
	violations = append(violations, cluster.record.DoubleRuns(func(run standin.Run) bool {
		return run.Profile == idempotentProfile || run.Profile == limitedQueueProfile
	})...)
	violations = append(violations, cluster.record.Overcommitted(now)...)
	violations = append(violations, cluster.record.Contradictions(cluster.reported)...)
	for _, violation := range violations {
		cluster.t.Errorf("invariant violated: %s", violation)
	}
}

// attemptsRun returns the number of attempts of a job in which at least one member ran.
func (cluster *cluster) attemptsRun(id string) int {
	attempts := make(map[fleet.Attempt]bool)
	for _, run := range cluster.record.Runs() {
		if run.Key.Job == fleet.JobID(id) {
			attempts[run.Attempt] = true
		}
	}
	return len(attempts)
}

// close kills all processes.
func (cluster *cluster) close() {
	for _, process := range cluster.processes {
		process.kill()
	}
}

// runCluster runs a test over a cluster on a fake clock, once the first process owns the domain.
func runCluster(t *testing.T, workers, processes int, test func(t *testing.T, cluster *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, workers, processes)
		time.Sleep(8 * time.Second)
		test(t, cluster)
		cluster.checkInvariants()
		cluster.close()
	})
}

// TestJobCompletes guards against jobs that do not complete although nothing fails.
func TestJobCompletes(t *testing.T) {
	runCluster(t, 4, 3, func(t *testing.T, cluster *cluster) {
		for i, profile := range []string{idempotentProfile, nonIdempotentProfile, checkpointProfile} {
			if err := cluster.submit(fmt.Sprintf("j%d", i), profile, standin.Input{RunTimeMS: 20_000}); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 3 {
			cluster.awaitOutcome(fmt.Sprintf("j%d", i), callerv1.Outcome_OUTCOME_COMPLETED, 90*time.Second)
		}
	})
}
