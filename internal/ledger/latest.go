package ledger

import "github.com/quetzalstall/quetzalstall/internal/keyvalue"

// latest holds the newest known value of each key, whatever the order in which its versions arrive: from the mirror, and
// from the writes and reads of this process. It is not safe for concurrent use.
type latest[K comparable, V any] struct {
	// count is called with each value that becomes the newest one of its key, and then delta is 1, and with each one that
	// ceases to be, and then it is -1.
	count   func(key K, value V, delta int)
	entries map[K]revised[V]
}

// revised is a value with its revision in the store.
type revised[V any] struct {
	value    V
	revision keyvalue.Revision
}

func newLatest[K comparable, V any](count func(key K, value V, delta int)) latest[K, V] {
	return latest[K, V]{count: count, entries: map[K]revised[V]{}}
}

func (latest *latest[K, V]) get(key K) (V, bool) {
	entry, ok := latest.entries[key]
	return entry.value, ok
}

// put stores a value, unless one with the same or a higher revision is known.
func (latest *latest[K, V]) put(key K, value V, revision keyvalue.Revision) {
	previous, ok := latest.entries[key]
	if ok && previous.revision >= revision {
		return
	}
	if ok {
		latest.count(key, previous.value, -1)
	}
	latest.entries[key] = revised[V]{value, revision}
	latest.count(key, value, 1)
}

// remove drops a key that was deleted at a revision, unless a later value is known.
func (latest *latest[K, V]) remove(key K, revision keyvalue.Revision) {
	previous, ok := latest.entries[key]
	if !ok || previous.revision > revision {
		return
	}
	latest.count(key, previous.value, -1)
	delete(latest.entries, key)
}

// retain drops the keys that are not listed.
func (latest *latest[K, V]) retain(listed map[K]bool) {
	for key, entry := range latest.entries {
		if !listed[key] {
			latest.remove(key, entry.revision)
		}
	}
}
