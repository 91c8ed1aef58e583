// Package gateway decides what callers are answered: it stores accepted jobs and cancellations, and tells their state.
package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/catalog"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	// callTimeout bounds one call to the store, so that a second try fits into the deadline of most callers.
	callTimeout = 600 * time.Millisecond
	// patience is how long a submission is tried. It leaves callers time to ask another process.
	patience = 1500 * time.Millisecond
	// retryPause separates tries of one request while the store does not answer.
	retryPause = 60 * time.Millisecond
	// storeRetryAfter is when callers come back after the store refused.
	storeRetryAfter = time.Second
	// defaultDeadline applies to callers that name none.
	defaultDeadline = 3 * time.Second
	// answerReserve is kept of the caller's deadline for the answer's way back.
	answerReserve = 100 * time.Millisecond
	// recheckAge is how old a confirmation of the configuration may be when it refuses a caller.
	recheckAge = 400 * time.Millisecond
)

// Configuration is the newest configuration that this process knows.
type Configuration struct {
	*catalog.Catalog
	// Condition holds in the store while this configuration is the newest.
	Condition keyvalue.Condition
	// ConfirmedAt is when the store last said so.
	ConfirmedAt time.Time
}

// ConfigurationSource gives the configuration in force.
type ConfigurationSource interface {
	// Current returns the newest known configuration, or false before the first.
	Current() (Configuration, bool)
	// Refresh reads the configuration from the store.
	Refresh(ctx context.Context) error
}

// Request is what every call of a caller carries.
type Request struct {
	Host, Path string
	Credential string
	// Deadline is how long the caller waits; 0 is unknown.
	Deadline time.Duration
}

// Gateway answers callers. Its exported fields are set before the first call.
type Gateway struct {
	Store         keyvalue.Store
	Configuration ConfigurationSource
	Statuses      *ledger.StatusCache
	// StatusesSynced reports whether Statuses has been filled once.
	StatusesSynced func() bool
	// StoreLost reports whether the store leaves calls of this process unanswered. A caller that needs the store is
	// then refused at once, since it is served sooner elsewhere.
	StoreLost func() bool
	Logger    hclog.Logger
	Metrics   gometrics.Registry
}

// access is a request whose profile and organisation are known.
type access struct {
	profile      catalog.Profile
	organisation fleet.OrganisationID
	job          fleet.JobID
	condition    keyvalue.Condition
}

// admit finds the profile and the organisation of a request. Before it refuses, it makes sure that the configuration
// is the newest, since the operators may just have added what the caller names.
func (gateway *Gateway) admit(ctx context.Context, request Request) (access, error) {
	configuration, ok := gateway.Configuration.Current()
	if !ok {
		return access{}, fault.New(fault.Starting, "no configuration yet").WithRetryAfter(storeRetryAfter)
	}
	found, err := lookUp(configuration, request)
	if err == nil || time.Since(configuration.ConfirmedAt) < recheckAge {
		return found, err
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if refreshErr := gateway.Configuration.Refresh(bounded); refreshErr != nil {
		return access{}, fault.New(fault.StoreUnavailable, "%v; the configuration cannot be confirmed: %v",
			err, refreshErr).WithRetryAfter(storeRetryAfter)
	}
	configuration, _ = gateway.Configuration.Current()
	return lookUp(configuration, request)
}

func lookUp(configuration Configuration, request Request) (access, error) {
	profile, ok := configuration.Route(request.Host, request.Path)
	if !ok {
		return access{}, fault.New(fault.UnknownProfile, "no profile has this host and path")
	}
	organisation, ok := configuration.Authenticate(request.Credential)
	if !ok && !profile.Public {
		return access{}, fault.New(fault.Unauthenticated, "the credential is not known")
	}
	return access{
		profile: profile, organisation: organisation, condition: configuration.Condition,
		job: fleet.JobID(request.Path[len(profile.Prefix):]),
	}, nil
}

func (request Request) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline := request.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	return context.WithTimeout(ctx, max(deadline-answerReserve, answerReserve))
}

// decided logs and counts the outcome of one request.
func (gateway *Gateway) decided(call string, request Request, found access, started time.Time, err error) error {
	outcome := "ok"
	if err != nil {
		outcome = string(fault.FromError(err).Kind)
	}
	taken := time.Since(started)
	metrics.Count(gateway.Metrics, metrics.Name("requests", "call", call, "outcome", outcome))
	metrics.Observe(gateway.Metrics, metrics.Name("request_milliseconds", "call", call), taken)
	if call == callState && err == nil {
		return err
	}
	fields := []any{
		"call", call, "job", string(found.job), "profile", string(found.profile.Name),
		"organisation", string(found.organisation), "outcome", outcome, "taken_ms", taken.Milliseconds(),
		"config_revision", int64(found.condition.Revision),
	}
	if err != nil {
		fields = append(fields, "reason", err.Error(), "path", request.Path)
	}
	gateway.Logger.Info("request decided", fields...)
	return err
}

// The calls of callers as they are logged and counted.
const (
	callSubmit  = "submit"
	callState   = "state"
	callCancel  = "cancel"
	callPending = "pending"
)

// Submit stores a job. It returns nil only when the job is stored, and a fault that proves "not run" only when the job
// is not stored and no write of this call can store it later.
func (gateway *Gateway) Submit(ctx context.Context, request Request, job workload.Job) error {
	started := time.Now()
	ctx, cancel := request.bound(ctx)
	defer cancel()
	found, err := gateway.admit(ctx, request)
	if err == nil {
		err = gateway.submit(ctx, request, found, job)
	}
	return gateway.decided(callSubmit, request, found, started, err)
}

