// Package demo runs a whole deployment on loopback in one process: stand-ins, entry processes, callers and failures.
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
	// startLimit bounds the time until every entry process is ready.
	startLimit = 20 * time.Second
	// settleLimit bounds the time after the load in which every accepted job ends.
	settleLimit = 45 * time.Second
	// jobGap and requestGap are the mean times between two jobs and between two requests.
	jobGap     = 120 * time.Millisecond
	requestGap = 12 * time.Millisecond
	// warmUpPrefix starts the ids of the jobs that show that an owner has taken over.
	warmUpPrefix = "warm-up-"
)

// Demo is one run. Its exported fields are set before Run.
type Demo struct {
	// Deployment names one of the examples.
	Deployment string
	Seed       int64
	// Duration is the time of the load; the failures are spread over it.
	Duration time.Duration
	// Scenario names the failures.
	Scenario Scenario
	// Progress receives a line for each thing that happens.
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
	warmUps  *jobMaker
	result   *Result
}

// New returns a Demo of 30 s.
func New(name string, seed int64) *Demo {
	return &Demo{Deployment: name, Seed: seed, Duration: 30 * time.Second, Scenario: ScenarioMixed, Progress: io.Discard, Logger: hclog.NewNullLogger()}
}

// Run starts everything, applies load and failures, waits until the work has ended, and counts.
func (demo *Demo) Run(ctx context.Context) (*Result, error) {
	demo.began = time.Now()
	demo.result = &Result{Deployment: demo.Deployment, Seed: demo.Seed, RefusedKinds: map[string]int{}, UnknownKinds: map[string]int{}}
	if err := demo.start(ctx); err != nil {
		return nil, err
	}
	defer demo.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		demo.config.run(ctx, demo.entries)
	}()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		demo.entries.check(ctx)
	}()
	failures := make(chan error, 1)
	go func() { failures <- demo.fail(ctx) }()
	loadBegan := time.Now()
	demo.load(ctx)
	if err := <-failures; err != nil {
		return nil, err
	}
	demo.settle(ctx)
	demo.result.DurationS = time.Since(loadBegan).Seconds()
	cancel()
	<-watched
	<-checked
	demo.requests.wait.Wait()
	demo.jobs.wait.Wait()
	demo.judge()
	return demo.result, nil
}

func (demo *Demo) say(format string, args ...any) {
	fmt.Fprintf(demo.Progress, "%6.1f s  %s\n", time.Since(demo.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the stand-ins and the entry processes, and applies the organisations' documents.
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
	demo.say("stand-ins run: %d workers, %d targets, platform", len(example.Fleet.Workers), len(example.Fleet.Targets))
	demo.balancer = &balancer{random: demo.random(1)}
	demo.entries = newEntries(demo.standins, demo.balancer, demo.Logger, uint64(demo.Seed))
	demo.jobs = newJobLoad(demo.balancer)
	demo.requests = newRequestLoad(demo.balancer)
	demo.config = &configWatch{}
	demo.warmUps = &jobMaker{random: demo.random(4), organisations: example.Organisations}
	for index := range example.Fleet.Entries {
		if err := demo.entries.start(index); err != nil {
			return err
		}
	}
	if err := demo.applyExamples(ctx); err != nil {
		return err
	}
	if err := demo.entries.awaitReady(ctx, startLimit); err != nil {
		return err
	}
	demo.say("%d entry processes are ready at revision %d", len(example.Fleet.Entries), demo.config.last())
	return demo.warmUp(ctx)
}

// warmUp submits small jobs until one has completed, so that what follows meets an owner that has taken over.
func (demo *Demo) warmUp(ctx context.Context) error {
	maker := demo.warmUps
	before := demo.jobs.completedWith(warmUpPrefix)
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(ctx, pollInterval) {
		job, request := maker.next()
		job.key.Job = fleet.JobID(fmt.Sprintf("%s%d", warmUpPrefix, maker.made))
		request.JobId = string(job.key.Job)
		demo.jobs.start(ctx, job, request, 0)
		if demo.jobs.completedWith(warmUpPrefix) > before {
			demo.say("a job of the warm-up has completed")
			return nil
		}
	}
	return errors.New("no job of the warm-up completed")
}

func (demo *Demo) stop() {
	demo.entries.killAll()
	if err := demo.standins.Close(); err != nil {
		demo.say("stand-ins: %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// applyExamples puts every organisation's document into force through the operators' API.
func (demo *Demo) applyExamples(ctx context.Context) error {
	for i, organisation := range demo.example.Organisations {
		if err := demo.apply(ctx, i, organisation.ID, documentOf(organisation)); err != nil {
			return err
		}
	}
	return nil
}

// apply repeats an edit until it is accepted; the edit id makes the repetition safe.
func (demo *Demo) apply(ctx context.Context, index int, organisation any, document string) error {
	request := &operatorv1.ApplyRequest{
		EditId:       fmt.Sprintf("demo-edit-%d", index),
		Organisation: fmt.Sprint(organisation),
		DocumentJson: document,
	}
	var lastError error
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(ctx, pollInterval) {
		client, ok := demo.entries.anyClient()
		if !ok {
			continue
		}
		revision, err := applyOnce(ctx, client, request)
		if err == nil {
			demo.config.accepted(revision, time.Now())
			demo.result.ConfigEdits++
			return nil
		}
		lastError = err
	}
	return errors.Wrapf(lastError, "apply the document of %v", organisation)
}

// random returns a source of its own for each purpose, so that one does not shift the other.
func (demo *Demo) random(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(demo.Seed), purpose))
}

// load submits jobs and requests for the duration of the run.
func (demo *Demo) load(ctx context.Context) {
	jobs := &jobMaker{random: demo.random(2), organisations: demo.example.Organisations}
	requests := &requestMaker{random: demo.random(3), organisations: demo.example.Organisations}
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
			_ = lifecycle.Sleep(ctx, gap(jobs.random, jobGap))
		}
	}()
	for time.Now().Before(end) && ctx.Err() == nil {
		request, service := requests.next()
		demo.requests.start(ctx, request, service, requests.random.IntN(25) == 0)
		_ = lifecycle.Sleep(ctx, gap(requests.random, requestGap))
	}
	<-done
	demo.say("load ended; %d jobs have not ended yet", demo.jobs.pending())
}

// gap draws an exponentially distributed time.
func gap(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// settle waits until every caller of a job knows its outcome.
func (demo *Demo) settle(ctx context.Context) {
	for deadline := time.Now().Add(settleLimit); time.Now().Before(deadline) && ctx.Err() == nil; lifecycle.Sleep(ctx, pollInterval) {
		if demo.jobs.pending() == 0 {
			break
		}
	}
	demo.say("%d jobs have not ended", demo.jobs.pending())
}
