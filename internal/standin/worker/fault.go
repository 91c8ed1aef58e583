package worker

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Order is a kind of command that a worker receives.
type Order string

// The orders for which SetFault can set a fault.
const (
	OrderReserve    Order = "reserve"
	OrderStart      Order = "start"
	OrderRelease    Order = "release"
	OrderStop       Order = "stop"
	OrderCheckpoint Order = "checkpoint"
	OrderThrottle   Order = "throttle"
	OrderSync       Order = "sync"
)

// Fault is a fault of a worker in its handling of one kind of order. At most one of Err, Refusal, Ignored and Delay is
// set.
type Fault struct {
	// Err is returned for each order, and nothing is done.
	Err error
	// Refusal is the reason for which each command is refused, and nothing is done. Syncs have no refusals.
	Refusal string
	// Ignored is true if each command is confirmed and nothing is done. Syncs and reservations are not ignored.
	Ignored bool
	// Delay is the time after which each order is handled. The caller receives no response.
	Delay time.Duration
}

// OrderFaults returns, by name, a fault of each way in which a worker does not carry out an order.
func OrderFaults() map[string]*Fault {
	return map[string]*Fault{
		"unavailable_503":     {Err: connect.NewError(connect.CodeUnavailable, errors.New("unhealthy"))},
		"too_many_429":        {Err: connect.NewError(connect.CodeResourceExhausted, errors.New("busy"))},
		"refused_unavailable": {Refusal: "unavailable"},
		"refused_expired":     {Refusal: "expired"},
		"refused_no_lease":    {Refusal: "no_lease"},
		"confirmed_only":      {Ignored: true},
		"late":                {Delay: 3 * time.Second},
	}
}

// SetFault sets the fault with which the worker handles the orders of a kind from now on; nil ends it.
func (worker *Worker) SetFault(order Order, fault *Fault) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.faults[order] = fault
}

// Received returns how many orders of a kind the worker has received, including those that a fault kept from being
// carried out.
func (worker *Worker) Received(order Order) int {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.received[order]
}

// receive counts an order and returns the fault with which it is handled, if there is one.
func (worker *Worker) receive(order Order) Fault {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.received[order]++
	if fault := worker.faults[order]; fault != nil {
		return *fault
	}
	return Fault{}
}

// handleOrder counts an order and handles it with the worker's fault for its kind. The function handle receives the
// fault, so that it can refuse or ignore the order.
func handleOrder[A any](
	ctx context.Context, worker *Worker, order Order, handle func(context.Context, Fault) (*A, error),
) (*A, error) {
	fault := worker.receive(order)
	switch {
	case fault.Err != nil:
		return nil, fault.Err
	case fault.Delay > 0:
		late := context.WithoutCancel(ctx)
		time.AfterFunc(fault.Delay, func() { _, _ = handle(late, Fault{}) })
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return handle(ctx, fault)
	}
}
