package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// maxDocumentGets is the maximum number of documents that are read one by one. More documents are read with List, which
// returns a hundred per page.
const maxDocumentGets = 8

// CatchUp loads newer configurations from the store and from peers, deletes replaced documents, and repairs a store
// that has regressed. Run calls it at the start, after each change, and again after an error. It returns an error if
// this process or the store is still not up to date.
func (distributor *Distributor) CatchUp(ctx context.Context) error {
	distributor.removeReplaced(ctx)
	storeErr := distributor.followStore(ctx)
	peerErr := distributor.followPeers(ctx)
	if storeErr != nil {
		return storeErr
	}
	return peerErr
}

func (distributor *Distributor) followStore(ctx context.Context) error {
	distributor.mu.Lock()
	seen, present, regressed := distributor.observed, distributor.current, distributor.regressed
	distributor.mu.Unlock()
	switch {
	case seen == nil:
		return nil
	case regressed, seen.head.Revision < present.head.Revision:
		return distributor.repair(ctx)
	case present.sameAs(seen.head):
		return nil
	}
	// Loading fails if a document of the head has been replaced and deleted. The watch then delivers the newer head.
	return distributor.loadHead(ctx, seen)
}

// loadHead reads the documents of a head that this process lacks from the store and brings the head into force.
func (distributor *Distributor) loadHead(ctx context.Context, seen *observation) error {
	distributor.mu.Lock()
	base, inProgress := distributor.current, distributor.inProgress
	distributor.mu.Unlock()
	missing := map[string]fleet.OrganisationID{}
	for id, ref := range seen.head.Documents {
		if !base.holds(id, ref) {
			missing[documentKey(id, ref.Number)] = id
		}
	}
	documents := make(map[fleet.OrganisationID][]byte, len(missing))
	if inProgress != nil {
		if id, ok := missing[inProgress.key]; ok {
			documents[id] = inProgress.document
			delete(missing, inProgress.key)
		}
	}
	if err := distributor.readDocuments(ctx, missing, documents); err != nil {
		return err
	}
	built, err := buildState(seen.head, base, documents, distributor.Parse)
	if err != nil {
		return err
	}
	distributor.install(built, true)
	distributor.count("loaded")
	return nil
}

// readDocuments reads the documents of the keys in missing from the store and adds them to the map into.
func (distributor *Distributor) readDocuments(
	ctx context.Context, missing map[string]fleet.OrganisationID, into map[fleet.OrganisationID][]byte,
) error {
	if len(missing) > maxDocumentGets {
		entries, err := distributor.store.List(ctx, documentsPrefix)
		if err != nil {
			return errors.WithMessage(err, "read documents")
		}
		for _, entry := range entries {
			if id, ok := missing[entry.Key]; ok {
				into[id] = entry.Value
			}
		}
		return nil
	}
	for key, id := range missing {
		entry, err := distributor.store.Get(ctx, key)
		if err != nil {
			return errors.WithMessage(err, "read document")
		}
		into[id] = entry.Value
	}
	return nil
}

// repair writes the configuration in force back to a store that holds an older one. The first call that detects the
// regression only sets regressed, and the next call writes to the store.
func (distributor *Distributor) repair(ctx context.Context) error {
	if distributor.StoreRegressed() {
		sleep(ctx, time.Duration(distributor.Random()*float64(maxRepairDelay)))
	}
	// The watch may lag behind a write of this process or a peer. A regression is proven only by a read of the store
	// that returns a lower revision than that of a configuration in force before the read.
	present := distributor.state()
	stored, err := distributor.readHead(ctx)
	if err != nil {
		return err
	}
	if stored.head.Revision >= present.head.Revision {
		distributor.setRegressed(false, present, stored)
		return nil
	}
	if !distributor.StoreRegressed() {
		distributor.setRegressed(true, present, stored)
		return errors.New("config_store_regressed: the store holds an older configuration")
	}
	if err := distributor.writeBack(ctx, present, stored.revision); err != nil {
		return errors.WithMessage(err, "write configuration back")
	}
	present = distributor.state()
	stored, err = distributor.readHead(ctx)
	if err != nil {
		return err
	}
	distributor.setRegressed(stored.head.Revision < present.head.Revision, present, stored)
	return nil
}

func (distributor *Distributor) setRegressed(regressed bool, present *state, stored *observation) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	if regressed && !distributor.regressed {
		distributor.count("store_regressed")
		distributor.Logger.Error("config_store_regressed", "revision", present.head.Revision,
			"store_revision", stored.head.Revision)
	}
	distributor.regressed = regressed
	distributor.signal()
}

