// Package worker is a stand-in of a worker: it grants leases on accelerators and runs tasks that only pass time.
package worker

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Refusals of a command.
const (
	refusalBusy    = "busy"
	refusalExpired = "expired"
	refusalNoLease = "no_lease"
	refusalFailing = "unavailable"
)

// ErrDown is returned by every call to a worker that has crashed.
var ErrDown = connect.NewError(connect.CodeUnavailable, errors.New("worker is down"))

// Input is the JSON that the input of a task carries.
type Input struct {
	// RunTimeMS is the run time at full speed in milliseconds.
	RunTimeMS int64 `json:"run_time_ms"`
	// Fails is true when the task reports a failure of its own at its end.
	Fails bool `json:"fails,omitempty"`
	// IgnoresCheckpoint is true when the task runs on after a checkpoint request.
	IgnoresCheckpoint bool `json:"ignores_checkpoint,omitempty"`
}

// Encode returns the input as a job carries it.
func (input Input) Encode() []byte {
	text, err := json.Marshal(input)
	if err != nil {
		panic(err) // A struct of integers and booleans always marshals.
	}
	return text
}

// Settings are the figures of a stand-in; a zero field takes its default.
type Settings struct {
	// ClockOffset is what the worker's clock shows when it is made. Default 0.
	ClockOffset time.Duration
	// CheckpointTime is how long a task takes to save its progress. Default 200 ms.
	CheckpointTime time.Duration
	// UsageLag is the step in which usage is reported. Default 5 s.
	UsageLag time.Duration
	// LogBound is the number of ended leases kept. Default 1,024.
	LogBound int
	// FailAfter is the run time of a task while every task fails. Default 100 ms.
	FailAfter time.Duration
	// Now is the time; default time.Now.
	Now func() time.Time
}

func (settings Settings) withDefaults() Settings {
	if settings.CheckpointTime == 0 {
		settings.CheckpointTime = 200 * time.Millisecond
	}
	if settings.UsageLag == 0 {
		settings.UsageLag = 5 * time.Second
	}
	if settings.LogBound == 0 {
		settings.LogBound = 1024
	}
	if settings.FailAfter == 0 {
		settings.FailAfter = 100 * time.Millisecond
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return settings
}

// Worker is one stand-in. It has no goroutine: each call first takes in what has happened since the last one.
type Worker struct {
	machine  fleet.Worker
	settings Settings
	record   *Record

	mutex       sync.Mutex
	epoch       time.Time
	incarnation int64
	revision    int64
	// leases holds the active leases and those of the ended-task log.
	leases map[string]*lease
	// log names the ended leases, oldest first.
	log      []string
	failing  bool
	down     bool
	released chan struct{} // Closed when the worker no longer hangs; nil while it does not hang.
}

// New returns a worker with the sizes of machine that writes what it runs to record.
func New(machine fleet.Worker, record *Record, settings Settings) *Worker {
	worker := &Worker{
		machine:     machine,
		settings:    settings.withDefaults(),
		record:      record,
		incarnation: 1,
		leases:      make(map[string]*lease),
	}
	worker.epoch = worker.settings.Now()
	record.add(worker)
	return worker
}

// ID returns the id of the worker.
func (worker *Worker) ID() fleet.WorkerID { return worker.machine.ID }

// FailEveryTask switches the fault that every task started from now on fails.
func (worker *Worker) FailEveryTask(on bool) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.failing = on
}

// Crash ends every task without a trace on the worker; calls fail until Restart.
func (worker *Worker) Crash() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := worker.settle()
	for _, held := range worker.leases {
		if held.active() && held.run != nil {
			worker.record.end(held.run, now, workerv1.TaskState_TASK_STATE_UNSPECIFIED)
		}
	}
	worker.leases = make(map[string]*lease)
	worker.log = nil
	worker.down = true
}

// Restart brings a crashed worker back as a new incarnation, without leases.
func (worker *Worker) Restart() {
	worker.Crash()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.incarnation++
	worker.revision = 0
	worker.down = false
}

// Hang switches the fault that calls get no answer. Tasks run on, and leases run out.
func (worker *Worker) Hang(on bool) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	switch {
	case on && worker.released == nil:
		worker.released = make(chan struct{})
	case !on && worker.released != nil:
		close(worker.released)
		worker.released = nil
	}
}

// enter waits while the worker hangs, locks it and brings it up to date.
func (worker *Worker) enter(ctx context.Context) (time.Time, error) {
	if err := ctx.Err(); err != nil {
		return time.Time{}, err
	}
	worker.mutex.Lock()
	for worker.released != nil {
		released := worker.released
		worker.mutex.Unlock()
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-released:
		}
		worker.mutex.Lock()
	}
	if worker.down {
		worker.mutex.Unlock()
		return time.Time{}, ErrDown
	}
	return worker.settle(), nil
}

// Reserve grants a lease on free accelerators, or refuses at once.
func (worker *Worker) Reserve(ctx context.Context, request *workerv1.ReserveRequest) (*workerv1.ReserveResponse, error) {
	now, err := worker.enter(ctx)
	if err != nil {
		return nil, err
	}
	defer worker.mutex.Unlock()
	response := &workerv1.ReserveResponse{WorkerMs: worker.clock(now)}
	response.Refusal = worker.reserve(now, request)
	response.Granted = response.Refusal == ""
	return response, nil
}

