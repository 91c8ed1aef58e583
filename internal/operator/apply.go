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
	// maxNumberAttempts is the maximum number of document numbers that one edit tries until it finds an unused one. A
	// number may be occupied by the document of an edit that lost a race and whose process failed before it deleted the
	// document.
	maxNumberAttempts = 32
	maxEditIDLength   = 128
	// resolveTimeout limits how long Apply attempts to determine the outcome of a write whose response from the store
	// was lost.
	resolveTimeout = 3 * time.Second
)

// edit is a validated change of the configuration: an ApplyRequest or, if evacuation is not nil, the evacuation or
// taking back of a data centre.
type edit struct {
	id           string
	seenRevision fleet.Revision
	organisation fleet.OrganisationID
	// document is nil if the edit removes the organisation.
	document []byte
	parsed   *profile.Organisation
	// evacuation is nil for an edit of an organisation's document.
	evacuation *evacuationEdit
}

func (requested *edit) sum() string {
	if requested.evacuation != nil {
		return requested.evacuation.sum()
	}
	return sumOf(fmt.Appendf(nil, "%s\n%s", requested.organisation, requested.document))
}

// Apply accepts an edit and returns its revision. It is idempotent: a repeated edit with the same id gets the same
// revision. Errors are of type *fault.Error. The kind is Conflict if another edit was accepted after the revision on
// which the edit is based, and AnswerLost if the outcome is unknown and the operator has to repeat the edit.
func (distributor *Distributor) Apply(
	ctx context.Context, request *operatorv1.ApplyRequest,
) (*operatorv1.ApplyResponse, error) {
	requested, err := distributor.parseEdit(request)
	if err != nil {
		return nil, err
	}
	select {
	case distributor.editSlot <- struct{}{}:
		defer func() { <-distributor.editSlot }()
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
		seenRevision: fleet.Revision(request.GetSeenRevision()),
		organisation: fleet.OrganisationID(request.GetOrganisation()),
	}
	switch {
	case requested.id == "" || len(requested.id) > maxEditIDLength:
		return nil, fault.New(fault.InvalidArgument, "needs 1 to %d characters", maxEditIDLength).WithField("edit_id")
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
		return nil, fault.New(fault.InvalidArgument, "document belongs to organisation %q", parsed.ID).
			WithField("organisation")
	}
	requested.parsed = parsed
	return requested, nil
}

func (distributor *Distributor) accept(ctx context.Context, requested *edit) (fleet.Revision, error) {
	base, stored, err := distributor.loadNewest(ctx)
	if err != nil {
		return 0, err
	}
	if known, ok := base.head.findEdit(requested.id); ok {
		if known.Sum != requested.sum() {
			return 0, fault.New(fault.InvalidArgument, "id was already used for a different edit").WithField("edit_id")
		}
		return known.Revision, nil
	}
	if err := distributor.checkEdit(base, requested); err != nil {
		return 0, err
	}
	written, err := distributor.writeDocument(ctx, base, requested)
	if err != nil {
		return 0, err
	}
	newHead := base.head.next(
		acceptedEdit{ID: requested.id, Revision: base.head.Revision + 1, Sum: requested.sum()},
		requested.organisation, written.ref())
	if requested.evacuation != nil {
		newHead.Evacuations = requested.evacuation.apply(base.head.Evacuations, newHead.Revision)
	}
	distributor.setInProgress(written)
	defer distributor.setInProgress(nil)
	revision, err := distributor.store.Swap(ctx, headKey, newHead.encode(), stored.revision)
	switch {
	case err == nil:
		distributor.advanceObservation(stored, &observation{head: newHead, revision: revision})
		return distributor.installAccepted(base, newHead, requested)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return distributor.resolveUnknownOutcome(ctx, base, stored, newHead, requested)
	}
	distributor.discardDocument(ctx, written)
	if errors.Is(err, platform.ErrConflict) {
		return distributor.resolveConflict(ctx, requested)
	}
	return 0, unavailable(err)
}

// loadNewest reads the head from the store, brings it into force if it differs from the one in force, and returns the
// resulting state. An edit is thus checked against the configuration that it changes. It returns an error if the store
// has regressed.
func (distributor *Distributor) loadNewest(ctx context.Context) (*state, *observation, error) {
	for {
		// The revisions of this process and its peers are determined before the head is read. If any of them is higher
		// than the head's revision, the store has therefore regressed.
		best, _ := distributor.highestPeerRevision()
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
			loadErr = distributor.loadHead(ctx, stored)
		}
		present := distributor.state()
		switch {
		case present.head.Revision > stored.head.Revision:
			// Another edit came into force after the head was read.
		case loadErr != nil:
			return nil, nil, unavailable(loadErr)
		case !present.sameAs(stored.head):
			return nil, nil, conflict(present.head.Revision)
		default:
			return present, stored, nil
		}
	}
}

// checkEdit returns an error if an edit is based on an old revision, or if its result would be refused.
func (distributor *Distributor) checkEdit(base *state, requested *edit) error {
	if requested.evacuation != nil {
		return distributor.checkEvacuation(base, requested.evacuation)
	}
	if requested.seenRevision != base.head.Revision {
		return conflict(base.head.Revision)
	}
	return distributor.checkResult(base, requested)
}

