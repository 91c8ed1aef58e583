package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// start is the time at which every test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runningGang is a gang that the harness runs.
type runningGang struct {
	place Place
	began time.Time
	// checkpointAt is when a requested checkpoint is complete; zero means that none was requested.
	checkpointAt time.Time
	// stopAt is when a requested stop takes effect; zero means that none was requested.
	stopAt time.Time
}

// harness carries out the decisions of a core on a virtual clock and checks invariants after each step.
type harness struct {
	t          *testing.T
	core       *Core
	now        time.Time
	workers    map[fleet.WorkerID]fleet.Worker
	gangs      map[fleet.JobKey]*runningGang
	order      []fleet.JobKey
	remaining  map[fleet.JobKey]time.Duration
	firstStart map[fleet.JobKey]time.Time
	ended      map[fleet.JobKey]Finish
	endedAt    map[fleet.JobKey]time.Time
	evictions  int
	// checkpointTime is the time from a checkpoint request until the gang's checkpoint is complete.
	checkpointTime time.Duration
	// ignoresStop holds the jobs that ignore stops.
	ignoresStop map[fleet.JobKey]bool
	// broken holds the workers on which every task fails.
	broken map[fleet.WorkerID]bool
	// faulty holds the jobs that fail on every worker.
	faulty      map[fleet.JobKey]bool
	quarantines map[fleet.WorkerID]int
	submitted   int
}

func newHarness(t *testing.T, workers []fleet.Worker, config *profile.Config) *harness {
	harness := &harness{
		t: t, core: NewCore(Settings{}), now: start,
		workers: map[fleet.WorkerID]fleet.Worker{},
		gangs:   map[fleet.JobKey]*runningGang{}, remaining: map[fleet.JobKey]time.Duration{},
		firstStart: map[fleet.JobKey]time.Time{}, ended: map[fleet.JobKey]Finish{},
		endedAt:        map[fleet.JobKey]time.Time{},
		checkpointTime: time.Second, ignoresStop: map[fleet.JobKey]bool{}, broken: map[fleet.WorkerID]bool{},
		faulty: map[fleet.JobKey]bool{}, quarantines: map[fleet.WorkerID]int{},
	}
	for _, worker := range workers {
		harness.workers[worker.ID] = worker
	}
	harness.core.Apply(harness.now, FleetChanged{workers})
	harness.core.Apply(harness.now, ConfigChanged{config})
	harness.decide()
	return harness
}

// submit submits a job of the given run time and returns its key.
func (harness *harness) submit(
	owner fleet.OrganisationID, caller fleet.CallerID, jobProfile profile.Profile, runTime time.Duration,
) fleet.JobKey {
	harness.submitted++
	key := fleet.JobKey{Organisation: owner, Job: fleet.JobID(fmt.Sprintf("job-%05d", harness.submitted))}
	harness.remaining[key] = runTime
	harness.core.Apply(harness.now, JobSubmitted{Job{
		Key: key, Caller: caller, Profile: jobProfile, Submitted: harness.now,
	}})
	return key
}

// decide carries out the decisions that the core returns now, and checks the invariants.
func (harness *harness) decide() {
	for _, decision := range harness.core.Decide(harness.now) {
		switch decision := decision.(type) {
		case Place:
			harness.place(decision)
		case Evict:
			harness.evict(decision)
		case Finish:
			if _, twice := harness.ended[decision.Key]; twice {
				harness.t.Fatalf("job %s ended twice", decision.Key)
			}
			harness.ended[decision.Key] = decision
			harness.endedAt[decision.Key] = harness.now
		case Quarantine:
			if decision.Active {
				harness.quarantines[decision.Worker]++
			}
		}
	}
	harness.checkInvariants()
}

func (harness *harness) place(decision Place) {
	key := decision.Job.Key
	if _, twice := harness.gangs[key]; twice {
		harness.t.Fatalf("job %s was placed while it runs", key)
	}
	if len(decision.Members) != decision.Job.Profile.Shape.Members {
		harness.t.Fatalf("job %s got %d members", key, len(decision.Members))
	}
	harness.gangs[key] = &runningGang{place: decision, began: harness.now}
	harness.order = append(harness.order, key)
	if _, ok := harness.firstStart[key]; !ok {
		harness.firstStart[key] = harness.now
	}
	harness.core.Apply(harness.now, GangStarted{key, decision.Attempt})
}

func (harness *harness) evict(decision Evict) {
	gang, ok := harness.gangs[decision.Key]
	if !ok {
		return
	}
	harness.evictions++
	if decision.Step == EvictCheckpoint {
		gang.checkpointAt = harness.now.Add(harness.checkpointTime)
		return
	}
	if !harness.ignoresStop[decision.Key] {
		gang.stopAt = harness.now.Add(500 * time.Millisecond)
	}
}

