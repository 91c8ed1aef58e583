package keyvalue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// Mirror lists the items under one key prefix, then watches their changes, and passes both to Apply. Its exported
// fields are set before Run.
type Mirror struct {
	Store  Store
	Prefix string
	// Apply is called with the changes in the order of their revisions. After a listing, full is true and the changes
	// are all existing items.
	Apply func(changes []Change, full bool)
	// Interval is the minimum time between two watch calls, so that one call returns many changes.
	Interval time.Duration
	// Wait is the maximum time that the store holds a watch call open. An unresponsive connection is detected some time
	// after that.
	Wait time.Duration
	// RetryPause is the delay before the retry of a failed call.
	RetryPause time.Duration
	Logger     hclog.Logger
	// Confirm may be nil. It is called after Apply: at the time at, a reading of Clock, the store had no changes under the
	// prefix but those that were passed to Apply.
	Confirm func(at time.Duration)
	Clock   func() time.Duration

	lastContact atomic.Int64
	synced      atomic.Bool
	storeLost   bool
	// after is the revision up to which all changes were passed to Apply; 0 before the first listing.
	after atomic.Int64
}

// LastContact returns the time of the store's last response, or the zero time if it has not responded yet.
func (mirror *Mirror) LastContact() time.Time {
	if at := mirror.lastContact.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Synced reports whether the mirror has listed its prefix at least once.
func (mirror *Mirror) Synced() bool { return mirror.synced.Load() }

// errNotListed means that the mirror has not listed its prefix yet.
var errNotListed = errors.New("the prefix has not been listed yet")

// Changes asks the store for the changes since those that were passed to Apply, which are not passed to Apply by this call.
// At the returned reading of Clock there were no others.
func (mirror *Mirror) Changes(ctx context.Context) ([]Change, time.Duration, error) {
	after := Revision(mirror.after.Load())
	if after == 0 {
		return nil, 0, errNotListed
	}
	var all []Change
	for {
		sentAt := mirror.now()
		changes, next, err := mirror.Store.Watch(ctx, mirror.Prefix, after, 0)
		all, after = append(all, changes...), max(next, after)
		if err != nil || !mayBePartial(changes) {
			return all, sentAt, err
		}
	}
}

const (
	// minPartialChanges and minPartialBytes are the size from which on an answer to a watch may lack later changes. The pages
	// of a listing have about 500 items or a megabyte; whether the answers to a watch have such a limit is not known.
	minPartialChanges = 400
	minPartialBytes   = 700 << 10
)

// mayBePartial reports whether an answer with these changes may lack later ones.
func mayBePartial(changes []Change) bool {
	size := 0
	for _, change := range changes {
		size += len(change.Key) + len(change.Value)
	}
	return len(changes) >= minPartialChanges || size >= minPartialBytes
}

// Run lists and watches the prefix until ctx ends.
func (mirror *Mirror) Run(ctx context.Context) error {
	for {
		after, err := mirror.list(ctx)
		for err == nil {
			started := time.Now()
			after, err = mirror.watch(ctx, after)
			if err == nil {
				_ = lifecycle.Sleep(ctx, mirror.Interval-time.Since(started))
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (mirror *Mirror) list(ctx context.Context) (Revision, error) {
	for {
		sentAt := mirror.now()
		items, after, err := mirror.Store.List(ctx, mirror.Prefix)
		if err == nil {
			changes := make([]Change, len(items))
			for i, item := range items {
				changes[i] = Change{Item: item}
			}
			mirror.Apply(changes, true)
			mirror.after.Store(int64(after))
			mirror.confirm(sentAt)
			mirror.recordContact()
			mirror.synced.Store(true)
			return after, nil
		}
		if err := mirror.pauseBeforeRetry(ctx, err); err != nil {
			return 0, err
		}
	}
}

// watch makes one watch call and retries it until it succeeds. It returns an error only if the store no longer has the
// changes after the revision, or if ctx ends.
func (mirror *Mirror) watch(ctx context.Context, after Revision) (Revision, error) {
	for {
		wait := mirror.Wait
		if mirror.storeLost {
			// With a wait of 0 the store responds at once, so that its recovery is detected as early as possible.
			wait = 0
		}
		sentAt := mirror.now()
		changes, next, err := mirror.Store.Watch(ctx, mirror.Prefix, after, wait)
		if err == nil {
			mirror.recordContact()
			if len(changes) > 0 {
				mirror.Apply(changes, false)
				wait = 0
			}
			mirror.after.Store(int64(max(next, after)))
			if !mayBePartial(changes) {
				// Without changes, the store held the call for the whole wait.
				mirror.confirm(min(sentAt+wait, mirror.now()))
			}
			return max(next, after), nil
		}
		if errors.Is(err, ErrCompacted) {
			mirror.Logger.Info("watch revision was compacted; listing again",
				"prefix", mirror.Prefix, "after", int64(after))
			return 0, err
		}
		if err := mirror.pauseBeforeRetry(ctx, err); err != nil {
			return 0, err
		}
	}
}

func (mirror *Mirror) now() time.Duration {
	if mirror.Clock == nil {
		return 0
	}
	return mirror.Clock()
}

func (mirror *Mirror) confirm(at time.Duration) {
	if mirror.Confirm != nil {
		mirror.Confirm(at)
	}
}

func (mirror *Mirror) pauseBeforeRetry(ctx context.Context, cause error) error {
	if ctx.Err() == nil && !mirror.storeLost {
		mirror.storeLost = true
		mirror.Logger.Warn("store lost", "prefix", mirror.Prefix, "error", cause.Error())
	}
	return lifecycle.Sleep(ctx, mirror.RetryPause)
}

func (mirror *Mirror) recordContact() {
	mirror.lastContact.Store(time.Now().UnixNano())
	if mirror.storeLost {
		mirror.storeLost = false
		mirror.Logger.Info("store regained", "prefix", mirror.Prefix)
	}
}
