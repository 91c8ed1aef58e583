// Package scheduler is the pure core: state and events in, decisions out, without a clock or I/O.
package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Scheduler decides the placement of gangs in one domain. It is not safe for concurrent use.
type Scheduler interface {
	// Apply takes one event into the state.
	Apply(now time.Time, event Event)
	// Decide returns what is to be done now and assumes in its state that it is being done.
	Decide(now time.Time) []Decision
	// NextWake returns when Decide has something to do without a further event; zero is never.
	NextWake() time.Time
	// Admit tells whether a job could be taken now, without taking it.
	Admit(now time.Time, job Job) *fault.Error
	// Explain tells in a few lines why a job is where it is.
	Explain(key fleet.JobKey) []string
	// ExplainOrganisation tells which guarantees are used, lent or short.
	ExplainOrganisation(id fleet.OrganisationID) []string
	// Dump returns a value that marshals to JSON, bounded in size.
	Dump() any
}

// Job is what the core needs to know of a job. The profile is the one in force at submission.
type Job struct {
	Key     fleet.JobKey
	Caller  fleet.CallerID
	Profile profile.Profile
	// Submitted orders jobs that are equal otherwise.
	Submitted time.Time
	// DeclaredRunTime is a hint that may be far off; 0 is unknown.
	DeclaredRunTime time.Duration
	// Attempts is the number of attempts already made, after a takeover.
	Attempts fleet.Attempt
	// Used is the accelerator time used by earlier attempts, after a takeover.
	Used fleet.AcceleratorTime
}

// Member is one task of a gang.
type Member struct {
	Worker       fleet.WorkerID     `json:"worker_id"`
	Accelerators fleet.Accelerators `json:"accelerators"`
}

// Event is something that happened. The types below are all there are.
type Event interface{ event() }

// FleetChanged brings the workers of the domain, all of them.
type FleetChanged struct{ Workers []fleet.Worker }

// ConfigChanged brings a newer configuration.
type ConfigChanged struct{ Config *profile.Config }

// JobSubmitted brings an accepted job.
type JobSubmitted struct{ Job Job }

// JobCancelled asks for the end of a job.
type JobCancelled struct{ Key fleet.JobKey }

// GangStarted confirms that every member of an attempt runs.
type GangStarted struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
}

// GangRecovered tells that a whole gang was found running after a takeover.
type GangRecovered struct {
	Job     Job
	Attempt fleet.Attempt
	Members []Member
}

// PlaceFailed tells that an attempt never ran and holds nothing any more.
type PlaceFailed struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	// Busy names the workers that refused; they are not tried again until they report free accelerators.
	Busy []fleet.WorkerID
}

// EndResult is how an attempt ended.
type EndResult int

const (
	// EndCompleted means that every member succeeded.
	EndCompleted EndResult = iota
	// EndFailed means that a member reported a failure of its own.
	EndFailed
	// EndCheckpointed means that the progress was saved; the job can go on elsewhere.
	EndCheckpointed
	// EndStopped means that the gang was stopped and its progress is lost.
	EndStopped
	// EndLost means that a member's worker or lease was lost; the rest has been stopped.
	EndLost
)

// GangEnded tells that an attempt has ended on every member and holds nothing any more.
type GangEnded struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Result  EndResult
	// Failed names the workers whose tasks failed or were lost.
	Failed []fleet.WorkerID
	// Used is the accelerator time of the attempt.
	Used fleet.AcceleratorTime
}

// UsageReported brings the accelerator time of a running attempt so far; it lags.
type UsageReported struct {
	Key     fleet.JobKey
	Attempt fleet.Attempt
	Used    fleet.AcceleratorTime
}

// WorkerLost tells that a worker stopped answering; its gangs end by their own events.
type WorkerLost struct{ Worker fleet.WorkerID }

// WorkerFound tells that a worker answers, with the accelerators that leases unknown to the core hold.
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

// Decision is something to be done. The types below are all there are.
type Decision interface{ decision() }

// Place starts an attempt of a job on a whole gang. It is answered by GangStarted or PlaceFailed.
type Place struct {
	Job     Job
	Attempt fleet.Attempt
	Members []Member
	// Resume says that the job goes on from a checkpoint.
	Resume bool
	Reason string
}

// EvictStep is one step of taking accelerators back.
type EvictStep int

const (
	// EvictCheckpoint asks the tasks to save their progress and end.
	EvictCheckpoint EvictStep = iota
	// EvictStop ends the tasks at once.
	EvictStop
)

// Evict takes a gang's accelerators back. It is answered by GangEnded.
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

// Verdict is how a job ended for its caller.
type Verdict int

const (
	// VerdictCompleted means that an attempt completed.
	VerdictCompleted Verdict = iota
	// VerdictFailed means that the job failed wherever it ran.
	VerdictFailed
	// VerdictCancelled means that a cancelled job holds nothing any more.
	VerdictCancelled
	// VerdictNotRun means that no attempt ever started.
	VerdictNotRun
	// VerdictUnknown means that a non-idempotent attempt was lost.
	VerdictUnknown
)

// Finish ends a job for its caller. The core forgets the job.
type Finish struct {
	Key     fleet.JobKey
	Verdict Verdict
	Kind    fault.Kind
	Reason  string
}

// Quarantine tells that a worker gets no work, or gets work again.
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
