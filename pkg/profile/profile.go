// Package profile holds what operators edit: organisations with their guarantees and profiles.
package profile

import (
	"fmt"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Urgency orders the work of one organisation; it never outranks another organisation's guarantee.
type Urgency int

const (
	// UrgencyLow is for work that can wait for hours.
	UrgencyLow Urgency = iota
	// UrgencyNormal is the default.
	UrgencyNormal
	// UrgencyHigh goes before normal work.
	UrgencyHigh
	// UrgencyUrgent starts within seconds inside a guarantee, by reclaim if need be.
	UrgencyUrgent
)

var urgencyNames = []string{"low", "normal", "high", "urgent"}

// String returns the name used in settings.
func (urgency Urgency) String() string {
	if urgency < 0 || int(urgency) >= len(urgencyNames) {
		return fmt.Sprintf("urgency(%d)", int(urgency))
	}
	return urgencyNames[urgency]
}

// MarshalText writes the name used in settings.
func (urgency Urgency) MarshalText() ([]byte, error) {
	return []byte(urgency.String()), nil
}

// UnmarshalText reads the name used in settings.
func (urgency *Urgency) UnmarshalText(text []byte) error {
	for value, name := range urgencyNames {
		if name == string(text) {
			*urgency = Urgency(value)
			return nil
		}
	}
	return fmt.Errorf("urgency %q is none of low, normal, high, urgent", text)
}

// Duration is a time.Duration that settings write as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as time.Duration does.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText reads the duration as time.ParseDuration does.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q needs a number and a unit, such as 1.5s", text)
	}
	*duration = Duration(parsed)
	return nil
}

// Limits bounds what one profile may take.
type Limits struct {
	// MaxWaiting bounds the waiting jobs, or the waiting requests of one entry VM; at least 1.
	MaxWaiting int `json:"max_waiting"`
	// MaxRunTime ends a job or a request that runs longer; 0 is no limit for a job.
	MaxRunTime Duration `json:"max_run_time"`
	// MaxBody bounds the input of a job or the body of a request.
	MaxBody fleet.Bytes `json:"max_body_bytes"`
}

// Profile is what a service names in a request. It has either a Shape or a Service.
type Profile struct {
	Name fleet.ProfileName `json:"name"`
	// Shape is the gang of a job; nil for requests to targets.
	Shape *fleet.Shape `json:"shape,omitempty"`
	// Service is where requests go; empty for jobs.
	Service fleet.ServiceName `json:"service,omitempty"`
	Urgency Urgency           `json:"urgency"`
	// Idempotent says that running twice does no harm.
	Idempotent bool `json:"idempotent"`
	// Checkpoint says that a task can save its progress and go on elsewhere.
	Checkpoint bool   `json:"checkpoint"`
	Limits     Limits `json:"limits"`
}

// IsJob reports whether the profile runs gangs on workers.
func (profile Profile) IsJob() bool { return profile.Shape != nil }

// Preemptible reports whether a running job may be ended and run again later.
func (profile Profile) Preemptible() bool { return profile.Checkpoint || profile.Idempotent }

// Guarantee promises an organisation a number of shapes at any time.
type Guarantee struct {
	Count int         `json:"count"`
	Shape fleet.Shape `json:"shape"`
}

// Organisation is the document that operators edit for one organisation.
type Organisation struct {
	ID fleet.OrganisationID `json:"organisation"`
	// Quota bounds the accelerators in use at once; 0 is no bound.
	Quota fleet.Accelerators `json:"quota"`
	// MaxWaiting bounds the waiting jobs over all profiles.
	MaxWaiting int `json:"max_waiting"`
	// TokenHashes are hex SHA-256 hashes of the bearer tokens of this organisation's services.
	TokenHashes []string    `json:"token_sha256"`
	Guarantees  []Guarantee `json:"guarantees"`
	Profiles    []Profile   `json:"profiles"`
}

// Profile returns the profile of a name.
func (organisation *Organisation) Profile(name fleet.ProfileName) (*Profile, bool) {
	for i := range organisation.Profiles {
		if organisation.Profiles[i].Name == name {
			return &organisation.Profiles[i], true
		}
	}
	return nil, false
}

// Config is the whole configuration at one revision. It is never changed once made.
type Config struct {
	Revision fleet.Revision `json:"revision"`
	// Organisations is keyed by the ID of each document.
	Organisations map[fleet.OrganisationID]*Organisation `json:"organisations"`
}

// Lookup returns an organisation's profile of a name.
func (config *Config) Lookup(id fleet.OrganisationID, name fleet.ProfileName) (*Profile, bool) {
	organisation, ok := config.Organisations[id]
	if !ok {
		return nil, false
	}
	return organisation.Profile(name)
}
