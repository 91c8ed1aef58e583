package worker

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Run is one execution of a task on a worker.
type Run struct {
	Key          fleet.JobKey
	Profile      fleet.ProfileName
	Attempt      fleet.Attempt
	Member       int
	GangMembers  int
	Worker       fleet.WorkerID
	Accelerators fleet.Accelerators
	// Owner identifies the process that started the attempt.
	Owner string
	// Resumed is true if the task was started from a checkpoint.
	Resumed bool
	// Unrecorded is true if the store had no record of the attempt when it started.
	Unrecorded bool
	Start      time.Time
	// End is zero while the task runs.
	End time.Time
	// State is RUNNING or the state in which the task ended; UNSPECIFIED if its worker crashed.
	State workerv1.TaskState
}

// memberKey identifies a member of a job across attempts.
type memberKey struct {
	key    fleet.JobKey
	member int
}

// Record holds the runs of several stand-ins and the checkpoints that they share.
type Record struct {
	mutex   sync.Mutex
	workers []*Worker
	runs    []*Run
	// checkpoints holds the saved progress of each member of a job.
	checkpoints map[memberKey]time.Duration
}

// NewRecord returns an empty Record.
func NewRecord() *Record {
	return &Record{checkpoints: make(map[memberKey]time.Duration)}
}

// Runs returns every run so far in the order in which they started.
func (record *Record) Runs() []Run {
	record.mutex.Lock()
	workers := record.workers
	record.mutex.Unlock()
	for _, worker := range workers {
		worker.mutex.Lock()
		worker.endDueLeases()
		worker.mutex.Unlock()
	}
	record.mutex.Lock()
	defer record.mutex.Unlock()
	runs := make([]Run, len(record.runs))
	for i, run := range record.runs {
		runs[i] = *run
	}
	return runs
}

func (record *Record) addWorker(worker *Worker) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.workers = append(record.workers, worker)
}

func (record *Record) addRun(id fleet.WorkerID, held *lease, now time.Time, resumed bool) *Run {
	label := held.request.Label
	run := &Run{
		Key:          held.key(),
		Profile:      fleet.ProfileName(label.GetProfile()),
		Attempt:      fleet.Attempt(label.GetAttempt()),
		Member:       held.member(),
		GangMembers:  int(label.GetGangMembers()),
		Worker:       id,
		Accelerators: fleet.Accelerators(held.request.Accelerators),
		Owner:        label.GetOwner(),
		Resumed:      resumed,
		Unrecorded:   label.GetUnrecorded(),
		Start:        now,
		State:        workerv1.TaskState_TASK_STATE_RUNNING,
	}
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.runs = append(record.runs, run)
	return run
}

func (record *Record) endRun(run *Run, at time.Time, state workerv1.TaskState) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	run.End = at
	run.State = state
}

func (record *Record) saveCheckpoint(key fleet.JobKey, member int, progress time.Duration) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.checkpoints[memberKey{key, member}] = progress
}

// checkpoint returns the saved progress of a member; 0 without a checkpoint.
func (record *Record) checkpoint(key fleet.JobKey, member int) time.Duration {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.checkpoints[memberKey{key, member}]
}
