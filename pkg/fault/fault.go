// Package fault defines the kinds of errors that callers and operators get, and maps each kind to its response. There
// are no kinds besides those listed here.
package fault

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Kind is one of the error kinds listed below.
type Kind string

const (
	// InvalidArgument means that a field of the request is missing or malformed.
	InvalidArgument Kind = "invalid_argument"
	// UnknownProfile means that the organisation has no such profile.
	UnknownProfile Kind = "unknown_profile"
	// TooLarge means that the body exceeds its limit.
	TooLarge Kind = "too_large"
	// Unauthenticated means that the credential is missing or unknown.
	Unauthenticated Kind = "unauthenticated"
	// PermissionDenied means that the credential belongs to another organisation.
	PermissionDenied Kind = "permission_denied"
	// Infeasible means that the job can never run on this fleet under this configuration.
	Infeasible Kind = "infeasible"
	// QueueFull means that a queue limit of the organisation or profile is reached.
	QueueFull Kind = "queue_full"
	// Draining means that the process is shutting down and accepts no new work.
	Draining Kind = "draining"
	// Starting means that the process is not ready yet.
	Starting Kind = "starting"
	// StoreUnavailable means that the platform's store does not respond.
	StoreUnavailable Kind = "store_unavailable"
	// OwnerUnavailable means that the owner of the scheduling domain, the process that schedules the jobs of the
	// region, could not be reached.
	OwnerUnavailable Kind = "owner_unavailable"
	// HomeUnavailable means that the home of a non-idempotent request, which is the only process that may run it, could
	// not be reached.
	HomeUnavailable Kind = "home_unavailable"
	// NoTarget means that no target accepted the request in time.
	NoTarget Kind = "no_target"
	// DeadlineBeforeStart means that the deadline passed before the request was sent.
	DeadlineBeforeStart Kind = "deadline_before_start"
	// AnswerLost means that the request was sent and no complete response was received.
	AnswerLost Kind = "answer_lost"
	// HistoryLost means that an earlier copy of the request may have run, and that this can no longer be determined.
	HistoryLost Kind = "history_lost"
	// TargetFailed means that the target ran the request and reported a failure.
	TargetFailed Kind = "target_failed"
	// Conflict means that the operator's edit is based on an old revision: another edit has been accepted since.
	Conflict Kind = "conflict"
	// Unsatisfiable means that the guarantees of all organisations together do not fit on the fleet.
	Unsatisfiable Kind = "unsatisfiable"
	// NotFound means that the named job, request, organisation or data centre is unknown, or that the data centre to take
	// back is not evacuated.
	NotFound Kind = "not_found"
	// Cancelled means that the job was cancelled before it was stored, and that it is not stored under this id any more.
	Cancelled Kind = "cancelled"
	// Internal means that the system has a defect.
	Internal Kind = "internal"
)

// Effect is the statement that an error kind makes about whether the request ran.
type Effect int

const (
	// EffectNotRun means that no part of the request ran or will run.
	EffectNotRun Effect = iota
	// EffectUnknown means that the request may or may not have run.
	EffectUnknown
	// EffectRan means that the request ran.
	EffectRan
)

// Answer describes the response that a caller gets for an error kind.
type Answer struct {
	Code connect.Code
	// HTTP is the status that the Connect protocol uses for Code.
	HTTP   int
	Effect Effect
	// Retriable is true if the same request may succeed later.
	Retriable bool
}

