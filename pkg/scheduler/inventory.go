package scheduler

import "github.com/quetzalstall/quetzalstall/pkg/fleet"

// worker returns the state of a worker, new and not present if it is unknown.
func (core *Core) worker(id fleet.WorkerID) *worker {
	if known, ok := core.workers[id]; ok {
		return known
	}
	fresh := &worker{Worker: fleet.Worker{ID: id}, keys: [views]int{absent, absent, absent}}
	core.workers[id] = fresh
	return fresh
}

// zone returns a data centre, new if it is unknown.
func (core *Core) zone(id fleet.DataCentreID) *zone {
	if known, ok := core.zoneOf[id]; ok {
		return known
	}
	fresh := &zone{id: id, serial: len(core.zones), rackOf: map[fleet.RackID]*rack{}}
	core.zoneOf[id] = fresh
	core.zones = append(core.zones, fresh)
	return fresh
}

// fleetChanged replaces the list of workers.
func (core *Core) fleetChanged(listed []fleet.Worker) {
	core.fleetKnown = true
	seen := make(map[fleet.WorkerID]struct{}, len(listed))
	for _, entry := range listed {
		if _, duplicate := seen[entry.ID]; duplicate {
			continue
		}
		seen[entry.ID] = struct{}{}
		core.list(entry)
	}
	for _, zone := range core.zones {
		for _, machine := range zone.workers {
			if machine == nil {
				continue
			}
			if _, ok := seen[machine.ID]; !ok {
				core.unlist(machine)
			}
		}
	}
	core.trimQuarantine()
	core.recheck = true
	core.repack = true
	core.freed()
}

// list takes over one worker of the list.
func (core *Core) list(listed fleet.Worker) {
	machine := core.worker(listed.ID)
	if machine.present && machine.Worker == listed {
		return
	}
	if !machine.present {
		core.present++
	}
	if machine.zone != nil && (machine.DataCentre != listed.DataCentre || machine.Rack != listed.Rack) {
		core.detach(machine)
	}
	machine.Worker = listed
	machine.capacity = capacityOf(listed)
	machine.present = true
	if machine.zone == nil {
		core.zone(listed.DataCentre).insert(machine)
	}
	core.refresh(machine)
	core.breakCells(machine)
	core.steps++
}

// unlist takes a worker out of the fleet; its gangs end by their own events.
func (core *Core) unlist(machine *worker) {
	if !machine.present {
		return
	}
	machine.present = false
	core.present--
	core.breakCells(machine)
	core.detach(machine)
	if machine.health.quarantined {
		core.quarantined--
	}
	machine.health = health{}
	core.forgetIfGone(machine)
}

// detach takes a worker out of the indexes.
func (core *Core) detach(machine *worker) {
	for in := range views {
		machine.zone.rekey(machine, in, absent)
	}
	machine.zone.removeWorker(machine)
}

// forgetIfGone drops a worker that is in no list and holds nothing.
func (core *Core) forgetIfGone(machine *worker) {
	if !machine.present && len(machine.gangs) == 0 && machine.claimed == (resources{}) {
		delete(core.workers, machine.ID)
	}
}

// workerLost takes a worker that does not answer out of use.
func (core *Core) workerLost(id fleet.WorkerID) {
	machine, ok := core.workers[id]
	if !ok || machine.lost {
		return
	}
	machine.lost = true
	core.refresh(machine)
	core.breakCells(machine)
	core.repack = true
	core.bindVersion++
}

// workerFound takes a worker that answers into use.
func (core *Core) workerFound(event WorkerFound) {
	machine, ok := core.workers[event.Worker]
	if !ok {
		return
	}
	if machine.lost {
		core.repack = true
	}
	if event.Foreign < machine.foreign {
		core.repackIfSmall()
	}
	machine.lost = false
	machine.refused = false
	machine.foreign = event.Foreign
	core.refresh(machine)
	core.freed()
}