// writeBack stores the documents of the configuration in force that the store lacks, and then the head.
func (distributor *Distributor) writeBack(ctx context.Context, present *state, expected platform.StoreRevision) error {
	entries, err := distributor.store.List(ctx, documentsPrefix)
	if err != nil {
		return err
	}
	stored := make(map[string]platform.Entry, len(entries))
	for _, entry := range entries {
		stored[entry.Key] = entry
	}
	for id, ref := range present.head.Documents {
		key := documentKey(id, ref.Number)
		if sumOf(stored[key].Value) == ref.Sum {
			continue
		}
		if _, err := distributor.store.Swap(ctx, key, present.documents[id], stored[key].Revision); err != nil {
			return err
		}
	}
	_, err = distributor.store.Swap(ctx, headKey, present.head.encode(), expected)
	return err
}

// removeReplaced deletes the documents that edits of this process have replaced. It does not retry: a document that it
// cannot delete stays in the store.
func (distributor *Distributor) removeReplaced(ctx context.Context) {
	distributor.mu.Lock()
	keys := distributor.replaced
	distributor.replaced = nil
	regressed := distributor.regressed
	distributor.mu.Unlock()
	for _, key := range keys {
		if regressed {
			return
		}
		entry, err := distributor.store.Get(ctx, key)
		if err == nil {
			err = distributor.store.Delete(ctx, key, entry.Revision)
		}
		if err != nil {
			distributor.Logger.Debug("failed to delete a replaced document", "key", key, "error", err)
		}
	}
}

// followPeers pulls the configuration from the peer with the highest revision if this revision is higher than the one
// in force in this process.
func (distributor *Distributor) followPeers(ctx context.Context) error {
	best, ok := distributor.highestPeerRevision()
	if !ok || best.revision <= distributor.Revision() || best.source.Client == nil {
		return nil
	}
	if err := distributor.pull(ctx, best.source, distributor.state()); err != nil {
		// The first pull requests only the documents whose numbers differ from those held here. It fails if the peer
		// has another document under the same number. The second pull therefore requests all documents.
		return distributor.pull(ctx, best.source, emptyState())
	}
	return nil
}

// highestPeerRevision returns the highest revision that a peer reported within peerRevisionTTL.
func (distributor *Distributor) highestPeerRevision() (peerRevision, bool) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	var best peerRevision
	for id, report := range distributor.peerRevisions {
		if time.Since(report.reportedAt) > peerRevisionTTL {
			delete(distributor.peerRevisions, id)
			continue
		}
		if report.revision > best.revision {
			best = report
		}
	}
	return best, best.revision > 0
}

func (distributor *Distributor) pull(ctx context.Context, source peer.Peer, base *state) error {
	bounded, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &peerv1.PullConfigRequest{Held: map[string]int64{}, Revision: int64(distributor.Revision())}
	for id, ref := range base.head.Documents {
		request.Held[string(id)] = ref.Number
	}
	response, err := source.Client.PullConfig(bounded, connect.NewRequest(request))
	if err != nil {
		return errors.Wrapf(err, "pull configuration from %s", source.VM.ID)
	}
	if len(response.Msg.GetHeadJson()) == 0 {
		return nil
	}
	pulled, err := decodeHead(response.Msg.GetHeadJson())
	if err != nil {
		return err
	}
	documents := make(map[fleet.OrganisationID][]byte, len(response.Msg.GetDocumentsJson()))
	for id, document := range response.Msg.GetDocumentsJson() {
		documents[fleet.OrganisationID(id)] = document
	}
	built, err := buildState(pulled, base, documents, distributor.Parse)
	if err != nil {
		return err
	}
	distributor.install(built, false)
	distributor.count("pulled")
	return nil
}

// PullConfig returns the configuration in force to a peer with a lower revision, without the documents whose numbers
// the peer already holds. The response is empty if the peer's revision is not lower.
func (distributor *Distributor) PullConfig(
	_ context.Context, request *connect.Request[peerv1.PullConfigRequest],
) (*connect.Response[peerv1.PullConfigResponse], error) {
	present := distributor.state()
	response := &peerv1.PullConfigResponse{}
	if int64(present.head.Revision) <= request.Msg.GetRevision() {
		return connect.NewResponse(response), nil
	}
	response.HeadJson = present.head.encode()
	response.DocumentsJson = map[string][]byte{}
	for id, ref := range present.head.Documents {
		if held, ok := request.Msg.GetHeld()[string(id)]; !ok || held != ref.Number {
			response.DocumentsJson[string(id)] = present.documents[id]
		}
	}
	return connect.NewResponse(response), nil
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
