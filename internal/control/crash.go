package control

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workerhealth"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// A task may crash each worker that it starts on. Nobody can tell from one crash which of the runs on the worker is to
// blame. The runs that had just started there are suspected: they start again each on a worker without other runs,
// where a further crash shows who is to blame and costs nobody else their work. If none had just started, all runs there
// share the crash, and those that share three in succession are suspected.

const (
	// promptCrash is the time from the start of a run within which a crash of its worker makes the run a suspect.
	promptCrash = 500 * time.Millisecond
	// isolationWait is how long a suspected unit waits for a worker without runs. It is below the time after which a job
	// that could run counts as forgotten.
	isolationWait = 2 * time.Second
	// maxIsolation is the longest time for which a suspected run has its worker to itself, however late workers crashed
	// under its task. lastingIsolation is that of a task that lasts.
	maxIsolation     = 10 * time.Second
	lastingIsolation = 2 * time.Second
	// reliableAfter is how long a worker must have answered before a suspected unit starts there.
	reliableAfter = 10 * time.Second
	// coincidence is the time within which crashes of several workers may have a common cause.
	coincidence = time.Second
	// backgroundWindow is how long the crash of a worker for which no run can be to blame shows that workers crash by
	// themselves, so that no crash proves anything against a task alone.
	backgroundWindow = 10 * time.Second
	// unexplainedCrashes is the number of workers that crashed at about the same time without a suspect, from which on
	// another cause than a run is assumed. One in the same rack is enough to doubt that a run is to blame alone.
	unexplainedCrashes = 2
)

// incarnationEnd is what shows that an incarnation of a worker has ended.
type incarnationEnd int

const (
	// leasesExpired means that the worker has been out of reach until its leases had expired. It may still exist.
	leasesExpired incarnationEnd = iota
	// workerGone means that another worker responds at its address.
	workerGone
	// workerRestarted means that a later incarnation of the worker has responded or is listed.
	workerRestarted
)

// crashCause is what is known of the cause of a worker's crash.
type crashCause struct {
	end incarnationEnd
	// proven is false if the incarnation may still exist, because the worker is only known to be out of reach.
	proven bool
	// unexplained is set if no run had just started on the worker.
	unexplained bool
	// single is set if the crash is proven and not one of several at about the same time.
	single bool
	// lone is set if only the runs of one job can be to blame, and background if workers crash by themselves at present.
	lone, background bool
}

func (loop *dispatcher) causeOf(crashed *worker, end incarnationEnd) crashCause {
	proven := end != leasesExpired
	cause := crashCause{
		end: end, proven: proven, unexplained: len(crashed.suspects()) == 0,
		background: loop.backgroundCrash(crashed.failingSince),
	}
	others, sameRack := loop.concurrentCrashes(crashed, cause.unexplained)
	cause.single = proven && others < unexplainedCrashes
	noticed := crashed.failedPromptly || cause.unexplained && crashed.isolating(loop.clock())
	cause.lone = cause.single && !sameRack && noticed && !cause.background && crashed.servesOneJob(cause.unexplained)
	return cause
}

// attributeCrash records which runs may have crashed a worker whose incarnation has ended without notice.
func (loop *dispatcher) attributeCrash(crashed *worker, end incarnationEnd) {
	if crashed.entry.Draining {
		return
	}
	cause := loop.causeOf(crashed, end)
	repeated := false
	for _, run := range crashed.runs {
		loop.countCrash(run, crashed, cause)
		repeated = repeated || run.job.record.Crashes(run.task).Repeated()
	}
	known := crashed.attributedAt == crashed.failingSince
	crashed.attributedAt = crashed.failingSince
	if cause.proven && cause.unexplained && !known && !repeated && !crashed.failedIsolating {
		loop.backgroundCrashes = append(loop.backgroundCrashes, crashed.failingSince)
	}
}

// countCrash counts the crash of a worker under one of its runs, unless the run is not known to have been there, or had
// worked for some time and other workers crashed too.
func (loop *dispatcher) countCrash(run *run, crashed *worker, cause crashCause) {
	if !run.presence().evidence() || run.onNextIncarnation && cause.end == workerRestarted {
		return
	}
	crash := progress.Crash{
		Late: !run.mayHaveCrashed(crashed), Worked: run.workedUntilCrash(crashed), StartUnknown: run.restored, Lone: cause.lone,
		Lasting: run.step().LongRunning, Decided: run.presence() == presenceRecorded,
	}
	if crash.Late {
		if !cause.single {
			return
		}
		crash.Lone = cause.lone && cause.unexplained
	}
	if run.job.record.CountCrash(run.task, run.number, crash) {
		loop.recordSuspicion(run, crashed, crash, cause)
	}
}

