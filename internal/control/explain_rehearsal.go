package control

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// rehearsal runs a plan without effects on a copy of a dispatcher, with one more job, and records what becomes of that
// job. The copy has no links, and place and stopRun of the dispatcher call the rehearsal instead.
type rehearsal struct {
	original, copied *dispatcher
	asked            *job
	explanation      Explanation
	// ready is the number of the steps of the asked job that are ready at once.
	ready int
	// unitsBefore is the number of the units of other jobs that the plan has considered.
	unitsBefore int
	// placed are the places of the units that the plan has started.
	placed map[workload.TaskID][]fleet.WorkerID
	// stopped are the runs that the plan would stop. They count as stopping until the end of the rehearsal.
	stopped []*run
	// ownRuns are the jobs whose sets of runs have been copied.
	ownRuns map[*job]bool
}

// explainedID is the id of a job that is explained. Callers cannot submit a job under it.
const explainedID fleet.JobID = "explained job"

// explain tells what a plan would do now with a job.
func (loop *dispatcher) explain(asked workload.Job) Explanation {
	due := asked.Schedule.Due(0)
	if !due.After(time.Now()) {
		due = time.Time{}
	}
	asked.ID, asked.Accepted, asked.Schedule = explainedID, time.Now(), workload.Schedule{}
	rehearsal := &rehearsal{
		original: loop, placed: map[workload.TaskID][]fleet.WorkerID{}, ownRuns: map[*job]bool{},
		asked: &job{
			Job: asked, criticalPath: asked.CriticalPath(), footprint: progress.FootprintOf(asked),
			policy: asked.Policy, record: progress.New(asked), runs: map[*run]bool{},
		},
		explanation: Explanation{
			Token: int64(loop.term.Token), Profile: asked.Profile, Organisation: asked.Organisation,
			Priority: asked.Policy.Priority, Service: asked.Policy.Service, Due: due,
			StartsBlocked: !loop.evacuations.Current(loop.clock()), Evacuated: loop.evacuations.DataCentres(),
			Steps: []StepExplanation{},
		},
	}
	for _, step := range asked.Steps {
		if len(step.After) == 0 {
			rehearsal.ready++
		}
	}
	rehearsal.copied = loop.copyFor(rehearsal)
	defer rehearsal.resetStopped()
	rehearsal.copied.plan()
	if rehearsal.explanation.StartsBlocked {
		for i := range rehearsal.explanation.Steps {
			rehearsal.explanation.Steps[i].block()
		}
	}
	rehearsal.explanation.LaterSteps = len(asked.Steps) - rehearsal.ready
	return rehearsal.explanation
}

// copyFor returns a copy of the dispatcher that plans for a rehearsal, to which the job in question has been added. The
// maps and values that a plan changes are copied, and so are the workers, whose links are left out.
func (loop *dispatcher) copyFor(rehearsal *rehearsal) *dispatcher {
	copied := *loop
	copied.Controller = loop.quietCopy()
	copied.rehearsal = rehearsal
	copied.claims, copied.withheldSince = maps.Clone(loop.claims), maps.Clone(loop.withheldSince)
	copied.evacuations, copied.uneven = loop.evacuations.Clone(), maps.Clone(loop.uneven)
	// The plan is rehearsed also while starts are blocked, to tell what would start otherwise; see block.
	copied.evacuations.MaxAge = 0
	copied.advice.permits, copied.advice.failures = maps.Clone(loop.advice.permits), maps.Clone(loop.advice.failures)
	// No call to the adviser is made while another one is pending.
	copied.advice.callPending = true
	copied.workers = make(map[fleet.WorkerID]*worker, len(loop.workers))
	workers := make([]worker, 0, len(loop.workers))
	for id, known := range loop.workers {
		workers = append(workers, *known)
		last := &workers[len(workers)-1]
		last.link = nil
		copied.workers[id] = last
	}
	copied.openJobs = make(map[fleet.JobID]*job, len(loop.openJobs)+1)
	for id, known := range loop.openJobs {
		open := *known
		copied.openJobs[id] = &open
	}
	copied.openJobs[explainedID] = rehearsal.asked
	copied.headroom = headroom{estimator: loop.headroom.estimator.Clone(), logged: maps.Clone(loop.headroom.logged)}
	copied.headroom.add(loop.clock(), rehearsal.asked)
	return &copied
}

// quietCopy returns a copy of the controller that logs and counts nothing.
func (controller *Controller) quietCopy() *Controller {
	return &Controller{
		Store: controller.Store, Workers: controller.Workers, Adviser: controller.Adviser,
		WorkerPrefix: controller.WorkerPrefix, DecodeWorker: controller.DecodeWorker,
		EvacuationPrefix: controller.EvacuationPrefix, DecodeEvacuation: controller.DecodeEvacuation,
		MaxEvacuationAge: controller.MaxEvacuationAge, Catalog: controller.Catalog, Clock: controller.Clock,
		MaxReportAge: controller.MaxReportAge, ReportsOutdated: controller.ReportsOutdated,
		LeaseDuration: controller.LeaseDuration, MaxLease: controller.MaxLease,
		FormerLeaseLimit: controller.FormerLeaseLimit, FormerLeasesEnd: controller.FormerLeasesEnd,
		MaxValueBytes: controller.MaxValueBytes,
		Retention:     controller.Retention, Interference: controller.Interference,
		Logger: hclog.NewNullLogger(), Metrics: gometrics.NewRegistry(),
	}
}

