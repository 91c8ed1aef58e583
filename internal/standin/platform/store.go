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

// admitRead counts a read and applies the faults.
func (platform *Platform) admitRead(ctx context.Context, count *int) error {
	platform.mu.Lock()
	*count++
	err := platform.refusal(&platform.reads, platform.ReadsPerSecond)
	delay := platform.slow
	platform.mu.Unlock()
	if err != nil {
		return err
	}
	return lifecycle.Sleep(ctx, delay)
}

// admitWrite counts a write and applies the faults. Its delay does not end with the caller.
func (platform *Platform) admitWrite(count *int) error {
	platform.mu.Lock()
	*count++
	err := platform.refusal(&platform.writes, platform.WritesPerSecond)
	delay := platform.slow
	platform.mu.Unlock()
	if err != nil {
		return err
	}
	return lifecycle.Sleep(context.Background(), delay)
}

func (platform *Platform) refusal(taken *window, limit int) error {
	if platform.down {
		platform.calls.Refused++
		return errDown
	}
	if !taken.take(limit) {
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

// keys returns the keys below prefix in order.
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
		return &platformv1.SwapResponse{Revision: current.revision}, platform.loss()
	}
	platform.revision++
	stored := record{
		value:    bytes.Clone(request.GetValue()),
		revision: platform.revision,
		lease:    time.Duration(request.GetLeaseMs()) * time.Millisecond,
	}
	platform.entries[request.GetKey()] = stored
	platform.startLease(request.GetKey(), stored)
	platform.publish(&platformv1.WatchResponse{Entry: entryOf(request.GetKey(), stored)})
	return &platformv1.SwapResponse{Swapped: true, Revision: stored.revision}, platform.loss()
}

func (platform *Platform) remove(request *platformv1.DeleteRequest) (*platformv1.DeleteResponse, error) {
	if err := platform.admitWrite(&platform.calls.Delete); err != nil {
		return nil, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	current, ok := platform.entries[request.GetKey()]
	if !ok || current.revision != request.GetExpectedRevision() {
		return &platformv1.DeleteResponse{}, platform.loss()
	}
	platform.drop(request.GetKey())
	return &platformv1.DeleteResponse{Deleted: true}, platform.loss()
}

func (platform *Platform) drop(key string) {
	delete(platform.entries, key)
	platform.revision++
	gone := &platformv1.Entry{Key: key, Revision: platform.revision}
	platform.publish(&platformv1.WatchResponse{Entry: gone, Deleted: true})
}

// loss returns errAnswerLost for a write whose answer is to be lost.
func (platform *Platform) loss() error {
	if platform.lost == 0 {
		return nil
	}
	if platform.lost > 0 {
		platform.lost--
	}
	return errAnswerLost
}

// startLease removes a leased key when its lease ends, unless it was written since.
func (platform *Platform) startLease(key string, stored record) {
	if stored.lease == 0 {
		return
	}
	time.AfterFunc(stored.lease, func() {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		if platform.entries[key].revision == stored.revision {
			platform.drop(key)
		}
	})
}

// watcher is one waiting watch with the changes that it has not sent yet.
type watcher struct {
	prefix string
	queue  []*platformv1.WatchResponse
	wake   chan struct{}
	done   chan struct{}
}

// end ends the watch; it is called once, with the lock of the platform.
func (waiting *watcher) end() { close(waiting.done) }

func (waiting *watcher) push(change *platformv1.WatchResponse) {
	waiting.queue = append(waiting.queue, change)
	select {
	case waiting.wake <- struct{}{}:
	default:
	}
}

func (platform *Platform) publish(change *platformv1.WatchResponse) {
	for waiting := range platform.watchers {
		if strings.HasPrefix(change.GetEntry().GetKey(), waiting.prefix) {
			waiting.push(change)
		}
	}
}

// watch sends the entries below a prefix that are newer than a revision, then their changes, until ctx ends.
func (platform *Platform) watch(
	ctx context.Context, request *platformv1.WatchRequest, send func(*platformv1.WatchResponse) error,
) error {
	if err := platform.admitRead(ctx, &platform.calls.Watch); err != nil {
		return err
	}
	waiting, err := platform.addWatcher(request)
	if err != nil {
		return err
	}
	defer platform.removeWatcher(waiting)
	for {
		for _, change := range platform.drain(waiting) {
			if err := send(change); err != nil {
				return err
			}
		}
		select {
		case <-waiting.wake:
		case <-waiting.done:
			return errDown
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (platform *Platform) addWatcher(request *platformv1.WatchRequest) (*watcher, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.down {
		return nil, errDown
	}
	waiting := &watcher{prefix: request.GetPrefix(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	for _, key := range platform.keys(waiting.prefix) {
		if stored := platform.entries[key]; stored.revision > request.GetAfterRevision() {
			waiting.push(&platformv1.WatchResponse{Entry: entryOf(key, stored)})
		}
	}
	waiting.push(&platformv1.WatchResponse{Current: true})
	platform.watchers[waiting] = struct{}{}
	return waiting, nil
}

func (platform *Platform) removeWatcher(waiting *watcher) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	delete(platform.watchers, waiting)
}

func (platform *Platform) drain(waiting *watcher) []*platformv1.WatchResponse {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	queue := waiting.queue
	waiting.queue = nil
	return queue
}
