package bench

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

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
