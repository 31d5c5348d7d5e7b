package replicator

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/parser"
)

// Bounds of a stored document.
const (
	// TailLength is the number of audit entries that a document keeps.
	TailLength = 16
	// MaxStoredBytes is the maximum size of a stored document in bytes.
	MaxStoredBytes = 900 << 10
	// maxTailEntryBytes is the maximum size of an audit entry in the tail. The list of
	// changes of a larger one is stored under its own key.
	maxTailEntryBytes = 4 << 10
)

// State is a document at one version, with the tail (latest entries) of its audit trail.
type State struct {
	ref      Ref
	document parser.Document
	tail     []Entry
	patch    []byte // delta from the previous state, if it was received as one
}

// Ref identifies the version.
func (s *State) Ref() Ref { return s.ref }

// Document is the configuration document.
func (s *State) Document() parser.Document { return s.document }

// Tail lists the latest audit entries, oldest first.
func (s *State) Tail() []Entry { return s.tail }

// LastEntry is the audit entry of the change that made this state.
func (s *State) LastEntry() Entry { return s.tail[len(s.tail)-1] }

// FindChange looks up a change in the tail by its ID.
func (s *State) FindChange(change string) (Entry, bool) {
	for _, e := range s.tail {
		if e.changeID == change {
			return e, true
		}
	}
	return Entry{}, false
}

// TailCovers reports whether the tail reaches back to an epoch and revision: if it does,
// it contains the change that made that version, provided that this state descends from
// it.
func (s *State) TailCovers(epoch, revision uint64) bool {
	first := s.tail[0]
	return first.revision == 1 || !(Entry{epoch: epoch, revision: revision}).olderThan(first)
}

// DescendsFrom reports whether s descends from o: the change that made o is in the tail of
// s. It also reports true if the tail no longer reaches back that far.
func (s *State) DescendsFrom(o *State) bool {
	if !s.TailCovers(o.ref.epoch, o.ref.revision) {
		return true
	}
	_, ok := s.FindChange(o.LastEntry().changeID)
	return ok
}

// NextState returns the state after a change of s, which is nil if the document does not
// exist yet, and the list of changes.
func NextState(s *State, d parser.Document, a Author) (*State, []parser.Change) {
	var before parser.Document
	ref := Ref{key: KeyOf(d), epoch: 1, revision: 1, digest: parser.Digest(d)}
	var tail []Entry
	if s != nil {
		before = s.document
		ref.epoch, ref.revision = s.ref.epoch, s.ref.revision+1
		tail = s.tail
	}
	changes := parser.Diff(before, d)
	return &State{ref: ref, document: d, tail: appendToTail(tail, newEntry(ref, a, changes))}, changes
}

// Reconcile returns a state that replaces what the store holds, which may be nil, by the
// highest state that the fleet serves: the same document in a new epoch.
func Reconcile(fleet, store *State, a Author) *State {
	ref := fleet.ref
	var before parser.Document
	if store != nil {
		before = store.document
		ref.epoch = max(ref.epoch, store.ref.epoch)
		ref.revision = max(ref.revision, store.ref.revision)
	}
	ref.epoch++
	ref.revision++
	entry := newEntry(ref, a, parser.Diff(before, fleet.document))
	return &State{ref: ref, document: fleet.document, tail: appendToTail(fleet.tail, entry)}
}

func newEntry(ref Ref, a Author, changes []parser.Change) Entry {
	e := Entry{
		who: a.who, at: a.at, changeID: a.changeID, reason: a.reason,
		epoch: ref.epoch, revision: ref.revision, changes: changes,
	}
	if b, err := json.Marshal(e); err != nil || len(b) > maxTailEntryBytes {
		e.changes, e.changesDetached = nil, true
	}
	return e
}

func appendToTail(tail []Entry, entries ...Entry) []Entry {
	out := append(append([]Entry(nil), tail...), entries...)
	if len(out) > TailLength {
		out = out[len(out)-TailLength:]
	}
	return out
}

type stateBody struct {
	Kind     parser.Kind     `json:"kind"`
	Name     string          `json:"name,omitempty"`
	Epoch    uint64          `json:"epoch"`
	Revision uint64          `json:"revision"`
	Digest   string          `json:"digest"`
	Body     json.RawMessage `json:"body"`
	Audit    []Entry         `json:"audit"`
}

// Encode encodes the state as it is stored and sent to peers that need the whole
// document.
func (s *State) Encode() []byte {
	b, err := json.Marshal(stateBody{
		Kind: s.document.Kind(), Name: setName(s.document),
		Epoch: s.ref.epoch, Revision: s.ref.revision, Digest: s.ref.digest,
		Body: parser.Encode(s.document), Audit: s.tail,
	})
	if err != nil {
		panic(err) // unreachable: every part was decoded from or encoded as JSON
	}
	return b
}

// CorruptError says that stored or received data is not a valid document state.
type CorruptError struct {
	key   string
	cause string
}

// Key is the store key of the document.
func (e *CorruptError) Key() string { return e.key }

// Error names the key and the problem.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("document %s is damaged: %s", e.key, e.cause)
}

// Decode decodes the stored document of a key. The error is a *CorruptError or a
// *tier.InvalidError.
func Decode(key string, data []byte) (*State, error) {
	var body stateBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Wrap(&CorruptError{key: key, cause: err.Error()}, "Decode")
	}
	d, err := parser.Parse(body.Kind, body.Body)
	if err != nil {
		return nil, errors.Wrap(err, "Decode")
	}
	s := &State{ref: NewRef(key, body.Epoch, body.Revision, body.Digest), document: d, tail: body.Audit}
	return s, errors.Wrap(s.check(), "Decode")
}

// check verifies that digest, key and audit tail of a decoded state are consistent.
func (s *State) check() error {
	switch {
	case KeyOf(s.document) != s.ref.key:
		return &CorruptError{key: s.ref.key, cause: "it contains the document of key " + KeyOf(s.document)}
	case parser.Digest(s.document) != s.ref.digest:
		return &CorruptError{key: s.ref.key, cause: "its digest does not match"}
	case len(s.tail) == 0:
		return &CorruptError{key: s.ref.key, cause: "it has no audit entry"}
	case s.LastEntry().epoch != s.ref.epoch || s.LastEntry().revision != s.ref.revision:
		return &CorruptError{key: s.ref.key, cause: "its last audit entry has another revision"}
	default:
		return nil
	}
}
