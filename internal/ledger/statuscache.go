package ledger

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// StatusCache holds a copy of the stored status of every job. It is safe for concurrent use.
type StatusCache struct {
	mu      sync.Mutex
	invalid *keyvalue.InvalidItems
	entries latest[fleet.JobID, StatusEntry]
	// pending is the number of queued jobs without a schedule, by profile.
	pending map[fleet.ProfileName]int
	// memory is the sum of Memory of all entries, and organisationMemory that of the entries of each organisation.
	memory             progress.Bytes
	organisationMemory map[fleet.OrganisationID]progress.Bytes
	// confirmedAt is the latest reading of the clock at which the cache was certainly complete; 0 before the first listing.
	confirmedAt time.Duration
}

// StatusEntry is a job status with its revision in the store.
type StatusEntry struct {
	Status
	Revision keyvalue.Revision
}

// NewStatusCache returns an empty cache.
func NewStatusCache(logger hclog.Logger) *StatusCache {
	cache := &StatusCache{
		invalid: keyvalue.NewInvalidItems(logger, hclog.Error, "unreadable status", "status document is valid again"),
		pending: map[fleet.ProfileName]int{}, organisationMemory: map[fleet.OrganisationID]progress.Bytes{},
	}
	cache.entries = newLatest(cache.count)
	return cache
}

// Apply applies changes from a mirror of LivePrefix and skips keys that are not status keys. If full is set, the
// changes contain all existing keys, and jobs without a status key among them are removed.
func (cache *StatusCache) Apply(changes []keyvalue.Change, full bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	listed := map[fleet.JobID]bool{}
	for _, change := range changes {
		id, ok := JobOfStatus(change.Key)
		if !ok {
			continue
		}
		listed[id] = true
		if change.Deleted {
			cache.invalid.Remove(change.Key)
			cache.entries.remove(id, change.Revision)
			continue
		}
		status, err := DecodeStatus(change.Item)
		if err != nil {
			cache.invalid.Reject(change.Key, err)
			continue
		}
		cache.invalid.Accept(change.Key)
		cache.entries.put(id, StatusEntry{Status: status, Revision: change.Revision}, change.Revision)
	}
	if !full {
		return
	}
	cache.invalid.RemoveOthers(changes)
	cache.entries.retain(listed)
}

// Confirm records that the cache was complete at a reading of the clock.
func (cache *StatusCache) Confirm(at time.Duration) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.confirmedAt = max(cache.confirmedAt, at)
}

// ConfirmedAt returns the latest reading of the clock at which the cache was certainly complete.
func (cache *StatusCache) ConfirmedAt() time.Duration {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.confirmedAt
}

// Update stores a status that this process has written to or read from the store itself.
func (cache *StatusCache) Update(id fleet.JobID, entry StatusEntry) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.entries.put(id, entry, entry.Revision)
}

// Get returns the status of a job.
func (cache *StatusCache) Get(id fleet.JobID) (StatusEntry, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.entries.get(id)
}

// Pending returns the number of accepted jobs of a profile that have not started; jobs with a schedule are not counted.
func (cache *StatusCache) Pending(profile fleet.ProfileName) int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.pending[profile]
}

func (cache *StatusCache) count(_ fleet.JobID, entry StatusEntry, delta int) {
	if entry.State == progress.Queued && !entry.Scheduled {
		cache.pending[entry.Profile] += delta
	}
	change := progress.Bytes(delta) * entry.Memory
	cache.memory += change
	cache.organisationMemory[entry.Organisation] += change
	if cache.organisationMemory[entry.Organisation] == 0 {
		delete(cache.organisationMemory, entry.Organisation)
	}
}

// Memory returns the memory that a controller needs for all jobs, and for those of an organisation.
func (cache *StatusCache) Memory(organisation fleet.OrganisationID) (all, own progress.Bytes) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.memory, cache.organisationMemory[organisation]
}