// answers maps each kind to the response for it; every kind has exactly one row.
var answers = map[Kind]Answer{
	InvalidArgument:     {connect.CodeInvalidArgument, http.StatusBadRequest, EffectNotRun, false},
	UnknownProfile:      {connect.CodeNotFound, http.StatusNotFound, EffectNotRun, false},
	TooLarge:            {connect.CodeResourceExhausted, http.StatusTooManyRequests, EffectNotRun, false},
	Unauthenticated:     {connect.CodeUnauthenticated, http.StatusUnauthorized, EffectNotRun, false},
	PermissionDenied:    {connect.CodePermissionDenied, http.StatusForbidden, EffectNotRun, false},
	Infeasible:          {connect.CodeFailedPrecondition, http.StatusBadRequest, EffectNotRun, false},
	QueueFull:           {connect.CodeResourceExhausted, http.StatusTooManyRequests, EffectNotRun, true},
	Draining:            {connect.CodeUnavailable, http.StatusServiceUnavailable, EffectNotRun, true},
	Starting:            {connect.CodeUnavailable, http.StatusServiceUnavailable, EffectNotRun, true},
	StoreUnavailable:    {connect.CodeUnavailable, http.StatusServiceUnavailable, EffectNotRun, true},
	OwnerUnavailable:    {connect.CodeUnavailable, http.StatusServiceUnavailable, EffectNotRun, true},
	HomeUnavailable:     {connect.CodeUnavailable, http.StatusServiceUnavailable, EffectNotRun, true},
	NoTarget:            {connect.CodeUnavailable, http.StatusServiceUnavailable, EffectNotRun, true},
	DeadlineBeforeStart: {connect.CodeDeadlineExceeded, http.StatusGatewayTimeout, EffectNotRun, true},
	AnswerLost:          {connect.CodeUnknown, http.StatusInternalServerError, EffectUnknown, false},
	HistoryLost:         {connect.CodeUnknown, http.StatusInternalServerError, EffectUnknown, false},
	TargetFailed:        {connect.CodeAborted, http.StatusConflict, EffectRan, false},
	Conflict:            {connect.CodeAborted, http.StatusConflict, EffectNotRun, true},
	Unsatisfiable:       {connect.CodeFailedPrecondition, http.StatusBadRequest, EffectNotRun, false},
	NotFound:            {connect.CodeNotFound, http.StatusNotFound, EffectNotRun, false},
	Cancelled:           {connect.CodeFailedPrecondition, http.StatusBadRequest, EffectNotRun, false},
	Internal:            {connect.CodeInternal, http.StatusInternalServerError, EffectUnknown, false},
}

// Kinds returns all kinds in an unspecified order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}

// AnswerFor returns the response for a kind. For a kind that is not in the list it returns the response for Internal.
func AnswerFor(kind Kind) Answer {
	if answer, ok := answers[kind]; ok {
		return answer
	}
	return answers[Internal]
}

// Error is an error with its kind and, if known, the invalid field of the request and the delay before a retry.
type Error struct {
	Kind   Kind
	Reason string
	// Field is the path of the invalid field; empty if no single field is invalid.
	Field string
	// RetryAfter is the minimum delay before a retry; 0 if it is not known.
	RetryAfter time.Duration
}

// New returns an Error of a kind with a formatted reason.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Reason: fmt.Sprintf(format, args...)}
}

// Error returns the kind, the field if there is one, and the reason.
func (fault *Error) Error() string {
	if fault.Field != "" {
		return fmt.Sprintf("%s: %s: %s", fault.Kind, fault.Field, fault.Reason)
	}
	return fmt.Sprintf("%s: %s", fault.Kind, fault.Reason)
}

// Message returns the text of the error for a response that also carries its Connect code. The text contains the kind
// only if the code does not already name it.
func (fault *Error) Message() string {
	if AnswerFor(fault.Kind).Code.String() != string(fault.Kind) {
		return fault.Error()
	}
	if fault.Field != "" {
		return fault.Field + ": " + fault.Reason
	}
	return fault.Reason
}

// WithField returns a copy of the error with the path of the invalid field.
func (fault *Error) WithField(field string) *Error {
	clone := *fault
	clone.Field = field
	return &clone
}

// WithRetryAfter returns a copy of the error with the minimum delay before a retry.
func (fault *Error) WithRetryAfter(after time.Duration) *Error {
	clone := *fault
	clone.RetryAfter = after
	return &clone
}

// FromError returns the Error in the chain of err. If there is none, it returns an Error of kind Internal with the text
// of err.
func FromError(err error) *Error {
	var fault *Error
	if errors.As(err, &fault) {
		return fault
	}
	return New(Internal, "%v", err)
}

// NotSent reports whether a network call failed before the connection was established. In this case the call had no
// effect.
func NotSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
