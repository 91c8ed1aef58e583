package platform

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
)

// listing is one version of the VM list and the time from which it is valid.
type listing struct {
	since    time.Time
	vms      []*platformv1.VM
	revision int64
}

// SetVMs sets the VMs that the list contains after the lag has passed.
func (platform *Platform) SetVMs(vms ...*platformv1.VM) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	// The first version is valid since the zero time, so that the list contains it at once in spite of the lag.
	next := listing{vms: slices.Clone(vms), revision: 1}
	if last := len(platform.listings) - 1; last >= 0 {
		next.since = time.Now()
		next.revision = platform.listings[last].revision + 1
	}
	platform.listings = append(platform.listings, next)
}

// SetListLag sets the delay after which a change by SetVMs appears in the list.
func (platform *Platform) SetListLag(lag time.Duration) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.listLag = lag
}

// SetListDown sets whether the VM list is down and refuses all calls.
func (platform *Platform) SetListDown(down bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.listDown = down
}

// listVMs returns the version of the list that was valid listLag ago. If known is the revision of this version, the
// response leaves out the VMs.
func (platform *Platform) listVMs(known int64) (*platformv1.ListVMsResponse, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.calls.ListVMs++
	if platform.listDown {
		platform.calls.Refused++
		return nil, errDown
	}
	asOf := time.Now().Add(-platform.listLag)
	for _, state := range slices.Backward(platform.listings) {
		if !state.since.After(asOf) && state.revision == known {
			return &platformv1.ListVMsResponse{Revision: known, Unchanged: true}, nil
		}
		if !state.since.After(asOf) {
			return &platformv1.ListVMsResponse{Vms: state.vms, Revision: state.revision}, nil
		}
	}
	return &platformv1.ListVMsResponse{}, nil
}
