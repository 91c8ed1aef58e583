// Package ledger keeps the documents of jobs in the platform's store: what was accepted, its progress, and the state
// that callers are shown.
package ledger

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// Keys of the store that belong to the system.
const (
	// LivePrefix covers what every process follows.
	LivePrefix = "quetzalstall/live/"
	// TermKey is held by the controller.
	TermKey = LivePrefix + "term"
	// MemberPrefix covers the announcements of entry processes.
	MemberPrefix = LivePrefix + "member/"
	statusPrefix = LivePrefix + "status/"
	// JobPrefix covers accepted jobs.
	JobPrefix = "quetzalstall/job/"
	// RecordPrefix covers the progress of jobs, which only the controller reads and writes.
	RecordPrefix = "quetzalstall/record/"
)

// MemberKey is the key of an entry process's announcement.
func MemberKey(name string) string { return MemberPrefix + name }

// StatusKey is the key of a job's status.
func StatusKey(id fleet.JobID) string { return statusPrefix + string(id) }

// JobKey is the key of an accepted job.
func JobKey(id fleet.JobID) string { return JobPrefix + string(id) }

// RecordKey is the key of a job's progress.
func RecordKey(id fleet.JobID) string { return RecordPrefix + string(id) }

// JobOfStatus returns the job whose status has the key.
func JobOfStatus(key string) (fleet.JobID, bool) {
	id, ok := strings.CutPrefix(key, statusPrefix)
	return fleet.JobID(id), ok
}

// Status is what every process knows of a job.
type Status struct {
	State        progress.State       `json:"state"`
	Profile      fleet.ProfileName    `json:"profile"`
	Organisation fleet.OrganisationID `json:"organisation,omitempty"`
	// Scheduled jobs are not counted as pending.
	Scheduled bool `json:"scheduled,omitempty"`
	// Ended is when the state became terminal.
	Ended time.Time `json:"ended,omitzero"`
}

// Encode returns the stored form of a document.
func Encode(document any) []byte {
	encoded, err := json.Marshal(document)
	if err != nil {
		// The documents of this package hold nothing that cannot be encoded.
		panic(errors.Wrap(err, "encode a document of the ledger"))
	}
	return encoded
}

// Decode reads a stored document.
func Decode[T any](item keyvalue.Item) (T, error) {
	var document T
	err := json.Unmarshal(item.Value, &document)
	return document, errors.Wrap(err, item.Key)
}
