// Package recordgenerator generates the records that stand-in backend servers hold:
// crate histories, hygiene certificates and fees of the Associação, mould
// numbers, colour batches, order books and breakage of Zorin. Contents depend
// only on the seed, the set and the index version, so that a checker can tell
// the whole right answer to any search.
package recordgenerator

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"

	"cicadagrade.example/tier"
)

// Sizes of a set.
const (
	recordsPerSet = 3000
	groupsPerSet  = 50
	absentOneIn   = 16
)

// kind is one kind of record with the word that names its groups.
type kind struct {
	name   string
	group  string
	fields []string
}

var (
	crateHistory = kind{name: "crate", group: "grower", fields: []string{"depot", "washed-on", "cycles"}}
	certificate  = kind{name: "certificate", group: "depot", fields: []string{"line", "issued-on", "swab"}}
	fee          = kind{name: "fee", group: "member", fields: []string{"month", "crates", "cents"}}
	mouldNumber  = kind{name: "mould", group: "shade", fields: []string{"shelf", "turned-on", "diameter-mm"}}
	colourBatch  = kind{name: "batch", group: "shade", fields: []string{"tint", "melted-on", "grams"}}
	orderLine    = kind{name: "order", group: "buyer", fields: []string{"model", "ordered-on", "pieces"}}
	breakage     = kind{name: "breakage", group: "gaffer", fields: []string{"stage", "logged-on", "pieces"}}
)

var kindsOfSet = map[string][]kind{
	"portao":        {crateHistory},
	"agenda":        {certificate},
	"contas":        {fee},
	"frota":         {crateHistory},
	"pec-recepture": {colourBatch, mouldNumber},
	"lomni-dnevnik": {breakage},
	"narocila":      {orderLine},
	"odprema":       {orderLine, mouldNumber},
}

// placed is a record with its key's place on the hash ring.
type placed struct {
	record tier.Record
	hash   uint64
}

type contentID struct {
	set     string
	version tier.Version
}

// content is all of a set at one index version: its records by group, each
// group sorted by key.
type content map[string][]placed

// Generator generates and keeps contents. It is safe for concurrent use.
type Generator struct {
	seed     uint64
	mu       sync.Mutex
	contents map[contentID]content
}

// New returns a recorder of the records that belong to seed.
func New(seed uint64) *Generator {
	return &Generator{seed: seed, contents: map[contentID]content{}}
}

// Terms lists the terms that a search of the set may name. The empty term,
// which is not among them, matches every record.
func (r *Generator) Terms(set string) []string {
	var out []string
	for _, k := range kinds(set) {
		for g := range groupsPerSet {
			out = append(out, groupName(k, g))
		}
	}
	return out
}

// Records is the whole answer to a search of the set at a version, sorted by
// key.
func (r *Generator) Records(set string, v tier.Version, term string) []tier.Record {
	return r.ShardRecords(set, v, term, 0, ^uint64(0))
}

// ShardRecords is the part of the answer whose key hashes lie in [from, to].
func (r *Generator) ShardRecords(set string, v tier.Version, term string, from, to uint64) []tier.Record {
	c := r.content(set, v)
	term, _ = SplitTerm(term)
	var out []tier.Record
	for _, p := range c[term] {
		if p.hash >= from && p.hash <= to {
			out = append(out, p.record)
		}
	}
	return out
}

// tagMark separates a term from a tag, which does not take part in the search.
const tagMark = "#"

// TagTerm adds a tag to a term, so that the backend servers' journal shows
// which request a call belongs to.
func TagTerm(term, tag string) string { return term + tagMark + tag }

// SplitTerm takes the tag off a term; it is empty when there is none.
func SplitTerm(s string) (term, tag string) {
	term, tag, _ = strings.Cut(s, tagMark)
	return term, tag
}

// ParseVersion reads the index version that a record's value shows.
func ParseVersion(value string) (tier.Version, bool) {
	head, _, _ := strings.Cut(value, " ")
	digits, ok := strings.CutPrefix(head, "version=")
	n, err := strconv.ParseUint(digits, 10, 64)
	return tier.Version(n), ok && err == nil
}

func (r *Generator) content(set string, v tier.Version) content {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := contentID{set: set, version: v}
	if c, ok := r.contents[id]; ok {
		return c
	}
	c := r.generate(set, v)
	r.contents[id] = c
	return c
}

func (r *Generator) generate(set string, v tier.Version) content {
	c := content{}
	for _, k := range kinds(set) {
		for i := range recordsPerSet {
			r.add(c, set, v, k, i)
		}
	}
	for _, list := range c {
		sort.Slice(list, func(i, j int) bool { return list[i].record.Key() < list[j].record.Key() })
	}
	return c
}

// add generates record i, unless this version lacks it.
func (r *Generator) add(c content, set string, v tier.Version, k kind, i int) {
	key := fmt.Sprintf("%s-%05d", k.name, i)
	n := rand.New(rand.NewPCG(r.seed^tier.HashKey(set), uint64(v)^tier.HashKey(key)))
	if n.IntN(absentOneIn) == 0 {
		return
	}
	term := groupName(k, i%groupsPerSet)
	p := placed{record: tier.NewRecord(key, value(n, v, k, term)), hash: tier.HashKey(key)}
	c[term] = append(c[term], p)
	c[""] = append(c[""], p)
}

func value(n *rand.Rand, v tier.Version, k kind, term string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version=%d %s=%s", v, k.group, term)
	for _, f := range k.fields {
		if strings.HasSuffix(f, "-on") {
			fmt.Fprintf(&b, " %s=20%02d-%02d-%02d", f, 18+n.IntN(8), 1+n.IntN(12), 1+n.IntN(28))
			continue
		}
		fmt.Fprintf(&b, " %s=%d", f, n.IntN(10000))
	}
	return b.String()
}

func groupName(k kind, g int) string { return fmt.Sprintf("%s-%d", k.group, g) }

// kinds falls back to crate histories for a set of a test.
func kinds(set string) []kind {
	if k, ok := kindsOfSet[set]; ok {
		return k
	}
	return []kind{crateHistory}
}
