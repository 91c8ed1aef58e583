// Package operator accepts edits of the configuration from operators, stores them and distributes accepted ones to all
// processes.
//
// The configuration consists of one immutable document per organisation and the head, which names the documents in
// force and the evacuated data centres. Each accepted edit changes the document of one organisation or the evacuation of
// one data centre, replaces the head and increases the revision of the configuration by one. The store has regressed when it contains an older head than it did before, because it has
// lost its newer contents.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	headKey         = "config/head"
	documentsPrefix = "config/organisations/"
	// recentEdits is the number of accepted edits that the head keeps in order to recognise repeated edits. At 5,500
	// edits a day they cover a quarter of an hour. A repetition after that is refused with Conflict, because the
	// revision on which it is based is no longer in force.
	recentEdits = 64
	sumLength   = 12
)

// documentRef refers to one immutable document. Its text form is <number>-<sum>.
type documentRef struct {
	// Number is the last part of the document's key. It increases with each document of an organisation.
	Number int64
	// Sum is a prefix of the hex-encoded SHA-256 hash of the document. It distinguishes two documents with the same
	// number, which exist if one was written before and the other after the store lost its newer contents.
	Sum string
}

func newDocumentRef(number int64, document []byte) documentRef {
	return documentRef{Number: number, Sum: sumOf(document)}
}

func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])[:sumLength]
}

// MarshalText encodes the reference as <number>-<sum>.
func (ref documentRef) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d-%s", ref.Number, ref.Sum), nil
}

// UnmarshalText decodes a reference in the form <number>-<sum>.
func (ref *documentRef) UnmarshalText(text []byte) error {
	number, sum, found := strings.Cut(string(text), "-")
	parsed, err := strconv.ParseInt(number, 10, 64)
	if err != nil || !found {
		return errors.Errorf("document reference %q is malformed", text)
	}
	ref.Number, ref.Sum = parsed, sum
	return nil
}

func documentKey(id fleet.OrganisationID, number int64) string {
	return documentsPrefix + string(id) + "/" + strconv.FormatInt(number, 10)
}

// acceptedEdit is an entry of the head for a recently accepted edit.
type acceptedEdit struct {
	ID       string         `json:"edit_id"`
	Revision fleet.Revision `json:"revision"`
	// Sum is a hash of the requested change. It serves to reject a different edit that has the id of this one.
	Sum string `json:"sum"`
}

// head is the value of headKey in the store. It names the documents that form the configuration of one revision. An
// edit is accepted when the head that contains it is stored.
type head struct {
	Revision  fleet.Revision                       `json:"revision"`
	Documents map[fleet.OrganisationID]documentRef `json:"documents"`
	// Edits holds the last accepted edits, newest last. The last one is always the edit that created Revision.
	Edits []acceptedEdit `json:"edits"`
	// Evacuations holds the evacuated data centres.
	Evacuations map[fleet.DataCentreID]profile.Evacuation `json:"evacuations,omitempty"`
}

// lastEdit returns the edit that created the revision of this head. It is empty before the first edit.
func (current *head) lastEdit() acceptedEdit {
	if len(current.Edits) == 0 {
		return acceptedEdit{}
	}
	return current.Edits[len(current.Edits)-1]
}

func (current *head) findEdit(id string) (acceptedEdit, bool) {
	for _, edit := range current.Edits {
		if edit.ID == id {
			return edit, true
		}
	}
	return acceptedEdit{}, false
}

// next returns the head that results from an edit of one organisation. A nil ref removes the organisation.
func (current *head) next(edit acceptedEdit, id fleet.OrganisationID, ref *documentRef) *head {
	next := &head{
		Revision: edit.Revision, Documents: maps.Clone(current.Documents), Evacuations: current.Evacuations,
	}
	if next.Documents == nil {
		next.Documents = map[fleet.OrganisationID]documentRef{}
	}
	if ref == nil {
		delete(next.Documents, id)
	} else {
		next.Documents[id] = *ref
	}
	kept := current.Edits[max(0, len(current.Edits)+1-recentEdits):]
	next.Edits = append(next.Edits, kept...)
	next.Edits = append(next.Edits, edit)
	return next
}

func (current *head) encode() []byte {
	data, err := json.Marshal(current)
	if err != nil {
		panic(errors.Wrap(err, "encode head"))
	}
	return data
}

func decodeHead(data []byte) (*head, error) {
	decoded := &head{}
	if err := json.Unmarshal(data, decoded); err != nil {
		return nil, errors.Wrap(err, "decode head")
	}
	return decoded, nil
}

// state is an accepted configuration together with the encoded documents that peers can pull. It is immutable.
type state struct {
	head *head
	// documents holds the encoded document of every organisation in head.
	documents map[fleet.OrganisationID][]byte
	config    *profile.Config
}

// emptyState returns the state before the first edit.
func emptyState() *state {
	return &state{head: &head{}, config: &profile.Config{}}
}

// holds reports whether the state contains the document that a reference of an organisation refers to.
func (current *state) holds(id fleet.OrganisationID, ref documentRef) bool {
	held, ok := current.head.Documents[id]
	return ok && held == ref
}

// sameAs reports whether a head has the revision and the last edit of this state.
func (current *state) sameAs(other *head) bool {
	return current.head.Revision == other.Revision && current.head.lastEdit() == other.lastEdit()
}

// buildState returns the state of a head. It takes each document from base if base contains it, and from documents
// otherwise. It returns an error if a document is in neither or cannot be parsed.
func buildState(
	accepted *head, base *state, documents map[fleet.OrganisationID][]byte,
	parse func([]byte) (*profile.Organisation, error),
) (*state, error) {
	built := &state{
		head:      accepted,
		documents: make(map[fleet.OrganisationID][]byte, len(accepted.Documents)),
		config: &profile.Config{
			Revision:      accepted.Revision,
			Organisations: make(map[fleet.OrganisationID]*profile.Organisation, len(accepted.Documents)),
			Evacuations:   accepted.Evacuations,
		},
	}
	for id, ref := range accepted.Documents {
		if base.holds(id, ref) {
			built.documents[id] = base.documents[id]
			built.config.Organisations[id] = base.config.Organisations[id]
			continue
		}
		document, ok := documents[id]
		if !ok || sumOf(document) != ref.Sum {
			return nil, errors.Errorf("document %d of organisation %s is missing or does not match its hash",
				ref.Number, id)
		}
		organisation, err := parse(document)
		if err != nil {
			return nil, errors.Wrapf(err, "document %d of organisation %s", ref.Number, id)
		}
		built.documents[id] = document
		built.config.Organisations[id] = organisation
	}
	return built, nil
}
