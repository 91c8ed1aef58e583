package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Rules that the record checks, as used in Violation.
const (
	// RuleDoubleGrant is violated by a placement on a worker with too few free accelerators, cores or memory.
	RuleDoubleGrant = "capacity_granted_twice"
	// RulePartialGang is violated by a placement that is not the whole gang or whose members are not adjacent.
	RulePartialGang = "partial_gang"
	// RuleUnusableWorker is violated by a placement on a worker that is unknown, terminated, reported lost, leaving, in
	// quarantine or in an evacuated data centre.
	RuleUnusableWorker = "unusable_worker"
	// RuleAtMostOnce is violated by another placement of a non-idempotent job that may have run, unless the job resumes
	// from a confirmed checkpoint of its last run.
	RuleAtMostOnce = "non_idempotent_started_twice"
	// RuleGuarantee is violated when a requested guaranteed shape does not run within its time limit.
	RuleGuarantee = "guarantee_not_reclaimed"
	// RuleUnreclaimable is violated when non-preemptible work leaves too little capacity for the guarantees of
	// others.
	RuleUnreclaimable = "guarantee_unreclaimable"
	// RuleVerdict is violated by a verdict, the final decision about a job, that the job's history does not permit, and
	// by a refusal of a feasible job as infeasible.
	RuleVerdict = "wrong_verdict"
	// RuleProtocol is violated by a decision that is not valid in the job's state, and by a scheduler whose NextWake is
	// repeatedly in the past.
	RuleProtocol = "decision_out_of_order"
	// RuleQuarantine is violated when more than a tenth of the fleet is in quarantine.
	RuleQuarantine = "quarantine_too_large"
	// RuleUnfinished is violated by a job that has no verdict at the end of the simulation, that is after maxWindows
	// windows at the latest.
	RuleUnfinished = "job_never_ends"
)

const (
	// maxViolations is the number of violations that are kept with their details.
	maxViolations = 50
	// quarantineDivisor is the inverse of the largest share of the fleet that may be in quarantine.
	quarantineDivisor = 10
)

// Violation is a breach of one of the rules above by the scheduler under simulation.
type Violation struct {
	Rule string `json:"rule"`
	// After is the virtual time since the start.
	After  profile.Duration `json:"after"`
	Detail string           `json:"detail"`
}

// phase is the state of a job in the record.
type phase int

const (
	// phaseWaiting: the job holds no accelerators.
	phaseWaiting phase = iota
	// phaseStarting: the job holds the accelerators of its members, and its start is not confirmed.
	phaseStarting
	// phaseRunning: the job holds the accelerators of its members, and all of them run.
	phaseRunning
	// phaseFinished: the job has a verdict.
	phaseFinished
)

// jobRecord is the actual state of one job in the simulation, independent of the scheduler's own state.
type jobRecord struct {
	job     scheduler.Job
	phase   phase
	attempt fleet.Attempt
	members []scheduler.Member
	// mayHaveRun is true once a task of any attempt may have run.
	mayHaveRun bool
	// checkpointed is true if the last attempt that may have run ended with a confirmed checkpoint.
	checkpointed bool
	// restorable is true once any attempt ended with a confirmed checkpoint.
	restorable bool
	// completed is true once an attempt completed.
	completed bool
	cancelled bool
	// failedOn holds the workers that were reported as failed with an attempt.
	failedOn map[fleet.WorkerID]bool
}

// workerRecord is the actual state of one worker in the simulation, independent of the scheduler's own state.
type workerRecord struct {
	worker fleet.Worker
	// groups names, for each adjacency, the group of adjacent workers that contains the worker.
	groups [adjacencies]string
	// held, heldCores and heldMemory are the resources of placed members.
	held       fleet.Accelerators
	heldCores  fleet.Cores
	heldMemory fleet.Bytes
	// foreign counts the accelerators held by leases that are unknown to the scheduler.
	foreign fleet.Accelerators
	// busy is true after the worker refused a placement, until it reports its accelerators.
	busy bool
	// lost is true while the worker does not respond. lossReported is true while the scheduler has been notified of it.
	lost         bool
	lossReported bool
	// terminated is true once the worker has left the fleet for good.
	terminated  bool
	quarantined bool
	// evacuated is true while the worker is out of use because its data centre is or recently was evacuated.
	evacuated bool
}

