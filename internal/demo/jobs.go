package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// callTimeout is the timeout of one call, or of one edit of the configuration, that the demo sends to an entry
	// process.
	callTimeout = 5 * time.Second
	// pollInterval is the time between two polls of a status, and between two attempts of a call.
	pollInterval = 300 * time.Millisecond
	// maxSubmitAttempts is the number of times that a caller sends a submission whose outcome remains unknown.
	maxSubmitAttempts = 20
)

// trackedJob is one job and the information that its caller has received about it.
type trackedJob struct {
	key       fleet.JobKey
	profile   profile.Profile
	submitted time.Time
	// accepted is true once a process has accepted a submission of the job.
	accepted bool
	// outcome is the outcome that the caller received at outcomeTime; UNSPECIFIED until then.
	outcome     callerv1.Outcome
	outcomeTime time.Time
	// kind is the error kind of a refused submission; for an accepted job it is the reason in its status.
	kind string
	// probe is true for a job that must start within urgentStartLimit because it fits into a guarantee.
	probe bool
}

// jobLoad submits jobs and polls the status of each one until it has ended.
type jobLoad struct {
	balancer *balancer
	clock    func() time.Time

	mu      sync.Mutex
	tracked map[fleet.JobKey]*trackedJob
	wait    sync.WaitGroup
}

func newJobLoad(balancer *balancer) *jobLoad {
	return &jobLoad{balancer: balancer, clock: time.Now, tracked: map[fleet.JobKey]*trackedJob{}}
}

// start submits a job in the background and polls its status until it has ended or ctx ends.
func (load *jobLoad) start(
	ctx context.Context, job *trackedJob, request *callerv1.SubmitRequest, cancelAfter time.Duration,
) {
	job.submitted = load.clock()
	job.outcome = callerv1.Outcome_OUTCOME_UNSPECIFIED
	load.mu.Lock()
	load.tracked[job.key] = job
	load.mu.Unlock()
	load.wait.Add(1)
	go func() {
		defer load.wait.Done()
		ctx := withOrganisation(ctx, job.key.Organisation)
		if !load.submit(ctx, job, request) {
			return
		}
		load.follow(ctx, job, cancelAfter)
	}()
}

