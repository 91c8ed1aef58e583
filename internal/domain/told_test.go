package domain

import (
	"testing"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// TestStatusNamesNoWorkersOfWaitingJob guards against the status of a job that waits and names the workers of its last
// attempt, on which nothing of it is left.
func TestStatusNamesNoWorkersOfWaitingJob(t *testing.T) {
	runCluster(t, 4, 1, func(t *testing.T, cluster *cluster) {
		if err := cluster.submit("j", idempotentProfile, standin.Input{RunTimeMS: 20_000}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		key := fleet.JobKey{Organisation: "org", Job: "j"}
		status, err := cluster.liveProcess().service.Status(t.Context(), key)
		if err != nil || status.State != "running" || len(status.Workers) == 0 {
			t.Errorf("status of the running job: %v, %v", status, err)
		}
		for _, worker := range cluster.workers {
			worker.Hang(true)
		}
		time.Sleep(30 * time.Second)
		status, err = cluster.liveProcess().service.Status(t.Context(), key)
		if err != nil || status.State != "queued" || len(status.Workers) != 0 {
			t.Errorf("status of the job after the loss of its worker: %v, %v", status, err)
		}
		for _, worker := range cluster.workers {
			worker.Hang(false)
		}
		time.Sleep(30 * time.Second)
	})
}
