package bench

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// evacuationReturn is the time over which the workers of a data centre return to use after it was taken back.
const evacuationReturn = 10 * time.Second

// changeEvacuation evacuates a data centre or takes it back.
func (machine *machine) changeEvacuation(t *rapid.T) {
	machine.setEvacuated(rapid.SampledFrom([]fleet.DataCentreID{"ngara", "gikomba"}).Draw(t, "data centre"),
		rapid.Bool().Draw(t, "evacuated"))
}

func (machine *machine) setEvacuated(id fleet.DataCentreID, evacuated bool) {
	old := machine.record.config
	if _, before := old.Evacuations[id]; before == evacuated {
		return
	}
	config := *old
	config.Revision++
	config.Evacuations = maps.Clone(old.Evacuations)
	if evacuated {
		if config.Evacuations == nil {
			config.Evacuations = map[fleet.DataCentreID]profile.Evacuation{}
		}
		config.Evacuations[id] = profile.Evacuation{Since: machine.record.now, Revision: config.Revision}
		delete(machine.returnAt, id)
	} else {
		delete(config.Evacuations, id)
		machine.returnAt[id] = machine.record.now.Add(evacuationReturn)
	}
	machine.record.config = &config
	for _, worker := range machine.record.order {
		worker.evacuated = worker.evacuated || evacuated && worker.worker.DataCentre == id
	}
	machine.record.returning = len(machine.returnAt) > 0
	machine.core.Apply(machine.record.now, scheduler.ConfigChanged{Config: &config})
}

// returnWorkers marks the workers as in use whose data centres were taken back at least evacuationReturn ago.
func (machine *machine) returnWorkers() {
	for id, at := range machine.returnAt {
		if at.After(machine.record.now) {
			continue
		}
		delete(machine.returnAt, id)
		for _, worker := range machine.record.order {
			worker.evacuated = worker.evacuated && worker.worker.DataCentre != id
		}
	}
	machine.record.returning = len(machine.returnAt) > 0
}

// TestEvacuationSequences guards against the faults that TestStatefulCore guards against, and against placements in
// evacuated data centres, when data centres are evacuated and taken back at any time. It is a test of its own because
// further events would change the sequences of the other tests' seeds.
func TestEvacuationSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine()
		events := machine.events()
		events["change evacuation"] = machine.changeEvacuation
		t.Repeat(events)
		machine.drain(t)
	})
}
