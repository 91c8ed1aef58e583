package bench

import (
	"fmt"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// calmLoad leaves the floods room that the other organisations do not need.
	calmLoad       = 0.55
	floodLowAt     = 10 * time.Minute
	floodUrgentAt  = 30 * time.Minute
	floodLowJobs   = 600
	floodHighJobs  = 150
	reclaimJobs    = 700
	reclaimAt      = 10 * time.Minute
	reclaimRounds  = 3
	reclaimEvery   = 12 * time.Minute
	failingWorkers = 2
	cancelShare    = 0.7
	cancelAt       = 20 * time.Minute
	rackLostAt     = 20 * time.Minute
	rackFoundAt    = 40 * time.Minute
	refusedPlaces  = 0.01
)

// addFlood lets the last, small, organisation flood the fleet twice over the jobs of WorkloadCalm.
func (source *source) addFlood(*Workload) {
	source.addMix(plainMix, calmLoad)
	flooder := source.deployment.flooder()
	for range floodLowJobs {
		at := floodLowAt + time.Duration(source.random.Int64N(int64(time.Minute)))
		source.add(flooder, profileBulk, at, source.runTime(medianRunTime)).Flood = true
	}
	for range floodHighJobs {
		at := floodUrgentAt + time.Duration(source.random.Int64N(int64(time.Minute)))
		source.add(flooder, profileUrgent, at, source.runTime(medianRunTime)).Flood = true
	}
}

// addReclaim fills the fleet with preemptible work of the first organisation. The others then ask urgently for
// every shape of their guarantees.
func (source *source) addReclaim(*Workload) {
	borrower := source.deployment.Organisations[0]
	for range reclaimJobs {
		at := time.Duration(source.random.Int64N(int64(time.Minute)))
		source.add(borrower, profileBulk, at, 10*time.Minute+source.runTime(medianRunTime)).Flood = true
	}
	for round := range reclaimRounds {
		start := reclaimAt + time.Duration(round)*reclaimEvery
		for _, id := range source.deployment.Organisations[1:] {
			at := start + time.Duration(source.random.Int64N(int64(time.Minute)))
			source.addGuaranteed(id, at)
		}
	}
}

// addGuaranteed asks for every guaranteed shape of an organisation at the same time.
func (source *source) addGuaranteed(id fleet.OrganisationID, at time.Duration) {
	profiles := map[fleet.Accelerators]fleet.ProfileName{8: profileUrgent, 16: profileUrgentWide, 32: profileUrgentGang}
	for _, guarantee := range source.deployment.Config.Organisations[id].Guarantees {
		for range guarantee.Count {
			source.add(id, profiles[guarantee.Shape.Total()], at, 2*time.Minute+source.runTime(medianRunTime))
		}
	}
}

// addCallers gives each organisation one caller with most of the work, in bursts, and eight small ones.
func (source *source) addCallers(*Workload) {
	const (
		largeLoad  = 0.55
		smallLoad  = 0.25
		burst      = 25
		smallCount = 8
	)
	capacity := float64(len(source.deployment.Workers)) * float64(workerAccelerators) * workloadWindow.Seconds()
	for work := 0.0; work < largeLoad*capacity; {
		organisation := source.organisation()
		at := time.Duration(source.random.Float64() * float64(workloadWindow))
		for range burst {
			arrival := source.add(organisation, source.profile(plainMix), at, source.runTime(medianRunTime))
			arrival.Job.Caller, arrival.LargeCaller = "large", true
			work += arrival.work()
		}
	}
	for work := 0.0; work < smallLoad*capacity; {
		at := time.Duration(source.random.Float64() * float64(workloadWindow))
		arrival := source.add(source.organisation(), source.profile(plainMix), at, source.runTime(medianRunTime))
		arrival.Job.Caller = fleet.CallerID(fmt.Sprintf("small%d", source.random.IntN(smallCount)))
		work += arrival.work()
	}
}

// addDeclarations declares run times that are off by a factor of up to 100 and adds jobs that never succeed.
func (source *source) addDeclarations(workload *Workload) {
	workload.RefusedPlaces = refusedPlaces
	source.addMix(plainMix, workloadLoad)
	factors := []float64{0, 0.01, 0.1, 1, 10, 100}
	for i := range source.arrivals {
		arrival := &source.arrivals[i]
		factor := factors[source.random.IntN(len(factors))]
		arrival.Job.DeclaredRunTime = time.Duration(factor * float64(arrival.RunTime))
		arrival.FailsAlways = source.random.Float64() < 0.05
	}
	for range 20 {
		at := time.Duration(source.random.Float64() * float64(workloadWindow))
		source.add(source.organisation(), profileImpossible, at, medianRunTime)
	}
}

// addFailingWorkers lets two workers, in different data centres, fail whatever they start.
func (source *source) addFailingWorkers(workload *Workload) {
	workload.RefusedPlaces = refusedPlaces
	source.addMix(plainMix, 0.7)
	for i := range failingWorkers {
		workload.FailingWorkers = append(workload.FailingWorkers, source.deployment.Workers[7+8*i].ID)
	}
}

// addCancellations submits a burst and cancels most of what is unfinished.
func (source *source) addCancellations(workload *Workload) {
	source.addMix(plainMix, 0.7)
	for range 400 {
		at := cancelAt - time.Duration(source.random.Int64N(int64(3*time.Minute)))
		source.add(source.organisation(), source.profile(plainMix), at, source.runTime(medianRunTime))
	}
	workload.Incidents = []Incident{{After: cancelAt, Cancelled: cancelShare}}
}

// addRackLoss loses the first rack of the first data centre for twenty minutes.
func (source *source) addRackLoss(workload *Workload) {
	source.addMix(plainMix, 0.7)
	first := source.deployment.Workers[0]
	var rack []fleet.WorkerID
	for _, worker := range source.deployment.Workers {
		if worker.DataCentre == first.DataCentre && worker.Rack == first.Rack {
			rack = append(rack, worker.ID)
		}
	}
	workload.Incidents = []Incident{{After: rackLostAt, Lost: rack}, {After: rackFoundAt, Found: rack}}
}
