package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const (
	shortestStartDelay   = 50 * time.Millisecond
	longestStartDelay    = 450 * time.Millisecond
	shortestStopDelay    = 100 * time.Millisecond
	longestStopDelay     = 900 * time.Millisecond
	restoreTime          = 2 * time.Second
	tickInterval         = 5 * time.Second
	usageInterval        = 30 * time.Second
	usageLag             = 10 * time.Second
	detectionDelay       = 2 * time.Second
	refusalDelay         = 100 * time.Millisecond
	unreachableDelay     = time.Second
	foreignLeaseDuration = time.Second
	shortestWakeDelay    = time.Millisecond
	maxPastWakes         = 1000
	maxWindows           = 4
	fullSpeedPercent     = 100
	taskLease            = 15 * time.Second
	refusalEffect        = 2 * time.Second
)

// timer is one future occurrence.
type timer struct {
	at       time.Time
	sequence int
	fire     func()
}

// timers is a heap ordered by time, then by order of creation.
type timers []timer

// Len returns the number of timers.
func (timers timers) Len() int { return len(timers) }

// Less orders by time, then by creation.
func (timers timers) Less(i, j int) bool {
	if timers[i].at.Equal(timers[j].at) {
		return timers[i].sequence < timers[j].sequence
	}
	return timers[i].at.Before(timers[j].at)
}

// Swap exchanges two timers.
func (timers timers) Swap(i, j int) { timers[i], timers[j] = timers[j], timers[i] }

// Push appends a timer.
func (timers *timers) Push(value any) { *timers = append(*timers, value.(timer)) }

// Pop removes the last timer.
func (timers *timers) Pop() any {
	last := (*timers)[len(*timers)-1]
	*timers = (*timers)[:len(*timers)-1]
	return last
}

// simulation drives one scheduler through one workload on a virtual clock.
type simulation struct {
	workload       Workload
	scheduler      scheduler.Scheduler
	record         *record
	now            time.Time
	timers         timers
	nextSequence   int
	random         *rand.Rand
	tasks          map[fleet.JobKey]*task
	failingWorkers map[fleet.WorkerID]bool
	// open counts jobs that are submitted or still to come.
	unfinishedJobs int
	nextWake       time.Time
	pastWakes      int
	collector      *collector
}

// Simulate drives a fresh scheduler of a candidate through a workload and returns what was measured.
func Simulate(workload Workload, candidate Candidate) Result {
	simulation := newSimulation(workload, candidate.New())
	simulation.run()
	return simulation.result(candidate.Name)
}

func newSimulation(workload Workload, tested scheduler.Scheduler) *simulation {
	simulation := &simulation{
		workload:       workload,
		scheduler:      tested,
		record:         newRecord(epoch, workload.Deployment.Workers, workload.Deployment.Config),
		now:            epoch,
		random:         rand.New(rand.NewPCG(workload.Seed, 1)),
		tasks:          map[fleet.JobKey]*task{},
		failingWorkers: map[fleet.WorkerID]bool{},
		unfinishedJobs: len(workload.Arrivals),
	}
	simulation.collector = newCollector(simulation.record, workload)
	for _, worker := range workload.FailingWorkers {
		simulation.failingWorkers[worker] = true
	}
	return simulation
}

func (simulation *simulation) run() {
	simulation.scheduler.Apply(simulation.now, scheduler.FleetChanged{Workers: simulation.workload.Deployment.Workers})
	simulation.scheduler.Apply(simulation.now, scheduler.ConfigChanged{Config: simulation.workload.Deployment.Config})
	for i := range simulation.workload.Arrivals {
		arrival := &simulation.workload.Arrivals[i]
		simulation.scheduleAt(arrival.Job.Submitted, func() { simulation.submit(arrival) })
	}
	for _, incident := range simulation.workload.Incidents {
		simulation.scheduleAt(epoch.Add(incident.After), func() { simulation.applyIncident(incident) })
	}
	simulation.scheduleAfter(tickInterval, simulation.tick)
	limit := epoch.Add(maxWindows * simulation.workload.Window)
	for simulation.unfinishedJobs > 0 && len(simulation.timers) > 0 && !simulation.now.After(limit) {
		next := heap.Pop(&simulation.timers).(timer)
		simulation.now = next.at
		simulation.record.now = next.at
		next.fire()
		simulation.executeDecisions()
	}
	for _, state := range simulation.record.active {
		simulation.record.addViolation(RuleUnfinished, "%s, phase %d, submitted after %s: %v", state.job.Key, state.phase,
			state.job.Submitted.Sub(epoch), simulation.scheduler.Explain(state.job.Key))
	}
}

func (simulation *simulation) scheduleAt(at time.Time, fire func()) {
	heap.Push(&simulation.timers, timer{at, simulation.nextSequence, fire})
	simulation.nextSequence++
}

func (simulation *simulation) scheduleAfter(delay time.Duration, fire func()) {
	simulation.scheduleAt(simulation.now.Add(delay), fire)
}

func (simulation *simulation) apply(event scheduler.Event) {
	simulation.scheduler.Apply(simulation.now, event)
}

// settle carries out what the scheduler decides after an event, and checks the invariants.
func (simulation *simulation) executeDecisions() {
	decisions := simulation.scheduler.Decide(simulation.now)
	for _, decision := range decisions {
		simulation.execute(decision)
	}
	simulation.record.guarantees.check()
	simulation.collector.decisions += len(decisions)
	simulation.scheduleWake()
}

