package platform

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
)

const (
	// The platform accepts about 2,000 reads and several hundred writes per second from all processes together.
	defaultCallsPerSecond = 50
	defaultBurst          = 200
	defaultTimeout        = time.Second
	defaultAttempts       = 3
	listPageSize          = 100
)

// RemoteStore is a Store that calls the platform through a Connect client. Its exported fields are set before its first
// call.
type RemoteStore struct {
	Budget *Budget
	// Timeout limits each call except Watch.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of one call.
	Attempts int
	// RetryBackoff and WatchBackoff compute the delays before a retry and before the reconnect of a watch.
	RetryBackoff, WatchBackoff Backoff
	Logger                     hclog.Logger

	client  platformv1connect.StoreServiceClient
	metrics metrics.Registry
	retries retryBudget
	failed  atomic.Bool
}

// NewStore returns a store that uses client and counts its calls in registry as platform.store.<call>.
func NewStore(client platformv1connect.StoreServiceClient, registry metrics.Registry) *RemoteStore {
	return &RemoteStore{
		Budget:       NewBudget(defaultCallsPerSecond, defaultBurst),
		Timeout:      defaultTimeout,
		Attempts:     defaultAttempts,
		RetryBackoff: Backoff{First: 100 * time.Millisecond, Max: time.Second},
		WatchBackoff: Backoff{First: time.Second, Max: 10 * time.Second},
		Logger:       hclog.NewNullLogger(),
		client:       client,
		metrics:      registry,
		retries:      retryBudget{balance: retryReserve},
	}
}

var _ Store = (*RemoteStore)(nil)

// Healthy reports whether the last call succeeded; a conflict of revisions counts as success. Calls that the budget
// refused are ignored, and so are failed calls after the end of the caller's context.
func (store *RemoteStore) Healthy() bool { return !store.failed.Load() }

// Get returns one entry, or ErrNotFound.
func (store *RemoteStore) Get(ctx context.Context, key string) (Entry, error) {
	var entry *platformv1.Entry
	err := store.read(ctx, "get", func(ctx context.Context) error {
		response, err := store.client.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Key: key}))
		if err == nil {
			entry = response.Msg.GetEntry()
		}
		return err
	})
	if err != nil {
		return Entry{}, err
	}
	if entry == nil {
		return Entry{}, errors.Wrap(ErrNotFound, key)
	}
	return entryFrom(entry), nil
}

// List returns all entries whose keys start with prefix. It reads them in pages, each with its own call, so they need
// not be a consistent snapshot.
func (store *RemoteStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	request := &platformv1.ListRequest{Prefix: prefix, Limit: listPageSize}
	for {
		var page *platformv1.ListResponse
		err := store.read(ctx, "list", func(ctx context.Context) error {
			response, err := store.client.List(ctx, connect.NewRequest(request))
			if err == nil {
				page = response.Msg
			}
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, entry := range page.GetEntries() {
			entries = append(entries, entryFrom(entry))
			request.After = entry.GetKey()
		}
		if !page.GetMore() || len(page.GetEntries()) == 0 {
			return entries, nil
		}
	}
}

// Swap writes value if the key has the expected revision. After a lost response it retries the write only if a read
// shows that the write had no effect so far. If the first write still takes effect before the retry, the retry fails
// because the key no longer has the expected revision.
func (store *RemoteStore) Swap(
	ctx context.Context, key string, value []byte, expected StoreRevision,
) (StoreRevision, error) {
	var written StoreRevision
	write := func(ctx context.Context) error {
		response, err := store.client.Swap(ctx, connect.NewRequest(&platformv1.SwapRequest{
			Key: key, Value: value, ExpectedRevision: int64(expected)}))
		if err != nil {
			return err
		}
		if !response.Msg.GetSwapped() {
			return ErrConflict
		}
		written = StoreRevision(response.Msg.GetRevision())
		return nil
	}
	err := store.write(ctx, "swap", write, func(ctx context.Context) (bool, error) {
		current, err := store.getOrAbsent(ctx, key)
		if err != nil || current.Revision == expected {
			return false, err
		}
		if !bytes.Equal(current.Value, value) {
			return false, ErrConflict
		}
		written = current.Revision
		return true, nil
	})
	return written, errors.WithMessage(err, key)
}

// Delete removes the key if it has the expected revision. After a lost response, a key that does not exist counts as
// removed.
func (store *RemoteStore) Delete(ctx context.Context, key string, expected StoreRevision) error {
	remove := func(ctx context.Context) error {
		response, err := store.client.Delete(ctx, connect.NewRequest(&platformv1.DeleteRequest{
			Key: key, ExpectedRevision: int64(expected)}))
		if err == nil && !response.Msg.GetDeleted() {
			return ErrConflict
		}
		return err
	}
	err := store.write(ctx, "delete", remove, func(ctx context.Context) (bool, error) {
		current, err := store.getOrAbsent(ctx, key)
		switch {
		case err != nil || current.Revision == expected:
			return false, err
		case current.Revision != 0:
			return false, ErrConflict
		}
		return true, nil
	})
	return errors.WithMessage(err, key)
}

// getOrAbsent returns an entry, with revision 0 if the key does not exist.
func (store *RemoteStore) getOrAbsent(ctx context.Context, key string) (Entry, error) {
	entry, err := store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Entry{Key: key}, nil
	}
	return entry, err
}

// read makes a read call. It retries a failed call, unless the store or the budget refused the call, until the attempts
// or the retry budget are used up.
func (store *RemoteStore) read(ctx context.Context, name string, call func(context.Context) error) error {
	backoff := store.RetryBackoff
	store.retries.addCall()
	for attempt := 1; ; attempt++ {
		err := store.callOnce(ctx, name, call)
		if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, errOverBudget) {
			return err
		}
		if attempt < store.Attempts && store.waitForRetry(ctx, &backoff) {
			continue
		}
		if errors.Is(err, ErrUnavailable) {
			return err
		}
		return errors.Wrap(ErrUnavailable, err.Error())
	}
}

