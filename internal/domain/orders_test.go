package domain

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// setFault sets a fault of all workers; nil ends it.
func (cluster *cluster) setFault(order standin.Order, fault *standin.Fault) {
	for _, worker := range cluster.workers {
		worker.SetFault(order, fault)
	}
}

// received returns the number of orders of a kind that all workers have received.
func (cluster *cluster) received(order standin.Order) int {
	total := 0
	for _, worker := range cluster.workers {
		total += worker.Received(order)
	}
	return total
}

// TestCancellationUntilStopped guards against a cancelled job that is reported as cancelled, or whose capacity is given
// away, while a task of it runs because its worker did not carry out the stop.
func TestCancellationUntilStopped(t *testing.T) {
	for name, fault := range standin.OrderFaults() {
		for _, ownerDies := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s_%t", name, ownerDies), func(t *testing.T) {
				runCluster(t, 3, 2, func(t *testing.T, cluster *cluster) {
					mustSubmit(t, cluster, "j", nonIdempotentProfile, longInput)
					mustSubmit(t, cluster, "k", idempotentProfile, longInput)
					mustSubmit(t, cluster, "next", idempotentProfile, standin.Input{RunTimeMS: 2_000})
					time.Sleep(3 * time.Second)
					cluster.setFault(standin.OrderStop, fault)
					cluster.cancel("j")
					cluster.cancel("k")
					time.Sleep(time.Second)
					if ownerDies {
						cluster.processes[0].kill()
					}
					time.Sleep(9 * time.Second)
					cluster.setFault(standin.OrderStop, nil)
					cluster.awaitOutcome("j", cancelled, 5*time.Second)
					cluster.awaitOutcome("k", cancelled, 5*time.Second)
					cluster.awaitOutcome("next", completed, time.Minute)
				})
			})
		}
	}
}

// TestRefusedStarts guards against jobs that end as unknown although the listings show that no worker started them, and
// against a flood of attempts while every worker refuses.
func TestRefusedStarts(t *testing.T) {
	for _, order := range []standin.Order{standin.OrderReserve, standin.OrderStart} {
		for name, fault := range standin.OrderFaults() {
			if order == standin.OrderReserve && fault.Ignored {
				continue
			}
			t.Run(fmt.Sprintf("%s_%s", order, name), func(t *testing.T) {
				runCluster(t, 6, 2, func(t *testing.T, cluster *cluster) {
					cluster.setFault(order, fault)
					mustSubmit(t, cluster, "once", nonIdempotentProfile, standin.Input{RunTimeMS: 5_000})
					mustSubmit(t, cluster, "again", idempotentProfile, standin.Input{RunTimeMS: 5_000})
					time.Sleep(10 * time.Second)
					cluster.checkOrderRate(order, 10*time.Second)
					cluster.setFault(order, nil)
					if fault.Ignored {
						// The worker confirmed a start that its listing does not show.
						cluster.awaitOutcome("once", unknown, 30*time.Second)
					} else {
						cluster.awaitOutcome("once", completed, 30*time.Second)
					}
					cluster.awaitOutcome("again", completed, 30*time.Second)
				})
			})
		}
	}
}

// TestOneWorkerRefusesStarts guards against a flood of attempts, each of which runs partly, while one worker refuses.
func TestOneWorkerRefusesStarts(t *testing.T) {
	for name, fault := range standin.OrderFaults() {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, 1, func(t *testing.T, cluster *cluster) {
				cluster.workers["w0"].SetFault(standin.OrderStart, fault)
				mustSubmit(t, cluster, "again", idempotentProfile, standin.Input{RunTimeMS: 5_000})
				time.Sleep(10 * time.Second)
				cluster.checkOrderRate(standin.OrderStart, 10*time.Second)
				cluster.setFault(standin.OrderStart, nil)
				cluster.awaitOutcome("again", completed, 30*time.Second)
			})
		})
	}
}

// checkOrderRate reports an error if the workers received more than two orders a second each, which is one attempt with
// two members.
func (cluster *cluster) checkOrderRate(order standin.Order, within time.Duration) {
	cluster.t.Helper()
	if rate := float64(cluster.received(order)) / within.Seconds() / float64(len(cluster.workers)); rate > 2 {
		cluster.t.Errorf("%.1f orders (%s) a second and worker, want at most 2", rate, order)
	}
}

