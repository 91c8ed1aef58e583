package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// start is the first instant of every test.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// running is a gang that the harness runs.
type running struct {
	place Place
	began time.Time
	// checkpointing is when a checkpoint is complete; zero is never.
	checkpointing time.Time
	stopping      time.Time
}

// harness answers the decisions of a core on a virtual clock and checks invariants after each step.
type harness struct {
	t       *testing.T
	core    *Core
	now     time.Time
	workers map[fleet.WorkerID]fleet.Worker
	gangs   map[fleet.JobKey]*running
	order   []fleet.JobKey
	left    map[fleet.JobKey]time.Duration
	first   map[fleet.JobKey]time.Time
	ended   map[fleet.JobKey]Finish
	endedAt map[fleet.JobKey]time.Time
	evicts  int
	// checkpointTime is how long a checkpoint takes.
	checkpointTime time.Duration
	// ignoresStop names jobs that ignore stops.
	ignoresStop map[fleet.JobKey]bool
	// broken names workers on which every task fails.
	broken map[fleet.WorkerID]bool
	// faulty names jobs that fail wherever they run.
	faulty      map[fleet.JobKey]bool
	quarantines map[fleet.WorkerID]int
	next        int
}

func newHarness(t *testing.T, workers []fleet.Worker, config *profile.Config) *harness {
	test := &harness{
		t: t, core: NewCore(Settings{}), now: start,
		workers: map[fleet.WorkerID]fleet.Worker{},
		gangs:   map[fleet.JobKey]*running{}, left: map[fleet.JobKey]time.Duration{},
		first: map[fleet.JobKey]time.Time{}, ended: map[fleet.JobKey]Finish{},
		endedAt:        map[fleet.JobKey]time.Time{},
		checkpointTime: time.Second, ignoresStop: map[fleet.JobKey]bool{}, broken: map[fleet.WorkerID]bool{},
		faulty: map[fleet.JobKey]bool{}, quarantines: map[fleet.WorkerID]int{},
	}
	for _, worker := range workers {
		test.workers[worker.ID] = worker
	}
	test.core.Apply(test.now, FleetChanged{workers})
	test.core.Apply(test.now, ConfigChanged{config})
	test.decide()
	return test
}

// submit brings a job that needs a run time and returns its key.
func (test *harness) submit(owner fleet.OrganisationID, caller fleet.CallerID, used profile.Profile, needs time.Duration) fleet.JobKey {
	test.next++
	key := fleet.JobKey{Organisation: owner, Job: fleet.JobID(fmt.Sprintf("job-%05d", test.next))}
	test.left[key] = needs
	test.core.Apply(test.now, JobSubmitted{Job{Key: key, Caller: caller, Profile: used, Submitted: test.now}})
	return key
}

// decide carries out the decisions of now.
func (test *harness) decide() {
	for _, decision := range test.core.Decide(test.now) {
		switch decision := decision.(type) {
		case Place:
			test.place(decision)
		case Evict:
			test.evict(decision)
		case Finish:
			if _, twice := test.ended[decision.Key]; twice {
				test.t.Fatalf("job %s ended twice", decision.Key)
			}
			test.ended[decision.Key] = decision
			test.endedAt[decision.Key] = test.now
		case Quarantine:
			if decision.Active {
				test.quarantines[decision.Worker]++
			}
		}
	}
	test.check()
}

func (test *harness) place(decision Place) {
	key := decision.Job.Key
	if _, twice := test.gangs[key]; twice {
		test.t.Fatalf("job %s was placed while it runs", key)
	}
	if len(decision.Members) != decision.Job.Profile.Shape.Members {
		test.t.Fatalf("job %s got %d members", key, len(decision.Members))
	}
	test.gangs[key] = &running{place: decision, began: test.now}
	test.order = append(test.order, key)
	if _, ok := test.first[key]; !ok {
		test.first[key] = test.now
	}
	test.core.Apply(test.now, GangStarted{key, decision.Attempt})
}

func (test *harness) evict(decision Evict) {
	gang, ok := test.gangs[decision.Key]
	if !ok {
		return
	}
	test.evicts++
	if decision.Step == EvictCheckpoint {
		gang.checkpointing = test.now.Add(test.checkpointTime)
		return
	}
	if !test.ignoresStop[decision.Key] {
		gang.stopping = test.now.Add(500 * time.Millisecond)
	}
}

// end tells the core that a gang ended.
func (test *harness) end(key fleet.JobKey, result EndResult, failed ...fleet.WorkerID) {
	gang := test.gangs[key]
	delete(test.gangs, key)
	for i, other := range test.order {
		if other == key {
			test.order = append(test.order[:i], test.order[i+1:]...)
			break
		}
	}
	if result == EndCheckpointed {
		test.left[key] -= test.now.Sub(gang.began)
	}
	used := fleet.AcceleratorTime(test.now.Sub(gang.began)) * fleet.AcceleratorTime(gang.place.Job.Profile.Shape.Total())
	test.core.Apply(test.now, GangEnded{key, gang.place.Attempt, result, failed, used})
}

