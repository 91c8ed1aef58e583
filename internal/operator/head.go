// Package operator speaks to operators: it accepts edits of the configuration and brings accepted ones into force.
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
	// The head keeps this many accepted edits. At 5,500 edits a day this covers a quarter of an hour, in which a
	// repeated edit is recognised; a later repetition is a conflict, since the revision it saw is old.
	recentEdits = 64
	sumLength   = 12
)

// documentRef names one immutable document. It is written as <number>-<sum>.
type documentRef struct {
	// Number is the last part of the document's key. It grows with each document of an organisation.
	Number int64
	// Sum is the start of the hex SHA-256 hash of the document. It tells apart two documents of one number that
	// were written before and after the store lost its newer contents.
	Sum string
}

func newDocumentRef(number int64, document []byte) documentRef {
	return documentRef{Number: number, Sum: sumOf(document)}
}

func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])[:sumLength]
}

// MarshalText writes the reference.
func (ref documentRef) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d-%s", ref.Number, ref.Sum), nil
}

// UnmarshalText reads the reference.
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

// acceptedEdit is an edit that the head remembers.
type acceptedEdit struct {
	ID       string         `json:"edit_id"`
	Revision fleet.Revision `json:"revision"`
	// Sum identifies what the edit asked for, so that an id that is used for another edit is refused.
	Sum string `json:"sum"`
}

// head is the value of headKey. Writing it accepts an edit.
type head struct {
	Revision  fleet.Revision                       `json:"revision"`
	Documents map[fleet.OrganisationID]documentRef `json:"documents"`
	// Edits are the last accepted edits, newest last; that of Revision is always among them.
	Edits []acceptedEdit `json:"edits"`
}

// lastEdit returns the edit that made this revision.
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

// next returns the head after an edit of one organisation; nil removes the organisation.
func (current *head) next(edit acceptedEdit, id fleet.OrganisationID, ref *documentRef) *head {
	following := &head{Revision: edit.Revision, Documents: maps.Clone(current.Documents)}
	if following.Documents == nil {
		following.Documents = map[fleet.OrganisationID]documentRef{}
	}
	if ref == nil {
		delete(following.Documents, id)
	} else {
		following.Documents[id] = *ref
	}
	kept := current.Edits[max(0, len(current.Edits)+1-recentEdits):]
	following.Edits = append(following.Edits, kept...)
	following.Edits = append(following.Edits, edit)
	return following
}

func (current *head) encode() []byte {
	data, err := json.Marshal(current)
	if err != nil {
		panic(errors.Wrap(err, "head cannot be encoded"))
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

// state is one accepted configuration with all that is needed to pass it on. It is never changed once made.
type state struct {
	head *head
	// documents holds the document of every organisation of head.
	documents map[fleet.OrganisationID][]byte
	config    *profile.Config
}

// emptyState stands for the configuration before the first edit.
func emptyState() *state {
	return &state{head: &head{}, config: &profile.Config{}}
}

// holds reports whether the state has the document of a reference.
func (current *state) holds(id fleet.OrganisationID, ref documentRef) bool {
	held, ok := current.head.Documents[id]
	return ok && held == ref
}

// sameAs reports whether a head is the one of this state.
func (current *state) sameAs(other *head) bool {
	return current.head.Revision == other.Revision && current.head.lastEdit() == other.lastEdit()
}

// build makes the state of a head from documents, and takes what base already has from there.
func build(
	accepted *head, base *state, documents map[fleet.OrganisationID][]byte,
	parse func([]byte) (*profile.Organisation, error),
) (*state, error) {
	built := &state{
		head:      accepted,
		documents: make(map[fleet.OrganisationID][]byte, len(accepted.Documents)),
		config: &profile.Config{
			Revision:      accepted.Revision,
			Organisations: make(map[fleet.OrganisationID]*profile.Organisation, len(accepted.Documents)),
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
			return nil, errors.Errorf("document %d of organisation %s is missing or differs", ref.Number, id)
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
