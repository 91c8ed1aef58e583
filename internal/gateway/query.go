package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

// Answer is the response to a query: the state of a job or, if the path of the query names no job, the number of jobs
// of a profile that wait.
type Answer struct {
	State progress.State
	// Pending is the number of accepted jobs of the profile that have not started; jobs with a schedule are not counted.
	Pending int
	// IsCount means that Pending is set, and not State.
	IsCount bool
}

// Query answers a query about a job or about the waiting jobs of a profile. The path is interpreted with the same
// configuration with which the request is admitted.
func (gateway *Gateway) Query(ctx context.Context, request Request) (Answer, error) {
	started := time.Now()
	ctx, cancel := request.withDeadline(ctx)
	defer cancel()
	admitted, err := gateway.admitQuery(ctx, request)
	if err != nil {
		return Answer{}, gateway.recordOutcome(callState, request, admitted, started, err)
	}
	if admitted.job == "" {
		answer, err := gateway.pending(ctx, admitted)
		admitted.pending, admitted.statusesAge = answer.Pending, gateway.StatusSource.Age()
		metrics.Observe(gateway.Metrics, "pending_statuses_age_milliseconds", admitted.statusesAge)
		return answer, gateway.recordOutcome(callPending, request, admitted, started, err)
	}
	entry, err := gateway.currentStatus(ctx, admitted)
	return Answer{State: entry.State}, gateway.recordOutcome(callState, request, admitted, started, err)
}

// pending returns the number of pending jobs of a profile. It is refused if the copy of the statuses is too old.
func (gateway *Gateway) pending(ctx context.Context, admitted admission) (Answer, error) {
	if !gateway.StatusSource.Synced() {
		return Answer{}, fault.New(fault.Starting, "the job statuses have not been read yet").
			WithRetryAfter(storeRetryAfter)
	}
	gateway.refreshStatuses(ctx, maxStatusesAge)
	if age := gateway.StatusSource.Age(); age > maxStatusesAge {
		return Answer{}, fault.New(fault.StoreUnavailable, "the store has not confirmed the job statuses for %s",
			age.Round(time.Millisecond)).WithRetryAfter(storeRetryAfter)
	}
	return Answer{Pending: gateway.Statuses.Pending(admitted.profile.Name), IsCount: true}, nil
}

// refreshStatuses brings a copy of the statuses up to date that is older than maxAge, unless the store cannot be reached. If
// this fails, the copy stays old.
func (gateway *Gateway) refreshStatuses(ctx context.Context, maxAge time.Duration) {
	if gateway.StatusSource.Age() > maxAge && !gateway.StoreLost() {
		_ = gateway.StatusSource.Refresh(ctx)
	}
}

// currentStatus returns the status of the job of an organisation and profile. If the copy of the statuses is old and the job
// has not ended according to it, the status is read from the store. The known one is returned if that fails.
func (gateway *Gateway) currentStatus(ctx context.Context, admitted admission) (ledger.StatusEntry, error) {
	known, err := gateway.status(ctx, admitted)
	if err != nil || known.State.Terminal() || gateway.StatusSource.Age() <= maxStateAge {
		return known, err
	}
	refreshing, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	gateway.refreshStatuses(refreshing, maxStateAge)
	if gateway.StatusSource.Age() > maxStateAge && !gateway.StoreLost() {
		// Only the watch of the statuses may be lost.
		reading, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, _ = gateway.readStatus(reading, admitted.job)
	}
	return gateway.status(ctx, admitted)
}

// status returns the status of the job of an organisation and profile.
func (gateway *Gateway) status(ctx context.Context, admitted admission) (ledger.StatusEntry, error) {
	entry, err := gateway.storedStatus(ctx, admitted.job)
	if err == nil && !admitted.owns(entry) {
		return ledger.StatusEntry{}, errNoSuchJob
	}
	return entry, err
}

// owns reports whether an entry is the status of a job of the organisation and profile.
func (admitted admission) owns(entry ledger.StatusEntry) bool {
	return entry.Revision != 0 && entry.Profile == admitted.profile.Name && entry.Organisation == admitted.organisation
}

// storedStatus returns the status under a job id from the cache, or from the store if the cache does not hold it. It
// returns errNoSuchJob if there is none.
func (gateway *Gateway) storedStatus(ctx context.Context, id fleet.JobID) (ledger.StatusEntry, error) {
	if entry, ok := gateway.Statuses.Get(id); ok {
		return entry, nil
	}
	return gateway.readStatus(ctx, id)
}

func (gateway *Gateway) readStatus(ctx context.Context, id fleet.JobID) (ledger.StatusEntry, error) {
	var entry ledger.StatusEntry
	if !validID(id) {
		return entry, errNoSuchJob
	}
	err := gateway.retry(ctx, func(ctx context.Context) error {
		item, err := gateway.Store.Get(ctx, ledger.StatusKey(id))
		if errors.Is(err, keyvalue.ErrNotFound) {
			return errNoSuchJob
		}
		if err != nil {
			return err
		}
		status, err := ledger.Decode[ledger.Status](item)
		if err != nil {
			return fault.New(fault.Internal, "%v", err)
		}
		entry = ledger.StatusEntry{Status: status, Revision: item.Revision}
		gateway.Statuses.Update(id, entry)
		return nil
	})
	return entry, err
}