// backgroundCrash reports whether a worker has crashed by itself, as far as it is known, shortly before or after the
// given time. It forgets older crashes.
func (loop *dispatcher) backgroundCrash(at time.Duration) bool {
	now := loop.clock()
	loop.backgroundCrashes = slices.DeleteFunc(loop.backgroundCrashes, func(crash time.Duration) bool {
		return now-crash > 2*backgroundWindow
	})
	return slices.ContainsFunc(loop.backgroundCrashes, func(crash time.Duration) bool {
		return (at - crash).Abs() < backgroundWindow
	})
}

// servesOneJob reports whether all runs that may have crashed the worker are of one job. Without a run that had just
// started, these are all runs there.
func (worker *worker) servesOneJob(unexplained bool) bool {
	var only *job
	for _, run := range worker.runs {
		if !run.presence().evidence() || !unexplained && !run.mayHaveCrashed(worker) {
			continue
		}
		if run.restored || only != nil && run.job != only {
			return false
		}
		only = run.job
	}
	return true
}

// recordSuspicion stores and logs a crash that was counted under a run.
func (loop *dispatcher) recordSuspicion(run *run, crashed *worker, crash progress.Crash, cause crashCause) {
	loop.markDirty(run.job)
	run.job.suspectedAt(run.task, loop.clock())
	crashes := run.job.record.Crashes(run.task)
	loop.Logger.Warn("worker crashed under a run", "task", run.task.String(), "run", int(run.number),
		"worker", string(crashed.entry.ID), "crashes", crashes.Count, "lone_crashes", crashes.Lone,
		"shared_crashes", crashes.Shared, "crashes_in_succession", crashes.Succession, "runs", len(crashed.runs),
		"late", crash.Late, "lone", crash.Lone, "worked_at_least_ms", crash.Worked.AtLeast.Milliseconds(),
		"worked_at_most_ms", crash.Worked.AtMost.Milliseconds(), "proven", cause.proven,
		"background_crashes", cause.background, "state", string(run.job.record.State))
}

// suspects returns the runs that may have crashed the worker, because they had just started when it stopped answering.
func (worker *worker) suspects() []*run {
	var suspects []*run
	for _, run := range worker.runs {
		if run.mayHaveCrashed(worker) {
			suspects = append(suspects, run)
		}
	}
	return suspects
}

// workedUntilCrash returns how long the run had worked when its worker crashed: after the last response of the worker and
// before it stopped answering.
func (run *run) workedUntilCrash(worker *worker) progress.WorkTime {
	began := run.begunBy()
	atLeast := max(0, worker.lastHeard-began)
	return progress.WorkTime{AtLeast: atLeast, AtMost: max(atLeast, worker.failingSince-began)}
}

// begunBy returns the time by which the run had begun, if it has: that of the response to its start or, if there is none, that
// at which the start was sent.
func (run *run) begunBy() time.Duration {
	if run.confirmedAt != 0 {
		return run.confirmedAt
	}
	return run.startedAt
}

func (run *run) mayHaveCrashed(worker *worker) bool {
	switch {
	case !run.presence().evidence() || run.survived:
		return false
	case run.restored:
		// When a former controller started the run is not known.
		return run.firstListed == 0
	}
	// The worker may have crashed soon after its last response, however late that was noticed.
	return run.workedUntilCrash(worker).AtLeast <= promptCrash
}

// concurrentCrashes returns the number of other workers that crashed at about the same time although no run had just
// started there, and whether one of them is in the same rack. Then something else than a run may crash workers, such as
// the loss of a rack. If no run had just started on the crashed worker either, all other crashes count, except where a
// suspected unit had its worker to itself.
func (loop *dispatcher) concurrentCrashes(crashed *worker, unexplained bool) (count int, sameRack bool) {
	for _, other := range loop.workers {
		if other == crashed || !other.everFailed || other.failedIsolating || !unexplained && !other.unexplained {
			continue
		}
		if (other.failingSince - crashed.failingSince).Abs() > coincidence {
			continue
		}
		count++
		sameRack = sameRack || other.entry.Rack == crashed.entry.Rack
	}
	return count, sameRack
}

