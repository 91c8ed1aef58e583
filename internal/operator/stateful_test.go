package operator

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// model runs processes step by step and records the accepted and refused edits, with which check compares the
// processes.
type model struct {
	standin   *standin.Platform
	processes []*process
	snapshots []standin.Snapshot
	// accepted maps each revision to the edit that was accepted as that revision; nil is a change of evacuations.
	accepted map[fleet.Revision]*operatorv1.ApplyRequest
	refused  map[string]bool
	newest   fleet.Revision
	quotas   map[string]int
	edits    int
	// evacuated holds the evacuated data centres.
	evacuated map[string]bool
}

func newModel() *model {
	created := &model{
		standin:  standin.New(),
		accepted: map[fleet.Revision]*operatorv1.ApplyRequest{},
		refused:  map[string]bool{},
		quotas:   map[string]int{},

		evacuated: map[string]bool{},
	}
	created.snapshots = []standin.Snapshot{created.standin.Snapshot()}
	for i := range 4 {
		created.processes = append(created.processes, created.newProcess(i))
	}
	return created
}

func (model *model) newProcess(index int) *process {
	created := newProcess(index, standin.NewDirect(model.standin))
	created.Random = func() float64 { return 0 }
	return created.withWorkers("ngara", "gikomba")
}

func (model *model) drawProcess(rt *rapid.T) *process {
	return model.processes[rapid.IntRange(0, len(model.processes)-1).Draw(rt, "process")]
}

// catchUp makes a process read the store and its peers' revisions and catch up with them.
func (model *model) catchUp(member *process) {
	ctx := context.Background()
	if seen, err := member.readHead(ctx); err == nil {
		member.observe(seen)
	}
	member.receiveRevisions(model.processes)
	_ = member.CatchUp(ctx)
}

func (model *model) apply(rt *rapid.T) {
	member := model.drawProcess(rt)
	member.receiveRevisions(model.processes)
	model.edits++
	organisation := rapid.SampledFrom([]string{"reed", "moor"}).Draw(rt, "organisation")
	seen := member.Revision() - fleet.Revision(rapid.IntRange(0, 4).Draw(rt, "behind")/4)
	request := setQuota(seen, fmt.Sprintf("edit%d", model.edits), organisation, model.edits)
	if rapid.IntRange(0, 4).Draw(rt, "removal") == 0 {
		request.DocumentJson = ""
	}
	response, err := member.Apply(context.Background(), request)
	if err != nil {
		if fault.FromError(err).Kind == fault.AnswerLost {
			rt.Fatalf("outcome is unknown although the store responds to reads")
		}
		model.refused[request.GetEditId()] = true
		return
	}
	revision := fleet.Revision(response.GetRevision())
	if other, taken := model.accepted[revision]; taken || revision != model.newest+1 || revision != seen+1 {
		rt.Fatalf("edit %v was accepted as revision %d after revision %d; that revision has edit %v",
			request, revision, model.newest, other)
	}
	model.accepted[revision], model.newest = request, revision
	delete(model.quotas, organisation)
	if request.GetDocumentJson() != "" {
		model.quotas[organisation] = model.edits
	}
	model.snapshots = append(model.snapshots, model.standin.Snapshot())
}

// changeEvacuation evacuates a data centre or takes it back.
func (model *model) changeEvacuation(rt *rapid.T) {
	ctx, member := context.Background(), model.drawProcess(rt)
	member.receiveRevisions(model.processes)
	id := rapid.SampledFrom([]string{"ngara", "gikomba"}).Draw(rt, "data centre")
	before, revision, changed := model.evacuated[id], int64(0), true
	var err error
	if rapid.Bool().Draw(rt, "take back") {
		var response *operatorv1.TakeBackResponse
		response, err = member.TakeBack(ctx, &operatorv1.TakeBackRequest{DataCentre: id})
		if kindOf(err) == fault.NotFound && before || err == nil && !before {
			rt.Fatalf("taking back %s, which was evacuated: %t: %v", id, before, err)
		}
		revision = response.GetRevision()
	} else {
		var response *operatorv1.EvacuateResponse
		response, err = member.Evacuate(ctx, &operatorv1.EvacuateRequest{DataCentre: id})
		if err == nil && response.GetAlreadyEvacuated() != before {
			rt.Fatalf("evacuation of %s, which was evacuated: %t: %v", id, before, response)
		}
		revision, changed = response.GetRevision(), !response.GetAlreadyEvacuated()
	}
	if err != nil && kindOf(err) != fault.NotFound && kindOf(err) != fault.StoreUnavailable {
		rt.Fatalf("change of the evacuation of %s: %v", id, err)
	}
	if err != nil || !changed {
		return
	}
	model.newest++
	if fleet.Revision(revision) != model.newest {
		rt.Fatalf("change of an evacuation got revision %d, want %d", revision, model.newest)
	}
	model.accepted[model.newest] = nil
	model.evacuated[id] = !before
	model.snapshots = append(model.snapshots, model.standin.Snapshot())
}

// repeat sends an accepted edit again, to any process.
func (model *model) repeat(rt *rapid.T) {
	if model.newest == 0 {
		return
	}
	revision := fleet.Revision(rapid.IntRange(1, int(model.newest)).Draw(rt, "revision"))
	member := model.drawProcess(rt)
	if model.accepted[revision] == nil {
		return
	}
	member.receiveRevisions(model.processes)
	response, err := member.Apply(context.Background(), model.accepted[revision])
	if err == nil && fleet.Revision(response.GetRevision()) != revision {
		rt.Fatalf("repeated edit of revision %d got %d", revision, response.GetRevision())
	}
	if err != nil && fault.FromError(err).Kind != fault.StoreUnavailable {
		rt.Fatalf("repeated edit of revision %d: %v", revision, err)
	}
}

