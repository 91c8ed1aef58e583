package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const (
	costOrganisations = 210
	// costAccelerators and costCores are the size of each worker.
	costAccelerators = fleet.Accelerators(20)
	costCores        = fleet.Cores(80)
	// costRackSize is the number of workers in a rack.
	costRackSize         = 8
	costCentresPerRegion = 10
	// costLoadFactor is the number of running tasks for each accelerator of the fleet.
	costLoadFactor = 0.83
	// costWaitingPerWorker is the number of waiting jobs for each worker.
	costWaitingPerWorker = 0.1
	// costEventInterval is the virtual time between two events.
	costEventInterval    = 200 * time.Millisecond
	defaultCostDecisions = 2000
	costMedian           = 0.50
	// costGuaranteedShare is the share of the workers that is guaranteed to organisations.
	costGuaranteedShare = 0.3
)

// CostSettings selects the fleet sizes, the number of decisions and the scheduler of MeasureCost.
type CostSettings struct {
	// Workers holds the fleet sizes to measure. Empty selects 50, 500, 3,000 and 12,000.
	Workers []int
	// Decisions is the number of measured decisions at each size. 0 selects 2,000.
	Decisions int
	Candidate Candidate
	Seed      uint64
}

// CostPoint is the cost of decisions at one fleet size. Times are wall-clock time and differ from run to run.
type CostPoint struct {
	Workers int `json:"workers"`
	Tasks   int `json:"tasks"`
	// MedianSteps and P99Steps are the median and the 99th percentile of the scheduler's elementary steps per decision.
	// They are 0 if the scheduler does not count its steps.
	MedianSteps uint64        `json:"median_steps"`
	P99Steps    uint64        `json:"p99_steps"`
	MedianTime  time.Duration `json:"median_time_ns"`
	P99Time     time.Duration `json:"p99_time_ns"`
	MaxTime     time.Duration `json:"max_time_ns"`
	// Heap is the live heap of the loaded scheduler.
	Heap fleet.Bytes `json:"heap_bytes"`
}

// CostReport holds the cost at each fleet size. A slope is the exponent of growth between the first and the last
// size: 0 is constant, 1 is linear.
type CostReport struct {
	Points     []CostPoint `json:"points"`
	StepsSlope float64     `json:"steps_slope"`
	TimeSlope  float64     `json:"time_slope"`
	// HeapPerWorker is the growth of the heap per added worker between the first and the last size.
	HeapPerWorker fleet.Bytes `json:"heap_bytes_per_worker"`
}

// stepCounter is implemented by schedulers that count their elementary steps.
type stepCounter interface {
	// Steps returns the number of steps since the scheduler was created.
	Steps() uint64
}

// MeasureCost measures the cost of decisions on fleets of several sizes. It first fills each fleet to costLoadFactor.
// During the measurement the load is steady: after the end of each gang one job is submitted.
func MeasureCost(settings CostSettings) CostReport {
	if len(settings.Workers) == 0 {
		settings.Workers = []int{50, 500, 3000, 12000}
	}
	if settings.Decisions == 0 {
		settings.Decisions = defaultCostDecisions
	}
	report := CostReport{}
	for _, workers := range settings.Workers {
		report.Points = append(report.Points, measureCost(settings, workers))
	}
	first, last := report.Points[0], report.Points[len(report.Points)-1]
	if last.Workers > first.Workers {
		report.StepsSlope = slope(first, last, func(point CostPoint) float64 { return float64(point.P99Steps) })
		report.TimeSlope = slope(first, last, func(point CostPoint) float64 { return float64(point.P99Time) })
		report.HeapPerWorker = (last.Heap - first.Heap) / fleet.Bytes(last.Workers-first.Workers)
	}
	return report
}

// slope returns the exponent of the growth of a value with the number of workers, or 0 if a value is not positive.
func slope(first, last CostPoint, value func(CostPoint) float64) float64 {
	if value(first) <= 0 || value(last) <= 0 {
		return 0
	}
	return math.Log(value(last)/value(first)) / math.Log(float64(last.Workers)/float64(first.Workers))
}

// costLoad sends events to one scheduler at one fleet size and executes its decisions at once. It does not model run
// times.
type costLoad struct {
	scheduler     scheduler.Scheduler
	config        *profile.Config
	organisations []fleet.OrganisationID
	random        *rand.Rand
	now           time.Time
	// jobs counts the submitted jobs, tasks the members of the placed gangs.
	jobs  int
	tasks int
	// running lists the placed attempts in no order; positions maps a job to the index of its attempt in running.
	running   []scheduler.Place
	positions map[fleet.JobKey]int
	// measuring is true while the steps and times of decisions are recorded.
	measuring bool
	steps     []uint64
	times     []time.Duration
}

