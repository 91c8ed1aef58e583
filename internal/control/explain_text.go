package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// maxTextSteps and maxTextReasons keep the text to a page, and maxTextWorkers is the number of examples for a reason.
	maxTextSteps   = 3
	maxTextReasons = 12
	maxTextWorkers = 3
)

var waitTexts = map[WaitReason]string{
	WaitsForRoom:         "too little capacity is free",
	WaitsForEarlierUnits: "units that come before it take the capacity, or have it withheld for them",
	WaitsForLocality:     "there is room, but not in the rack of its data or in one rack",
	WaitsForTaskLimit:    "there is room only on workers with as many tasks of the step as they may have",
	WaitsForHeadroom:     "there is room only on workers that are kept free for urgent work",
	WaitsForSpeed:        "only workers that are too slow for its objective are free, and faster ones soon will be",
	HeldBack:             "there is room, but the plan does not start it",
	WaitsForAdvice:       "the adviser has to name the workers that may run it",
	WaitsForGangs:        "it may preempt gangs, but only after it has waited for " + gangPreemptionDelay.String(),
	WaitsForEvacuated:    "it fits only with workers of evacuated data centres",
	WaitsForUsable:       "it fits only with workers that are not usable at present",
	WaitsForRecord:       "the record of the job has no room for more placed tasks",
	StartsBlocked:        "no task starts until the store confirms the evacuations again",
	TooLarge:             "it does not fit even if all workers of the service are usable and empty",
}

var workerTexts = map[WorkerReason]string{
	WorkerChosen:         "chosen",
	WorkerNotNeeded:      "would do, but others are preferred",
	WorkerNotListed:      "not listed in the store",
	WorkerUnresponsive:   "unresponsive",
	WorkerNotSettled:     "not settled: no response to the first poll, or no entry of its incarnation",
	WorkerDraining:       "draining",
	WorkerEvacuated:      "in an evacuated data centre",
	WorkerPaused:         "paused after failures, refusals or slow runs",
	WorkerUnexpectedRuns: "has runs that are not placed there",
	WorkerIsolating:      "has a run that may have crashed other workers",
	WorkerTakenBack:      "in a data centre that was taken back just now",
	WorkerOnProbation:    "on probation after failed or slow runs",
	WorkerLacksLabel:     "without the label",
	WorkerNotAdvised:     "without a ticket of the adviser",
	WorkerOtherRack:      "not in the rack of the data",
	WorkerTooSlow:        "too slow for the objective",
	WorkerAccelerators:   "too few free accelerators",
	WorkerMillicores:     "too few free millicores",
	WorkerMemory:         "too little free memory",
	WorkerEarlierUnits:   "taken by units that come before, or withheld for them",
	WorkerHeadroom:       "kept free for urgent work",
	WorkerRackTooSmall:   "too few such workers in its rack",
	WorkersTooFew:        "has room, but too few workers have",
}

// Text returns the explanation for operators, of at most a page.
func (explanation Explanation) Text() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "profile %s, priority %d, service %s", explanation.Profile, explanation.Priority, explanation.Service)
	if explanation.Organisation != "" {
		fmt.Fprintf(text, ", organisation %s", explanation.Organisation)
	}
	fmt.Fprintf(text, "; term %d\n", explanation.Token)
	if !explanation.Due.IsZero() {
		fmt.Fprintf(text, "not due before %s; explained as if it was due now\n", explanation.Due.Format(time.RFC3339))
	}
	if len(explanation.Evacuated) > 0 {
		fmt.Fprintf(text, "evacuated data centres: %s\n", examples(explanation.Evacuated))
	}
	for i, step := range explanation.Steps {
		if i == maxTextSteps {
			break
		}
		step.write(text)
	}
	if hidden := len(explanation.Steps) - maxTextSteps + explanation.OmittedSteps; hidden > 0 {
		fmt.Fprintf(text, "%d more steps are ready at once\n", hidden)
	}
	if explanation.LaterSteps > 0 {
		fmt.Fprintf(text, "%d more steps wait for other steps of the job\n", explanation.LaterSteps)
	}
	return text.String()
}

func (step StepExplanation) write(text *strings.Builder) {
	kind := "tasks"
	if step.Gang {
		kind = "tasks as a gang"
	}
	fmt.Fprintf(text, "step %d: %d %s, %s, waiting units before it: %d\n", step.Step, step.Tasks, kind, rankText(step.Rank),
		step.UnitsBefore)
	if n := step.Starting.Units; n > 0 {
		fmt.Fprintf(text, "  would start now: %s on %s\n", step.units(n), examples(step.Starting.Workers))
	}
	if n := step.Claiming.Units; n > 0 {
		fmt.Fprintf(text, "  would preempt: %s on %s; %d runs stop and lose %s of accelerator time\n", step.units(n),
			examples(step.Claiming.Workers), step.Claiming.Runs, time.Duration(step.Claiming.LostMS)*time.Millisecond)
	}
	if step.Waiting > 0 {
		fmt.Fprintf(text, "  would wait: %s", step.units(step.Waiting))
		if step.WaitsFor != "" {
			fmt.Fprintf(text, "; %s: %s", step.WaitsFor, waitTexts[step.WaitsFor])
		}
		if step.Withheld {
			text.WriteString("; capacity is withheld for it")
		}
		text.WriteString("\n")
	}
	if step.Workers != nil && len(step.Workers) == 0 {
		text.WriteString("  the service has no workers\n")
	}
	for i, group := range step.Workers {
		if i == maxTextReasons {
			fmt.Fprintf(text, "  and %d other reasons\n", len(step.Workers)-maxTextReasons)
			break
		}
		fmt.Fprintf(text, "  %6d  %s: %s\n", len(group.Workers), workerTexts[group.Reason], examples(group.Workers))
	}
}

// units returns how many units are meant, in words.
func (step StepExplanation) units(count int) string {
	if step.Gang {
		return "the gang"
	}
	return fmt.Sprintf("%d of %d tasks", count, step.Tasks)
}

func rankText(rank int) string {
	switch rank {
	case guaranteedRank:
		return "rank of work within its guarantee"
	case lastRank:
		return "last rank: too late to be of use"
	}
	return fmt.Sprintf("rank %d", rank)
}

// examples returns the first ids of a list. Ids of the platform can be long, and each is cut.
func examples[ID fleet.WorkerID | fleet.DataCentreID](ids []ID) string {
	const maxID = 40
	var shown []string
	for _, id := range ids {
		if len(shown) == maxTextWorkers {
			shown = append(shown, "...")
			break
		}
		shown = append(shown, fmt.Sprintf("%.*s", maxID, string(id)))
	}
	return strings.Join(shown, ", ")
}
