package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	retryAfter = time.Second
	// Documents of edits that lost a race, and whose process then failed, may occupy the next numbers.
	maxDocumentNumbers = 32
	maxEditID          = 128
	// resolveTime bounds the search for an edit whose answer was lost.
	resolveTime = 3 * time.Second
)

// edit is a checked request.
type edit struct {
	id           string
	seen         fleet.Revision
	organisation fleet.OrganisationID
	// document is nil if the organisation is to be removed.
	document []byte
	parsed   *profile.Organisation
}

func (requested *edit) sum() string {
	return sumOf(fmt.Appendf(nil, "%s\n%s", requested.organisation, requested.document))
}

// Apply accepts an edit and returns its revision. Errors are of type *fault.Error: Conflict if another edit was
// accepted since the revision that the operator saw, AnswerLost if the same edit has to be sent again to learn its
// outcome. The same edit sent again gets the same revision.
func (distributor *Distributor) Apply(
	ctx context.Context, request *operatorv1.ApplyRequest,
) (*operatorv1.ApplyResponse, error) {
	requested, err := distributor.parseEdit(request)
	if err != nil {
		return nil, err
	}
	select {
	case distributor.editing <- struct{}{}:
		defer func() { <-distributor.editing }()
	case <-ctx.Done():
		return nil, fault.New(fault.DeadlineBeforeStart, "another edit is in progress")
	}
	revision, err := distributor.accept(ctx, requested)
	if err != nil {
		refusal := fault.FromError(err)
		distributor.count("refused." + string(refusal.Kind))
		return nil, refusal
	}
	distributor.count("accepted")
	return &operatorv1.ApplyResponse{Revision: int64(revision)}, nil
}

func (distributor *Distributor) parseEdit(request *operatorv1.ApplyRequest) (*edit, error) {
	requested := &edit{
		id:           request.GetEditId(),
		seen:         fleet.Revision(request.GetSeenRevision()),
		organisation: fleet.OrganisationID(request.GetOrganisation()),
	}
	switch {
	case requested.id == "" || len(requested.id) > maxEditID:
		return nil, fault.New(fault.InvalidArgument, "needs 1 to %d characters", maxEditID).WithField("edit_id")
	case !profile.ValidName(request.GetOrganisation()):
		return nil, fault.New(fault.InvalidArgument, "needs the id of an organisation").WithField("organisation")
	case request.GetDocumentJson() == "":
		return requested, nil
	}
	requested.document = []byte(request.GetDocumentJson())
	parsed, err := distributor.Parse(requested.document)
	if err != nil {
		return nil, fault.New(fault.InvalidArgument, "%v", err).WithField("document_json")
	}
	if parsed.ID != requested.organisation {
		return nil, fault.New(fault.InvalidArgument, "document is that of organisation %q", parsed.ID).
			WithField("organisation")
	}
	requested.parsed = parsed
	return requested, nil
}

func (distributor *Distributor) accept(ctx context.Context, requested *edit) (fleet.Revision, error) {
	base, stored, err := distributor.newest(ctx)
	if err != nil {
		return 0, err
	}
	if known, ok := base.head.findEdit(requested.id); ok {
		if known.Sum != requested.sum() {
			return 0, fault.New(fault.InvalidArgument, "id belongs to another edit").WithField("edit_id")
		}
		return known.Revision, nil
	}
	if requested.seen != base.head.Revision {
		return 0, conflict(base.head.Revision)
	}
	if err := distributor.checkResult(base, requested); err != nil {
		return 0, err
	}
	written, err := distributor.writeDocument(ctx, base, requested)
	if err != nil {
		return 0, err
	}
	following := base.head.next(
		acceptedEdit{ID: requested.id, Revision: base.head.Revision + 1, Sum: requested.sum()},
		requested.organisation, written.ref())
	distributor.offer(written)
	defer distributor.offer(nil)
	revision, err := distributor.store.Swap(ctx, headKey, following.encode(), stored.revision)
	switch {
	case err == nil:
		distributor.advance(stored, &observation{head: following, revision: revision})
		return distributor.accepted(base, following, requested)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return distributor.resolve(ctx, base, stored, following, requested)
	}
	distributor.discard(ctx, written)
	if errors.Is(err, platform.ErrConflict) {
		return distributor.lostRace(ctx, requested)
	}
	return 0, unavailable(err)
}

// newest reads the head and brings it into force, so that the edit is checked against what it replaces.
func (distributor *Distributor) newest(ctx context.Context) (*state, *observation, error) {
	for {
		// Asked before the head is read: a revision that is in force here or at a peer by now is not newer than that
		// head, unless the store has regressed.
		best, _ := distributor.highestHeard()
		known := max(best.revision, distributor.Revision())
		stored, err := distributor.readHead(ctx)
		if err != nil {
			return nil, nil, unavailable(err)
		}
		if stored.head.Revision < known {
			distributor.observe(stored)
			return nil, nil, unavailable(errors.New("config_store_regressed: the store holds an older configuration"))
		}
		var loadErr error
		if !distributor.state().sameAs(stored.head) {
			loadErr = distributor.load(ctx, stored)
		}
		present := distributor.state()
		switch {
		case present.head.Revision > stored.head.Revision:
			// Another edit came into force since the head was read.
		case loadErr != nil:
			return nil, nil, unavailable(loadErr)
		case !present.sameAs(stored.head):
			return nil, nil, conflict(present.head.Revision)
		default:
			return present, stored, nil
		}
	}
}

