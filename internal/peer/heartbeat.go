package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// forgetAfter is the time without a heartbeat after which a process is removed from the members if its VM is not in the
// list of VMs.
const forgetAfter = time.Minute

// Heartbeat records the state of the sending process and returns the state of this process.
func (membership *Membership) Heartbeat(
	_ context.Context, request *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	message := request.Msg
	membership.recordHeartbeat(message.GetAddress(), &peerv1.HeartbeatResponse{
		VmId:           message.GetVmId(),
		Incarnation:    message.GetIncarnation(),
		ConfigRevision: message.GetConfigRevision(),
		Seat:           message.GetSeat(),
		Ready:          message.GetReady(),
		FreeSlots:      message.GetFreeSlots(),
		DataCentre:     message.GetDataCentre(),
	})
	self := membership.Self()
	return connect.NewResponse(&peerv1.HeartbeatResponse{
		VmId:           string(self.VM.ID),
		Incarnation:    self.Incarnation,
		ConfigRevision: int64(membership.Revision()),
		Seat:           int32(self.Seat),
		Ready:          self.Ready,
		FreeSlots:      slotsToProto(self.FreeSlots),
		DataCentre:     string(self.VM.DataCentre),
	}), nil
}

// sendAll sends a heartbeat to every known address to which no heartbeat is in flight.
func (membership *Membership) sendAll(ctx context.Context, group *sync.WaitGroup) {
	self := membership.Self()
	request := &peerv1.HeartbeatRequest{
		VmId:           string(self.VM.ID),
		Incarnation:    self.Incarnation,
		ConfigRevision: int64(membership.Revision()),
		Seat:           int32(self.Seat),
		Ready:          self.Ready,
		FreeSlots:      slotsToProto(self.FreeSlots),
		Address:        self.VM.Address,
		DataCentre:     string(self.VM.DataCentre),
	}
	for _, address := range membership.startSending() {
		group.Go(func() {
			defer membership.endSending(address)
			membership.send(ctx, address, request)
		})
	}
}

// sendTimeoutDivisor determines the timeout of a heartbeat: the interval divided by sendTimeoutDivisor. The timeout
// must end well before the next heartbeat is due, since an address with a heartbeat in flight is skipped. Otherwise,
// after a loss of 2 s in both directions, the next heartbeat would arrive only after the owner had changed.
const sendTimeoutDivisor = 2

// send sends one heartbeat and records the response. Its timeout is shorter than the interval, so that a lost response
// does not delay the next heartbeat to the address.
func (membership *Membership) send(ctx context.Context, address string, request *peerv1.HeartbeatRequest) {
	bounded, cancel := context.WithTimeout(ctx, membership.Interval/sendTimeoutDivisor)
	defer cancel()
	response, err := membership.client(address).Heartbeat(bounded, connect.NewRequest(request))
	if err != nil {
		metrics.GetOrRegisterCounter("peer.heartbeat_failed", membership.Metrics).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("peer.heartbeat", membership.Metrics).Inc(1)
	membership.recordHeartbeat(address, response.Msg)
}

// startSending returns the known addresses to which no heartbeat is in flight, and marks them as having a heartbeat in
// flight. It also removes the clients of addresses that are no longer known.
func (membership *Membership) startSending() []string {
	inventory, _ := membership.Inventory()
	membership.mu.Lock()
	defer membership.mu.Unlock()
	wanted := map[string]bool{}
	for _, entry := range inventory.Entries {
		wanted[entry.Address] = true
	}
	for _, address := range membership.Bootstrap {
		wanted[address] = true
	}
	for _, known := range membership.members {
		wanted[known.peer.VM.Address] = true
	}
	delete(wanted, membership.VM.Address)
	delete(wanted, "")
	for address := range membership.clients {
		if !wanted[address] {
			delete(membership.clients, address)
		}
	}
	var addresses []string
	for address := range wanted {
		if !membership.sending[address] {
			membership.sending[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (membership *Membership) endSending(address string) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	delete(membership.sending, address)
}

func (membership *Membership) client(address string) peerv1connect.PeerServiceClient {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	client, ok := membership.clients[address]
	if !ok {
		client = membership.NewClient(address)
		membership.clients[address] = client
	}
	return client
}

// recordHeartbeat records the state of another process from its heartbeat or from its response to a heartbeat. The
// state of an earlier incarnation is ignored while a later incarnation is live.
func (membership *Membership) recordHeartbeat(address string, message *peerv1.HeartbeatResponse) {
	id := fleet.VMID(message.GetVmId())
	if id == "" || id == membership.VM.ID || address == "" {
		return
	}
	client := membership.client(address)
	vm := membership.describeVM(id, address, fleet.DataCentreID(message.GetDataCentre()))
	reported := Peer{
		VM:          vm,
		Incarnation: message.GetIncarnation(),
		Seat:        Seat(message.GetSeat()),
		Ready:       message.GetReady(),
		FreeSlots:   slotsFromProto(message.GetFreeSlots()),
		Client:      client,
	}
	revision := fleet.Revision(message.GetConfigRevision())
	membership.mu.Lock()
	known, ok := membership.members[id]
	if ok && known.peer.Incarnation > reported.Incarnation && membership.isLive(known, time.Now()) {
		membership.mu.Unlock()
		return
	}
	membership.members[id] = &member{peer: reported, revision: revision, lastHeartbeat: time.Now()}
	membership.mu.Unlock()
	membership.OnRevision(reported, revision)
}

// describeVM returns the VM of an entry process from the list of VMs. If the list does not contain the VM, describeVM
// uses the region of this VM or of a listed VM in the same data centre; without either, the region is empty.
func (membership *Membership) describeVM(id fleet.VMID, address string, dataCentre fleet.DataCentreID) fleet.EntryVM {
	inventory, _ := membership.Inventory()
	described := fleet.EntryVM{ID: id, Address: address, DataCentre: dataCentre}
	for _, entry := range inventory.Entries {
		if entry.ID == id {
			return entry
		}
		if entry.DataCentre == dataCentre {
			described.Region = entry.Region
		}
	}
	if dataCentre == membership.VM.DataCentre {
		described.Region = membership.VM.Region
	}
	return described
}

func slotsToProto(slots map[fleet.ServiceName]int) map[string]int32 {
	converted := make(map[string]int32, len(slots))
	for service, free := range slots {
		converted[string(service)] = int32(free)
	}
	return converted
}

func slotsFromProto(slots map[string]int32) map[fleet.ServiceName]int {
	converted := make(map[fleet.ServiceName]int, len(slots))
	for service, free := range slots {
		converted[fleet.ServiceName(service)] = int(free)
	}
	return converted
}
