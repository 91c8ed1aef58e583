package domain

import (
	"fmt"
	"sync"
	"testing"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
)

// TestStoreWritesPerJob guards against more store writes than planned: a job costs one write for its creation, one
// for its attempt and one for its end.
func TestStoreWritesPerJob(t *testing.T) {
	for _, profile := range []string{idempotentProfile, nonIdempotentProfile, checkpointProfile} {
		t.Run(profile, func(t *testing.T) {
			runCluster(t, 4, 2, func(t *testing.T, cluster *cluster) {
				mustSubmit(t, cluster, "j", profile, standin.Input{RunTimeMS: 5_000})
				cluster.awaitOutcome("j", completed, time.Minute)
				writes := 0
				for _, process := range cluster.processes {
					writes += process.count("swap")
				}
				if writes != 3 {
					t.Errorf("%d writes, want 3", writes)
				}
			})
		})
	}
}

// TestExpiredRecordsRemoved guards against records that stay in the store after the retention time.
func TestExpiredRecordsRemoved(t *testing.T) {
	runCluster(t, 4, 2, func(t *testing.T, cluster *cluster) {
		mustSubmit(t, cluster, "j", idempotentProfile, standin.Input{RunTimeMS: 5_000})
		cluster.awaitOutcome("j", completed, time.Minute)
		time.Sleep(testRetention - time.Minute)
		if count := cluster.store.count(); count != 1 {
			t.Errorf("%d records before the retention time is over, want 1", count)
		}
		time.Sleep(3 * time.Minute)
		if count := cluster.store.count(); count != 0 {
			t.Errorf("%d records after the retention time, want 0", count)
		}
	})
}

// TestQueueLimitUnderBurst guards against exceeding MaxWaiting in a burst of submissions. Jobs whose records are
// still being created must count too.
func TestQueueLimitUnderBurst(t *testing.T) {
	runCluster(t, 2, 2, func(t *testing.T, cluster *cluster) {
		var group sync.WaitGroup
		var mutex sync.Mutex
		accepted := 0
		for i := range 60 {
			group.Go(func() {
				err := cluster.submit(fmt.Sprintf("j%d", i), limitedQueueProfile, standin.Input{RunTimeMS: 600_000})
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					accepted++
				} else if fault.FromError(err).Kind != fault.QueueFull {
					t.Errorf("refusal %v, want queue_full", err)
				}
			})
		}
		group.Wait()
		// One gang of three fits on two workers, so at most one job has left the queue.
		if accepted < 10 || accepted > 11 {
			t.Errorf("%d jobs accepted, want 10 or 11", accepted)
		}
	})
}

// TestShutdownKeepsGangs guards against gangs that a planned shutdown stops. The gangs that are starting start, and
// the next owner keeps them.
func TestShutdownKeepsGangs(t *testing.T) {
	runCluster(t, 6, 2, func(t *testing.T, cluster *cluster) {
		for i := range 4 {
			mustSubmit(t, cluster, fmt.Sprintf("j%d", i), nonIdempotentProfile, standin.Input{RunTimeMS: 20_000})
		}
		stopped := cluster.processes[0]
		stopped.service.Close()
		stopped.kill()
		for i := range 4 {
			id := fmt.Sprintf("j%d", i)
			cluster.awaitOutcome(id, completed, 2*time.Minute)
			if got := cluster.attemptsRun(id); got != 1 {
				t.Errorf("job %s ran in %d attempts, want 1", id, got)
			}
		}
	})
}
