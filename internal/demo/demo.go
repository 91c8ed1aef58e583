// Package demo runs a complete deployment on loopback in one process: stand-ins, entry processes, callers and failures.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/examples"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/standin/deployment"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// setupLimit limits each of the following waits: until every entry process is ready, until an edit is accepted and
	// until a warm-up job has completed.
	setupLimit = 20 * time.Second
	// jobEndLimit limits the wait after the load until every accepted job has ended.
	jobEndLimit = 45 * time.Second
	// meanJobInterval and meanRequestInterval are the mean times between two jobs and between two requests.
	meanJobInterval     = 120 * time.Millisecond
	meanRequestInterval = 12 * time.Millisecond
	// warmUpPrefix is the prefix of the ids of warm-up jobs. The completion of a warm-up job shows that an owner, an
	// entry process that schedules the jobs of a domain, has taken over.
	warmUpPrefix = "warm-up-"
)

// Demo runs an example deployment once under load and failures, and checks the outcomes that callers received. Its
// exported fields must be set before Run.
type Demo struct {
	// Deployment is the name of an example deployment.
	Deployment string
	Seed       int64
	// Duration is the time for which load is generated; the failures are spread over it.
	Duration time.Duration
	// Scenario is the set of failures that the run injects.
	Scenario Scenario
	// Progress receives a line of text for each event of the run.
	Progress io.Writer
	Logger   hclog.Logger

	began    time.Time
	example  *examples.Deployment
	standins *deployment.Standins
	entries  *entries
	balancer *balancer
	jobs     *jobLoad
	requests *requestLoad
	config   *configWatch
	warmUps  *jobGenerator
	result   *Result
}

// New returns a Demo that runs the mixed scenario for 30 s, without progress output or logs.
func New(name string, seed int64) *Demo {
	return &Demo{
		Deployment: name, Seed: seed, Duration: 30 * time.Second, Scenario: ScenarioMixed,
		Progress: io.Discard, Logger: hclog.NewNullLogger(),
	}
}

// Run starts the deployment, applies load and failures, waits until the jobs have ended, and compares the outcomes that
// callers received with the records of the stand-ins.
func (demo *Demo) Run(ctx context.Context) (*Result, error) {
	demo.began = time.Now()
	demo.result = &Result{
		Deployment: demo.Deployment, Seed: demo.Seed,
		RefusedKinds: map[string]int{}, UnknownKinds: map[string]int{},
	}
	if err := demo.start(ctx); err != nil {
		return nil, err
	}
	defer demo.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		demo.config.observe(ctx, demo.entries)
	}()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		demo.entries.runHealthChecks(ctx)
	}()
	failures := make(chan error, 1)
	go func() { failures <- demo.runSteps(ctx) }()
	loadStarted := time.Now()
	demo.generateLoad(ctx)
	if err := <-failures; err != nil {
		return nil, err
	}
	demo.awaitJobs(ctx)
	demo.result.DurationS = time.Since(loadStarted).Seconds()
	cancel()
	<-watched
	<-checked
	demo.requests.wait.Wait()
	demo.jobs.wait.Wait()
	demo.verify()
	return demo.result, nil
}

