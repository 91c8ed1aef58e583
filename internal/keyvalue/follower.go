package keyvalue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// Follower passes the newest version of one key to Apply, and tells how long it has certainly been the newest. The value
// may be so large that versions are written faster than they arrive. A watch returns every version since the last one,
// so that it would fall ever further behind. After a change of a large value, the Follower therefore reads the newest
// version until there is no newer one, and only then watches again. Its exported fields are set before Run.
type Follower struct {
	Store Store
	Key   string
	// Apply is called with the versions that arrive, also from the goroutines of Refresh. A version may be older than one
	// that was passed before.
	Apply func(item Item, source Source)
	// Confirm is called after Apply. At the time at, a reading of Clock, the store had no newer version than the newest
	// one that was passed to Apply.
	Confirm func(at time.Duration)
	Clock   func() time.Duration
	// Wait is the maximum time that the store holds a watch call open. While the value is large, it is largeValueWait.
	Wait time.Duration
	// RetryPause is the delay before the retry of a failed call.
	RetryPause time.Duration
	Logger     hclog.Logger

	calls singleflight.Group
	// after is the revision up to which all changes are known; 0 before the first read.
	after atomic.Int64
	// large is set if the newest known version is large, catchingUp while Run reads the newest versions of a large value,
	// and watchLost while its watch fails.
	large, catchingUp, watchLost atomic.Bool
	// pending is the watch call that Run waits for.
	pending atomic.Pointer[watchCall]
	// refreshes is the number of calls of Refresh that have not returned.
	refreshes atomic.Int32
}

// watchCall is a watch call of Run.
type watchCall struct {
	// dueAt is the time from which on the call has no reason to wait. If it goes on then, a large value is arriving, or the
	// connection is lost.
	dueAt time.Duration
	// done is closed when the call has ended, after err was set.
	done chan struct{}
	err  error
}

// Source says how a version of a key was received.
type Source string

// The sources of a version.
const (
	Watched Source = "watch"
	Read    Source = "read"
)

const (
	// largeValue is the size in bytes from which on a change may take noticeable time to arrive.
	largeValue = 64 << 10
	// largeValueWait confirms a large value so often that Refresh seldom has to call the store, which would send a new
	// version twice.
	largeValueWait = 300 * time.Millisecond
	// catchUpPause is the pause between two reads while changes follow one another. It leaves a part of the link for other
	// calls.
	catchUpPause = 150 * time.Millisecond
)

// errLargeChange ends the watch after a change of a large value.
var errLargeChange = errors.New("a large value has changed")

// Run follows the key until ctx ends.
func (follower *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := follower.catchUp(ctx)
		for err == nil {
			err = follower.awaitChange(ctx)
		}
		switch {
		case ctx.Err() != nil, errors.Is(err, errLargeChange):
		case errors.Is(err, ErrCompacted):
			follower.Logger.Info("watch revision was compacted; reading again", "key", follower.Key)
		case follower.watchLost.Swap(true):
			_ = lifecycle.Sleep(ctx, follower.RetryPause)
		default:
			// The first failure is followed by a read at once, since only the connection of the watch may be lost.
			follower.Logger.Warn("store lost", "key", follower.Key, "error", err.Error())
		}
	}
	return ctx.Err()
}

// catchUp reads the newest version until there is no newer one or the value is small.
func (follower *Follower) catchUp(ctx context.Context) error {
	follower.catchingUp.Store(true)
	defer follower.catchingUp.Store(false)
	for {
		changed, err := follower.read(ctx)
		if err != nil || !changed {
			return err
		}
		if err := lifecycle.Sleep(ctx, catchUpPause); err != nil {
			return err
		}
	}
}

