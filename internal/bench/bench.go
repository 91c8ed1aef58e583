// Package bench is the policy benchmark: it drives a scheduler over fake workers on a virtual clock, checks
// invariants from its own record, and compares measures with baselines and a lower bound.
package bench

import (
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Candidate is a scheduler under test.
type Candidate struct {
	Name string
	// New returns a fresh scheduler without state.
	New func() scheduler.Scheduler
}

// Settings selects what Run measures. Empty lists select everything.
type Settings struct {
	// Candidates are compared with each other on the same workloads; empty selects Candidates().
	Candidates  []Candidate
	Deployments []string
	Workloads   []string
	Seeds       []uint64
	// Output is the directory of report.json, report.md and the plots; empty writes nothing.
	Output string
}

// DefaultSeeds are the seeds of Run and of the tests.
var DefaultSeeds = []uint64{1, 2, 3}

// Candidates returns the core and the baselines.
func Candidates() []Candidate {
	return append([]Candidate{Core()}, Baselines()...)
}

// Run measures every selected candidate on every selected workload and writes the reports. It returns an error
// for an unknown name and when a report cannot be written.
func Run(settings Settings) (Report, error) {
	settings = settings.withDefaults()
	report := Report{}
	for _, name := range settings.Deployments {
		deployment, ok := findDeployment(name)
		if !ok {
			return Report{}, errors.Errorf("deployment %q is none of %v", name, DeploymentNames())
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