// end removes a gang and reports to the core that it ended.
func (harness *harness) end(key fleet.JobKey, result EndResult, failed ...fleet.WorkerID) {
	gang := harness.gangs[key]
	delete(harness.gangs, key)
	for i, other := range harness.order {
		if other == key {
			harness.order = append(harness.order[:i], harness.order[i+1:]...)
			break
		}
	}
	if result == EndCheckpointed {
		harness.remaining[key] -= harness.now.Sub(gang.began)
	}
	used := fleet.AcceleratorTime(harness.now.Sub(gang.began)) *
		fleet.AcceleratorTime(gang.place.Job.Profile.Shape.Total())
	harness.core.Apply(harness.now, GangEnded{key, gang.place.Attempt, result, failed, used})
}

// advance advances the clock in steps of 100 ms, and ends gangs and calls decide when they are due.
func (harness *harness) advance(by time.Duration) {
	const step = 100 * time.Millisecond
	for until := harness.now.Add(by); harness.now.Before(until); {
		harness.now = harness.now.Add(step)
		ended := false
		for _, key := range append([]fleet.JobKey(nil), harness.order...) {
			ended = harness.endIfDue(key, harness.gangs[key]) || ended
		}
		if wake := harness.core.NextWake(); ended || !wake.IsZero() && !wake.After(harness.now) {
			harness.decide()
		}
	}
}

// endIfDue ends a gang that is due to fail, complete, checkpoint or stop, and reports whether it ended the gang.
func (harness *harness) endIfDue(key fleet.JobKey, gang *runningGang) bool {
	due := func(at time.Time) bool { return !at.IsZero() && !at.After(harness.now) }
	age := harness.now.Sub(gang.began)
	if age >= time.Second {
		if harness.faulty[key] {
			harness.end(key, EndFailed, gang.place.Members[0].Worker)
			return true
		}
		for _, member := range gang.place.Members {
			if harness.broken[member.Worker] {
				harness.end(key, EndFailed, member.Worker)
				return true
			}
		}
	}
	switch {
	case age >= harness.remaining[key]:
		harness.end(key, EndCompleted)
	case due(gang.checkpointAt):
		harness.end(key, EndCheckpointed)
	case due(gang.stopAt):
		harness.end(key, EndStopped)
	default:
		return false
	}
	return true
}

// checkInvariants verifies that no accelerator is used twice and that every bound cell can be emptied of the work of
// other organisations.
func (harness *harness) checkInvariants() {
	harness.t.Helper()
	used := map[fleet.WorkerID]fleet.Accelerators{}
	pinned := map[fleet.WorkerID]map[fleet.OrganisationID]fleet.Accelerators{}
	for _, key := range harness.order {
		gang := harness.gangs[key]
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
	for _, cell := range harness.core.cells {
		for _, member := range cell.export().Members {
			if cells[member.Worker] == nil {
				cells[member.Worker] = map[fleet.OrganisationID]fleet.Accelerators{}
			}
			cells[member.Worker][cell.owner.id] += member.Accelerators
			covered[member.Worker] += member.Accelerators
		}
	}
	for id, worker := range harness.workers {
		if used[id] > worker.Accelerators {
			harness.t.Fatalf("worker %s: %d accelerators in use of %d", id, used[id], worker.Accelerators)
		}
		if covered[id] > worker.Accelerators {
			harness.t.Fatalf("worker %s: cells cover %d accelerators of %d", id, covered[id], worker.Accelerators)
		}
		over := fleet.Accelerators(0)
		for owner, amount := range pinned[id] {
			over += max(0, amount-cells[id][owner])
		}
		if over > worker.Accelerators-covered[id] {
			harness.t.Fatalf("worker %s: %d accelerators of cells cannot be emptied", id, over)
		}
	}
}

// machines returns workers of 8 accelerators in racks of the given size. The workers are spread over the given number
// of data centres.
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

// shape returns a shape that needs no processor cores and no memory.
func shape(members int, each fleet.Accelerators, adjacency fleet.Adjacency) fleet.Shape {
	return fleet.Shape{Members: members, Accelerators: each, Adjacency: adjacency}
}

// preemptible returns a profile that checkpoints and may run twice.
func preemptible(name fleet.ProfileName, gangShape fleet.Shape, urgency profile.Urgency) profile.Profile {
	return profile.Profile{Name: name, Shape: &gangShape, Urgency: urgency, Idempotent: true, Checkpoint: true}
}

// pinned returns a profile that can be neither preempted nor run twice.
func pinned(name fleet.ProfileName, gangShape fleet.Shape) profile.Profile {
	return profile.Profile{Name: name, Shape: &gangShape, Urgency: profile.UrgencyNormal}
}

// configure returns a configuration of organisations with their guarantees.
func configure(guarantees map[fleet.OrganisationID][]profile.Guarantee) *profile.Config {
	config := &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
	for id, list := range guarantees {
		config.Organisations[id] = &profile.Organisation{ID: id, Guarantees: list}
	}
	return config
}
