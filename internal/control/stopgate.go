package control

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/term"
)

const (
	// firstRefusedStopPause is the pause after the first refusal of a stop. It doubles with each further refusal up to
	// maxRefusedStopPause, which leaves a worker that accepts stops again most of the 3 s that a cancellation may take.
	firstRefusedStopPause = 250 * time.Millisecond
	maxRefusedStopPause   = time.Second
)

// stopGate limits the stops that a worker receives while it refuses them. Stops to a worker that confirms them, or does
// not answer, pass at once. After a refusal one stop passes after each pause, whichever run it is for, and the first
// confirmed stop lets all others pass.
type stopGate struct {
	clock term.Clock

	mu sync.Mutex
	// pause is the time between two stops; 0 while the gate is open.
	pause time.Duration
	// next is the earliest time of the next stop while the gate is closed.
	next time.Duration
	// opened is closed when the gate opens. It is nil while the gate is open.
	opened chan struct{}
	// changes counts the changes of pause, so that several stops which were refused at the same time count as one.
	changes int
}

// pass waits until a stop may be sent or ctx is done. It returns the number of changes that recordRefusal expects.
func (gate *stopGate) pass(ctx context.Context) (changes int, err error) {
	for ctx.Err() == nil {
		wait, opened, changes := gate.tryPass()
		if wait <= 0 {
			return changes, nil
		}
		bounded, cancel := context.WithTimeout(ctx, wait)
		select {
		case <-opened:
		case <-bounded.Done():
		}
		cancel()
	}
	return 0, ctx.Err()
}

// tryPass takes the turn of the next stop, or returns how long it is to that turn.
func (gate *stopGate) tryPass() (wait time.Duration, opened <-chan struct{}, changes int) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.pause == 0 {
		return 0, nil, gate.changes
	}
	now := gate.clock()
	if now < gate.next {
		return gate.next - now, gate.opened, gate.changes
	}
	gate.next = now + gate.pause
	return 0, nil, gate.changes
}

// recordRefusal closes the gate after a stop was refused. changes is the value that pass returned for this stop.
func (gate *stopGate) recordRefusal(changes int) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if changes != gate.changes {
		return
	}
	if gate.pause == 0 {
		gate.opened = make(chan struct{})
	}
	gate.changes++
	gate.pause = min(max(2*gate.pause, firstRefusedStopPause), maxRefusedStopPause)
	gate.next = gate.clock() + gate.pause
}

// recordConfirmation opens the gate after a stop was confirmed.
func (gate *stopGate) recordConfirmation() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.pause == 0 {
		return
	}
	close(gate.opened)
	gate.opened = nil
	gate.changes++
	gate.pause = 0
}
