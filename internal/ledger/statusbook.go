package ledger

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// StatusCache is a copy of the status of every job. It is safe for concurrent use.
type StatusCache struct {
	logger hclog.Logger

	mu      sync.Mutex
	entries map[fleet.JobID]StatusEntry
	// pending counts the queued jobs without a schedule of each profile.
	pending map[fleet.ProfileName]int
}

// StatusEntry is a status with its revision in the store.
type StatusEntry struct {
	Status
	Revision keyvalue.Revision
}

// NewStatusCache returns an empty book.
func NewStatusCache(logger hclog.Logger) *StatusCache {
	return &StatusCache{
		logger: logger, entries: map[fleet.JobID]StatusEntry{}, pending: map[fleet.ProfileName]int{},
	}
}

// Apply takes changes from a mirror of LivePrefix; keys that are not of a status are skipped.
func (book *StatusCache) Apply(changes []keyvalue.Change, whole bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	listed := map[fleet.JobID]bool{}
	for _, change := range changes {
		id, ok := JobOfStatus(change.Key)
		if !ok {
			continue
		}
		listed[id] = true
		if change.Deleted {
			book.remove(id, change.Revision)
			continue
		}
		status, err := Decode[Status](change.Item)
		if err != nil {
			book.logger.Error("unreadable status", "key", change.Key, "error", err.Error())
			continue
		}
		book.put(id, StatusEntry{Status: status, Revision: change.Revision})
	}
	if !whole {
		return
	}
	for id, entry := range book.entries {
		if !listed[id] {
			book.remove(id, entry.Revision)
		}
	}
}

// Note takes a status that this process has written or read itself.
func (book *StatusCache) Note(id fleet.JobID, entry StatusEntry) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.put(id, entry)
}

// Get returns the status of a job.
func (book *StatusCache) Get(id fleet.JobID) (StatusEntry, bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	entry, ok := book.entries[id]
	return entry, ok
}

// Pending returns how many accepted jobs of a profile have not begun; jobs with a schedule are not counted.
func (book *StatusCache) Pending(profile fleet.ProfileName) int {
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.pending[profile]
}

// put keeps the newest version, since news by different ways may cross.
func (book *StatusCache) put(id fleet.JobID, entry StatusEntry) {
	former, ok := book.entries[id]
	if ok && former.Revision >= entry.Revision {
		return
	}
	book.count(former, -1)
	book.entries[id] = entry
	book.count(entry, 1)
}

func (book *StatusCache) remove(id fleet.JobID, revision keyvalue.Revision) {
	former, ok := book.entries[id]
	if !ok || former.Revision > revision {
		return
	}
	book.count(former, -1)
	delete(book.entries, id)
}

func (book *StatusCache) count(entry StatusEntry, by int) {
	if entry.State == progress.Queued && !entry.Scheduled {
		book.pending[entry.Profile] += by
	}
}
