package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
)

// TestListIsSentOnlyAfterAChange guards against a platform that sends the complete list for every reading, and against
// a change that is missed because the list is wrongly treated as unchanged.
func TestListIsSentOnlyAfterAChange(t *testing.T) {
	list := standin.New()
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	registry := metrics.NewRegistry()
	client := platform.NewVMList(platformv1connect.NewVMListServiceClient(server.Client(), server.URL), registry)
	worker := func(id string) *platformv1.VM {
		return &platformv1.VM{Id: id, Role: platformv1.VMRole_VM_ROLE_WORKER}
	}
	read := func(want int) {
		t.Helper()
		inventory, err := client.ListVMs(context.Background())
		if err != nil || len(inventory.Workers) != want {
			t.Fatalf("%d workers, error %v, want %d", len(inventory.Workers), err, want)
		}
	}
	list.SetVMs(worker("a"))
	for range 5 {
		read(1)
	}
	list.SetVMs(worker("a"), worker("b"))
	for range 5 {
		read(2)
	}
	list.SetListDown(true)
	if _, err := client.ListVMs(context.Background()); err == nil {
		t.Error("ListVMs returns a reading while the list is down")
	}
	list.SetListDown(false)
	read(2)
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	if full, unchanged := count("platform.vm_list.read"),
		count("platform.vm_list.unchanged"); full != 2 || unchanged != 9 {
		t.Errorf("%d full readings and %d unchanged ones, want 2 and 9", full, unchanged)
	}
}
