// Package bench is the policy benchmark. It runs a scheduler against simulated workers on a virtual clock, checks
// invariants against its own record of jobs and workers, and compares measures such as the mean completion time with
// those of baseline schedulers and with a lower bound.
package bench

import (
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Candidate is a scheduler under test.
type Candidate struct {
	Name string
	// New returns a new scheduler without state.
	New func() scheduler.Scheduler
}

// Settings selects the candidates, deployments, workloads and seeds of Run. An empty list selects all of them.
type Settings struct {
	// Candidates are compared with each other on the same workloads. Empty selects Candidates().
	Candidates  []Candidate
	Deployments []string
	Workloads   []string
	Seeds       []uint64
	// Output is the directory of report.json, report.md and the plots. No files are written if it is empty.
	Output string
}

// DefaultSeeds are the seeds that Run and the tests use by default.
var DefaultSeeds = []uint64{1, 2, 3}

// Candidates returns the core and the baselines.
func Candidates() []Candidate {
	return append([]Candidate{Core()}, Baselines()...)
}

// Run measures every selected candidate on every selected workload and writes the reports. It returns an error if a
// deployment or workload is unknown or if a report cannot be written.
func Run(settings Settings) (Report, error) {
	settings = settings.withDefaults()
	report := Report{}
	for _, name := range settings.Deployments {
		deployment, ok := findDeployment(name)
		if !ok {
			return Report{}, errors.Errorf("unknown deployment %q, expected one of %v", name, DeploymentNames())
		}
		for _, workload := range settings.Workloads {
			if err := report.measure(settings, deployment, workload); err != nil {
				return Report{}, err
			}
		}
	}
	if settings.Output == "" {
		return report, nil
	}
	return report, report.Write(settings.Output)
}

func (settings Settings) withDefaults() Settings {
	if len(settings.Candidates) == 0 {
		settings.Candidates = Candidates()
	}
	if len(settings.Deployments) == 0 {
		settings.Deployments = DeploymentNames()
	}
	if len(settings.Workloads) == 0 {
		settings.Workloads = WorkloadNames()
	}
	if len(settings.Seeds) == 0 {
		settings.Seeds = DefaultSeeds
	}
	return settings
}

// measure runs one workload with every selected seed and candidate and adds the results to the report.
func (report *Report) measure(settings Settings, deployment Deployment, name string) error {
	for _, seed := range settings.Seeds {
		workload, err := NewWorkload(deployment, name, seed)
		if err != nil {
			return err
		}
		bound := PooledBound(workload)
		for _, candidate := range settings.Candidates {
			result := Simulate(workload, candidate)
			result.Measures.LowerBound = bound
			report.Results = append(report.Results, result)
		}
	}
	return nil
}
