package domain

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// createTimeout limits the write of a new job's record or of a cancellation, unless the caller's deadline is
	// earlier.
	createTimeout = 5 * time.Second
	// dumpTimeout limits the wait for the state of the owner's loop in a dump.
	dumpTimeout = 2 * time.Second
	// storeRetryAfter is the delay after which a caller may retry while the store is down.
	storeRetryAfter = 2 * time.Second
	// createRetryInterval is the time between two attempts to create a record whose creation is uncertain.
	createRetryInterval = 100 * time.Millisecond
)

// SubmitJob admits a job and creates its record. It runs at the owner.
func (service *Service) SubmitJob(
	ctx context.Context, request *peerv1.SubmitJobRequest,
) (*peerv1.SubmitJobResponse, error) {
	if !service.beginCall() {
		return refusedSubmit(fault.New(fault.Draining, "the owner is stopping").WithRetryAfter(ownerRetryAfter)), nil
	}
	defer service.calls.Done()
	owner := service.currentOwner()
	if owner == nil {
		return refusedSubmit(fault.New(fault.OwnerUnavailable, "the owner is changing").
			WithRetryAfter(ownerRetryAfter)), nil
	}
	record, refusal := service.newRecord(request)
	if refusal != nil {
		return refusedSubmit(refusal), nil
	}
	if _, ok := service.cache.get(record.Key()); ok {
		return &peerv1.SubmitJobResponse{Duplicate: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	refusal, err := runOnLoop(ctx, owner, func() *fault.Error { return owner.admit(record) })
	if err != nil {
		return refusedSubmit(fault.New(fault.OwnerUnavailable, "the owner is busy").
			WithRetryAfter(ownerRetryAfter)), nil
	}
	if refusal != nil {
		return refusedSubmit(refusal), nil
	}
	defer owner.post(func() { owner.admissionDone(record) })
	return service.createRecord(ctx, owner, record), nil
}

// newRecord checks a request against the configuration in force at the owner, which must not be older than the
// sender's, and returns the record of the job.
func (service *Service) newRecord(request *peerv1.SubmitJobRequest) (*Record, *fault.Error) {
	config := service.Configs.Current()
	if config == nil || config.Revision < fleet.Revision(request.ConfigRevision) {
		return nil, fault.New(
			fault.OwnerUnavailable, "the owner has not received configuration %d yet", request.ConfigRevision).
			WithRetryAfter(ownerRetryAfter)
	}
	job := request.Job
	profile, ok := config.Lookup(fleet.OrganisationID(request.Organisation), fleet.ProfileName(job.GetProfile()))
	if !ok || !profile.IsJob() {
		return nil, fault.New(fault.UnknownProfile, "no profile %q for jobs", job.GetProfile()).WithField("profile")
	}
	return &Record{
		WriteID:         service.nextWriteID(),
		Organisation:    fleet.OrganisationID(request.Organisation),
		Job:             fleet.JobID(job.JobId),
		Caller:          fleet.CallerID(job.Caller),
		Domain:          service.domain(),
		Profile:         *profile,
		ConfigRevision:  config.Revision,
		Input:           job.Input,
		DeclaredRunTime: time.Duration(job.DeclaredRunTimeS * float64(time.Second)),
		Submitted:       time.Now().UTC(),
		State:           StateQueued,
	}, nil
}

// createRecord writes the record by compare-and-swap on absence. If the effect of a write is unknown, the same write is
// repeated. It then succeeds, or it conflicts with a stored record, whose write id shows whether the earlier write
// created it.
func (service *Service) createRecord(ctx context.Context, owner *owner, record *Record) *peerv1.SubmitJobResponse {
	text, err := record.encode()
	if err != nil {
		return refusedSubmit(fault.FromError(err))
	}
	uncertain := false
	for {
		revision, err := service.Store.Swap(ctx, recordKey(record.Key()), text, 0)
		switch {
		case err == nil:
			return service.recordCreated(owner, record, revision, false)
		case errors.Is(err, platform.ErrConflict):
			stored, revision, err := service.readRecord(ctx, record.Key())
			if err == nil {
				return service.recordCreated(owner, stored, revision, stored.WriteID != record.WriteID)
			}
			if !uncertain && !errors.Is(err, platform.ErrNotFound) {
				return refusedSubmit(
					fault.New(fault.AnswerLost, "a record of job %s exists already and cannot be read", record.Key()))
			}
		case errors.Is(err, platform.ErrUnavailable):
			if !uncertain {
				return refusedSubmit(fault.New(fault.StoreUnavailable, "the store is unavailable").
					WithRetryAfter(storeRetryAfter))
			}
		default:
			uncertain = true
		}
		_ = lifecycle.Sleep(ctx, createRetryInterval)
		if ctx.Err() != nil {
			return refusedSubmit(service.creationRefusal(uncertain, record.Key()))
		}
	}
}

// creationRefusal returns the refusal of a job whose record could not be created in time.
func (service *Service) creationRefusal(uncertain bool, key fleet.JobKey) *fault.Error {
	if uncertain {
		return fault.New(fault.AnswerLost, "the record of job %s may or may not have been created", key)
	}
	return fault.New(fault.StoreUnavailable, "the record of job %s was not written in time", key).
		WithRetryAfter(storeRetryAfter)
}

func (service *Service) recordCreated(
	owner *owner, record *Record, revision platform.StoreRevision, duplicate bool,
) *peerv1.SubmitJobResponse {
	if service.cache.put(record, revision) {
		owner.post(func() { owner.recordChanged(record.Key(), record, revision) })
	}
	if !duplicate {
		service.count("jobs_accepted", 1)
		service.Logger.Info("job accepted", "job", record.Job, "organisation", record.Organisation,
			"profile", record.Profile.Name, "revision", record.ConfigRevision)
	}
	return &peerv1.SubmitJobResponse{Duplicate: duplicate}
}

// readRecord reads the record of a job from the store.
func (service *Service) readRecord(ctx context.Context, key fleet.JobKey) (*Record, platform.StoreRevision, error) {
	entry, err := service.Store.Get(ctx, recordKey(key))
	if err != nil {
		return nil, 0, errors.Wrapf(err, "record of job %s", key)
	}
	record, err := decodeRecord(entry.Value)
	return record, entry.Revision, err
}

func refusedSubmit(refusal *fault.Error) *peerv1.SubmitJobResponse {
	return &peerv1.SubmitJobResponse{
		Kind:         string(refusal.Kind),
		Reason:       refusal.Reason,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}
}

// CancelJob cancels a job. It responds once the cancellation is in the store and survives a change of owner, or
// once the write has failed because the store is down. It runs at the owner.
func (service *Service) CancelJob(
	ctx context.Context, request *peerv1.CancelJobRequest,
) (*peerv1.CancelJobResponse, error) {
	key := fleet.JobKey{Organisation: fleet.OrganisationID(request.Organisation), Job: fleet.JobID(request.JobId)}
	owner := service.currentOwner()
	if owner == nil {
		return refusedCancel(fault.New(fault.OwnerUnavailable, "the owner is changing")), nil
	}
	record, err := service.findRecord(ctx, key)
	if err != nil {
		return refusedCancel(fault.FromError(err)), nil
	}
	if record.State == StateEnded {
		return &peerv1.CancelJobResponse{Outcome: record.outcome()}, nil
	}
	written := make(chan struct{})
	held, err := runOnLoop(ctx, owner, func() bool {
		return owner.cancel(key, sync.OnceFunc(func() { close(written) }))
	})
	if err != nil || !held {
		return refusedCancel(fault.New(fault.OwnerUnavailable, "the owner has not loaded job %s yet", key)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	select {
	case <-written:
		return &peerv1.CancelJobResponse{Outcome: callerv1.Outcome_OUTCOME_PENDING}, nil
	case <-owner.done:
	case <-ctx.Done():
	}
	return refusedCancel(
		fault.New(fault.AnswerLost, "the cancellation of job %s may or may not have been recorded", key)), nil
}

func refusedCancel(refusal *fault.Error) *peerv1.CancelJobResponse {
	return &peerv1.CancelJobResponse{Kind: string(refusal.Kind), Reason: refusal.Reason}
}

// ExplainJob returns the state of a job in the first line and the reasons for that state in the following lines. It
// runs at the owner.
func (service *Service) ExplainJob(
	ctx context.Context, request *peerv1.ExplainJobRequest,
) (*peerv1.ExplainJobResponse, error) {
	key := fleet.JobKey{Organisation: fleet.OrganisationID(request.Organisation), Job: fleet.JobID(request.JobId)}
	owner := service.currentOwner()
	if owner == nil {
		return nil, fault.New(fault.OwnerUnavailable, "the owner is changing")
	}
	lines, err := runOnLoop(ctx, owner, func() []string { return owner.explain(key) })
	if err != nil {
		return nil, err
	}
	return &peerv1.ExplainJobResponse{Lines: lines}, nil
}