// markFailing records that the worker has stopped answering, unless that is known already. promptly is set if the
// failure was noticed at once, since the connection ended.
func (worker *worker) markFailing(now time.Duration, promptly bool) {
	if worker.unresponsive {
		return
	}
	worker.failingSince, worker.everFailed, worker.failedPromptly = now, true, promptly
	worker.unexplained, worker.failedIsolating = len(worker.suspects()) == 0, worker.isolating(now)
}

// suspectedAt records when the unit of a task fell under suspicion in this term.
func (job *job) suspectedAt(id workload.TaskID, now time.Duration) {
	if job.Steps[id.Step].Gang {
		// The first member identifies a gang; see candidate.key.
		id.Index = 0
	}
	if job.suspectedSince == nil {
		job.suspectedSince = map[workload.TaskID]time.Duration{}
	}
	job.suspectedSince[id] = now
}

// noteSeen records that the present incarnation of a worker has begun the run of a task under which workers have crashed.
func (loop *dispatcher) noteSeen(run *run) {
	if run.onNextIncarnation || run.presence() < presenceConfirmed {
		return
	}
	if run.job.record.NoteSeen(run.task, run.number) {
		loop.markDirty(run.job)
	}
}

// clearSuspicion forgets the crashes under a task whose run was listed as working at two times far enough apart.
func (loop *dispatcher) clearSuspicion(run *run, requested time.Duration) {
	if run.cleared || run.firstListed == 0 {
		return
	}
	crashes := run.job.record.Crashes(run.task)
	if requested-run.firstListed < workerhealth.SurvivalTime+crashes.ClearAfter() {
		return
	}
	run.cleared = true
	if run.job.record.ClearCrashes(run.task) {
		loop.markDirty(run.job)
	}
}

// isolating reports whether the worker has a suspected run, so that no other job may start there.
func (worker *worker) isolating(now time.Duration) bool {
	for _, run := range worker.runs {
		if run.isolated && !run.cleared && now-run.startedAt < run.isolationLimit() {
			return true
		}
	}
	return false
}

// isolationLimit is how long a suspected run may have its worker to itself. A task that lasts is never given up for crashes,
// so that it is kept apart only while a prompt crash would cost others their work.
func (run *run) isolationLimit() time.Duration {
	if run.step().LongRunning {
		return lastingIsolation
	}
	return maxIsolation
}

// fitForIsolation reports whether a suspected unit may start on the worker: nothing runs there, and the worker has
// answered for long enough that a crash is not likely to be its own fault.
func (worker *worker) fitForIsolation(now time.Duration) bool {
	if worker.everFailed && now-worker.failingSince < reliableAfter {
		return false
	}
	return len(worker.runs) == 0 && worker.reserved == workload.Resources{} && !worker.health.Unreliable()
}

// suspected reports whether the unit may have crashed a worker.
func (candidate candidate) suspected() bool {
	return candidate.job.record.Suspected(candidate.job.Job, candidate.key())
}

// isolated reports whether the unit has to start apart from other runs.
func (planner *planner) isolated(candidate candidate) bool {
	if !candidate.suspected() {
		return false
	}
	since, ok := candidate.job.suspectedSince[candidate.key()]
	if !ok {
		since = planner.loop.started
	}
	return planner.now-since < isolationWait
}

// startIsolated starts a suspected unit on workers without runs, where nothing else starts until the unit is above
// suspicion. If there are none, the unit waits.
func (planner *planner) startIsolated(candidate candidate) {
	pool := planner.pools[candidate.job.policy.Service]
	if pool == nil {
		return
	}
	wanted := placement.DemandOf(candidate.step(), len(candidate.unit.Tasks))
	wanted.Restricted = true
	if planner.awaitsAdvice(pool, wanted, candidate) {
		return
	}
	var alone []*placement.Worker
	for _, worker := range planner.eligible(pool.all, candidate) {
		if planner.loop.workers[worker.ID].fitForIsolation(planner.now) {
			alone = append(alone, worker)
		}
	}
	for _, near := range []bool{true, false} {
		if places, ok := placement.Place(alone, wanted, placement.FreeCapacity, near); ok {
			for i, run := range planner.loop.place(candidate, places) {
				run.isolated = true
				planner.loop.workers[places[i]].updateLink()
			}
			planner.isolate(pool, places)
			return
		}
	}
}

// isolate removes the workers of an isolated unit from the pool for the rest of the plan.
func (planner *planner) isolate(pool *servicePool, places []fleet.WorkerID) {
	for _, id := range places {
		for _, worker := range pool.copies[id] {
			worker.Free = workload.Resources{}
			worker.Reclaimable = workload.Resources{}
		}
	}
}
