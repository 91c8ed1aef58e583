package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

const (
	// maxTombstones limits the tombstones of all organisations, which each entry process keeps in memory. It is divided
	// among the organisations, so that none can keep the others from cancelling.
	maxTombstones = 1 << 14
	// minTombstones is the number of tombstones that each organisation may have at the least.
	minTombstones = 64
	// maxTombstonesAge is the age of the copy of the tombstones from which on a tombstone is stored again instead of taken for
	// one that still exists. The copy is one with that of the statuses, and follows the store within a second.
	maxTombstonesAge = 2 * time.Second
	// tombstonesRetryAfter is the retry delay sent to a caller whose organisation has as many tombstones as it may.
	tombstonesRetryAfter = 5 * time.Second
)

// Cancel stores that a job is cancelled. If the job has ended already, Cancel changes nothing and returns nil. If no such
// job is stored, Cancel returns NotFound only after it has stored a tombstone, which keeps out submissions of the job that
// the store has not carried out yet.
func (gateway *Gateway) Cancel(ctx context.Context, request Request) error {
	started := time.Now()
	ctx, cancel := request.withDeadline(ctx)
	defer cancel()
	admitted, err := gateway.admitQuery(ctx, request)
	if err == nil {
		err = gateway.cancel(ctx, request, admitted)
	}
	return gateway.recordOutcome(callCancel, request, admitted, started, err)
}

func (gateway *Gateway) cancel(ctx context.Context, request Request, admitted admission) error {
	entry, err := gateway.storedStatus(ctx, admitted.job)
	if err != nil && fault.FromError(err) != errNoSuchJob {
		return err
	}
	if gateway.StoreLost() {
		return errStoreLost
	}
	cancellation := cancellation{gateway: gateway, request: request, admitted: admitted, entry: entry}
	return cancellation.run(ctx)
}

// errNoSuchJob is the error for a job that is not stored, or not under this organisation and profile.
var errNoSuchJob = fault.New(fault.NotFound, "no such job of this organisation and profile")

// errStatusChanged makes a cancellation retry with the current status and configuration.
var errStatusChanged = errors.New("the status of the job or the configuration changed during the cancellation")

// cancellation is the state of one call of Cancel, which may make several attempts to store the cancelled status or the
// tombstone.
type cancellation struct {
	gateway *Gateway
	request Request
	// admitted has the condition that holds as long as the configuration that admitted the request is the newest one.
	admitted admission
	// entry is the newest known status under the job's id; its revision is 0 if there is none.
	entry ledger.StatusEntry
	// unconditional is set if the configuration changes so often that the condition may never hold.
	unconditional bool
	// outcomeUnknown is set once an attempt got no response from the store. Its write may have taken effect or may still
	// do so.
	outcomeUnknown bool
}

func (cancellation *cancellation) run(ctx context.Context) error {
	err := cancellation.gateway.retry(ctx, func(ctx context.Context) error {
		err := cancellation.attempt(ctx)
		if errors.Is(err, keyvalue.ErrNoAnswer) {
			cancellation.outcomeUnknown = true
		}
		return err
	})
	if err != nil && fault.FromError(err) != errNoSuchJob && cancellation.outcomeUnknown {
		return fault.New(fault.AnswerLost, "the cancellation may have been stored: %v", err)
	}
	return err
}

func (cancellation *cancellation) attempt(ctx context.Context) error {
	switch {
	case !cancellation.admitted.owns(cancellation.entry):
		return cancellation.storeTombstone(ctx)
	case cancellation.entry.State.Terminal():
		return nil
	}
	return cancellation.storeStatus(ctx)
}

// storeStatus makes one attempt to store the cancelled status.
func (cancellation *cancellation) storeStatus(ctx context.Context) error {
	cancelled := cancellation.entry.Status
	cancelled.State, cancelled.Ended = progress.Cancelled, time.Now().UTC()
	revision, err := cancellation.commit(ctx, keyvalue.Write{
		Key: ledger.StatusKey(cancellation.admitted.job), Value: ledger.Encode(cancelled),
	})
	if err == nil {
		cancellation.update(ledger.StatusEntry{Status: cancelled, Revision: revision})
	}
	return err
}

