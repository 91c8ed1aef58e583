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
	// A start delay is the time from a placement until all members run, a stop delay the time from a stop until the
	// end of the attempt.
	shortestStartDelay = 50 * time.Millisecond
	longestStartDelay  = 450 * time.Millisecond
	shortestStopDelay  = 100 * time.Millisecond
	longestStopDelay   = 900 * time.Millisecond
	// restoreTime is the time at the start of a resumed attempt in which it restores its checkpoint and does no work.
	restoreTime = 2 * time.Second
	// tickInterval is the time between two samples of the free accelerators.
	tickInterval = 5 * time.Second
	// usageInterval is the time between two reports of a running job's usage to the scheduler.
	usageInterval = 30 * time.Second
	// usageLag is the time from the measurement of the usage until the scheduler receives the report.
	usageLag = 10 * time.Second
	// detectionDelay is the time until the scheduler is notified of a lost worker.
	detectionDelay = 2 * time.Second
	// refusalDelay is the time until a placement fails on a worker that refuses it, unreachableDelay the time until it
	// fails on a worker that does not respond.
	refusalDelay     = 100 * time.Millisecond
	unreachableDelay = time.Second
	// foreignLeaseDuration is the time for which a worker stays busy after it refused a placement because of a lease
	// that is unknown to the scheduler.
	foreignLeaseDuration = time.Second
	// shortestWakeDelay is the least time from now until a timer wakes the scheduler. A wake that the scheduler
	// requests for an earlier time is delayed until then.
	shortestWakeDelay = time.Millisecond
	// maxPastWakes is the number of consecutive wakes, each requested for a time less than shortestWakeDelay ahead, at
	// which a violation is recorded.
	maxPastWakes = 1000
	// maxWindows is the maximum length of a simulation, in windows of the workload.
	maxWindows       = 4
	fullSpeedPercent = 100
	// taskLease is the time after which the tasks on a worker that does not respond have ended.
	taskLease = 15 * time.Second
	// refusalEffect is the time after a refused placement for which the limits of guarantees are not checked.
	refusalEffect = 2 * time.Second
)

// timer is a function to call at a virtual time.
type timer struct {
	at       time.Time
	sequence int
	fire     func()
}

// timers is a heap ordered by time and then by order of creation, so that runs are deterministic.
type timers []timer

// Len returns the number of timers.
func (timers timers) Len() int { return len(timers) }

// Less reports whether timer i fires before timer j.
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

// simulation runs one workload against one scheduler on a virtual clock.
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
	// unfinishedJobs counts the jobs without a verdict, including those not submitted yet.
	unfinishedJobs int
	nextWake       time.Time
	pastWakes      int
	collector      *collector
}

// Simulate runs a workload against a new scheduler of the candidate and returns the measures and violations.
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

// run fires timers until all jobs are finished or maxWindows is reached.
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
		simulation.record.addViolation(RuleUnfinished, "%s, phase %d, submitted after %s: %v",
			state.job.Key, state.phase, state.job.Submitted.Sub(epoch),
			simulation.scheduler.Explain(state.job.Key))
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

// executeDecisions executes the scheduler's decisions after an event, checks the guarantees and sets a timer for the
// scheduler's next wake.
func (simulation *simulation) executeDecisions() {
	decisions := simulation.scheduler.Decide(simulation.now)
	for _, decision := range decisions {
		simulation.execute(decision)
	}
	simulation.record.guarantees.check()
	simulation.collector.decisions += len(decisions)
	simulation.scheduleWake()
}

// scheduleWake sets a timer for the scheduler's next wake unless an earlier one is pending. It records a violation if
// the wake is in the past maxPastWakes times in a row, since such a scheduler would wake without end.
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

// tick samples the fleet. Every usageInterval it also reports the usage of all running jobs, with a delay of usageLag.
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

// submit passes a job to the scheduler as an entry process does: it calls Admit and then applies JobSubmitted.
func (simulation *simulation) submit(arrival *Arrival) {
	if refusal := simulation.scheduler.Admit(simulation.now, arrival.Job); refusal != nil {
		simulation.recordRefusal(arrival, refusal)
		return
	}
	simulation.tasks[arrival.Job.Key] = newTask(simulation, arrival)
	simulation.record.submit(arrival.Job)
	simulation.apply(scheduler.JobSubmitted{Job: arrival.Job})
}

// recordRefusal counts a refused job and checks that a refusal as infeasible is justified.
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

// activeTask returns the task of an attempt that holds accelerators. It records a violation if there is none.
func (simulation *simulation) activeTask(key fleet.JobKey, attempt fleet.Attempt) (*task, bool) {
	state, ok := simulation.record.jobs[key]
	if !ok || state.phase == phaseWaiting || state.phase == phaseFinished || state.attempt != attempt {
		simulation.record.addViolation(RuleProtocol, "command for attempt %d of %s, which does not hold accelerators",
			attempt, key)
		return nil, false
	}
	return simulation.tasks[key], true
}

// place starts a placed gang. The placement fails if it violates a rule, if a worker is lost, or at random for the
// share RefusedPlaces of the attempts.
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
		simulation.record.guarantees.restartLimits(refusalEffect)
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

// failPlace reports a failed placement to the scheduler after a delay.
func (simulation *simulation) failPlace(place scheduler.Place, busy []fleet.WorkerID, delay time.Duration) {
	simulation.scheduleAfter(delay, func() {
		if state, ok := simulation.record.jobs[place.Job.Key]; ok && state.phase == phaseStarting {
			simulation.record.release(state)
		}
		simulation.apply(scheduler.PlaceFailed{Key: place.Job.Key, Attempt: place.Attempt, Busy: busy})
	})
}

// finish records a verdict and the job's outcome.
func (simulation *simulation) finish(finish scheduler.Finish) {
	state, ok := simulation.record.jobs[finish.Key]
	unfinished := ok && state.phase != phaseFinished
	simulation.record.finish(finish)
	if unfinished && state.phase == phaseFinished {
		simulation.unfinishedJobs--
		simulation.tasks[finish.Key].recordOutcome(finish.Verdict)
	}
}

// randomDelay draws a delay that is at least the shortest and less than the longest.
func (simulation *simulation) randomDelay(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(simulation.random.Int64N(int64(longest-shortest)))
}
