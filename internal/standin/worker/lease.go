package worker

import (
	"context"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// lease is a lease, the task under it, and after its end an entry of the ended-task log.
type lease struct {
	request *workerv1.ReserveRequest
	state   workerv1.TaskState
	// until is when the lease runs out.
	until time.Time
	// changed is the worker's revision of the last change.
	changed int64

	run               *Run
	total             time.Duration
	fails             bool
	ignoresCheckpoint bool
	started           time.Time
	// progress is what the task had done at since; percent is its speed from then on.
	progress time.Duration
	since    time.Time
	percent  int
	// savedAt is when the checkpoint under way is complete.
	savedAt time.Time
	ended   time.Time
	// reported is the usage of the last report.
	reported int64
}

func (held *lease) key() fleet.JobKey {
	label := held.request.Label
	return fleet.JobKey{Organisation: fleet.OrganisationID(label.GetOrganisation()), Job: fleet.JobID(label.GetJobId())}
}

func (held *lease) member() int { return int(held.request.Label.GetMember()) }

func (held *lease) active() bool {
	switch held.state {
	case workerv1.TaskState_TASK_STATE_RESERVED, workerv1.TaskState_TASK_STATE_RUNNING, workerv1.TaskState_TASK_STATE_CHECKPOINTING:
		return true
	default:
		return false
	}
}

func (held *lease) progressAt(now time.Time) time.Duration {
	return held.progress + now.Sub(held.since)*time.Duration(held.percent)/100
}

// nextEnd returns when and how the lease ends if nothing else happens.
func (held *lease) nextEnd() (time.Time, workerv1.TaskState) {
	if held.state == workerv1.TaskState_TASK_STATE_RESERVED {
		return held.until, workerv1.TaskState_TASK_STATE_RELEASED
	}
	at, state := held.until, workerv1.TaskState_TASK_STATE_LAPSED
	remaining := max(held.total-held.progress, 0) * 100 / time.Duration(held.percent)
	if finish := held.since.Add(remaining); !finish.After(at) {
		at, state = finish, workerv1.TaskState_TASK_STATE_COMPLETED
		if held.fails {
			state = workerv1.TaskState_TASK_STATE_FAILED
		}
	}
	if held.state == workerv1.TaskState_TASK_STATE_CHECKPOINTING && held.savedAt.Before(at) {
		at, state = held.savedAt, workerv1.TaskState_TASK_STATE_CHECKPOINTED
	}
	return at, state
}

// settle ends the leases whose time has come and returns the present moment.
func (worker *Worker) settle() time.Time {
	now := worker.settings.Now()
	var due []*lease
	for _, held := range worker.leases {
		if !held.active() {
			continue
		}
		if at, _ := held.nextEnd(); !at.After(now) {
			due = append(due, held)
		}
	}
	slices.SortFunc(due, func(a, b *lease) int {
		left, _ := a.nextEnd()
		right, _ := b.nextEnd()
		return left.Compare(right)
	})
	for _, held := range due {
		at, state := held.nextEnd()
		worker.end(held, at, state)
	}
	return now
}

// end ends a lease, frees its accelerators and enters it in the ended-task log.
func (worker *Worker) end(held *lease, at time.Time, state workerv1.TaskState) {
	if state == workerv1.TaskState_TASK_STATE_CHECKPOINTED {
		worker.record.save(held.key(), held.member(), held.progressAt(at))
	}
	held.state = state
	held.ended = at
	held.changed = worker.nextRevision()
	if held.run != nil {
		worker.record.end(held.run, at, state)
	}
	worker.log = append(worker.log, held.request.LeaseId)
	for len(worker.log) > worker.settings.LogBound {
		delete(worker.leases, worker.log[0])
		worker.log = worker.log[1:]
	}
}

// free returns what no active lease holds.
func (worker *Worker) free() (fleet.Accelerators, fleet.Cores, fleet.Bytes) {
	accelerators, cores, memory := worker.machine.Accelerators, worker.machine.Cores, worker.machine.Memory
	for _, held := range worker.leases {
		if held.active() {
			accelerators -= fleet.Accelerators(held.request.Accelerators)
			cores -= fleet.Cores(held.request.Cores)
			memory -= fleet.Bytes(held.request.MemoryBytes)
		}
	}
	return accelerators, cores, memory
}

// Sync renews leases, forgets acknowledged ends and returns the changes since a revision.
func (worker *Worker) Sync(ctx context.Context, request *workerv1.SyncRequest) (*workerv1.SyncResponse, error) {
	now, err := worker.enter(ctx)
	if err != nil {
		return nil, err
	}
	defer worker.mutex.Unlock()
	if !worker.expired(now, request.ExpiresWorkerMs) {
		worker.renew(now, request)
	}
	worker.acknowledge(request.Acknowledge)
	accelerators, _, _ := worker.free()
	response := &workerv1.SyncResponse{
		WorkerMs:         worker.clock(now),
		FreeAccelerators: int32(accelerators),
		Incarnation:      worker.incarnation,
	}
	for _, held := range worker.leases {
		worker.refreshUsage(held, now)
		if held.changed > request.Since {
			response.Leases = append(response.Leases, held.report())
		}
	}
	response.Revision = worker.revision
	return response, nil
}

func (worker *Worker) renew(now time.Time, request *workerv1.SyncRequest) {
	until := now.Add(time.Duration(request.TtlMs) * time.Millisecond)
	for _, id := range request.Renew {
		held, ok := worker.leases[id]
		if ok && held.active() && held.run != nil && held.until.Before(until) {
			held.until = until
		}
	}
}

func (worker *Worker) acknowledge(ids []string) {
	for _, id := range ids {
		held, ok := worker.leases[id]
		if !ok || held.active() {
			continue
		}
		delete(worker.leases, id)
		worker.log = slices.DeleteFunc(worker.log, func(entry string) bool { return entry == id })
	}
}

// refreshUsage counts a change when the reported usage has moved by a step, or when the task has ended.
func (worker *Worker) refreshUsage(held *lease, now time.Time) {
	if held.run == nil {
		return
	}
	used := now.Sub(held.started).Truncate(worker.settings.UsageLag)
	if !held.active() {
		used = held.ended.Sub(held.started)
	}
	reported := used.Milliseconds() * int64(held.request.Accelerators)
	if reported != held.reported {
		held.reported = reported
		held.changed = worker.nextRevision()
	}
}

func (held *lease) report() *workerv1.LeaseState {
	state := &workerv1.LeaseState{
		LeaseId:      held.request.LeaseId,
		State:        held.state,
		Label:        held.request.Label,
		Accelerators: held.request.Accelerators,
		UsedMs:       held.reported,
	}
	if held.state == workerv1.TaskState_TASK_STATE_FAILED {
		state.Failure = "task reported a failure"
	}
	return state
}
