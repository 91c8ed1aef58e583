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
	// urgentBound is the time in which urgent work inside a guarantee starts.
	urgentBound = 4700 * time.Millisecond
	// gangStart and gangRunning are the bounds in which members of a gang may be in different states.
	gangStart   = 5 * time.Second
	gangRunning = 16 * time.Second
)

func (watch *configWatch) report(candidate *entry, revision, other fleet.Revision, what string) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if what == lateWord {
		watch.lateCount++
	}
	watch.problems = append(watch.problems, fmt.Sprintf("%s at revision %d %s %d", candidate.vm.ID, revision, what, other))
}

// probe submits as many urgent jobs as fit into the guarantee of the first organisation that has an urgent profile.
// The bound holds with an owner that has taken over, so one is awaited.
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

// guaranteedUrgent returns an urgent profile and how many of its gangs fit into guaranteed shapes, one in each.
func guaranteedUrgent(organisation *profile.Organisation) (profile.Profile, int) {
	for _, candidate := range organisation.Profiles {
		if !candidate.IsJob() || candidate.Urgency != profile.UrgencyUrgent {
			continue
		}
		count := 0
		for _, guarantee := range organisation.Guarantees {
			if fits(*candidate.Shape, guarantee.Shape) {
				count += guarantee.Count
			}
		}
		if count > 0 {
			return candidate, count
		}
	}
	return profile.Profile{}, 0
}

// fits reports whether a gang fits into one guaranteed shape, member by member.
func fits(gang, guaranteed fleet.Shape) bool {
	return gang.Members <= guaranteed.Members && gang.Accelerators <= guaranteed.Accelerators &&
		gang.Cores <= guaranteed.Cores && gang.Memory <= guaranteed.Memory &&
		(gang.Members == 1 || gang.Adjacency <= guaranteed.Adjacency)
}

func (demo *Demo) submitProbes(ctx context.Context, organisation *profile.Organisation, chosen profile.Profile, count int) {
	for range count {
		demo.result.GuaranteeProbes++
		input := worker.Input{RunTimeMS: 500}
		job := &toldJob{
			key:     fleet.JobKey{Organisation: organisation.ID, Job: fleet.JobID(fmt.Sprintf("probe-%d", demo.result.GuaranteeProbes))},
			profile: chosen,
			probe:   true,
		}
		demo.jobs.start(ctx, job, &callerv1.SubmitRequest{
			JobId: string(job.key.Job), Profile: string(chosen.Name), Caller: "probe", Input: input.Encode(),
		}, 0)
	}
}

// judge compares what callers were told with the stand-ins' record.
func (demo *Demo) judge() {
	now := time.Now()
	result := demo.result
	record := demo.standins.WorkerRecord
	result.add(&result.PartialGangs, "partial gang", record.PartialGangs(worker.GangBound{Start: gangStart, Running: gangRunning}, now))
	result.add(&result.DoubleRuns, "double run", record.DoubleRuns(demo.isIdempotent))
	result.add(&result.SlotsExceeded, "capacity", record.Overcommitted(now))
	result.add(&result.ConfigReverts, "configuration", demo.config.problems)
	result.ConfigLate = demo.config.lateCount
	result.JobsRestarted = demo.restarted()
	calls := demo.standins.Platform.Calls()
	result.StoreReads, result.StoreWrites = calls.Get+calls.List, calls.Swap+calls.Delete
	result.StoreWatches, result.ListReads = calls.Watch, calls.ListVMs
	demo.judgeJobs()
	demo.judgeRequests()
	demo.judgeTargets()
}

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

