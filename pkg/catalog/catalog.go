// Package catalog holds the configuration in force: profiles with their routes, organisations with their credentials
// and guarantees, and services.
package catalog

import (
	"strings"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Profile is what operators offer to callers under one route.
type Profile struct {
	Name fleet.ProfileName
	// Host and Prefix select the profile of a request.
	Host, Prefix string
	workload.JobPolicy
	// Public profiles take requests without a credential.
	Public bool
}

// Organisation is a party with credentials and a guarantee.
type Organisation struct {
	ID          fleet.OrganisationID
	Credentials []string
	// Guaranteed accelerators belong to its urgent jobs at all times.
	Guaranteed fleet.Accelerators
}

// Limits bound what one request may cost a process.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one accepted configuration. It does not change after New.
type Catalog struct {
	// Version is the operators' number of the configuration; it only rises.
	Version int64
	Limits  Limits

	profiles      map[fleet.ProfileName]Profile
	byHost        map[string][]Profile
	credentials   map[string]fleet.OrganisationID
	organisations map[fleet.OrganisationID]Organisation
}

// New returns a catalog of the given parts.
func New(version int64, profiles []Profile, organisations []Organisation, limits Limits) *Catalog {
	catalog := &Catalog{
		Version: version, Limits: limits,
		profiles:      make(map[fleet.ProfileName]Profile, len(profiles)),
		byHost:        map[string][]Profile{},
		credentials:   map[string]fleet.OrganisationID{},
		organisations: make(map[fleet.OrganisationID]Organisation, len(organisations)),
	}
	for _, profile := range profiles {
		catalog.profiles[profile.Name] = profile
		host := strings.ToLower(profile.Host)
		catalog.byHost[host] = append(catalog.byHost[host], profile)
	}
	for _, organisation := range organisations {
		catalog.organisations[organisation.ID] = organisation
		for _, credential := range organisation.Credentials {
			catalog.credentials[credential] = organisation.ID
		}
	}
	return catalog
}

// Route returns the profile of a host whose prefix is the longest that path begins with.
func (catalog *Catalog) Route(host, path string) (Profile, bool) {
	var found Profile
	ok := false
	for _, profile := range catalog.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, profile.Prefix) && (!ok || len(profile.Prefix) > len(found.Prefix)) {
			found, ok = profile, true
		}
	}
	return found, ok
}

// Profile returns a profile by name.
func (catalog *Catalog) Profile(name fleet.ProfileName) (Profile, bool) {
	profile, ok := catalog.profiles[name]
	return profile, ok
}

// Authenticate returns the organisation that a credential belongs to.
func (catalog *Catalog) Authenticate(credential string) (fleet.OrganisationID, bool) {
	id, ok := catalog.credentials[credential]
	return id, ok
}

// Organisation returns an organisation by id.
func (catalog *Catalog) Organisation(id fleet.OrganisationID) (Organisation, bool) {
	organisation, ok := catalog.organisations[id]
	return organisation, ok
}
