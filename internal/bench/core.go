package bench

import "github.com/quetzalstall/quetzalstall/pkg/scheduler"

// CandidateCore is the name of the project's scheduler core.
const CandidateCore = "core"

// Core returns the project's scheduler core.
func Core() Candidate {
	return Candidate{Name: CandidateCore, New: func() scheduler.Scheduler {
		return scheduler.NewCore(scheduler.Settings{})
	}}
}
