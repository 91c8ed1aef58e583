package node

import (
	"encoding/json"

	"github.com/quetzalstall/quetzalstall/internal/settings"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Dump is a snapshot of the state of one process, encoded as JSON. Its size does not grow with the number of jobs or
// requests. It holds no tokens, request bodies or keys.
type Dump struct {
	VM             fleet.VMID         `json:"vm_id"`
	DataCentre     fleet.DataCentreID `json:"data_centre"`
	Ready          bool               `json:"ready"`
	Draining       bool               `json:"draining"`
	ConfigRevision fleet.Revision     `json:"config_revision"`
	StoreHealthy   bool               `json:"store_healthy"`
	StoreRegressed bool               `json:"store_regressed"`
	Fleet          FleetDump          `json:"fleet"`
	Membership     any                `json:"membership"`
	Jobs           any                `json:"jobs"`
	Calls          any                `json:"calls"`
	Settings       settings.Settings  `json:"settings"`
}

// FleetDump holds the revision of the VM list that was read last, and the numbers of workers, targets and entry VMs in
// it.
type FleetDump struct {
	Revision int64 `json:"revision"`
	Workers  int   `json:"workers"`
	Targets  int   `json:"targets"`
	Entries  int   `json:"entries"`
}

// Dump returns a snapshot of the state of this process. The snapshot contains the settings without the hash of the
// operators' token.
func (node *Node) Dump() Dump {
	inventory := node.currentInventory()
	redacted := node.Settings
	redacted.OperatorTokenHash = ""
	return Dump{
		VM:             redacted.VM,
		DataCentre:     redacted.DataCentre,
		Ready:          node.Ready(),
		Draining:       node.draining.Load(),
		ConfigRevision: node.config.Revision(),
		StoreHealthy:   node.store.Healthy(),
		StoreRegressed: node.config.StoreRegressed(),
		Fleet: FleetDump{
			Revision: inventory.Revision,
			Workers:  len(inventory.Workers),
			Targets:  len(inventory.Targets),
			Entries:  len(inventory.Entries),
		},
		Membership: node.membership.Dump(),
		Jobs:       node.jobs.Dump(),
		Calls:      node.calls.Dump(),
		Settings:   redacted,
	}
}

// LogDump logs a snapshot of the state of this process as one line.
func (node *Node) LogDump() {
	text, err := json.Marshal(node.Dump())
	if err != nil {
		node.Logger.Error("failed to encode the process state", "error", err)
		return
	}
	node.Logger.Info("process state", "dump", string(text))
}
