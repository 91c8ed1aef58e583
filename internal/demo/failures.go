package demo

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// storeOutage is how long the store is down, as a share of the run.
	storeOutage = 0.15
	// readyCheck is the time between two health checks of the balancer.
	readyCheck = 200 * time.Millisecond
)

// step is something that happens at a share of the run.
type step struct {
	at   float64
	name string
	do   func(ctx context.Context) error
}

// fail does the steps of the run, each at its time.
func (demo *Demo) fail(ctx context.Context) error {
	steps, err := demo.steps()
	if err != nil {
		return err
	}
	began := time.Now()
	for _, step := range steps {
		due := began.Add(time.Duration(step.at * float64(demo.Duration)))
		_ = lifecycle.Sleep(ctx, time.Until(due))
		demo.say("%s", step.name)
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Scenario names the failures of a run.
type Scenario string

const (
	// ScenarioMixed has a VM lost, a store outage, edits, lost machines and a planned stop.
	ScenarioMixed Scenario = "mixed"
	// ScenarioRolling replaces every entry VM by a planned stop, one after the other.
	ScenarioRolling Scenario = "rolling"
	// ScenarioCrash crashes every entry VM, one after the other and then all at once.
	ScenarioCrash Scenario = "crash"
)

func (demo *Demo) steps() ([]step, error) {
	switch demo.Scenario {
	case ScenarioMixed:
		return demo.mixedSteps(), nil
	case ScenarioRolling:
		return demo.rollingSteps(), nil
	case ScenarioCrash:
		return demo.crashSteps(), nil
	}
	return nil, errors.Errorf("scenario %q is none of mixed, rolling, crash", demo.Scenario)
}

// rollingSteps stops and replaces every VM as planned.
func (demo *Demo) rollingSteps() []step {
	var steps []step
	for index := range demo.example.Fleet.Entries {
		steps = append(steps, step{
			at:   0.05 + 0.9*float64(index)/float64(len(demo.example.Fleet.Entries)),
			name: "an entry VM is stopped as planned and replaced",
			do: func(context.Context) error {
				leaving := demo.entries.live()[0]
				if err := demo.entries.drain(leaving); err != nil {
					return err
				}
				return demo.entries.replace(leaving)
			},
		})
	}
	return steps
}

// crashSteps crashes every VM, first one after the other and then all at once.
func (demo *Demo) crashSteps() []step {
	var steps []step
	for index := range demo.example.Fleet.Entries {
		steps = append(steps, step{
			at:   0.05 + 0.5*float64(index)/float64(len(demo.example.Fleet.Entries)),
			name: "an entry VM crashes and is replaced",
			do: func(context.Context) error {
				lost := demo.entries.live()[0]
				demo.entries.kill(lost)
				return demo.entries.replace(lost)
			},
		})
	}
	return append(steps, step{0.75, "all entry VMs crash at once and are replaced", func(context.Context) error {
		lost := demo.entries.live()
		for _, victim := range lost {
			demo.entries.kill(victim)
		}
		for _, victim := range lost {
			if err := demo.entries.replace(victim); err != nil {
				return err
			}
		}
		return nil
	}})
}

func (demo *Demo) mixedSteps() []step {
	var lost, leaving *entry
	return []step{
		{0.15, "an organisation's guaranteed shapes are asked for at once", demo.probe},
		{0.25, "an entry VM is lost", func(context.Context) error {
			lost = demo.entries.live()[1]
			demo.entries.kill(lost)
			return nil
		}},
		{0.35, "the lost VM is replaced", func(context.Context) error { return demo.entries.replace(lost) }},
		{0.40, "an operator edits a profile", demo.edit},
		{0.45, "the store goes down", func(context.Context) error { demo.standins.Platform.SetDown(true); return nil }},
		{0.45 + storeOutage, "the store is back", func(context.Context) error { demo.standins.Platform.SetDown(false); return nil }},
		{0.65, "answers of the store get lost", func(context.Context) error { demo.standins.Platform.LoseAnswers(3); return nil }},
		{0.70, "a worker crashes and a target dies", demo.loseMachines},
		{0.75, "an entry VM is stopped as planned", func(context.Context) error {
			leaving = demo.entries.live()[0]
			go func() {
				if err := demo.entries.drain(leaving); err != nil {
					demo.say("planned stop: %v", err)
				}
			}()
			return nil
		}},
		{0.80, "a VM is started in its place", func(context.Context) error { return demo.entries.replace(leaving) }},
		{0.85, "another operator's edit", demo.edit},
		{0.90, "an organisation's guaranteed shapes are asked for at once", demo.probe},
	}
}

// loseMachines crashes a worker and a target; the platform's list follows with its lag.
func (demo *Demo) loseMachines(context.Context) error {
	demo.entries.mu.Lock()
	defer demo.entries.mu.Unlock()
	fleet := &demo.standins.Fleet
	worker := fleet.Workers[len(fleet.Workers)-1]
	target := fleet.Targets[0]
	demo.standins.Workers[worker.ID].Crash()
	demo.standins.Targets[target.ID].Crash()
	fleet.Workers = fleet.Workers[:len(fleet.Workers)-1]
	fleet.Targets = fleet.Targets[1:]
	demo.standins.Publish()
	return nil
}

// edit raises the bound on waiting jobs of the last organisation by one.
func (demo *Demo) edit(ctx context.Context) error {
	organisations := demo.example.Organisations
	edited := *organisations[len(organisations)-1]
	edited.MaxWaiting += demo.result.ConfigEdits
	return demo.apply(ctx, demo.result.ConfigEdits, edited.ID, documentOf(&edited))
}

func documentOf(organisation *profile.Organisation) string {
	// The type has no value that cannot be written.
	text, _ := json.Marshal(organisation)
	return string(text)
}

func applyOnce(ctx context.Context, client callerClient, request *operatorv1.ApplyRequest) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	shown, err := client.operator.Show(ctx, connect.NewRequest(&operatorv1.ShowRequest{Organisation: request.Organisation}))
	if err != nil {
		return 0, err
	}
	request.SeenRevision = shown.Msg.Revision
	response, err := client.operator.Apply(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, err
	}
	return fleet.Revision(response.Msg.Revision), nil
}

// configWatch observes the revision in force at every process.
type configWatch struct {
	mu       sync.Mutex
	revision fleet.Revision
	at       time.Time
	// problems describes each revision that went back or came into force too late.
	problems  []string
	lateCount int
}

const (
	// inForceLimit is the time within which an accepted revision is in force everywhere.
	inForceLimit = 2 * time.Second
	configCheck  = 100 * time.Millisecond
	lateWord     = "is late for"
)

func (watch *configWatch) accepted(revision fleet.Revision, at time.Time) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if revision > watch.revision {
		watch.revision, watch.at = revision, at
	}
}

func (watch *configWatch) last() fleet.Revision {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.revision
}

// run compares every ready process with the last accepted revision until ctx ends.
func (watch *configWatch) run(ctx context.Context, entries *entries) {
	highest := map[*entry]fleet.Revision{}
	late := map[*entry]fleet.Revision{}
	for ; ctx.Err() == nil; lifecycle.Sleep(ctx, configCheck) {
		watch.mu.Lock()
		wanted, since := watch.revision, time.Since(watch.at)
		watch.mu.Unlock()
		for _, candidate := range entries.live() {
			if !candidate.node.Ready() {
				continue
			}
			revision := candidate.node.ConfigRevision()
			if revision < highest[candidate] {
				watch.report(candidate, revision, highest[candidate], "went back from")
			}
			if revision < wanted && since > inForceLimit && late[candidate] < wanted {
				late[candidate] = wanted
				watch.report(candidate, revision, wanted, lateWord)
			}
			highest[candidate] = max(highest[candidate], revision)
		}
	}
}
