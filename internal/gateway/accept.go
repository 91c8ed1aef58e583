package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

func pause(ctx context.Context) error { return lifecycle.Sleep(ctx, retryPause) }

// acceptance stores one job.
type acceptance struct {
	gateway   *Gateway
	request   Request
	job       workload.Job
	status    ledger.Status
	condition keyvalue.Condition
	// unanswered is set once a write got no answer: it may take effect later.
	unanswered bool
}

func (accept *acceptance) run(ctx context.Context) error {
	for {
		err := accept.try(ctx)
		if refused := (*fault.Error)(nil); err == nil || errors.As(err, &refused) {
			return err
		}
		if errors.Is(err, keyvalue.ErrRejected) && !accept.unanswered {
			return fault.New(fault.StoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
		}
		if errors.Is(err, keyvalue.ErrNoAnswer) {
			accept.unanswered = true
		}
		if pause(ctx) != nil {
			return fault.New(fault.AnswerLost, "the job may be stored: %v", err)
		}
	}
}

// try writes the job once. The write is idempotent: it needs the job's key to be absent.
func (accept *acceptance) try(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := accept.job.ID
	conditions := []keyvalue.Condition{{Key: ledger.JobKey(id)}, {Key: ledger.StatusKey(id)}, accept.condition}
	revision, err := accept.gateway.Store.Commit(bounded, keyvalue.Txn{
		Conditions: conditions,
		Writes: []keyvalue.Write{
			{Key: ledger.JobKey(id), Value: ledger.Encode(accept.job)},
			{Key: ledger.StatusKey(id), Value: ledger.Encode(accept.status)},
		},
	})
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		return accept.resolve(bounded, conflict)
	}
	if err == nil {
		accept.gateway.Statuses.Note(id, ledger.StatusEntry{Status: accept.status, Revision: revision})
	}
	return err
}

// resolve tells a job that is stored already from a configuration that is no longer the newest.
func (accept *acceptance) resolve(ctx context.Context, conflict *keyvalue.ConflictError) error {
	if item, ok := conflict.Current(ledger.JobKey(accept.job.ID)); ok {
		if sameJob(item, accept.job) {
			return nil
		}
		return fault.New(fault.InvalidArgument, "another job has the id %q", accept.job.ID)
	}
	if err := accept.gateway.Configuration.Refresh(ctx); err != nil {
		return err
	}
	found, err := accept.gateway.admit(ctx, accept.request)
	if err != nil {
		if accept.unanswered {
			return fault.New(fault.AnswerLost, "the job may be stored under an older configuration: %v", err)
		}
		return err
	}
	accept.condition = found.condition
	return errConfigChanged
}

// errConfigChanged makes an acceptance try again under the newest configuration.
var errConfigChanged = errors.New("the configuration changed")

// Cancel stores that a job is cancelled. A job that has ended stays as it is, which is no error.
func (gateway *Gateway) Cancel(ctx context.Context, request Request) error {
	started := time.Now()
	ctx, cancel := request.bound(ctx)
	defer cancel()
	found, err := gateway.admit(ctx, request)
	if err == nil {
		err = gateway.cancel(ctx, found)
	}
	return gateway.decided(callCancel, request, found, started, err)
}

func (gateway *Gateway) cancel(ctx context.Context, found access) error {
	entry, err := gateway.status(ctx, found)
	if err != nil {
		return err
	}
	if gateway.StoreLost() {
		return errStoreLost
	}
	return gateway.retry(ctx, func(ctx context.Context) error {
		if entry.State.Terminal() {
			return nil
		}
		next, err := gateway.tryCancel(ctx, found.job, entry)
		entry = next
		return err
	})
}

// errMoved makes a cancellation try again, since the status changed meanwhile.
var errMoved = errors.New("the status changed meanwhile")

func (gateway *Gateway) tryCancel(
	ctx context.Context, id fleet.JobID, entry ledger.StatusEntry,
) (ledger.StatusEntry, error) {
	cancelled := entry.Status
	cancelled.State, cancelled.Ended = progress.Cancelled, time.Now().UTC()
	key := ledger.StatusKey(id)
	revision, err := gateway.Store.Commit(ctx, keyvalue.Txn{
		Conditions: []keyvalue.Condition{{Key: key, Revision: entry.Revision}},
		Writes:     []keyvalue.Write{{Key: key, Value: ledger.Encode(cancelled)}},
	})
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		item, ok := conflict.Current(key)
		if !ok {
			return entry, fault.New(fault.NotFound, "no such job")
		}
		current, err := ledger.Decode[ledger.Status](item)
		if err != nil {
			return entry, fault.New(fault.Internal, "%v", err)
		}
		entry = ledger.StatusEntry{Status: current, Revision: item.Revision}
		gateway.Statuses.Note(id, entry)
		return entry, errMoved
	}
	if err != nil {
		return entry, err
	}
	entry = ledger.StatusEntry{Status: cancelled, Revision: revision}
	gateway.Statuses.Note(id, entry)
	return entry, nil
}
