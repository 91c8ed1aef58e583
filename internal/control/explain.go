package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Explanation tells where a job that is not submitted would go if it was accepted now, and why.
type Explanation struct {
	Token        int64                `json:"token"`
	Profile      fleet.ProfileName    `json:"profile"`
	Organisation fleet.OrganisationID `json:"organisation,omitempty"`
	Priority     workload.Priority    `json:"priority"`
	Service      fleet.ServiceName    `json:"service"`
	// Due is the time of the first occurrence if that is in the future. The job is explained as if it was due now.
	Due time.Time `json:"due,omitzero"`
	// StartsBlocked is set while no task starts because the evacuations have not been confirmed lately.
	StartsBlocked bool                 `json:"starts_blocked"`
	Evacuated     []fleet.DataCentreID `json:"evacuated"`
	// Steps are the first steps that are ready at once, in the order in which the plan considers them. OmittedSteps is
	// the number of the other ones that are ready, and LaterSteps of those that wait for other steps of the job.
	Steps        []StepExplanation `json:"steps"`
	OmittedSteps int               `json:"omitted_steps"`
	LaterSteps   int               `json:"later_steps"`
}

// StepExplanation is what a plan would do now with the units of a step. A unit is one task or a whole gang.
type StepExplanation struct {
	Step  int  `json:"step"`
	Tasks int  `json:"tasks"`
	Gang  bool `json:"gang"`
	// Rank is the rank of the step in the order of the plan, in which lower ranks come first. UnitsBefore is the number of
	// waiting units that come before it.
	Rank        int `json:"rank"`
	UnitsBefore int `json:"units_before"`
	// Starting are the units that would start at once, and Claiming those for which runs would be preempted.
	Starting Placed  `json:"starting"`
	Claiming Claimed `json:"claiming"`
	// Waiting is the number of the other units, and WaitsFor why the first of them would wait. Withheld is set if capacity
	// would be withheld from later units for it.
	Waiting  int        `json:"waiting"`
	WaitsFor WaitReason `json:"waits_for,omitempty"`
	Withheld bool       `json:"withheld"`
	// Workers are the workers of the service by what the plan makes of them. They are listed for the first steps only.
	Workers []WorkerGroup `json:"workers"`
}

// Placed counts units with the distinct workers for their tasks.
type Placed struct {
	Units   int              `json:"units"`
	Workers []fleet.WorkerID `json:"workers"`
}

// Claimed are units for which runs would be preempted.
type Claimed struct {
	Placed
	// Runs are the runs that would be stopped, and LostMS the accelerator time that they would lose.
	Runs   int   `json:"runs"`
	LostMS int64 `json:"lost_ms"`
}

// WorkerGroup is the workers of a service for which a plan has the same reason.
type WorkerGroup struct {
	Reason  WorkerReason     `json:"reason"`
	Workers []fleet.WorkerID `json:"workers"`
}

// WaitReason is why a unit would wait.
type WaitReason string

// The reasons to wait.
const (
	// WaitsForRoom means that too little capacity is free.
	WaitsForRoom WaitReason = "room"
	// WaitsForEarlierUnits means that units which come before it take the capacity, or have it withheld for them.
	WaitsForEarlierUnits WaitReason = "earlier_units"
	// WaitsForLocality means that there is room, but not in the rack of the data or in one rack.
	WaitsForLocality WaitReason = "locality"
	// WaitsForTaskLimit means that there is room only on workers with as many tasks of the step as they may have.
	WaitsForTaskLimit WaitReason = "max_per_worker"
	// WaitsForHeadroom means that there is room only on workers that are kept free for urgent work.
	WaitsForHeadroom WaitReason = "headroom"
	// WaitsForSpeed means that only workers are free on which the unit misses its objective, and others soon will be.
	WaitsForSpeed WaitReason = "speed"
	// HeldBack means that the plan does not start the unit although it fits, for another reason than those listed here.
	HeldBack WaitReason = "held_back"
	// WaitsForAdvice means that the adviser has to name the workers that may run the step.
	WaitsForAdvice WaitReason = "advice"
	// WaitsForGangs means that the unit may preempt members of gangs, but not at once; see gangPreemptionDelay.
	WaitsForGangs WaitReason = "gang_preemption"
	// WaitsForEvacuated means that the unit fits only with workers of evacuated data centres.
	WaitsForEvacuated WaitReason = "evacuated"
	// WaitsForUsable means that the unit fits only with workers that are not usable for other reasons.
	WaitsForUsable WaitReason = "usable_workers"
	// WaitsForRecord means that the record of the job has no room for more placed tasks.
	WaitsForRecord WaitReason = "record"
	// StartsBlocked means that no task starts because the evacuations have not been confirmed lately.
	StartsBlocked WaitReason = "starts_blocked"
	// TooLarge means that the unit does not fit even if all workers of the service were usable and empty.
	TooLarge WaitReason = "too_large"
)

