package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/demand"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Dump is a snapshot of the controller's state, without payloads and credentials.
type Dump struct {
	Token   int64        `json:"token"`
	Jobs    []JobDump    `json:"jobs"`
	Workers []WorkerDump `json:"workers"`
	// Evacuations are the evacuated data centres, and EvacuationsAgeMS is the time since the store confirmed that there
	// are no others; -1 if it never did.
	Evacuations      []EvacuationDump `json:"evacuations"`
	EvacuationsAgeMS int64            `json:"evacuations_age_ms"`
	// Claims are the units with claimed capacity, as job.occurrence.step.task.
	Claims []string `json:"claims"`
	// Interference has the pairs of kinds of task that have been observed beside one another.
	Interference []PairDump `json:"interference,omitempty"`
	// Demand is the estimated demand of urgent jobs, by service.
	Demand []demand.ServiceEstimate `json:"demand"`
}

// JobDump is the state of a job that has not ended or still has placed tasks.
type JobDump struct {
	ID           fleet.JobID          `json:"job_id"`
	Organisation fleet.OrganisationID `json:"organisation,omitempty"`
	Profile      fleet.ProfileName    `json:"profile"`
	Priority     workload.Priority    `json:"priority"`
	State        progress.State       `json:"state"`
	// Begun is set once a task is known to have begun on a worker.
	Begun bool  `json:"begun"`
	AgeMS int64 `json:"age_ms"`
	// Tasks counts the tasks in each phase.
	Tasks map[string]int `json:"tasks"`
	// Unsaved is set while the record differs from the stored one.
	Unsaved bool `json:"unsaved"`
}

// WorkerDump is the state of a worker with its runs.
type WorkerDump struct {
	ID       fleet.WorkerID `json:"worker_id"`
	Rack     fleet.RackID   `json:"rack"`
	Listed   bool           `json:"listed"`
	Settled  bool           `json:"settled"`
	Silent   bool           `json:"silent"`
	Draining bool           `json:"draining"`
	Suspect  bool           `json:"suspect"`
	// TimeFactor is how long work takes there in the long run, relative to its declared run time; 0 if that is not known.
	TimeFactor float64            `json:"time_factor,omitempty"`
	Free       workload.Resources `json:"free"`
	// Runs are the runs that are placed there, whether they have begun or not.
	Runs []string `json:"runs"`
	// Stopping are those of the runs that are to be stopped. Unexpected are the runs that the worker lists although
	// they are not placed there; it gets no other work until they have ended.
	Stopping   []string `json:"stopping"`
	Unexpected []string `json:"unexpected"`
}

// Dump returns the controller's state, or false while this process holds no term or ctx ends first.
func (controller *Controller) Dump(ctx context.Context) (Dump, bool) {
	loop := controller.current.Load()
	if loop == nil {
		return Dump{}, false
	}
	result := make(chan Dump, 1)
	loop.post(func(loop *dispatcher) { result <- loop.dump() })
	select {
	case dump := <-result:
		return dump, true
	case <-ctx.Done():
	case <-loop.ctx.Done():
	}
	return Dump{}, false
}

func (loop *dispatcher) dump() Dump {
	dump := Dump{Token: int64(loop.term.Token), Jobs: []JobDump{}, Workers: []WorkerDump{}, Claims: []string{}}
	for _, id := range slices.Sorted(maps.Keys(loop.jobs)) {
		if job := loop.jobs[id]; job.open() || job.record.AnyPlaced() {
			dump.Jobs = append(dump.Jobs, job.dump(loop.dirty[id] != nil))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(loop.workers)) {
		worker := loop.workers[id].dump(loop.clock())
		if factor, known := loop.speeds.Factor(id, loop.clock()); known {
			worker.TimeFactor = float64(factor)
		}
		dump.Workers = append(dump.Workers, worker)
	}
	dump.Evacuations, dump.EvacuationsAgeMS = loop.dumpEvacuations()
	for key := range loop.claims {
		dump.Claims = append(dump.Claims, key.String())
	}
	dump.Interference = loop.dumpInterference()
	dump.Demand = loop.headroom.estimator.Estimates(loop.clock())
	return dump
}

// dumpedPhases are the phases of tasks by their names in a dump.
var dumpedPhases = map[string]progress.Phase{
	"waiting": progress.Waiting, string(progress.Placed): progress.Placed, string(progress.Done): progress.Done,
}

func (job *job) dump(dirty bool) JobDump {
	tasks := map[string]int{}
	for _, occurrence := range job.record.Occurrences {
		for _, step := range occurrence.Steps {
			for name, phase := range dumpedPhases {
				if count := step.Count(phase); count > 0 {
					tasks[name] += count
				}
			}
		}
	}
	return JobDump{
		ID: job.ID, Organisation: job.Organisation, Profile: job.Profile, Priority: job.policy.Priority,
		State: job.status.State, Begun: job.record.Begun, AgeMS: time.Since(job.Accepted).Milliseconds(), Tasks: tasks,
		Unsaved: dirty || job.writing,
	}
}

func (worker *worker) dump(now time.Duration) WorkerDump {
	dump := WorkerDump{
		ID: worker.entry.ID, Rack: worker.entry.Rack, Listed: worker.listed, Settled: worker.settled,
		Silent: worker.unresponsive, Draining: worker.entry.Draining,
		Suspect: !worker.health.Available(now) || worker.health.Unreliable(),
		Free:    worker.entry.Capacity.Sub(worker.used).Sub(worker.reserved),
		Runs:    []string{}, Stopping: []string{}, Unexpected: []string{},
	}
	for id, run := range worker.runs {
		dump.Runs = append(dump.Runs, id.String())
		if run.stopping {
			dump.Stopping = append(dump.Stopping, id.String())
		}
	}
	for id := range worker.unexpected {
		dump.Unexpected = append(dump.Unexpected, id.task.String())
	}
	slices.Sort(dump.Runs)
	slices.Sort(dump.Stopping)
	slices.Sort(dump.Unexpected)
	return dump
}
