package domain

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/operator"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const evacuationDocument = `{"organisation": "org", "max_waiting": 100, "profiles": [
 {"name": "once", "shape": {"members": 3, "accelerators": 4, "cores": 1, "memory_bytes": 1,
  "adjacency": "data_centre"}, "urgency": "normal", "limits": {"max_waiting": 100, "max_body_bytes": 1024}},
 {"name": "moving", "shape": {"members": 3, "accelerators": 4, "cores": 1, "memory_bytes": 1,
  "adjacency": "data_centre"}, "checkpoint": true, "idempotent": true, "urgency": "normal",
  "limits": {"max_waiting": 100, "max_body_bytes": 1024}}]}`

// newEvacuationCluster returns a cluster without processes whose workers are in the data centres d0 and d1, four in
// each. Its processes use the real scheduler and keep the configuration in the store. The map holds the configuration
// of each started process.
func newEvacuationCluster(t *testing.T) (*cluster, map[*Service]*operator.Distributor) {
	cluster := newCluster(t, 8, 0)
	for i := range cluster.fleet.Workers {
		cluster.fleet.Workers[i].DataCentre = fleet.DataCentreID([]string{"d0", "d1"}[i/4])
	}
	configs := map[*Service]*operator.Distributor{}
	cluster.prepare = func(ctx context.Context, service *Service) {
		config := operator.NewDistributor(service.Store)
		config.Inventory = func() (fleet.Inventory, bool) { return cluster.inventory(), true }
		go func() { _ = config.Run(ctx) }()
		service.Configs = config
		service.NewScheduler = func() scheduler.Scheduler { return scheduler.NewCore(scheduler.Settings{}) }
		configs[service] = config
	}
	return cluster, configs
}

// runsIn returns the data centres in which an attempt of a job ran, in order.
func (cluster *cluster) runsIn(id string) string {
	var centres []string
	for _, run := range cluster.record.Runs() {
		at := slices.IndexFunc(cluster.fleet.Workers, func(other fleet.Worker) bool { return other.ID == run.Worker })
		centre := string(cluster.fleet.Workers[at].DataCentre)
		if run.Resumed {
			centre += " resumed"
		}
		if run.Key.Job == fleet.JobID(id) && !slices.Contains(centres, centre) {
			centres = append(centres, centre)
		}
	}
	return strings.Join(centres, ", ")
}

// TestEvacuationSurvivesRestarts guards against a placement in an evacuated data centre after the owner, or every
// process, was lost between the request and the placement. It also guards against a list or an explanation that does
// not say what still runs there and what waits.
func TestEvacuationSurvivesRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, configs := newEvacuationCluster(t)
		defer cluster.close()
		first, second := cluster.startProcess("p0"), cluster.startProcess("p1")
		if _, err := configs[first.service].Apply(t.Context(), &operatorv1.ApplyRequest{
			EditId: "a", Organisation: "org", DocumentJson: evacuationDocument,
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		submit := func(id, profile string, runTime time.Duration) {
			t.Helper()
			if err := cluster.submit(id, profile, standin.Input{RunTimeMS: runTime.Milliseconds()}); err != nil {
				t.Fatal(err)
			}
		}
		check := func(id, want string) {
			t.Helper()
			if got := cluster.runsIn(id); got != want {
				_, reason := cluster.status(id)
				t.Errorf("job %s ran in %q, want %q; %s", id, got, want, reason)
			}
		}
		submit("stays", "once", time.Hour)
		submit("moves", "moving", time.Hour)
		time.Sleep(10 * time.Second)
		check("stays", "d0")
		check("moves", "d0")

		if _, err := configs[second.service].Evacuate(
			t.Context(), &operatorv1.EvacuateRequest{DataCentre: "d0"}); err != nil {
			t.Fatal(err)
		}
		first.kill()
		listed := second.service.ListEvacuations(t.Context())
		if len(listed.Evacuations) != 1 || len(listed.Evacuations[0].Problems) != 1 {
			t.Errorf("list without an owner: %v", listed)
		}
		for _, machine := range cluster.fleet.Workers {
			cluster.workers[machine.ID].Hang(true)
		}
		time.Sleep(3 * time.Second)
		listed = second.service.ListEvacuations(t.Context())
		for _, machine := range cluster.fleet.Workers {
			cluster.workers[machine.ID].Hang(false)
		}
		if len(listed.Evacuations) != 1 || listed.Evacuations[0].RunningJobs != 2 || listed.Evacuations[0].Workers != 4 ||
			!strings.Contains(listed.Evacuations[0].Jobs[0].Reason, "the new owner is checking") {
			t.Errorf("list while the new owner takes over: %v", listed)
		}
		time.Sleep(10 * time.Second)
		submit("after", "once", 20*time.Second)
		time.Sleep(5 * time.Second)
		check("after", "d1")
		check("moves", "d0, d1 resumed")

		second.kill()
		third := cluster.startProcess("p2")
		time.Sleep(30 * time.Second)
		submit("again", "once", 20*time.Second)
		submit("waits", "once", 20*time.Second)
		time.Sleep(5 * time.Second)
		check("again", "d1")
		check("stays", "d0")
		check("waits", "")
		if _, reason := cluster.status("waits"); !strings.Contains(reason, "data centre d0 is evacuated") {
			t.Errorf("reason of the job that waits: %s", reason)
		}
		listed = third.service.ListEvacuations(t.Context())
		if len(listed.Evacuations) != 1 || len(listed.Evacuations[0].Problems) > 0 ||
			listed.Evacuations[0].AcceleratorsInUse != 12 || len(listed.Evacuations[0].Jobs) != 1 ||
			!strings.Contains(listed.Evacuations[0].Jobs[0].Reason, "cannot be preempted") {
			t.Errorf("list after the restart: %v", listed)
		}
		cluster.awaitOutcome("again", callerv1.Outcome_OUTCOME_COMPLETED, 60*time.Second)
		if _, err := configs[third.service].TakeBack(
			t.Context(), &operatorv1.TakeBackRequest{DataCentre: "d0"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if listed := third.service.ListEvacuations(t.Context()); len(listed.Evacuations) != 0 {
			t.Errorf("list after the data centre was taken back: %v", listed)
		}
		cluster.awaitOutcome("waits", callerv1.Outcome_OUTCOME_COMPLETED, 60*time.Second)
		cluster.checkInvariants()
	})
}
