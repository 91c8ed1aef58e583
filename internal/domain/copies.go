package domain

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// cachedRecord is the copy of one job record. The record is never changed once it is here.
type cachedRecord struct {
	record   *Record
	revision platform.StoreRevision
	// generation is the count of completed readings of the store when the copy was last delivered.
	generation int
}

// recordCache holds this process's recordCache of all job records, kept up by one watch.
type recordCache struct {
	logger hclog.Logger
	// onChange is called after each change, outside the lock; record is nil for a removed one.
	onChange func(key fleet.JobKey, record *Record, revision platform.StoreRevision)

	mutex      sync.Mutex
	records       map[fleet.JobKey]cachedRecord
	generation int
}

func newRecordCache(logger hclog.Logger, changed func(fleet.JobKey, *Record, platform.StoreRevision)) *recordCache {
	return &recordCache{logger: logger, onChange: changed, records: make(map[fleet.JobKey]cachedRecord)}
}

// handleChange takes one change of the watch.
func (copies *recordCache) handleChange(change platform.Change) {
	if change.CaughtUp {
		for _, key := range copies.finishSnapshot() {
			copies.onChange(key, nil, 0)
		}
		return
	}
	key, ok := parseRecordKey(change.Entry.Key)
	if !ok {
		return
	}
	if change.Deleted {
		copies.remove(key)
		copies.onChange(key, nil, 0)
		return
	}
	record, err := decodeRecord(change.Entry.Value)
	if err != nil || record.Key() != key {
		copies.logger.Error("job record cannot be read", "key", change.Entry.Key, "error", err)
		return
	}
	if copies.put(record, change.Entry.Revision) {
		copies.onChange(key, record, change.Entry.Revision)
	}
}

// finishSnapshot removes the copies that the reading since the last one did not deliver and returns their keys.
func (copies *recordCache) finishSnapshot() []fleet.JobKey {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	var removed []fleet.JobKey
	for key, copied := range copies.records {
		if copied.generation < copies.generation {
			removed = append(removed, key)
			delete(copies.records, key)
		}
	}
	copies.generation++
	return removed
}

// put takes a record unless a newer one is held.
func (copies *recordCache) put(record *Record, revision platform.StoreRevision) bool {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	held, ok := copies.records[record.Key()]
	if ok && held.revision > revision {
		return false
	}
	copies.records[record.Key()] = cachedRecord{record: record, revision: revision, generation: copies.generation}
	return !ok || held.revision < revision
}

func (copies *recordCache) remove(key fleet.JobKey) {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	delete(copies.records, key)
}

func (copies *recordCache) get(key fleet.JobKey) (cachedRecord, bool) {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	held, ok := copies.records[key]
	return held, ok
}

// all returns every copy.
func (copies *recordCache) all() []cachedRecord {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	all := make([]cachedRecord, 0, len(copies.records))
	for _, held := range copies.records {
		all = append(all, held)
	}
	return all
}

// loaded reports whether the whole store has been read at least once.
func (copies *recordCache) loaded() bool {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	return copies.generation > 0
}
