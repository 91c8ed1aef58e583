package domain

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// ownerRetryAfter is the delay after which a caller may retry while no owner accepts jobs.
	ownerRetryAfter = time.Second
	// maxOwnerWait limits the time for which a submission waits for an owner. A lost owner is replaced within
	// 3.5 s: suspicion takes 2.5 s, and the view must then be stable for 1 s.
	maxOwnerWait = 5 * time.Second
	// ownerRetryInterval is the time between two attempts to submit a job while there is no owner.
	ownerRetryInterval = 200 * time.Millisecond
	// responseReserve is the time before the caller's deadline in which a submission is not retried, so that the
	// response still arrives.
	responseReserve = 300 * time.Millisecond
	// explainTimeout limits the wait for an explanation by the owner.
	explainTimeout = 500 * time.Millisecond
	// recordPollInterval is the time between two reads of a record whose creation is uncertain.
	recordPollInterval = 200 * time.Millisecond
)

// Submit submits a job to the owner of the domain. The job is accepted once its record is in the store.
func (service *Service) Submit(
	ctx context.Context, id fleet.OrganisationID, request *callerv1.SubmitRequest,
) (*callerv1.SubmitResponse, error) {
	if !service.beginCall() {
		return nil, service.countRefusal(fault.New(fault.Draining, "the process is stopping"))
	}
	defer service.calls.Done()
	config := service.Configs.Current()
	if config == nil {
		return nil, service.countRefusal(fault.New(fault.Starting, "no configuration yet"))
	}
	profile, ok := config.Lookup(id, fleet.ProfileName(request.Profile))
	if !ok {
		return nil, service.countRefusal(
			fault.New(fault.UnknownProfile, "no profile %q", request.Profile).WithField("profile"))
	}
	if !profile.IsJob() {
		return nil, service.countRefusal(
			fault.New(fault.InvalidArgument, "profile %q is for requests, not jobs", request.Profile).
				WithField("profile"))
	}
	key := fleet.JobKey{Organisation: id, Job: fleet.JobID(request.JobId)}
	if _, ok := service.cache.get(key); ok {
		return &callerv1.SubmitResponse{JobId: request.JobId, Duplicate: true}, nil
	}
	response, err := service.submitWithRetry(ctx, key, &peerv1.SubmitJobRequest{
		Organisation:   string(id),
		Job:            request,
		ConfigRevision: int64(config.Revision),
	})
	if err != nil {
		return nil, service.countRefusal(fault.FromError(err))
	}
	if response.Kind != "" {
		refusal := fault.New(fault.Kind(response.Kind), "%s", response.Reason)
		return nil, service.countRefusal(
			refusal.WithRetryAfter(time.Duration(response.RetryAfterMs) * time.Millisecond))
	}
	return &callerv1.SubmitResponse{JobId: request.JobId, Duplicate: response.Duplicate}, nil
}

// submitWithRetry submits a job to the owner. If the owner is changing, which proves that no record was created, it
// retries until maxOwnerWait has passed or the caller's deadline is near.
func (service *Service) submitWithRetry(
	ctx context.Context, key fleet.JobKey, request *peerv1.SubmitJobRequest,
) (*peerv1.SubmitJobResponse, error) {
	retryUntil := time.Now().Add(maxOwnerWait)
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-responseReserve).Before(retryUntil) {
		retryUntil = deadline.Add(-responseReserve)
	}
	for {
		response, err := service.submitToOwner(ctx, key, request)
		if !isOwnerChange(response, err) || ctx.Err() != nil || !time.Now().Add(ownerRetryInterval).Before(retryUntil) {
			return response, err
		}
		service.count("submissions_repeated", 1)
		_ = lifecycle.Sleep(ctx, ownerRetryInterval)
	}
}

// isOwnerChange reports whether a submission found no owner or one whose term is ending.
func isOwnerChange(response *peerv1.SubmitJobResponse, err error) bool {
	kind := fault.Kind(response.GetKind())
	if err != nil {
		kind = fault.FromError(err).Kind
	}
	return kind == fault.OwnerUnavailable || kind == fault.Draining
}

