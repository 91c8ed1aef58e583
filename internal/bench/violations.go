package bench

import (
	"fmt"

	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Rules that the record checks, as used in Violation.
const (
	// RuleDoubleGrant is violated by a placement on a worker with too few free accelerators, cores or memory.
	RuleDoubleGrant = "capacity_granted_twice"
	// RulePartialGang is violated by a placement that is not the whole gang or whose members are not adjacent.
	RulePartialGang = "partial_gang"
	// RuleUnusableWorker is violated by a placement on a worker that is unknown, terminated, reported lost, leaving, in
	// quarantine or in an evacuated data centre.
	RuleUnusableWorker = "unusable_worker"
	// RuleAtMostOnce is violated by another placement of a non-idempotent job that may have run, unless the job resumes
	// from a confirmed checkpoint of its last run.
	RuleAtMostOnce = "non_idempotent_started_twice"
	// RuleGuarantee is violated when a requested guaranteed shape does not run within its time limit.
	RuleGuarantee = "guarantee_not_reclaimed"
	// RuleUnreclaimable is violated when non-preemptible work leaves too little capacity for the guarantees of
	// others.
	RuleUnreclaimable = "guarantee_unreclaimable"
	// RuleVerdict is violated by a verdict, the final decision about a job, that the job's history does not permit, and
	// by a refusal of a feasible job as infeasible.
	RuleVerdict = "wrong_verdict"
	// RuleProtocol is violated by a decision that is not valid in the job's state, and by a scheduler whose NextWake is
	// repeatedly in the past.
	RuleProtocol = "decision_out_of_order"
	// RuleQuarantine is violated when more than a tenth of the fleet is in quarantine.
	RuleQuarantine = "quarantine_too_large"
	// RuleUnfinished is violated by a job that has no verdict at the end of the simulation, that is after maxWindows
	// windows at the latest.
	RuleUnfinished = "job_never_ends"
)

const (
	// maxViolations is the number of violations that are kept with their details.
	maxViolations = 50
	// quarantineDivisor is the inverse of the largest share of the fleet that may be in quarantine.
	quarantineDivisor = 10
)

// Violation is a breach of one of the rules above by the scheduler under simulation.
type Violation struct {
	Rule string `json:"rule"`
	// After is the virtual time since the start.
	After  profile.Duration `json:"after"`
	Detail string           `json:"detail"`
}

// addViolation counts a violation of a rule and keeps its details up to maxViolations.
func (record *record) addViolation(rule, format string, args ...any) {
	record.violationsByRule[rule]++
	if len(record.violations) < maxViolations {
		after := profile.Duration(record.now.Sub(epoch))
		record.violations = append(record.violations, Violation{rule, after, fmt.Sprintf(format, args...)})
	}
}
