// Package deployment runs the stand-ins of a complete deployment on loopback: platform, workers and targets.
package deployment

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// anyPort is the listen address for which the operating system chooses a free loopback port.
const anyPort = "127.0.0.1:0"

// ListLag is the delay after which a change appears in the VM list of the stand-in.
const ListLag = time.Second

// Standins are the running stand-ins of one deployment.
type Standins struct {
	// Fleet is the inventory. Start replaces the addresses of the workers and targets by those that they listen on.
	Fleet fleet.Inventory
	// FixedPorts makes the stand-ins listen on PlatformAddress and the addresses in Fleet; otherwise the operating
	// system chooses the ports.
	FixedPorts bool
	// WorkerTLS is the configuration for mutual TLS of the workers; nil means no TLS.
	WorkerTLS *tls.Config
	// PlatformAddress is the address of the store and the VM list. Start sets it unless FixedPorts is true.
	PlatformAddress string

	Platform     *platform.Platform
	Workers      map[fleet.WorkerID]*worker.Worker
	Targets      map[fleet.TargetID]*target.Target
	WorkerRecord *worker.Record
	TargetRecord *target.Record

	servers []*http.Server
	group   errgroup.Group
}

// New returns the stand-ins of a fleet, which have not been started.
func New(inventory fleet.Inventory) *Standins {
	inventory.Workers = slices.Clone(inventory.Workers)
	inventory.Targets = slices.Clone(inventory.Targets)
	inventory.Entries = slices.Clone(inventory.Entries)
	return &Standins{
		Fleet:        inventory,
		Platform:     platform.New(),
		Workers:      map[fleet.WorkerID]*worker.Worker{},
		Targets:      map[fleet.TargetID]*target.Target{},
		WorkerRecord: worker.NewRecord(),
		TargetRecord: target.NewRecord(),
	}
}

// Start starts every stand-in and publishes the list of VMs.
func (standins *Standins) Start() error {
	if err := standins.startPlatform(); err != nil {
		return err
	}
	for i := range standins.Fleet.Workers {
		if err := standins.startWorker(&standins.Fleet.Workers[i]); err != nil {
			return err
		}
	}
	for i := range standins.Fleet.Targets {
		if err := standins.startTarget(&standins.Fleet.Targets[i]); err != nil {
			return err
		}
	}
	standins.Publish()
	standins.Platform.SetListLag(ListLag)
	return nil
}

func (standins *Standins) startPlatform() error {
	address := anyPort
	if standins.FixedPorts {
		address = standins.PlatformAddress
	}
	address, err := standins.serve(address, standins.Platform.Handler(), nil)
	standins.PlatformAddress = address
	return err
}

func (standins *Standins) startWorker(machine *fleet.Worker) error {
	standin := worker.New(*machine, standins.WorkerRecord, worker.Settings{})
	address, err := standins.serve(standins.listenAddress(machine.Address), standin.Handler(), standins.WorkerTLS)
	machine.Address = address
	standins.Workers[machine.ID] = standin
	return err
}

func (standins *Standins) startTarget(machine *fleet.Target) error {
	standin, err := target.New(machine.ID, machine.Slots, machine.Connections)
	if err != nil {
		return errors.Wrapf(err, "target %s", machine.ID)
	}
	if standins.FixedPorts {
		listener, err := net.Listen("tcp", machine.Address)
		if err != nil {
			return errors.Wrapf(err, "target %s", machine.ID)
		}
		_ = standin.Listener.Close()
		standin.Listener = listener
	}
	standin.Record = standins.TargetRecord
	standin.Start()
	machine.Address = standin.Address()
	standins.Targets[machine.ID] = standin
	return nil
}

// listenAddress returns the address to listen on for a stand-in with an address in the inventory.
func (standins *Standins) listenAddress(configured string) string {
	if standins.FixedPorts {
		return configured
	}
	return anyPort
}

// serve serves handler in the background and returns the address that it listens on.
func (standins *Standins) serve(address string, handler http.Handler, config *tls.Config) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := transport.NewServer(handler, config)
	standins.servers = append(standins.servers, server)
	standins.group.Go(func() error {
		return transport.Serve(server, listener)
	})
	return listener.Addr().String(), nil
}

// Publish sets the platform's list of VMs to the contents of Fleet.
func (standins *Standins) Publish() {
	inventory := standins.Fleet
	vms := make([]*platformv1.VM, 0, len(inventory.Workers)+len(inventory.Targets)+len(inventory.Entries))
	for _, machine := range inventory.Entries {
		vms = append(vms, &platformv1.VM{
			Id: string(machine.ID), Address: machine.Address,
			Role: platformv1.VMRole_VM_ROLE_ENTRY, State: stateOf(machine.Leaving),
			Region: string(machine.Region), DataCentre: string(machine.DataCentre),
		})
	}
	for _, machine := range inventory.Workers {
		vms = append(vms, &platformv1.VM{
			Id: string(machine.ID), Address: machine.Address,
			Role: platformv1.VMRole_VM_ROLE_WORKER, State: stateOf(machine.Leaving),
			Region: string(machine.Region), DataCentre: string(machine.DataCentre), Rack: string(machine.Rack),
			Cores: int32(machine.Cores), MemoryBytes: int64(machine.Memory), Accelerators: int32(machine.Accelerators),
		})
	}
	for _, machine := range inventory.Targets {
		vms = append(vms, &platformv1.VM{
			Id: string(machine.ID), Address: machine.Address,
			Role: platformv1.VMRole_VM_ROLE_TARGET, State: stateOf(machine.Leaving),
			DataCentre: string(machine.DataCentre), Service: string(machine.Service),
			Slots: int32(machine.Slots), Connections: int32(machine.Connections),
		})
	}
	standins.Platform.SetVMs(vms...)
}

func stateOf(leaving bool) platformv1.VMState {
	if leaving {
		return platformv1.VMState_VM_STATE_LEAVING
	}
	return platformv1.VMState_VM_STATE_LIVE
}

// Close stops every stand-in and waits until all have stopped serving.
func (standins *Standins) Close() error {
	for _, standin := range standins.Targets {
		standin.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range standins.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	return standins.group.Wait()
}
