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

// broadcastTimeout bounds the telling of one peer.
const broadcastTimeout = time.Second

// JobEnds takes the ends of jobs whose records the owner could not write yet.
func (service *Service) JobEnds(_ context.Context, request *peerv1.JobEndsRequest) (*peerv1.JobEndsResponse, error) {
	for _, text := range request.RecordsJson {
		record, err := decodeRecord(text)
		if err != nil || record.State != StateEnded {
			return nil, fault.New(fault.InvalidArgument, "not the record of an ended job").WithField("records_json")
		}
		if !service.addUnwrittenEnd(record) {
			continue
		}
		if owned := service.currentOwner(); owned != nil {
			owned.post(func() { owned.applyUnwrittenEnd(record) })
		}
	}
	return &peerv1.JobEndsResponse{}, nil
}

// addUnwrittenEnd holds an end until the store has it. It reports false for one that is superseded.
func (service *Service) addUnwrittenEnd(record *Record) bool {
	held, ok := service.cache.get(record.Key())
	if ok && (held.record.State == StateEnded || held.record.Attempt > record.Attempt) {
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

// broadcastEnd sends an end to all peers and then holds it for this process's own callers.
func (service *Service) broadcastEnd(ctx context.Context, record *Record) {
	text, err := record.encode()
	if err != nil {
		service.Logger.Error("end of a job not told", "job", record.Job, "organisation", record.Organisation, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, live := range service.View.Live() {
		if live.Client == nil {
			continue
		}
		group.Go(func() {
			_, err := live.Client.JobEnds(ctx, connect.NewRequest(&peerv1.JobEndsRequest{RecordsJson: [][]byte{text}}))
			if err != nil {
				service.Logger.Debug("peer not told of the end of a job", "peer", live.VM.ID, "job", record.Job, "error", err)
			}
		})
	}
	group.Wait()
	service.addUnwrittenEnd(record)
}

// applyUnwrittenEnd takes the end of a job from a peer and has it written.
func (owner *owner) applyUnwrittenEnd(record *Record) {
	known := owner.jobs[record.Key()]
	if known == nil || known.phase == phaseDone {
		return
	}
	if known.record.Attempt > record.Attempt {
		owner.service.removeUnwrittenEnd(record.Key())
		return
	}
	owner.removeFromCore(known)
	owner.releaseLeases(known)
	delete(owner.recovering, record.Key())
	delete(owner.awaitingStore, record.Key())
	revision := known.revision
	known.record = *record
	known.revision = revision
	known.endBroadcast = true
	owner.saveLater(known)
}