// read reads the newest version and reports whether it is a large value that has changed. Concurrent calls share one
// read.
func (follower *Follower) read(ctx context.Context) (changed bool, err error) {
	result := follower.calls.DoChan("read", func() (any, error) {
		sentAt := follower.Clock()
		items, after, err := follower.Store.List(context.WithoutCancel(ctx), follower.Key)
		if err != nil {
			return false, err
		}
		changed := false
		for _, item := range items {
			changed = follower.apply(item, Read) || changed
		}
		follower.advance(after, sentAt)
		return changed, nil
	})
	select {
	case result := <-result:
		return result.Val.(bool), result.Err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// awaitChange makes the watch call of Run, which concurrent calls of Refresh may wait for.
func (follower *Follower) awaitChange(ctx context.Context) error {
	wait := follower.Wait
	if follower.large.Load() {
		wait = min(wait, largeValueWait)
	}
	if follower.watchLost.Load() {
		// With a wait of 0 the store responds at once, so that its recovery is detected as early as possible.
		wait = 0
	}
	call := &watchCall{dueAt: follower.Clock() + wait, done: make(chan struct{})}
	follower.pending.Store(call)
	call.err = follower.watch(ctx, wait)
	follower.pending.Store(nil)
	close(call.done)
	return call.err
}

// watch makes one watch call. It returns errLargeChange if a large value has changed.
func (follower *Follower) watch(ctx context.Context, wait time.Duration) error {
	sentAt := follower.Clock()
	changes, after, err := follower.Store.Watch(ctx, follower.Key, Revision(follower.after.Load()), wait)
	if err != nil {
		return err
	}
	if follower.watchLost.Swap(false) {
		follower.Logger.Info("store regained", "key", follower.Key)
	}
	changed := false
	for _, change := range changes {
		if !change.Deleted {
			changed = follower.apply(change.Item, Watched) || changed
		}
	}
	if len(changes) > 0 {
		wait = 0
	}
	// Without changes, the store held the call for the whole wait.
	follower.advance(after, min(sentAt+wait, follower.Clock()))
	if changed {
		return errLargeChange
	}
	return nil
}

// apply passes a version on and reports whether it is a large value that is newer than all that were known.
func (follower *Follower) apply(item Item, source Source) bool {
	if item.Key != follower.Key {
		return false
	}
	follower.Apply(item, source)
	if int64(item.Revision) <= follower.after.Load() {
		return false
	}
	large := len(item.Value) > largeValue
	follower.large.Store(large)
	return large
}

// advance records that all changes up to a revision are known, and that there were no others at a time.
func (follower *Follower) advance(after Revision, at time.Duration) {
	for known := follower.after.Load(); known < int64(after); known = follower.after.Load() {
		if follower.after.CompareAndSwap(known, int64(after)) {
			break
		}
	}
	follower.Confirm(at)
}

// Refreshing reports whether a call of Refresh is under way. Whoever uses the newest known version meanwhile may be
// overtaken by the caller of Refresh, who uses a newer one.
func (follower *Follower) Refreshing() bool { return follower.refreshes.Load() > 0 }

// Refresh makes sure that the newest version has been passed to Apply, or one that was the newest when the store began to
// send it. If there is no newer version of a large value, nothing is transferred. Concurrent calls share one call to the
// store, which goes on if ctx ends.
func (follower *Follower) Refresh(ctx context.Context) error {
	follower.refreshes.Add(1)
	defer follower.refreshes.Add(-1)
	if !follower.large.Load() || follower.catchingUp.Load() || follower.watchLost.Load() {
		_, err := follower.read(ctx)
		return err
	}
	err := follower.joinWatch(ctx)
	if err == nil || errors.Is(err, errLargeChange) || ctx.Err() != nil {
		return ctx.Err()
	}
	_, err = follower.read(ctx)
	return err
}

// joinWatch waits for the watch of Run if a value is probably arriving, and otherwise makes a watch call that returns at
// once.
func (follower *Follower) joinWatch(ctx context.Context) error {
	if call := follower.pending.Load(); call != nil && follower.Clock() > call.dueAt {
		select {
		case <-call.done:
			return call.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	result := follower.calls.DoChan("refresh", func() (any, error) {
		return nil, follower.watch(context.WithoutCancel(ctx), 0)
	})
	select {
	case result := <-result:
		return result.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}