func (gateway *Gateway) submit(ctx context.Context, request Request, found access, job workload.Job) error {
	if gateway.StoreLost() {
		return errStoreLost
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if !validID(found.job) {
		return fault.New(fault.InvalidArgument, "%q is not a job id", found.job)
	}
	job.ID, job.Profile, job.Organisation = found.job, found.profile.Name, found.organisation
	job.Policy, job.Accepted = found.profile.JobPolicy, time.Now().UTC()
	if err := job.Check(); err != nil {
		return fault.New(fault.InvalidArgument, "%v", err)
	}
	status := ledger.Status{
		State: progress.Queued, Profile: job.Profile, Organisation: job.Organisation, Scheduled: job.Schedule.Count > 0,
	}
	acceptance := acceptance{gateway: gateway, request: request, job: job, status: status, condition: found.condition}
	return acceptance.run(ctx)
}

// errStoreLost refuses a caller before anything was sent to the store.
var errStoreLost = fault.New(fault.StoreUnavailable, "this process does not reach the store").
	WithRetryAfter(storeRetryAfter)

// maxIDLength bounds a job id, so that the keys made of it stay within the store's bound.
const maxIDLength = 64

func validID(id fleet.JobID) bool {
	if len(id) == 0 || len(id) > maxIDLength {
		return false
	}
	for _, char := range []byte(id) {
		digit := char >= '0' && char <= '9'
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		if !digit && !letter && char != '-' && char != '_' {
			return false
		}
	}
	return true
}

// State returns the state of a job.
func (gateway *Gateway) State(ctx context.Context, request Request) (progress.State, error) {
	started := time.Now()
	ctx, cancel := request.bound(ctx)
	defer cancel()
	found, err := gateway.admit(ctx, request)
	if err != nil {
		return "", gateway.decided(callState, request, found, started, err)
	}
	entry, err := gateway.status(ctx, found)
	return entry.State, gateway.decided(callState, request, found, started, err)
}

// status returns the known status of the job, or reads it from the store when this process does not know it.
func (gateway *Gateway) status(ctx context.Context, found access) (ledger.StatusEntry, error) {
	entry, ok := gateway.Statuses.Get(found.job)
	if !ok {
		read, err := gateway.read(ctx, found.job)
		if err != nil {
			return ledger.StatusEntry{}, err
		}
		entry = read
	}
	if entry.Profile != found.profile.Name || entry.Organisation != found.organisation {
		return ledger.StatusEntry{}, fault.New(fault.NotFound, "no such job of this organisation and profile")
	}
	return entry, nil
}

func (gateway *Gateway) read(ctx context.Context, id fleet.JobID) (ledger.StatusEntry, error) {
	var entry ledger.StatusEntry
	if !validID(id) {
		return entry, fault.New(fault.NotFound, "%q is not a job id", id)
	}
	err := gateway.retry(ctx, func(ctx context.Context) error {
		item, err := gateway.Store.Get(ctx, ledger.StatusKey(id))
		if errors.Is(err, keyvalue.ErrNotFound) {
			return fault.New(fault.NotFound, "no such job")
		}
		if err != nil {
			return err
		}
		status, err := ledger.Decode[ledger.Status](item)
		if err != nil {
			return fault.New(fault.Internal, "%v", err)
		}
		entry = ledger.StatusEntry{Status: status, Revision: item.Revision}
		gateway.Statuses.Note(id, entry)
		return nil
	})
	return entry, err
}

// retry repeats a call that is idempotent until it succeeds, is answered with a fault, or ctx ends.
func (gateway *Gateway) retry(ctx context.Context, call func(context.Context) error) error {
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(bounded)
		cancel()
		if refused := (*fault.Error)(nil); err == nil || errors.As(err, &refused) {
			return err
		}
		if pause(ctx) != nil {
			return fault.New(fault.StoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
		}
	}
}

// Pending returns the number of accepted jobs of a profile that have not begun.
func (gateway *Gateway) Pending(ctx context.Context, request Request) (int, error) {
	started := time.Now()
	ctx, cancel := request.bound(ctx)
	defer cancel()
	found, err := gateway.admit(ctx, request)
	if err == nil && !gateway.StatusesSynced() {
		err = fault.New(fault.Starting, "the jobs are not read yet").WithRetryAfter(storeRetryAfter)
	}
	return gateway.Statuses.Pending(found.profile.Name), gateway.decided(callPending, request, found, started, err)
}

// IsProfilePath reports whether the path of a request names a profile and no job.
func (gateway *Gateway) IsProfilePath(request Request) bool {
	configuration, ok := gateway.Configuration.Current()
	if !ok {
		return false
	}
	profile, ok := configuration.Route(request.Host, request.Path)
	return ok && profile.Prefix == request.Path
}

// sameJob reports whether a stored job is the one that is submitted again. Its terms may be those of an earlier
// configuration.
func sameJob(item keyvalue.Item, job workload.Job) bool {
	stored, err := ledger.Decode[workload.Job](item)
	if err != nil {
		return false
	}
	job.Accepted, job.Policy = stored.Accepted, stored.Policy
	return bytes.Equal(ledger.Encode(stored), ledger.Encode(job))
}