// submitToOwner sends a job to the owner, which may be this process.
func (service *Service) submitToOwner(
	ctx context.Context, key fleet.JobKey, request *peerv1.SubmitJobRequest,
) (*peerv1.SubmitJobResponse, error) {
	ownerPeer, ok := service.View.Owner(service.domain())
	if !ok {
		return nil, fault.New(fault.OwnerUnavailable, "domain %s has no owner", service.domain()).
			WithRetryAfter(ownerRetryAfter)
	}
	if service.isSelf(ownerPeer) {
		return service.SubmitJob(ctx, request)
	}
	response, err := ownerPeer.Client.SubmitJob(ctx, connect.NewRequest(request))
	if err == nil {
		return response.Msg, nil
	}
	if isDialError(err) {
		return nil, fault.New(fault.OwnerUnavailable, "owner of domain %s cannot be reached", service.domain()).
			WithRetryAfter(ownerRetryAfter)
	}
	return service.awaitRecord(ctx, key, err)
}

// awaitRecord polls the store for the record of a job after the owner did not respond to the submission. The job was
// accepted if the record exists.
func (service *Service) awaitRecord(
	ctx context.Context, key fleet.JobKey, cause error,
) (*peerv1.SubmitJobResponse, error) {
	for ctx.Err() == nil {
		if _, err := service.Store.Get(ctx, recordKey(key)); err == nil {
			return &peerv1.SubmitJobResponse{}, nil
		} else if !errors.Is(err, platform.ErrNotFound) {
			break
		}
		_ = lifecycle.Sleep(ctx, recordPollInterval)
	}
	return nil, fault.New(fault.AnswerLost, "owner of domain %s did not respond: %v", service.domain(), cause)
}

// isDialError reports whether an error proves that no connection was established.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

func (service *Service) isSelf(ownerPeer peer.Peer) bool {
	return ownerPeer.VM.ID == service.View.Self().VM.ID
}

// Status returns the state of a job: its end if findRecord returns the record of an ended job, otherwise the state that
// the owner reports.
func (service *Service) Status(ctx context.Context, key fleet.JobKey) (*callerv1.StatusResponse, error) {
	record, err := service.findRecord(ctx, key)
	if err != nil {
		return nil, service.countRefusal(fault.FromError(err))
	}
	response := record.status()
	if record.State == StateEnded {
		return response, nil
	}
	lines, err := service.explainAtOwner(ctx, record.Domain, key)
	if err != nil || len(lines) == 0 {
		response.Reason = "owner of domain " + string(record.Domain) + " is unavailable or has not loaded the job"
		return response, nil
	}
	response.State = lines[0]
	if response.State == phaseQueued.String() {
		// The record of an idempotent job keeps the members of an attempt that has ended.
		response.Workers = nil
	}
	if len(lines) > 1 {
		response.Reason = lines[1]
	}
	return response, nil
}

// findRecord returns the record of a job from the unwritten ends that callers may see, from the cache or from the
// store.
func (service *Service) findRecord(ctx context.Context, key fleet.JobKey) (*Record, error) {
	service.mutex.Lock()
	ended, ok := service.unwrittenEnds[key]
	service.mutex.Unlock()
	if ok && ended.mayReportUnwritten() {
		return ended, nil
	}
	if cached, ok := service.cache.get(key); ok {
		return cached.record, nil
	}
	entry, err := service.Store.Get(ctx, recordKey(key))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, fault.New(fault.NotFound, "no job %s", key)
	}
	if err != nil {
		return nil, fault.New(
			fault.StoreUnavailable, "job %s is not in the cache and the store does not respond", key).
			WithRetryAfter(ownerRetryAfter)
	}
	record, err := decodeRecord(entry.Value)
	if err != nil {
		return nil, err
	}
	if service.cache.put(record, entry.Revision) {
		// The watch reports a change only if the cache does not contain it yet.
		service.recordChanged(key, record, entry.Revision)
	}
	return record, nil
}

