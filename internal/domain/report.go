package domain

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// unmatchedLease is a lease that belongs to no attempt known here.
type unmatchedLease struct {
	worker fleet.WorkerID
	key    fleet.JobKey
	since  time.Time
	// resolving is true while the lease is being stopped or its job looked up.
	resolving bool
}

// handleReport takes what a worker reports.
func (owner *owner) handleReport(report worker.Report) {
	now := time.Now()
	for _, lease := range report.Changed {
		owner.leaseChanged(lease, now)
	}
	affected := make(map[fleet.JobKey]bool)
	for key := range owner.jobsByWorker[report.Worker] {
		affected[key] = true
	}
	for key := range affected {
		owner.handleMemberReport(owner.jobs[key], report)
	}
	switch {
	case report.Lost:
		delete(owner.reportedForeign, report.Worker)
		owner.core.Apply(now, scheduler.WorkerLost{Worker: report.Worker})
	case report.Found:
		delete(owner.reportedForeign, report.Worker)
	}
	owner.updateForeign(report.Worker)
}

// handleMemberReport ends the gang of a job when its member on a worker is gone or cannot be reached.
func (owner *owner) handleMemberReport(job *job, report worker.Report) {
	if job == nil {
		return
	}
	for _, id := range report.Gone {
		if job.hasMember(id) {
			job.missingLeases[id] = true
		}
	}
	if job.phase != phaseRunning {
		return
	}
	if report.Lost {
		owner.stopGang(job)
		return
	}
	owner.checkGang(job)
}

func (owner *owner) leaseChanged(lease worker.Lease, now time.Time) {
	known := owner.jobs[lease.Key]
	if known == nil || !known.hasMember(lease.ID) {
		owner.addUnmatched(lease.Worker, lease.ID, lease.Key)
		return
	}
	if known.phase == phaseRunning && known.inCore {
		owner.core.Apply(now, scheduler.UsageReported{
			Key: lease.Key, Attempt: known.coreAttempt, Used: owner.attemptUsage(known),
		})
	}
	if known.phase == phaseRecovering && owner.coreRemovalDone(known, now) {
		owner.tryRecover(known, now)
	}
}

// updateForeign tells the core of a worker's accelerators that leases unknown to it hold, when that has changed.
func (owner *owner) updateForeign(id fleet.WorkerID) {
	if !owner.manager.Reachable(id) {
		return
	}
	var foreign fleet.Accelerators
	for _, lease := range owner.manager.ActiveOn(id) {
		known := owner.jobs[lease.Key]
		if known == nil || !known.countedByCore() || !known.hasMember(lease.ID) {
			foreign += lease.Accelerators
		}
	}
	if told, ok := owner.reportedForeign[id]; ok && told == foreign {
		return
	}
	owner.reportedForeign[id] = foreign
	owner.core.Apply(time.Now(), scheduler.WorkerFound{Worker: id, Foreign: foreign})
}

func (owner *owner) updateForeignOfMembers(members []worker.Member) {
	for _, member := range members {
		owner.updateForeign(member.Worker)
	}
}

// updateRefused tells the core again of workers that refused, once they have been read since.
func (owner *owner) updateRefused(now time.Time) {
	for id, refused := range owner.refusedAt {
		if !owner.manager.SyncedSince(id, refused) || now.Sub(refused) < owner.service.Timing.SyncEvery {
			continue
		}
		delete(owner.refusedAt, id)
		delete(owner.reportedForeign, id)
		owner.updateForeign(id)
	}
}

func (owner *owner) addUnmatched(id fleet.WorkerID, lease fleet.LeaseID, key fleet.JobKey) {
	if _, ok := owner.unmatched[lease]; !ok {
		owner.unmatched[lease] = unmatchedLease{worker: id, key: key, since: time.Now()}
	}
}

// resolveUnmatched deals with the unmatched leases that no command in flight explains any more.
func (owner *owner) resolveUnmatched(now time.Time) {
	for id, lost := range owner.unmatched {
		if lost.resolving || now.Sub(lost.since) < owner.service.Timing.Settling() {
			continue
		}
		lease, ok := owner.manager.Lease(lost.worker, id)
		if !ok {
			delete(owner.unmatched, id)
			continue
		}
		owner.resolveUnmatchedLease(lost, lease)
	}
}

func (owner *owner) resolveUnmatchedLease(lost unmatchedLease, lease worker.Lease) {
	known := owner.jobs[lost.key]
	if known == nil {
		owner.resolveWithoutJob(lost, lease)
		return
	}
	attempt := fleet.Attempt(lease.Label.GetAttempt())
	switch {
	case known.hasMember(lease.ID):
		delete(owner.unmatched, lease.ID)
	case known.phase == phaseRecovering || known.phase == phaseEnding || known.saving:
	case lease.Active() && attempt > known.record.Attempt:
		delete(owner.unmatched, lease.ID)
		owner.removeFromCore(known)
		owner.releaseLeases(known)
		delete(owner.awaitingStore, known.record.Key())
		owner.startRecovery(known)
	case lease.Active():
		owner.stopUnmatched(lost, lease)
	case !owner.unsaved[lost.key]:
		owner.manager.Forget(lease.Worker, lease.ID)
		delete(owner.unmatched, lease.ID)
	}
}

// resolveWithoutJob deals with a lease whose job is not held here. Its record decides; without an answer it stays.
func (owner *owner) resolveWithoutJob(lost unmatchedLease, lease worker.Lease) {
	if held, ok := owner.service.cache.get(lost.key); ok {
		if held.record.State == StateEnded && held.record.Domain == owner.service.domain() {
			owner.stopUnmatched(lost, lease)
			return
		}
		lost.since = time.Now()
		owner.unmatched[lease.ID] = lost
		return
	}
	lost.resolving = true
	owner.unmatched[lease.ID] = lost
	owner.runAsync(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		_, _, err := owner.service.readRecord(ctx, lost.key)
		owner.post(func() {
			if errors.Is(err, platform.ErrNotFound) {
				owner.stopUnmatched(lost, lease)
				return
			}
			lost.resolving, lost.since = false, time.Now()
			owner.unmatched[lease.ID] = lost
		})
	})
}

// stopUnmatched ends a lease that nothing accounts for and acknowledges its end.
func (owner *owner) stopUnmatched(lost unmatchedLease, lease worker.Lease) {
	if !lease.Active() {
		owner.manager.Forget(lease.Worker, lease.ID)
		delete(owner.unmatched, lease.ID)
		return
	}
	lost.resolving = true
	owner.unmatched[lease.ID] = lost
	owner.service.count("unmatched_leases_stopped", 1)
	owner.logger.Warn("unmatched lease stopped", "job", lease.Key.Job, "organisation", lease.Key.Organisation,
		"attempt", lease.Label.GetAttempt(), "worker", lease.Worker)
	member := worker.Member{Worker: lease.Worker, Lease: lease.ID, Accelerators: lease.Accelerators}
	owner.runAsync(func(ctx context.Context) {
		if _, err := owner.manager.StopGang(ctx, []worker.Member{member}); err != nil {
			return
		}
		owner.post(func() {
			owner.manager.Forget(lease.Worker, lease.ID)
			delete(owner.unmatched, lease.ID)
			owner.updateForeign(lease.Worker)
		})
	})
}
