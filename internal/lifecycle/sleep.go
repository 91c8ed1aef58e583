package lifecycle

import (
	"context"
	"time"
)

// Sleep waits for a time, or until ctx ends, and returns the error of ctx. It waits on a function timer: due channel
// timers of a synctest bubble crashed the race detector in 3 of 21 runs of one package.
func Sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-bounded.Done()
	return ctx.Err()
}
