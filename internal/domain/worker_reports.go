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

// unmatchedLease is a lease that belongs to no attempt in the owner's state.
type unmatchedLease struct {
	worker fleet.WorkerID
	key    fleet.JobKey
	since  time.Time
	// resolving is true while the lease is being stopped or the record of its job is being read.
	resolving bool
}

// handleReport processes the changes that a sync with a worker found: it updates the jobs that they concern, and
// reports a lost worker and the foreign accelerators of the worker to the core.
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

// handleMemberReport stops the running gang of a job when its member on the reporting worker is missing or the
// worker is lost.
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
	job := owner.jobs[lease.Key]
	if job == nil || !job.hasMember(lease.ID) {
		owner.addUnmatched(lease.Worker, lease.ID, lease.Key)
		return
	}
	if job.phase == phaseRunning && job.inCore {
		owner.core.Apply(now, scheduler.UsageReported{
			Key: lease.Key, Attempt: job.coreAttempt, Used: owner.attemptUsage(job),
		})
	}
	if job.phase == phaseRecovering && owner.coreRemovalDone(job, now) {
		owner.tryRecover(job, now)
	}
}

// updateForeign reports the foreign accelerators of a worker to the core if their number has changed. Foreign
// accelerators are occupied by leases that the core does not count as in use by its jobs. Those of no current attempt
// become unmatched: the worker may list a lease that has been taken for ended, and does not report it as changed.
func (owner *owner) updateForeign(id fleet.WorkerID) {
	if !owner.manager.Reachable(id) {
		return
	}
	var foreign fleet.Accelerators
	for _, lease := range owner.manager.ActiveLeases(id) {
		job := owner.jobs[lease.Key]
		if job == nil || !job.countedByCore() || !job.hasMember(lease.ID) {
			foreign += lease.Accelerators
		}
		if job == nil || !job.holds(lease.ID) {
			owner.addUnmatched(id, lease.ID, lease.Key)
		}
	}
	if reported, ok := owner.reportedForeign[id]; ok && reported == foreign {
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

// updateRefused reports the foreign accelerators of the workers that refused a reservation to the core again, once a
// sync that began after the refusal has succeeded and SyncEvery has passed since the refusal.
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

// resolveUnmatched matches the leases that have been unmatched for TakeoverDelay to an attempt, stops them, or
// acknowledges their ends. By then, no command in flight can be the reason that a lease has no attempt.
func (owner *owner) resolveUnmatched(now time.Time) {
	for id, unmatched := range owner.unmatched {
		if unmatched.resolving || now.Sub(unmatched.since) < owner.service.Timing.TakeoverDelay() {
			continue
		}
		lease, ok := owner.manager.Lease(unmatched.worker, id)
		if !ok {
			delete(owner.unmatched, id)
			continue
		}
		owner.resolveUnmatchedLease(unmatched, lease)
	}
}

func (owner *owner) resolveUnmatchedLease(unmatched unmatchedLease, lease worker.Lease) {
	job := owner.jobs[unmatched.key]
	if job == nil {
		owner.resolveWithoutJob(unmatched, lease)
		return
	}
	attempt := fleet.Attempt(lease.Label.GetAttempt())
	switch {
	case job.holds(lease.ID), job.hasMember(lease.ID) && !lease.Active():
		delete(owner.unmatched, lease.ID)
	case job.phase == phaseRecovering || job.phase == phaseEnding || job.saving:
	case lease.Active() && attempt > job.record.Attempt:
		delete(owner.unmatched, lease.ID)
		owner.removeFromCore(job)
		owner.releaseLeases(job)
		delete(owner.awaitingStore, job.record.Key())
		owner.startRecovery(job)
	case lease.Active():
		owner.stopUnmatched(unmatched, lease)
	case !owner.unsaved[unmatched.key]:
		owner.manager.Forget(lease.Worker, lease.ID)
		delete(owner.unmatched, lease.ID)
	}
}

// resolveWithoutJob stops a lease whose job is not in the owner's state if the job has ended in this domain or has no
// record. Otherwise, or if the record cannot be read, the lease is checked again after another TakeoverDelay.
func (owner *owner) resolveWithoutJob(unmatched unmatchedLease, lease worker.Lease) {
	if cached, ok := owner.service.cache.get(unmatched.key); ok {
		if cached.record.State == StateEnded && cached.record.Domain == owner.service.domain() {
			owner.stopUnmatched(unmatched, lease)
			return
		}
		unmatched.since = time.Now()
		owner.unmatched[lease.ID] = unmatched
		return
	}
	unmatched.resolving = true
	owner.unmatched[lease.ID] = unmatched
	owner.runAsync(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		_, _, err := owner.service.readRecord(ctx, unmatched.key)
		owner.post(func() {
			if errors.Is(err, platform.ErrNotFound) {
				owner.stopUnmatched(unmatched, lease)
				return
			}
			unmatched.resolving, unmatched.since = false, time.Now()
			owner.unmatched[lease.ID] = unmatched
		})
	})
}

// stopUnmatched stops a lease that belongs to no attempt, or acknowledges its end to the worker.
func (owner *owner) stopUnmatched(unmatched unmatchedLease, lease worker.Lease) {
	if !lease.Active() {
		owner.manager.Forget(lease.Worker, lease.ID)
		delete(owner.unmatched, lease.ID)
		return
	}
	unmatched.resolving = true
	owner.unmatched[lease.ID] = unmatched
	owner.service.count("unmatched_leases_stopped", 1)
	owner.logger.Warn("unmatched lease stopped", "job", lease.Key.Job, "organisation", lease.Key.Organisation,
		"attempt", lease.Label.GetAttempt(), "worker", lease.Worker)
	member := worker.Member{Worker: lease.Worker, Lease: lease.ID, Accelerators: lease.Accelerators}
	owner.runAsync(func(ctx context.Context) {
		if _, err := owner.manager.StopGang(ctx, []worker.Member{member}); err != nil {
			return
		}
		owner.post(func() { owner.unmatchedStopped(unmatched, lease.ID) })
	})
}

// unmatchedStopped resolves an unmatched lease that has been stopped. If its worker could not be reached and may list
// it as active again, it stays unmatched.
func (owner *owner) unmatchedStopped(unmatched unmatchedLease, id fleet.LeaseID) {
	unmatched.resolving, unmatched.since = false, time.Now()
	owner.unmatched[id] = unmatched
	if lease, ok := owner.manager.Lease(unmatched.worker, id); !ok {
		delete(owner.unmatched, id)
	} else if !lease.Active() && owner.jobs[unmatched.key] == nil {
		owner.stopUnmatched(unmatched, lease)
	} else if !lease.Active() {
		owner.resolveUnmatchedLease(unmatched, lease)
	}
	owner.updateForeign(unmatched.worker)
}
