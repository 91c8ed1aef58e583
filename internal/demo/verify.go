package demo

import (
	"context"
	"fmt"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// urgentStartLimit is the time within which an urgent job that fits into a guarantee must start.
	urgentStartLimit = 4700 * time.Millisecond
	// partialGangStartLimit and partialGangRunningLimit limit the time for which only a part of a gang may run before
	// and after all its members have run at the same time.
	partialGangStartLimit   = 5 * time.Second
	partialGangRunningLimit = 16 * time.Second
)

// addProblem records that a process has a wrong configuration revision. The text problem, for example lateProblem,
// stands between the wrong revision and the other one in the description.
func (watch *configWatch) addProblem(candidate *entry, revision, other fleet.Revision, problem string) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if problem == lateProblem {
		watch.lateCount++
	}
	watch.problems = append(watch.problems, fmt.Sprintf("%s at revision %d %s %d",
		candidate.vm.ID, revision, problem, other))
}

// probe submits as many urgent jobs as fit into the guarantees of the first organisation with an urgent profile that
// fits into a guarantee. It warms up first because urgentStartLimit holds only after an owner, an entry process that
// schedules the jobs of a domain, has taken over.
func (demo *Demo) probe(ctx context.Context) error {
	if err := demo.warmUp(ctx); err != nil {
		return err
	}
	for _, organisation := range demo.example.Organisations {
		if chosen, count := guaranteedUrgent(organisation); count > 0 {
			demo.submitProbes(ctx, organisation, chosen, count)
			return nil
		}
	}
	return nil
}

// guaranteedUrgent returns the first urgent profile whose gang fits into a guaranteed shape, and the number of
// guaranteed copies of the shapes into which it fits. Without such a profile the number is 0.
func guaranteedUrgent(organisation *profile.Organisation) (profile.Profile, int) {
	for _, candidate := range organisation.Profiles {
		if !candidate.IsJob() || candidate.Urgency != profile.UrgencyUrgent {
			continue
		}
		count := 0
		for _, guarantee := range organisation.Guarantees {
			if gangFits(*candidate.Shape, guarantee.Shape) {
				count += guarantee.Count
			}
		}
		if count > 0 {
			return candidate, count
		}
	}
	return profile.Profile{}, 0
}

// gangFits reports whether a gang fits into one guaranteed shape: each member of the gang must fit into a member of the
// shape.
func gangFits(gang, guaranteed fleet.Shape) bool {
	return gang.Members <= guaranteed.Members && gang.Accelerators <= guaranteed.Accelerators &&
		gang.Cores <= guaranteed.Cores && gang.Memory <= guaranteed.Memory &&
		(gang.Members == 1 || gang.Adjacency <= guaranteed.Adjacency)
}

// submitProbes submits count jobs of the chosen profile. After the run, verifyProbe checks when each of them started.
func (demo *Demo) submitProbes(
	ctx context.Context, organisation *profile.Organisation, chosen profile.Profile, count int,
) {
	for range count {
		demo.result.GuaranteeProbes++
		input := worker.Input{RunTimeMS: 500}
		job := &trackedJob{
			key: fleet.JobKey{
				Organisation: organisation.ID, Job: fleet.JobID(fmt.Sprintf("probe-%d", demo.result.GuaranteeProbes)),
			},
			profile: chosen,
			probe:   true,
		}
		demo.jobs.start(ctx, job, &callerv1.SubmitRequest{
			JobId: string(job.key.Job), Profile: string(chosen.Name), Caller: "probe", Input: input.Encode(),
		}, 0)
	}
}

// verify compares the outcomes that callers received with the records of the stand-ins and counts the violations.
func (demo *Demo) verify() {
	now := time.Now()
	result := demo.result
	record := demo.standins.WorkerRecord
	result.addViolations(&result.PartialGangs, "partial gang", record.PartialGangs(
		worker.GangBound{Start: partialGangStartLimit, Running: partialGangRunningLimit}, now))
	result.addViolations(&result.DoubleRuns, "double run", record.DoubleRuns(demo.isIdempotent))
	result.addViolations(&result.SlotsExceeded, "capacity", record.Overcommitted(now))
	result.addViolations(&result.ConfigReverts, "configuration", demo.config.problems)
	result.ConfigLate = demo.config.lateCount
	result.JobsRestarted = demo.countRestartedJobs()
	calls := demo.standins.Platform.Calls()
	result.StoreReads, result.StoreWrites = calls.Get+calls.List, calls.Swap+calls.Delete
	result.StoreWatches, result.ListReads = calls.Watch, calls.ListVMs
	demo.verifyJobs()
	demo.verifyRequests()
	demo.verifyTargets()
}

// isIdempotent reports whether the profile of a run is idempotent.
func (demo *Demo) isIdempotent(run worker.Run) bool {
	for _, organisation := range demo.example.Organisations {
		if organisation.ID != run.Key.Organisation {
			continue
		}
		chosen, ok := organisation.Profile(run.Profile)
		return ok && chosen.Idempotent
	}
	return false
}

