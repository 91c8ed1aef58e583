package lifecycle

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wait that outlasts its context, or reports the end of its own time as an error.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		began := time.Now()
		if err := Sleep(ctx, time.Minute); err != nil || time.Since(began) != time.Minute {
			t.Errorf("waited %v, %v, want a minute and no error", time.Since(began), err)
		}
		time.AfterFunc(time.Second, cancel)
		began = time.Now()
		if err := Sleep(ctx, time.Hour); err != context.Canceled || time.Since(began) != time.Second {
			t.Errorf("waited %v, %v, want a second and Canceled", time.Since(began), err)
		}
		if err := Sleep(ctx, 0); err != context.Canceled {
			t.Errorf("no wait on an ended context: %v, want Canceled", err)
		}
	})
}
