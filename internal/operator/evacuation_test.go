package operator

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// withWorkers makes a process see one worker in each of the data centres.
func (process *process) withWorkers(ids ...fleet.DataCentreID) *process {
	inventory := fleet.Inventory{Revision: 1}
	for _, id := range ids {
		inventory.Workers = append(inventory.Workers, fleet.Worker{ID: fleet.WorkerID("w-" + id), DataCentre: id})
	}
	process.Inventory = func() (fleet.Inventory, bool) { return inventory, true }
	return process
}

func (process *process) evacuate(t *testing.T, id string) (*operatorv1.EvacuateResponse, error) {
	return process.Evacuate(t.Context(), &operatorv1.EvacuateRequest{DataCentre: id})
}

func (process *process) takeBack(t *testing.T, id string) (*operatorv1.TakeBackResponse, error) {
	return process.TakeBack(t.Context(), &operatorv1.TakeBackRequest{DataCentre: id})
}

// TestEvacuationRequests guards against a request with an unclear answer: one that names no data centre with workers or
// is malformed, one that is made twice, and the end of an evacuation that was never requested.
func TestEvacuationRequests(t *testing.T) {
	member := newProcess(0, standin.NewDirect(standin.New())).withWorkers("ngara", "gikomba")
	for _, test := range []struct {
		name string
		kind fault.Kind
		want string
	}{
		{"", fault.InvalidArgument, "data_centre"},
		{" ngara", fault.InvalidArgument, "data_centre"},
		{"ngara\n", fault.InvalidArgument, "data_centre"},
		{"nga\xffra", fault.InvalidArgument, "data_centre"},
		{strings.Repeat("x", maxDataCentreLength+1), fault.InvalidArgument, "data_centre"},
		{"Ngara", fault.NotFound, `no worker is in data centre "Ngara"; data centres with workers: gikomba, ngara`},
		{"../head", fault.NotFound, "no worker is in data centre"},
	} {
		if _, err := member.evacuate(t, test.name); kindOf(err) != test.kind || !strings.Contains(err.Error(), test.want) {
			t.Errorf("evacuation of %q: %v, want %s with %q", test.name, err, test.kind, test.want)
		}
	}
	if _, err := member.takeBack(t, "ngara"); kindOf(err) != fault.NotFound || !strings.Contains(err.Error(), "none") {
		t.Errorf("taking back what was never evacuated: %v", err)
	}
	if member.Revision() != 0 {
		t.Errorf("refused requests led to revision %d", member.Revision())
	}
	first, err := member.evacuate(t, "ngara")
	if err != nil || first.AlreadyEvacuated || first.Revision != 1 {
		t.Fatalf("evacuation: %v, %v", first, err)
	}
	second, err := member.evacuate(t, "ngara")
	if err != nil || !second.AlreadyEvacuated || second.Revision != 1 || second.SinceUnixMs != first.SinceUnixMs {
		t.Errorf("repeated evacuation: %v, %v", second, err)
	}
	member.withWorkers("gikomba")
	back, err := member.takeBack(t, "ngara")
	if err != nil || back.Revision != 2 || back.SinceUnixMs != first.SinceUnixMs ||
		len(member.Current().Evacuations) != 0 {
		t.Errorf("taking back a data centre without workers: %v, %v", back, err)
	}
	if text := string(member.state().head.encode()); strings.Contains(text, "evacuations") {
		t.Errorf("head without evacuations names them: %s", text)
	}
}

// TestEvacuationSurvives guards against an evacuation that fails because other edits are accepted at the same time,
// that does not reach every process within 2 s, or that is lost by edits of documents, lost responses, a restart of all
// processes, or a store that lost its newer contents.
func TestEvacuationSurvives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, clusterSize)
		cluster.mustApply(cluster.processes[0], setQuota(0, "a", "reed", 1))
		snapshot := cluster.standin.Snapshot()
		time.Sleep(2 * time.Second)
		check := func(event string, want int) {
			t.Helper()
			time.Sleep(2 * time.Second)
			for _, member := range cluster.processes {
				if got := len(member.Current().Evacuations); got != want {
					t.Errorf("%s: %s has %d evacuations, want %d", event, member.id, got, want)
				}
			}
		}
		cluster.standin.SetDelay(20 * time.Millisecond)
		var group sync.WaitGroup
		for i, member := range cluster.processes {
			member.withWorkers("ngara", "gikomba", "kariakor")
			group.Go(func() {
				if _, err := member.evacuate(t, []string{"ngara", "gikomba", "kariakor"}[i%3]); err != nil {
					t.Errorf("evacuation at %s: %v", member.id, err)
				}
			})
		}
		group.Wait()
		check("concurrent evacuations", 3)
		cluster.standin.LoseAnswers(1)
		if _, err := cluster.processes[3].takeBack(t, "kariakor"); err != nil {
			t.Error(err)
		}
		check("response of a take-back lost", 2)
		cluster.mustApply(cluster.processes[2], setQuota(5, "b", "moor", 1))
		check("another edit", 2)
		cluster.standin.Restore(snapshot)
		time.Sleep(5 * time.Second)
		check("regressed store", 2)
		restarted := newProcess(50, standin.NewDirect(cluster.standin))
		go func() { _ = restarted.Run(cluster.ctx) }()
		time.Sleep(time.Second)
		restarted.Close()
		if config := restarted.Current(); config == nil || len(config.Evacuations) != 2 {
			t.Errorf("process that reads only the store has configuration %v", config)
		}
	})
}
