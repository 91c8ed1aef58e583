package domain

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// recordPrefix is the prefix of the store keys of job records.
const recordPrefix = "jobs/"

// State tells whether an attempt of a job may be running, as far as the job's record in the store shows.
type State string

const (
	// StateQueued means that no attempt can be running, except an attempt of an idempotent job that was started
	// although the write of its record had failed.
	StateQueued State = "queued"
	// StateStarting means that the attempt in the record may be starting or running.
	StateStarting State = "starting"
	// StateEnded means that the outcome is final.
	StateEnded State = "ended"
)

// Record is what the store keeps of a job, so that another process can take the job over.
type Record struct {
	// WriteID is unique to each write. After a lost response, reading the record back shows whether the write took
	// effect.
	WriteID      string               `json:"write_id"`
	Organisation fleet.OrganisationID `json:"organisation"`
	Job          fleet.JobID          `json:"job_id"`
	Caller       fleet.CallerID       `json:"caller"`
	Domain       fleet.RegionID       `json:"domain"`
	// Profile is the profile as it was in force at submission.
	Profile         profile.Profile `json:"profile"`
	ConfigRevision  fleet.Revision  `json:"config_revision"`
	Input           []byte          `json:"input,omitempty"`
	DeclaredRunTime time.Duration   `json:"declared_run_time_ns,omitempty"`
	Submitted       time.Time       `json:"submitted"`
	State           State           `json:"state"`
	// Attempt is the number of the last attempt; 0 before the first.
	Attempt fleet.Attempt  `json:"attempt"`
	Members []RecordMember `json:"members,omitempty"`
	// Begun is the last attempt of which a member may have run, or 0 if there is none. While the state is starting,
	// the current attempt may have run too, regardless of Begun.
	Begun fleet.Attempt `json:"begun_attempt,omitempty"`
	// Checkpointed is the last attempt whose members all confirmed a checkpoint, or 0 if there is none.
	Checkpointed    fleet.Attempt         `json:"checkpointed_attempt,omitempty"`
	CancelRequested bool                  `json:"cancel_requested,omitempty"`
	Used            fleet.AcceleratorTime `json:"used_ns,omitempty"`
	Outcome         string                `json:"outcome,omitempty"`
	Kind            fault.Kind            `json:"kind,omitempty"`
	Reason          string                `json:"reason,omitempty"`
	Ended           time.Time             `json:"ended,omitzero"`
}

// RecordMember is one member of a recorded attempt: the worker that runs its task and the lease of the accelerators.
type RecordMember struct {
	Worker       fleet.WorkerID     `json:"worker_id"`
	Lease        fleet.LeaseID      `json:"lease_id"`
	Accelerators fleet.Accelerators `json:"accelerators"`
}

// Key returns the key of the job.
func (record *Record) Key() fleet.JobKey {
	return fleet.JobKey{Organisation: record.Organisation, Job: record.Job}
}

// mayRunAgain reports whether another attempt is safe: the job is idempotent, no member has run, or the last
// attempt that may have run saved a checkpoint.
func (record *Record) mayRunAgain() bool {
	return record.Profile.Idempotent || record.Begun == 0 || record.Begun == record.Checkpointed
}

// mayReportUnwritten reports whether callers may see this end of a job before it is in the store. While the store
// is down, the owner on the other side of a partition may still complete an idempotent job that ended with another
// outcome on this side.
func (record *Record) mayReportUnwritten() bool {
	return !record.Profile.Idempotent || record.outcome() == callerv1.Outcome_OUTCOME_COMPLETED
}

// outcome returns the outcome that callers see, which is PENDING until the job has ended.
func (record *Record) outcome() callerv1.Outcome {
	if record.State != StateEnded {
		return callerv1.Outcome_OUTCOME_PENDING
	}
	return callerv1.Outcome(callerv1.Outcome_value[record.Outcome])
}

// schedulerJob converts the record to the scheduler's type for a job.
func (record *Record) schedulerJob() scheduler.Job {
	return scheduler.Job{
		Key:             record.Key(),
		Caller:          record.Caller,
		Profile:         record.Profile,
		Submitted:       record.Submitted,
		DeclaredRunTime: record.DeclaredRunTime,
		Attempts:        record.Attempt,
		Used:            record.Used,
	}
}

// status returns the response to a status request, made from the record alone. It names no workers of a job that waits, or
// that has ended without a run: those of an earlier attempt hold nothing of it.
func (record *Record) status() *callerv1.StatusResponse {
	response := &callerv1.StatusResponse{
		Outcome:      record.outcome(),
		State:        string(record.State),
		Reason:       record.Reason,
		Attempts:     int32(record.Attempt),
		AcceleratorS: time.Duration(record.Used).Seconds(),
	}
	if record.State == StateQueued || response.Outcome == callerv1.Outcome_OUTCOME_NOT_RUN {
		return response
	}
	for _, member := range record.Members {
		response.Workers = append(response.Workers, string(member.Worker))
	}
	return response
}

// encode returns the stored form of the record.
func (record *Record) encode() ([]byte, error) {
	text, err := json.Marshal(record)
	return text, errors.Wrapf(err, "record of job %s", record.Key())
}

// decodeRecord parses the stored form of a record.
func decodeRecord(text []byte) (*Record, error) {
	record := new(Record)
	if err := json.Unmarshal(text, record); err != nil {
		return nil, errors.Wrap(err, "job record")
	}
	return record, nil
}

// recordKey returns the store key of a job's record.
func recordKey(key fleet.JobKey) string {
	return recordPrefix + key.String()
}

// parseRecordKey returns the job key in a store key. It reports false if the store key is malformed.
func parseRecordKey(text string) (fleet.JobKey, bool) {
	organisation, job, ok := strings.Cut(strings.TrimPrefix(text, recordPrefix), "/")
	return fleet.JobKey{Organisation: fleet.OrganisationID(organisation), Job: fleet.JobID(job)}, ok
}
