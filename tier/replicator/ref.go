package replicator

import (
	"fmt"
	"strings"

	"cicadagrade.example/tier/parser"
)

// KeyPrefix is the prefix of the store keys of all configuration documents.
const KeyPrefix = "cicadagrade/config/"

const (
	profilesKey   = KeyPrefix + "profiles"
	setPrefix     = KeyPrefix + "sets/"
	auditPrefix   = "cicadagrade/audit/"
	changesPrefix = "cicadagrade/audit-changes/"
)

// Key returns the store key of a document. Name is the name of the shard set; it is
// ignored for the profiles.
func Key(kind parser.Kind, name string) string {
	if kind == parser.KindProfiles {
		return profilesKey
	}
	return setPrefix + name
}

// KeyOf returns the store key of a document.
func KeyOf(d parser.Document) string { return Key(d.Kind(), setName(d)) }

func setName(d parser.Document) string {
	if s, ok := d.(*parser.SetDocument); ok {
		return s.Set().Name()
	}
	return ""
}

func documentPath(key string) string { return strings.TrimPrefix(key, KeyPrefix) }

// Ref identifies one version of a document. The epoch counts the reconciliations of the
// store with the fleet, the revision counts the changes.
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

// Key is the store key of the document.
func (r Ref) Key() string { return r.key }

// Epoch is the document's epoch.
func (r Ref) Epoch() uint64 { return r.epoch }

// Revision is the document's revision.
func (r Ref) Revision() uint64 { return r.revision }

// Digest is the checksum of the document's canonical encoding.
func (r Ref) Digest() string { return r.digest }

// NewerThan reports whether r is a later version than o: a higher epoch, or the same
// epoch and a higher revision.
func (r Ref) NewerThan(o Ref) bool {
	if r.epoch != o.epoch {
		return r.epoch > o.epoch
	}
	return r.revision > o.revision
}

// sameVersion reports whether epoch and revision are equal. The digests may differ.
func (r Ref) sameVersion(o Ref) bool { return r.epoch == o.epoch && r.revision == o.revision }

// String returns the form used in logs, such as "cicadagrade/config/profiles@1.4".
func (r Ref) String() string { return fmt.Sprintf("%s@%d.%d", r.key, r.epoch, r.revision) }
