package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store or, in the history, the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	expires time.Time
	ttl     time.Duration
}

// store stands in for the platform's key-value store. It has no faults.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]storeLease
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	return &store{
		items: map[string]item{}, leases: map[int64]storeLease{}, changed: make(chan struct{}), revision: 1,
	}
}

// put writes a key as an operator or a minion does.
func (store *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.revision++
	store.write(key, encoded, 0)
}

// drop deletes a key, as the platform does with the entry of a silent minion.
func (store *store) drop(key string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.revision++
	store.remove(key)
}

func (store *store) write(key string, value []byte, lease int64) {
	written := item{Key: key, Value: value, Revision: store.revision, Created: store.revision, Lease: lease}
	if former, ok := store.items[key]; ok {
		written.Created = former.Created
	}
	store.items[key] = written
	store.history = append(store.history, written)
	store.wake()
}

func (store *store) remove(key string) {
	if _, ok := store.items[key]; !ok {
		return
	}
	delete(store.items, key)
	store.history = append(store.history, item{Key: key, Revision: store.revision, Deleted: true})
	store.wake()
}

func (store *store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) expire() {
	now := time.Now()
	for id, lease := range store.leases {
		if now.After(lease.expires) {
			store.endLease(id)
		}
	}
}

func (store *store) endLease(id int64) {
	delete(store.leases, id)
	for key, held := range store.items {
		if held.Lease == id {
			store.revision++
			store.remove(key)
		}
	}
}

func (store *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", store.serveKey)
	mux.HandleFunc("GET /kv-range", store.serveRange)
	mux.HandleFunc("GET /kv-watch", store.serveWatch)
	mux.HandleFunc("POST /kv-txn", store.serveTxn)
	mux.HandleFunc("POST /kv-lease", store.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", store.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", store.serveLeaseEnd)
	return mux
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

func (store *store) serveKey(writer http.ResponseWriter, call *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	found, ok := store.items[call.URL.Query().Get("key")]
	if !ok {
		writeJSON(writer, http.StatusNotFound, map[string]any{"as_of": store.revision})
		return
	}
	writeJSON(writer, http.StatusOK, found)
}

const pageItems = 500

func (store *store) serveRange(writer http.ResponseWriter, call *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	query := call.URL.Query()
	items := []item{}
	for key, found := range store.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, call *http.Request) {
	query := call.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		store.mu.Lock()
		store.expire()
		revision, changed := store.revision, store.changed
		events := []item{}
		for _, event := range store.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		store.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) {
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		// Leases end without a call, so a watch that waits looks for ended ones now and then.
		case <-time.After(min(time.Until(deadline), 50*time.Millisecond)):
		case <-call.Context().Done():
			return
		}
	}
}

const maxEntries = 32

func (store *store) serveTxn(writer http.ResponseWriter, call *http.Request) {
	var txn struct {
		Conditions []item   `json:"precondition"`
		Writes     []item   `json:"writes"`
		Deletes    []string `json:"deletes"`
	}
	if json.NewDecoder(call.Body).Decode(&txn) != nil ||
		len(txn.Conditions)+len(txn.Writes)+len(txn.Deletes) > maxEntries {
		writeJSON(writer, http.StatusBadRequest, struct{}{})
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	hold, current := true, []item{}
	for _, condition := range txn.Conditions {
		found, ok := store.items[condition.Key]
		hold = hold && found.Revision == condition.Revision
		if ok {
			current = append(current, found)
		}
	}
	if !hold {
		writeJSON(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range txn.Writes {
		if _, ok := store.leases[write.Lease]; write.Lease != 0 && !ok {
			writeJSON(writer, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			writeJSON(writer, http.StatusForbidden, struct{}{})
			return
		}
	}
	store.revision++
	for _, write := range txn.Writes {
		store.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Deletes {
		store.remove(key)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) serveLease(writer http.ResponseWriter, call *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(call.Body).Decode(&request) != nil {
		writeJSON(writer, http.StatusBadRequest, struct{}{})
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.lastLease++
	ttl := time.Duration(request.TTL) * time.Millisecond
	store.leases[store.lastLease] = storeLease{expires: time.Now().Add(ttl), ttl: ttl}
	writeJSON(writer, http.StatusOK, map[string]any{"lease": store.lastLease, "ttl_ms": request.TTL})
}

func (store *store) serveKeep(writer http.ResponseWriter, call *http.Request) {
	id, _ := strconv.ParseInt(call.PathValue("id"), 10, 64)
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expire()
	lease, ok := store.leases[id]
	if !ok {
		writeJSON(writer, http.StatusNotFound, struct{}{})
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	store.leases[id] = lease
	writeJSON(writer, http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()})
}

func (store *store) serveLeaseEnd(writer http.ResponseWriter, call *http.Request) {
	id, _ := strconv.ParseInt(call.PathValue("id"), 10, 64)
	store.mu.Lock()
	defer store.mu.Unlock()
	store.endLease(id)
	writeJSON(writer, http.StatusOK, struct{}{})
}
