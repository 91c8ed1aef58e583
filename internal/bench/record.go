package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Rules that the record checks, as written in Violation.
const (
	// RuleDoubleGrant is broken when accelerators, cores or memory of a worker are granted twice.
	RuleDoubleGrant = "capacity_granted_twice"
	// RulePartialGang is broken by a placement that is not the whole gang, or not adjacent.
	RulePartialGang = "partial_gang"
	// RuleUnusableWorker is broken by a placement on a worker that is unknown, reported lost, leaving or in quarantine.
	RuleUnusableWorker = "unusable_worker"
	// RuleAtMostOnce is broken when a non-idempotent job starts again without a confirmed checkpoint.
	RuleAtMostOnce = "non_idempotent_started_twice"
	// RuleGuarantee is broken when a guaranteed shape that is asked for does not run within its bound.
	RuleGuarantee = "guarantee_not_reclaimed"
	// RuleUnreclaimable is broken when non-preemptible work leaves no room for the guarantees of others.
	RuleUnreclaimable = "guarantee_unreclaimable"
	// RuleVerdict is broken by a verdict that the job's history does not permit.
	RuleVerdict = "wrong_verdict"
	// RuleProtocol is broken by a decision that makes no sense in the job's state.
	RuleProtocol = "decision_out_of_order"
	// RuleQuarantine is broken when more than a tenth of the fleet is in quarantine.
	RuleQuarantine = "quarantine_too_large"
	// RuleUnfinished is broken by a job that never ends although the fleet has room for it.
	RuleUnfinished = "job_never_ends"
)

const (
	maxViolations   = 50
	quarantineShare = 10
)

// Violation is one broken rule.
type Violation struct {
	Rule string `json:"rule"`
	// After is the virtual time since the start.
	After  profile.Duration `json:"after"`
	Detail string           `json:"detail"`
}

// phase is where a job is, by the record.
type phase int

const (
	// phaseWaiting holds nothing.
	phaseWaiting phase = iota
	// phaseStarting holds its members and is not confirmed yet.
	phaseStarting
	// phaseRunning holds its members, all of which run.
	phaseRunning
	// phaseFinished has a verdict.
	phaseFinished
)

// jobRecord is what the record knows of one job.
type jobRecord struct {
	job     scheduler.Job
	phase   phase
	attempt fleet.Attempt
	members []scheduler.Member
	// begun is true once a task of any attempt may have run.
	mayHaveRun bool
	// saved is true while the last begun attempt ended with a confirmed checkpoint.
	checkpointed bool
	// restorable is true once any attempt ended with a confirmed checkpoint.
	restorable bool
	// completed is true once an attempt completed.
	completed bool
	cancelled bool
	failedOn  map[fleet.WorkerID]bool
}

// workerRecord is what the record knows of one worker.
type workerRecord struct {
	worker fleet.Worker
	// groups names the adjacent workers by adjacency.
	groups     [adjacencies]string
	held       fleet.Accelerators
	heldCores  fleet.Cores
	heldMemory fleet.Bytes
	foreign    fleet.Accelerators
	// busy is true after the worker refused a placement, until it reports its accelerators.
	busy bool
	// lost is true while the worker does not respond; reported is true once the scheduler knows.
	lost         bool
	lossReported bool
	terminated   bool
	quarantined  bool
}

// record holds what really runs, apart from the scheduler, and the rules broken so far.
type record struct {
	now     time.Time
	config  *profile.Config
	workers map[fleet.WorkerID]*workerRecord
	// order lists the workers in the order of the fleet, for determinism.
	order []*workerRecord
	jobs  map[fleet.JobKey]*jobRecord
	// active lists waiting, starting and running jobs by time of submission.
	active []*jobRecord
	// owned lists the same jobs by organisation.
	byOrganisation map[fleet.OrganisationID][]*jobRecord
	// changed has the organisations with a job that changed since the last check of the guarantees.
	changed    map[fleet.OrganisationID]bool
	guarantees *guaranteeRecord
	violations []Violation
	// broken counts violations by rule, beyond those kept.
	violationsByRule map[string]int
}

func newRecord(now time.Time, workers []fleet.Worker, config *profile.Config) *record {
	record := &record{
		now:              now,
		config:           config,
		workers:          map[fleet.WorkerID]*workerRecord{},
		jobs:             map[fleet.JobKey]*jobRecord{},
		byOrganisation:   map[fleet.OrganisationID][]*jobRecord{},
		changed:          map[fleet.OrganisationID]bool{},
		violationsByRule: map[string]int{},
	}
	for _, worker := range workers {
		record.addWorker(worker)
	}
	record.guarantees = newGuaranteeRecord(record)
	return record
}

