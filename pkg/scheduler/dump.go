package scheduler

import (
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Maximum numbers of items in a dump.
const (
	dumpMembers       = 16
	dumpOrganisations = 256
	dumpShortfalls    = 256
)

// State is the value that Core.Dump returns.
type State struct {
	Revision    fleet.Revision `json:"revision"`
	Workers     int            `json:"workers"`
	Quarantined int            `json:"quarantined"`
	Jobs        int            `json:"jobs"`
	Waiting     int            `json:"waiting"`
	Claiming    int            `json:"claiming"`
	Evicting    int            `json:"evicting"`
	Free        int64          `json:"free_accelerators"`
	Open        int64          `json:"open_accelerators"`
	Steps       uint64         `json:"steps"`
	// Evacuated lists the evacuated data centres of the domain, and Moving counts the gangs that are being moved.
	Evacuated []fleet.DataCentreID `json:"evacuated_data_centres,omitempty"`
	Moving    int                  `json:"moving"`
	// EvacuatedAccelerators counts the accelerators that are still in use in evacuated data centres.
	EvacuatedAccelerators fleet.Accelerators `json:"evacuated_accelerators_in_use"`

	Organisations []OrganisationState `json:"organisations"`
	Shortfalls    []Shortfall         `json:"shortfalls"`
	Placements    []PlacementRecord   `json:"placements"`
	Evictions     []EvictionRecord    `json:"evictions"`
	Refusals      []RefusalRecord     `json:"refusals"`
}

// OrganisationState is the state of one organisation in a dump.
type OrganisationState struct {
	ID         fleet.OrganisationID `json:"organisation"`
	Guaranteed fleet.Accelerators   `json:"guaranteed"`
	Held       fleet.Accelerators   `json:"held"`
	Waiting    int                  `json:"waiting"`
	// Service is the decayed attained service in accelerator-seconds, as of the last change of the accelerators in use.
	Service float64 `json:"service"`
}

// Dump returns a State, whose lists are limited in length.
func (core *Core) Dump() any {
	state := State{
		Workers:     core.presentWorkers,
		Quarantined: core.quarantinedWorkers,
		Jobs:        len(core.jobs),
		Waiting:     core.waitingJobs,
		Claiming:    len(core.claims),
		Evicting:    len(core.evicting),
		Steps:       core.steps,
		Shortfalls:  core.shortfalls(),
		Placements:  core.history.placements.list(),
		Evictions:   core.history.evictions.list(),
		Refusals:    core.history.refusals.list(),
	}
	if core.config != nil {
		state.Revision = core.config.Revision
	}
	for _, zone := range core.zones {
		state.Free += zone.totals[viewFree]
		state.Open += zone.totals[viewOpen]
	}
	for _, zone := range core.evacuatedZones() {
		state.Evacuated = append(state.Evacuated, zone.id)
		state.EvacuatedAccelerators += zone.inUse()
	}
	for _, gang := range core.evicting {
		if gang.moving {
			state.Moving++
		}
	}
	for _, owner := range core.organisations[:min(len(core.organisations), dumpOrganisations)] {
		state.Organisations = append(state.Organisations, OrganisationState{
			owner.id, owner.guaranteed, owner.held, owner.queue.waiting, owner.account.value,
		})
	}
	state.Shortfalls = state.Shortfalls[:min(len(state.Shortfalls), dumpShortfalls)]
	return state
}

// inUse counts the accelerators that gangs use in the data centre.
func (zone *zone) inUse() fleet.Accelerators {
	var used fleet.Accelerators
	for _, machine := range zone.workers {
		if machine == nil {
			continue
		}
		for _, gang := range machine.gangs {
			used += gang.shape().Accelerators * fleet.Accelerators(machine.membersOf(gang))
		}
	}
	return used
}