func measureCost(settings CostSettings, workers int) CostPoint {
	before := liveHeap()
	load := newCostLoad(settings, workers)
	load.fill(workers)
	load.measuring = true
	for range settings.Decisions / 2 {
		load.endRandomAttempt()
		load.submitRandomJob()
	}
	point := CostPoint{
		Workers:     workers,
		Tasks:       load.tasks,
		MedianSteps: quantile(load.steps, costMedian),
		P99Steps:    quantile(load.steps, 0.99),
		MedianTime:  quantile(load.times, costMedian),
		P99Time:     quantile(load.times, 0.99),
		MaxTime:     quantile(load.times, 1),
	}
	// The heap includes costLoad itself, which is small compared with the scheduler.
	point.Heap = max(0, liveHeap()-before)
	runtime.KeepAlive(load)
	return point
}

// liveHeap returns the size of the reachable heap objects after a garbage collection.
func liveHeap() fleet.Bytes {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return fleet.Bytes(stats.HeapAlloc)
}

func newCostLoad(settings CostSettings, workers int) *costLoad {
	load := &costLoad{
		scheduler: settings.Candidate.New(),
		random:    newRandom(settings.Seed),
		now:       epoch,
		positions: map[fleet.JobKey]int{},
		config:    &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{}},
	}
	load.scheduler.Apply(load.now, scheduler.FleetChanged{Workers: costFleet(workers)})
	profiles := costProfiles()
	guaranteed := int(costGuaranteedShare * float64(workers) / 2)
	for i := range costOrganisations {
		id := fleet.OrganisationID(fmt.Sprintf("team%03d", i))
		organisation := &profile.Organisation{ID: id, MaxWaiting: organisationMaxWaiting, Profiles: profiles}
		if count := (guaranteed + costOrganisations - 1 - i) / costOrganisations; count > 0 {
			organisation.Guarantees = []profile.Guarantee{{Count: count, Shape: *profiles[len(profiles)-1].Shape}}
		}
		load.organisations = append(load.organisations, id)
		load.config.Organisations[id] = organisation
	}
	load.scheduler.Apply(load.now, scheduler.ConfigChanged{Config: load.config})
	return load
}

func costFleet(workers int) []fleet.Worker {
	var all []fleet.Worker
	for i := range workers {
		centre := i * costCentresPerRegion / workers
		all = append(all, fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("w%05d", i)), Region: deploymentRegion,
			DataCentre: fleet.DataCentreID(fmt.Sprintf("dc%d", centre)),
			Rack:       fleet.RackID(fmt.Sprintf("r%04d", i/costRackSize)),
			Cores:      costCores, Memory: 128 * gigabyte, Accelerators: costAccelerators,
		})
	}
	return all
}

// costProfiles returns profiles of small tasks and gangs. The last profile has the guaranteed shape: two whole workers
// in one data centre.
func costProfiles() []profile.Profile {
	shapes := []fleet.Shape{
		{Members: 1, Accelerators: 1, Adjacency: fleet.AdjacencyWorker},
		{Members: 4, Accelerators: 1, Adjacency: fleet.AdjacencyRack},
		{Members: 1, Accelerators: 4, Adjacency: fleet.AdjacencyWorker},
		{Members: 16, Accelerators: 1, Adjacency: fleet.AdjacencyDataCentre},
		{Members: 2, Accelerators: costAccelerators, Adjacency: fleet.AdjacencyDataCentre},
	}
	var profiles []profile.Profile
	for i, shape := range shapes {
		shape.Cores, shape.Memory = fleet.Cores(shape.Accelerators), fleet.Bytes(shape.Accelerators)*gigabyte
		profiles = append(profiles, profile.Profile{
			Name: fleet.ProfileName(fmt.Sprintf("p%d", i)), Shape: &shape, Urgency: profile.Urgency(1 + i%3),
			Idempotent: true, Checkpoint: true, Limits: profile.Limits{MaxWaiting: organisationMaxWaiting},
		})
	}
	return profiles
}

