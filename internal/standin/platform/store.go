package platform

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
)

// admitRead counts a read, refuses it if the store is down or its rate limit is reached, and waits for the configured
// delay.
func (platform *Platform) admitRead(ctx context.Context, count *int) error {
	platform.mu.Lock()
	*count++
	err := platform.admit(&platform.reads, platform.ReadsPerSecond)
	delay := platform.delay
	platform.mu.Unlock()
	if err != nil {
		return err
	}
	return lifecycle.Sleep(ctx, delay)
}

// admitWrite is the counterpart of admitRead for writes. Its delay does not end with the context of the caller, so that
// a delayed write takes effect even if its caller has timed out.
func (platform *Platform) admitWrite(count *int) error {
	platform.mu.Lock()
	*count++
	err := platform.admit(&platform.writes, platform.WritesPerSecond)
	delay := platform.delay
	platform.mu.Unlock()
	if err != nil {
		return err
	}
	return lifecycle.Sleep(context.Background(), delay)
}

// admit returns an error if the store is down or the call exceeds limit. The caller holds the lock.
func (platform *Platform) admit(window *rateWindow, limit int) error {
	if platform.down {
		platform.calls.Refused++
		return errDown
	}
	if !window.allow(limit) {
		platform.calls.Refused++
		return errLimited
	}
	return nil
}

