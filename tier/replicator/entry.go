package replicator

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

// Entry is one audit entry: an accepted change of a document.
type Entry struct {
	who      string
	at       tier.Millis
	change   string
	epoch    uint64
	revision uint64
	reason   string
	changes  []parser.Change
	apart    bool
}

// Author says who makes a change, when, under which id and why.
type Author struct {
	who    string
	at     tier.Millis
	change string
	reason string
}

// NewAuthor returns an author. The change id is unique; at is wall time.
func NewAuthor(who, change, reason string, at tier.Millis) Author {
	return Author{who: who, change: change, reason: reason, at: at}
}

// Who made the change.
func (e Entry) Who() string { return e.who }

// At is the wall time of the change in milliseconds since the Unix epoch.
func (e Entry) At() tier.Millis { return e.at }

// ChangeID is the change's unique id.
func (e Entry) ChangeID() string { return e.change }

// Epoch is the document's epoch after the change.
func (e Entry) Epoch() uint64 { return e.epoch }

// Revision is the document's revision after the change.
func (e Entry) Revision() uint64 { return e.revision }

// Reason is why the change was made.
func (e Entry) Reason() string { return e.reason }

// Changes lists what differs, unless Apart.
func (e Entry) Changes() []parser.Change { return e.changes }

// ChangesDetached reports that the list of changes is too long for the audit tail and
// lies under its own key.
func (e Entry) ChangesDetached() bool { return e.apart }

// WithChanges returns the entry with the changes read from their own key.
func (e Entry) WithChanges(c []parser.Change) Entry {
	e.changes = c
	e.apart = false
	return e
}

type entryBody struct {
	Who      string       `json:"who"`
	At       tier.Millis  `json:"at-ms"`
	Change   string       `json:"change"`
	Epoch    uint64       `json:"epoch"`
	Revision uint64       `json:"revision"`
	Reason   string       `json:"reason,omitempty"`
	Apart    bool         `json:"apart,omitempty"`
	Changes  []changeBody `json:"changes,omitempty"`
}

type changeBody struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// MarshalJSON writes the entry with its changes as JSON values.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(entryBody{
		Who: e.who, At: e.at, Change: e.change, Epoch: e.epoch, Revision: e.revision,
		Reason: e.reason, Apart: e.apart, Changes: changeBodies(e.changes),
	})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (e *Entry) UnmarshalJSON(b []byte) error {
	var body entryBody
	if err := json.Unmarshal(b, &body); err != nil {
		return errors.Wrap(err, "Entry.UnmarshalJSON")
	}
	*e = Entry{
		who: body.Who, at: body.At, change: body.Change, epoch: body.Epoch, revision: body.Revision,
		reason: body.Reason, apart: body.Apart, changes: readChanges(body.Changes),
	}
	return nil
}

func changeBodies(list []parser.Change) []changeBody {
	out := make([]changeBody, 0, len(list))
	for _, c := range list {
		out = append(out, changeBody{Path: c.Path(), Before: raw(c.Before()), After: raw(c.After())})
	}
	return out
}

func raw(s string) json.RawMessage {
	if s == "" {
		return nil
	}
	return json.RawMessage(s)
}

func readChanges(list []changeBody) []parser.Change {
	out := make([]parser.Change, 0, len(list))
	for _, c := range list {
		out = append(out, parser.NewChange(c.Path, string(c.Before), string(c.After)))
	}
	return out
}

// EncodeChanges writes a list of changes for a key of its own.
func EncodeChanges(list []parser.Change) ([]byte, error) {
	b, err := json.Marshal(changeBodies(list))
	return b, errors.Wrap(err, "EncodeChanges")
}

// DecodeChanges reads what EncodeChanges writes.
func DecodeChanges(b []byte) ([]parser.Change, error) {
	var list []changeBody
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, errors.Wrap(err, "DecodeChanges")
	}
	return readChanges(list), nil
}

// ArchiveKey is the key under which an entry of a document is kept once it
// has left the tail.
func ArchiveKey(key string, e Entry) string {
	return fmt.Sprintf("%s%08d-%012d-%s", ArchivePrefix(key), e.epoch, e.revision, e.change)
}

// ChangesKey is the key of a list of changes too long for the tail.
func ChangesKey(key, change string) string {
	return changesPrefix + documentPath(key) + "/" + change
}

// ArchivePrefix starts the keys of a document's archived entries.
func ArchivePrefix(key string) string { return auditPrefix + documentPath(key) + "/" }

// MergeEntries joins entries of the archive and of the tail, each change once,
// oldest first.
func MergeEntries(lists ...[]Entry) []Entry {
	seen := map[string]bool{}
	var out []Entry
	for _, l := range lists {
		for _, e := range l {
			if !seen[e.change] {
				seen[e.change] = true
				out = append(out, e)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

func (e Entry) before(o Entry) bool {
	if e.epoch != o.epoch {
		return e.epoch < o.epoch
	}
	return e.revision < o.revision
}