// Explain returns the state of a job and the reasons for that state. Without a job id, it returns the scheduler's
// explanation of the organisation.
func (service *Service) Explain(ctx context.Context, key fleet.JobKey) ([]string, error) {
	if key.Job == "" {
		return service.explainAtOwner(ctx, service.domain(), key)
	}
	record, err := service.findRecord(ctx, key)
	if err != nil {
		return nil, err
	}
	if record.State == StateEnded {
		status := record.status()
		return []string{status.State, status.Outcome.String() + ": " + status.Reason}, nil
	}
	return service.explainAtOwner(ctx, record.Domain, key)
}

// explainAtOwner requests the state of a job, followed by the reasons for that state, from the owner of a domain.
func (service *Service) explainAtOwner(ctx context.Context, domain fleet.RegionID, key fleet.JobKey) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	ownerPeer, ok := service.View.Owner(domain)
	if !ok {
		return nil, fault.New(fault.OwnerUnavailable, "domain %s has no owner", domain)
	}
	request := &peerv1.ExplainJobRequest{Organisation: string(key.Organisation), JobId: string(key.Job)}
	if service.isSelf(ownerPeer) {
		response, err := service.ExplainJob(ctx, request)
		return response.GetLines(), err
	}
	response, err := ownerPeer.Client.ExplainJob(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, fault.New(fault.OwnerUnavailable, "owner %s of domain %s did not respond", ownerPeer.VM.ID, domain).
			WithRetryAfter(ownerRetryAfter)
	}
	return response.Msg.Lines, nil
}

// Cancel cancels a job. The outcome is PENDING until every member is confirmed to have stopped.
func (service *Service) Cancel(ctx context.Context, key fleet.JobKey) (callerv1.Outcome, error) {
	if !service.beginCall() {
		return callerv1.Outcome_OUTCOME_UNSPECIFIED, service.countRefusal(
			fault.New(fault.Draining, "the process is stopping"))
	}
	defer service.calls.Done()
	record, err := service.findRecord(ctx, key)
	if err != nil {
		return callerv1.Outcome_OUTCOME_UNSPECIFIED, service.countRefusal(fault.FromError(err))
	}
	if record.State == StateEnded {
		return record.outcome(), nil
	}
	response, err := service.cancelAtOwner(ctx, record.Domain, key)
	if err != nil {
		return callerv1.Outcome_OUTCOME_UNSPECIFIED, service.countRefusal(fault.FromError(err))
	}
	if response.Kind != "" {
		return callerv1.Outcome_OUTCOME_UNSPECIFIED, service.countRefusal(
			fault.New(fault.Kind(response.Kind), "%s", response.Reason))
	}
	return response.Outcome, nil
}

func (service *Service) cancelAtOwner(
	ctx context.Context, domain fleet.RegionID, key fleet.JobKey,
) (*peerv1.CancelJobResponse, error) {
	ownerPeer, ok := service.View.Owner(domain)
	if !ok {
		return nil, fault.New(fault.OwnerUnavailable, "domain %s has no owner", domain).WithRetryAfter(ownerRetryAfter)
	}
	request := &peerv1.CancelJobRequest{Organisation: string(key.Organisation), JobId: string(key.Job)}
	if service.isSelf(ownerPeer) {
		return service.CancelJob(ctx, request)
	}
	response, err := ownerPeer.Client.CancelJob(ctx, connect.NewRequest(request))
	switch {
	case fault.NotSent(err):
		return nil, fault.New(fault.OwnerUnavailable, "owner of domain %s could not be reached", domain).
			WithRetryAfter(ownerRetryAfter)
	case err != nil:
		return nil, fault.New(fault.AnswerLost, "owner of domain %s did not respond", domain)
	}
	return response.Msg, nil
}
