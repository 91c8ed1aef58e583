package lifecycle

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSleep guards against a Sleep that continues after its context is cancelled, and against one that returns the
// timeout of its internal context as an error.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		startedAt := time.Now()
		if err := Sleep(ctx, time.Minute); err != nil || time.Since(startedAt) != time.Minute {
			t.Errorf("waited %v, %v, want a minute and no error", time.Since(startedAt), err)
		}
		time.AfterFunc(time.Second, cancel)
		startedAt = time.Now()
		if err := Sleep(ctx, time.Hour); err != context.Canceled || time.Since(startedAt) != time.Second {
			t.Errorf("waited %v, %v, want a second and Canceled", time.Since(startedAt), err)
		}
		if err := Sleep(ctx, 0); err != context.Canceled {
			t.Errorf("zero duration with a cancelled context: %v, want Canceled", err)
		}
	})
}