// TestWorkersLostDuringGangStart guards against a job that counts as running for ever because its workers were lost for
// syncs, but not for commands, before its gang had started.
func TestWorkersLostDuringGangStart(t *testing.T) {
	for _, name := range []string{idempotentProfile, nonIdempotentProfile} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, 1, func(t *testing.T, cluster *cluster) {
				cluster.setFault(standin.OrderSync, standin.OrderFaults()["unavailable_503"])
				time.Sleep(200 * time.Millisecond)
				// The job is created before the third failed sync and its attempt recorded after it.
				cluster.store.setDelay(1500 * time.Millisecond)
				mustSubmit(t, cluster, "j", name, longInput)
				time.Sleep(time.Minute)
				if _, reason := cluster.status("j"); cluster.received(standin.OrderStart) == 0 ||
					strings.HasPrefix(reason, "running") && cluster.running("j") == 0 {
					t.Errorf("%d starts sent, no task runs, and the job is %s",
						cluster.received(standin.OrderStart), reason)
				}
				cluster.setFault(standin.OrderSync, nil)
				if name == idempotentProfile {
					cluster.awaitOutcome("j", completed, 2*time.Minute)
				} else {
					cluster.awaitOutcome("j", unknown, 2*time.Minute)
				}
			})
		})
	}
}

// TestRunListedAfterItsAttempt guards against a run of an ended attempt that is not stopped although its worker, which
// was suspended while the attempt ended, still lists it.
func TestRunListedAfterItsAttempt(t *testing.T) {
	for _, name := range []string{idempotentProfile, nonIdempotentProfile} {
		t.Run(name, func(t *testing.T) {
			// The invariants don't hold for a worker whose clock stands still.
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, 2, 1)
				defer cluster.close()
				time.Sleep(8 * time.Second)
				mustSubmit(t, cluster, "j", name, longInput)
				time.Sleep(1500 * time.Millisecond)
				cluster.suspend("w1", 25*time.Second)
				stops := cluster.workers["w1"].Received(standin.OrderStop)
				time.Sleep(4 * time.Second)
				if cluster.running("j") == 0 {
					t.Fatal("the suspended task does not run any more, so that nothing is shown")
				}
				time.Sleep(4 * time.Second)
				for _, run := range cluster.record.Runs() {
					if run.Attempt == 1 && run.End.IsZero() {
						t.Errorf(
							"a task of the ended attempt runs on %s 8 s after it was listed again; %d stops were sent",
							run.Worker, cluster.workers[run.Worker].Received(standin.OrderStop)-stops)
					}
				}
			})
		})
	}
}

// TestRunOfRelistedWorkerIsStopped guards against a run that goes on because its attempt ended while its worker was not
// listed.
func TestRunOfRelistedWorkerIsStopped(t *testing.T) {
	for _, name := range []string{idempotentProfile, nonIdempotentProfile} {
		t.Run(name, func(t *testing.T) {
			// A worker that is listed again after its removal must be another one by the design, so that the
			// invariants don't hold.
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, 2, 1)
				defer cluster.close()
				time.Sleep(8 * time.Second)
				mustSubmit(t, cluster, "j", name, longInput)
				time.Sleep(1500 * time.Millisecond)
				workers := cluster.inventory().Workers
				cluster.list(workers[:1])
				time.Sleep(time.Second)
				cluster.list(workers)
				time.Sleep(7 * time.Second)
				for _, run := range cluster.record.Runs() {
					if run.Attempt == 1 && run.End.IsZero() {
						t.Errorf("a task of the ended attempt runs on %s 7 s after it was listed again", run.Worker)
					}
				}
			})
		})
	}
}

// running returns the number of tasks of a job that run.
func (cluster *cluster) running(id string) int {
	count := 0
	for _, run := range cluster.record.Runs() {
		if run.Key.Job == fleet.JobID(id) && run.End.IsZero() {
			count++
		}
	}
	return count
}

