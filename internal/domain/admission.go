package domain

import (
	"strings"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// admit returns the refusal of a job that cannot be accepted now, or nil. An admitted job counts towards the limits of
// waiting jobs until admissionDone is called, because it is not in the queue before its record has been created.
func (owner *owner) admit(record *Record) *fault.Error {
	if owner.draining {
		return fault.New(fault.Draining, "the owner is stopping").WithRetryAfter(ownerRetryAfter)
	}
	if owner.config == nil || owner.config.Organisations[record.Organisation] == nil {
		return fault.New(fault.OwnerUnavailable, "the owner has not received the configuration yet").
			WithRetryAfter(ownerRetryAfter)
	}
	if refusal := owner.core.Admit(time.Now(), record.schedulerJob()); refusal != nil {
		return refusal
	}
	key := profileKey{record.Organisation, record.Profile.Name}
	if count := owner.waitingByProfile[key] + owner.creatingByProfile[key]; count >= record.Profile.Limits.MaxWaiting {
		return fault.New(fault.QueueFull, "%d jobs of profile %s wait", count, key.profile).
			WithRetryAfter(ownerRetryAfter)
	}
	limit := owner.config.Organisations[key.organisation].MaxWaiting
	if count := owner.waitingByOrganisation[key.organisation] +
		owner.creatingByOrganisation[key.organisation]; limit > 0 && count >= limit {
		return fault.New(fault.QueueFull, "%d jobs of organisation %s wait", count, key.organisation).
			WithRetryAfter(ownerRetryAfter)
	}
	owner.creatingByProfile[key]++
	owner.creatingByOrganisation[key.organisation]++
	return nil
}

// admissionDone ends the counting of an admitted job as a job whose record is being created. The record now exists or
// will not be created.
func (owner *owner) admissionDone(record *Record) {
	owner.creatingByProfile[profileKey{record.Organisation, record.Profile.Name}]--
	owner.creatingByOrganisation[record.Organisation]--
}

// recordChanged applies a change of a job's record that another process made, and adds a new job to the owner's state.
// Changes that this term made or has already read are ignored. A removal, for which record is nil, changes nothing
// here.
func (owner *owner) recordChanged(key fleet.JobKey, record *Record, revision platform.StoreRevision) {
	job := owner.jobs[key]
	switch {
	case record == nil || record.Domain != owner.service.domain():
	case job == nil && record.State != StateEnded:
		owner.addJob(record, revision)
	case job == nil || revision <= job.revision || strings.HasPrefix(record.WriteID, owner.termID+"-"):
	default:
		owner.applyConflictingRecord(job, record, revision)
	}
}

// addJob adds an accepted job to the owner's state. It starts the recovery of the job if an attempt may be running, and
// enqueues the job otherwise.
func (owner *owner) addJob(record *Record, revision platform.StoreRevision) {
	job := newJob(record, revision)
	owner.jobs[record.Key()] = job
	if record.State == StateStarting {
		owner.startRecovery(job)
		return
	}
	owner.enqueue(job)
}

// enqueue adds a job to the core, or ends it if it was cancelled.
func (owner *owner) enqueue(job *job) {
	owner.setPhase(job, phaseQueued)
	if job.record.CancelRequested {
		owner.endJob(job, scheduler.VerdictCancelled, "", "cancelled")
		return
	}
	job.inCore = true
	owner.core.Apply(time.Now(), scheduler.JobSubmitted{Job: job.record.schedulerJob()})
}
