package examples

import (
	"io/fs"
	"path"
	"testing"

	"github.com/quetzalstall/quetzalstall/internal/settings"
)

// Guards against example files that the program would refuse, and against example deployments with unexpected numbers
// of organisations, workers, targets or entry VMs.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range Names() {
		deployment, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(deployment.Organisations) != 4 || len(deployment.Fleet.Workers) != 50 ||
			len(deployment.Fleet.Targets) != 50 || len(deployment.Fleet.Entries) != 7 {
			t.Errorf("%s has %d organisations, %d workers, %d targets, %d entry VMs",
				name, len(deployment.Organisations), len(deployment.Fleet.Workers), len(deployment.Fleet.Targets),
				len(deployment.Fleet.Entries))
		}
		paths, err := fs.Glob(files, path.Join(name, "settings", "*.json"))
		if err != nil || len(paths) != 7 {
			t.Fatalf("%s has %d settings files, want 7 (%v)", name, len(paths), err)
		}
		for _, file := range paths {
			data, _ := files.ReadFile(file)
			if _, err := settings.Parse(data); err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
	}
}
