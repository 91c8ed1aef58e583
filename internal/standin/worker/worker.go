// Package worker is a stand-in of a worker: it grants leases on accelerators and simulates tasks by the passage of
// time.
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

// Reasons for refusing a command, as the protocol names them.
const (
	refusalBusy        = "busy"
	refusalExpired     = "expired"
	refusalNoLease     = "no_lease"
	refusalUnavailable = "unavailable"
)

// ErrDown is returned by every call to a worker that has crashed.
var ErrDown = connect.NewError(connect.CodeUnavailable, errors.New("worker is down"))

// Input is the input of a simulated task, encoded in JSON.
type Input struct {
	// RunTimeMS is the run time at full speed in milliseconds.
	RunTimeMS int64 `json:"run_time_ms"`
	// Fails is true if the task reports a failure at its end.
	Fails bool `json:"fails,omitempty"`
	// IgnoresCheckpoint is true if the task ignores checkpoint requests and keeps running.
	IgnoresCheckpoint bool `json:"ignores_checkpoint,omitempty"`
}

// Encode returns the input in JSON.
func (input Input) Encode() []byte {
	text, err := json.Marshal(input)
	if err != nil {
		panic(err) // A struct of integers and booleans always marshals.
	}
	return text
}

// Settings are the parameters of a stand-in; a field that is zero takes its default.
type Settings struct {
	// ClockOffset is the time that the clock of the worker shows when the worker is created. Default 0.
	ClockOffset time.Duration
	// CheckpointTime is how long a task takes to save its progress. Default 200 ms.
	CheckpointTime time.Duration
	// UsageLag is the step size in which reported usage grows while a task runs. Default 5 s.
	UsageLag time.Duration
	// LogBound is the number of ended leases that the ended-task log keeps. Default 1,024.
	LogBound int
	// FailAfter is the run time of a task that fails because of FailEveryTask. Default 100 ms.
	FailAfter time.Duration
	// Now returns the current time. Default time.Now.
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

// Worker is a stand-in of one worker. It has no goroutine: each call first ends the leases that have ended since the
// previous call.
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
	// endedLog holds the ids of the ended leases, oldest first.
	endedLog      []string
	failEveryTask bool
	down          bool
	// faults holds the faults that SetFault has set. received counts the orders by kind.
	faults   map[Order]*Fault
	received map[Order]int
	// hangEnded is closed when the worker stops hanging; nil while it does not hang.
	hangEnded chan struct{}
}

// New returns a worker with the capacity of machine that adds its runs to record.
func New(machine fleet.Worker, record *Record, settings Settings) *Worker {
	worker := &Worker{
		machine:     machine,
		settings:    settings.withDefaults(),
		record:      record,
		incarnation: 1,
		leases:      make(map[string]*lease),
		faults:      make(map[Order]*Fault),
		received:    make(map[Order]int),
	}
	worker.epoch = worker.settings.Now()
	record.addWorker(worker)
	return worker
}

// ID returns the id of the worker.
func (worker *Worker) ID() fleet.WorkerID { return worker.machine.ID }

// FailEveryTask sets whether every task that is started from now on fails.
func (worker *Worker) FailEveryTask(on bool) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.failEveryTask = on
}

// Crash ends every task and discards all leases and the ended-task log. Calls fail until Restart.
func (worker *Worker) Crash() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := worker.endDueLeases()
	for _, held := range worker.leases {
		if held.active() && held.run != nil {
			worker.record.endRun(held.run, now, workerv1.TaskState_TASK_STATE_UNSPECIFIED)
		}
	}
	worker.leases = make(map[string]*lease)
	worker.endedLog = nil
	worker.down = true
}

// Restart starts the worker as a new incarnation without leases; it crashes a worker that is still up.
func (worker *Worker) Restart() {
	worker.Crash()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.incarnation++
	worker.revision = 0
	worker.down = false
}