// scheduleWake keeps at most one useful wake timer; a scheduler that wakes without end is a violation.
func (simulation *simulation) scheduleWake() {
	wake := simulation.scheduler.NextWake()
	if wake.IsZero() {
		return
	}
	if earliest := simulation.now.Add(shortestWakeDelay); wake.Before(earliest) {
		wake = earliest
		if simulation.pastWakes++; simulation.pastWakes == maxPastWakes {
			simulation.record.addViolation(RuleProtocol, "NextWake is in the past %d times in a row", maxPastWakes)
		}
	} else {
		simulation.pastWakes = 0
	}
	if simulation.nextWake.After(simulation.now) && !wake.Before(simulation.nextWake) {
		return
	}
	simulation.nextWake = wake
	simulation.scheduleAt(wake, func() {})
}

// tick samples the fleet and sends the lagging usage of all running tasks.
func (simulation *simulation) tick() {
	simulation.scheduleAfter(tickInterval, simulation.tick)
	elapsed := simulation.now.Sub(epoch)
	simulation.collector.sample(elapsed)
	if elapsed%usageInterval != 0 {
		return
	}
	var reports []scheduler.UsageReported
	for _, state := range simulation.record.active {
		if state.phase == phaseRunning {
			task := simulation.tasks[state.job.Key]
			reports = append(reports, scheduler.UsageReported{
				Key: state.job.Key, Attempt: state.attempt, Used: task.used(simulation.now),
			})
		}
	}
	simulation.scheduleAfter(usageLag, func() {
		for _, report := range reports {
			simulation.apply(report)
		}
	})
}

// submit offers a job to the scheduler as an entry process does.
func (simulation *simulation) submit(arrival *Arrival) {
	if refusal := simulation.scheduler.Admit(simulation.now, arrival.Job); refusal != nil {
		simulation.recordRefusal(arrival, refusal)
		return
	}
	simulation.tasks[arrival.Job.Key] = newTask(simulation, arrival)
	simulation.record.submit(arrival.Job)
	simulation.apply(scheduler.JobSubmitted{Job: arrival.Job})
}

func (simulation *simulation) recordRefusal(arrival *Arrival, refusal *fault.Error) {
	simulation.unfinishedJobs--
	simulation.collector.refused++
	state := &jobRecord{job: arrival.Job}
	if refusal.Kind == fault.Infeasible && !simulation.record.infeasible(state) {
		simulation.record.addViolation(RuleVerdict, "%s refused: %s", arrival.Job.Key, refusal)
	}
}

func (simulation *simulation) execute(decision scheduler.Decision) {
	switch decision := decision.(type) {
	case scheduler.Place:
		simulation.place(decision)
	case scheduler.Evict:
		if task, ok := simulation.activeTask(decision.Key, decision.Attempt); ok {
			task.evict(decision.Step)
		}
	case scheduler.Throttle:
		if task, ok := simulation.activeTask(decision.Key, decision.Attempt); ok {
			task.throttle(decision.Percent)
		}
	case scheduler.Finish:
		simulation.finish(decision)
	case scheduler.Quarantine:
		simulation.record.quarantine(decision)
	}
}

// running returns the task of an attempt that holds accelerators.
func (simulation *simulation) activeTask(key fleet.JobKey, attempt fleet.Attempt) (*task, bool) {
	state, ok := simulation.record.jobs[key]
	if !ok || state.phase == phaseWaiting || state.phase == phaseFinished || state.attempt != attempt {
		simulation.record.addViolation(RuleProtocol, "command for attempt %d of %s, which does not run", attempt, key)
		return nil, false
	}
	return simulation.tasks[key], true
}

func (simulation *simulation) place(place scheduler.Place) {
	if !simulation.record.place(place) {
		simulation.failPlace(place, nil, refusalDelay)
		return
	}
	for _, member := range place.Members {
		if simulation.record.workers[member.Worker].lost {
			simulation.failPlace(place, []fleet.WorkerID{member.Worker}, unreachableDelay)
			return
		}
	}
	if simulation.random.Float64() < simulation.workload.RefusedPlaces {
		busy := place.Members[0].Worker
		simulation.record.guarantees.restartBounds(refusalEffect)
		simulation.failPlace(place, []fleet.WorkerID{busy}, refusalDelay)
		simulation.record.workers[busy].busy = true
		simulation.scheduleAfter(foreignLeaseDuration, func() {
			simulation.record.workers[busy].busy = false
			simulation.apply(scheduler.WorkerFound{Worker: busy})
		})
		return
	}
	simulation.tasks[place.Job.Key].start(place)
}

func (simulation *simulation) failPlace(place scheduler.Place, busy []fleet.WorkerID, delay time.Duration) {
	simulation.scheduleAfter(delay, func() {
		if state, ok := simulation.record.jobs[place.Job.Key]; ok && state.phase == phaseStarting {
			simulation.record.release(state)
		}
		simulation.apply(scheduler.PlaceFailed{Key: place.Job.Key, Attempt: place.Attempt, Busy: busy})
	})
}

func (simulation *simulation) finish(finish scheduler.Finish) {
	state, ok := simulation.record.jobs[finish.Key]
	unfinished := ok && state.phase != phaseFinished
	simulation.record.finish(finish)
	if unfinished && state.phase == phaseFinished {
		simulation.unfinishedJobs--
		simulation.tasks[finish.Key].recordOutcome(finish.Verdict)
	}
}

func (simulation *simulation) randomDelay(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(simulation.random.Int64N(int64(longest-shortest)))
}
