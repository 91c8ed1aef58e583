// Package gateway handles the requests of callers: it stores submitted jobs and cancellations, and reports job states.
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
	// callTimeout limits one call to the store, so that a retry fits into the deadline of most callers.
	callTimeout = 600 * time.Millisecond
	// submitTimeout limits a submission including its retries. It leaves callers time to retry at another process.
	submitTimeout = 1500 * time.Millisecond
	// retryPause is the delay between attempts of one request while the store does not respond.
	retryPause = 60 * time.Millisecond
	// storeRetryAfter is the retry delay sent to callers when the store is unavailable or not read yet.
	storeRetryAfter = time.Second
	// defaultDeadline applies to requests without a deadline.
	defaultDeadline = 3 * time.Second
	// responseReserve is the part of the caller's deadline that is reserved for the transmission of the response.
	responseReserve = 100 * time.Millisecond
	// maxConfirmationAge is the maximum age of the configuration at which a request may be refused because of it. An older
	// configuration is read again first.
	maxConfirmationAge = 400 * time.Millisecond
	// maxStatusesAge is the age from which on the copy of the statuses is brought up to date before a query is answered. A
	// count of pending jobs may be 2 s old when the caller receives it.
	maxStatusesAge = 2*time.Second - responseReserve
	// maxStateAge is the age from which on the state of a job is not taken from the copy, if the store can be read. It is
	// beyond the age that the copy has while the store is slow.
	maxStateAge = 4 * time.Second
	// maxUnloggedAge is the age of the configuration from which on each request is logged.
	maxUnloggedAge = 2 * time.Second
)

// Configuration is the newest configuration that this process has read.
type Configuration struct {
	*catalog.Catalog
	// Condition is a transaction condition that holds as long as this configuration is the newest one in the store.
	Condition keyvalue.Condition
	// Age is the time since the store is known to have had no newer configuration. It includes the time for which the VM
	// was suspended.
	Age time.Duration
}

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	// Current returns the newest configuration that was read, or false if none was read yet.
	Current() (Configuration, bool)
	// Refresh makes sure that the newest configuration in the store is the current one.
	Refresh(ctx context.Context) error
	// Refreshing reports whether a call of Refresh is under way.
	Refreshing() bool
}

// StatusSource keeps a copy of all job statuses and tombstones up to date.
type StatusSource interface {
	// Synced reports whether all stored statuses have been read at least once.
	Synced() bool
	// Age returns the time since the copy was known to be complete. It includes the time for which the VM was suspended.
	Age() time.Duration
	// Refresh brings the copy up to date.
	Refresh(ctx context.Context) error
}

// Request holds the properties that all requests of callers have.
type Request struct {
	Host, Path string
	Credential string
	// Deadline is the time for which the caller waits for the response; 0 means that it is unknown.
	Deadline time.Duration
}

// Gateway handles the requests of callers. Its exported fields are set before the first call.
type Gateway struct {
	// Store passes configurations that it returns with conflicts on to Configuration.
	Store         keyvalue.Store
	Configuration ConfigurationSource
	Statuses      *ledger.StatusCache
	Tombstones    *ledger.TombstoneCache
	// StatusSource keeps Statuses and Tombstones up to date.
	StatusSource StatusSource
	// StoreLost reports whether this process cannot reach the store. While it cannot, submissions and cancellations are
	// refused at once, because the caller gets a response sooner from another process.
	StoreLost func() bool
	// MaxValueBytes is the size of the largest document that the store takes.
	MaxValueBytes progress.Bytes
	// MaxJobMemory is the memory that a controller may need for all jobs, those included whose retention has not ended.
	// Submissions beyond it are refused; 0 is no limit.
	MaxJobMemory progress.Bytes
	// MaxConfigAge is the age from which on the configuration is read again before a query is answered.
	MaxConfigAge time.Duration
	// ConfigAgeLimit is the age from which on no request is answered by the configuration, not even if it cannot be read
	// again. It is at least MaxConfigAge.
	ConfigAgeLimit time.Duration
	Logger         hclog.Logger
	Metrics        gometrics.Registry
}