// Hang sets whether calls block without a response. Meanwhile tasks keep running and leases expire.
func (worker *Worker) Hang(on bool) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	switch {
	case on && worker.hangEnded == nil:
		worker.hangEnded = make(chan struct{})
	case !on && worker.hangEnded != nil:
		close(worker.hangEnded)
		worker.hangEnded = nil
	}
}

// beginCall waits while the worker hangs, locks it and ends its due leases. Without an error the caller must unlock it.
func (worker *Worker) beginCall(ctx context.Context) (time.Time, error) {
	if err := ctx.Err(); err != nil {
		return time.Time{}, err
	}
	worker.mutex.Lock()
	for worker.hangEnded != nil {
		hangEnded := worker.hangEnded
		worker.mutex.Unlock()
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-hangEnded:
		}
		worker.mutex.Lock()
	}
	if worker.down {
		worker.mutex.Unlock()
		return time.Time{}, ErrDown
	}
	return worker.endDueLeases(), nil
}

// Reserve grants a lease on free accelerators, or refuses at once.
func (worker *Worker) Reserve(
	ctx context.Context, request *workerv1.ReserveRequest,
) (*workerv1.ReserveResponse, error) {
	handle := func(ctx context.Context, fault Fault) (*workerv1.ReserveResponse, error) {
		now, err := worker.beginCall(ctx)
		if err != nil {
			return nil, err
		}
		defer worker.mutex.Unlock()
		response := &workerv1.ReserveResponse{WorkerMs: worker.clock(now), Refusal: fault.Refusal}
		if response.Refusal == "" {
			response.Refusal = worker.reserve(now, request)
		}
		response.Granted = response.Refusal == ""
		return response, nil
	}
	return handleOrder(ctx, worker, OrderReserve, handle)
}

// reserve returns an empty string if it grants the lease, or the reason for the refusal. A repeated request for a
// reservation that still exists is granted again.
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
	accelerators, cores, memory := worker.freeResources()
	fits := request.Accelerators >= 1 && fleet.Accelerators(request.Accelerators) <= accelerators &&
		fleet.Cores(request.Cores) <= cores && fleet.Bytes(request.MemoryBytes) <= memory
	if !fits {
		return refusalBusy
	}
	worker.leases[request.LeaseId] = &lease{
		request:         request,
		state:           workerv1.TaskState_TASK_STATE_RESERVED,
		expiresAt:       now.Add(time.Duration(request.TtlMs) * time.Millisecond),
		changedRevision: worker.nextRevision(),
	}
	return ""
}

// Start starts a task under a reservation that has not expired.
func (worker *Worker) Start(ctx context.Context, request *workerv1.StartRequest) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, OrderStart, request, func(held *lease, now time.Time) string {
		if held.state != workerv1.TaskState_TASK_STATE_RESERVED {
			return refusalNoLease
		}
		var input Input
		if err := json.Unmarshal(request.Input, &input); err != nil {
			return refusalUnavailable
		}
		worker.start(held, now, request, input)
		return ""
	})
}

func (worker *Worker) start(held *lease, now time.Time, request *workerv1.StartRequest, input Input) {
	held.runTime = time.Duration(input.RunTimeMS) * time.Millisecond
	held.fails = input.Fails
	held.ignoresCheckpoint = input.IgnoresCheckpoint
	if worker.failEveryTask {
		held.runTime = worker.settings.FailAfter
		held.fails = true
	}
	if request.Resume {
		held.progress = worker.record.checkpoint(held.key(), held.member())
	}
	held.started, held.progressTime, held.speedPercent = now, now, 100
	held.expiresAt = now.Add(time.Duration(request.TtlMs) * time.Millisecond)
	held.state = workerv1.TaskState_TASK_STATE_RUNNING
	held.changedRevision = worker.nextRevision()
	held.run = worker.record.addRun(worker.machine.ID, held, now, request.Resume)
}

