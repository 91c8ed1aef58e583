package worker

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Run is one task that ran.
type Run struct {
	Key          fleet.JobKey
	Profile      fleet.ProfileName
	Attempt      fleet.Attempt
	Member       int
	GangMembers  int
	Worker       fleet.WorkerID
	Accelerators fleet.Accelerators
	// Owner identifies the process that made the attempt.
	Owner string
	// Resumed is true when the task was told to go on from a checkpoint.
	Resumed bool
	// Unrecorded is true when the attempt had no record in the store at its start.
	Unrecorded bool
	Start      time.Time
	// End is zero while the task runs.
	End time.Time
	// State is RUNNING, or how the task ended; UNSPECIFIED when its worker crashed.
	State workerv1.TaskState
}

// place identifies a member of a job across attempts.
type place struct {
	key    fleet.JobKey
	member int
}

// Record is what the stand-ins know of what ran, and their common area for checkpoints.
type Record struct {
	mutex   sync.Mutex
	workers []*Worker
	runs    []*Run
	saved   map[place]time.Duration
}

// NewRecord returns an empty Record.
func NewRecord() *Record {
	return &Record{saved: make(map[place]time.Duration)}
}

// Runs returns every run so far in the order of their starts.
func (record *Record) Runs() []Run {
	record.mutex.Lock()
	workers := record.workers
	record.mutex.Unlock()
	for _, worker := range workers {
		worker.mutex.Lock()
		worker.settle()
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

func (record *Record) add(worker *Worker) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.workers = append(record.workers, worker)
}

func (record *Record) begin(id fleet.WorkerID, held *lease, now time.Time, resumed bool) *Run {
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

func (record *Record) end(run *Run, at time.Time, state workerv1.TaskState) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	run.End = at
	run.State = state
}

func (record *Record) save(key fleet.JobKey, member int, progress time.Duration) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.saved[place{key, member}] = progress
}

func (record *Record) progress(key fleet.JobKey, member int) time.Duration {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.saved[place{key, member}]
}
