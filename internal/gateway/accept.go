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

func pauseBeforeRetry(ctx context.Context) error { return lifecycle.Sleep(ctx, retryPause) }

// submission is the state of one call of Submit, which may make several attempts to store the job.
type submission struct {
	gateway   *Gateway
	request   Request
	job       workload.Job
	status    ledger.Status
	condition keyvalue.Condition
	// outcomeUnknown is set once an attempt got no response from the store. The write of this attempt may have taken
	// effect or may still do so.
	outcomeUnknown bool
}

func (submission *submission) run(ctx context.Context) error {
	for {
		err := submission.attempt(ctx)
		if refused := (*fault.Error)(nil); err == nil || errors.As(err, &refused) {
			return err
		}
		if errors.Is(err, keyvalue.ErrRejected) && !submission.outcomeUnknown {
			return fault.New(fault.StoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
		}
		if errors.Is(err, keyvalue.ErrNoAnswer) {
			submission.outcomeUnknown = true
		}
		if pauseBeforeRetry(ctx) != nil {
			return fault.New(fault.AnswerLost, "the job may have been stored: %v", err)
		}
	}
}

// attempt makes one attempt to write the job and its status. A retry is safe, because the write requires that the job's
// key does not exist.
func (submission *submission) attempt(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := submission.job.ID
	conditions := []keyvalue.Condition{{Key: ledger.JobKey(id)}, {Key: ledger.StatusKey(id)}, submission.condition}
	revision, err := submission.gateway.Store.Commit(bounded, keyvalue.Txn{
		Conditions: conditions,
		Writes: []keyvalue.Write{
			{Key: ledger.JobKey(id), Value: ledger.Encode(submission.job)},
			{Key: ledger.StatusKey(id), Value: ledger.Encode(submission.status)},
		},
	})
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		return submission.resolve(bounded, conflict)
	}
	if err == nil {
		submission.gateway.Statuses.Update(id, ledger.StatusEntry{Status: submission.status, Revision: revision})
	}
	return err
}

// resolve handles an attempt whose conditions did not hold. If the configuration has changed, the request is admitted
// again under the newest one, before anything else is decided. resolve returns nil if the same job is stored already, for
// example by an earlier attempt, and errConfigChanged if the write is to be retried.
func (submission *submission) resolve(ctx context.Context, conflict *keyvalue.ConflictError) error {
	if err := submission.followConfiguration(ctx, conflict); err != nil {
		return err
	}
	item, ok := conflict.Current(ledger.JobKey(submission.job.ID))
	switch {
	case !ok:
		return errConfigChanged
	case sameJob(item, submission.job):
		return nil
	}
	return fault.New(fault.InvalidArgument, "another job has the id %q", submission.job.ID)
}

// followConfiguration admits the request again if the conflict shows that the configuration has changed.
func (submission *submission) followConfiguration(ctx context.Context, conflict *keyvalue.ConflictError) error {
	item, ok := conflict.Current(submission.condition.Key)
	if !ok || item.Revision == submission.condition.Revision {
		return nil
	}
	submission.gateway.Configuration.Observe(item)
	admitted, err := submission.gateway.admit(ctx, submission.request)
	if err != nil && submission.outcomeUnknown {
		return fault.New(fault.AnswerLost, "the job may have been stored under an older configuration: %v", err)
	}
	submission.condition = admitted.condition
	return err
}

// errConfigChanged makes a submission retry under the newest configuration.
var errConfigChanged = errors.New("the configuration changed")

// Cancel stores that a job is cancelled. If the job has ended already, Cancel changes nothing and returns nil.
func (gateway *Gateway) Cancel(ctx context.Context, request Request) error {
	started := time.Now()
	ctx, cancel := request.withDeadline(ctx)
	defer cancel()
	admitted, err := gateway.admit(ctx, request)
	if err == nil {
		err = gateway.cancel(ctx, admitted)
	}
	return gateway.recordOutcome(callCancel, request, admitted, started, err)
}

func (gateway *Gateway) cancel(ctx context.Context, admitted admission) error {
	entry, err := gateway.status(ctx, admitted)
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
		current, err := gateway.attemptCancel(ctx, admitted.job, entry)
		entry = current
		return err
	})
}

// errStatusChanged makes a cancellation retry with the current status.
var errStatusChanged = errors.New("the status of the job changed during the cancellation")

func (gateway *Gateway) attemptCancel(
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
		gateway.Statuses.Update(id, entry)
		return entry, errStatusChanged
	}
	if err != nil {
		return entry, err
	}
	entry = ledger.StatusEntry{Status: cancelled, Revision: revision}
	gateway.Statuses.Update(id, entry)
	return entry, nil
}
