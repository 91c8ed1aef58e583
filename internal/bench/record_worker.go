package bench

import (
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// workerRecord is the actual state of one worker in the simulation, independent of the scheduler's own state.
type workerRecord struct {
	worker fleet.Worker
	// groups names, for each adjacency, the group of adjacent workers that contains the worker.
	groups [adjacencies]string
	// held, heldCores and heldMemory are the resources of placed members.
	held       fleet.Accelerators
	heldCores  fleet.Cores
	heldMemory fleet.Bytes
	// foreign counts the accelerators held by leases that are unknown to the scheduler.
	foreign fleet.Accelerators
	// busy is true after the worker refused a placement, until it reports its accelerators.
	busy bool
	// lost is true while the worker does not respond. lossReported is true while the scheduler has been notified of it.
	lost         bool
	lossReported bool
	// terminated is true once the worker has left the fleet for good.
	terminated  bool
	quarantined bool
	// evacuated is true while the worker is out of use because its data centre is or recently was evacuated.
	evacuated bool
}

// adjustHeld adds the resources of one member of a shape to those held (sign 1) or subtracts them (sign -1).
func (worker *workerRecord) adjustHeld(shape *fleet.Shape, sign int) {
	worker.held += fleet.Accelerators(sign) * shape.Accelerators
	worker.heldCores += fleet.Cores(sign) * shape.Cores
	worker.heldMemory += fleet.Bytes(sign) * shape.Memory
}

func (worker *workerRecord) overcommitted() bool {
	return worker.held+worker.foreign > worker.worker.Accelerators || worker.heldCores > worker.worker.Cores ||
		worker.heldMemory > worker.worker.Memory
}

// free returns the accelerators that new placements may use; 0 for a worker that is not usable.
func (worker *workerRecord) free() fleet.Accelerators {
	if worker.lost || worker.terminated || worker.quarantined || worker.worker.Leaving || worker.evacuated {
		return 0
	}
	return max(0, worker.worker.Accelerators-worker.held-worker.foreign)
}

// adjacencies is the number of values of fleet.Adjacency.
const adjacencies = 3

// adjacencyGroups returns, for each adjacency, the name of the group of adjacent workers that contains the worker. A
// gang of that adjacency runs within one group.
func adjacencyGroups(worker fleet.Worker) [adjacencies]string {
	centre := string(worker.Region) + "/" + string(worker.DataCentre)
	return [adjacencies]string{
		fleet.AdjacencyDataCentre: centre,
		fleet.AdjacencyRack:       centre + "/" + string(worker.Rack),
		fleet.AdjacencyWorker:     string(worker.ID),
	}
}

// quarantine records the start or the end of a worker's quarantine and checks the number of workers in quarantine.
func (record *record) quarantine(decision scheduler.Quarantine) {
	worker, ok := record.workers[decision.Worker]
	if !ok {
		record.addViolation(RuleProtocol, "quarantine of the unknown worker %s", decision.Worker)
		return
	}
	worker.quarantined = decision.Active
	count, present := 0, 0
	for _, other := range record.order {
		if other.terminated {
			continue
		}
		present++
		if other.quarantined {
			count++
		}
	}
	if decision.Active && count*quarantineDivisor > present {
		record.addViolation(RuleQuarantine, "%d of %d workers in quarantine", count, present)
	}
}