// write makes a write call. After a lost response it calls readBack, which reports whether the write took effect.
// readBack returns ErrConflict if another write has changed the key, so that this cannot be determined.
func (store *RemoteStore) write(
	ctx context.Context, name string, call func(context.Context) error,
	readBack func(context.Context) (bool, error),
) error {
	backoff := store.RetryBackoff
	store.retries.addCall()
	for attempt := 1; ; attempt++ {
		err := store.callOnce(ctx, name, call)
		first := attempt == 1
		if err == nil || (first && !errors.Is(err, ErrOutcomeUnknown)) {
			return err
		}
		// readBack is called even if the caller's context has ended.
		tookEffect, readErr := readBack(context.WithoutCancel(ctx))
		store.count("read_back")
		if tookEffect {
			return nil
		}
		if readErr != nil || attempt >= store.Attempts || !store.waitForRetry(ctx, &backoff) {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

func (store *RemoteStore) waitForRetry(ctx context.Context, backoff *Backoff) bool {
	if !store.retries.tryTake() || lifecycle.Sleep(ctx, backoff.Next()) != nil {
		return false
	}
	store.count("retry")
	return true
}

// callOnce makes one call, subject to the budget and the timeout, and classifies its error.
func (store *RemoteStore) callOnce(ctx context.Context, name string, call func(context.Context) error) error {
	if err := store.Budget.Take(ctx); err != nil {
		store.count("over_budget")
		return err
	}
	store.count(name)
	bounded, cancel := context.WithTimeout(ctx, store.Timeout)
	defer cancel()
	err := call(bounded)
	if err == nil || errors.Is(err, ErrConflict) {
		store.failed.Store(false)
		return err
	}
	if ctx.Err() == nil {
		store.recordFailure(name, err)
	}
	return classify(err)
}

func (store *RemoteStore) recordFailure(name string, err error) {
	store.count("failed")
	if !store.failed.Swap(true) {
		store.Logger.Warn("store does not answer", "call", name, "error", err)
	}
}

func (store *RemoteStore) count(name string) {
	metrics.GetOrRegisterCounter("platform.store."+name, store.metrics).Inc(1)
}

// classify maps the error of a call to one of the errors of this package. Errors that prove that nothing was written
// become ErrUnavailable or ErrRefused, and all others, such as a lost response, become ErrOutcomeUnknown.
func classify(err error) error {
	var connection *net.OpError
	if errors.As(err, &connection) && connection.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if !connect.IsWireError(err) {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeResourceExhausted:
		return errors.Wrap(ErrUnavailable, err.Error())
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return errors.Wrap(ErrRefused, err.Error())
	default:
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
}

func entryFrom(entry *platformv1.Entry) Entry {
	return Entry{Key: entry.GetKey(), Value: entry.GetValue(), Revision: StoreRevision(entry.GetRevision())}
}
