package replicator

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/parser"
)

// Bounds of a stored document.
const (
	// TailLength is how many audit entries a document keeps.
	TailLength = 16
	// MaxStoredBytes is the largest stored document in bytes.
	MaxStoredBytes = 900 << 10
	// maxTailEntry is the largest audit entry kept in the tail in bytes.
	maxTailEntry = 4 << 10
)

// State is a document at one revision, with the tail of its audit trail.
type State struct {
	ref      Ref
	document parser.Document
	tail     []Entry
	patch    []byte // from the state before, if it came as one
}

// Ref names the state.
func (s *State) Ref() Ref { return s.ref }

// Document is the document.
func (s *State) Document() parser.Document { return s.document }

// Tail lists the latest audit entries, oldest first.
func (s *State) Tail() []Entry { return s.tail }

// LastEntry is the entry of the change that led to this state.
func (s *State) LastEntry() Entry { return s.tail[len(s.tail)-1] }

// FindChange looks for a change in the tail.
func (s *State) FindChange(change string) (Entry, bool) {
	for _, e := range s.tail {
		if e.change == change {
			return e, true
		}
	}
	return Entry{}, false
}

// TailCovers reports whether the tail would show a change that led to an epoch
// and revision, if this state descends from it.
func (s *State) TailCovers(epoch, revision uint64) bool {
	first := s.tail[0]
	return first.revision == 1 || !(Entry{epoch: epoch, revision: revision}).before(first)
}

// DescendsFrom reports whether the change that led to o is part of s's trail, or
// may be, because s's tail no longer reaches back to it.
func (s *State) DescendsFrom(o *State) bool {
	if !s.TailCovers(o.ref.epoch, o.ref.revision) {
		return true
	}
	_, ok := s.FindChange(o.LastEntry().change)
	return ok
}

// NextState returns the state after a change of s, which is nil for a document
// that does not exist yet, and the list of changes made.
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
	return &State{ref: ref, document: d, tail: extend(tail, newEntry(ref, a, changes))}, changes
}

// Reconcile returns the state that brings the fleet's highest state back
// over whatever the store holds, which may be nil: same document, next epoch.
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
	return &State{ref: ref, document: fleet.document, tail: extend(fleet.tail, entry)}
}

func newEntry(ref Ref, a Author, changes []parser.Change) Entry {
	e := Entry{
		who: a.who, at: a.at, change: a.change, reason: a.reason,
		epoch: ref.epoch, revision: ref.revision, changes: changes,
	}
	if b, err := json.Marshal(e); err != nil || len(b) > maxTailEntry {
		e.changes, e.apart = nil, true
	}
	return e
}

func extend(tail []Entry, entries ...Entry) []Entry {
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

// Encode writes the state as the store and newcomers read it.
func (s *State) Encode() []byte {
	b, err := json.Marshal(stateBody{
		Kind: s.document.Kind(), Name: nameOf(s.document),
		Epoch: s.ref.epoch, Revision: s.ref.revision, Digest: s.ref.digest,
		Body: parser.Encode(s.document), Audit: s.tail,
	})
	if err != nil {
		panic(err) // every part was made from or read as JSON
	}
	return b
}

// CorruptError says that a stored document can't be what was written.
type CorruptError struct {
	key   string
	cause string
}

// Key is the document's key.
func (e *CorruptError) Key() string { return e.key }

// Error names the key and what is wrong.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("stored document %s is damaged: %s", e.key, e.cause)
}

// Decode reads the stored document of a key. The error is a *CorruptError or
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

// check compares a state that was read with its own digest, key and tail.
func (s *State) check() error {
	switch {
	case KeyOf(s.document) != s.ref.key:
		return &CorruptError{key: s.ref.key, cause: "it is that of " + KeyOf(s.document)}
	case parser.Digest(s.document) != s.ref.digest:
		return &CorruptError{key: s.ref.key, cause: "its digest differs"}
	case len(s.tail) == 0:
		return &CorruptError{key: s.ref.key, cause: "it has no audit entry"}
	case s.LastEntry().epoch != s.ref.epoch || s.LastEntry().revision != s.ref.revision:
		return &CorruptError{key: s.ref.key, cause: "its last audit entry is of another revision"}
	default:
		return nil
	}
}
