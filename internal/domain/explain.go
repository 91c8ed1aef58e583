package domain

import "github.com/quetzalstall/quetzalstall/pkg/fleet"

// explain returns the state of a job, followed by the reasons for that state. It returns nil if the job is not in the
// owner's state. Without a job id, it returns the core's explanation of the organisation.
func (owner *owner) explain(key fleet.JobKey) []string {
	if key.Job == "" {
		return owner.core.ExplainOrganisation(key.Organisation)
	}
	job := owner.jobs[key]
	if job == nil {
		return nil
	}
	lines := []string{job.phase.String()}
	switch job.phase {
	case phaseRecovering:
		return append(lines, "the new owner is checking whether an attempt is running")
	case phaseAwaitingStore:
		return append(lines, "waits for the store")
	case phaseDone:
		return append(lines, "ended; the end is being written")
	}
	if job.record.CancelRequested {
		lines = append(lines, "cancelled; waits until every member has stopped")
	}
	if !owner.settled {
		lines = append(lines, "the owner is taking over the domain")
	}
	return append(lines, owner.core.Explain(key)...)
}

func (owner *owner) countPhase(wanted phase) int {
	count := 0
	for _, job := range owner.jobs {
		if job.phase == wanted {
			count++
		}
	}
	return count
}

// dump returns the state of the owner for Service.Dump.
func (owner *owner) dump() any {
	phases := make(map[string]int)
	for _, job := range owner.jobs {
		phases[job.phase.String()]++
	}
	return map[string]any{
		"tag":              owner.termID,
		"since":            owner.termStart,
		"settled":          owner.settled,
		"jobs_by_phase":    phases,
		"unsaved":          len(owner.unsaved),
		"unmatched_leases": len(owner.unmatched),
		"scheduler":        owner.core.Dump(),
	}
}
