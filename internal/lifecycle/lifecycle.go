// Package lifecycle lets Close end a Run and wait for it.
package lifecycle

import (
	"context"
	"sync"
)

// Lifecycle joins the Run and the Close of one component. Its zero value is ready.
type Lifecycle struct {
	mu      sync.Mutex
	closed  bool
	cancels []context.CancelFunc
	running sync.WaitGroup
}

// Begin returns a context that ends with ctx or by Close, and a function that Run calls when it returns.
func (life *Lifecycle) Begin(ctx context.Context) (context.Context, func()) {
	life.mu.Lock()
	defer life.mu.Unlock()
	bounded, cancel := context.WithCancel(ctx)
	if life.closed {
		cancel()
	}
	life.cancels = append(life.cancels, cancel)
	life.running.Add(1)
	return bounded, func() {
		cancel()
		life.running.Done()
	}
}

// Close ends every Run and waits until they have returned. A Run that begins later returns at once.
func (life *Lifecycle) Close() {
	life.mu.Lock()
	life.closed = true
	for _, cancel := range life.cancels {
		cancel()
	}
	life.mu.Unlock()
	life.running.Wait()
}
