// Package lifecycle lets the Close method of a component end its Run method and wait for it.
package lifecycle

import (
	"context"
	"sync"
)

// Lifecycle coordinates the Run and Close methods of one component. Its zero value is ready to use.
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

// Close cancels the context of every Run and waits until all have returned. If Run starts after Close, its context is
// cancelled from the start.
func (lifecycle *Lifecycle) Close() {
	lifecycle.mu.Lock()
	lifecycle.closed = true
	for _, cancel := range lifecycle.cancels {
		cancel()
	}
	lifecycle.mu.Unlock()
	lifecycle.running.Wait()
}
