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
	// callTimeout bounds one call of a caller.
	callTimeout = 5 * time.Second
	// pollInterval is the time between two questions for a job's status.
	pollInterval = 300 * time.Millisecond
	// submitTries bounds how often a caller repeats a submission whose fate it does not know.
	submitTries = 20
)

// toldJob is one job as its caller knows it.
type toldJob struct {
	key       fleet.JobKey
	profile   profile.Profile
	submitted time.Time
	// accepted is true when a submission was answered with success.
	accepted bool
	outcome  callerv1.Outcome
	toldAt   time.Time
	kind     string
	// probe is true for a job that must start within the bound of its guarantee.
	probe bool
}

// jobLoad submits jobs and follows each one to its end.
type jobLoad struct {
	balancer *balancer
	clock    func() time.Time

	mu   sync.Mutex
	told map[fleet.JobKey]*toldJob
	wait sync.WaitGroup
}

func newJobLoad(balancer *balancer) *jobLoad {
	return &jobLoad{balancer: balancer, clock: time.Now, told: map[fleet.JobKey]*toldJob{}}
}

// start submits a job in the background and follows it until ctx ends.
func (load *jobLoad) start(ctx context.Context, job *toldJob, request *callerv1.SubmitRequest, cancelAfter time.Duration) {
	job.submitted = load.clock()
	job.outcome = callerv1.Outcome_OUTCOME_UNSPECIFIED
	load.mu.Lock()
	load.told[job.key] = job
	load.mu.Unlock()
	load.wait.Add(1)
	go func() {
		defer load.wait.Done()
		ctx := as(ctx, job.key.Organisation)
		if !load.submit(ctx, job, request) {
			return
		}
		load.follow(ctx, job, cancelAfter)
	}()
}

// submit repeats the submission until its fate is known, and reports whether the job was accepted.
func (load *jobLoad) submit(ctx context.Context, job *toldJob, request *callerv1.SubmitRequest) bool {
	for range submitTries {
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
		if kind, proven := refusal(err); proven {
			load.tell(job, callerv1.Outcome_OUTCOME_NOT_RUN, kind)
			return false
		}
		_ = lifecycle.Sleep(ctx, pollInterval)
	}
	return true
}

// refusal returns the kind of a refusal and whether it proves that nothing ran.
func refusal(err error) (string, bool) {
	var connectError *connect.Error
	if !errors.As(err, &connectError) {
		return "", false
	}
	kind := connectError.Meta().Get(kindHeader)
	if kind == "" {
		return "", false
	}
	return kind, fault.AnswerFor(fault.Kind(kind)).Effect == fault.EffectNotRun
}

// follow asks for the status until the job has ended, and cancels it once if cancelAfter is not 0.
func (load *jobLoad) follow(ctx context.Context, job *toldJob, cancelAfter time.Duration) {
	began := load.clock()
	cancelled := cancelAfter == 0
	for ctx.Err() == nil {
		if client, ok := load.balancer.pick(); ok {
			if !cancelled && load.clock().Sub(began) > cancelAfter {
				cancelled = load.cancel(ctx, client, job)
			}
			if load.ask(ctx, client, job) {
				return
			}
		}
		_ = lifecycle.Sleep(ctx, pollInterval)
	}
}

func (load *jobLoad) cancel(ctx context.Context, client callerClient, job *toldJob) bool {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	_, err := client.caller.Cancel(ctx, connect.NewRequest(&callerv1.CancelRequest{JobId: string(job.key.Job)}))
	return err == nil
}

// ask asks once for the status and reports whether the job has ended.
func (load *jobLoad) ask(ctx context.Context, client callerClient, job *toldJob) bool {
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
	load.tell(job, outcome, response.Msg.Reason)
	return true
}

func (load *jobLoad) tell(job *toldJob, outcome callerv1.Outcome, kind string) {
	load.update(func() {
		job.outcome = outcome
		job.kind = kind
		job.toldAt = load.clock()
	})
}

func (load *jobLoad) update(change func()) {
	load.mu.Lock()
	defer load.mu.Unlock()
	change()
}

// pending returns the number of jobs whose callers still wait.
func (load *jobLoad) pending() int {
	load.mu.Lock()
	defer load.mu.Unlock()
	count := 0
	for _, job := range load.told {
		if job.outcome == callerv1.Outcome_OUTCOME_UNSPECIFIED {
			count++
		}
	}
	return count
}

// completedWith returns the number of jobs that have completed and whose ids start with prefix.
func (load *jobLoad) completedWith(prefix string) int {
	load.mu.Lock()
	defer load.mu.Unlock()
	count := 0
	for key, job := range load.told {
		if job.outcome == callerv1.Outcome_OUTCOME_COMPLETED && strings.HasPrefix(string(key.Job), prefix) {
			count++
		}
	}
	return count
}

// jobMaker draws jobs of a deployment.
type jobMaker struct {
	random        *rand.Rand
	organisations []*profile.Organisation
	made          int
}

// next returns a job of a random organisation and profile; the declared run time is often wrong.
func (maker *jobMaker) next() (*toldJob, *callerv1.SubmitRequest) {
	organisation := maker.organisations[maker.random.IntN(len(maker.organisations))]
	var profiles []profile.Profile
	for _, candidate := range organisation.Profiles {
		if candidate.IsJob() {
			profiles = append(profiles, candidate)
		}
	}
	return maker.of(organisation, profiles[maker.random.IntN(len(profiles))])
}

// of returns a job of one profile that runs for 0.3 to 3 s.
func (maker *jobMaker) of(organisation *profile.Organisation, chosen profile.Profile) (*toldJob, *callerv1.SubmitRequest) {
	maker.made++
	runTime := time.Duration(300+maker.random.IntN(2700)) * time.Millisecond
	input := worker.Input{
		RunTimeMS:         runTime.Milliseconds(),
		Fails:             maker.random.IntN(50) == 0,
		IgnoresCheckpoint: maker.random.IntN(20) == 0,
	}
	job := &toldJob{
		key:     fleet.JobKey{Organisation: organisation.ID, Job: fleet.JobID(fmt.Sprintf("job-%04d", maker.made))},
		profile: chosen,
	}
	return job, &callerv1.SubmitRequest{
		JobId:            string(job.key.Job),
		Profile:          string(chosen.Name),
		Caller:           fmt.Sprintf("caller-%d", maker.random.IntN(5)),
		Input:            input.Encode(),
		DeclaredRunTimeS: runTime.Seconds() * (0.1 + 5*maker.random.Float64()),
	}
}