// record holds the actual state of jobs and workers, independently of the scheduler's state, and the violations of
// rules by the scheduler's decisions.
type record struct {
	now     time.Time
	config  *profile.Config
	workers map[fleet.WorkerID]*workerRecord
	// order lists the workers in the order of the fleet, so that iteration is deterministic.
	order []*workerRecord
	jobs  map[fleet.JobKey]*jobRecord
	// active lists the waiting, starting and running jobs by time of submission.
	active []*jobRecord
	// byOrganisation lists the same jobs by organisation.
	byOrganisation map[fleet.OrganisationID][]*jobRecord
	// changed holds the organisations with a job that changed since the last check of the guarantees.
	changed    map[fleet.OrganisationID]bool
	guarantees *guaranteeRecord
	// returning is true while the workers of a data centre that was taken back return to use.
	returning bool
	// violations holds the first maxViolations violations.
	violations []Violation
	// violationsByRule counts all violations by rule.
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

// addViolation counts a violation of a rule and keeps its details up to maxViolations.
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

// markChanged makes the next check of the guarantees count the jobs of the job's organisation again.
func (record *record) markChanged(state *jobRecord) {
	record.changed[state.job.Key.Organisation] = true
}

func (record *record) cancel(key fleet.JobKey) {
	state := record.jobs[key]
	state.cancelled = true
	record.markChanged(state)
}

// place checks a placement, records it, and reports whether it can be executed.
func (record *record) place(place scheduler.Place) bool {
	state, ok := record.jobs[place.Job.Key]
	if !ok || state.phase != phaseWaiting {
		record.addViolation(RuleProtocol, "placement of %s, which is not waiting", place.Job.Key)
		return false
	}
	if place.Attempt <= state.attempt {
		record.addViolation(RuleProtocol, "attempt %d of %s after attempt %d", place.Attempt, place.Job.Key,
			state.attempt)
	}
	if state.mayHaveRun && !state.job.Profile.Idempotent && (!state.checkpointed || !place.Resume) {
		record.addViolation(RuleAtMostOnce, "%s may have run before, checkpoint %t, resume %t", place.Job.Key,
			state.checkpointed, place.Resume)
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

// checkGang reports whether a placement has the members of the job's shape and their accelerators. It records a
// violation otherwise.
func (record *record) checkGang(state *jobRecord, members []scheduler.Member) bool {
	shape := state.job.Profile.Shape
	if len(members) != shape.Members {
		record.addViolation(RulePartialGang, "%s has %d members, want %d", state.job.Key, len(members), shape.Members)
		return false
	}
	for _, member := range members {
		if member.Accelerators != shape.Accelerators {
			record.addViolation(RulePartialGang, "%s has a member of %d accelerators", state.job.Key,
				member.Accelerators)
			return false
		}
	}
	return true
}

// checkWorkers reports whether a placement uses only usable and adjacent workers. It records a violation otherwise.
func (record *record) checkWorkers(place scheduler.Place) bool {
	shape := place.Job.Profile.Shape
	var first string
	for _, member := range place.Members {
		state, ok := record.workers[member.Worker]
		_, evacuated := record.config.Evacuations[state.worker.DataCentre]
		if !ok || state.terminated || state.lossReported || state.worker.Leaving || state.quarantined || evacuated {
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

// adjacencyGroups returns, for each adjacency, the name of the group of adjacent workers that contains the worker. A
// gang of that adjacency runs within one group.
func adjacencyGroups(worker fleet.Worker) [adjacencies]string {
	centre := string(worker.Region) + "/" + string(worker.DataCentre)
	return [adjacencies]string{
		fleet.AdjacencyDataCentre: centre,
		fleet.AdjacencyRack:       centre + "/" + string(worker.Rack),
		fleet.AdjacencyWorker:     string(worker.ID),
	}
}

// allocate adds the resources of a job's members to those held on its workers. It records a violation and releases
// the job if a worker has too few.
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

// adjustHeld adds the resources of one member of a shape to those held (sign 1) or subtracts them (sign -1).
func (worker *workerRecord) adjustHeld(shape *fleet.Shape, sign int) {
	worker.held += fleet.Accelerators(sign) * shape.Accelerators
	worker.heldCores += fleet.Cores(sign) * shape.Cores
	worker.heldMemory += fleet.Bytes(sign) * shape.Memory
}

func (worker *workerRecord) overcommitted() bool {
	return worker.held+worker.foreign > worker.worker.Accelerators || worker.heldCores > worker.worker.Cores ||
		worker.heldMemory > worker.worker.Memory
}

// free returns the accelerators that new placements may use; 0 for a worker that is not usable.
func (worker *workerRecord) free() fleet.Accelerators {
	if worker.lost || worker.terminated || worker.quarantined || worker.worker.Leaving || worker.evacuated {
		return 0
	}
	return max(0, worker.worker.Accelerators-worker.held-worker.foreign)
}

// release frees the resources of a job's members and returns the job to waiting.
func (record *record) release(state *jobRecord) {
	for _, member := range state.members {
		record.workers[member.Worker].adjustHeld(state.job.Profile.Shape, -1)
	}
	state.phase, state.members = phaseWaiting, nil
	record.markChanged(state)
}

// start records that all members of a job run.
func (record *record) start(key fleet.JobKey) {
	state := record.jobs[key]
	state.phase, state.mayHaveRun, state.checkpointed = phaseRunning, true, false
	record.markChanged(state)
}

// end records the end of an attempt that may have run and releases its resources.
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

// finish records a verdict, the final decision about a job. It records a violation if the job's history does not permit
// the verdict.
func (record *record) finish(finish scheduler.Finish) {
	state, ok := record.jobs[finish.Key]
	if !ok || state.phase != phaseWaiting {
		record.addViolation(RuleVerdict, "verdict on %s, which is unknown, holds accelerators or already has a verdict",
			finish.Key)
		return
	}
	if !record.verdictPermitted(state, finish.Verdict) {
		record.addViolation(RuleVerdict,
			"%s: verdict %d, may have run %t, completed %t, cancelled %t, failed on %d workers: %s",
			finish.Key, finish.Verdict, state.mayHaveRun, state.completed, state.cancelled, len(state.failedOn),
			finish.Reason)
	}
	state.phase = phaseFinished
	record.markChanged(state)
	same := func(other *jobRecord) bool { return other == state }
	organisation := state.job.Key.Organisation
	record.active = slices.DeleteFunc(record.active, same)
	record.byOrganisation[organisation] = slices.DeleteFunc(record.byOrganisation[organisation], same)
}

// verdictPermitted reports whether the job's history permits a verdict. Failed requires failures on three workers, or
// on one if the job is not idempotent. Unknown requires that the job may have run, that no attempt has completed, and
// that the job is not idempotent or has become infeasible.
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

// infeasible reports whether the job's organisation is unknown, or the job's shape exceeds the organisation's quota or
// does not fit on the current workers even if they are empty.
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

// quarantine records the start or the end of a worker's quarantine and checks the number of workers in quarantine.
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
	if decision.Active && count*quarantineDivisor > present {
		record.addViolation(RuleQuarantine, "%d of %d workers in quarantine", count, present)
	}
}