func (platform *Platform) get(ctx context.Context, key string) (*platformv1.Entry, error) {
	if err := platform.admitRead(ctx, &platform.calls.Get); err != nil {
		return nil, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	stored, ok := platform.entries[key]
	if !ok {
		return nil, nil
	}
	return entryOf(key, stored), nil
}

func (platform *Platform) list(ctx context.Context, request *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	if err := platform.admitRead(ctx, &platform.calls.List); err != nil {
		return nil, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	response := &platformv1.ListResponse{StoreRevision: platform.revision}
	for _, key := range platform.keys(request.GetPrefix()) {
		if key <= request.GetAfter() {
			continue
		}
		if limit := int(request.GetLimit()); limit > 0 && len(response.Entries) == limit {
			response.More = true
			break
		}
		response.Entries = append(response.Entries, entryOf(key, platform.entries[key]))
	}
	return response, nil
}

// keys returns the keys below prefix in ascending order.
func (platform *Platform) keys(prefix string) []string {
	var keys []string
	for key := range platform.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (platform *Platform) swap(request *platformv1.SwapRequest) (*platformv1.SwapResponse, error) {
	if err := platform.admitWrite(&platform.calls.Swap); err != nil {
		return nil, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if len(request.GetValue()) > int(platform.MaxValue) {
		return nil, errTooLarge
	}
	current := platform.entries[request.GetKey()]
	if current.revision != request.GetExpectedRevision() {
		return &platformv1.SwapResponse{Revision: current.revision}, platform.loseResponse()
	}
	platform.revision++
	stored := storedValue{
		value:    bytes.Clone(request.GetValue()),
		revision: platform.revision,
		lease:    time.Duration(request.GetLeaseMs()) * time.Millisecond,
	}
	platform.entries[request.GetKey()] = stored
	platform.startLease(request.GetKey(), stored)
	platform.publish(&platformv1.WatchResponse{Entry: entryOf(request.GetKey(), stored)})
	return &platformv1.SwapResponse{Swapped: true, Revision: stored.revision}, platform.loseResponse()
}

func (platform *Platform) remove(request *platformv1.DeleteRequest) (*platformv1.DeleteResponse, error) {
	if err := platform.admitWrite(&platform.calls.Delete); err != nil {
		return nil, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	current, ok := platform.entries[request.GetKey()]
	if !ok || current.revision != request.GetExpectedRevision() {
		return &platformv1.DeleteResponse{}, platform.loseResponse()
	}
	platform.deleteKey(request.GetKey())
	return &platformv1.DeleteResponse{Deleted: true}, platform.loseResponse()
}

// deleteKey removes a key and publishes the change. The caller holds the lock.
func (platform *Platform) deleteKey(key string) {
	delete(platform.entries, key)
	platform.revision++
	deleted := &platformv1.Entry{Key: key, Revision: platform.revision}
	platform.publish(&platformv1.WatchResponse{Entry: deleted, Deleted: true})
}

// loseResponse returns errResponseLost if the response to a write must be lost, and subtracts the write from
// responsesToLose.
func (platform *Platform) loseResponse() error {
	if platform.responsesToLose == 0 {
		return nil
	}
	if platform.responsesToLose > 0 {
		platform.responsesToLose--
	}
	return errResponseLost
}

// startLease schedules the removal of a leased key for the end of its lease. The key is not removed if it has been
// written again before the lease ends.
func (platform *Platform) startLease(key string, stored storedValue) {
	if stored.lease == 0 {
		return
	}
	time.AfterFunc(stored.lease, func() {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		if platform.entries[key].revision == stored.revision {
			platform.deleteKey(key)
		}
	})
}

// watcher is an open watch of the keys with a prefix, with the changes that it has still to send.
type watcher struct {
	prefix string
	// queue holds the changes that have not been sent yet.
	queue []*platformv1.WatchResponse
	// wake receives a value after a change was queued.
	wake chan struct{}
	// done is closed when the watch has to end.
	done chan struct{}
}

// end ends the watch. It is called at most once; the caller holds the lock of the platform.
func (watcher *watcher) end() { close(watcher.done) }

// push queues a change and wakes the watch. The caller holds the lock of the platform.
func (watcher *watcher) push(change *platformv1.WatchResponse) {
	watcher.queue = append(watcher.queue, change)
	select {
	case watcher.wake <- struct{}{}:
	default:
	}
}

// publish queues a change for every watch of its key. The caller holds the lock.
func (platform *Platform) publish(change *platformv1.WatchResponse) {
	for watcher := range platform.watchers {
		if strings.HasPrefix(change.GetEntry().GetKey(), watcher.prefix) {
			watcher.push(change)
		}
	}
}

// watch sends the entries below a prefix that are newer than a revision, then their changes, until ctx ends or the
// store goes down.
func (platform *Platform) watch(
	ctx context.Context, request *platformv1.WatchRequest, send func(*platformv1.WatchResponse) error,
) error {
	if err := platform.admitRead(ctx, &platform.calls.Watch); err != nil {
		return err
	}
	watcher, err := platform.addWatcher(request)
	if err != nil {
		return err
	}
	defer platform.removeWatcher(watcher)
	for {
		for _, change := range platform.takeChanges(watcher) {
			if err := send(change); err != nil {
				return err
			}
		}
		select {
		case <-watcher.wake:
		case <-watcher.done:
			return errDown
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addWatcher registers a watch and queues for it the present entries that are newer than the requested revision,
// followed by a message that marks the end of these entries.
func (platform *Platform) addWatcher(request *platformv1.WatchRequest) (*watcher, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.down {
		return nil, errDown
	}
	watcher := &watcher{prefix: request.GetPrefix(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	for _, key := range platform.keys(watcher.prefix) {
		if stored := platform.entries[key]; stored.revision > request.GetAfterRevision() {
			watcher.push(&platformv1.WatchResponse{Entry: entryOf(key, stored)})
		}
	}
	watcher.push(&platformv1.WatchResponse{Current: true})
	platform.watchers[watcher] = struct{}{}
	return watcher, nil
}

func (platform *Platform) removeWatcher(watcher *watcher) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	delete(platform.watchers, watcher)
}

// takeChanges returns the queued changes of a watch and empties its queue.
func (platform *Platform) takeChanges(watcher *watcher) []*platformv1.WatchResponse {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	queue := watcher.queue
	watcher.queue = nil
	return queue
}
