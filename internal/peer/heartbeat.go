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

// forgetAfter is the time after which a process that is neither listed nor heard is forgotten.
const forgetAfter = time.Minute

// Heartbeat takes the state of another process and answers with that of this one.
func (membership *Membership) Heartbeat(
	_ context.Context, request *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	message := request.Msg
	membership.heard(message.GetAddress(), &peerv1.HeartbeatResponse{
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

// sendAll sends a heartbeat to every known address that has none in flight.
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

// sendTimeoutPart is the part of the interval that a heartbeat waits for its answer. It ends well before the next one
// is due, which would otherwise be left out: after a loss of 2 s both ways the next one would then come after the
// owner had moved.
const sendTimeoutPart = 2

// send sends one heartbeat. A lost answer does not delay the next one.
func (membership *Membership) send(ctx context.Context, address string, request *peerv1.HeartbeatRequest) {
	bounded, cancel := context.WithTimeout(ctx, membership.Interval/sendTimeoutPart)
	defer cancel()
	response, err := membership.client(address).Heartbeat(bounded, connect.NewRequest(request))
	if err != nil {
		metrics.GetOrRegisterCounter("peer.heartbeat_failed", membership.Metrics).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("peer.heartbeat", membership.Metrics).Inc(1)
	membership.heard(address, response.Msg)
}

// startSending returns the addresses to send to and marks them.
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

// heard takes the state of another process from a heartbeat or from the answer to one.
func (membership *Membership) heard(address string, message *peerv1.HeartbeatResponse) {
	id := fleet.VMID(message.GetVmId())
	if id == "" || id == membership.VM.ID || address == "" {
		return
	}
	client := membership.client(address)
	vm := membership.describe(id, address, fleet.DataCentreID(message.GetDataCentre()))
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
	membership.members[id] = &member{peer: reported, revision: revision, heardAt: time.Now()}
	membership.mu.Unlock()
	membership.OnRevision(reported, revision)
}

// describe returns what the list of VMs shows of a process. One that it does not show has the region of its data
// centre.
func (membership *Membership) describe(id fleet.VMID, address string, dataCentre fleet.DataCentreID) fleet.EntryVM {
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
