package keyvalue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// Mirror follows the items under one prefix. Its exported fields are set before Run.
type Mirror struct {
	Store  Store
	Prefix string
	// Apply takes changes in the order of their revisions. After a new listing, whole is true and the changes are all
	// items that exist.
	Apply func(changes []Change, whole bool)
	// Interval is the least time between two watch calls, so that many changes share a call.
	Interval time.Duration
	// Wait bounds how long one watch call stays open, and so how long a silent connection goes unnoticed.
	Wait time.Duration
	// RetryPause is the pause after a failed call.
	RetryPause time.Duration
	Logger     hclog.Logger

	contact atomic.Int64
	synced  atomic.Bool
	lost    bool
}

// watchSlack is how long the answer to a watch may take beyond its wait before the connection counts as silent.
const watchSlack = 700 * time.Millisecond

// listTimeout bounds a listing with all its pages, so that a connection that has gone silent is given up.
const listTimeout = 2 * time.Second

// LastContact returns when the store last answered; zero is never.
func (mirror *Mirror) LastContact() time.Time {
	if at := mirror.contact.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Synced reports whether the mirror has listed its prefix at least once.
func (mirror *Mirror) Synced() bool { return mirror.synced.Load() }

// Run follows the prefix until ctx ends.
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
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		items, after, err := mirror.Store.List(bounded, mirror.Prefix)
		cancel()
		if err == nil {
			changes := make([]Change, len(items))
			for i, item := range items {
				changes[i] = Change{Item: item}
			}
			mirror.Apply(changes, true)
			mirror.noteContact()
			mirror.synced.Store(true)
			return after, nil
		}
		if err := mirror.pause(ctx, err); err != nil {
			return 0, err
		}
	}
}

// watch retries until it succeeds; only lost history or the end of ctx makes it return an error.
func (mirror *Mirror) watch(ctx context.Context, after Revision) (Revision, error) {
	for {
		wait := mirror.Wait
		if mirror.lost {
			// An answer at once shows soonest that the store is back.
			wait = 0
		}
		bounded, cancel := context.WithTimeout(ctx, wait+watchSlack)
		changes, next, err := mirror.Store.Watch(bounded, mirror.Prefix, after, wait)
		cancel()
		if err == nil {
			mirror.noteContact()
			if len(changes) > 0 {
				mirror.Apply(changes, false)
			}
			return max(next, after), nil
		}
		if errors.Is(err, ErrCompacted) {
			mirror.Logger.Info("watch history lost, listing again", "prefix", mirror.Prefix, "after", int64(after))
			return 0, err
		}
		if err := mirror.pause(ctx, err); err != nil {
			return 0, err
		}
	}
}

func (mirror *Mirror) pause(ctx context.Context, cause error) error {
	if ctx.Err() == nil && !mirror.lost {
		mirror.lost = true
		mirror.Logger.Warn("store lost", "prefix", mirror.Prefix, "error", cause.Error())
	}
	return lifecycle.Sleep(ctx, mirror.RetryPause)
}

func (mirror *Mirror) noteContact() {
	mirror.contact.Store(time.Now().UnixNano())
	if mirror.lost {
		mirror.lost = false
		mirror.Logger.Info("store regained", "prefix", mirror.Prefix)
	}
}
