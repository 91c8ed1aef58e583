package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// TombstonePrefix covers the tombstones of jobs that were cancelled before they were stored.
const TombstonePrefix = LivePrefix + "tombstone/"

// TombstoneScope is the organisation and profile for which a tombstone keeps a job out. Others may use the same job id.
type TombstoneScope struct {
	Organisation fleet.OrganisationID
	Profile      fleet.ProfileName
}

// nameHashBytes is the size of the hash that stands for a name in keys, since names of organisations and profiles may be
// longer than a key.
const nameHashBytes = 12

// organisationPrefix returns the prefix of the keys of all tombstones of an organisation.
func organisationPrefix(organisation fleet.OrganisationID) string {
	return TombstonePrefix + nameHash(string(organisation)) + "/"
}

func nameHash(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:nameHashBytes])
}

// TombstoneKey returns the key of the tombstone of a job.
func TombstoneKey(scope TombstoneScope, id fleet.JobID) string {
	return organisationPrefix(scope.Organisation) + nameHash(string(scope.Profile)) + "/" + string(id)
}

// Tombstone is the document that a cancellation leaves of a job that is not stored. A submission requires that there is
// none, so that one whose write is still under way in the store cannot take effect after the cancellation was answered.
type Tombstone struct {
	Organisation fleet.OrganisationID `json:"organisation,omitempty"`
	Profile      fleet.ProfileName    `json:"profile"`
	Job          fleet.JobID          `json:"job_id"`
	Cancelled    time.Time            `json:"cancelled"`
}

// TombstoneCache holds the keys of all tombstones in the store. It is safe for concurrent use.
type TombstoneCache struct {
	mu      sync.Mutex
	invalid *keyvalue.InvalidItems
	// entries has the time of each cancellation, by the key of its tombstone. It is not later than the time at which this
	// process learnt of it, whatever the clock of the process that wrote the tombstone.
	entries latest[string, time.Time]
	// counts is the number of entries of each organisation, by the prefix of their keys.
	counts map[string]int
}

// NewTombstoneCache returns an empty cache.
func NewTombstoneCache(logger hclog.Logger) *TombstoneCache {
	cache := &TombstoneCache{
		invalid: keyvalue.NewInvalidItems(logger, hclog.Error, "invalid tombstone", "tombstone is valid again"),
		counts:  map[string]int{},
	}
	cache.entries = newLatest(cache.count)
	return cache
}

// Apply applies changes from a mirror of LivePrefix and skips keys that are not those of tombstones. If full is set, the
// changes contain all existing keys, and tombstones that are not among them are removed.
func (cache *TombstoneCache) Apply(changes []keyvalue.Change, full bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	listed := map[string]bool{}
	for _, change := range changes {
		if !strings.HasPrefix(change.Key, TombstonePrefix) {
			continue
		}
		listed[change.Key] = true
		if change.Deleted {
			cache.invalid.Remove(change.Key)
			cache.entries.remove(change.Key, change.Revision)
			continue
		}
		cache.entries.put(change.Key, cache.cancelledAt(change.Item), change.Revision)
	}
	if !full {
		return
	}
	cache.invalid.RemoveOthers(changes)
	cache.entries.retain(listed)
}

// cancelledAt returns the time of the cancellation, or the zero time for a document that cannot be read, so that it is
// removed soon: its key keeps a job out nevertheless.
func (cache *TombstoneCache) cancelledAt(item keyvalue.Item) time.Time {
	document, err := Decode[Tombstone](item)
	if err != nil {
		cache.invalid.Reject(item.Key, err)
		return time.Time{}
	}
	cache.invalid.Accept(item.Key)
	if now := time.Now(); document.Cancelled.After(now) {
		return now
	}
	return document.Cancelled
}

// Add adds a tombstone that this process has written.
func (cache *TombstoneCache) Add(key string, revision keyvalue.Revision) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.entries.put(key, time.Now(), revision)
}

// Has reports whether a tombstone is known.
func (cache *TombstoneCache) Has(key string) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	_, ok := cache.entries.get(key)
	return ok
}

// Count returns the number of the tombstones of an organisation.
func (cache *TombstoneCache) Count(organisation fleet.OrganisationID) int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.counts[organisationPrefix(organisation)]
}

// Len returns the number of all tombstones.
func (cache *TombstoneCache) Len() int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return len(cache.entries.entries)
}

// Before returns conditions for the tombstones of jobs that were cancelled before a time, at most limit of them. The
// conditions hold until the tombstones change.
func (cache *TombstoneCache) Before(limit int, at time.Time) []keyvalue.Condition {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	var found []keyvalue.Condition
	for key, entry := range cache.entries.entries {
		if len(found) == limit {
			break
		}
		if entry.value.Before(at) {
			found = append(found, keyvalue.Condition{Key: key, Revision: entry.revision})
		}
	}
	return found
}

// Remove removes tombstones that this process has deleted.
func (cache *TombstoneCache) Remove(deleted []keyvalue.Condition) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for _, tombstone := range deleted {
		cache.entries.remove(tombstone.Key, tombstone.Revision)
	}
}

func (cache *TombstoneCache) count(key string, _ time.Time, delta int) {
	prefix := prefixOf(key)
	if cache.counts[prefix] += delta; cache.counts[prefix] == 0 {
		delete(cache.counts, prefix)
	}
}

// prefixOf returns the part of a tombstone's key that all tombstones of its organisation share.
func prefixOf(key string) string {
	organisation, _, _ := strings.Cut(key[len(TombstonePrefix):], "/")
	return key[:len(TombstonePrefix)+len(organisation)] + "/"
}
