package worker

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// The errors that send returns for commands that it did not send.
var (
	errWorkerNotListed = errors.New("worker is not listed")
	errClockUnknown    = errors.New("worker's clock is unknown or was read too long ago")
)

// Member is one task of a gang and its lease.
type Member struct {
	Worker       fleet.WorkerID
	Lease        fleet.LeaseID
	Accelerators fleet.Accelerators
}

// Gang is one attempt to run a job.
type Gang struct {
	Key            fleet.JobKey
	Attempt        fleet.Attempt
	Profile        fleet.ProfileName
	Shape          fleet.Shape
	ConfigRevision fleet.Revision
	// Unrecorded is true if the write of the attempt to the job's record in the store failed.
	Unrecorded bool
	Resume     bool
	Input      []byte
	Members    []Member
	// StartDeadline is the time before which every Start request must be sent. After that time, no Start request is
	// sent.
	StartDeadline time.Time
}

// StartResult tells whether StartGang started the gang, and which workers kept it from starting.
type StartResult struct {
	// Started is true if every member has acknowledged its start.
	Started bool
	// MayHaveRun is true if at least one member may be running or may have run.
	MayHaveRun bool
	// Busy holds the workers that did not grant a reservation, including those that did not respond.
	Busy []fleet.WorkerID
	// Failed holds the workers that did not acknowledge a start.
	Failed []fleet.WorkerID
}

// StartGang reserves leases for all members concurrently and then starts all members. If a reservation fails, it
// releases all reservations, and no member has run. If a start fails, the caller must stop the gang.
func (manager *Manager) StartGang(ctx context.Context, gang Gang) StartResult {
	if busy := manager.reserveAll(ctx, gang); len(busy) > 0 {
		manager.releaseAll(ctx, gang.Members)
		manager.count("worker_gangs_refused", 1)
		return StartResult{Busy: busy}
	}
	if !time.Now().Before(gang.StartDeadline) || ctx.Err() != nil {
		manager.releaseAll(ctx, gang.Members)
		manager.count("worker_gangs_late", 1)
		return StartResult{}
	}
	result := manager.startAll(ctx, gang)
	if !result.Started {
		manager.count("worker_gangs_incomplete", 1)
		return result
	}
	manager.RenewGang(gang.Members, time.Now().Add(manager.Timing.MaxProbationLifetime()))
	manager.count("worker_gangs_started", 1)
	return result
}

// forEach calls work for each member concurrently and returns the workers of the members for which work returned false.
func forEach(members []Member, work func(index int, member Member) bool) []fleet.WorkerID {
	var group sync.WaitGroup
	failed := make([]bool, len(members))
	for i, member := range members {
		group.Go(func() { failed[i] = !work(i, member) })
	}
	group.Wait()
	var workers []fleet.WorkerID
	for i, member := range members {
		if failed[i] {
			workers = append(workers, member.Worker)
		}
	}
	return workers
}

func (manager *Manager) reserveAll(ctx context.Context, gang Gang) []fleet.WorkerID {
	return forEach(gang.Members, func(index int, member Member) bool {
		granted, err := manager.reserve(ctx, gang, index)
		if err != nil {
			manager.Logger.Debug("reserve failed", "worker", member.Worker, "job", gang.Key.Job,
				"organisation", gang.Key.Organisation, "attempt", gang.Attempt, "error", err)
		}
		return granted
	})
}

func (manager *Manager) reserve(ctx context.Context, gang Gang, index int) (bool, error) {
	member := gang.Members[index]
	now := time.Now()
	request := &workerv1.ReserveRequest{
		LeaseId:      string(member.Lease),
		Accelerators: int32(member.Accelerators),
		Cores:        int32(gang.Shape.Cores),
		MemoryBytes:  int64(gang.Shape.Memory),
		TtlMs:        manager.Timing.Reservation.Milliseconds(),
		Label: &workerv1.LeaseLabel{
			Organisation:   string(gang.Key.Organisation),
			JobId:          string(gang.Key.Job),
			Profile:        string(gang.Profile),
			Attempt:        int32(gang.Attempt),
			GangMembers:    int32(len(gang.Members)),
			Member:         int32(index),
			ConfigRevision: int64(gang.ConfigRevision),
			Unrecorded:     gang.Unrecorded,
			Owner:          manager.Owner,
		},
	}
	// The lease is tracked before the request is sent, so that stop can look up its latest end.
	manager.TrackWithoutRenewal(member,
		now.Add(manager.Timing.CommandExpiry+manager.Timing.Reservation+manager.Timing.Margin))
	granted := false
	err := manager.send(ctx, member.Worker, func(ctx context.Context, client Client, expires int64) (int64, error) {
		request.ExpiresWorkerMs = expires
		response, err := client.Reserve(ctx, request)
		granted = err == nil && response.Granted
		return response.GetWorkerMs(), err
	})
	return granted, err
}

