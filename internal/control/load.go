package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// load reads the records and statuses of the former terms. No former controller can change the records any more,
// because its writes are conditional on the key of its own term.
func (loop *dispatcher) load() error {
	var records, statuses, jobs []keyvalue.Item
	for jobs == nil {
		var err error
		if records, err = loop.list(ledger.RecordPrefix); err == nil {
			statuses, err = loop.list(ledger.LivePrefix)
		}
		if err == nil {
			err = loop.loadEvacuations()
		}
		if err == nil {
			jobs, err = loop.list(ledger.JobPrefix)
		}
		if err != nil {
			loop.Logger.Warn("records could not be read; retrying", "error", err.Error())
			if err := lifecycle.Sleep(loop.ctx, commitRetry); err != nil {
				return err
			}
		}
	}
	for _, item := range records {
		loop.pendingRecords[fleet.JobID(item.Key[len(ledger.RecordPrefix):])] = item
	}
	loop.observeStatuses(asChanges(statuses))
	loop.observeJobs(asChanges(jobs))
	loop.Logger.Info("records read", "records", len(records), "jobs", len(jobs))
	return nil
}

func asChanges(items []keyvalue.Item) []keyvalue.Change {
	changes := make([]keyvalue.Change, len(items))
	for i, item := range items {
		changes[i] = keyvalue.Change{Item: item}
	}
	return changes
}

func (loop *dispatcher) list(prefix string) ([]keyvalue.Item, error) {
	items, _, err := loop.Store.List(loop.ctx, prefix)
	if items == nil {
		items = []keyvalue.Item{}
	}
	if err != nil {
		return nil, err
	}
	return items, nil
}

const (
	// jobWatchInterval is the minimum interval between two watch calls for jobs.
	jobWatchInterval = 40 * time.Millisecond
	// watchWait limits the duration of one watch call, and with it the time until a dead connection is noticed.
	watchWait = 1500 * time.Millisecond
	// watchRetry is the pause after a failed call to the store.
	watchRetry = 200 * time.Millisecond
	// workerWatchInterval is the minimum interval between two watch calls for workers. It is longer than for jobs,
	// because the entries of workers change all the time.
	workerWatchInterval = 300 * time.Millisecond
)

// startWatches starts to watch the accepted jobs and the workers in the store.
func (loop *dispatcher) startWatches() {
	jobs := &keyvalue.Mirror{
		Store: loop.Store, Prefix: ledger.JobPrefix, Interval: jobWatchInterval, Wait: watchWait,
		RetryPause: watchRetry, Logger: loop.Logger, Apply: func(changes []keyvalue.Change, _ bool) {
			loop.post(func(loop *dispatcher) { loop.observeJobs(changes) })
		},
	}
	workers := &keyvalue.Mirror{
		Store: loop.Store, Prefix: loop.WorkerPrefix, Interval: workerWatchInterval, Wait: watchWait,
		RetryPause: watchRetry, Logger: loop.Logger, Apply: func(changes []keyvalue.Change, complete bool) {
			readAt := time.Now()
			loop.post(func(loop *dispatcher) { loop.observeWorkers(changes, complete, readAt) })
		},
		Confirm: func(at time.Duration) {
			loop.post(func(loop *dispatcher) { loop.entriesConfirmedAt = at })
		},
		Clock: loop.Clock,
	}
	loop.group.Go(func() error { return jobs.Run(loop.ctx) })
	loop.group.Go(func() error { return workers.Run(loop.ctx) })
	loop.watchEvacuations()
	loop.loadSpeeds()
}
