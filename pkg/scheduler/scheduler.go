// Package scheduler decides which gangs run where. It is a pure state machine: events go in, decisions come out, and it
// reads no clock and does no I/O.
//
// A gang is the set of tasks of one attempt of a job, all of which run at the same time. A cell is one guaranteed shape
// of an organisation; while the cell is bound, certain accelerators are assigned to it. Preemptible work of other
// organisations may borrow the accelerators of a cell. An organisation reclaims them by the eviction of that work. A
// claim assigns accelerators to a waiting job while the gangs on them are being evicted.
package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Scheduler decides the placement of gangs in one domain. It is not safe for concurrent use.
type Scheduler interface {
	// Apply updates the state by one event.
	Apply(now time.Time, event Event)
	// Decide returns the actions that are due now. Afterwards the scheduler's state assumes that all returned actions
	// are being carried out.
	Decide(now time.Time) []Decision
	// NextWake returns the time at which Decide is due even without a further event; zero means never.
	NextWake() time.Time
	// Admit checks whether a job would be accepted now, without adding it. It returns nil or the reason for a refusal.
	Admit(now time.Time, job Job) *fault.Error
	// Explain describes in a few lines why a job waits or on how many workers it runs.
	Explain(key fleet.JobKey) []string
	// ExplainOrganisation describes how many accelerators of an organisation's guarantees are in use, lent to others or
	// free, and which guarantees are not bound to accelerators.
	ExplainOrganisation(id fleet.OrganisationID) []string
	// EvacuatedWork returns the work that still runs in evacuated data centres, with the reasons.
	EvacuatedWork(now time.Time) []EvacuatedWork
	// Dump returns a snapshot of bounded size that marshals to JSON.
	Dump() any
}

// Job is a job as the scheduler receives it.
type Job struct {
	Key    fleet.JobKey
	Caller fleet.CallerID
	// Profile is the profile as it was when the job was submitted.
	Profile profile.Profile
	// Submitted is the time of submission. It orders jobs of equal urgency and priority level whose callers have equal
	// attained service.
	Submitted time.Time
	// DeclaredRunTime is the run time that the caller declared. It is a hint that may be far off; 0 means unknown.
	DeclaredRunTime time.Duration
	// Attempts is the number of attempts that were made before a takeover of the domain; 0 for a new job.
	Attempts fleet.Attempt
	// Used is the accelerator time that the attempts before a takeover used.
	Used fleet.AcceleratorTime
}

// Member is one task of a gang: the worker that runs it and the accelerators that it gets there.
type Member struct {
	Worker       fleet.WorkerID     `json:"worker_id"`
	Accelerators fleet.Accelerators `json:"accelerators"`
}

// Event is an input of the scheduler. The event types below are the only ones.
type Event interface{ event() }

// FleetChanged lists all workers of the domain.
type FleetChanged struct{ Workers []fleet.Worker }

// ConfigChanged carries a newer configuration.
type ConfigChanged struct{ Config *profile.Config }

// JobSubmitted carries an accepted job.
type JobSubmitted struct{ Job Job }

// JobCancelled requests the end of a job.
type JobCancelled struct{ Key fleet.JobKey }

// GangStarted confirms that every member of an attempt runs.
type GangStarted struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
}

// GangRecovered reports that, after a takeover of the domain, every member of a gang was found running.
type GangRecovered struct {
	Job     Job
	Attempt fleet.Attempt
	Members []Member
}

// PlaceFailed reports that an attempt never ran and no longer holds any accelerators.
type PlaceFailed struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	// Busy lists the workers that refused the attempt. Each of them gets no new work until a WorkerFound event for it.
	Busy []fleet.WorkerID
}

// EndResult is the result of one attempt of a job.
type EndResult int

const (
	// EndCompleted means that every member succeeded.
	EndCompleted EndResult = iota
	// EndFailed means that the task of a member reported a failure.
	EndFailed
	// EndCheckpointed means that every member saved its progress, so that the job can resume on other workers.
	EndCheckpointed
	// EndStopped means that the gang was stopped and the attempt's progress is lost.
	EndStopped
	// EndLost means that the worker or the lease of a member was lost; the other members have been stopped.
	EndLost
)

// GangEnded reports that an attempt has ended on every member and no longer holds any accelerators.
type GangEnded struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Result  EndResult
	// Failed lists the workers whose tasks failed or were lost.
	Failed []fleet.WorkerID
	// Used is the accelerator time of the attempt.
	Used fleet.AcceleratorTime
}

// UsageReported carries the accelerator time that a running attempt has used so far. The report may lag behind the
// actual use.
type UsageReported struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Used    fleet.AcceleratorTime
}

// WorkerLost reports that a worker stopped responding. A separate GangEnded event follows for each gang on the worker.
type WorkerLost struct{ Worker fleet.WorkerID }

// WorkerFound reports that a worker responds.
type WorkerFound struct {
	Worker fleet.WorkerID
	// Foreign is the number of the worker's accelerators that are held by leases of which the scheduler has no record.
	Foreign fleet.Accelerators
}

func (FleetChanged) event()  {}
func (ConfigChanged) event() {}
func (JobSubmitted) event()  {}
func (JobCancelled) event()  {}
func (GangStarted) event()   {}
func (GangRecovered) event() {}
func (PlaceFailed) event()   {}
func (GangEnded) event()     {}
func (UsageReported) event() {}
func (WorkerLost) event()    {}
func (WorkerFound) event()   {}

// Decision is an output of the scheduler. The decision types below are the only ones.
type Decision interface{ decision() }

// Place starts an attempt of a job on all members of a gang. A GangStarted or PlaceFailed event reports the outcome.
type Place struct {
	Job     Job
	Attempt fleet.Attempt
	Members []Member
	// Resume is set if the job resumes from a checkpoint.
	Resume bool
	Reason string
}

// EvictStep is one step of an eviction.
type EvictStep int

const (
	// EvictCheckpoint requests that the tasks save their progress and end.
	EvictCheckpoint EvictStep = iota
	// EvictStop ends the tasks at once.
	EvictStop
)

// Evict ends a gang to free its accelerators. A GangEnded event reports that it has ended.
type Evict struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Step    EvictStep
	Reason  string
}

// Throttle limits the processor time of a gang to a percentage.
type Throttle struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Percent int
}

// Verdict is the final result of a job, as reported to its caller.
type Verdict int

const (
	// VerdictCompleted means that an attempt completed.
	VerdictCompleted Verdict = iota
	// VerdictFailed means that the job failed or exceeded its run time.
	VerdictFailed
	// VerdictCancelled means that the job was cancelled and no longer holds any accelerators.
	VerdictCancelled
	// VerdictNotRun means that no attempt ever started.
	VerdictNotRun
	// VerdictUnknown means that a non-idempotent attempt was lost, so that its result is unknown.
	VerdictUnknown
)

// Finish reports the final result of a job. The scheduler has already dropped the job's state.
type Finish struct {
	Key     fleet.JobKey
	Verdict Verdict
	Kind    fault.Kind
	Reason  string
}

// Quarantine starts or ends the quarantine of a worker, during which the worker gets no new work.
type Quarantine struct {
	Worker fleet.WorkerID
	Active bool
	Reason string
}

func (Place) decision()      {}
func (Evict) decision()      {}
func (Throttle) decision()   {}
func (Finish) decision()     {}
func (Quarantine) decision() {}
