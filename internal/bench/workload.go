package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// Names of the workloads.
const (
	// WorkloadPlain has jobs from single accelerators to gangs of several workers. Their work is 85% of the fleet's
	// capacity.
	WorkloadPlain = "plain"
	// WorkloadFragmentation has many small jobs between jobs of whole workers and gangs, at 85% load.
	WorkloadFragmentation = "fragmentation"
	// WorkloadReclaim has one organisation fill the fleet with preemptible work beyond its guarantees. The other
	// organisations then submit urgent jobs for all of their guaranteed shapes.
	WorkloadReclaim = "reclaim"
	// WorkloadFlood is WorkloadCalm with two floods of jobs by one small organisation: first of the least urgent jobs,
	// then of the most urgent ones.
	WorkloadFlood = "flood"
	// WorkloadCalm is WorkloadFlood without the floods.
	WorkloadCalm = "calm"
	// WorkloadCallers has, in each organisation, one large caller that submits most of the work beside eight small
	// callers.
	WorkloadCallers = "callers"
	// WorkloadDeclarations has wrong declared run times, infeasible jobs and jobs that fail on every worker.
	WorkloadDeclarations = "declarations"
	// WorkloadFailingWorkers has workers that fail every task that they start.
	WorkloadFailingWorkers = "failing_workers"
	// WorkloadCancellations cancels most of the unfinished jobs at one time.
	WorkloadCancellations = "cancellations"
	// WorkloadRackLoss loses a rack of workers and recovers it later.
	WorkloadRackLoss = "rack_loss"
)

const (
	workloadWindow = time.Hour
	workloadWarmUp = 5 * time.Minute
	workloadLoad   = 0.85
	// Run times have a log-normal distribution with medianRunTime and runTimeSigma, limited to shortestRunTime and
	// longestRunTime.
	medianRunTime   = 90 * time.Second
	runTimeSigma    = 1.3
	shortestRunTime = 5 * time.Second
	longestRunTime  = 20 * time.Minute
	// ignoreCheckpointShare is the share of jobs that ignore checkpoint requests.
	ignoreCheckpointShare = 0.05
	// burstShare is the share of arrivals that are bursts of up to maxBurst jobs.
	burstShare = 0.1
	maxBurst   = 30
	// failAfter is the time from the start of an attempt that fails to its failure.
	failAfter = 4 * time.Second
)

// epoch is the virtual time at which every simulation starts.
var epoch = time.Date(2026, time.January, 5, 0, 0, 0, 0, time.UTC)

// Arrival is a submitted job with the properties that are hidden from the scheduler and used only by the simulation.
type Arrival struct {
	Job scheduler.Job
	// RunTime is how long the job has to run at full speed.
	RunTime time.Duration
	// CheckpointTime is the time from a checkpoint request until the job has saved its progress and its attempt ends.
	CheckpointTime time.Duration
	// IgnoresCheckpoint is true for a task that continues after a checkpoint request.
	IgnoresCheckpoint bool
	// FailsAlways is true for a job that fails on every worker.
	FailsAlways bool
	// Flood is true for a job of a flood and for a job that fills the fleet in WorkloadReclaim. Measures of completion
	// times and slowdowns exclude it.
	Flood bool
	// LargeCaller is true for a job of a caller that submits many more jobs than other callers.
	LargeCaller bool
}

// Incident is an event that affects several workers or jobs at one time.
type Incident struct {
	After time.Duration
	// Lost and Recovered are the workers that stop responding and those that respond again.
	Lost      []fleet.WorkerID
	Recovered []fleet.WorkerID
	// Cancelled is the share of the unfinished jobs that is cancelled.
	Cancelled float64
}

// Workload is the input of a simulation. It is the same for every candidate.
type Workload struct {
	Name       string
	Deployment Deployment
	Seed       uint64
	// Arrivals are ordered by time of submission.
	Arrivals  []Arrival
	Incidents []Incident
	// FailingWorkers fail every task that they start.
	FailingWorkers []fleet.WorkerID
	// RefusedPlaces is the share of placements that a worker refuses.
	RefusedPlaces float64
	// Window is the time after the start in which jobs arrive. Utilisation and fragmentation are measured from WarmUp
	// to Window.
	WarmUp, Window time.Duration
}

// profileShare is the weight of one profile among the jobs of a workload.
type profileShare struct {
	profile fleet.ProfileName
	weight  float64
}

var plainMix = []profileShare{
	{profileSingle, 0.32}, {profilePair, 0.18}, {profileHalf, 0.14}, {profileWhole, 0.14}, {profileWide, 0.06},
	{profileGang, 0.04}, {profileOnce, 0.04}, {profileOnceSaved, 0.03}, {profileBulk, 0.03}, {profileUrgent, 0.02},
}

var fragmentationMix = []profileShare{
	{profileSingle, 0.55}, {profilePair, 0.20}, {profileHalf, 0.08}, {profileWhole, 0.08}, {profileWide, 0.04},
	{profileGang, 0.03}, {profileOnce, 0.02},
}

// generator draws the arrivals of one workload at random.
type generator struct {
	random     *rand.Rand
	deployment Deployment
	arrivals   []Arrival
}

var workloadGenerators = map[string]func(*generator, *Workload){
	WorkloadPlain: func(generator *generator, _ *Workload) { generator.addMix(plainMix, workloadLoad) },
	WorkloadFragmentation: func(generator *generator, _ *Workload) {
		generator.addMix(fragmentationMix, workloadLoad)
	},
	WorkloadReclaim:        (*generator).addReclaim,
	WorkloadCalm:           func(generator *generator, _ *Workload) { generator.addMix(plainMix, calmLoad) },
	WorkloadFlood:          (*generator).addFlood,
	WorkloadCallers:        (*generator).addCallers,
	WorkloadDeclarations:   (*generator).addDeclarations,
	WorkloadFailingWorkers: (*generator).addFailingWorkers,
	WorkloadCancellations:  (*generator).addCancellations,
	WorkloadRackLoss:       (*generator).addRackLoss,
}

