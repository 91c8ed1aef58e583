package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// task simulates the gang of one job on the workers, over all its attempts.
type task struct {
	simulation *simulation
	arrival    *Arrival
	attempt    fleet.Attempt
	members    []scheduler.Member
	// checkpointedWork is the work in the last confirmed checkpoint, as run time at full speed.
	checkpointedWork time.Duration
	// workDone is the work done until the time updated. Since then the gang runs at speedPercent.
	workDone     time.Duration
	speedPercent int
	updated      time.Time
	// placedAt is the time of the attempt's placement. startedAt is the time since which all members run, or zero.
	placedAt, startedAt time.Time
	firstStart          time.Time
	// evictedAt is the time of the first checkpoint or stop request of the attempt, or zero.
	evictedAt time.Time
	// checkpointing is true while a checkpoint is requested.
	checkpointing bool
	// lost is true once the worker of a member was lost.
	lost bool
	// generation is incremented to cancel all timers of the task.
	generation int
}

func newTask(simulation *simulation, arrival *Arrival) *task {
	return &task{simulation: simulation, arrival: arrival}
}

// schedule calls fire after a delay unless the generation changes before.
func (task *task) schedule(delay time.Duration, fire func()) {
	generation := task.generation
	task.simulation.scheduleAfter(delay, func() {
		if task.generation == generation {
			fire()
		}
	})
}

func (task *task) accelerators() fleet.Accelerators { return task.arrival.Job.Profile.Shape.Total() }

// start begins a placed attempt. Its members run after a random start delay.
func (task *task) start(place scheduler.Place) {
	now := task.simulation.now
	task.generation++
	task.attempt, task.members = place.Attempt, place.Members
	task.placedAt, task.startedAt, task.evictedAt = now, time.Time{}, time.Time{}
	task.checkpointing, task.lost, task.speedPercent = false, false, fullSpeedPercent
	if !place.Resume {
		task.checkpointedWork = 0
	}
	task.workDone = task.checkpointedWork
	task.schedule(task.simulation.randomDelay(shortestStartDelay, longestStartDelay), task.confirmStart)
}

// confirmStart reports that all members run and schedules the end of the attempt or the requested checkpoint.
func (task *task) confirmStart() {
	now := task.simulation.now
	task.startedAt, task.updated = now, now
	if task.firstStart.IsZero() {
		task.firstStart = now
	}
	if task.checkpointedWork > 0 {
		// No work is done while the checkpoint is restored.
		task.updated = now.Add(restoreTime)
		task.simulation.collector.addLostTime(task.accelerators(), restoreTime)
	}
	task.simulation.record.start(task.arrival.Job.Key)
	task.simulation.apply(scheduler.GangStarted{Key: task.arrival.Job.Key, Attempt: task.attempt})
	if task.checkpointing {
		task.checkpoint()
		return
	}
	task.scheduleEnd()
}

// scheduleEnd schedules the end of an attempt that is not interrupted: its completion, or a failure of the job or of a
// worker.
func (task *task) scheduleEnd() {
	var failed []fleet.WorkerID
	for _, member := range task.members {
		if task.simulation.failingWorkers[member.Worker] && !slices.Contains(failed, member.Worker) {
			failed = append(failed, member.Worker)
		}
	}
	if failed == nil && task.arrival.FailsAlways {
		failed = []fleet.WorkerID{task.members[0].Worker}
	}
	if failed != nil {
		task.schedule(failAfter, func() { task.end(scheduler.EndFailed, failed) })
		return
	}
	left := (task.arrival.RunTime - task.workDone) * fullSpeedPercent / time.Duration(max(1, task.speedPercent))
	restoring := max(0, task.updated.Sub(task.simulation.now))
	task.schedule(restoring+left, func() { task.end(scheduler.EndCompleted, nil) })
}

// advance adds the work done since the last update.
func (task *task) advance() {
	now := task.simulation.now
	if !task.startedAt.IsZero() && now.After(task.updated) {
		task.workDone += now.Sub(task.updated) * time.Duration(task.speedPercent) / fullSpeedPercent
		task.updated = now
	}
}

// throttle changes the speed of a running attempt and schedules its end again.
func (task *task) throttle(percent int) {
	if task.startedAt.IsZero() || task.lost || !task.evictedAt.IsZero() {
		return
	}
	task.advance()
	task.generation++
	task.speedPercent = percent
	task.scheduleEnd()
}

// evict handles a checkpoint request or a stop. A stop cancels a checkpoint that is not confirmed.
func (task *task) evict(step scheduler.EvictStep) {
	if task.lost {
		return
	}
	task.advance()
	if task.evictedAt.IsZero() {
		task.evictedAt = task.simulation.now
	}
	if step == scheduler.EvictStop {
		task.checkpointing = false
		task.generation++
		task.schedule(task.simulation.randomDelay(shortestStopDelay, longestStopDelay), func() {
			task.end(scheduler.EndStopped, nil)
		})
		return
	}
	if task.checkpointing {
		return
	}
	task.checkpointing = true
	if !task.startedAt.IsZero() {
		task.checkpoint()
	}
}

