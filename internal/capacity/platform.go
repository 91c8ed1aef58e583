package capacity

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/operator"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// configHead measures the acceptance of an edit of the configuration, except for the check that the guarantees fit on
// the fleet together, which configPacking measures. It also measures the size of the store record config/head, which
// lists the current documents and which every process reads after an edit.
func configHead(ctx context.Context) (Series, error) {
	series := Series{Operation: "configuration: one edit accepted; bytes of the head", Unit: "organisations"}
	for _, count := range []int{50, 105, 210} {
		store := standin.NewDirect(standin.New())
		distributor := operator.NewDistributor(store)
		distributor.Parse = profile.ParseOrganisation
		distributor.Check = func(*profile.Config, fleet.Inventory) error { return nil }
		distributor.Inventory = func() (fleet.Inventory, bool) { return fleet.Inventory{Revision: 1}, true }
		revision := int64(0)
		apply := func(index int) error {
			text, _ := json.Marshal(newOrganisation(index))
			response, err := distributor.Apply(ctx, &operatorv1.ApplyRequest{
				SeenRevision: revision, EditId: fmt.Sprintf("edit-%d", revision), DocumentJson: string(text),
				Organisation: string(newOrganisation(index).ID),
			})
			if err != nil {
				return errors.Wrap(err, "apply")
			}
			revision = response.Revision
			return nil
		}
		for i := range count {
			if err := apply(i); err != nil {
				return series, err
			}
		}
		cpu, err := repeat(50, func() error { return apply(0) })
		if err != nil {
			return series, err
		}
		head, err := store.Get(ctx, "config/head")
		if err != nil {
			return series, errors.Wrap(err, "head")
		}
		series.Points = append(series.Points, Point{Size: count, CPU: cpu, Bytes: float64(len(head.Value))})
	}
	return series, nil
}

// listRead measures one full read of the VM list.
func listRead(ctx context.Context) (Series, error) {
	series := Series{Operation: "inventory: one reading of the list of VMs", Unit: "VMs"}
	for _, count := range []int{100, 500, 2000} {
		platformStandin := standin.New()
		vms := make([]*platformv1.VM, count)
		for i := range vms {
			vms[i] = &platformv1.VM{
				Id: fmt.Sprintf("worker-%05d", i), Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
				Role: platformv1.VMRole_VM_ROLE_WORKER, State: platformv1.VMState_VM_STATE_LIVE, Region: "region-1",
				DataCentre: "data-centre-1", Rack: fmt.Sprintf("rack-%d", i/8),
				Cores: 128, MemoryBytes: 512 * gibibyte, Accelerators: 20,
			}
		}
		platformStandin.SetVMs(vms...)
		url, client, counter, stop, err := serveOnLoopback(platformStandin.Handler())
		if err != nil {
			return series, err
		}
		stub := platformv1connect.NewVMListServiceClient(client, url)
		read := func() error {
			// A new VMList knows no revision of the list, so the platform sends the full list and not the response that
			// the list is unchanged.
			_, err := platform.NewVMList(stub, metrics.NewRegistry()).ListVMs(ctx)
			return err
		}
		if err := read(); err != nil {
			stop()
			return series, errors.Wrap(err, "list")
		}
		const reads = 100
		before := counter.bytes.Load()
		cpu, err := repeat(reads, read)
		bytes := float64(counter.bytes.Load()-before) / reads
		stop()
		if err != nil {
			return series, errors.Wrap(err, "list")
		}
		series.Points = append(series.Points, Point{Size: count, CPU: cpu, Bytes: bytes})
	}
	return series, nil
}