// restart replaces a process by a new one without a configuration. It does nothing if no other process holds the newest
// revision, which would then be lost.
func (model *model) restart(rt *rapid.T) {
	index := rapid.IntRange(0, len(model.processes)-1).Draw(rt, "process")
	holders := 0
	for i, member := range model.processes {
		if i != index && member.Revision() == model.newest {
			holders++
		}
	}
	if holders > 0 {
		model.processes[index] = model.newProcess(index)
	}
}

// check ends all faults, makes every process catch up, and compares the processes and the store with the recorded
// edits.
func (model *model) check(rt *rapid.T) {
	model.standin.SetDown(false)
	model.standin.LoseAnswers(0)
	for range 3 {
		for _, member := range model.processes {
			model.catchUp(member)
		}
	}
	for _, member := range model.processes {
		current := member.state()
		if current.head.Revision != model.newest || len(current.config.Organisations) != len(model.quotas) {
			rt.Fatalf("%s has revision %d with %d organisations, want %d with %d", member.id, current.head.Revision,
				len(current.config.Organisations), model.newest, len(model.quotas))
		}
		for organisation, quota := range model.quotas {
			held := current.config.Organisations[fleet.OrganisationID(organisation)]
			if held == nil || int(held.Quota) != quota {
				rt.Fatalf("%s has %v for %s, want quota %d", member.id, held, organisation, quota)
			}
		}
		for id, evacuated := range model.evacuated {
			if _, held := current.config.Evacuations[fleet.DataCentreID(id)]; held != evacuated {
				rt.Fatalf("%s has %s evacuated: %t, want %t", member.id, id, held, evacuated)
			}
		}
		for _, edit := range current.head.Edits {
			if model.refused[edit.ID] {
				rt.Fatalf("edit %s was rejected but is in force", edit.ID)
			}
		}
	}
	if stored, err := model.processes[0].readHead(context.Background()); err != nil ||
		stored.head.Revision != model.newest {
		rt.Fatalf("store has head %v, %v; want revision %d", stored, err, model.newest)
	}
}

// TestConfigurationAgainstOracle guards against revisions that decrease, two edits with the same revision, rejected
// edits that come into force, and accepted edits that are lost. It applies edits, outages, lost responses, regressions
// of the store and restarts in random order.
func TestConfigurationAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		model := newModel()
		defer func() { model.standin.SetDown(true) }()
		rt.Repeat(map[string]func(*rapid.T){
			"apply":    model.apply,
			"repeat":   model.repeat,
			"evacuate": model.changeEvacuation,
			"restart":  model.restart,
			"step":     func(rt *rapid.T) { model.catchUp(model.drawProcess(rt)) },
			"down":     func(rt *rapid.T) { model.standin.SetDown(rapid.Bool().Draw(rt, "down")) },
			"lose":     func(rt *rapid.T) { model.standin.LoseAnswers(rapid.IntRange(0, 3).Draw(rt, "count")) },
			"snapshot": func(*rapid.T) { model.snapshots = append(model.snapshots, model.standin.Snapshot()) },
			"restore": func(rt *rapid.T) {
				snapshot := rapid.IntRange(0, len(model.snapshots)-1).Draw(rt, "snapshot")
				model.standin.Restore(model.snapshots[snapshot])
			},
			"": func(rt *rapid.T) {
				for _, member := range model.processes {
					if err := member.checkRevisionsIncrease(); err != nil {
						rt.Fatal(err)
					}
				}
			},
		})
		model.check(rt)
	})
}

// TestDocumentsOfOneNumber guards against a process that takes one document for another with the same number. One of
// the two was left in the store by a rejected edit, or was accepted while the store had lost its contents.
func TestDocumentsOfOneNumber(t *testing.T) {
	ctx := context.Background()
	model := newModel()
	first, second, third := model.processes[0], model.newProcess(8), model.newProcess(9)
	apply := func(member *process, request *operatorv1.ApplyRequest) {
		t.Helper()
		if _, err := member.Apply(ctx, request); err != nil {
			t.Fatal(err)
		}
	}
	model.standin.LoseAnswers(1)
	if _, err := first.Apply(ctx, setQuota(0, "a", "reed", 1)); fault.FromError(err).Kind != fault.StoreUnavailable {
		t.Fatalf("edit whose document write has an unknown outcome: %v, want StoreUnavailable", err)
	}
	withOrphan := model.standin.Snapshot()
	model.standin.Restore(model.snapshots[0])
	apply(first, setQuota(0, "b", "reed", 2))
	model.standin.Restore(withOrphan)
	for range 3 {
		model.catchUp(first)
	}
	seen, err := second.readHead(ctx)
	if err != nil {
		t.Fatal(err)
	}
	second.observe(seen)
	_ = second.CatchUp(ctx)
	if config := second.Current(); config == nil || config.Organisations["reed"].Quota != 2 {
		t.Errorf("process that reads the repaired store has %v, want quota 2", config)
	}

	model.standin.Restore(model.snapshots[0])
	apply(third, setQuota(0, "c", "reed", 3))
	apply(third, setQuota(1, "d", "moor", 4))
	model.standin.SetDown(true)
	first.receiveRevisions([]*process{third})
	_ = first.CatchUp(ctx)
	if config := first.Current(); config.Revision != 2 || config.Organisations["reed"].Quota != 3 {
		t.Errorf("process with another document of the same number has %v after a pull, want revision 2 and quota 3",
			config)
	}
}
