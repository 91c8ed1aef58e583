// Package examples embeds the settings, organisations and fleets of the two example deployments.
package examples

import (
	"embed"
	"path"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/settings"
	"github.com/quetzalstall/quetzalstall/internal/strictjson"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

//go:embed reed armor
var files embed.FS

// Deployment holds the fleet and the organisations of one example deployment.
type Deployment struct {
	Name  string
	Fleet fleet.Inventory
	// PlatformAddress is the address of the platform in the settings of the first entry VM.
	PlatformAddress string
	Organisations   []*profile.Organisation
}

// Names returns the names of the example deployments.
func Names() []string { return []string{"reed", "armor"} }

// Load returns the example deployment with the given name.
func Load(name string) (*Deployment, error) {
	data, err := files.ReadFile(path.Join(name, "fleet.json"))
	if err != nil {
		return nil, errors.Errorf("deployment %q is none of %v", name, Names())
	}
	deployment := &Deployment{Name: name}
	if err := strictjson.Decode(data, &deployment.Fleet).Err(); err != nil {
		return nil, errors.Wrapf(err, "fleet of %s", name)
	}
	entries, err := files.ReadDir(path.Join(name, "organisations"))
	if err != nil {
		return nil, errors.Wrapf(err, "organisations of %s", name)
	}
	for _, entry := range entries {
		data, err := files.ReadFile(path.Join(name, "organisations", entry.Name()))
		if err != nil {
			return nil, errors.Wrapf(err, "organisations of %s", name)
		}
		organisation, err := profile.ParseOrganisation(data)
		if err != nil {
			return nil, errors.Wrapf(err, "organisation %s", entry.Name())
		}
		deployment.Organisations = append(deployment.Organisations, organisation)
	}
	return deployment, deployment.loadPlatformAddress()
}

func (deployment *Deployment) loadPlatformAddress() error {
	data, err := files.ReadFile(path.Join(deployment.Name, "settings", "entry-1.json"))
	if err != nil {
		return errors.Wrapf(err, "settings of %s", deployment.Name)
	}
	first, err := settings.Parse(data)
	deployment.PlatformAddress = first.StoreAddress
	return errors.Wrapf(err, "settings of %s", deployment.Name)
}

// Token returns the bearer token of an example organisation. The token is not secret, since it is derived from the
// organisation's id.
func Token(id fleet.OrganisationID) string { return string(id) + "-token" }
