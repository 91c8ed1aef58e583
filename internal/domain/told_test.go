package domain

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/operator"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// startOne starts a process with a configuration of one organisation.
func startOne(t *testing.T, cluster *cluster, configs map[*Service]*operator.Distributor, document string) *Service {
	t.Helper()
	started := cluster.startProcess("p0")
	if _, err := configs[started.service].Apply(t.Context(), &operatorv1.ApplyRequest{
		EditId: "a", Organisation: "org", DocumentJson: document,
	}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	return started.service
}

// counter returns the value of a counter of a process.
func (service *Service) counter(name string) int64 {
	return gometrics.GetOrRegisterCounter(name, service.Metrics).Count()
}

// TestReclaimsCountGangsThatWereEvicted guards against a count of reclaims that contains cancelled jobs, jobs that ran for
// too long and gangs that have not stopped yet, or a gang twice.
func TestReclaimsCountGangsThatWereEvicted(t *testing.T) {
	limited := strings.Replace(evacuationDocument, `"limits": {"max_waiting"`, `"limits": {"max_run_time": "20s", "max_waiting"`, 1)
	tests := []struct {
		name, profile string
		// disturb acts on the job "j", which runs in the data centre d0.
		disturb func(*testing.T, *cluster, *operator.Distributor)
		want    int64
	}{
		{"cancelled", "moving", func(_ *testing.T, cluster *cluster, _ *operator.Distributor) { cluster.cancel("j") }, 0},
		{"ran for too long", "once", func(*testing.T, *cluster, *operator.Distributor) {}, 0},
		{"moved, with a checkpoint", "moving", func(t *testing.T, _ *cluster, config *operator.Distributor) {
			if _, err := config.Evacuate(t.Context(), &operatorv1.EvacuateRequest{DataCentre: "d0"}); err != nil {
				t.Fatal(err)
			}
		}, 1},
		{"moved, without a response to the checkpoint", "moving", func(t *testing.T, cluster *cluster, config *operator.Distributor) {
			if _, err := config.Evacuate(t.Context(), &operatorv1.EvacuateRequest{DataCentre: "d0"}); err != nil {
				t.Fatal(err)
			}
		}, 1},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, configs := newEvacuationCluster(t)
				defer cluster.close()
				service := startOne(t, cluster, configs, limited)
				input := standin.Input{RunTimeMS: time.Hour.Milliseconds(), IgnoresCheckpoint: i == len(tests)-1}
				if err := cluster.submit("j", test.profile, input); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				if got := cluster.runsIn("j"); got != "d0" {
					t.Fatalf("the job runs in %q, want d0", got)
				}
				test.disturb(t, cluster, configs[service])
				time.Sleep(30 * time.Second)
				if got := service.counter("reclaims"); got != test.want {
					t.Errorf("%d reclaims, want %d", got, test.want)
				}
			})
		})
	}
}

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

// TestGaugesEndWithTheTerm guards against a process that goes on exporting the gauges of the domain as they were at the end of
// its term, beside those of the new owner.
func TestGaugesEndWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, configs := newEvacuationCluster(t)
		defer cluster.close()
		owner, former := cluster.startProcess("p0"), cluster.startProcess("p1")
		if _, err := configs[owner.service].Apply(t.Context(), &operatorv1.ApplyRequest{
			EditId: "a", Organisation: "org", DocumentJson: evacuationDocument,
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		exports := func(process *process) (gauges int) {
			process.service.Metrics.Each(func(_ string, metric any) {
				if _, ok := metric.(gometrics.Gauge); ok {
					gauges++
				}
			})
			return gauges
		}
		// Each process owns the domain while it does not see the other.
		cluster.setPartitioned(true)
		time.Sleep(20 * time.Second)
		if exports(owner) == 0 || exports(former) == 0 {
			t.Errorf("the owners export %d and %d gauges", exports(owner), exports(former))
		}
		cluster.setPartitioned(false)
		time.Sleep(10 * time.Second)
		if exports(owner) == 0 || exports(former) > 0 {
			t.Errorf("the owner exports %d gauges, and the former one %d, want none", exports(owner), exports(former))
		}
	})
}