func (record *record) addWorker(worker fleet.Worker) {
	state := &workerRecord{worker: worker, groups: adjacencyGroups(worker)}
	record.workers[worker.ID] = state
	record.order = append(record.order, state)
}

func (record *record) addViolation(rule, format string, args ...any) {
	record.violationsByRule[rule]++
	if len(record.violations) < maxViolations {
		after := profile.Duration(record.now.Sub(epoch))
		record.violations = append(record.violations, Violation{rule, after, fmt.Sprintf(format, args...)})
	}
}

func (record *record) submit(job scheduler.Job) {
	state := &jobRecord{job: job, failedOn: map[fleet.WorkerID]bool{}}
	record.jobs[job.Key] = state
	record.active = append(record.active, state)
	record.byOrganisation[job.Key.Organisation] = append(record.byOrganisation[job.Key.Organisation], state)
	record.markChanged(state)
}

func (record *record) markChanged(state *jobRecord) {
	record.changed[state.job.Key.Organisation] = true
}

func (record *record) cancel(key fleet.JobKey) {
	state := record.jobs[key]
	state.cancelled = true
	record.markChanged(state)
}

// placed takes a placement after checking it and reports whether it can be carried out.
func (record *record) place(place scheduler.Place) bool {
	state, ok := record.jobs[place.Job.Key]
	if !ok || state.phase != phaseWaiting {
		record.addViolation(RuleProtocol, "place of %s, which does not wait", place.Job.Key)
		return false
	}
	if place.Attempt <= state.attempt {
		record.addViolation(RuleProtocol, "attempt %d of %s after attempt %d", place.Attempt, place.Job.Key, state.attempt)
	}
	if state.mayHaveRun && !state.job.Profile.Idempotent && (!state.checkpointed || !place.Resume) {
		record.addViolation(RuleAtMostOnce, "%s begun before, checkpoint %t, resume %t", place.Job.Key, state.checkpointed, place.Resume)
	}
	if place.Resume && !state.restorable {
		record.addViolation(RuleProtocol, "resume of %s without a checkpoint", place.Job.Key)
	}
	if !record.checkGang(state, place.Members) || !record.checkWorkers(place) {
		return false
	}
	state.phase, state.attempt, state.members = phaseStarting, place.Attempt, slices.Clone(place.Members)
	record.markChanged(state)
	if !record.allocate(state) {
		return false
	}
	record.checkReclaimable(state)
	return true
}

func (record *record) checkGang(state *jobRecord, members []scheduler.Member) bool {
	shape := state.job.Profile.Shape
	if len(members) != shape.Members {
		record.addViolation(RulePartialGang, "%s has %d members of %d", state.job.Key, len(members), shape.Members)
		return false
	}
	for _, member := range members {
		if member.Accelerators != shape.Accelerators {
			record.addViolation(RulePartialGang, "%s has a member of %d accelerators", state.job.Key, member.Accelerators)
			return false
		}
	}
	return true
}

func (record *record) checkWorkers(place scheduler.Place) bool {
	shape := place.Job.Profile.Shape
	var first string
	for _, member := range place.Members {
		state, ok := record.workers[member.Worker]
		if !ok || state.terminated || state.lossReported || state.worker.Leaving || state.quarantined {
			record.addViolation(RuleUnusableWorker, "%s on %s", place.Job.Key, member.Worker)
			return false
		}
		group := state.groups[shape.Adjacency]
		if first == "" {
			first = group
		}
		if group != first {
			record.addViolation(RulePartialGang, "%s spans %s and %s", place.Job.Key, first, group)
			return false
		}
	}
	return true
}

// adjacencies is the number of values of fleet.Adjacency.
const adjacencies = 3

// adjacencyGroups names, for each adjacency, the set of workers that a gang may share with a worker.
func adjacencyGroups(worker fleet.Worker) [adjacencies]string {
	centre := string(worker.Region) + "/" + string(worker.DataCentre)
	return [adjacencies]string{
		fleet.AdjacencyDataCentre: centre,
		fleet.AdjacencyRack:       centre + "/" + string(worker.Rack),
		fleet.AdjacencyWorker:     string(worker.ID),
	}
}

// hold takes the members' accelerators; it undoes everything when a worker has too few.
func (record *record) allocate(state *jobRecord) bool {
	fits := true
	for _, member := range state.members {
		worker := record.workers[member.Worker]
		worker.adjustHeld(state.job.Profile.Shape, 1)
		if worker.overcommitted() {
			fits = false
			record.addViolation(RuleDoubleGrant, "%s on %s: %d of %d accelerators", state.job.Key, member.Worker,
				worker.held+worker.foreign, worker.worker.Accelerators)
		}
	}
	if !fits {
		record.release(state)
	}
	return fits
}