// storeTombstone makes one attempt to store a tombstone, on condition that the status under the job's id is still the one
// that was read. It returns errNoSuchJob once a tombstone is stored.
func (cancellation *cancellation) storeTombstone(ctx context.Context) error {
	gateway, admitted := cancellation.gateway, cancellation.admitted
	key := tombstoneKey(admitted.organisation, admitted.profile.Name, admitted.job)
	known := gateway.Tombstones.Has(key) && gateway.StatusSource.Age() <= maxTombstonesAge
	if !validID(admitted.job) || known {
		return errNoSuchJob
	}
	if count := gateway.Tombstones.Count(admitted.organisation); count >= gateway.tombstoneLimit() {
		return fault.New(fault.QueueFull, "the organisation has cancelled %d jobs that are not stored", count).
			WithRetryAfter(tombstonesRetryAfter)
	}
	revision, err := cancellation.commit(ctx, keyvalue.Write{Key: key, Value: ledger.Encode(ledger.Tombstone{
		Organisation: admitted.organisation, Profile: admitted.profile.Name, Job: admitted.job,
		Cancelled: time.Now().UTC(),
	})})
	if err != nil {
		return err
	}
	gateway.Tombstones.Add(key, revision)
	return errNoSuchJob
}

// tombstoneLimit returns the number of tombstones that one organisation may have.
func (gateway *Gateway) tombstoneLimit() int {
	organisations := 1
	if configuration, ok := gateway.Configuration.Current(); ok {
		// Callers of public profiles without a credential count as one more organisation.
		organisations += configuration.OrganisationCount()
	}
	return max(maxTombstones/organisations, minTombstones)
}

// commit makes one attempt to write a document on condition that the status is the one in entry and the configuration has
// not changed. It returns errStatusChanged if another attempt is to be made.
func (cancellation *cancellation) commit(ctx context.Context, write keyvalue.Write) (keyvalue.Revision, error) {
	conditions := []keyvalue.Condition{
		{Key: ledger.StatusKey(cancellation.admitted.job), Revision: cancellation.entry.Revision},
	}
	if !cancellation.unconditional {
		conditions = append(conditions, cancellation.admitted.condition)
	}
	revision, err := cancellation.gateway.Store.Commit(
		ctx, keyvalue.Txn{Conditions: conditions, Writes: []keyvalue.Write{write}})
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		return 0, cancellation.resolve(ctx, conflict)
	}
	return revision, err
}

// resolve handles an attempt whose conditions did not hold. It returns errStatusChanged if the attempt is to be retried.
func (cancellation *cancellation) resolve(ctx context.Context, conflict *keyvalue.ConflictError) error {
	if conflict.Incomplete {
		return cancellation.resolveIncomplete(ctx)
	}
	condition, err := cancellation.gateway.followConfiguration(
		ctx, cancellation.request, cancellation.admitted.condition, conflict)
	if err != nil {
		return err
	}
	cancellation.admitted.condition = condition
	item, ok := conflict.Current(ledger.StatusKey(cancellation.admitted.job))
	if !ok {
		cancellation.entry = ledger.StatusEntry{}
		return errStatusChanged
	}
	current, err := ledger.Decode[ledger.Status](item)
	if err != nil {
		return fault.New(fault.Internal, "%v", err)
	}
	cancellation.update(ledger.StatusEntry{Status: current, Revision: item.Revision})
	return errStatusChanged
}

// resolveIncomplete handles a conflict with a large configuration. By the time it has been received it may have changed
// again, so that a configuration of known age is enough for the next attempt, as for a query.
func (cancellation *cancellation) resolveIncomplete(ctx context.Context) error {
	if _, err := cancellation.gateway.admitQuery(ctx, cancellation.request); err != nil {
		return err
	}
	cancellation.unconditional = true
	return errStatusChanged
}

func (cancellation *cancellation) update(entry ledger.StatusEntry) {
	cancellation.entry = entry
	cancellation.gateway.Statuses.Update(cancellation.admitted.job, entry)
}