// TestCancellationDuringConflict guards against a cancellation that is acknowledged and then dropped because another
// process has written the record of the job.
func TestCancellationDuringConflict(t *testing.T) {
	for _, name := range []string{idempotentProfile, nonIdempotentProfile} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, 2, func(t *testing.T, cluster *cluster) {
				mustSubmit(t, cluster, "j", name, longInput)
				time.Sleep(3 * time.Second)
				owner := cluster.processes[0].service.currentOwner()
				key := fleet.JobKey{Organisation: "org", Job: "j"}
				written := make(chan struct{})
				accepted, err := runOnLoop(t.Context(), owner, func() bool {
					rewriteRecord(t, cluster.store, key)
					return owner.cancel(key, func() { close(written) })
				})
				if err != nil || !accepted {
					t.Fatalf("cancellation: %t, %v", accepted, err)
				}
				<-written
				stored := storedRecord(t, cluster.store, key)
				if !stored.CancelRequested && stored.State != StateEnded {
					t.Errorf("the cancellation was acknowledged, but the stored record does not show it")
				}
				cluster.awaitOutcome("j", cancelled, 15*time.Second)
			})
		})
	}
}

// storedRecord returns the record of a job in the store.
func storedRecord(t *testing.T, store *memoryStore, key fleet.JobKey) *Record {
	t.Helper()
	store.mutex.Lock()
	entry := store.entries[recordKey(key)]
	store.mutex.Unlock()
	record, err := decodeRecord(entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// rewriteRecord writes the record of a job to the store as another process.
func rewriteRecord(t *testing.T, store *memoryStore, key fleet.JobKey) {
	t.Helper()
	record := storedRecord(t, store, key)
	record.WriteID = "other-1"
	text, err := record.encode()
	if err != nil {
		t.Fatal(err)
	}
	store.mutex.Lock()
	revision := store.entries[recordKey(key)].Revision
	store.mutex.Unlock()
	if _, err := store.swap(recordKey(key), text, revision); err != nil {
		t.Fatal(err)
	}
}

// TestUnknownRunIsStopped guards against a run that a worker lists and no job knows, and that is stopped once or not at
// all.
func TestUnknownRunIsStopped(t *testing.T) {
	for name, fault := range standin.OrderFaults() {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 1, 1, func(t *testing.T, cluster *cluster) {
				worker := cluster.workers["w0"]
				worker.SetFault(standin.OrderStop, fault)
				reserved, err := worker.Reserve(t.Context(), &workerv1.ReserveRequest{
					LeaseId: "l", Accelerators: 4, TtlMs: 3_000,
					Label: &workerv1.LeaseLabel{Organisation: "org", JobId: "nobody", Attempt: 1, GangMembers: 1},
				})
				if err != nil || !reserved.Granted {
					t.Fatalf("reserve: %v, %v", reserved, err)
				}
				started, err := worker.Start(t.Context(),
					&workerv1.StartRequest{LeaseId: "l", TtlMs: 120_000, Input: longInput.Encode()})
				if err != nil || !started.Done {
					t.Fatalf("start: %v, %v", started, err)
				}
				time.Sleep(30 * time.Second)
				if sent := worker.Received(standin.OrderStop); sent < 8 || sent > 25 {
					t.Errorf("%d stops in 30 s, want 8 to 25", sent)
				}
				worker.SetFault(standin.OrderStop, nil)
				time.Sleep(8 * time.Second)
				if running := cluster.running("nobody"); running != 0 {
					t.Errorf("%d tasks run 8 s after the fault, want 0", running)
				}
			})
		})
	}
}

// TestRunsEndAfterShutdown guards against runs that go on once no process renews their leases.
func TestRunsEndAfterShutdown(t *testing.T) {
	runCluster(t, 3, 2, func(t *testing.T, cluster *cluster) {
		mustSubmit(t, cluster, "j", nonIdempotentProfile, longInput)
		time.Sleep(3 * time.Second)
		cluster.setFault(standin.OrderStop, standin.OrderFaults()["unavailable_503"])
		cluster.cancel("j")
		for _, process := range cluster.processes {
			process.kill()
		}
		time.Sleep(cluster.processes[0].service.Timing.MaxLeaseLifetime())
		if running := cluster.running("j"); running != 0 {
			t.Errorf("%d tasks run after the shutdown and their leases, want 0", running)
		}
	})
}
