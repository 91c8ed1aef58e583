package keyvalue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// scriptedStore returns its errors one after the other for lease renewals.
type scriptedStore struct {
	Store
	errs []error
}

func (store *scriptedStore) KeepAlive(context.Context, LeaseID) error {
	err := store.errs[0]
	store.errs = store.errs[1:]
	return err
}

// TestMonitorStoreLost guards against a monitor that does not detect the loss of the store, and against one that
// reports the loss after a single lost response, or after a response such as "lease not found", which proves that the
// store is reachable.
func TestMonitorStoreLost(t *testing.T) {
	noResponse := errors.WithMessage(ErrNoAnswer, "time-out")
	refused := errors.WithMessage(ErrRejected, "status 503")
	tests := []struct {
		name string
		errs []error
		lost bool
	}{
		{"no failures", []error{nil, nil, nil}, false},
		{"one lost response", []error{nil, noResponse, nil}, false},
		{"two lost responses", []error{noResponse, noResponse}, true},
		{"two refusals", []error{refused, refused}, true},
		{"responds again", []error{noResponse, noResponse, nil}, false},
		{"an expired lease is a response", []error{noResponse, noResponse, ErrNotFound}, false},
		{"one lost response at the end", []error{nil, noResponse}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				monitor := NewMonitor(&scriptedStore{errs: test.errs})
				for range test.errs {
					_ = monitor.KeepAlive(t.Context(), 1)
					time.Sleep(lostAfter)
				}
				if lost := monitor.StoreLost(); lost != test.lost {
					t.Errorf("store lost is %t, want %t", lost, test.lost)
				}
			})
		})
	}
}

// TestMonitorIgnoresCancelledCalls guards against a store that counts as lost only because callers cancelled their
// calls.
func TestMonitorIgnoresCancelledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := NewMonitor(&scriptedStore{errs: []error{ErrNoAnswer, ErrNoAnswer, ErrNoAnswer}})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 3 {
			_ = monitor.KeepAlive(ctx, 1)
			time.Sleep(lostAfter)
		}
		if monitor.StoreLost() {
			t.Error("cancelled calls count as failures of the store")
		}
	})
}