func (worker *workerRecord) adjustHeld(shape *fleet.Shape, sign int) {
	worker.held += fleet.Accelerators(sign) * shape.Accelerators
	worker.heldCores += fleet.Cores(sign) * shape.Cores
	worker.heldMemory += fleet.Bytes(sign) * shape.Memory
}

func (worker *workerRecord) overcommitted() bool {
	return worker.held+worker.foreign > worker.worker.Accelerators || worker.heldCores > worker.worker.Cores ||
		worker.heldMemory > worker.worker.Memory
}

func (worker *workerRecord) free() fleet.Accelerators {
	if worker.lost || worker.terminated || worker.quarantined || worker.worker.Leaving {
		return 0
	}
	return max(0, worker.worker.Accelerators-worker.held-worker.foreign)
}

func (record *record) release(state *jobRecord) {
	for _, member := range state.members {
		record.workers[member.Worker].adjustHeld(state.job.Profile.Shape, -1)
	}
	state.phase, state.members = phaseWaiting, nil
	record.markChanged(state)
}

func (record *record) start(key fleet.JobKey) {
	state := record.jobs[key]
	state.phase, state.mayHaveRun, state.checkpointed = phaseRunning, true, false
	record.markChanged(state)
}

// ended releases an attempt that may have run.
func (record *record) end(event scheduler.GangEnded) {
	state := record.jobs[event.Key]
	state.mayHaveRun = true
	state.checkpointed = event.Result == scheduler.EndCheckpointed
	state.restorable = state.restorable || state.checkpointed
	state.completed = event.Result == scheduler.EndCompleted
	for _, worker := range event.Failed {
		state.failedOn[worker] = true
	}
	record.release(state)
}

// finished takes a verdict after checking that the job's history permits it.
func (record *record) finish(finish scheduler.Finish) {
	state, ok := record.jobs[finish.Key]
	if !ok || state.phase != phaseWaiting {
		record.addViolation(RuleVerdict, "%s ends while it holds accelerators or a second time", finish.Key)
		return
	}
	if !record.verdictPermitted(state, finish.Verdict) {
		record.addViolation(RuleVerdict, "%s: verdict %d, begun %t, completed %t, cancelled %t, failed on %d workers: %s", finish.Key,
			finish.Verdict, state.mayHaveRun, state.completed, state.cancelled, len(state.failedOn), finish.Reason)
	}
	state.phase = phaseFinished
	record.markChanged(state)
	same := func(other *jobRecord) bool { return other == state }
	organisation := state.job.Key.Organisation
	record.active = slices.DeleteFunc(record.active, same)
	record.byOrganisation[organisation] = slices.DeleteFunc(record.byOrganisation[organisation], same)
}

func (record *record) verdictPermitted(state *jobRecord, verdict scheduler.Verdict) bool {
	idempotent := state.job.Profile.Idempotent
	switch verdict {
	case scheduler.VerdictCompleted:
		return state.completed
	case scheduler.VerdictCancelled:
		return state.cancelled
	case scheduler.VerdictNotRun:
		return !state.mayHaveRun
	case scheduler.VerdictFailed:
		return len(state.failedOn) >= 3 || (!idempotent && len(state.failedOn) > 0)
	case scheduler.VerdictUnknown:
		return state.mayHaveRun && !state.completed && (!idempotent || record.infeasible(state))
	}
	return false
}

// infeasible reports whether the job's shape exceeds its organisation's quota or fits nowhere on the present
// workers, even if they were empty.
func (record *record) infeasible(state *jobRecord) bool {
	organisation := record.config.Organisations[state.job.Key.Organisation]
	if organisation == nil || organisation.Quota > 0 && state.job.Profile.Shape.Total() > organisation.Quota {
		return true
	}
	count := record.copies(*state.job.Profile.Shape, func(worker *workerRecord) fleet.Accelerators {
		if worker.terminated || worker.worker.Leaving {
			return 0
		}
		return worker.worker.Accelerators
	})
	return count == 0
}

func (record *record) quarantine(decision scheduler.Quarantine) {
	worker, ok := record.workers[decision.Worker]
	if !ok {
		record.addViolation(RuleProtocol, "quarantine of the unknown worker %s", decision.Worker)
		return
	}
	worker.quarantined = decision.Active
	count, present := 0, 0
	for _, other := range record.order {
		if other.terminated {
			continue
		}
		present++
		if other.quarantined {
			count++
		}
	}
	if decision.Active && count*quarantineShare > present {
		record.addViolation(RuleQuarantine, "%d of %d workers", count, present)
	}
}
