package node

import (
	"encoding/json"

	"github.com/quetzalstall/quetzalstall/internal/settings"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Dump is the state of one process. It is bounded in size and holds no tokens, bodies or keys.
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

// FleetDump counts the machines of the last reading of the VM list.
type FleetDump struct {
	Revision int64 `json:"revision"`
	Workers  int   `json:"workers"`
	Targets  int   `json:"targets"`
	Entries  int   `json:"entries"`
}

// Dump returns the state of this process, ready for JSON.
func (node *Node) Dump() Dump {
	reading := node.reading()
	shown := node.Settings
	shown.OperatorTokenHash = ""
	return Dump{
		VM:             shown.VM,
		DataCentre:     shown.DataCentre,
		Ready:          node.Ready(),
		Draining:       node.draining.Load(),
		ConfigRevision: node.config.Revision(),
		StoreHealthy:   node.store.Healthy(),
		StoreRegressed: node.config.StoreRegressed(),
		Fleet: FleetDump{
			Revision: reading.Revision,
			Workers:  len(reading.Workers),
			Targets:  len(reading.Targets),
			Entries:  len(reading.Entries),
		},
		Membership: node.membership.Dump(),
		Jobs:       node.jobs.Dump(),
		Calls:      node.calls.Dump(),
		Settings:   shown,
	}
}

// LogDump writes the state of this process to its log as one line.
func (node *Node) LogDump() {
	text, err := json.Marshal(node.Dump())
	if err != nil {
		node.Logger.Error("state could not be written", "error", err)
		return
	}
	node.Logger.Info("state of the process", "dump", string(text))
}