// fill submits random jobs until the fleet is loaded to costLoadFactor, or until as many consecutive submissions as
// there are workers led to no placement. It then submits jobs of the guaranteed shape, costWaitingPerWorker for each
// worker, which have to wait.
func (load *costLoad) fill(workers int) {
	wanted := int(costLoadFactor * float64(workers) * float64(costAccelerators))
	for stalled := 0; load.tasks < wanted && stalled < workers; stalled++ {
		before := load.tasks
		load.submitRandomJob()
		if load.tasks > before {
			stalled = 0
		}
	}
	for range int(costWaitingPerWorker * float64(workers)) {
		load.submit(len(load.config.Organisations[load.organisations[0]].Profiles) - 1)
	}
}

// submitRandomJob submits a job of a random profile without guarantees.
func (load *costLoad) submitRandomJob() { load.submit(load.random.IntN(4)) }

func (load *costLoad) submit(profileIndex int) {
	organisation := load.organisations[load.random.IntN(len(load.organisations))]
	load.jobs++
	load.apply(scheduler.JobSubmitted{Job: scheduler.Job{
		Key:       fleet.JobKey{Organisation: organisation, Job: fleet.JobID(fmt.Sprintf("j%07d", load.jobs))},
		Caller:    fleet.CallerID(fmt.Sprintf("c%d", load.random.IntN(3))),
		Profile:   load.config.Organisations[organisation].Profiles[profileIndex],
		Submitted: load.now,
	}})
}

// endRandomAttempt completes a random running attempt, if there is one.
func (load *costLoad) endRandomAttempt() {
	if len(load.running) == 0 {
		return
	}
	load.endAttempt(load.running[load.random.IntN(len(load.running))], scheduler.EndCompleted)
}

// endAttempt removes an attempt from the running ones and reports its end to the scheduler.
func (load *costLoad) endAttempt(place scheduler.Place, result scheduler.EndResult) {
	position := load.positions[place.Job.Key]
	last := len(load.running) - 1
	load.running[position] = load.running[last]
	load.positions[load.running[position].Job.Key] = position
	load.running = load.running[:last]
	delete(load.positions, place.Job.Key)
	load.tasks -= len(place.Members)
	load.apply(scheduler.GangEnded{
		Key: place.Job.Key, Attempt: place.Attempt, Result: result, Used: fleet.AcceleratorTime(time.Minute),
	})
}

// apply applies one event to the scheduler and executes the resulting decisions at once. If load.measuring is true, it
// records the steps and the time that the scheduler took.
func (load *costLoad) apply(event scheduler.Event) {
	load.now = load.now.Add(costEventInterval)
	counter, countsSteps := load.scheduler.(stepCounter)
	var before uint64
	if countsSteps {
		before = counter.Steps()
	}
	began := time.Now()
	load.scheduler.Apply(load.now, event)
	decisions := load.scheduler.Decide(load.now)
	if load.measuring {
		load.times = append(load.times, time.Since(began))
		if countsSteps {
			load.steps = append(load.steps, counter.Steps()-before)
		}
	}
	for _, decision := range decisions {
		load.execute(decision)
	}
}

// execute confirms a placement or an eviction. It ignores other decisions.
func (load *costLoad) execute(decision scheduler.Decision) {
	switch decision := decision.(type) {
	case scheduler.Place:
		load.positions[decision.Job.Key] = len(load.running)
		load.running = append(load.running, decision)
		load.tasks += len(decision.Members)
		load.apply(scheduler.GangStarted{Key: decision.Job.Key, Attempt: decision.Attempt})
	case scheduler.Evict:
		if position, ok := load.positions[decision.Key]; ok {
			load.endAttempt(load.running[position], scheduler.EndCheckpointed)
		}
	}
}

// Markdown returns a table with a row for each fleet size, followed by the slopes.
func (report CostReport) Markdown() string {
	var text strings.Builder
	text.WriteString("| workers | tasks | median steps | p99 steps | median | p99 | max | heap |\n|---|---|---|---|---|---|---|---|\n")
	for _, point := range report.Points {
		fmt.Fprintf(&text, "| %d | %d | %d | %d | %s | %s | %s | %.1f MB |\n",
			point.Workers, point.Tasks, point.MedianSteps, point.P99Steps, point.MedianTime, point.P99Time,
			point.MaxTime, float64(point.Heap)/(1<<20))
	}
	fmt.Fprintf(&text, "\nslopes: steps %.2f, time %.2f; heap %d bytes per worker\n",
		report.StepsSlope, report.TimeSlope, report.HeapPerWorker)
	return text.String()
}
