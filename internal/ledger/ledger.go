// Package ledger defines the documents that are kept for each job in the platform's store: the accepted job, its
// progress record and its status. It also defines the keys of these documents, of the term and of the member records of
// entry processes.
package ledger

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// The store keys and key prefixes of this system.
const (
	// LivePrefix covers the keys that every entry process watches: the term, the member records and the job statuses.
	LivePrefix = "quetzalstall/live/"
	// TermKey is the key that the process which makes the scheduling decisions has written under a lease. It exists
	// during the term of this process.
	TermKey = LivePrefix + "term"
	// HolderKey is the key of the document in which the holder of the term identifies itself. It is written and deleted
	// with TermKey.
	HolderKey = LivePrefix + "holder"
	// MemberPrefix covers the member records of entry processes.
	MemberPrefix = LivePrefix + "member/"
	statusPrefix = LivePrefix + "status/"
	// JobPrefix covers accepted jobs.
	JobPrefix = "quetzalstall/job/"
	// RecordPrefix covers the progress records of jobs, which only the controller reads and writes.
	RecordPrefix = "quetzalstall/record/"
	// SpeedsKey is the key of what the controller has learnt of the speeds of workers.
	SpeedsKey = "quetzalstall/speeds"
)

// MemberKey returns the key of an entry process's member record.
func MemberKey(name string) string { return MemberPrefix + name }

// StatusKey returns the key of a job's status.
func StatusKey(id fleet.JobID) string { return statusPrefix + string(id) }

// JobKey returns the key of an accepted job.
func JobKey(id fleet.JobID) string { return JobPrefix + string(id) }

// RecordKey returns the key of a job's progress record.
func RecordKey(id fleet.JobID) string { return RecordPrefix + string(id) }

// JobOfStatus returns the job to which a status key belongs, and false for a key that is not a status key.
func JobOfStatus(key string) (fleet.JobID, bool) {
	id, ok := strings.CutPrefix(key, statusPrefix)
	return fleet.JobID(id), ok
}

// Status is the document from which every entry process responds to callers' requests about a job. Each process caches
// it.
type Status struct {
	State        progress.State       `json:"state"`
	Profile      fleet.ProfileName    `json:"profile"`
	Organisation fleet.OrganisationID `json:"organisation,omitempty"`
	// Scheduled is set for jobs with a schedule. StatusCache.Pending does not count these jobs.
	Scheduled bool `json:"scheduled,omitempty"`
	// Memory is the result of MemoryOf for the job; 0 if an earlier version has written the status.
	Memory progress.Bytes `json:"memory,omitempty"`
	// Ended is the time at which the state became terminal; zero before.
	Ended time.Time `json:"ended,omitzero"`
}

// DecodeStatus reads a stored status. It returns an error for a document that has no state of a job.
func DecodeStatus(item keyvalue.Item) (Status, error) {
	status, err := Decode[Status](item)
	if err != nil {
		return Status{}, err
	}
	if !status.State.Valid() {
		return Status{}, errors.Errorf("%s: unknown state %.40q", item.Key, status.State)
	}
	return status, nil
}

// Encode returns the stored form of a document.
func Encode(document any) []byte {
	encoded, err := json.Marshal(document)
	if err != nil {
		// Unreachable: all types of stored documents can be encoded.
		panic(errors.Wrap(err, "encode a document for the store"))
	}
	return encoded
}

// CheckSize returns an error if the document of a job, or the record of its progress, can be larger than the store takes.
func CheckSize(job workload.Job, limit progress.Bytes) error {
	if size := progress.Bytes(len(Encode(job))); size > limit {
		return errors.Errorf("the job takes %d bytes, above the limit of %d", size, limit)
	}
	return progress.CheckSize(job, limit)
}

// The memory that parts of a job take in a controller.
const (
	jobMemory  progress.Bytes = 2048
	stepMemory progress.Bytes = 192
	indexBytes progress.Bytes = 8
)

// MemoryOf estimates the memory that a controller needs for a job before any task of it has run.
func MemoryOf(job workload.Job) progress.Bytes {
	size := jobMemory + progress.Bytes(len(job.Payload))
	for _, step := range job.Steps {
		size += stepMemory + progress.Bytes(len(step.After))*indexBytes
		size += progress.Bytes(len(step.DataRack) + len(step.Label) + len(step.Image))
	}
	return size
}

// Decode reads a stored document.
func Decode[T any](item keyvalue.Item) (T, error) {
	var document T
	err := json.Unmarshal(item.Value, &document)
	return document, errors.Wrap(err, item.Key)
}
