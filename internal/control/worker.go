package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// WorkerClock is a time on a worker's own clock, which starts at 0 with each incarnation.
type WorkerClock time.Duration

// Token is a fencing token. A worker refuses orders with a token lower than the highest that it has received.
type Token int64

// WorkerEntry is the state that a worker publishes in the store.
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
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
	// Clock is the time on the worker's clock when it wrote the entry.
	Clock WorkerClock
	// Revision is that of the entry in the store. It grows with each report of the worker; 0 if the entry was not read.
	Revision keyvalue.Revision
	// ReadAt is the local time at which this process read the entry.
	ReadAt time.Time
}

// StartOrder starts a run.
type StartOrder struct {
	Task       workload.TaskID
	Run        progress.RunNumber
	Payload    string
	Checkpoint string
	// Ticket is set if the job's profile requires advice.
	Ticket Ticket
	// Deadline is the end of the run's lease, unless a later order extends it.
	Deadline WorkerClock
	Token    Token
}

// StopOrder stops a run. If the run has not started, the worker refuses a later start of it.
type StopOrder struct {
	Task  workload.TaskID
	Run   progress.RunNumber
	Token Token
}

// PollOrder asks for the running and ended runs of a worker, and extends the leases of all its runs.
type PollOrder struct {
	Token Token
	// Acknowledged is the number up to which the worker may discard ended runs; 0 acknowledges none.
	Acknowledged int64
	// Deadline is the new end of the leases; 0 does not extend them.
	Deadline WorkerClock
	// Wait is how long the worker may wait for an end before it responds.
	Wait time.Duration
}

// RunStatus describes a run that a worker lists as running.
type RunStatus struct {
	Task       workload.TaskID
	Run        progress.RunNumber
	Checkpoint string
	// Percent is the percentage of the task's work that is done.
	Percent int
	// Load is the tail latency in milliseconds for a serving run, and the processor usage in thousandths of a core for
	// any other run.
	Load int
}

// RunEnd describes a run that a worker lists as ended.
type RunEnd struct {
	// Number increases by one with each end in the same incarnation of the worker.
	Number     int64
	Task       workload.TaskID
	Run        progress.RunNumber
	How        progress.RunOutcome
	Checkpoint string
}

// Listing is the response to a PollOrder.
type Listing struct {
	Clock       WorkerClock
	Incarnation progress.Incarnation
	Running     []RunStatus
	Ended       []RunEnd
}

// Workers sends orders to workers. A *RefusalError or ErrUnreachable proves that the order had no effect. After any other
// error the outcome is unknown.
type Workers interface {
	Start(ctx context.Context, worker WorkerEntry, order StartOrder) (WorkerClock, error)
	Stop(ctx context.Context, worker WorkerEntry, order StopOrder) (WorkerClock, error)
	Poll(ctx context.Context, worker WorkerEntry, order PollOrder) (Listing, error)
	Throttle(ctx context.Context, worker WorkerEntry, order ThrottleOrder) (WorkerClock, error)
}

// ErrUnreachable means that no connection to the worker could be made, so that it has not received the order.
var ErrUnreachable = errors.New("no connection to the worker could be made")

// Refusal is the reason for which a worker refused an order.
type Refusal string

// The refusals of a worker.
const (
	// RefusedToken means that the worker has received a higher fencing token.
	RefusedToken Refusal = "token"
	// RefusedStaleRun means that a run of the task with this or a higher number has been stopped or has ended on the
	// worker.
	RefusedStaleRun Refusal = "run"
	// RefusedExpired means that the order's deadline has passed.
	RefusedExpired Refusal = "late"
	// RefusedCapacity means that the worker's capacity is too small.
	RefusedCapacity Refusal = "room"
	// RefusedUnhealthy means that the worker accepts no runs at present.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedIncarnation means that another incarnation of the worker responded.
	RefusedIncarnation Refusal = "life"
	// RefusedTicket means that the start has no valid ticket for this worker.
	RefusedTicket Refusal = "ticket"
	// RefusedInvalid means that the worker cannot decode the order.
	RefusedInvalid Refusal = "invalid"
)

// RefusalError reports that a worker refused an order.
type RefusalError struct{ Reason Refusal }

// Error names the reason.
func (refusal *RefusalError) Error() string {
	return "the worker refused the order: " + string(refusal.Reason)
}

// refusalOf returns the refusal in err, or "" if the outcome of the order is unknown.
func refusalOf(err error) Refusal {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// orderOutcome names the outcome of an order for metrics.
func orderOutcome(err error) string {
	if err == nil {
		return "confirmed"
	}
	if refusal := refusalOf(err); refusal != "" {
		return "refused_" + string(refusal)
	}
	if errors.Is(err, ErrUnreachable) {
		return "unreachable"
	}
	return "unanswered"
}
