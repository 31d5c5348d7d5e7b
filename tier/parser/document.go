// Package parser decodes and encodes the operators' configuration documents, profiles and
// shard sets. They are strict JSON with kebab-case field names: unknown, duplicate or invalid
// fields are errors. A document with any invalid field is rejected, and the error lists the
// path of every one.
package parser

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// Kind is a kind of configuration document.
type Kind string

// The kinds of documents.
const (
	KindProfiles Kind = "profiles"
	KindSet      Kind = "set"
)

// Document is a configuration document: *ProfilesDocument or *SetDocument.
type Document interface {
	document()
	// Kind returns the document's kind.
	Kind() Kind
}

// ProfilesDocument is the document of all profiles.
type ProfilesDocument struct {
	profiles []*tier.Profile
}

// NewProfilesDocument returns a document of profiles, whose names have to be distinct.
func NewProfilesDocument(profiles ...*tier.Profile) *ProfilesDocument {
	sorted := append([]*tier.Profile(nil), profiles...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name() < sorted[j].Name() })
	return &ProfilesDocument{profiles: sorted}
}

// Kind returns KindProfiles.
func (d *ProfilesDocument) Kind() Kind { return KindProfiles }

// Profiles lists the profiles, sorted by name.
func (d *ProfilesDocument) Profiles() []*tier.Profile { return d.profiles }

// Profile returns the profile with the given name.
func (d *ProfilesDocument) Profile(name string) (*tier.Profile, bool) {
	i := sort.Search(len(d.profiles), func(i int) bool { return d.profiles[i].Name() >= name })
	if i == len(d.profiles) || d.profiles[i].Name() != name {
		return nil, false
	}
	return d.profiles[i], true
}

// SetDocument is the document of one shard set.
type SetDocument struct{ set *tier.ShardSet }

// NewSetDocument returns the document of a shard set.
func NewSetDocument(set *tier.ShardSet) *SetDocument { return &SetDocument{set: set} }

// Kind returns KindSet.
func (d *SetDocument) Kind() Kind { return KindSet }

// Set is the shard set.
func (d *SetDocument) Set() *tier.ShardSet { return d.set }

func (*ProfilesDocument) document() {}
func (*SetDocument) document()      {}

// Digest returns a checksum of the document's canonical encoding, as 16 hexadecimal digits.
func Digest(d Document) string { return fmt.Sprintf("%016x", xxhash.Sum64(Encode(d))) }