// advance lets time pass in steps.
func (test *harness) advance(by time.Duration) {
	const step = 100 * time.Millisecond
	for until := test.now.Add(by); test.now.Before(until); {
		test.now = test.now.Add(step)
		ended := false
		for _, key := range append([]fleet.JobKey(nil), test.order...) {
			ended = test.progress(key, test.gangs[key]) || ended
		}
		if wake := test.core.NextWake(); ended || !wake.IsZero() && !wake.After(test.now) {
			test.decide()
		}
	}
}

// progress ends a gang that is due to end.
func (test *harness) progress(key fleet.JobKey, gang *running) bool {
	due := func(at time.Time) bool { return !at.IsZero() && !at.After(test.now) }
	age := test.now.Sub(gang.began)
	if age >= time.Second {
		if test.faulty[key] {
			test.end(key, EndFailed, gang.place.Members[0].Worker)
			return true
		}
		for _, member := range gang.place.Members {
			if test.broken[member.Worker] {
				test.end(key, EndFailed, member.Worker)
				return true
			}
		}
	}
	switch {
	case age >= test.left[key]:
		test.end(key, EndCompleted)
	case due(gang.checkpointing):
		test.end(key, EndCheckpointed)
	case due(gang.stopping):
		test.end(key, EndStopped)
	default:
		return false
	}
	return true
}

// check verifies that no accelerator is used twice and that every bound cell can be emptied of others' work.
func (test *harness) check() {
	test.t.Helper()
	used := map[fleet.WorkerID]fleet.Accelerators{}
	pinned := map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators{}
	for _, key := range test.order {
		gang := test.gangs[key]
		for _, member := range gang.place.Members {
			used[member.Worker] += member.Accelerators
			if !gang.place.Job.Profile.Preemptible() {
				if pinned[member.Worker] == nil {
					pinned[member.Worker] = map[fleet.OrganisationID]fleet.Accelerators{}
				}
				pinned[member.Worker][key.Organisation] += member.Accelerators
			}
		}
	}
	cells := map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators{}
	covered := map[fleet.WorkerID]fleet.Accelerators{}
	for _, cell := range test.core.cells {
		for _, member := range cell.export().Members {
			if cells[member.Worker] == nil {
				cells[member.Worker] = map[fleet.OrganisationID]fleet.Accelerators{}
			}
			cells[member.Worker][cell.owner.id] += member.Accelerators
			covered[member.Worker] += member.Accelerators
		}
	}
	for id, worker := range test.workers {
		if used[id] > worker.Accelerators {
			test.t.Fatalf("worker %s: %d accelerators in use of %d", id, used[id], worker.Accelerators)
		}
		if covered[id] > worker.Accelerators {
			test.t.Fatalf("worker %s: cells cover %d accelerators of %d", id, covered[id], worker.Accelerators)
		}
		over := fleet.Accelerators(0)
		for owner, amount := range pinned[id] {
			over += max(0, amount-cells[id][owner])
		}
		if over > worker.Accelerators-covered[id] {
			test.t.Fatalf("worker %s: %d accelerators of cells cannot be emptied", id, over)
		}
	}
}

// machines returns workers of 8 accelerators in data centres and racks of a size.
func machines(count, rackSize, centres int) []fleet.Worker {
	var workers []fleet.Worker
	for i := range count {
		centre := i * centres / count
		workers = append(workers, fleet.Worker{
			ID:         fleet.WorkerID(fmt.Sprintf("worker-%05d", i)),
			Region:     "region",
			DataCentre: fleet.DataCentreID(fmt.Sprintf("centre-%02d", centre)),
			Rack:       fleet.RackID(fmt.Sprintf("rack-%04d", i/rackSize)),
			Cores:      32, Memory: 128 << 30, Accelerators: 8,
		})
	}
	return workers
}

// shape returns a shape without processors and memory.
func shape(members int, each fleet.Accelerators, adjacency fleet.Adjacency) fleet.Shape {
	return fleet.Shape{Members: members, Accelerators: each, Adjacency: adjacency}
}

// preemptible returns a profile that checkpoints and may run twice.
func preemptible(name fleet.ProfileName, form fleet.Shape, urgency profile.Urgency) profile.Profile {
	return profile.Profile{Name: name, Shape: &form, Urgency: urgency, Idempotent: true, Checkpoint: true}
}

// pinned returns a profile that can be neither preempted nor run twice.
func pinned(name fleet.ProfileName, form fleet.Shape) profile.Profile {
	return profile.Profile{Name: name, Shape: &form, Urgency: profile.UrgencyNormal}
}

// configure returns a configuration of organisations with their guarantees.
func configure(guarantees map[fleet.OrganisationID][]profile.Guarantee) *profile.Config {
	config := &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
	for id, list := range guarantees {
		config.Organisations[id] = &profile.Organisation{ID: id, Guarantees: list}
	}
	return config
}
