package scheduler

import "github.com/quetzalstall/quetzalstall/pkg/fleet"

// worker returns the state of a worker. An unknown worker is added as one that is not in the fleet.
func (core *Core) worker(id fleet.WorkerID) *worker {
	if known, ok := core.workers[id]; ok {
		return known
	}
	fresh := &worker{Worker: fleet.Worker{ID: id}, keys: absentKeys()}
	core.workers[id] = fresh
	return fresh
}

// zone returns the state of a data centre, which is added if it is unknown.
func (core *Core) zone(id fleet.DataCentreID) *zone {
	if known, ok := core.zonesByID[id]; ok {
		return known
	}
	fresh := &zone{id: id, serial: len(core.zones), racksByID: map[fleet.RackID]*rack{}}
	core.zonesByID[id] = fresh
	core.zones = append(core.zones, fresh)
	return fresh
}

// fleetChanged replaces the list of workers.
func (core *Core) fleetChanged(listed []fleet.Worker) {
	core.fleetKnown = true
	seen := make(map[fleet.WorkerID]struct{}, len(listed))
	for _, listedWorker := range listed {
		if _, duplicate := seen[listedWorker.ID]; duplicate {
			continue
		}
		seen[listedWorker.ID] = struct{}{}
		core.addListed(listedWorker)
	}
	for _, zone := range core.zones {
		for _, machine := range zone.workers {
			if machine == nil {
				continue
			}
			if _, ok := seen[machine.ID]; !ok {
				core.removeFromFleet(machine)
			}
		}
	}
	core.enforceQuarantineLimit()
	core.recheckFeasibility = true
	core.repack = true
	core.capacityFreed()
}

// addListed adds a worker to the fleet, or updates it if it is already there.
func (core *Core) addListed(listed fleet.Worker) {
	machine := core.worker(listed.ID)
	if machine.present && machine.Worker == listed {
		return
	}
	if !machine.present {
		core.presentWorkers++
	}
	if machine.zone != nil && (machine.DataCentre != listed.DataCentre || machine.Rack != listed.Rack) {
		core.detach(machine)
	}
	machine.Worker = listed
	machine.capacity = capacityOf(listed)
	machine.present = true
	machine.evacuated = core.isEvacuated(listed.DataCentre)
	if machine.zone == nil {
		core.zone(listed.DataCentre).insert(machine)
	}
	core.refresh(machine)
	core.unbindUnfitCells(machine)
	core.steps++
}

// removeFromFleet removes a worker from the fleet. Its gangs keep their accelerators until a GangEnded event for each.
func (core *Core) removeFromFleet(machine *worker) {
	if !machine.present {
		return
	}
	machine.present = false
	core.presentWorkers--
	core.unbindUnfitCells(machine)
	core.detach(machine)
	if machine.health.quarantined {
		core.quarantinedWorkers--
	}
	machine.health = health{}
	core.removeIfUnused(machine)
}

// detach removes a worker from its data centre, its rack and the indexes.
func (core *Core) detach(machine *worker) {
	for index := range views {
		machine.zone.rekey(machine, index, absent)
	}
	machine.zone.removeWorker(machine)
}

// removeIfUnused drops the state of a worker that has left the fleet and is used by no gang or claim.
func (core *Core) removeIfUnused(machine *worker) {
	if !machine.present && len(machine.gangs) == 0 && machine.claimed == (resources{}) {
		delete(core.workers, machine.ID)
	}
}

// workerLost excludes a worker that stopped responding from placement and unbinds the cells on it.
func (core *Core) workerLost(id fleet.WorkerID) {
	machine, ok := core.workers[id]
	if !ok || machine.lost {
		return
	}
	machine.lost = true
	core.refresh(machine)
	core.unbindUnfitCells(machine)
	core.repack = true
	core.bindVersion++
}

// workerFound makes a worker that responds available for placement again.
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
	core.capacityFreed()
}
