// Package catalog holds a configuration that operators have written and that was accepted as valid. It finds the
// profile for a route and the organisation for a credential, and holds the limits of requests.
package catalog

import (
	"strings"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Profile is a kind of job that callers submit under one route, which is a host with a path prefix.
type Profile struct {
	Name fleet.ProfileName
	// Host and Prefix are the host and the path prefix of the requests that use the profile.
	Host, Prefix string
	workload.JobPolicy
	// Public profiles accept requests without a credential.
	Public bool
}

// Organisation is an organisation with its credentials and its guarantee.
type Organisation struct {
	ID          fleet.OrganisationID
	Credentials []string
	// Guaranteed is the number of accelerators that are available to its urgent jobs at all times.
	Guaranteed fleet.Accelerators
}

// Limits holds the maximum sizes of a request, the timeout for its header, and the idle timeout of its connection.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one accepted configuration. It does not change after New.
type Catalog struct {
	// Version is the number that operators give the configuration. It only increases.
	Version int64
	Limits  Limits

	profiles      map[fleet.ProfileName]Profile
	byHost        map[string][]Profile
	credentials   map[string]fleet.OrganisationID
	organisations map[fleet.OrganisationID]Organisation
	leastStretch  map[fleet.ServiceName]float64
}

// New returns a catalog with the given profiles, organisations and limits.
func New(version int64, profiles []Profile, organisations []Organisation, limits Limits) *Catalog {
	catalog := &Catalog{
		Version: version, Limits: limits,
		profiles:      make(map[fleet.ProfileName]Profile, len(profiles)),
		byHost:        map[string][]Profile{},
		credentials:   map[string]fleet.OrganisationID{},
		leastStretch:  map[fleet.ServiceName]float64{},
		organisations: make(map[fleet.OrganisationID]Organisation, len(organisations)),
	}
	for _, profile := range profiles {
		least, ok := catalog.leastStretch[profile.Service]
		if profile.Priority == workload.Urgent && profile.Stretch > 0 && (!ok || profile.Stretch < least) {
			catalog.leastStretch[profile.Service] = profile.Stretch
		}
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

// LeastStretch returns the smallest stretch of the objectives of the urgent profiles of a service, or false if it has no
// urgent profile with one. Work that takes more than its declared run time times the stretch misses the objective.
func (catalog *Catalog) LeastStretch(service fleet.ServiceName) (float64, bool) {
	least, ok := catalog.leastStretch[service]
	return least, ok
}

// Route returns the profile with the longest prefix of path among the profiles of a host. Host names are compared
// without regard to case.
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

// Profile returns the profile with the given name.
func (catalog *Catalog) Profile(name fleet.ProfileName) (Profile, bool) {
	profile, ok := catalog.profiles[name]
	return profile, ok
}

// Authenticate returns the organisation that a credential belongs to.
func (catalog *Catalog) Authenticate(credential string) (fleet.OrganisationID, bool) {
	id, ok := catalog.credentials[credential]
	return id, ok
}

// OrganisationCount returns the number of organisations.
func (catalog *Catalog) OrganisationCount() int { return len(catalog.organisations) }

// Organisation returns the organisation with the given id.
func (catalog *Catalog) Organisation(id fleet.OrganisationID) (Organisation, bool) {
	organisation, ok := catalog.organisations[id]
	return organisation, ok
}
