package keyvalue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// scriptedStore answers renewals with one error after the other.
type scriptedStore struct {
	Store
	errs []error
}

func (store *scriptedStore) KeepAlive(context.Context, LeaseID) error {
	err := store.errs[0]
	store.errs = store.errs[1:]
	return err
}

// TestMonitorLost guards callers against a process that goes on as if it reached the store, and against one that gives
// the store up for a single lost answer or an answer that refuses something.
func TestMonitorLost(t *testing.T) {
	silent := errors.WithMessage(ErrNoAnswer, "time-out")
	refused := errors.WithMessage(ErrRejected, "status 503")
	tests := []struct {
		name string
		errs []error
		lost bool
	}{
		{"all is well", []error{nil, nil, nil}, false},
		{"one lost answer", []error{nil, silent, nil}, false},
		{"two lost answers", []error{silent, silent}, true},
		{"two refusals", []error{refused, refused}, true},
		{"answers again", []error{silent, silent, nil}, false},
		{"an ended lease is an answer", []error{silent, silent, ErrNotFound}, false},
		{"one lost answer just now", []error{nil, silent}, false},
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
					t.Errorf("lost %t, want %t", lost, test.lost)
				}
			})
		})
	}
}

// TestMonitorIgnoresEndedCalls guards against a store that counts as lost because its own callers gave up.
func TestMonitorIgnoresEndedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := NewMonitor(&scriptedStore{errs: []error{ErrNoAnswer, ErrNoAnswer, ErrNoAnswer}})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 3 {
			_ = monitor.KeepAlive(ctx, 1)
			time.Sleep(lostAfter)
		}
		if monitor.StoreLost() {
			t.Error("calls that were ended count")
		}
	})
}