func (demo *Demo) judgeJobs() {
	result := demo.result
	starts := map[fleet.JobKey]time.Time{}
	for _, run := range demo.standins.WorkerRecord.Runs() {
		if first, ok := starts[run.Key]; !ok || run.Start.Before(first) {
			starts[run.Key] = run.Start
		}
	}
	told := map[fleet.JobKey]worker.ReportedOutcome{}
	for key, job := range demo.jobs.told {
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
			result.add(&result.LostAnswers, "no outcome", []string{key.String()})
			continue
		}
		told[key] = worker.ReportedOutcome{Outcome: job.outcome, At: job.toldAt}
		demo.judgeProbe(job, starts)
	}
	result.add(&result.UntrueAnswers, "untrue", demo.standins.WorkerRecord.Contradictions(told))
}

func (demo *Demo) judgeProbe(job *toldJob, starts map[fleet.JobKey]time.Time) {
	if !job.probe {
		return
	}
	started, ok := starts[job.key]
	if ok && started.Sub(job.submitted) <= urgentBound {
		return
	}
	wait := "never started"
	if ok {
		wait = fmt.Sprintf("started after %v", started.Sub(job.submitted).Round(time.Millisecond))
	}
	demo.result.add(&demo.result.GuaranteesUnmet, "guarantee", []string{fmt.Sprintf("%s %s", job.key, wait)})
}

func (demo *Demo) judgeRequests() {
	result := demo.result
	for _, request := range demo.requests.told {
		result.RequestsSubmitted++
		runs := demo.standins.TargetRecord.Runs(request.wireID())
		if request.mismatch != "" {
			result.add(&result.UntrueAnswers, "untrue", []string{request.mismatch})
		}
		if !request.profile.Idempotent && runs.Begun > 1 {
			result.add(&result.DoubleRuns, "double run", []string{fmt.Sprintf("%s ran %d times", request.id, runs.Begun)})
		}
		demo.judgeOutcome(request, runs)
	}
}

func (demo *Demo) judgeOutcome(request *toldRequest, runs standin.Runs) {
	result := demo.result
	untrue := func(format string, args ...any) {
		result.add(&result.UntrueAnswers, "untrue", []string{request.id + " " + fmt.Sprintf(format, args...)})
	}
	switch request.outcome {
	case callerv1.Outcome_OUTCOME_COMPLETED:
		result.RequestsCompleted++
		if runs.Ended == 0 {
			untrue("was told completed but did not end")
		}
	case callerv1.Outcome_OUTCOME_FAILED:
		result.RequestsFailed++
		if runs.Begun == 0 {
			untrue("was told failed but did not run")
		}
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		result.RequestsNotRun++
		result.RefusedKinds[request.kind]++
		if runs.Begun > 0 {
			untrue("was told not run (%s) but ran %d times", request.kind, runs.Begun)
		}
	case callerv1.Outcome_OUTCOME_UNKNOWN:
		result.RequestsUnknown++
		result.UnknownKinds[request.kind]++
		if demo.Scenario == ScenarioRolling && request.kind != string(fault.HistoryLost) {
			result.add(&result.RequestsCut, "cut off", []string{request.id + ": " + request.kind})
		}
	default:
		result.add(&result.LostAnswers, "no outcome", []string{request.id})
	}
}

// judgeTargets counts the targets that saw more than their slots or connections.
func (demo *Demo) judgeTargets() {
	for id, target := range demo.standins.Targets {
		usage := demo.standins.TargetRecord.Usage(id)
		if usage.HighestSlots > target.Slots || usage.HighestConnections > target.Connections {
			demo.result.add(&demo.result.SlotsExceeded, "capacity", []string{fmt.Sprintf("%s saw %d slots and %d connections",
				id, usage.HighestSlots, usage.HighestConnections)})
		}
	}
}

// restarted counts the jobs that began a new attempt after one that was lost without a failure of a machine: its
// leases lapsed, so no process had found it again in time.
func (demo *Demo) restarted() int {
	lapsed := map[fleet.JobKey]bool{}
	for _, run := range demo.standins.WorkerRecord.Runs() {
		if run.State == workerv1.TaskState_TASK_STATE_LAPSED {
			lapsed[run.Key] = true
		}
	}
	return len(lapsed)
}
