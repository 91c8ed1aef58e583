// Package scheduler decides which gangs run where. It is a pure state machine: events go in, decisions come out, and
// it reads no clock and does no I/O.
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
	// Decide returns the actions that are due now. Its state afterwards assumes that they are being carried out.
	Decide(now time.Time) []Decision
	// NextWake returns the time at which Decide is due even without a further event; zero means never.
	NextWake() time.Time
	// Admit checks whether a job would be accepted now, without adding it. It returns nil or the reason for a refusal.
	Admit(now time.Time, job Job) *fault.Error
	// Explain describes in a few lines why a job waits or on how many workers it runs.
	Explain(key fleet.JobKey) []string
	// ExplainOrganisation describes which guarantees of an organisation are used, lent or short of capacity.
	ExplainOrganisation(id fleet.OrganisationID) []string
	// Dump returns a snapshot of bounded size that marshals to JSON.
	Dump() any
}

// Job is a job as the core receives it. The profile is the one in force at submission.
type Job struct {
	Key     fleet.JobKey
	Caller  fleet.CallerID
	Profile profile.Profile
	// Submitted is the time of submission. It orders jobs that are equal otherwise.
	Submitted time.Time
	// DeclaredRunTime is a hint that may be far off; 0 means unknown.
	DeclaredRunTime time.Duration
	// Attempts is the number of attempts that were made before a takeover.
	Attempts fleet.Attempt
	// Used is the accelerator time that the attempts before a takeover used.
	Used fleet.AcceleratorTime
}

// Member is one task of a gang.
type Member struct {
	Worker       fleet.WorkerID     `json:"worker_id"`
	Accelerators fleet.Accelerators `json:"accelerators"`
}

// Event is an input of the core. The event types below are the only ones.
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

// GangRecovered reports that a whole gang was found running after a takeover.
type GangRecovered struct {
	Job     Job
	Attempt fleet.Attempt
	Members []Member
}

// PlaceFailed reports that an attempt never ran and no longer holds any accelerators.
type PlaceFailed struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	// Busy lists the workers that refused. They are not tried again until they report free accelerators.
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
	// EndStopped means that the gang was stopped and its progress is lost.
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

// UsageReported carries the accelerator time that a running attempt has used so far. Reports arrive with a delay.
type UsageReported struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Used    fleet.AcceleratorTime
}

// WorkerLost reports that a worker stopped responding. Each of its gangs ends by an event of its own.
type WorkerLost struct{ Worker fleet.WorkerID }

// WorkerFound reports that a worker responds. Foreign is the number of its accelerators that are held by leases of
// which the core has no record.
type WorkerFound struct {
	Worker  fleet.WorkerID
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

// Decision is an output of the core. The decision types below are the only ones.
type Decision interface{ decision() }

// Place starts an attempt of a job on all members of a gang. GangStarted or PlaceFailed follows.
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

// Evict ends a gang to free its accelerators. GangEnded follows.
type Evict struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Step    EvictStep
	Reason  string
}

// Throttle sets the share of processor time of a gang, in percent.
type Throttle struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Percent int
}

// Verdict is the final result of a job for its caller.
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

// Finish reports the final result of a job. The core drops the job.
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