// admission is the result of a successful routing and authentication of a request.
type admission struct {
	profile      catalog.Profile
	organisation fleet.OrganisationID
	job          fleet.JobID
	condition    keyvalue.Condition
	// version and age are those of the configuration.
	version int64
	age     time.Duration
	// pending is the count that a query was answered with, and statusesAge the age of the copy of the statuses it is from.
	pending     int
	statusesAge time.Duration
}

// admit routes and authenticates a request whose effect depends on a condition for the configuration. Before it refuses
// a request, it reads the configuration again unless the configuration was confirmed just now, since operators may have
// added the profile or credential of the request.
func (gateway *Gateway) admit(ctx context.Context, request Request) (admission, error) {
	configuration, ok := gateway.Configuration.Current()
	if !ok {
		return admission{}, errNoConfiguration
	}
	admitted, err := lookUp(configuration, request)
	if err == nil || configuration.Age < maxConfirmationAge {
		return admitted, err
	}
	if refreshErr := gateway.refresh(ctx); refreshErr != nil {
		return admission{}, fault.New(fault.StoreUnavailable, "%v; the configuration cannot be confirmed: %v",
			err, refreshErr).WithRetryAfter(storeRetryAfter)
	}
	configuration, _ = gateway.Configuration.Current()
	return lookUp(configuration, request)
}

// admitQuery admits a request that may be answered without a write to the store. Such a request is answered only by a
// configuration whose age is known to be small enough.
func (gateway *Gateway) admitQuery(ctx context.Context, request Request) (admission, error) {
	configuration, ok := gateway.Configuration.Current()
	if !ok {
		return admission{}, errNoConfiguration
	}
	// While another request waits for a newer configuration, this one waits too: it must not be answered by an older one
	// than a request that was sent before.
	refresh := configuration.Age > gateway.MaxConfigAge || gateway.Configuration.Refreshing()
	if refresh && !gateway.StoreLost() && gateway.refresh(ctx) == nil {
		configuration, _ = gateway.Configuration.Current()
	}
	if configuration.Age > gateway.ConfigAgeLimit {
		return admission{}, fault.New(fault.StoreUnavailable, "the store has not confirmed the configuration for %s",
			configuration.Age.Round(time.Millisecond)).WithRetryAfter(storeRetryAfter)
	}
	return gateway.admit(ctx, request)
}

// errNoConfiguration is the error for a request that arrives before the first configuration has been read.
var errNoConfiguration = fault.New(fault.Starting, "no configuration has been read yet").WithRetryAfter(storeRetryAfter)

func (gateway *Gateway) refresh(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return gateway.Configuration.Refresh(bounded)
}

func lookUp(configuration Configuration, request Request) (admission, error) {
	admitted := admission{
		condition: configuration.Condition, version: configuration.Version, age: configuration.Age,
	}
	profile, ok := configuration.Route(request.Host, request.Path)
	if !ok {
		return admitted, fault.New(fault.UnknownProfile, "no profile has this host and path")
	}
	organisation, ok := configuration.Authenticate(request.Credential)
	if !ok && !profile.Public {
		return admitted, fault.New(fault.Unauthenticated, "the credential is not known")
	}
	admitted.profile, admitted.organisation = profile, organisation
	admitted.job = fleet.JobID(request.Path[len(profile.Prefix):])
	return admitted, nil
}

func (request Request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline := request.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	return context.WithTimeout(ctx, max(deadline-responseReserve, responseReserve))
}

