package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// WorkerClock is a moment on a worker's own clock, since the start of its life.
type WorkerClock time.Duration

// Token is a fencing token: a worker does nothing for one that is lower than the highest it has seen.
type Token int64

// WorkerEntry is what a worker says of itself.
type WorkerEntry struct {
	ID          fleet.WorkerID
	Incarnation progress.Incarnation
	Address     string
	Service     fleet.ServiceName
	DataCentre  fleet.DataCentreID
	Rack        fleet.RackID
	Labels      []string
	Capacity    workload.Resources
	Draining    bool
	// Remaining is the least time that a draining worker still has.
	Remaining time.Duration
	// Clock is what the worker's clock showed when it wrote the entry.
	Clock WorkerClock
	// Read is when this process read the entry.
	Read time.Time
}

// location returns the life of the worker that the entry is of.
func (entry WorkerEntry) location() progress.Location {
	return progress.Location{Worker: entry.ID, Incarnation: entry.Incarnation}
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Task       workload.TaskID
	Run        progress.RunNumber
	Payload    string
	Checkpoint string
	// Ticket is needed where the job's profile is under advice.
	Ticket Ticket
	// Deadline is until when the run may go on without a further order.
	Deadline WorkerClock
	Token    Token
}

// StopOrder tells a worker to stop a run, and to refuse it if it is not there yet.
type StopOrder struct {
	Task  workload.TaskID
	Run   progress.RunNumber
	Token Token
}

// PollOrder extends the lease of everything that runs on a worker and asks what runs and what ended.
type PollOrder struct {
	Token Token
	// Acknowledged is the number of the latest end that is stored.
	Acknowledged int64
	// Deadline extends the lease; 0 does not.
	Deadline WorkerClock
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// RunStatus is a run that a worker lists as running.
type RunStatus struct {
	Task       workload.TaskID
	Run        progress.RunNumber
	Checkpoint string
	// Percent is the part of the task's work that is done.
	Percent int
	// Load is the tail of the response times of a run that serves, in milliseconds, and of another one the processor
	// that it uses, in thousandths of a core.
	Load int
}

// RunEnd is a run that a worker lists as ended.
type RunEnd struct {
	// Number rises by one for each end of one life of the worker.
	Number     int64
	Task       workload.TaskID
	Run        progress.RunNumber
	How        progress.RunOutcome
	Checkpoint string
}

// Listing is what a worker answers to a HoldOrder.
type Listing struct {
	Clock       WorkerClock
	Incarnation progress.Incarnation
	Running     []RunStatus
	Ended       []RunEnd
}

// Workers sends orders to workers. A *RefusalError proves that the order had no effect; any other error proves nothing.
type Workers interface {
	Start(ctx context.Context, worker WorkerEntry, order StartOrder) (WorkerClock, error)
	Stop(ctx context.Context, worker WorkerEntry, order StopOrder) (WorkerClock, error)
	Poll(ctx context.Context, worker WorkerEntry, order PollOrder) (Listing, error)
	Throttle(ctx context.Context, worker WorkerEntry, order ThrottleOrder) (WorkerClock, error)
}

// Refusal is why a worker refused an order.
type Refusal string

// The refusals of a worker.
const (
	// RefusedToken means that the worker has seen a higher fencing token.
	RefusedToken Refusal = "token"
	// RefusedStaleRun means that a run with this or a higher number has been stopped or has ended there.
	RefusedStaleRun Refusal = "run"
	// RefusedExpired means that the order's deadline has passed.
	RefusedExpired Refusal = "late"
	// RefusedCapacity means that the worker's capacity does not suffice.
	RefusedCapacity Refusal = "room"
	// RefusedUnhealthy means that the worker takes nothing at present.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedIncarnation means that another life of the worker answered.
	RefusedIncarnation Refusal = "life"
	// RefusedTicket means that the start lacks a permit for the worker.
	RefusedTicket Refusal = "ticket"
	// RefusedInvalid means that the worker cannot read the order.
	RefusedInvalid Refusal = "invalid"
)

// RefusalError is an order that a worker refused.
type RefusalError struct{ Reason Refusal }

// Error names the reason.
func (refusal *RefusalError) Error() string {
	return "the worker refused the order: " + string(refusal.Reason)
}

// refusalOf returns the refusal in err, or "" if the outcome of the order is not known.
func refusalOf(err error) Refusal {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}