// submit repeats the submission until it is accepted or refused, for maxSubmitAttempts attempts at most. It returns
// true if the job may run: the submission was accepted, or its outcome is unknown after the last attempt. It returns
// false if the submission was refused, or if there was no ready process or ctx ended before an attempt.
func (load *jobLoad) submit(ctx context.Context, job *trackedJob, request *callerv1.SubmitRequest) bool {
	for range maxSubmitAttempts {
		client, ok := load.balancer.pick()
		if !ok || ctx.Err() != nil {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := client.caller.Submit(callCtx, connect.NewRequest(request))
		cancel()
		if err == nil {
			load.update(func() { job.accepted = true })
			return true
		}
		if kind, proven := refusalKind(err); proven {
			load.recordOutcome(job, callerv1.Outcome_OUTCOME_NOT_RUN, kind)
			return false
		}
		_ = lifecycle.Sleep(ctx, pollInterval)
	}
	return true
}

// refusalKind returns the error kind of a refused call and whether this kind guarantees that nothing ran.
func refusalKind(err error) (string, bool) {
	var connectError *connect.Error
	if !errors.As(err, &connectError) {
		return "", false
	}
	kind := connectError.Meta().Get(errorKindHeader)
	if kind == "" {
		return "", false
	}
	return kind, fault.AnswerFor(fault.Kind(kind)).Effect == fault.EffectNotRun
}

// follow polls the status until the job has ended, and cancels the job after cancelAfter unless that is 0.
func (load *jobLoad) follow(ctx context.Context, job *trackedJob, cancelAfter time.Duration) {
	started := load.clock()
	cancelled := cancelAfter == 0
	for ctx.Err() == nil {
		if client, ok := load.balancer.pick(); ok {
			if !cancelled && load.clock().Sub(started) > cancelAfter {
				cancelled = load.cancel(ctx, client, job)
			}
			if load.pollOutcome(ctx, client, job) {
				return
			}
		}
		_ = lifecycle.Sleep(ctx, pollInterval)
	}
}

// cancel requests the cancellation of a job at a process and reports whether the process accepted the request.
func (load *jobLoad) cancel(ctx context.Context, client callerClient, job *trackedJob) bool {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	_, err := client.caller.Cancel(ctx, connect.NewRequest(&callerv1.CancelRequest{JobId: string(job.key.Job)}))
	return err == nil
}

// pollOutcome requests the status of a job once, records its outcome if the job has ended, and reports whether it has.
func (load *jobLoad) pollOutcome(ctx context.Context, client callerClient, job *trackedJob) bool {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	response, err := client.caller.Status(ctx, connect.NewRequest(&callerv1.StatusRequest{JobId: string(job.key.Job)}))
	if err != nil {
		return false
	}
	outcome := response.Msg.Outcome
	if outcome == callerv1.Outcome_OUTCOME_PENDING || outcome == callerv1.Outcome_OUTCOME_UNSPECIFIED {
		return false
	}
	load.recordOutcome(job, outcome, response.Msg.Reason)
	return true
}

// recordOutcome stores the outcome that the caller of a job received.
func (load *jobLoad) recordOutcome(job *trackedJob, outcome callerv1.Outcome, kind string) {
	load.update(func() {
		job.outcome = outcome
		job.kind = kind
		job.outcomeTime = load.clock()
	})
}

// update runs change with the lock held.
func (load *jobLoad) update(change func()) {
	load.mu.Lock()
	defer load.mu.Unlock()
	change()
}

// countPending returns the number of jobs without an outcome.
func (load *jobLoad) countPending() int {
	load.mu.Lock()
	defer load.mu.Unlock()
	count := 0
	for _, job := range load.tracked {
		if job.outcome == callerv1.Outcome_OUTCOME_UNSPECIFIED {
			count++
		}
	}
	return count
}

// countCompleted returns the number of completed jobs whose ids start with prefix.
func (load *jobLoad) countCompleted(prefix string) int {
	load.mu.Lock()
	defer load.mu.Unlock()
	count := 0
	for key, job := range load.tracked {
		if job.outcome == callerv1.Outcome_OUTCOME_COMPLETED && strings.HasPrefix(string(key.Job), prefix) {
			count++
		}
	}
	return count
}

// jobGenerator generates random jobs for the organisations of a deployment.
type jobGenerator struct {
	random        *rand.Rand
	organisations []*profile.Organisation
	// count is the number of generated jobs.
	count int
}

// next returns a job of a random organisation and job profile.
func (generator *jobGenerator) next() (*trackedJob, *callerv1.SubmitRequest) {
	organisation := generator.organisations[generator.random.IntN(len(generator.organisations))]
	var profiles []profile.Profile
	for _, candidate := range organisation.Profiles {
		if candidate.IsJob() {
			profiles = append(profiles, candidate)
		}
	}
	return generator.newJob(organisation, profiles[generator.random.IntN(len(profiles))])
}

// newJob returns a job of the chosen profile that runs for 0.3 to 3 s. Its declared run time is often wrong: it is
// between 0.1 and 5.1 times the real one.
func (generator *jobGenerator) newJob(
	organisation *profile.Organisation, chosen profile.Profile,
) (*trackedJob, *callerv1.SubmitRequest) {
	generator.count++
	runTime := time.Duration(300+generator.random.IntN(2700)) * time.Millisecond
	input := worker.Input{
		RunTimeMS:         runTime.Milliseconds(),
		Fails:             generator.random.IntN(50) == 0,
		IgnoresCheckpoint: generator.random.IntN(20) == 0,
	}
	job := &trackedJob{
		key: fleet.JobKey{
			Organisation: organisation.ID, Job: fleet.JobID(fmt.Sprintf("job-%04d", generator.count)),
		},
		profile: chosen,
	}
	return job, &callerv1.SubmitRequest{
		JobId:            string(job.key.Job),
		Profile:          string(chosen.Name),
		Caller:           fmt.Sprintf("caller-%d", generator.random.IntN(5)),
		Input:            input.Encode(),
		DeclaredRunTimeS: runTime.Seconds() * (0.1 + 5*generator.random.Float64()),
	}
}
