package control

import (
	"context"
	"sync"
	"time"
)

const (
	// firstRefusedStopPause is the pause after the first refusal of a stop. It doubles with each further refusal up to
	// maxRefusedStopPause, which leaves a worker that accepts stops again most of the 3 s that a cancellation may take.
	firstRefusedStopPause = 250 * time.Millisecond
	maxRefusedStopPause   = time.Second
)

// stopGate limits the stops that a worker receives while it refuses them. Stops to a worker that confirms them, or does
// not answer, pass at once. After a refusal the gate is closed: one stop passes after each pause, as a probe for all
// runs, and the first confirmed stop lets all others pass.
type stopGate struct {
	// turn holds at most one value: the right to send the next probe.
	turn chan struct{}

	mu sync.Mutex
	// pause is the time between two probes; 0 while the gate is open.
	pause time.Duration
	// opened is closed when the gate opens. It is nil while the gate is open.
	opened chan struct{}
}

func newStopGate() *stopGate { return &stopGate{turn: make(chan struct{}, 1)} }

// pass waits until a stop may be sent or ctx is done, and reports whether the stop is a probe. The outcome of each stop
// that passed must be recorded.
func (gate *stopGate) pass(ctx context.Context) (probe bool, err error) {
	gate.mu.Lock()
	opened := gate.opened
	gate.mu.Unlock()
	if opened == nil {
		return false, ctx.Err()
	}
	select {
	case <-opened:
		return false, nil
	case <-gate.turn:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// recordConfirmation opens the gate after a stop was confirmed.
func (gate *stopGate) recordConfirmation() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.opened != nil {
		close(gate.opened)
	}
	gate.opened, gate.pause = nil, 0
}

// recordRefusal closes the gate after a stop was refused. Stops that were sent before the gate closed, and are refused
// after, change nothing.
func (gate *stopGate) recordRefusal(probe bool) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.opened != nil && !probe {
		return
	}
	if gate.opened == nil {
		gate.opened = make(chan struct{})
	}
	gate.pause = min(max(2*gate.pause, firstRefusedStopPause), maxRefusedStopPause)
	time.AfterFunc(gate.pause, gate.grantTurn)
}

// recordNoOutcome lets another run probe after a stop that was not sent or had no response.
func (gate *stopGate) recordNoOutcome(probe bool) {
	if probe {
		gate.grantTurn()
	}
}

func (gate *stopGate) grantTurn() {
	select {
	case gate.turn <- struct{}{}:
	default:
	}
}
