package replicator

import (
	"fmt"
	"strings"

	"cicadagrade.example/tier/parser"
)

// KeyPrefix starts the keys of all configuration documents.
const KeyPrefix = "cicadagrade/config/"

const (
	profilesKey   = KeyPrefix + "profiles"
	setPrefix     = KeyPrefix + "sets/"
	auditPrefix   = "cicadagrade/audit/"
	changesPrefix = "cicadagrade/audit-changes/"
)

// Key is the store's key of a document; name is that of a shard set and
// ignored for the profiles.
func Key(kind parser.Kind, name string) string {
	if kind == parser.KindProfiles {
		return profilesKey
	}
	return setPrefix + name
}

// KeyOf is the store's key of a document.
func KeyOf(d parser.Document) string { return Key(d.Kind(), nameOf(d)) }

func nameOf(d parser.Document) string {
	if s, ok := d.(*parser.SetDocument); ok {
		return s.Set().Name()
	}
	return ""
}

func documentPath(key string) string { return strings.TrimPrefix(key, KeyPrefix) }

// Ref names one state of a document. The epoch counts reconciliations of
// the store with the fleet, the revision counts changes.
type Ref struct {
	key      string
	epoch    uint64
	revision uint64
	digest   string
}

// NewRef returns a ref.
func NewRef(key string, epoch, revision uint64, digest string) Ref {
	return Ref{key: key, epoch: epoch, revision: revision, digest: digest}
}

// Key is the document's key.
func (r Ref) Key() string { return r.key }

// Epoch is the document's epoch.
func (r Ref) Epoch() uint64 { return r.epoch }

// Revision is the document's revision.
func (r Ref) Revision() uint64 { return r.revision }

// Digest is the checksum of the document's canonical encoding.
func (r Ref) Digest() string { return r.digest }

// NewerThan reports whether r is later than o: a higher epoch, or the same epoch
// and a higher revision.
func (r Ref) NewerThan(o Ref) bool {
	if r.epoch != o.epoch {
		return r.epoch > o.epoch
	}
	return r.revision > o.revision
}

// level reports the same epoch and revision.
func (r Ref) level(o Ref) bool { return r.epoch == o.epoch && r.revision == o.revision }

// String is the form in logs, such as "cicadagrade/config/profiles@1.4".
func (r Ref) String() string { return fmt.Sprintf("%s@%d.%d", r.key, r.epoch, r.revision) }