// logProgress writes a line with the time since the start of the run to Progress.
func (demo *Demo) logProgress(format string, args ...any) {
	fmt.Fprintf(demo.Progress, "%6.1f s  %s\n", time.Since(demo.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the stand-ins and the entry processes, applies the documents of the organisations and warms up.
func (demo *Demo) start(ctx context.Context) error {
	example, err := examples.Load(demo.Deployment)
	if err != nil {
		return err
	}
	demo.example = example
	demo.standins = deployment.New(example.Fleet)
	if err := demo.standins.Start(); err != nil {
		return errors.Wrap(err, "start stand-ins")
	}
	demo.logProgress("stand-ins started: %d workers, %d targets, platform",
		len(example.Fleet.Workers), len(example.Fleet.Targets))
	demo.balancer = &balancer{random: demo.random(1)}
	demo.entries = newEntries(demo.standins, demo.balancer, demo.Logger, uint64(demo.Seed))
	demo.jobs = newJobLoad(demo.balancer)
	demo.requests = newRequestLoad(demo.balancer)
	demo.config = &configWatch{}
	demo.warmUps = &jobGenerator{random: demo.random(4), organisations: example.Organisations}
	for index := range example.Fleet.Entries {
		if err := demo.entries.start(index); err != nil {
			return err
		}
	}
	if err := demo.applyExamples(ctx); err != nil {
		return err
	}
	if err := demo.entries.awaitReady(ctx, setupLimit); err != nil {
		return err
	}
	demo.logProgress("%d entry processes are ready at revision %d",
		len(example.Fleet.Entries), demo.config.lastAccepted())
	return demo.warmUp(ctx)
}

// warmUp submits jobs until one has completed, which shows that an owner, an entry process that schedules the jobs of a
// domain, has taken over.
func (demo *Demo) warmUp(ctx context.Context) error {
	generator := demo.warmUps
	before := demo.jobs.countCompleted(warmUpPrefix)
	for deadline := time.Now().Add(setupLimit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(
		ctx, pollInterval) {
		job, request := generator.next()
		job.key.Job = fleet.JobID(fmt.Sprintf("%s%d", warmUpPrefix, generator.count))
		request.JobId = string(job.key.Job)
		demo.jobs.start(ctx, job, request, 0)
		if demo.jobs.countCompleted(warmUpPrefix) > before {
			demo.logProgress("a warm-up job has completed")
			return nil
		}
	}
	return errors.New("no warm-up job completed")
}

func (demo *Demo) stop() {
	demo.entries.killAll()
	if err := demo.standins.Close(); err != nil {
		demo.logProgress("stop of the stand-ins failed: %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// applyExamples applies the document of every organisation through the API of operators.
func (demo *Demo) applyExamples(ctx context.Context) error {
	for i, organisation := range demo.example.Organisations {
		if err := demo.apply(ctx, i, organisation.ID, encodeDocument(organisation)); err != nil {
			return err
		}
	}
	return nil
}

// apply applies the document of an organisation and repeats the edit until it is accepted. The edit id makes the
// repetition idempotent.
func (demo *Demo) apply(ctx context.Context, index int, organisation any, document string) error {
	request := &operatorv1.ApplyRequest{
		EditId:       fmt.Sprintf("demo-edit-%d", index),
		Organisation: fmt.Sprint(organisation),
		DocumentJson: document,
	}
	var lastError error
	for deadline := time.Now().Add(setupLimit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(
		ctx, pollInterval) {
		client, ok := demo.entries.anyClient()
		if !ok {
			continue
		}
		revision, err := applyOnce(ctx, client, request)
		if err == nil {
			demo.config.setAccepted(revision, time.Now())
			demo.result.ConfigEdits++
			return nil
		}
		lastError = err
	}
	return errors.Wrapf(lastError, "apply the document of %v", organisation)
}

// random returns a separate random source for each purpose, so that the number of values drawn for one purpose does not
// change the values of another one.
func (demo *Demo) random(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(demo.Seed), purpose))
}

// generateLoad submits jobs and requests for the duration of the run.
func (demo *Demo) generateLoad(ctx context.Context) {
	jobs := &jobGenerator{random: demo.random(2), organisations: demo.example.Organisations}
	requests := &requestGenerator{random: demo.random(3), organisations: demo.example.Organisations}
	end := time.Now().Add(demo.Duration)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Now().Before(end) && ctx.Err() == nil {
			job, request := jobs.next()
			var cancelAfter time.Duration
			if jobs.random.IntN(20) == 0 {
				cancelAfter = time.Duration(1+jobs.random.IntN(1000)) * time.Millisecond
			}
			demo.jobs.start(ctx, job, request, cancelAfter)
			_ = lifecycle.Sleep(ctx, exponentialInterval(jobs.random, meanJobInterval))
		}
	}()
	for time.Now().Before(end) && ctx.Err() == nil {
		request, service := requests.next()
		demo.requests.start(ctx, request, service, requests.random.IntN(25) == 0)
		_ = lifecycle.Sleep(ctx, exponentialInterval(requests.random, meanRequestInterval))
	}
	<-done
	demo.logProgress("load ended; %d jobs have not ended yet", demo.jobs.countPending())
}

// exponentialInterval draws an exponentially distributed interval.
func exponentialInterval(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// awaitJobs waits until every job has an outcome, for jobEndLimit at most.
func (demo *Demo) awaitJobs(ctx context.Context) {
	for deadline := time.Now().Add(jobEndLimit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(
		ctx, pollInterval) {
		if demo.jobs.countPending() == 0 {
			break
		}
	}
	demo.logProgress("%d jobs have not ended", demo.jobs.countPending())
}
