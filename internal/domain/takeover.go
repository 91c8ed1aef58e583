package domain

import "time"

// takeOver loads the job records of the domain from the cache and applies the unwritten ends. Jobs that may be running
// are recovered once their workers have responded.
func (owner *owner) takeOver() {
	owner.termStart = time.Now()
	owner.refresh(owner.termStart)
	for _, cached := range owner.service.cache.all() {
		owner.recordChanged(cached.record.Key(), cached.record, cached.revision)
	}
	for _, job := range owner.jobs {
		job.takenOver = true
	}
	for _, ended := range owner.service.listUnwrittenEnds() {
		owner.applyUnwrittenEnd(ended)
	}
}

// checkSettled sets settled, which allows the core to make decisions, once TakeoverDelay has passed and every worker
// has responded or is lost, or MaxLeaseLifetime has passed.
func (owner *owner) checkSettled(now time.Time) {
	if owner.settled || now.Sub(owner.termStart) < owner.service.Timing.TakeoverDelay() {
		return
	}
	for _, machine := range owner.service.Inventory().Workers {
		if machine.Region != owner.service.domain() {
			continue
		}
		responded := owner.manager.SyncedSince(machine.ID, owner.termStart)
		if !responded && now.Sub(owner.termStart) < owner.service.Timing.MaxLeaseLifetime() &&
			!owner.manager.Lost(machine.ID) {
			return
		}
	}
	owner.settled, owner.settledAt = true, now
	owner.logger.Info("domain settled", "jobs", len(owner.jobs), "recovering", len(owner.recovering))
}