// WorkerReason is what a plan makes of a worker.
type WorkerReason string

// The reasons for which a worker is chosen or left out.
const (
	WorkerChosen    WorkerReason = "chosen"
	WorkerNotNeeded WorkerReason = "not_needed"

	WorkerNotListed      WorkerReason = "not_listed"
	WorkerUnresponsive   WorkerReason = "unresponsive"
	WorkerNotSettled     WorkerReason = "not_settled"
	WorkerDraining       WorkerReason = "draining"
	WorkerEvacuated      WorkerReason = "evacuated"
	WorkerPaused         WorkerReason = "paused"
	WorkerUnexpectedRuns WorkerReason = "unexpected_runs"
	WorkerIsolating      WorkerReason = "isolating"
	WorkerTakenBack      WorkerReason = "taken_back"
	WorkerOnProbation    WorkerReason = "on_probation"

	WorkerLacksLabel   WorkerReason = "label"
	WorkerNotAdvised   WorkerReason = "not_advised"
	WorkerOtherRack    WorkerReason = "other_rack"
	WorkerTooSlow      WorkerReason = "too_slow"
	WorkerAccelerators WorkerReason = "accelerators"
	WorkerMillicores   WorkerReason = "millicores"
	WorkerMemory       WorkerReason = "memory"
	WorkerEarlierUnits WorkerReason = "earlier_units"
	WorkerHeadroom     WorkerReason = "headroom"
	WorkerRackTooSmall WorkerReason = "rack_too_small"
	WorkersTooFew      WorkerReason = "too_few"
)

// The reasons for which there is no explanation.
var (
	// ErrNoTerm means that this process does not hold the term.
	ErrNoTerm = errors.New("this process does not hold the term")
	// ErrTooManyExplanations means that another explanation was computed less than explanationInterval ago.
	ErrTooManyExplanations = errors.New("another explanation was computed just before")
)

// explanationInterval is the minimum interval between two explanations, each of which takes as long as a plan.
const explanationInterval = 100 * time.Millisecond

// explanationLimit limits the rate of explanations. Its zero value is ready for use.
type explanationLimit struct {
	mu sync.Mutex
	// next is the earliest time of the next explanation. It is valid if limited is set.
	next    time.Duration
	limited bool
}

// allow reports whether an explanation may be computed at a time, and counts it.
func (limit *explanationLimit) allow(now time.Duration) bool {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	if limit.limited && now < limit.next {
		return false
	}
	limit.limited, limit.next = true, now+explanationInterval
	return true
}

// Explain tells what a plan would do now with a job that has been checked like a submission. The job is not submitted,
// and nothing changes. The error is ErrNoTerm, ErrTooManyExplanations or that of ctx.
func (controller *Controller) Explain(ctx context.Context, asked workload.Job) (Explanation, error) {
	loop := controller.current.Load()
	if loop == nil {
		return Explanation{}, ErrNoTerm
	}
	if !controller.explanations.allow(controller.Clock()) {
		return Explanation{}, ErrTooManyExplanations
	}
	result := make(chan Explanation, 1)
	loop.post(func(loop *dispatcher) {
		if ctx.Err() == nil {
			result <- loop.explain(asked)
		}
	})
	select {
	case explanation := <-result:
		return explanation, nil
	case <-ctx.Done():
		return Explanation{}, ctx.Err()
	case <-loop.ctx.Done():
		return Explanation{}, ErrNoTerm
	}
}
