package bench

import (
	"fmt"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// calmLoad is the work of the jobs of WorkloadCalm as a share of the fleet's capacity. It leaves capacity for the
	// floods of WorkloadFlood.
	calmLoad        = 0.55
	floodLowAt      = 10 * time.Minute
	floodUrgentAt   = 30 * time.Minute
	floodLowJobs    = 600
	floodUrgentJobs = 150
	reclaimJobs     = 700
	reclaimAt       = 10 * time.Minute
	reclaimRounds   = 3
	reclaimEvery    = 12 * time.Minute
	failingWorkers  = 2
	cancelledShare  = 0.7
	cancelAt        = 20 * time.Minute
	rackLostAt      = 20 * time.Minute
	rackRecoveredAt = 40 * time.Minute
	refusedPlaces   = 0.01
)

// addFlood adds the jobs of WorkloadCalm and two floods of jobs by the last organisation, which is small: the first of
// the lowest urgency, the second of the highest.
func (generator *generator) addFlood(*Workload) {
	generator.addMix(plainMix, calmLoad)
	flooder := generator.deployment.flooder()
	for range floodLowJobs {
		at := floodLowAt + time.Duration(generator.random.Int64N(int64(time.Minute)))
		generator.add(flooder, profileBulk, at, generator.drawRunTime(medianRunTime)).Flood = true
	}
	for range floodUrgentJobs {
		at := floodUrgentAt + time.Duration(generator.random.Int64N(int64(time.Minute)))
		generator.add(flooder, profileUrgent, at, generator.drawRunTime(medianRunTime)).Flood = true
	}
}

// addReclaim fills the fleet with preemptible work of the first organisation. Then each of the other organisations
// submits, reclaimRounds times, urgent jobs for all of its guaranteed shapes.
func (generator *generator) addReclaim(*Workload) {
	borrower := generator.deployment.Organisations[0]
	for range reclaimJobs {
		at := time.Duration(generator.random.Int64N(int64(time.Minute)))
		generator.add(borrower, profileBulk, at, 10*time.Minute+generator.drawRunTime(medianRunTime)).Flood = true
	}
	for round := range reclaimRounds {
		start := reclaimAt + time.Duration(round)*reclaimEvery
		for _, id := range generator.deployment.Organisations[1:] {
			at := start + time.Duration(generator.random.Int64N(int64(time.Minute)))
			generator.addGuaranteed(id, at)
		}
	}
}

// addGuaranteed adds urgent jobs for all guaranteed shapes of an organisation at the same time.
func (generator *generator) addGuaranteed(id fleet.OrganisationID, at time.Duration) {
	profiles := map[fleet.Accelerators]fleet.ProfileName{8: profileUrgent, 16: profileUrgentWide, 32: profileUrgentGang}
	for _, guarantee := range generator.deployment.Config.Organisations[id].Guarantees {
		for range guarantee.Count {
			generator.add(id, profiles[guarantee.Shape.Total()], at, 2*time.Minute+generator.drawRunTime(medianRunTime))
		}
	}
}

// addCallers gives each organisation one large caller, which submits most of the work in bursts, and eight small
// callers.
func (generator *generator) addCallers(*Workload) {
	const (
		largeLoad  = 0.55
		smallLoad  = 0.25
		burst      = 25
		smallCount = 8
	)
	capacity := float64(len(generator.deployment.Workers)) * float64(workerAccelerators) * workloadWindow.Seconds()
	for work := 0.0; work < largeLoad*capacity; {
		organisation := generator.drawOrganisation()
		at := time.Duration(generator.random.Float64() * float64(workloadWindow))
		for range burst {
			arrival := generator.add(organisation, generator.drawProfile(plainMix), at,
				generator.drawRunTime(medianRunTime))
			arrival.Job.Caller, arrival.LargeCaller = "large", true
			work += arrival.acceleratorSeconds()
		}
	}
	for work := 0.0; work < smallLoad*capacity; {
		at := time.Duration(generator.random.Float64() * float64(workloadWindow))
		arrival := generator.add(generator.drawOrganisation(), generator.drawProfile(plainMix), at,
			generator.drawRunTime(medianRunTime))
		arrival.Job.Caller = fleet.CallerID(fmt.Sprintf("small%d", generator.random.IntN(smallCount)))
		work += arrival.acceleratorSeconds()
	}
}

// addDeclarations adds jobs whose declared run times are missing or wrong by a factor of up to 100, jobs that always
// fail, and infeasible jobs.
func (generator *generator) addDeclarations(workload *Workload) {
	workload.RefusedPlaces = refusedPlaces
	generator.addMix(plainMix, workloadLoad)
	factors := []float64{0, 0.01, 0.1, 1, 10, 100}
	for i := range generator.arrivals {
		arrival := &generator.arrivals[i]
		factor := factors[generator.random.IntN(len(factors))]
		arrival.Job.DeclaredRunTime = time.Duration(factor * float64(arrival.RunTime))
		arrival.FailsAlways = generator.random.Float64() < 0.05
	}
	for range 20 {
		at := time.Duration(generator.random.Float64() * float64(workloadWindow))
		generator.add(generator.drawOrganisation(), profileImpossible, at, medianRunTime)
	}
}

// addFailingWorkers makes two workers, in different data centres, fail every task that they start.
func (generator *generator) addFailingWorkers(workload *Workload) {
	workload.RefusedPlaces = refusedPlaces
	generator.addMix(plainMix, 0.7)
	for i := range failingWorkers {
		workload.FailingWorkers = append(workload.FailingWorkers, generator.deployment.Workers[7+8*i].ID)
	}
}

// addCancellations adds a burst of jobs and then cancels most of the unfinished jobs.
func (generator *generator) addCancellations(workload *Workload) {
	generator.addMix(plainMix, 0.7)
	for range 400 {
		at := cancelAt - time.Duration(generator.random.Int64N(int64(3*time.Minute)))
		generator.add(generator.drawOrganisation(), generator.drawProfile(plainMix), at,
			generator.drawRunTime(medianRunTime))
	}
	workload.Incidents = []Incident{{After: cancelAt, Cancelled: cancelledShare}}
}

// addRackLoss makes the first rack of the first data centre unresponsive for twenty minutes.
func (generator *generator) addRackLoss(workload *Workload) {
	generator.addMix(plainMix, 0.7)
	first := generator.deployment.Workers[0]
	var rack []fleet.WorkerID
	for _, worker := range generator.deployment.Workers {
		if worker.DataCentre == first.DataCentre && worker.Rack == first.Rack {
			rack = append(rack, worker.ID)
		}
	}
	workload.Incidents = []Incident{{After: rackLostAt, Lost: rack}, {After: rackRecoveredAt, Recovered: rack}}
}
