package deployment

import (
	"context"
	"testing"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/examples"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1/workerv1connect"
)

// Guards against a stand-in that does not serve, and against a VM list whose address for a worker is not the one that
// the stand-in listens on.
func TestStandinsServe(t *testing.T) {
	loaded, err := examples.Load("armor")
	if err != nil {
		t.Fatal(err)
	}
	standins := New(loaded.Fleet)
	if err := standins.Start(); err != nil {
		t.Fatal(err)
	}
	client := transport.NewHTTPClient(nil)
	list := platformv1connect.NewVMListServiceClient(client, transport.BaseURL(standins.PlatformAddress, nil))
	response, err := list.ListVMs(context.Background(), connect.NewRequest(&platformv1.ListVMsRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	if got := len(response.Msg.Vms); got != 107 {
		t.Errorf("the VM list has %d VMs, want 107", got)
	}
	for _, vm := range response.Msg.Vms {
		if vm.Role != platformv1.VMRole_VM_ROLE_WORKER {
			continue
		}
		stub := workerv1connect.NewWorkerServiceClient(client, transport.BaseURL(vm.Address, nil))
		synced, err := stub.Sync(context.Background(), connect.NewRequest(&workerv1.SyncRequest{}))
		if err != nil || synced.Msg.FreeAccelerators != vm.Accelerators {
			t.Fatalf("worker %s: %v, %v", vm.Id, synced, err)
		}
	}
	client.CloseIdleConnections()
	if err := standins.Close(); err != nil {
		t.Error(err)
	}
}
