// Package parser reads and writes the operators' documents: the profiles and
// the shard sets, as strict JSON with kebab-case fields. A document with any
// bad field is rejected whole, with the path of each.
package parser

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// Kind names the kinds of documents.
type Kind string

// The kinds.
const (
	KindProfiles Kind = "profiles"
	KindSet      Kind = "set"
)

// Document is a configuration document: *ProfilesDocument or *SetDocument.
type Document interface {
	document()
	// Kind is the document's kind.
	Kind() Kind
}

// ProfilesDocument holds all profiles.
type ProfilesDocument struct {
	profiles []*tier.Profile
}

// NewProfilesDocument returns a document of profiles with distinct names.
func NewProfilesDocument(profiles ...*tier.Profile) *ProfilesDocument {
	sorted := append([]*tier.Profile(nil), profiles...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name() < sorted[j].Name() })
	return &ProfilesDocument{profiles: sorted}
}

// Kind is KindProfiles.
func (d *ProfilesDocument) Kind() Kind { return KindProfiles }

// Profiles lists the profiles, sorted by name.
func (d *ProfilesDocument) Profiles() []*tier.Profile { return d.profiles }

// Profile finds a profile by name.
func (d *ProfilesDocument) Profile(name string) (*tier.Profile, bool) {
	i := sort.Search(len(d.profiles), func(i int) bool { return d.profiles[i].Name() >= name })
	if i == len(d.profiles) || d.profiles[i].Name() != name {
		return nil, false
	}
	return d.profiles[i], true
}

// SetDocument holds one shard set.
type SetDocument struct{ set *tier.ShardSet }

// NewSetDocument returns a document of a set.
func NewSetDocument(set *tier.ShardSet) *SetDocument { return &SetDocument{set: set} }

// Kind is KindSet.
func (d *SetDocument) Kind() Kind { return KindSet }

// Set is the shard set.
func (d *SetDocument) Set() *tier.ShardSet { return d.set }

func (*ProfilesDocument) document() {}
func (*SetDocument) document()      {}

// Digest is a checksum of the document's canonical encoding, as 16
// hexadecimal digits.
func Digest(d Document) string { return fmt.Sprintf("%016x", xxhash.Sum64(Encode(d))) }