// Release ends a reservation under which no task was started.
func (worker *Worker) Release(
	ctx context.Context, request *workerv1.CommandRequest,
) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, OrderRelease, request, func(held *lease, now time.Time) string {
		if held.state != workerv1.TaskState_TASK_STATE_RESERVED {
			return refusalNoLease
		}
		worker.end(held, now, workerv1.TaskState_TASK_STATE_RELEASED)
		return ""
	})
}

// Stop ends the task of a lease at once and frees its accelerators.
func (worker *Worker) Stop(ctx context.Context, request *workerv1.CommandRequest) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, OrderStop, request, func(held *lease, now time.Time) string {
		state := workerv1.TaskState_TASK_STATE_STOPPED
		if held.state == workerv1.TaskState_TASK_STATE_RESERVED {
			state = workerv1.TaskState_TASK_STATE_RELEASED
		}
		worker.end(held, now, state)
		return ""
	})
}

// Checkpoint makes the task save its progress and end after CheckpointTime.
func (worker *Worker) Checkpoint(
	ctx context.Context, request *workerv1.CommandRequest,
) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, OrderCheckpoint, request, func(held *lease, now time.Time) string {
		if held.state != workerv1.TaskState_TASK_STATE_RUNNING {
			return refusalNoLease
		}
		if held.ignoresCheckpoint {
			return ""
		}
		held.checkpointAt = now.Add(worker.settings.CheckpointTime)
		held.state = workerv1.TaskState_TASK_STATE_CHECKPOINTING
		held.changedRevision = worker.nextRevision()
		return ""
	})
}

// Throttle sets the share of processor time that the task may use.
func (worker *Worker) Throttle(
	ctx context.Context, request *workerv1.ThrottleRequest,
) (*workerv1.CommandResponse, error) {
	return worker.command(ctx, OrderThrottle, request, func(held *lease, now time.Time) string {
		if held.run == nil || request.Percent < 1 || request.Percent > 100 {
			return refusalNoLease
		}
		held.progress = held.progressAt(now)
		held.progressTime = now
		held.speedPercent = int(request.Percent)
		return ""
	})
}

// commandRequest is a command on a lease.
type commandRequest interface {
	GetLeaseId() string
	GetExpiresWorkerMs() int64
}

// command applies a command to an active lease unless the command has expired. The function apply returns the reason
// for a refusal, or an empty string.
func (worker *Worker) command(
	ctx context.Context, order Order, request commandRequest, apply func(*lease, time.Time) string,
) (*workerv1.CommandResponse, error) {
	handle := func(ctx context.Context, fault Fault) (*workerv1.CommandResponse, error) {
		now, err := worker.beginCall(ctx)
		if err != nil {
			return nil, err
		}
		defer worker.mutex.Unlock()
		response := &workerv1.CommandResponse{WorkerMs: worker.clock(now), Refusal: fault.Refusal}
		if response.Refusal == "" && !fault.Ignored {
			response.Refusal = worker.apply(now, request, apply)
		}
		response.Done = response.Refusal == ""
		return response, nil
	}
	return handleOrder(ctx, worker, order, handle)
}

func (worker *Worker) apply(now time.Time, request commandRequest, apply func(*lease, time.Time) string) string {
	held, ok := worker.leases[request.GetLeaseId()]
	switch {
	case worker.expired(now, request.GetExpiresWorkerMs()):
		return refusalExpired
	case !ok || !held.active():
		return refusalNoLease
	default:
		return apply(held, now)
	}
}

// clock returns the time on the clock of the worker at now, in milliseconds. The clock starts at ClockOffset plus 1 ms.
func (worker *Worker) clock(now time.Time) int64 {
	return (now.Sub(worker.epoch) + worker.settings.ClockOffset).Milliseconds() + 1
}

// expired reports whether the expiry time of a command, in milliseconds of the clock of the worker, has been reached.
// An expiry time of 0 is never reached.
func (worker *Worker) expired(now time.Time, expiresMs int64) bool {
	return expiresMs != 0 && worker.clock(now) >= expiresMs
}

func (worker *Worker) nextRevision() int64 {
	worker.revision++
	return worker.revision
}