// checkResult refuses an edit whose result the fleet cannot satisfy.
func (distributor *Distributor) checkResult(base *state, requested *edit) error {
	if _, exists := base.config.Organisations[requested.organisation]; requested.parsed == nil && !exists {
		return fault.New(fault.NotFound, "there is no organisation %q", requested.organisation)
	}
	inventory, ok := distributor.Inventory()
	if !ok {
		return fault.New(fault.Starting, "the list of VMs was not read yet").WithRetryAfter(retryAfter)
	}
	err := distributor.Check(withEdit(base.config, requested), inventory)
	var refusal *fault.Error
	if err == nil || errors.As(err, &refusal) {
		return err
	}
	return fault.New(fault.Unsatisfiable, "%v", err)
}

// withEdit returns the configuration that an edit results in.
func withEdit(config *profile.Config, requested *edit) *profile.Config {
	result := &profile.Config{
		Revision:      config.Revision + 1,
		Organisations: make(map[fleet.OrganisationID]*profile.Organisation, len(config.Organisations)+1),
	}
	for id, organisation := range config.Organisations {
		result.Organisations[id] = organisation
	}
	delete(result.Organisations, requested.organisation)
	if requested.parsed != nil {
		result.Organisations[requested.organisation] = requested.parsed
	}
	return result
}

// writtenDocument is a document that is not part of a head yet.
type writtenDocument struct {
	key       string
	reference documentRef
	revision  platform.StoreRevision
	document  []byte
}

func (written *writtenDocument) ref() *documentRef {
	if written == nil {
		return nil
	}
	return &written.reference
}

// writeDocument writes the document under a number that was never used. Numbers that are taken belong to edits that
// run at the same time or that were given up.
func (distributor *Distributor) writeDocument(
	ctx context.Context, base *state, requested *edit,
) (*writtenDocument, error) {
	if requested.document == nil {
		return nil, nil
	}
	first := max(int64(base.head.Revision), base.head.Documents[requested.organisation].Number) + 1
	for number := first; number < first+maxDocumentNumbers; number++ {
		key := documentKey(requested.organisation, number)
		revision, err := distributor.store.Swap(ctx, key, requested.document, 0)
		if err == nil {
			return &writtenDocument{key, newDocumentRef(number, requested.document), revision, requested.document}, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			// Without a head that names it, the document has no effect.
			return nil, unavailable(err)
		}
	}
	return nil, fault.New(fault.Internal, "%d document numbers from %d on are taken", maxDocumentNumbers, first)
}

// offer keeps the document of the edit in progress at hand: the watch may show its head before Swap returns.
func (distributor *Distributor) offer(written *writtenDocument) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	distributor.offered = written
}

// accepted brings an accepted edit into force. This comes before the answer, so that a process has the configuration
// in memory if the store loses it.
func (distributor *Distributor) accepted(base *state, following *head, requested *edit) (fleet.Revision, error) {
	documents := map[fleet.OrganisationID][]byte{requested.organisation: requested.document}
	built, err := build(following, base, documents, distributor.Parse)
	if err != nil {
		return 0, err
	}
	distributor.install(built, true)
	if replaced, ok := base.head.Documents[requested.organisation]; ok {
		distributor.mu.Lock()
		distributor.replaced = append(distributor.replaced, documentKey(requested.organisation, replaced.Number))
		distributor.mu.Unlock()
		distributor.signal()
	}
	return following.Revision, nil
}

// discard removes the document of an edit that was not accepted, as far as the store allows.
func (distributor *Distributor) discard(ctx context.Context, written *writtenDocument) {
	if written == nil {
		return
	}
	if err := distributor.store.Delete(ctx, written.key, written.revision); err != nil {
		distributor.Logger.Debug("document of a refused edit stays in the store", "key", written.key, "error", err)
	}
}

// lostRace answers an edit whose swap of the head failed because the head had changed. The winner may be the same
// edit, sent to another process.
func (distributor *Distributor) lostRace(ctx context.Context, requested *edit) (fleet.Revision, error) {
	stored, err := distributor.readHead(ctx)
	if err != nil {
		return 0, conflict(distributor.Revision())
	}
	if known, ok := stored.head.findEdit(requested.id); ok && known.Sum == requested.sum() {
		return known.Revision, distributor.load(ctx, stored)
	}
	return 0, conflict(stored.head.Revision)
}

// resolve finds out whether an edit was accepted whose answer was lost.
func (distributor *Distributor) resolve(
	ctx context.Context, base *state, before *observation, following *head, requested *edit,
) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTime)
	defer cancel()
	backoff := platform.Backoff{First: 100 * time.Millisecond, Max: time.Second, Random: distributor.Random}
	for ctx.Err() == nil {
		stored, err := distributor.readHead(ctx)
		if err == nil && stored.revision != before.revision {
			if known, ok := stored.head.findEdit(requested.id); ok && known == following.lastEdit() {
				return distributor.accepted(base, following, requested)
			}
			if stored.head.Revision > before.head.Revision {
				return 0, conflict(stored.head.Revision)
			}
		}
		pause(ctx, backoff.Next())
	}
	return 0, fault.New(fault.AnswerLost, "it is not known whether edit %s was accepted; send it again", requested.id)
}

func conflict(revision fleet.Revision) error {
	return fault.New(fault.Conflict, "the configuration is at revision %d", revision)
}

func unavailable(err error) error {
	return fault.New(fault.StoreUnavailable, "%v", err).WithRetryAfter(retryAfter)
}
