package domain

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// broadcastTimeout limits the sending of a job's end to the peers.
const broadcastTimeout = time.Second

// JobEnds receives and keeps the ends of jobs whose records the sending owner could not write yet. It also passes them
// to the owner if this process owns the domain.
func (service *Service) JobEnds(_ context.Context, request *peerv1.JobEndsRequest) (*peerv1.JobEndsResponse, error) {
	for _, text := range request.RecordsJson {
		record, err := decodeRecord(text)
		if err != nil || record.State != StateEnded {
			return nil, fault.New(fault.InvalidArgument, "not the record of an ended job").WithField("records_json")
		}
		if !service.addUnwrittenEnd(record) {
			continue
		}
		if owner := service.currentOwner(); owner != nil {
			owner.post(func() { owner.applyUnwrittenEnd(record) })
		}
	}
	return &peerv1.JobEndsResponse{}, nil
}

// addUnwrittenEnd keeps the end of a job until it is in the store. It reports false if the cached record has ended or
// has a later attempt.
func (service *Service) addUnwrittenEnd(record *Record) bool {
	cached, ok := service.cache.get(record.Key())
	if ok && (cached.record.State == StateEnded || cached.record.Attempt > record.Attempt) {
		return false
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.unwrittenEnds[record.Key()] = record
	return true
}

func (service *Service) removeUnwrittenEnd(key fleet.JobKey) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	delete(service.unwrittenEnds, key)
}

func (service *Service) listUnwrittenEnds() []*Record {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	ends := make([]*Record, 0, len(service.unwrittenEnds))
	for _, ended := range service.unwrittenEnds {
		ends = append(ends, ended)
	}
	return ends
}

// broadcastEnd sends the end of a job to all peers and then keeps it for the callers of this process.
func (service *Service) broadcastEnd(ctx context.Context, record *Record) {
	text, err := record.encode()
	if err != nil {
		service.Logger.Error("end of a job not sent to the peers", "job", record.Job,
			"organisation", record.Organisation, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, peer := range service.View.Live() {
		if peer.Client == nil {
			continue
		}
		group.Go(func() {
			_, err := peer.Client.JobEnds(ctx, connect.NewRequest(&peerv1.JobEndsRequest{RecordsJson: [][]byte{text}}))
			if err != nil {
				service.Logger.Debug("end of a job not sent to a peer", "peer", peer.VM.ID, "job", record.Job,
					"error", err)
			}
		})
	}
	group.Wait()
	service.addUnwrittenEnd(record)
}

// applyUnwrittenEnd ends a job with an end that is not in the store yet, and writes the end to the store.
func (owner *owner) applyUnwrittenEnd(record *Record) {
	job := owner.jobs[record.Key()]
	if job == nil || job.phase == phaseDone {
		return
	}
	if job.record.Attempt > record.Attempt {
		owner.service.removeUnwrittenEnd(record.Key())
		return
	}
	owner.removeFromCore(job)
	owner.releaseLeases(job)
	delete(owner.recovering, record.Key())
	delete(owner.awaitingStore, record.Key())
	revision := job.revision
	job.record = *record
	job.revision = revision
	job.endBroadcast = true
	owner.saveLater(job)
}
