package worker

import (
	"context"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// lease is a lease and the task that runs under it. A lease that has ended remains as an entry of the ended-task log.
type lease struct {
	request *workerv1.ReserveRequest
	state   workerv1.TaskState
	// expiresAt is when the lease expires unless it is renewed.
	expiresAt time.Time
	// changedRevision is the value of the worker's revision counter after the last change of the lease.
	changedRevision int64

	// run is the recorded run of the task; nil until the task starts.
	run               *Run
	runTime           time.Duration
	fails             bool
	ignoresCheckpoint bool
	started           time.Time
	// progress is the progress of the task at progressTime, expressed as run time at full speed. Since then the task
	// has run at speedPercent of full speed.
	progress     time.Duration
	progressTime time.Time
	speedPercent int
	// checkpointAt is when the checkpoint in progress will be complete.
	checkpointAt time.Time
	ended        time.Time
	// reportedUsage is the last reported accelerator time in milliseconds.
	reportedUsage int64
}

func (held *lease) key() fleet.JobKey {
	label := held.request.Label
	return fleet.JobKey{Organisation: fleet.OrganisationID(label.GetOrganisation()), Job: fleet.JobID(label.GetJobId())}
}

func (held *lease) member() int { return int(held.request.Label.GetMember()) }

// active reports whether the lease still holds its accelerators.
func (held *lease) active() bool {
	switch held.state {
	case workerv1.TaskState_TASK_STATE_RESERVED, workerv1.TaskState_TASK_STATE_RUNNING,
		workerv1.TaskState_TASK_STATE_CHECKPOINTING:
		return true
	default:
		return false
	}
}

// progressAt returns the progress of the task at now, expressed as run time at full speed.
func (held *lease) progressAt(now time.Time) time.Duration {
	return held.progress + now.Sub(held.progressTime)*time.Duration(held.speedPercent)/100
}

// nextEnd returns when and in which state the lease ends unless it is renewed or a command changes it.
func (held *lease) nextEnd() (time.Time, workerv1.TaskState) {
	if held.state == workerv1.TaskState_TASK_STATE_RESERVED {
		return held.expiresAt, workerv1.TaskState_TASK_STATE_RELEASED
	}
	at, state := held.expiresAt, workerv1.TaskState_TASK_STATE_LAPSED
	remaining := max(held.runTime-held.progress, 0) * 100 / time.Duration(held.speedPercent)
	if finish := held.progressTime.Add(remaining); !finish.After(at) {
		at, state = finish, workerv1.TaskState_TASK_STATE_COMPLETED
		if held.fails {
			state = workerv1.TaskState_TASK_STATE_FAILED
		}
	}
	if held.state == workerv1.TaskState_TASK_STATE_CHECKPOINTING && held.checkpointAt.Before(at) {
		at, state = held.checkpointAt, workerv1.TaskState_TASK_STATE_CHECKPOINTED
	}
	return at, state
}

// endDueLeases ends the leases whose end has been reached, in the order of their ends, and returns the current time.
// The caller holds the lock.
func (worker *Worker) endDueLeases() time.Time {
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
		endA, _ := a.nextEnd()
		endB, _ := b.nextEnd()
		return endA.Compare(endB)
	})
	for _, held := range due {
		at, state := held.nextEnd()
		worker.end(held, at, state)
	}
	return now
}

// end ends a lease, which frees its accelerators, and adds it to the ended-task log. The oldest entries beyond the
// limit of the log are removed.
func (worker *Worker) end(held *lease, at time.Time, state workerv1.TaskState) {
	if state == workerv1.TaskState_TASK_STATE_CHECKPOINTED {
		worker.record.saveCheckpoint(held.key(), held.member(), held.progressAt(at))
	}
	held.state = state
	held.ended = at
	held.changedRevision = worker.nextRevision()
	if held.run != nil {
		worker.record.endRun(held.run, at, state)
	}
	worker.endedLog = append(worker.endedLog, held.request.LeaseId)
	for len(worker.endedLog) > worker.settings.LogBound {
		delete(worker.leases, worker.endedLog[0])
		worker.endedLog = worker.endedLog[1:]
	}
}

// freeResources returns the accelerators, cores and memory that no active lease holds.
func (worker *Worker) freeResources() (fleet.Accelerators, fleet.Cores, fleet.Bytes) {
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

// Sync renews leases, removes acknowledged entries from the ended-task log and returns the leases that have changed
// since a revision.
func (worker *Worker) Sync(ctx context.Context, request *workerv1.SyncRequest) (*workerv1.SyncResponse, error) {
	return handleOrder(ctx, worker, OrderSync, func(ctx context.Context, _ Fault) (*workerv1.SyncResponse, error) {
		return worker.sync(ctx, request)
	})
}

func (worker *Worker) sync(ctx context.Context, request *workerv1.SyncRequest) (*workerv1.SyncResponse, error) {
	now, err := worker.beginCall(ctx)
	if err != nil {
		return nil, err
	}
	defer worker.mutex.Unlock()
	if !worker.expired(now, request.ExpiresWorkerMs) {
		worker.renew(now, request)
	}
	worker.acknowledge(request.Acknowledge)
	accelerators, _, _ := worker.freeResources()
	response := &workerv1.SyncResponse{
		WorkerMs:         worker.clock(now),
		FreeAccelerators: int32(accelerators),
		Incarnation:      worker.incarnation,
	}
	for _, held := range worker.leases {
		worker.updateUsage(held, now)
		if held.changedRevision > request.Since {
			response.Leases = append(response.Leases, held.report())
		}
	}
	response.Revision = worker.revision
	return response, nil
}

// renew extends the leases of the running tasks that the request names; it never shortens one.
func (worker *Worker) renew(now time.Time, request *workerv1.SyncRequest) {
	expiresAt := now.Add(time.Duration(request.TtlMs) * time.Millisecond)
	for _, id := range request.Renew {
		held, ok := worker.leases[id]
		if ok && held.active() && held.run != nil && held.expiresAt.Before(expiresAt) {
			held.expiresAt = expiresAt
		}
	}
}

// acknowledge removes ended leases from the ended-task log.
func (worker *Worker) acknowledge(ids []string) {
	for _, id := range ids {
		held, ok := worker.leases[id]
		if !ok || held.active() {
			continue
		}
		delete(worker.leases, id)
		worker.endedLog = slices.DeleteFunc(worker.endedLog, func(entry string) bool { return entry == id })
	}
}

// updateUsage updates the reported usage of a lease and marks the lease as changed if the run time of its task has
// reached the next multiple of UsageLag or the task has ended.
func (worker *Worker) updateUsage(held *lease, now time.Time) {
	if held.run == nil {
		return
	}
	used := now.Sub(held.started).Truncate(worker.settings.UsageLag)
	if !held.active() {
		used = held.ended.Sub(held.started)
	}
	reported := used.Milliseconds() * int64(held.request.Accelerators)
	if reported != held.reportedUsage {
		held.reportedUsage = reported
		held.changedRevision = worker.nextRevision()
	}
}

// report returns the state of the lease as Sync reports it.
func (held *lease) report() *workerv1.LeaseState {
	state := &workerv1.LeaseState{
		LeaseId:      held.request.LeaseId,
		State:        held.state,
		Label:        held.request.Label,
		Accelerators: held.request.Accelerators,
		UsedMs:       held.reportedUsage,
	}
	if held.state == workerv1.TaskState_TASK_STATE_FAILED {
		state.Failure = "task reported a failure"
	}
	return state
}