// place records that the plan would start a unit. The runs occupy the copies of the workers for the rest of the plan.
func (rehearsal *rehearsal) place(candidate candidate, places []fleet.WorkerID) []*run {
	loop, job, step := rehearsal.copied, candidate.job, candidate.step()
	rehearsal.placed[candidate.key()] = places
	if !rehearsal.ownRuns[job] {
		rehearsal.ownRuns[job], job.runs = true, maps.Clone(job.runs)
	}
	runs := make([]*run, len(places))
	for i, id := range places {
		known := loop.workers[id]
		known.runs = maps.Clone(known.runs)
		task := candidate.key()
		task.Index = candidate.unit.Tasks[i]
		runs[i] = &run{task: task, job: job, need: step.Need(), startedAt: loop.clock(), share: fullShare}
		known.add(runs[i])
	}
	if step.MaxPerWorker > 0 {
		// The record does not change, so that only claims tell how many tasks of the step are on a worker.
		loop.claims[candidate.key()] = &claim{places: places, each: step.Need()}
	}
	return runs
}

// stop records that the plan would stop a run.
func (rehearsal *rehearsal) stop(run *run) {
	run.stopping = true
	rehearsal.stopped = append(rehearsal.stopped, run)
}

func (rehearsal *rehearsal) resetStopped() {
	for _, run := range rehearsal.stopped {
		run.stopping = false
	}
}

const (
	// maxDiagnosedSteps limits the steps for which each worker is examined, and maxListedSteps those that are listed.
	maxDiagnosedSteps = 8
	maxListedSteps    = 256
)

// complete reports whether the plan has considered all steps that are explained. What it does with later units does not
// matter then.
func (rehearsal *rehearsal) complete() bool {
	return len(rehearsal.explanation.Steps)+rehearsal.explanation.OmittedSteps == rehearsal.ready
}

// follow is called before the plan considers a group, and returns a function that is called after it.
func (rehearsal *rehearsal) follow(planner *planner, group group) func() {
	if group.job != rehearsal.asked {
		rehearsal.unitsBefore += rehearsal.copied.countUnits(group)
		return func() {}
	}
	if len(rehearsal.explanation.Steps) == maxListedSteps {
		rehearsal.explanation.OmittedSteps++
		return func() {}
	}
	pool := planner.pools[group.job.policy.Service]
	if pool == nil {
		pool = planner.pool(group.job.policy.Service)
		pool.utilisation = 1
	}
	free := map[fleet.WorkerID]workload.Resources{}
	if len(rehearsal.explanation.Steps) < maxDiagnosedSteps {
		for _, worker := range pool.all {
			free[worker.ID] = worker.Free
		}
	}
	withheld, stopped := pool.withheld, len(rehearsal.stopped)
	return func() {
		step := rehearsal.outcome(planner, group, rehearsal.stopped[stopped:])
		step.Withheld = step.Waiting > 0 && pool.withheld > withheld
		if len(rehearsal.explanation.Steps) < maxDiagnosedSteps {
			rehearsal.diagnose(planner, pool, group, &step, free)
		}
		rehearsal.explanation.Steps = append(rehearsal.explanation.Steps, step)
	}
}

// outcome returns what the plan has decided for the units of a group, for which it would stop the given runs.
func (rehearsal *rehearsal) outcome(planner *planner, group group, stopped []*run) StepExplanation {
	declared := group.job.Steps[group.step]
	step := StepExplanation{
		Step: group.step, Tasks: declared.Tasks, Gang: declared.Gang, Rank: group.rank,
		UnitsBefore: rehearsal.unitsBefore, Waiting: planner.loop.countUnits(group),
		Starting: Placed{Workers: []fleet.WorkerID{}}, Claiming: Claimed{Placed: Placed{Workers: []fleet.WorkerID{}}},
	}
	for unit := range planner.loop.units(group) {
		key := group.candidate(unit).key()
		if places, ok := rehearsal.placed[key]; ok {
			step.Starting.add(places)
		} else if claim, ok := planner.loop.claims[key]; ok {
			step.Claiming.add(claim.places)
		}
	}
	step.Waiting -= step.Starting.Units + step.Claiming.Units
	step.Claiming.Runs = len(stopped)
	lost := time.Duration(0)
	for _, run := range stopped {
		loss := run.loss(planner.now)
		if run.step().Gang {
			// The loss of a member is that of its whole gang.
			loss /= time.Duration(run.step().Tasks)
		}
		lost += loss
	}
	step.Claiming.LostMS = lost.Milliseconds()
	return step
}

// add counts a unit and adds its workers in the order of their ids.
func (placed *Placed) add(places []fleet.WorkerID) {
	placed.Units++
	for _, id := range places {
		if i, found := slices.BinarySearch(placed.Workers, id); !found {
			placed.Workers = slices.Insert(placed.Workers, i, id)
		}
	}
}

// block turns what the plan would decide into waiting, while no task starts.
func (step *StepExplanation) block() {
	step.Waiting += step.Starting.Units + step.Claiming.Units
	step.Starting, step.Claiming.Placed = Placed{Workers: []fleet.WorkerID{}}, Placed{Workers: []fleet.WorkerID{}}
	step.Claiming.Runs, step.Claiming.LostMS = 0, 0
	step.WaitsFor, step.Withheld = StartsBlocked, false
}
