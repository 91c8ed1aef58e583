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

// listInsteadOfGet is the number of missing documents above which they are read by List, which has a hundred a page.
const listInsteadOfGet = 8

// CatchUp does one step of Run: it takes what the store has shown and what the peers have reported, and repairs a
// store that has regressed. It returns an error if this process or the store stays behind.
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
	// A document that has been replaced since is missing; the watch then shows the head that replaced it.
	return distributor.load(ctx, seen)
}

// load reads the missing documents of a head from the store and brings it into force.
func (distributor *Distributor) load(ctx context.Context, seen *observation) error {
	distributor.mu.Lock()
	base, offered := distributor.current, distributor.offered
	distributor.mu.Unlock()
	missing := map[string]fleet.OrganisationID{}
	for id, ref := range seen.head.Documents {
		if !base.holds(id, ref) {
			missing[documentKey(id, ref.Number)] = id
		}
	}
	documents := make(map[fleet.OrganisationID][]byte, len(missing))
	if offered != nil {
		if id, ok := missing[offered.key]; ok {
			documents[id] = offered.document
			delete(missing, offered.key)
		}
	}
	if err := distributor.readDocuments(ctx, missing, documents); err != nil {
		return err
	}
	built, err := build(seen.head, base, documents, distributor.Parse)
	if err != nil {
		return err
	}
	distributor.install(built, true)
	distributor.count("loaded")
	return nil
}

// readDocuments reads the documents of some keys into the map.
func (distributor *Distributor) readDocuments(
	ctx context.Context, missing map[string]fleet.OrganisationID, into map[fleet.OrganisationID][]byte,
) error {
	if len(missing) > listInsteadOfGet {
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

// repair writes the configuration in force back to a store that holds an older one.
func (distributor *Distributor) repair(ctx context.Context) error {
	if distributor.StoreRegressed() {
		pause(ctx, time.Duration(distributor.Random()*float64(repairSpread)))
	}
	// A watch may lag behind a write of this process or of a peer; only a read proves a regression of what was in
	// force before it.
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

// writeBack writes the documents that the store lacks and then the head.
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

// removeReplaced removes documents that edits of this process have replaced. What it cannot remove stays.
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
			distributor.Logger.Debug("replaced document stays in the store", "key", key, "error", err)
		}
	}
}

// followPeers pulls from the peer with the highest revision, if that is higher than the one in force.
func (distributor *Distributor) followPeers(ctx context.Context) error {
	best, ok := distributor.highestHeard()
	if !ok || best.revision <= distributor.Revision() || best.source.Client == nil {
		return nil
	}
	if err := distributor.pull(ctx, best.source, distributor.state()); err != nil {
		// The documents that this process holds may differ from those of the peer under the same number.
		return distributor.pull(ctx, best.source, emptyState())
	}
	return nil
}

// highestHeard returns the highest revision that a peer reported lately.
func (distributor *Distributor) highestHeard() (heard, bool) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	var best heard
	for id, report := range distributor.heard {
		if time.Since(report.at) > heardFor {
			delete(distributor.heard, id)
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
	built, err := build(pulled, base, documents, distributor.Parse)
	if err != nil {
		return err
	}
	distributor.install(built, false)
	distributor.count("pulled")
	return nil
}

// PullConfig serves the configuration in force to a peer that is behind.
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

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
