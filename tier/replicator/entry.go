package replicator

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

// Entry is one audit entry: it records an accepted change of a document.
type Entry struct {
	who             string
	at              tier.Millis
	changeID        string
	epoch           uint64
	revision        uint64
	reason          string
	changes         []parser.Change
	changesDetached bool // the list of changes is too long and stored under ChangesKey
}

// Author describes a change: who makes it, when, under which change ID and why.
type Author struct {
	who      string
	at       tier.Millis
	changeID string
	reason   string
}

// NewAuthor returns an author. The change ID has to be unique; at is wall time.
func NewAuthor(who, change, reason string, at tier.Millis) Author {
	return Author{who: who, changeID: change, reason: reason, at: at}
}

// Who is the person who made the change.
func (e Entry) Who() string { return e.who }

// At is the wall time of the change, in milliseconds since the Unix epoch.
func (e Entry) At() tier.Millis { return e.at }

// ChangeID is the unique ID of the change.
func (e Entry) ChangeID() string { return e.changeID }

// Epoch is the document's epoch after the change.
func (e Entry) Epoch() uint64 { return e.epoch }

// Revision is the document's revision after the change.
func (e Entry) Revision() uint64 { return e.revision }

// Reason is the reason given for the change.
func (e Entry) Reason() string { return e.reason }

// Changes lists the differences, unless they are detached.
func (e Entry) Changes() []parser.Change { return e.changes }

// ChangesDetached reports that the list of changes is too long for the audit tail and is
// stored under its own key, ChangesKey.
func (e Entry) ChangesDetached() bool { return e.changesDetached }

// WithChanges returns the entry with the list of changes read from ChangesKey.
func (e Entry) WithChanges(c []parser.Change) Entry {
	e.changes = c
	e.changesDetached = false
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

// MarshalJSON encodes the entry, with the changed values as JSON.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(entryBody{
		Who: e.who, At: e.at, Change: e.changeID, Epoch: e.epoch, Revision: e.revision,
		Reason: e.reason, Apart: e.changesDetached, Changes: encodeChangeList(e.changes),
	})
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (e *Entry) UnmarshalJSON(b []byte) error {
	var body entryBody
	if err := json.Unmarshal(b, &body); err != nil {
		return errors.Wrap(err, "Entry.UnmarshalJSON")
	}
	*e = Entry{
		who: body.Who, at: body.At, changeID: body.Change, epoch: body.Epoch, revision: body.Revision,
		reason: body.Reason, changesDetached: body.Apart, changes: decodeChangeList(body.Changes),
	}
	return nil
}

func encodeChangeList(list []parser.Change) []changeBody {
	out := make([]changeBody, 0, len(list))
	for _, c := range list {
		out = append(out, changeBody{Path: c.Path(), Before: rawOrNil(c.Before()), After: rawOrNil(c.After())})
	}
	return out
}

func rawOrNil(s string) json.RawMessage {
	if s == "" {
		return nil
	}
	return json.RawMessage(s)
}

func decodeChangeList(list []changeBody) []parser.Change {
	out := make([]parser.Change, 0, len(list))
	for _, c := range list {
		out = append(out, parser.NewChange(c.Path, string(c.Before), string(c.After)))
	}
	return out
}

// EncodeChanges encodes a list of changes to be stored under ChangesKey.
func EncodeChanges(list []parser.Change) ([]byte, error) {
	b, err := json.Marshal(encodeChangeList(list))
	return b, errors.Wrap(err, "EncodeChanges")
}

// DecodeChanges decodes what EncodeChanges encodes.
func DecodeChanges(b []byte) ([]parser.Change, error) {
	var list []changeBody
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, errors.Wrap(err, "DecodeChanges")
	}
	return decodeChangeList(list), nil
}

// ArchiveKey is the store key of a document's audit entry that is no longer in the tail.
func ArchiveKey(key string, e Entry) string {
	return fmt.Sprintf("%s%08d-%012d-%s", ArchivePrefix(key), e.epoch, e.revision, e.changeID)
}

// ChangesKey is the store key of a list of changes that is too long for the audit tail.
func ChangesKey(key, change string) string {
	return changesPrefix + documentPath(key) + "/" + change
}

// ArchivePrefix is the prefix of the store keys of a document's archived entries.
func ArchivePrefix(key string) string { return auditPrefix + documentPath(key) + "/" }

// MergeEntries combines entries of the archive and of the tail, without duplicates and in
// the order of epoch and revision.
func MergeEntries(lists ...[]Entry) []Entry {
	seen := map[string]bool{}
	var out []Entry
	for _, l := range lists {
		for _, e := range l {
			if !seen[e.changeID] {
				seen[e.changeID] = true
				out = append(out, e)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].olderThan(out[j]) })
	return out
}

func (e Entry) olderThan(o Entry) bool {
	if e.epoch != o.epoch {
		return e.epoch < o.epoch
	}
	return e.revision < o.revision
}
