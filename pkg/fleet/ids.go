// Package fleet defines the ids and units of the system and the inventory of its machines.
package fleet

import "time"

// Ids of machines, locations, organisations and their objects. All are opaque strings.
type (
	// VMID identifies a VM in the VM list of the platform.
	VMID string
	// WorkerID identifies a worker; it is equal to the id of the worker's VM.
	WorkerID string
	// TargetID identifies a target; it is equal to the id of the target's VM.
	TargetID string
	// RackID identifies a rack within its data centre.
	RackID string
	// DataCentreID identifies a data centre.
	DataCentreID string
	// RegionID identifies a region. Each region is a scheduling domain, whose jobs are scheduled by one process.
	RegionID string
	// ServiceName names the service that a group of targets provides.
	ServiceName string
	// OrganisationID identifies an organisation.
	OrganisationID string
	// CallerID identifies a caller within an organisation.
	CallerID string
	// ProfileName names a profile within its organisation.
	ProfileName string
	// JobID identifies a job within its organisation.
	JobID string
	// RequestID identifies a request within its organisation.
	RequestID string
	// LeaseID identifies a lease on a worker.
	LeaseID string
)

// Units for which the standard library has no type.
type (
	// Accelerators is a number of accelerators.
	Accelerators int
	// Cores is a number of processor cores.
	Cores int
	// Bytes is a size in bytes.
	Bytes int64
	// Revision numbers accepted configurations, from 1.
	Revision int64
	// Attempt numbers the attempts of a job, from 1.
	Attempt int
	// AcceleratorTime is a number of accelerators multiplied by a time.
	AcceleratorTime time.Duration
)

// JobKey identifies a job across organisations.
type JobKey struct {
	Organisation OrganisationID `json:"organisation"`
	Job          JobID          `json:"job_id"`
}

// String returns the key as organisation/job.
func (key JobKey) String() string {
	return string(key.Organisation) + "/" + string(key.Job)
}

// CallerKey identifies a caller across organisations.
type CallerKey struct {
	Organisation OrganisationID `json:"organisation"`
	Caller       CallerID       `json:"caller"`
}
