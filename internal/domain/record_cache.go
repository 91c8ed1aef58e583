package domain

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// cachedRecord is a job record in the cache. The record must not be modified.
type cachedRecord struct {
	record   *Record
	revision platform.StoreRevision
	// generation is the value of recordCache.generation when the watch last delivered the record.
	generation int
}

// recordCache caches all job records. One watch of the store keeps it up to date.
type recordCache struct {
	logger hclog.Logger
	// onChange is called after each change, without the lock held. The record is nil if it was removed.
	onChange func(key fleet.JobKey, record *Record, revision platform.StoreRevision)

	mutex   sync.Mutex
	records map[fleet.JobKey]cachedRecord
	// generation counts the complete snapshots of all records that the watch has delivered.
	generation int
}

func newRecordCache(logger hclog.Logger, onChange func(fleet.JobKey, *Record, platform.StoreRevision)) *recordCache {
	return &recordCache{logger: logger, onChange: onChange, records: make(map[fleet.JobKey]cachedRecord)}
}

// handleChange applies one change that the watch delivered.
func (cache *recordCache) handleChange(change platform.Change) {
	if change.CaughtUp {
		for _, key := range cache.finishSnapshot() {
			cache.onChange(key, nil, 0)
		}
		return
	}
	key, ok := parseRecordKey(change.Entry.Key)
	if !ok {
		return
	}
	if change.Deleted {
		cache.remove(key)
		cache.onChange(key, nil, 0)
		return
	}
	record, err := decodeRecord(change.Entry.Value)
	if err != nil || record.Key() != key {
		cache.logger.Error("job record cannot be read", "key", change.Entry.Key, "error", err)
		return
	}
	if cache.put(record, change.Entry.Revision) {
		cache.onChange(key, record, change.Entry.Revision)
	}
}

// finishSnapshot removes the records that the snapshot just completed did not contain, and returns their keys.
func (cache *recordCache) finishSnapshot() []fleet.JobKey {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	var removed []fleet.JobKey
	for key, cached := range cache.records {
		if cached.generation < cache.generation {
			removed = append(removed, key)
			delete(cache.records, key)
		}
	}
	cache.generation++
	return removed
}

// put stores a record unless the cache holds a newer version. It reports whether the cache changed.
func (cache *recordCache) put(record *Record, revision platform.StoreRevision) bool {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cached, ok := cache.records[record.Key()]
	if ok && cached.revision > revision {
		return false
	}
	cache.records[record.Key()] = cachedRecord{record: record, revision: revision, generation: cache.generation}
	return !ok || cached.revision < revision
}

func (cache *recordCache) remove(key fleet.JobKey) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	delete(cache.records, key)
}

func (cache *recordCache) get(key fleet.JobKey) (cachedRecord, bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cached, ok := cache.records[key]
	return cached, ok
}

// all returns every cached record.
func (cache *recordCache) all() []cachedRecord {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	all := make([]cachedRecord, 0, len(cache.records))
	for _, cached := range cache.records {
		all = append(all, cached)
	}
	return all
}

// loaded reports whether a snapshot of all records has been read at least once.
func (cache *recordCache) loaded() bool {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	return cache.generation > 0
}