func (worker *Worker) reserve(now time.Time, request *workerv1.ReserveRequest) string {
	if worker.expired(now, request.ExpiresWorkerMs) {
		return refusalExpired
	}
	if held, ok := worker.leases[request.LeaseId]; ok {
		if held.state == workerv1.TaskState_TASK_STATE_RESERVED {
			return ""
		}
		return refusalExpired
	}
	accelerators, cores, memory := worker.free()
	fits := request.Accelerators >= 1 && fleet.Accelerators(request.Accelerators) <= accelerators &&
		fleet.Cores(request.Cores) <= cores && fleet.Bytes(request.MemoryBytes) <= memory
	if !fits {
		return refusalBusy
	}
	worker.leases[request.LeaseId] = &lease{
		request: request,
		state:   workerv1.TaskState_TASK_STATE_RESERVED,
		until:   now.Add(time.Duration(request.TtlMs) * time.Millisecond),
		changed: worker.nextRevision(),
	}
	return ""
}

// Start runs a task under a reservation that has not lapsed.
func (worker *Worker) Start(ctx context.Context, request *workerv1.StartRequest) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, request.LeaseId, request.ExpiresWorkerMs, func(held *lease, now time.Time) string {
		if held.state != workerv1.TaskState_TASK_STATE_RESERVED {
			return refusalNoLease
		}
		var input Input
		if err := json.Unmarshal(request.Input, &input); err != nil {
			return refusalFailing
		}
		worker.start(held, now, request, input)
		return ""
	})
}

func (worker *Worker) start(held *lease, now time.Time, request *workerv1.StartRequest, input Input) {
	held.total = time.Duration(input.RunTimeMS) * time.Millisecond
	held.fails = input.Fails
	held.ignoresCheckpoint = input.IgnoresCheckpoint
	if worker.failing {
		held.total = worker.settings.FailAfter
		held.fails = true
	}
	if request.Resume {
		held.progress = worker.record.progress(held.key(), held.member())
	}
	held.started, held.since, held.percent = now, now, 100
	held.until = now.Add(time.Duration(request.TtlMs) * time.Millisecond)
	held.state = workerv1.TaskState_TASK_STATE_RUNNING
	held.changed = worker.nextRevision()
	held.run = worker.record.begin(worker.machine.ID, held, now, request.Resume)
}

// Release ends a reservation under which no task was started.
func (worker *Worker) Release(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, request.LeaseId, request.ExpiresWorkerMs, func(held *lease, now time.Time) string {
		if held.state != workerv1.TaskState_TASK_STATE_RESERVED {
			return refusalNoLease
		}
		worker.end(held, now, workerv1.TaskState_TASK_STATE_RELEASED)
		return ""
	})
}

// Stop ends the task of a lease at once and frees its accelerators.
func (worker *Worker) Stop(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, request.LeaseId, request.ExpiresWorkerMs, func(held *lease, now time.Time) string {
		state := workerv1.TaskState_TASK_STATE_STOPPED
		if held.state == workerv1.TaskState_TASK_STATE_RESERVED {
			state = workerv1.TaskState_TASK_STATE_RELEASED
		}
		worker.end(held, now, state)
		return ""
	})
}

// Checkpoint asks the task to save its progress and end.
func (worker *Worker) Checkpoint(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, request.LeaseId, request.ExpiresWorkerMs, func(held *lease, now time.Time) string {
		if held.state != workerv1.TaskState_TASK_STATE_RUNNING {
			return refusalNoLease
		}
		if held.ignoresCheckpoint {
			return ""
		}
		held.savedAt = now.Add(worker.settings.CheckpointTime)
		held.state = workerv1.TaskState_TASK_STATE_CHECKPOINTING
		held.changed = worker.nextRevision()
		return ""
	})
}

// Throttle sets the share of processor time that the task may use.
func (worker *Worker) Throttle(ctx context.Context, request *workerv1.ThrottleRequest) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, request.LeaseId, request.ExpiresWorkerMs, func(held *lease, now time.Time) string {
		if held.run == nil || request.Percent < 1 || request.Percent > 100 {
			return refusalNoLease
		}
		held.progress = held.progressAt(now)
		held.since = now
		held.percent = int(request.Percent)
		return ""
	})
}

// command runs effect on an active lease unless the command has expired.
func (worker *Worker) command(ctx context.Context, id string, expires int64, effect func(*lease, time.Time) string) (*workerv1.CommandResponse, error) {
	now, err := worker.enter(ctx)
	if err != nil {
		return nil, err
	}
	defer worker.mutex.Unlock()
	response := &workerv1.CommandResponse{WorkerMs: worker.clock(now)}
	held, ok := worker.leases[id]
	switch {
	case worker.expired(now, expires):
		response.Refusal = refusalExpired
	case !ok || !held.active():
		response.Refusal = refusalNoLease
	default:
		response.Refusal = effect(held, now)
	}
	response.Done = response.Refusal == ""
	return response, nil
}

func (worker *Worker) clock(now time.Time) int64 {
	return (now.Sub(worker.epoch) + worker.settings.ClockOffset).Milliseconds() + 1
}

func (worker *Worker) expired(now time.Time, expires int64) bool {
	return expires != 0 && worker.clock(now) >= expires
}

func (worker *Worker) nextRevision() int64 {
	worker.revision++
	return worker.revision
}
