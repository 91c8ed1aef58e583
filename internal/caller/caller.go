// Package caller speaks to callers: it checks credentials and requests and tells outcomes.
package caller

import (
	"context"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Jobs accepts and follows jobs, wherever the owner of their domain is. Errors are of type *fault.Error.
type Jobs interface {
	Submit(ctx context.Context, id fleet.OrganisationID, request *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error)
	Status(ctx context.Context, key fleet.JobKey) (*callerv1.StatusResponse, error)
	Cancel(ctx context.Context, key fleet.JobKey) (callerv1.Outcome, error)
}

// Calls runs requests on targets. Every answer carries an outcome; none is an error of the transport.
type Calls interface {
	Call(ctx context.Context, id fleet.OrganisationID, request *callerv1.CallRequest) *callerv1.CallResponse
	Status(ctx context.Context, id fleet.OrganisationID, request fleet.RequestID) (*callerv1.StatusResponse, error)
}

// Configs gives the configuration in force; nil until there is one.
type Configs interface {
	Current() *profile.Config
}
