package bench

import "github.com/quetzalstall/quetzalstall/pkg/scheduler"

// CandidateCore names the project's own scheduler.
const CandidateCore = "core"

// Core returns the project's own scheduler.
func Core() Candidate {
	return Candidate{Name: CandidateCore, New: func() scheduler.Scheduler {
		return scheduler.NewCore(scheduler.Settings{})
	}}
}
