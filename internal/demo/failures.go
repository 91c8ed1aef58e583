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
	// storeOutageShare is the duration of the store outage as a share of the run.
	storeOutageShare = 0.15
	// healthCheckInterval is the time between two health checks of the balancer.
	healthCheckInterval = 200 * time.Millisecond
)

// step is an event at a given share of the duration of the run.
type step struct {
	at   float64
	name string
	run  func(ctx context.Context) error
}

// runSteps runs the steps of the scenario, each at its time.
func (demo *Demo) runSteps(ctx context.Context) error {
	steps, err := demo.steps()
	if err != nil {
		return err
	}
	started := time.Now()
	for _, step := range steps {
		due := started.Add(time.Duration(step.at * float64(demo.Duration)))
		_ = lifecycle.Sleep(ctx, time.Until(due))
		demo.logProgress("%s", step.name)
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Scenario is the name of a set of failures.
type Scenario string

const (
	// ScenarioMixed crashes an entry VM, a worker and a target, takes the store down, loses responses of the store,
	// edits the configuration, submits urgent jobs that a guarantee covers and stops an entry VM as planned.
	ScenarioMixed Scenario = "mixed"
	// ScenarioRolling stops every entry VM as planned and replaces it, one after the other.
	ScenarioRolling Scenario = "rolling"
	// ScenarioCrash crashes and replaces every entry VM, first one after the other and then all at once.
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
	return nil, errors.Errorf("unknown scenario %q, expected mixed, rolling or crash", demo.Scenario)
}

// rollingSteps returns the steps of ScenarioRolling.
func (demo *Demo) rollingSteps() []step {
	var steps []step
	for index := range demo.example.Fleet.Entries {
		steps = append(steps, step{
			at:   0.05 + 0.9*float64(index)/float64(len(demo.example.Fleet.Entries)),
			name: "an entry VM is stopped as planned and replaced",
			run: func(context.Context) error {
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

// crashSteps returns the steps of ScenarioCrash.
func (demo *Demo) crashSteps() []step {
	var steps []step
	for index := range demo.example.Fleet.Entries {
		steps = append(steps, step{
			at:   0.05 + 0.5*float64(index)/float64(len(demo.example.Fleet.Entries)),
			name: "an entry VM crashes and is replaced",
			run: func(context.Context) error {
				crashed := demo.entries.live()[0]
				demo.entries.kill(crashed)
				return demo.entries.replace(crashed)
			},
		})
	}
	return append(steps, step{0.75, "all entry VMs crash at once and are replaced", func(context.Context) error {
		crashed := demo.entries.live()
		for _, victim := range crashed {
			demo.entries.kill(victim)
		}
		for _, victim := range crashed {
			if err := demo.entries.replace(victim); err != nil {
				return err
			}
		}
		return nil
	}})
}

// mixedSteps returns the steps of ScenarioMixed.
func (demo *Demo) mixedSteps() []step {
	var crashed, leaving *entry
	return []step{
		{0.15, "urgent jobs for all guaranteed shapes of an organisation are submitted at once", demo.probe},
		{0.25, "an entry VM crashes", func(context.Context) error {
			crashed = demo.entries.live()[1]
			demo.entries.kill(crashed)
			return nil
		}},
		{0.35, "the crashed VM is replaced", func(context.Context) error { return demo.entries.replace(crashed) }},
		{0.40, "an operator edits the document of an organisation", demo.edit},
		{0.45, "the store goes down",
			func(context.Context) error { demo.standins.Platform.SetDown(true); return nil }},
		{0.45 + storeOutageShare, "the store is available again",
			func(context.Context) error { demo.standins.Platform.SetDown(false); return nil }},
		{0.65, "responses of the store are lost",
			func(context.Context) error { demo.standins.Platform.LoseAnswers(3); return nil }},
		{0.70, "a worker and a target crash", demo.crashMachines},
		{0.75, "an entry VM is stopped as planned", func(context.Context) error {
			leaving = demo.entries.live()[0]
			go func() {
				if err := demo.entries.drain(leaving); err != nil {
					demo.logProgress("planned stop of an entry VM failed: %v", err)
				}
			}()
			return nil
		}},
		{0.80, "a VM is started to replace the stopping one",
			func(context.Context) error { return demo.entries.replace(leaving) }},
		{0.85, "an operator edits the document of an organisation again", demo.edit},
		{0.90, "urgent jobs for all guaranteed shapes of an organisation are submitted at once", demo.probe},
	}
}

// crashMachines crashes a worker and a target and removes them from the platform's VM list. The list shows the change
// after its lag.
func (demo *Demo) crashMachines(context.Context) error {
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

// edit applies the document of the last organisation with a limit of waiting jobs that is higher than after the
// previous edit.
func (demo *Demo) edit(ctx context.Context) error {
	organisations := demo.example.Organisations
	edited := *organisations[len(organisations)-1]
	edited.MaxWaiting += demo.result.ConfigEdits
	return demo.apply(ctx, demo.result.ConfigEdits, edited.ID, encodeDocument(&edited))
}

// encodeDocument returns the document of an organisation in JSON.
func encodeDocument(organisation *profile.Organisation) string {
	// Every value of the type can be encoded in JSON.
	text, _ := json.Marshal(organisation)
	return string(text)
}

// applyOnce applies a document once, based on the revision that the process shows, and returns the new revision.
func applyOnce(ctx context.Context, client callerClient, request *operatorv1.ApplyRequest) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	shown, err := client.operator.Show(ctx,
		connect.NewRequest(&operatorv1.ShowRequest{Organisation: request.Organisation}))
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

// configWatch compares the configuration revisions in force at the processes with the last accepted one.
type configWatch struct {
	mu sync.Mutex
	// revision is the highest accepted revision; acceptedAt is when it was accepted.
	revision   fleet.Revision
	acceptedAt time.Time
	// problems describes each case in which the revision in force at a process decreased, or in which an accepted
	// revision was not in force at a process within inForceLimit. lateCount counts only the late revisions.
	problems  []string
	lateCount int
}

const (
	// inForceLimit is the time within which an accepted revision must come into force at every ready process.
	inForceLimit = 2 * time.Second
	// configCheckInterval is the time between two checks of the revisions.
	configCheckInterval = 100 * time.Millisecond
	// lateProblem is the text for a process at which an accepted revision is not in force within inForceLimit.
	lateProblem = "is late for"
)

// setAccepted stores a revision and the time at which it was accepted, unless a higher revision has been accepted.
func (watch *configWatch) setAccepted(revision fleet.Revision, at time.Time) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if revision > watch.revision {
		watch.revision, watch.acceptedAt = revision, at
	}
}

// lastAccepted returns the highest accepted revision.
func (watch *configWatch) lastAccepted() fleet.Revision {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.revision
}

// observe checks the revision in force at every ready process periodically until ctx ends, and adds a problem if the
// revision has decreased or is older than the last accepted one for longer than inForceLimit.
func (watch *configWatch) observe(ctx context.Context, entries *entries) {
	highest := map[*entry]fleet.Revision{}
	late := map[*entry]fleet.Revision{}
	for ; ctx.Err() == nil; lifecycle.Sleep(ctx, configCheckInterval) {
		watch.mu.Lock()
		wanted, since := watch.revision, time.Since(watch.acceptedAt)
		watch.mu.Unlock()
		for _, candidate := range entries.live() {
			if !candidate.node.Ready() {
				continue
			}
			revision := candidate.node.ConfigRevision()
			if revision < highest[candidate] {
				watch.addProblem(candidate, revision, highest[candidate], "went back from")
			}
			if revision < wanted && since > inForceLimit && late[candidate] < wanted {
				late[candidate] = wanted
				watch.addProblem(candidate, revision, wanted, lateProblem)
			}
			highest[candidate] = max(highest[candidate], revision)
		}
	}
}
