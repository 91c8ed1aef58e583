package domain

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// tickInterval is the longest time between two turns of the owner's loop.
const tickInterval = 250 * time.Millisecond

// errTermEnded is the error of a call to an owner whose term has ended.
var errTermEnded = errors.New("the term of the owner has ended")

// post queues a function for the goroutine of run. It never blocks.
func (owner *owner) post(work func()) {
	owner.mutex.Lock()
	owner.mailbox = append(owner.mailbox, work)
	owner.mutex.Unlock()
	owner.notify()
}

// notify wakes the goroutine of run.
func (owner *owner) notify() {
	select {
	case owner.wake <- struct{}{}:
	default:
	}
}

// runOnLoop runs a function in the goroutine of run and returns its result.
func runOnLoop[T any](ctx context.Context, owner *owner, call func() T) (T, error) {
	result := make(chan T, 1)
	owner.post(func() { result <- call() })
	var zero T
	select {
	case value := <-result:
		return value, nil
	case <-owner.done:
		return zero, errTermEnded
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// run takes over the domain, executes the turns of the owner's loop until the term must end, and returns the reason for
// the end.
func (owner *owner) run(ctx context.Context) string {
	defer close(owner.done)
	owner.takeOver()
	lastTurn := time.Now()
	timer := time.AfterFunc(tickInterval, owner.notify)
	defer timer.Stop()
	owner.notify()
	for {
		select {
		case <-ctx.Done():
			return "stopping"
		case <-owner.ctx.Done():
			return "stopping"
		case <-owner.wake:
		}
		now := time.Now()
		if now.Sub(lastTurn) > owner.service.PauseLimit {
			return fmt.Sprintf("paused for %s", now.Sub(lastTurn))
		}
		if !owner.service.isOwner() {
			return "another process owns the domain"
		}
		owner.runMailbox()
		owner.tick(now)
		owner.updateGauges(now)
		owner.decide()
		owner.flush()
		lastTurn = time.Now()
		timer.Reset(owner.timeToNextTurn(lastTurn))
	}
}

func (owner *owner) runMailbox() {
	owner.mutex.Lock()
	mailbox := owner.mailbox
	owner.mailbox = nil
	owner.mutex.Unlock()
	for _, work := range mailbox {
		work()
	}
}

// timeToNextTurn returns the time until the core has a decision that is due, but at most tickInterval.
func (owner *owner) timeToNextTurn(now time.Time) time.Duration {
	delay := tickInterval
	if next := owner.core.NextWake(); owner.settled && !next.IsZero() {
		delay = min(delay, max(next.Sub(now), time.Millisecond))
	}
	return delay
}

// tick runs the periodic work of each turn: it applies a newer configuration and VM list, and advances the jobs in
// recovery, the unmatched leases and the jobs that wait for the store.
func (owner *owner) tick(now time.Time) {
	owner.refresh(now)
	owner.checkSettled(now)
	owner.recoverAll(now)
	owner.resolveUnmatched(now)
	owner.updateRefused(now)
	owner.probeStore(now)
}

// refresh passes a newer configuration and a newer list of the domain's workers to the core, and the workers also to
// the manager, if this process has received them.
func (owner *owner) refresh(now time.Time) {
	// Another configuration of the same revision replaces the one in force if the store lost an edit.
	if config := owner.service.Configs.Current(); config != nil && config != owner.config &&
		(owner.config == nil || config.Revision >= owner.config.Revision) {
		owner.logEvacuations(config)
		owner.config = config
		owner.core.Apply(now, scheduler.ConfigChanged{Config: config})
	}
	inventory := owner.service.Inventory()
	if inventory.Revision <= owner.fleetRevision {
		return
	}
	owner.fleetRevision = inventory.Revision
	var workers []fleet.Worker
	for _, machine := range inventory.Workers {
		if machine.Region == owner.service.domain() {
			workers = append(workers, machine)
		}
	}
	owner.core.Apply(now, scheduler.FleetChanged{Workers: workers})
	owner.manager.SetFleet(workers)
}

// runAsync runs work in a goroutine that close waits for. The context of work is cancelled when the term ends.
func (owner *owner) runAsync(work func(ctx context.Context)) {
	owner.group.Go(func() { work(owner.ctx) })
}

// drain stops the execution of decisions and waits until every starting gang has started or failed, but no longer than
// TakeoverDelay.
func (owner *owner) drain() {
	ctx, cancel := context.WithTimeout(owner.ctx, owner.service.Timing.TakeoverDelay())
	defer cancel()
	for ctx.Err() == nil {
		starting, err := runOnLoop(ctx, owner, func() int {
			owner.draining = true
			return owner.countPhase(phaseStarting)
		})
		if err != nil || starting == 0 {
			return
		}
		_ = lifecycle.Sleep(ctx, tickInterval/5)
	}
}
