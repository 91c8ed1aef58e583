package platform

import (
	"context"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
)

// Watch calls deliver with the entries under prefix and then with their changes until ctx ends. It does not deliver
// deletions that happened while it was disconnected. After a reconnect, deliver must treat every entry that it does not
// get again before the message with CaughtUp as deleted.
func (store *RemoteStore) Watch(ctx context.Context, prefix string, deliver func(Change)) {
	backoff := store.WatchBackoff
	for ctx.Err() == nil {
		caughtUp, err := store.watchOnce(ctx, prefix, deliver)
		if ctx.Err() != nil {
			return
		}
		store.recordFailure("watch", err)
		if caughtUp {
			backoff.Reset()
		}
		_ = lifecycle.Sleep(ctx, backoff.Next())
	}
}

// watchOnce opens one watch stream, reads it until it breaks, and reports whether it delivered all existing entries.
func (store *RemoteStore) watchOnce(ctx context.Context, prefix string, deliver func(Change)) (bool, error) {
	if err := store.Budget.Take(ctx); err != nil {
		return false, err
	}
	store.count("watch")
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := store.client.Watch(bounded, connect.NewRequest(&platformv1.WatchRequest{Prefix: prefix}))
	if err != nil {
		return false, err
	}
	defer func() { _ = stream.Close() }()
	caughtUp := false
	for stream.Receive() {
		store.failed.Store(false)
		change := changeFrom(stream.Msg())
		caughtUp = caughtUp || change.CaughtUp
		deliver(change)
	}
	return caughtUp, stream.Err()
}

func changeFrom(message *platformv1.WatchResponse) Change {
	change := Change{Deleted: message.GetDeleted(), CaughtUp: message.GetCurrent()}
	if message.GetEntry() != nil {
		change.Entry = entryFrom(message.GetEntry())
	}
	return change
}
