package domain

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// copied is the copy of one job record. The record is never changed once it is here.
type copied struct {
	record   *Record
	revision platform.StoreRevision
	// generation is the count of completed readings of the store when the copy was last delivered.
	generation int
}

// copies holds this process's copies of all job records, kept up by one watch.
type copies struct {
	logger hclog.Logger
	// changed is called after each change, outside the lock; record is nil for a removed one.
	changed func(key fleet.JobKey, record *Record, revision platform.StoreRevision)

	mutex      sync.Mutex
	jobs       map[fleet.JobKey]copied
	generation int
}

func newCopies(logger hclog.Logger, changed func(fleet.JobKey, *Record, platform.StoreRevision)) *copies {
	return &copies{logger: logger, changed: changed, jobs: make(map[fleet.JobKey]copied)}
}

// deliver takes one change of the watch.
func (copies *copies) deliver(change platform.Change) {
	if change.CaughtUp {
		for _, key := range copies.finishReading() {
			copies.changed(key, nil, 0)
		}
		return
	}
	key, ok := parseRecordKey(change.Entry.Key)
	if !ok {
		return
	}
	if change.Deleted {
		copies.remove(key)
		copies.changed(key, nil, 0)
		return
	}
	record, err := decodeRecord(change.Entry.Value)
	if err != nil || record.Key() != key {
		copies.logger.Error("job record cannot be read", "key", change.Entry.Key, "error", err)
		return
	}
	if copies.put(record, change.Entry.Revision) {
		copies.changed(key, record, change.Entry.Revision)
	}
}

// finishReading removes the copies that the reading since the last one did not deliver and returns their keys.
func (copies *copies) finishReading() []fleet.JobKey {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	var removed []fleet.JobKey
	for key, copied := range copies.jobs {
		if copied.generation < copies.generation {
			removed = append(removed, key)
			delete(copies.jobs, key)
		}
	}
	copies.generation++
	return removed
}

// put takes a record unless a newer one is held.
func (copies *copies) put(record *Record, revision platform.StoreRevision) bool {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	held, ok := copies.jobs[record.Key()]
	if ok && held.revision > revision {
		return false
	}
	copies.jobs[record.Key()] = copied{record: record, revision: revision, generation: copies.generation}
	return !ok || held.revision < revision
}

func (copies *copies) remove(key fleet.JobKey) {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	delete(copies.jobs, key)
}

func (copies *copies) get(key fleet.JobKey) (copied, bool) {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	held, ok := copies.jobs[key]
	return held, ok
}

// all returns every copy.
func (copies *copies) all() []copied {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	all := make([]copied, 0, len(copies.jobs))
	for _, held := range copies.jobs {
		all = append(all, held)
	}
	return all
}

// complete reports whether the whole store has been read at least once.
func (copies *copies) complete() bool {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	return copies.generation > 0
}