// TestReasonOfUnknownOutcome guards against callers who are told that an attempt ran although only the decision to start it is
// known.
func TestReasonOfUnknownOutcome(t *testing.T) {
	runCluster(t, 4, 2, func(t *testing.T, cluster *cluster) {
		// The first write creates the record, the second one is that of the attempt.
		cluster.processes[0].crashAfter("swap", 2)
		if err := cluster.submit("j", nonIdempotentProfile, standin.Input{RunTimeMS: 10_000}); err != nil {
			t.Error(err)
		}
		cluster.awaitOutcome("j", unknown, 90*time.Second)
		if runs := cluster.attemptsRun("j"); runs != 0 {
			t.Errorf("%d attempts ran, want none", runs)
		}
		if _, reason := cluster.status("j"); !strings.Contains(reason, "may have run") {
			t.Errorf("the reason is %q, want that an attempt may have run", reason)
		}
	})
}

// TestUnmatchedLeaseIsListed guards against operators who take an evacuated data centre for empty while a worker there reports a
// lease that belongs to no attempt that the owner knows.
func TestUnmatchedLeaseIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, configs := newEvacuationCluster(t)
		defer cluster.close()
		service := startOne(t, cluster, configs, evacuationDocument)
		if _, err := configs[service].Evacuate(t.Context(), &operatorv1.EvacuateRequest{DataCentre: "d0"}); err != nil {
			t.Fatal(err)
		}
		held := cluster.workers[cluster.fleet.Workers[0].ID]
		sync, err := held.Sync(t.Context(), &workerv1.SyncRequest{})
		if err != nil {
			t.Fatal(err)
		}
		granted, err := held.Reserve(t.Context(), &workerv1.ReserveRequest{
			LeaseId: "l", Accelerators: 4, TtlMs: 10_000, ExpiresWorkerMs: sync.WorkerMs + 1000,
			Label: &workerv1.LeaseLabel{Organisation: "org", JobId: "j", Attempt: 1, GangMembers: 1},
		})
		if err != nil || !granted.Granted {
			t.Fatalf("the lease is not granted: %v, %v", granted, err)
		}
		time.Sleep(3 * time.Second)
		listed := service.ListEvacuations(t.Context()).Evacuations[0]
		if len(listed.Jobs) != 1 || listed.Jobs[0].JobId != "j" || listed.AcceleratorsInUse != 4 || listed.RunningJobs != 1 {
			t.Errorf("list with an active lease of an unknown job: %v", listed)
		}
		time.Sleep(20 * time.Second)
		if listed := service.ListEvacuations(t.Context()).Evacuations[0]; len(listed.Jobs) > 0 {
			t.Errorf("list after the end of the lease: %v", listed)
		}
	})
}

// TestListTellsOfTakeover guards against operators who take a list of evacuated work for complete while a new owner has not
// heard of all workers yet.
func TestListTellsOfTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, configs := newEvacuationCluster(t)
		defer cluster.close()
		service := startOne(t, cluster, configs, evacuationDocument)
		next := cluster.startProcess("p1")
		time.Sleep(time.Second)
		if _, err := configs[service].Evacuate(t.Context(), &operatorv1.EvacuateRequest{DataCentre: "d0"}); err != nil {
			t.Fatal(err)
		}
		cluster.processes[0].kill()
		time.Sleep(3 * time.Second)
		problems := next.service.ListEvacuations(t.Context()).Evacuations[0].Problems
		if len(problems) != 1 || !strings.Contains(problems[0], "taking over") {
			t.Errorf("problems during the takeover: %q, want that the owner is taking over", problems)
		}
		time.Sleep(20 * time.Second)
		if problems := next.service.ListEvacuations(t.Context()).Evacuations[0].Problems; len(problems) > 0 {
			t.Errorf("problems after the takeover: %q, want none", problems)
		}
	})
}
