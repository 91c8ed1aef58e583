// Package profile defines the documents that operators edit: organisations with their guarantees and profiles.
package profile

import (
	"fmt"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Urgency orders the work of one organisation. It never takes precedence over the guarantee of another organisation.
type Urgency int

const (
	// UrgencyLow is for work that can wait for hours.
	UrgencyLow Urgency = iota
	// UrgencyNormal is the default.
	UrgencyNormal
	// UrgencyHigh is for work that starts before normal work.
	UrgencyHigh
	// UrgencyUrgent is for work that starts within seconds, by preemption if necessary, as long as the work fits into a
	// guarantee of its organisation.
	UrgencyUrgent
)

var urgencyNames = []string{"low", "normal", "high", "urgent"}

// String returns the name that documents use.
func (urgency Urgency) String() string {
	if urgency < 0 || int(urgency) >= len(urgencyNames) {
		return fmt.Sprintf("urgency(%d)", int(urgency))
	}
	return urgencyNames[urgency]
}

// MarshalText returns the name that documents use.
func (urgency Urgency) MarshalText() ([]byte, error) {
	return []byte(urgency.String()), nil
}

// UnmarshalText parses the name that documents use.
func (urgency *Urgency) UnmarshalText(text []byte) error {
	for value, name := range urgencyNames {
		if name == string(text) {
			*urgency = Urgency(value)
			return nil
		}
	}
	return fmt.Errorf("urgency %q is none of low, normal, high, urgent", text)
}

// Duration is a time.Duration that settings and documents contain as text, such as "1.5s".
type Duration time.Duration

// MarshalText returns the format of time.Duration.String.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText parses the format of time.ParseDuration.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q needs a number and a unit, such as 1.5s", text)
	}
	*duration = Duration(parsed)
	return nil
}

// Limits holds the limits that apply to the jobs or requests of one profile.
type Limits struct {
	// MaxWaiting limits the waiting jobs, or the waiting requests of one entry VM; at least 1.
	MaxWaiting int `json:"max_waiting"`
	// MaxRunTime is the run time after which a job or a request is ended. For a job, 0 is no limit.
	MaxRunTime Duration `json:"max_run_time"`
	// MaxBody limits the input of a job or the body of a request.
	MaxBody fleet.Bytes `json:"max_body_bytes"`
}

// Profile is a named kind of job or request; every request names one. It has either a Shape or a Service.
type Profile struct {
	Name fleet.ProfileName `json:"name"`
	// Shape is the gang of a job; nil for requests to targets.
	Shape *fleet.Shape `json:"shape,omitempty"`
	// Service is the service whose targets run the requests; empty for jobs.
	Service fleet.ServiceName `json:"service,omitempty"`
	Urgency Urgency           `json:"urgency"`
	// Idempotent is true if running the work twice does no harm.
	Idempotent bool `json:"idempotent"`
	// Checkpoint is true if a task can save a checkpoint and resume from it on another worker.
	Checkpoint bool   `json:"checkpoint"`
	Limits     Limits `json:"limits"`
}

// IsJob reports whether the profile is for jobs, which run as gangs on workers.
func (profile Profile) IsJob() bool { return profile.Shape != nil }

// Preemptible reports whether a running job may be stopped and run again later.
func (profile Profile) Preemptible() bool { return profile.Checkpoint || profile.Idempotent }

// Guarantee is a number of gangs of a shape that an organisation can run at any time.
type Guarantee struct {
	Count int         `json:"count"`
	Shape fleet.Shape `json:"shape"`
}

// Organisation is the document that operators edit for one organisation.
type Organisation struct {
	ID fleet.OrganisationID `json:"organisation"`
	// Quota limits the accelerators in use at the same time; 0 is no limit.
	Quota fleet.Accelerators `json:"quota"`
	// MaxWaiting limits the waiting jobs of all profiles together.
	MaxWaiting int `json:"max_waiting"`
	// TokenHashes holds the hexadecimal SHA-256 hashes of the bearer tokens of this organisation's services.
	TokenHashes []string    `json:"token_sha256"`
	Guarantees  []Guarantee `json:"guarantees"`
	Profiles    []Profile   `json:"profiles"`
}

// Profile returns the profile with the given name.
func (organisation *Organisation) Profile(name fleet.ProfileName) (*Profile, bool) {
	for i := range organisation.Profiles {
		if organisation.Profiles[i].Name == name {
			return &organisation.Profiles[i], true
		}
	}
	return nil, false
}

// Config is the configuration of all organisations at one revision. It is immutable.
type Config struct {
	Revision fleet.Revision `json:"revision"`
	// Organisations maps the id of an organisation to its document.
	Organisations map[fleet.OrganisationID]*Organisation `json:"organisations"`
	// Evacuations holds the evacuated data centres, on whose workers nothing is started. It is nil if there are none.
	Evacuations map[fleet.DataCentreID]Evacuation `json:"evacuations,omitempty"`
}

// Evacuation is the request that nothing more is started on the workers of a data centre.
type Evacuation struct {
	// Since is when the request was accepted.
	Since time.Time `json:"since"`
	// Revision is the revision of the configuration that first contained the request.
	Revision fleet.Revision `json:"revision"`
}

// Lookup returns the profile of an organisation with the given name.
func (config *Config) Lookup(id fleet.OrganisationID, name fleet.ProfileName) (*Profile, bool) {
	organisation, ok := config.Organisations[id]
	if !ok {
		return nil, false
	}
	return organisation.Profile(name)
}
