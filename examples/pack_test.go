package examples

import (
	"testing"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Guards against an example deployment whose guarantees do not fit on its fleet together, so that its configuration
// would be refused.
func TestExampleGuaranteesPack(t *testing.T) {
	for _, name := range Names() {
		deployment, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		config := &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
		for _, organisation := range deployment.Organisations {
			config.Organisations[organisation.ID] = organisation
		}
		if _, shortfalls := scheduler.Pack(config, deployment.Fleet.Workers); len(shortfalls) > 0 {
			t.Errorf("%s: %+v", name, shortfalls)
		}
	}
}