// recordOutcome logs and counts the outcome of one request and returns err. Successful state requests are logged only
// if the configuration that they were handled with had not been confirmed for maxUnloggedAge.
func (gateway *Gateway) recordOutcome(
	call string, request Request, admitted admission, started time.Time, err error,
) error {
	outcome := "ok"
	if err != nil {
		outcome = string(fault.FromError(err).Kind)
	}
	elapsed := time.Since(started)
	metrics.Count(gateway.Metrics, metrics.Name("requests", "call", call, "outcome", outcome))
	metrics.Observe(gateway.Metrics, metrics.Name("request_milliseconds", "call", call), elapsed)
	metrics.Observe(gateway.Metrics, metrics.Name("configuration_age_milliseconds", "call", call), admitted.age)
	if call == callState && err == nil && admitted.age < maxUnloggedAge {
		return err
	}
	fields := []any{
		"call", call, "job", string(admitted.job), "profile", string(admitted.profile.Name),
		"organisation", string(admitted.organisation), "outcome", outcome, "taken_ms", elapsed.Milliseconds(),
		"config_version", admitted.version, "config_revision", int64(admitted.condition.Revision),
		"config_age_ms", admitted.age.Milliseconds(),
	}
	if err != nil {
		fields = append(fields, "reason", err.Error(), "path", request.Path)
	}
	if call == callPending {
		fields = append(fields, "pending", admitted.pending, "statuses_age_ms", admitted.statusesAge.Milliseconds())
	}
	gateway.Logger.Info("request decided", fields...)
	return err
}

// The names of the callers' calls in logs and metrics.
const (
	callSubmit  = "submit"
	callState   = "state"
	callCancel  = "cancel"
	callPending = "pending"
)

// Submit stores a job. It returns nil only if the job is stored. Some faults prove that the job does not run. Submit
// returns such a fault only if the job is not stored and no pending write of this call can store it later.
func (gateway *Gateway) Submit(ctx context.Context, request Request, job workload.Job) error {
	started := time.Now()
	ctx, cancel := request.withDeadline(ctx)
	defer cancel()
	admitted, err := gateway.admit(ctx, request)
	if err == nil {
		err = gateway.submit(ctx, request, admitted, job)
	}
	return gateway.recordOutcome(callSubmit, request, admitted, started, err)
}

func (gateway *Gateway) submit(ctx context.Context, request Request, admitted admission, job workload.Job) error {
	if gateway.StoreLost() {
		return errStoreLost
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if !validID(admitted.job) {
		return fault.New(fault.InvalidArgument, "%q is not a job id", admitted.job)
	}
	job.ID, job.Profile, job.Organisation = admitted.job, admitted.profile.Name, admitted.organisation
	job.Policy, job.Accepted = admitted.profile.JobPolicy, time.Now().UTC()
	if err := job.Check(); err != nil {
		return fault.New(fault.InvalidArgument, "%v", err)
	}
	if err := ledger.CheckSize(job, gateway.MaxValueBytes); err != nil {
		return fault.New(fault.InvalidArgument, "%v", err)
	}
	status := ledger.Status{
		State: progress.Queued, Profile: job.Profile, Organisation: job.Organisation, Scheduled: job.Schedule.Count > 0,
		Memory: ledger.MemoryOf(job),
	}
	if err := gateway.checkMemory(job.ID, status); err != nil {
		return err
	}
	submission := submission{
		gateway: gateway, request: request, job: job, status: status, condition: admitted.condition,
	}
	return submission.run(ctx)
}

// errStoreLost is the error for a request that is refused before any write is sent to the store.
var errStoreLost = fault.New(fault.StoreUnavailable, "this process cannot reach the store").
	WithRetryAfter(storeRetryAfter)

// maxIDLength limits the length of a job id, so that the store keys that contain it do not exceed the store's limit.
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

// retry repeats an idempotent call until the call succeeds, the call returns a fault, or ctx ends.
func (gateway *Gateway) retry(ctx context.Context, call func(context.Context) error) error {
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(bounded)
		cancel()
		if refused := (*fault.Error)(nil); err == nil || errors.As(err, &refused) {
			return err
		}
		if pauseBeforeRetry(ctx) != nil {
			return fault.New(fault.StoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
		}
	}
}

// sameJob reports whether a stored job equals a job that is submitted with the same id. The time of acceptance and the
// policy are not compared, since the policy of the stored job may come from an earlier configuration.
func sameJob(item keyvalue.Item, job workload.Job) bool {
	stored, err := ledger.Decode[workload.Job](item)
	if err != nil {
		return false
	}
	job.Accepted, job.Policy = stored.Accepted, stored.Policy
	return bytes.Equal(ledger.Encode(stored), ledger.Encode(job))
}