func (manager *Manager) startAll(ctx context.Context, gang Gang) StartResult {
	var mutex sync.Mutex
	anyMayHaveRun := false
	failed := forEach(gang.Members, func(_ int, member Member) bool {
		acknowledged, mayHaveRun := manager.start(ctx, gang, member)
		mutex.Lock()
		defer mutex.Unlock()
		anyMayHaveRun = anyMayHaveRun || mayHaveRun
		return acknowledged
	})
	return StartResult{Started: len(failed) == 0, MayHaveRun: anyMayHaveRun, Failed: failed}
}

// start sends a Start request for one member. It returns whether the worker acknowledged it, and whether the task may
// be running or have run.
func (manager *Manager) start(ctx context.Context, gang Gang, member Member) (acknowledged, mayHaveRun bool) {
	request := &workerv1.StartRequest{
		LeaseId: string(member.Lease),
		TtlMs:   manager.Timing.Probation.Milliseconds(),
		Input:   gang.Input,
		Resume:  gang.Resume,
	}
	manager.TrackWithoutRenewal(member, time.Now().Add(manager.Timing.MaxProbationLifetime()))
	err := manager.send(ctx, member.Worker, func(ctx context.Context, client Client, expires int64) (int64, error) {
		if !time.Now().Before(gang.StartDeadline) {
			return 0, nil
		}
		mayHaveRun = true
		request.ExpiresWorkerMs = expires
		response, err := client.Start(ctx, request)
		acknowledged = err == nil && response.Done
		if err == nil && !response.Done {
			mayHaveRun = false
		}
		return response.GetWorkerMs(), err
	})
	if err != nil {
		manager.Logger.Warn("start failed", "worker", member.Worker, "job", gang.Key.Job,
			"organisation", gang.Key.Organisation, "attempt", gang.Attempt, "error", err)
	}
	return acknowledged, mayHaveRun
}

// send sends a command to a worker by calling command with the worker's client and the time, on the worker's clock, at
// which the command expires. The call is cancelled after CommandExpiry. command returns the time on the worker's clock
// from the response, or 0 if there is no response. send stores this time for computing later expiries.
func (manager *Manager) send(
	ctx context.Context, worker fleet.WorkerID, command func(context.Context, Client, int64) (int64, error),
) error {
	session, ok := manager.session(worker)
	if !ok {
		return errWorkerNotListed
	}
	link, expires, ok := session.commandLink()
	if !ok {
		return errClockUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, manager.Timing.CommandExpiry)
	defer cancel()
	workerMS, err := command(ctx, link.client, expires)
	if err != nil {
		return errors.Wrapf(err, "worker %s", worker)
	}
	if workerMS != 0 {
		session.recordClock(link, workerMS)
	}
	return nil
}

// releaseAll releases the reservations of all members. It does not retry: a reservation whose release fails expires by
// itself.
func (manager *Manager) releaseAll(ctx context.Context, members []Member) {
	forEach(members, func(_ int, member Member) bool {
		err := manager.send(ctx, member.Worker, func(ctx context.Context, client Client, expires int64) (int64, error) {
			response, err := client.Release(ctx,
				&workerv1.CommandRequest{LeaseId: string(member.Lease), ExpiresWorkerMs: expires})
			return response.GetWorkerMs(), err
		})
		return err == nil
	})
}

// Throttle sets the share of processor time of every member, in percent. It does not retry.
func (manager *Manager) Throttle(ctx context.Context, members []Member, percent int) {
	forEach(members, func(_ int, member Member) bool {
		err := manager.send(ctx, member.Worker, func(ctx context.Context, client Client, expires int64) (int64, error) {
			request := &workerv1.ThrottleRequest{
				LeaseId: string(member.Lease), Percent: int32(percent), ExpiresWorkerMs: expires,
			}
			response, err := client.Throttle(ctx, request)
			return response.GetWorkerMs(), err
		})
		return err == nil
	})
}
