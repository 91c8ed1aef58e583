package platform

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
)

// listing is a state of the fleet from a moment on.
type listing struct {
	since    time.Time
	vms      []*platformv1.VM
	revision int64
}

// SetVMs sets the VMs that the list shows once the lag has passed.
func (platform *Platform) SetVMs(vms ...*platformv1.VM) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	// The first state holds since ever, so that a list that lags is not empty at its start.
	next := listing{vms: slices.Clone(vms), revision: 1}
	if last := len(platform.listings) - 1; last >= 0 {
		next.since = time.Now()
		next.revision = platform.listings[last].revision + 1
	}
	platform.listings = append(platform.listings, next)
}

// SetListLag sets the time by which the list lags behind SetVMs.
func (platform *Platform) SetListLag(lag time.Duration) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.lag = lag
}

// SetListDown makes the VM list refuse all calls, or ends that.
func (platform *Platform) SetListDown(down bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.listDown = down
}

func (platform *Platform) listVMs(known int64) (*platformv1.ListVMsResponse, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.calls.ListVMs++
	if platform.listDown {
		platform.calls.Refused++
		return nil, errDown
	}
	shown := time.Now().Add(-platform.lag)
	for _, state := range slices.Backward(platform.listings) {
		if !state.since.After(shown) && state.revision == known {
			return &platformv1.ListVMsResponse{Revision: known, Unchanged: true}, nil
		}
		if !state.since.After(shown) {
			return &platformv1.ListVMsResponse{Vms: state.vms, Revision: state.revision}, nil
		}
	}
	return &platformv1.ListVMsResponse{}, nil
}
