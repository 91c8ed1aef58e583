// Package caller serves the API for callers: it checks credentials and requests and returns outcomes.
package caller

import (
	"context"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Jobs submits and cancels jobs and returns their status, whichever entry process owns the domain of the job, the
// region in which the job is scheduled. Errors are of type *fault.Error.
type Jobs interface {
	Submit(ctx context.Context, id fleet.OrganisationID, request *callerv1.SubmitRequest) (
		*callerv1.SubmitResponse, error,
	)
	Status(ctx context.Context, key fleet.JobKey) (*callerv1.StatusResponse, error)
	Cancel(ctx context.Context, key fleet.JobKey) (callerv1.Outcome, error)
}

// Calls runs requests on targets and returns their status. Call returns no error: every response has an outcome, even
// after a transport failure.
type Calls interface {
	Call(ctx context.Context, id fleet.OrganisationID, request *callerv1.CallRequest) *callerv1.CallResponse
	Status(ctx context.Context, id fleet.OrganisationID, request fleet.RequestID) (*callerv1.StatusResponse, error)
}

// Configs provides the configuration in force. Current returns nil until the process has a configuration.
type Configs interface {
	Current() *profile.Config
}