// WorkloadNames returns the names of all workloads, in order.
func WorkloadNames() []string {
	return []string{WorkloadPlain, WorkloadFragmentation, WorkloadReclaim, WorkloadCalm, WorkloadFlood, WorkloadCallers,
		WorkloadDeclarations, WorkloadFailingWorkers, WorkloadCancellations, WorkloadRackLoss}
}

// NewWorkload generates a workload from a seed. It returns an error if the name is unknown.
func NewWorkload(deployment Deployment, name string, seed uint64) (Workload, error) {
	generate, ok := workloadGenerators[name]
	if !ok {
		return Workload{}, errors.Errorf("unknown workload %q, expected one of %v", name, WorkloadNames())
	}
	generator := &generator{random: newRandom(seed), deployment: deployment}
	workload := Workload{Name: name, Deployment: deployment, Seed: seed, WarmUp: workloadWarmUp, Window: workloadWindow}
	generate(generator, &workload)
	slices.SortStableFunc(generator.arrivals, func(a, b Arrival) int {
		return a.Job.Submitted.Compare(b.Job.Submitted)
	})
	workload.Arrivals = generator.arrivals
	return workload, nil
}

// newRandom returns the random number generator for the arrivals of a workload.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// addMix adds jobs until their work is the given share of the fleet's capacity in the window. They arrive at random
// times, alone or in bursts of one caller's jobs of one profile.
func (generator *generator) addMix(shares []profileShare, load float64) {
	capacity := fleet.Accelerators(len(generator.deployment.Workers)) * workerAccelerators
	wanted := load * float64(capacity) * workloadWindow.Seconds()
	for wanted > 0 {
		at := time.Duration(generator.random.Float64() * float64(workloadWindow))
		organisation, profile := generator.drawOrganisation(), generator.drawProfile(shares)
		burst := 1
		if generator.random.Float64() < burstShare {
			burst += generator.random.IntN(maxBurst)
		}
		var caller fleet.CallerID
		for range burst {
			arrival := generator.add(organisation, profile, at, generator.drawRunTime(medianRunTime))
			if caller == "" {
				caller = arrival.Job.Caller
			}
			arrival.Job.Caller = caller
			wanted -= arrival.acceleratorSeconds()
		}
	}
}

// add adds one job and returns it for modification. The pointer is valid until the next call.
func (generator *generator) add(organisation fleet.OrganisationID, name fleet.ProfileName,
	at, runTime time.Duration) *Arrival {
	jobProfile, ok := generator.deployment.Config.Lookup(organisation, name)
	if !ok {
		panic("bench: unknown profile " + string(name))
	}
	generator.arrivals = append(generator.arrivals, Arrival{
		Job: scheduler.Job{
			Key: fleet.JobKey{
				Organisation: organisation,
				Job:          fleet.JobID(fmt.Sprintf("j%05d", len(generator.arrivals))),
			},
			Caller:          fleet.CallerID(fmt.Sprintf("c%d", generator.random.IntN(5))),
			Profile:         *jobProfile,
			Submitted:       epoch.Add(at),
			DeclaredRunTime: runTime,
		},
		RunTime:           runTime,
		CheckpointTime:    300*time.Millisecond + time.Duration(generator.random.Int64N(int64(1500*time.Millisecond))),
		IgnoresCheckpoint: generator.random.Float64() < ignoreCheckpointShare,
	})
	return &generator.arrivals[len(generator.arrivals)-1]
}

// drawOrganisation draws the organisation of a job. The large organisations submit 70% of the work.
func (generator *generator) drawOrganisation() fleet.OrganisationID {
	shares := []float64{0.35, 0.35, 0.15, 0.15}
	return generator.deployment.Organisations[generator.drawIndex(shares)]
}

// drawProfile draws a profile by weight.
func (generator *generator) drawProfile(shares []profileShare) fleet.ProfileName {
	weights := make([]float64, len(shares))
	for i, share := range shares {
		weights[i] = share.weight
	}
	return shares[generator.drawIndex(weights)].profile
}

// drawIndex draws an index by weight.
func (generator *generator) drawIndex(weights []float64) int {
	var sum float64
	for _, weight := range weights {
		sum += weight
	}
	drawn := generator.random.Float64() * sum
	for i, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// drawRunTime draws a run time from a log-normal distribution, limited to shortestRunTime and longestRunTime.
func (generator *generator) drawRunTime(median time.Duration) time.Duration {
	drawn := time.Duration(float64(median) * math.Exp(runTimeSigma*generator.random.NormFloat64()))
	return min(max(drawn, shortestRunTime), longestRunTime).Round(time.Millisecond)
}

// acceleratorSeconds returns the accelerator time of the job in seconds.
func (arrival *Arrival) acceleratorSeconds() float64 {
	return float64(arrival.Job.Profile.Shape.Total()) * arrival.RunTime.Seconds()
}

// largestFirst compares shapes by total accelerators and then by accelerators of a member, the larger first.
func largestFirst(a, b fleet.Shape) int {
	return cmp.Or(cmp.Compare(b.Total(), a.Total()), cmp.Compare(b.Accelerators, a.Accelerators))
}

func isUrgent(job scheduler.Job) bool { return job.Profile.Urgency == profile.UrgencyUrgent }