// checkpoint saves the progress and ends the attempt. A task that cannot save its progress or ignores checkpoint
// requests continues.
func (task *task) checkpoint() {
	if !task.arrival.Job.Profile.Checkpoint || task.arrival.IgnoresCheckpoint {
		if task.startedAt.Equal(task.simulation.now) {
			task.scheduleEnd()
		}
		return
	}
	task.generation++
	task.schedule(task.arrival.CheckpointTime, func() { task.end(scheduler.EndCheckpointed, nil) })
}

// loseWorker ends the attempt after a member's worker was lost. The end is reported when the task lease expires, since
// the lease may be held until then.
func (task *task) loseWorker(worker fleet.WorkerID) {
	if task.lost {
		return
	}
	task.advance()
	task.lost = true
	task.generation++
	task.schedule(taskLease, func() { task.end(scheduler.EndLost, []fleet.WorkerID{worker}) })
}

func (task *task) usesWorker(worker fleet.WorkerID) bool {
	return slices.ContainsFunc(task.members, func(member scheduler.Member) bool { return member.Worker == worker })
}

// end releases the attempt and reports its end to the scheduler.
func (task *task) end(result scheduler.EndResult, failed []fleet.WorkerID) {
	now := task.simulation.now
	key := task.arrival.Job.Key
	held := now.Sub(task.placedAt)
	task.simulation.collector.addHeldTime(task.accelerators(), held)
	if result == scheduler.EndCheckpointed {
		task.checkpointedWork = task.workDone
	}
	cancelled := task.simulation.record.jobs[key].cancelled
	if !task.evictedAt.IsZero() && !cancelled &&
		(result == scheduler.EndCheckpointed || result == scheduler.EndStopped) {
		task.simulation.collector.evicted++
		// A stop loses the work since the last checkpoint. Each eviction loses the time in which no work is done.
		task.simulation.collector.addLostTime(task.accelerators(),
			task.workDone-task.checkpointedWork+max(0, now.Sub(task.idleSince())))
	}
	used := task.used(now)
	task.generation++
	task.members = nil
	event := scheduler.GangEnded{Key: key, Attempt: task.attempt, Result: result, Failed: failed, Used: used}
	task.simulation.record.end(event)
	task.simulation.apply(event)
}

// idleSince returns the time since which an evicted attempt has done no work.
func (task *task) idleSince() time.Time {
	if task.startedAt.IsZero() {
		return task.evictedAt
	}
	return task.updated
}

// used returns the accelerator time of the attempt until now.
func (task *task) used(now time.Time) fleet.AcceleratorTime {
	return fleet.AcceleratorTime(now.Sub(task.placedAt)) * fleet.AcceleratorTime(task.accelerators())
}

func (task *task) recordOutcome(verdict scheduler.Verdict) {
	task.simulation.collector.addOutcome(task, verdict)
}

// applyIncident loses and recovers the workers and cancels the jobs of an incident.
func (simulation *simulation) applyIncident(incident Incident) {
	for _, worker := range incident.Lost {
		simulation.loseWorker(worker)
	}
	for _, worker := range incident.Recovered {
		simulation.recoverWorker(worker)
	}
	if incident.Cancelled > 0 {
		simulation.cancelShare(incident.Cancelled)
	}
}

// loseWorker makes a worker unresponsive. The scheduler is notified after detectionDelay.
func (simulation *simulation) loseWorker(id fleet.WorkerID) {
	worker := simulation.record.workers[id]
	worker.lost = true
	simulation.record.guarantees.restartLimits(leaseExpiryLimit)
	for _, state := range simulation.record.active {
		if task := simulation.tasks[state.job.Key]; task.usesWorker(id) {
			task.loseWorker(id)
		}
	}
	simulation.scheduleAfter(detectionDelay, func() {
		worker.lossReported = true
		simulation.apply(scheduler.WorkerLost{Worker: id})
	})
}

// recoverWorker makes a lost worker responsive again and notifies the scheduler.
func (simulation *simulation) recoverWorker(id fleet.WorkerID) {
	worker := simulation.record.workers[id]
	worker.lost, worker.lossReported = false, false
	simulation.record.guarantees.restartLimits(leaseExpiryLimit)
	simulation.apply(scheduler.WorkerFound{Worker: id})
}

// cancelShare cancels a random share of the jobs. It selects the same jobs for every candidate and skips those that
// are finished or not submitted.
func (simulation *simulation) cancelShare(share float64) {
	random := rand.New(rand.NewPCG(simulation.workload.Seed, 2))
	for i := range simulation.workload.Arrivals {
		arrival := &simulation.workload.Arrivals[i]
		drawn := random.Float64() < share
		state, ok := simulation.record.jobs[arrival.Job.Key]
		if drawn && ok && state.phase != phaseFinished {
			simulation.record.cancel(arrival.Job.Key)
			simulation.apply(scheduler.JobCancelled{Key: arrival.Job.Key})
		}
	}
}
