package caller

import (
	"context"
	"crypto/rand"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/structpb"

	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	maxInput       = 64 << 10
	maxCallerBytes = 128
	// sampleSize and sampleAlpha are the parameters of the exponentially decaying sample of call durations. With them,
	// the sample covers about the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

var (
	jobIDPattern     = regexp.MustCompile(`^[a-z0-9._-]{1,64}$`)
	requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// service implements the connect service. Server.guard has authenticated the caller before each method is called.
type service struct {
	server *Server
}

// Submit accepts a job.
func (service *service) Submit(ctx context.Context, request *connect.Request[callerv1.SubmitRequest]) (
	*connect.Response[callerv1.SubmitResponse], error,
) {
	who := identityOf(ctx)
	if problem := checkSubmit(who, request.Msg); problem != nil {
		return nil, service.fail(who, request.Msg.GetJobId(), problem)
	}
	response, err := service.server.Jobs.Submit(ctx, who.organisation, request.Msg)
	if err != nil {
		return nil, service.fail(who, request.Msg.GetJobId(), fault.FromError(err))
	}
	service.log(who, "job", request.Msg.GetJobId(), "job accepted")
	return connect.NewResponse(response), nil
}

// Status returns the status of a job or a request of the caller's organisation.
func (service *service) Status(ctx context.Context, request *connect.Request[callerv1.StatusRequest]) (
	*connect.Response[callerv1.StatusResponse], error,
) {
	who := identityOf(ctx)
	id := request.Msg.GetJobId() + request.Msg.GetRequestId()
	if problem := checkStatus(who, request.Msg); problem != nil {
		return nil, service.fail(who, id, problem)
	}
	response, err := service.status(ctx, who, request.Msg)
	if err != nil {
		return nil, service.fail(who, id, fault.FromError(err))
	}
	return connect.NewResponse(response), nil
}

func (service *service) status(ctx context.Context, who identity, request *callerv1.StatusRequest) (
	*callerv1.StatusResponse, error,
) {
	if request.GetJobId() != "" {
		return service.server.Jobs.Status(ctx, fleet.JobKey{
			Organisation: who.organisation, Job: fleet.JobID(request.GetJobId()),
		})
	}
	return service.server.Calls.Status(ctx, who.organisation, fleet.RequestID(request.GetRequestId()))
}

// Cancel requests the cancellation of a job of the caller's organisation.
func (service *service) Cancel(ctx context.Context, request *connect.Request[callerv1.CancelRequest]) (
	*connect.Response[callerv1.CancelResponse], error,
) {
	who := identityOf(ctx)
	id := request.Msg.GetJobId()
	problem := checkID("job_id", id, jobIDPattern)
	if problem == nil {
		problem = checkOrganisation(who, request.Msg.GetOrganisation())
	}
	if problem != nil {
		return nil, service.fail(who, id, problem)
	}
	outcome, err := service.server.Jobs.Cancel(ctx, fleet.JobKey{Organisation: who.organisation, Job: fleet.JobID(id)})
	if err != nil {
		return nil, service.fail(who, id, fault.FromError(err))
	}
	service.log(who, "job", id, "job cancelled")
	return connect.NewResponse(&callerv1.CancelResponse{Outcome: outcome}), nil
}

// Call runs a request on a target. The deadline of ctx is the deadline of the caller.
func (service *service) Call(ctx context.Context, request *connect.Request[callerv1.CallRequest]) (
	*connect.Response[callerv1.CallResponse], error,
) {
	who := identityOf(ctx)
	call := request.Msg
	if problem := checkCall(who, call); problem != nil {
		return nil, service.fail(who, call.GetRequestId(), problem)
	}
	if call.GetRequestId() == "" {
		call.RequestId = strings.ToLower(rand.Text())
	}
	started := time.Now()
	response := connect.NewResponse(service.server.Calls.Call(ctx, who.organisation, call))
	service.recordCall(who, call, response.Msg, time.Since(started))
	if after := response.Msg.GetRetryAfterMs(); after > 0 {
		response.Header().Set(retryAfterHeader, seconds(time.Duration(after)*time.Millisecond))
	}
	if kind := response.Msg.GetKind(); kind != "" {
		response.Header().Set(errorKindHeader, kind)
	}
	service.log(who, "request", call.GetRequestId(), "call ended", "outcome", response.Msg.GetOutcome().String())
	return response, nil
}

// recordCall updates the metrics of an ended call: the duration in microseconds by organisation and profile, and the
// number of calls by organisation, profile and outcome.
func (service *service) recordCall(
	who identity, call *callerv1.CallRequest, response *callerv1.CallResponse, took time.Duration,
) {
	labels := []string{"organisation", string(who.organisation), "profile", call.GetProfile()}
	// The registry runs this function, which allocates the histogram and its sample, only if it does not hold the
	// histogram yet.
	times := service.server.Metrics.GetOrRegister(
		metrics.Name("caller.call_us", labels...), func() gometrics.Histogram {
			return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
		},
	).(gometrics.Histogram)
	times.Update(took.Microseconds())
	outcome := append(labels, "outcome", response.GetOutcome().String())
	gometrics.GetOrRegisterCounter(metrics.Name("caller.calls", outcome...), service.server.Metrics).Inc(1)
}

func identityOf(ctx context.Context) identity {
	who, _ := ctx.Value(identityKey{}).(identity)
	return who
}

func (service *service) fail(who identity, id string, problem *fault.Error) error {
	service.server.recordRefusal(who.organisation, id, problem)
	return errorOf(problem)
}

func (service *service) log(who identity, name, id, text string, more ...any) {
	if !service.server.Logger.IsDebug() {
		return
	}
	fields := []any{"organisation", who.organisation, name, id, "revision", who.config.Revision}
	service.server.Logger.Debug(text, append(fields, more...)...)
}

// errorOf returns the connect error for a fault, with the code from fault.AnswerFor. The kind and the retry delay, if
// any, are in the headers Error-Kind and Retry-After. Kind, field, reason and retry delay are also in an error detail.
func errorOf(problem *fault.Error) *connect.Error {
	failure := connect.NewError(fault.AnswerFor(problem.Kind).Code, errors.New(problem.Message()))
	failure.Meta().Set(errorKindHeader, string(problem.Kind))
	if problem.RetryAfter > 0 {
		failure.Meta().Set(retryAfterHeader, seconds(problem.RetryAfter))
	}
	values, err := structpb.NewStruct(map[string]any{
		"kind":           string(problem.Kind),
		"field":          problem.Field,
		"reason":         problem.Reason,
		"retry_after_ms": problem.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return failure
	}
	if detail, err := connect.NewErrorDetail(values); err == nil {
		failure.AddDetail(detail)
	}
	return failure
}

// seconds formats a duration in whole seconds, rounded up, for the Retry-After header.
func seconds(duration time.Duration) string {
	return strconv.Itoa(int(math.Ceil(duration.Seconds())))
}

func checkSubmit(who identity, request *callerv1.SubmitRequest) *fault.Error {
	if problem := checkID("job_id", request.GetJobId(), jobIDPattern); problem != nil {
		return problem
	}
	used, problem := checkProfile(who, request.GetProfile(), true)
	if problem != nil {
		return problem
	}
	if problem := checkCaller(request.GetCaller()); problem != nil {
		return problem
	}
	if seconds := request.GetDeclaredRunTimeS(); !(seconds >= 0) || math.IsInf(seconds, 0) {
		return fault.New(fault.InvalidArgument, "needs a time of 0 s or more").WithField("declared_run_time_s")
	}
	return checkSize("input", len(request.GetInput()), min(maxBodyOf(used), maxInput))
}

func checkCall(who identity, request *callerv1.CallRequest) *fault.Error {
	used, problem := checkProfile(who, request.GetProfile(), false)
	if problem != nil {
		return problem
	}
	// A request that is not idempotent needs an id from its caller, because only the id prevents a second run. The
	// server generates a missing id of an idempotent request.
	if request.GetRequestId() != "" || !used.Idempotent {
		if problem := checkID("request_id", request.GetRequestId(), requestIDPattern); problem != nil {
			return problem
		}
	}
	if problem := checkCaller(request.GetCaller()); problem != nil {
		return problem
	}
	if !used.Idempotent && request.GetFirstSentUnixMs() <= 0 {
		return fault.New(fault.InvalidArgument, "missing; required for a profile that is not idempotent").
			WithField("first_sent_unix_ms")
	}
	return checkSize("body", len(request.GetBody()), maxBodyOf(used))
}

func checkStatus(who identity, request *callerv1.StatusRequest) *fault.Error {
	if request.GetJobId() != "" && request.GetRequestId() != "" {
		return fault.New(fault.InvalidArgument, "only one of job_id and request_id is allowed").WithField("request_id")
	}
	if problem := checkOrganisation(who, request.GetOrganisation()); problem != nil {
		return problem
	}
	if request.GetRequestId() != "" {
		return checkID("request_id", request.GetRequestId(), requestIDPattern)
	}
	return checkID("job_id", request.GetJobId(), jobIDPattern)
}

func checkOrganisation(who identity, named string) *fault.Error {
	if named == "" || fleet.OrganisationID(named) == who.organisation {
		return nil
	}
	return fault.New(fault.PermissionDenied, "the token belongs to another organisation").WithField("organisation")
}

func checkProfile(who identity, name string, job bool) (*profile.Profile, *fault.Error) {
	if name == "" {
		return nil, fault.New(fault.InvalidArgument, "missing").WithField("profile")
	}
	used, ok := who.config.Lookup(who.organisation, fleet.ProfileName(name))
	switch {
	case !ok:
		return nil, fault.New(fault.UnknownProfile, "the organisation has no such profile").WithField("profile")
	case used.IsJob() && !job:
		return nil, fault.New(fault.UnknownProfile, "the profile is for jobs, not for requests").WithField("profile")
	case !used.IsJob() && job:
		return nil, fault.New(fault.UnknownProfile, "the profile is for requests, not for jobs").WithField("profile")
	}
	return used, nil
}

func checkID(field, id string, pattern *regexp.Regexp) *fault.Error {
	if id == "" {
		return fault.New(fault.InvalidArgument, "missing").WithField(field)
	}
	if !pattern.MatchString(id) {
		return fault.New(fault.InvalidArgument, "does not match the pattern %s", pattern).WithField(field)
	}
	return nil
}

func checkCaller(caller string) *fault.Error {
	if len(caller) > maxCallerBytes {
		return fault.New(fault.InvalidArgument, "exceeds %d bytes", maxCallerBytes).WithField("caller")
	}
	return nil
}

func checkSize(field string, size int, limit fleet.Bytes) *fault.Error {
	if fleet.Bytes(size) > limit {
		return fault.New(fault.TooLarge, "%d bytes exceed the limit of %d", size, limit).WithField(field)
	}
	return nil
}

func maxBodyOf(used *profile.Profile) fleet.Bytes {
	if used.Limits.MaxBody > 0 {
		return used.Limits.MaxBody
	}
	return maxInput
}
