package worker

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// TestFaults guards against faults that do not do what they say, which would make the tests that use them void.
func TestFaults(t *testing.T) {
	refused := errors.New("refused")
	for name, test := range map[string]struct {
		fault *Fault
		// The response to a stop with an expiry of 2 s and a timeout of 1 s.
		err     error
		done    bool
		refusal string
		// Whether the reservation is listed as active 1 s and 4 s after the stop was sent.
		activeAfterCall, activeLater bool
	}{
		"none":             {nil, nil, true, "", false, false},
		"error":            {&Fault{Err: refused}, refused, false, "", true, true},
		"refusal":          {&Fault{Refusal: "unavailable"}, nil, false, "unavailable", true, true},
		"ignored":          {&Fault{Ignored: true}, nil, true, "", true, true},
		"late":             {&Fault{Delay: 1500 * time.Millisecond}, context.DeadlineExceeded, false, "", true, false},
		"late and expired": {&Fault{Delay: 3 * time.Second}, context.DeadlineExceeded, false, "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standin := New(fleet.Worker{ID: "w", Accelerators: 1}, NewRecord(), Settings{})
				background := context.Background()
				reserved, err := standin.Reserve(background,
					&workerv1.ReserveRequest{LeaseId: "l", Accelerators: 1, TtlMs: 60_000})
				if err != nil || !reserved.Granted {
					t.Fatalf("reserve: %v, %v", reserved, err)
				}
				active := func() bool {
					listing, err := standin.Sync(background, &workerv1.SyncRequest{})
					return err == nil && listing.FreeAccelerators == 0
				}
				standin.SetFault(OrderStop, test.fault)
				sent := time.Now()
				ctx, cancel := context.WithTimeout(background, time.Second)
				defer cancel()
				response, err := standin.Stop(ctx,
					&workerv1.CommandRequest{LeaseId: "l", ExpiresWorkerMs: reserved.WorkerMs + 2000})
				if !errors.Is(err, test.err) || response.GetDone() != test.done ||
					response.GetRefusal() != test.refusal {
					t.Errorf("stop: %v, %v", response, err)
				}
				time.Sleep(time.Until(sent.Add(time.Second)))
				if got := active(); got != test.activeAfterCall {
					t.Errorf("listed as active after the call: %t", got)
				}
				time.Sleep(3 * time.Second)
				if got := active(); got != test.activeLater {
					t.Errorf("listed as active 4 s after the call: %t", got)
				}
				if got := standin.Received(OrderStop); got != 1 {
					t.Errorf("%d stops counted, want 1", got)
				}
			})
		})
	}
}
