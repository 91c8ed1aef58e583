package scheduler

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// returnTime is the time over which the workers of a data centre return to use after it was taken back, so that
	// waiting jobs do not all start there in one decision.
	returnTime = 10 * time.Second
	// returnInterval is the time between two steps of a return.
	returnInterval = 500 * time.Millisecond
)

// evacuationState holds what the core knows of evacuated data centres beyond its configuration.
type evacuationState struct {
	// returning holds the data centres that were taken back and whose workers are returning to use.
	returning []*returningZone
	nextStep  time.Time
	// lastMove is when gangs to move were last searched, and nextMove when they are searched next.
	lastMove time.Time
	nextMove time.Time
}

// returningZone is a data centre that was taken back.
type returningZone struct {
	id    fleet.DataCentreID
	since time.Time
	// workers lists the workers that have not returned to use yet; total is their number at the start.
	workers []*worker
	total   int
}

// nextWake returns when the next step of a return or of the moves is due; zero means never.
func (state *evacuationState) nextWake() time.Time {
	switch {
	case len(state.returning) == 0:
		return state.nextMove
	case state.nextMove.IsZero() || state.nextStep.Before(state.nextMove):
		return state.nextStep
	default:
		return state.nextMove
	}
}

// withoutEvacuations returns a configuration in which no data centre is evacuated.
func withoutEvacuations(config *profile.Config) *profile.Config {
	if config == nil || len(config.Evacuations) == 0 {
		return config
	}
	clone := *config
	clone.Evacuations = nil
	return &clone
}

// isEvacuated reports whether the configuration evacuates a data centre.
func (core *Core) isEvacuated(id fleet.DataCentreID) bool {
	if core.config == nil {
		return false
	}
	_, evacuated := core.config.Evacuations[id]
	return evacuated
}

// evacuatedZones lists the evacuated data centres in which workers are or were listed.
func (core *Core) evacuatedZones() []*zone {
	if core.config == nil || len(core.config.Evacuations) == 0 {
		return nil
	}
	var zones []*zone
	for _, zone := range core.zones {
		if core.isEvacuated(zone.id) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// evacuationsChanged takes the workers of newly evacuated data centres out of use and starts the return of those of
// data centres that were taken back. The cells on workers out of use are bound elsewhere.
func (core *Core) evacuationsChanged(now time.Time) {
	state := &core.evacuation
	state.returning = slices.DeleteFunc(state.returning, func(zone *returningZone) bool {
		return core.isEvacuated(zone.id)
	})
	for _, zone := range core.zones {
		if core.isEvacuated(zone.id) {
			core.takeOutOfUse(zone)
			continue
		}
		core.startReturn(now, zone)
	}
}

func (core *Core) takeOutOfUse(zone *zone) {
	for _, machine := range zone.workers {
		if machine == nil || machine.evacuated {
			continue
		}
		machine.evacuated = true
		core.refresh(machine)
		core.unbindUnfitCells(machine)
	}
}

// startReturn begins the return of a data centre's workers, unless they are in use or return already.
func (core *Core) startReturn(now time.Time, zone *zone) {
	state := &core.evacuation
	if slices.ContainsFunc(state.returning, func(other *returningZone) bool { return other.id == zone.id }) {
		return
	}
	var workers []*worker
	for _, machine := range zone.workers {
		if machine != nil && machine.evacuated {
			workers = append(workers, machine)
		}
	}
	if len(workers) == 0 {
		return
	}
	state.returning = append(state.returning, &returningZone{zone.id, now, workers, len(workers)})
	state.nextStep = now
}

// returnWorkers returns workers of data centres that were taken back to use, evenly over returnTime.
func (core *Core) returnWorkers(now time.Time) {
	state := &core.evacuation
	if len(state.returning) == 0 || now.Before(state.nextStep) {
		return
	}
	state.nextStep = now.Add(returnInterval)
	for _, zone := range state.returning {
		elapsed := now.Sub(zone.since) + returnInterval
		due := zone.total
		if elapsed < returnTime {
			due = int(int64(zone.total) * int64(elapsed) / int64(returnTime))
		}
		count := max(due-(zone.total-len(zone.workers)), 0)
		for _, machine := range zone.workers[:count] {
			machine.evacuated = core.isEvacuated(machine.DataCentre)
			core.refresh(machine)
		}
		zone.workers = zone.workers[count:]
	}
	before := len(state.returning)
	state.returning = slices.DeleteFunc(state.returning, func(zone *returningZone) bool {
		return len(zone.workers) == 0
	})
	if len(state.returning) < before {
		core.repack = true
	}
	core.repackIfSmall()
	core.capacityFreed()
}
