// Package lifecycle lets the Close method of a component end its Run method and wait until Run has returned. It also
// provides a Sleep that ends with its context.
package lifecycle

import (
	"context"
	"sync"
)

// Lifecycle coordinates the Run and Close methods of one component: Run calls Begin, and Close calls Close. The zero
// value is ready to use.
type Lifecycle struct {
	mu      sync.Mutex
	closed  bool
	cancels []context.CancelFunc
	running sync.WaitGroup
}

// Begin must be called when Run starts. It returns a context that is cancelled when ctx is cancelled or Close is
// called, and a function that must be called when Run returns.
func (lifecycle *Lifecycle) Begin(ctx context.Context) (context.Context, func()) {
	lifecycle.mu.Lock()
	defer lifecycle.mu.Unlock()
	bounded, cancel := context.WithCancel(ctx)
	if lifecycle.closed {
		cancel()
	}
	lifecycle.cancels = append(lifecycle.cancels, cancel)
	lifecycle.running.Add(1)
	return bounded, func() {
		cancel()
		lifecycle.running.Done()
	}
}

// Close cancels the contexts that Begin returned and waits until every Run has returned. After Close, Begin returns a
// context that is already cancelled.
func (lifecycle *Lifecycle) Close() {
	lifecycle.mu.Lock()
	lifecycle.closed = true
	for _, cancel := range lifecycle.cancels {
		cancel()
	}
	lifecycle.mu.Unlock()
	lifecycle.running.Wait()
}