// verifyJobs counts the outcomes of jobs and the outcomes that the records contradict.
func (demo *Demo) verifyJobs() {
	result := demo.result
	starts := map[fleet.JobKey]time.Time{}
	for _, run := range demo.standins.WorkerRecord.Runs() {
		if first, ok := starts[run.Key]; !ok || run.Start.Before(first) {
			starts[run.Key] = run.Start
		}
	}
	reported := map[fleet.JobKey]worker.ReportedOutcome{}
	for key, job := range demo.jobs.tracked {
		result.JobsSubmitted++
		switch job.outcome {
		case callerv1.Outcome_OUTCOME_COMPLETED:
			result.JobsCompleted++
		case callerv1.Outcome_OUTCOME_FAILED:
			result.JobsFailed++
		case callerv1.Outcome_OUTCOME_CANCELLED:
			result.JobsCancelled++
		case callerv1.Outcome_OUTCOME_NOT_RUN:
			result.JobsNotRun++
			result.RefusedKinds[job.kind]++
		case callerv1.Outcome_OUTCOME_UNKNOWN:
			result.JobsUnknown++
		default:
			result.addViolations(&result.LostAnswers, "no outcome", []string{key.String()})
			continue
		}
		reported[key] = worker.ReportedOutcome{Outcome: job.outcome, At: job.outcomeTime}
		demo.verifyProbe(job, starts)
	}
	result.addViolations(&result.UntrueAnswers, "untrue", demo.standins.WorkerRecord.Contradictions(reported))
}

// verifyProbe checks that a probe started within urgentStartLimit.
func (demo *Demo) verifyProbe(job *trackedJob, starts map[fleet.JobKey]time.Time) {
	if !job.probe {
		return
	}
	started, ok := starts[job.key]
	if ok && started.Sub(job.submitted) <= urgentStartLimit {
		return
	}
	wait := "never started"
	if ok {
		wait = fmt.Sprintf("started after %v", started.Sub(job.submitted).Round(time.Millisecond))
	}
	demo.result.addViolations(&demo.result.GuaranteesUnmet, "guarantee", []string{fmt.Sprintf("%s %s", job.key, wait)})
}

// verifyRequests counts the outcomes of requests, wrong answers, and second runs of requests that are not idempotent.
func (demo *Demo) verifyRequests() {
	result := demo.result
	for _, request := range demo.requests.tracked {
		result.RequestsSubmitted++
		runs := demo.standins.TargetRecord.Runs(request.targetRequestID())
		if request.mismatch != "" {
			result.addViolations(&result.UntrueAnswers, "untrue", []string{request.mismatch})
		}
		if !request.profile.Idempotent && runs.Begun > 1 {
			result.addViolations(&result.DoubleRuns, "double run",
				[]string{fmt.Sprintf("%s ran %d times", request.id, runs.Begun)})
		}
		demo.verifyOutcome(request, runs)
	}
}

// verifyOutcome counts the outcome of a request and compares it with the runs on targets.
func (demo *Demo) verifyOutcome(request *trackedRequest, runs standin.Runs) {
	result := demo.result
	untrue := func(format string, args ...any) {
		result.addViolations(&result.UntrueAnswers, "untrue", []string{request.id + " " + fmt.Sprintf(format, args...)})
	}
	switch request.outcome {
	case callerv1.Outcome_OUTCOME_COMPLETED:
		result.RequestsCompleted++
		if runs.Ended == 0 {
			untrue("was reported as completed but did not end")
		}
	case callerv1.Outcome_OUTCOME_FAILED:
		result.RequestsFailed++
		if runs.Begun == 0 {
			untrue("was reported as failed but did not run")
		}
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		result.RequestsNotRun++
		result.RefusedKinds[request.kind]++
		if runs.Begun > 0 {
			untrue("was reported as not run (%s) but ran %d times", request.kind, runs.Begun)
		}
	case callerv1.Outcome_OUTCOME_UNKNOWN:
		result.RequestsUnknown++
		result.UnknownKinds[request.kind]++
		if demo.Scenario == ScenarioRolling && request.kind != string(fault.HistoryLost) {
			result.addViolations(&result.RequestsCut, "cut off", []string{request.id + ": " + request.kind})
		}
	default:
		result.addViolations(&result.LostAnswers, "no outcome", []string{request.id})
	}
}

// verifyTargets counts the targets that received more requests or connections than their limits at the same time.
func (demo *Demo) verifyTargets() {
	for id, target := range demo.standins.Targets {
		usage := demo.standins.TargetRecord.Usage(id)
		if usage.HighestSlots > target.Slots || usage.HighestConnections > target.Connections {
			demo.result.addViolations(&demo.result.SlotsExceeded, "capacity", []string{fmt.Sprintf(
				"%s received %d requests and %d connections at the same time",
				id, usage.HighestSlots, usage.HighestConnections)})
		}
	}
}

// countRestartedJobs counts the jobs of which a lease expired although the worker did not crash. The lease expired
// because no process renewed it in time, so that the job has to start again in a new attempt.
func (demo *Demo) countRestartedJobs() int {
	lapsed := map[fleet.JobKey]bool{}
	for _, run := range demo.standins.WorkerRecord.Runs() {
		if run.State == workerv1.TaskState_TASK_STATE_LAPSED {
			lapsed[run.Key] = true
		}
	}
	return len(lapsed)
}