// checkResult returns an error if the organisation that an edit removes does not exist, or if the fleet cannot satisfy
// the configuration that results from the edit.
func (distributor *Distributor) checkResult(base *state, requested *edit) error {
	if _, exists := base.config.Organisations[requested.organisation]; requested.parsed == nil && !exists {
		return fault.New(fault.NotFound, "organisation %q does not exist", requested.organisation)
	}
	inventory, ok := distributor.Inventory()
	if !ok {
		return fault.New(fault.Starting, "the list of VMs has not been read yet").WithRetryAfter(retryAfter)
	}
	err := distributor.Check(withEdit(base.config, requested), inventory)
	var refusal *fault.Error
	if err == nil || errors.As(err, &refusal) {
		return err
	}
	return fault.New(fault.Unsatisfiable, "%v", err)
}

// withEdit returns the configuration that results from an edit.
func withEdit(config *profile.Config, requested *edit) *profile.Config {
	result := &profile.Config{
		Revision:      config.Revision + 1,
		Organisations: make(map[fleet.OrganisationID]*profile.Organisation, len(config.Organisations)+1),
		Evacuations:   config.Evacuations,
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

// writtenDocument is a document that is stored but that no head refers to yet.
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

// writeDocument stores the document of an edit under an unused number. Numbers in use belong to concurrent edits or to
// edits that ended without deleting their document.
func (distributor *Distributor) writeDocument(
	ctx context.Context, base *state, requested *edit,
) (*writtenDocument, error) {
	if requested.document == nil {
		return nil, nil
	}
	first := max(int64(base.head.Revision), base.head.Documents[requested.organisation].Number) + 1
	for number := first; number < first+maxNumberAttempts; number++ {
		key := documentKey(requested.organisation, number)
		revision, err := distributor.store.Swap(ctx, key, requested.document, 0)
		if err == nil {
			return &writtenDocument{key, newDocumentRef(number, requested.document), revision, requested.document}, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			// The document has no effect, even if it was stored, because no head refers to it.
			return nil, unavailable(err)
		}
	}
	return nil, fault.New(fault.Internal, "no free document number: %d numbers from %d on are in use",
		maxNumberAttempts, first)
}

// setInProgress provides the document of the edit in progress to loadHead, because the watch may deliver the new head
// before Swap returns. A call with nil removes the document when the edit has ended.
func (distributor *Distributor) setInProgress(written *writtenDocument) {
	distributor.mu.Lock()
	defer distributor.mu.Unlock()
	distributor.inProgress = written
}

// installAccepted brings an accepted edit into force in this process and queues the replaced document for deletion. It
// runs before the operator gets the response, so that at least one process holds the configuration in memory if the
// store loses it.
func (distributor *Distributor) installAccepted(base *state, newHead *head, requested *edit) (fleet.Revision, error) {
	documents := map[fleet.OrganisationID][]byte{requested.organisation: requested.document}
	built, err := buildState(newHead, base, documents, distributor.Parse)
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
	return newHead.Revision, nil
}

// discardDocument deletes the document of a rejected edit. A failure is only logged: the document stays in the store.
func (distributor *Distributor) discardDocument(ctx context.Context, written *writtenDocument) {
	if written == nil {
		return
	}
	if err := distributor.store.Delete(ctx, written.key, written.revision); err != nil {
		distributor.Logger.Debug("failed to delete the document of a rejected edit", "key", written.key, "error", err)
	}
}

// resolveConflict returns the result of an edit whose swap of the head failed because the head had changed. The change
// may be the same edit, sent to another process.
func (distributor *Distributor) resolveConflict(ctx context.Context, requested *edit) (fleet.Revision, error) {
	stored, err := distributor.readHead(ctx)
	if err != nil {
		return 0, conflict(distributor.Revision())
	}
	if known, ok := stored.head.findEdit(requested.id); ok && known.Sum == requested.sum() {
		return known.Revision, distributor.loadHead(ctx, stored)
	}
	return 0, conflict(stored.head.Revision)
}

// resolveUnknownOutcome determines whether an edit was accepted if the response to the swap of its head was lost.
func (distributor *Distributor) resolveUnknownOutcome(
	ctx context.Context, base *state, before *observation, newHead *head, requested *edit,
) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	backoff := platform.Backoff{First: 100 * time.Millisecond, Max: time.Second, Random: distributor.Random}
	for ctx.Err() == nil {
		stored, err := distributor.readHead(ctx)
		if err == nil && stored.revision != before.revision {
			if known, ok := stored.head.findEdit(requested.id); ok && known == newHead.lastEdit() {
				return distributor.installAccepted(base, newHead, requested)
			}
			if stored.head.Revision > before.head.Revision {
				return 0, conflict(stored.head.Revision)
			}
		}
		sleep(ctx, backoff.Next())
	}
	return 0, fault.New(fault.AnswerLost, "the outcome of edit %s is unknown; send the same edit again", requested.id)
}

func conflict(revision fleet.Revision) error {
	return fault.New(fault.Conflict, "the configuration is at revision %d", revision)
}

func unavailable(err error) error {
	return fault.New(fault.StoreUnavailable, "%v", err).WithRetryAfter(retryAfter)
}
