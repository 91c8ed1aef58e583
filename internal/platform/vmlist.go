package platform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// RemoteVMList is a VMList that calls the platform through a Connect client. Its exported fields are set before its
// first call.
type RemoteVMList struct {
	// Timeout limits each call.
	Timeout time.Duration

	client  platformv1connect.VMListServiceClient
	metrics metrics.Registry

	mu sync.Mutex
	// last is the latest reading; it is returned again as long as the list has not changed.
	last fleet.Inventory
}

// NewVMList returns a list that uses client and counts its calls in registry as platform.vm_list.<outcome>.
func NewVMList(client platformv1connect.VMListServiceClient, registry metrics.Registry) *RemoteVMList {
	return &RemoteVMList{Timeout: defaultTimeout, client: client, metrics: registry}
}

var _ VMList = (*RemoteVMList)(nil)

// ListVMs returns the current contents of the list, which must not be modified, or ErrUnavailable. The platform does
// not send an unchanged list again: with 12,000 VMs, one full reading per second would be 75 KB/s.
func (list *RemoteVMList) ListVMs(ctx context.Context) (fleet.Inventory, error) {
	bounded, cancel := context.WithTimeout(ctx, list.Timeout)
	defer cancel()
	response, err := list.client.ListVMs(bounded,
		connect.NewRequest(&platformv1.ListVMsRequest{KnownRevision: list.newest().Revision}))
	if err != nil {
		list.count("failed")
		return fleet.Inventory{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if response.Msg.GetUnchanged() {
		list.count("unchanged")
		return list.newest(), nil
	}
	list.count("read")
	reading := inventoryFrom(response.Msg)
	list.mu.Lock()
	defer list.mu.Unlock()
	list.last = reading
	return reading, nil
}

func (list *RemoteVMList) newest() fleet.Inventory {
	list.mu.Lock()
	defer list.mu.Unlock()
	return list.last
}

func (list *RemoteVMList) count(outcome string) {
	metrics.GetOrRegisterCounter("platform.vm_list."+outcome, list.metrics).Inc(1)
}

func inventoryFrom(response *platformv1.ListVMsResponse) fleet.Inventory {
	inventory := fleet.Inventory{Revision: response.GetRevision()}
	for _, vm := range response.GetVms() {
		switch vm.GetRole() {
		case platformv1.VMRole_VM_ROLE_ENTRY:
			inventory.Entries = append(inventory.Entries, entryVMFrom(vm))
		case platformv1.VMRole_VM_ROLE_WORKER:
			inventory.Workers = append(inventory.Workers, workerFrom(vm))
		case platformv1.VMRole_VM_ROLE_TARGET:
			inventory.Targets = append(inventory.Targets, targetFrom(vm))
		}
	}
	return inventory
}

func entryVMFrom(vm *platformv1.VM) fleet.EntryVM {
	return fleet.EntryVM{
		ID:         fleet.VMID(vm.GetId()),
		Address:    vm.GetAddress(),
		Region:     fleet.RegionID(vm.GetRegion()),
		DataCentre: fleet.DataCentreID(vm.GetDataCentre()),
		Leaving:    leaving(vm),
	}
}

func workerFrom(vm *platformv1.VM) fleet.Worker {
	return fleet.Worker{
		ID:           fleet.WorkerID(vm.GetId()),
		Address:      vm.GetAddress(),
		Region:       fleet.RegionID(vm.GetRegion()),
		DataCentre:   fleet.DataCentreID(vm.GetDataCentre()),
		Rack:         fleet.RackID(vm.GetRack()),
		Cores:        fleet.Cores(vm.GetCores()),
		Memory:       fleet.Bytes(vm.GetMemoryBytes()),
		Accelerators: fleet.Accelerators(vm.GetAccelerators()),
		Leaving:      leaving(vm),
	}
}

func targetFrom(vm *platformv1.VM) fleet.Target {
	return fleet.Target{
		ID:          fleet.TargetID(vm.GetId()),
		Address:     vm.GetAddress(),
		Service:     fleet.ServiceName(vm.GetService()),
		DataCentre:  fleet.DataCentreID(vm.GetDataCentre()),
		Slots:       int(vm.GetSlots()),
		Connections: int(vm.GetConnections()),
		Leaving:     leaving(vm),
	}
}

func leaving(vm *platformv1.VM) bool { return vm.GetState() == platformv1.VMState_VM_STATE_LEAVING }
