package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
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
		if errors.Is(err, keyvalue.ErrInvalid) && !submission.outcomeUnknown {
			return fault.New(fault.InvalidArgument, "the store does not take the job: %v", err)
		}
		if errors.Is(err, keyvalue.ErrRejected) && !submission.outcomeUnknown {
			return fault.New(fault.StoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
		}
		if errors.Is(err, keyvalue.ErrNoAnswer) {
			submission.outcomeUnknown = true
		}
		if pauseBeforeRetry(ctx) != nil {
			return submission.giveUp(err)
		}
	}
}

// giveUp returns the error for a job that no attempt has certainly stored in time.
func (submission *submission) giveUp(cause error) error {
	if submission.outcomeUnknown {
		return fault.New(fault.AnswerLost, "the job may have been stored: %v", cause)
	}
	return fault.New(fault.StoreUnavailable, "%v", cause).WithRetryAfter(storeRetryAfter)
}

// attempt makes one attempt to write the job and its status. A retry is safe, because the write requires that the job's
// key does not exist.
func (submission *submission) attempt(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := submission.job.ID
	conditions := []keyvalue.Condition{
		{Key: ledger.JobKey(id)}, {Key: ledger.StatusKey(id)}, {Key: submission.tombstoneKey()}, submission.condition,
	}
	revision, err := submission.gateway.Store.Commit(bounded, keyvalue.Txn{
		Conditions: conditions,
		Writes: []keyvalue.Write{
			{Key: ledger.JobKey(id), Value: ledger.Encode(submission.job)},
			{Key: ledger.StatusKey(id), Value: ledger.Encode(submission.status)},
		},
	})
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		return submission.resolve(ctx, conflict)
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
	if conflict.Incomplete {
		return submission.resolveIncomplete(ctx)
	}
	condition, err := submission.gateway.followConfiguration(ctx, submission.request, submission.condition, conflict)
	if err != nil {
		return submission.refused(err)
	}
	submission.condition = condition
	if item, ok := conflict.Current(ledger.JobKey(submission.job.ID)); ok {
		return submission.compare(item)
	}
	if _, ok := conflict.Current(submission.tombstoneKey()); ok {
		return errCancelled
	}
	return errConfigChanged
}

// errCancelled is the error for a submission of a job that was cancelled before it was stored. It is certain that no
// write of an earlier attempt stores the job, because each requires that there is no tombstone.
var errCancelled = fault.New(fault.Cancelled, "the job was cancelled before it was stored; use another id")

func (submission *submission) tombstoneKey() string {
	return tombstoneKey(submission.job.Organisation, submission.job.Profile, submission.job.ID)
}

func tombstoneKey(organisation fleet.OrganisationID, profile fleet.ProfileName, id fleet.JobID) string {
	return ledger.TombstoneKey(ledger.TombstoneScope{Organisation: organisation, Profile: profile}, id)
}

// resolveIncomplete does what resolve does if the items of the conflict have not been received.
func (submission *submission) resolveIncomplete(ctx context.Context) error {
	gateway := submission.gateway
	if gateway.refresh(ctx) != nil {
		return errConfigChanged
	}
	admitted, err := gateway.admit(ctx, submission.request)
	if err != nil {
		return submission.refused(err)
	}
	submission.condition = admitted.condition
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := gateway.Store.Get(bounded, ledger.JobKey(submission.job.ID))
	if err == nil {
		return submission.compare(item)
	}
	if errors.Is(err, keyvalue.ErrNotFound) {
		if _, err := gateway.Store.Get(bounded, submission.tombstoneKey()); err == nil {
			return errCancelled
		}
	}
	return errConfigChanged
}

// compare returns nil if a stored job is the submitted one.
func (submission *submission) compare(item keyvalue.Item) error {
	if sameJob(item, submission.job) {
		return nil
	}
	return fault.New(fault.InvalidArgument, "another job has the id %q", submission.job.ID)
}

// refused returns the error for a submission that a newer configuration does not admit.
func (submission *submission) refused(cause error) error {
	if submission.outcomeUnknown {
		return fault.New(fault.AnswerLost, "the job may have been stored under an older configuration: %v", cause)
	}
	return cause
}

// followConfiguration admits a request again if the conflict shows that the configuration has changed since the request
// was admitted under the given condition. It returns the condition for the next attempt.
func (gateway *Gateway) followConfiguration(
	ctx context.Context, request Request, condition keyvalue.Condition, conflict *keyvalue.ConflictError,
) (keyvalue.Condition, error) {
	item, ok := conflict.Current(condition.Key)
	if !ok || item.Revision == condition.Revision {
		return condition, nil
	}
	admitted, err := gateway.admit(ctx, request)
	return admitted.condition, err
}

// errConfigChanged makes a submission retry under the newest configuration.
var errConfigChanged = errors.New("the configuration changed")
