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
	// The platform takes about 2,000 reads and several hundred writes a second from all processes together.
	defaultCallsPerSecond = 50
	defaultBurst          = 200
	defaultTimeout        = time.Second
	defaultAttempts       = 3
	listPage              = 100
)

// RemoteStore is the Store behind a connect client. Its exported fields are set before its first call.
type RemoteStore struct {
	Budget *Budget
	// Timeout bounds each call except Watch.
	Timeout time.Duration
	// Attempts bounds the tries of one call.
	Attempts int
	// RetryBackoff and WatchBackoff give the waits before a retry and before a watch reconnects.
	RetryBackoff, WatchBackoff Backoff
	Logger                     hclog.Logger

	client  platformv1connect.StoreServiceClient
	metrics metrics.Registry
	retries retryBudget
	failed  atomic.Bool
}

// NewStore returns a store over client that counts its calls in registry as platform.store.<call>.
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

// Healthy reports whether the last call succeeded. A refusal by the call budget does not count as a call.
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

// List returns all entries whose keys start with prefix. Its pages are read one after the other.
func (store *RemoteStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	request := &platformv1.ListRequest{Prefix: prefix, Limit: listPage}
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

// Swap writes value if the key has the expected revision. It tries again only when a read shows that the write
// had no effect so far: a late effect of the first try then makes the second one fail.
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

// Delete removes the key if it has the expected revision. A key that is gone after a lost answer counts as removed.
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

// getOrAbsent returns an entry with revision 0 for an absent key.
func (store *RemoteStore) getOrAbsent(ctx context.Context, key string) (Entry, error) {
	entry, err := store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Entry{Key: key}, nil
	}
	return entry, err
}

// read tries a read until it succeeds or its attempts or the retry budget end.
func (store *RemoteStore) read(ctx context.Context, name string, call func(context.Context) error) error {
	backoff := store.RetryBackoff
	store.retries.called()
	for attempt := 1; ; attempt++ {
		err := store.once(ctx, name, call)
		if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, errOverBudget) {
			return err
		}
		if attempt < store.Attempts && store.mayRetry(ctx, &backoff) {
			continue
		}
		if errors.Is(err, ErrUnavailable) {
			return err
		}
		return errors.Wrap(ErrUnavailable, err.Error())
	}
}

// write makes a write and resolves a lost answer by readBack, which reports whether the write took effect, or
// ErrConflict when another write hides that.
func (store *RemoteStore) write(
	ctx context.Context, name string, call func(context.Context) error,
	readBack func(context.Context) (bool, error),
) error {
	backoff := store.RetryBackoff
	store.retries.called()
	for attempt := 1; ; attempt++ {
		err := store.once(ctx, name, call)
		first := attempt == 1
		if err == nil || (first && !errors.Is(err, ErrOutcomeUnknown)) {
			return err
		}
		// The caller's time may be over; what the write did still has to be found out.
		effect, readErr := readBack(context.WithoutCancel(ctx))
		store.count("read_back")
		if effect {
			return nil
		}
		if readErr != nil || attempt >= store.Attempts || !store.mayRetry(ctx, &backoff) {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

func (store *RemoteStore) mayRetry(ctx context.Context, backoff *Backoff) bool {
	if !store.retries.take() || lifecycle.Sleep(ctx, backoff.Next()) != nil {
		return false
	}
	store.count("retry")
	return true
}

// once makes one call within the budget and the timeout.
func (store *RemoteStore) once(ctx context.Context, name string, call func(context.Context) error) error {
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
		store.fail(name, err)
	}
	return classify(err)
}

func (store *RemoteStore) fail(name string, err error) {
	store.count("failed")
	if !store.failed.Swap(true) {
		store.Logger.Warn("store does not answer", "call", name, "error", err)
	}
}

func (store *RemoteStore) count(name string) {
	metrics.GetOrRegisterCounter("platform.store."+name, store.metrics).Inc(1)
}

// classify tells an answer of the store, which proves that nothing was written, from the loss of an answer.
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
