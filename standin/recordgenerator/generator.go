// Package recordgenerator generates the records that simulated backend servers hold:
// crate histories, hygiene certificates and fees of the organisation Associação, and
// mould numbers, colour batches, order books and breakage of the organisation Zorin. The
// records depend only on the seed, the set and the index version, so that a checker can
// compute the complete correct answer to any search.
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

// Sizes of the generated sets.
const (
	recordsPerSet = 3000
	groupsPerSet  = 50
	absentOneIn   = 16 // each index version lacks one record in 16 on average
)

// recordKind is a kind of record. group is the word from which the names of its groups,
// the search terms, are made.
type recordKind struct {
	name   string
	group  string
	fields []string
}

var (
	crateHistory = recordKind{name: "crate", group: "grower", fields: []string{"depot", "washed-on", "cycles"}}
	certificate  = recordKind{name: "certificate", group: "depot", fields: []string{"line", "issued-on", "swab"}}
	fee          = recordKind{name: "fee", group: "member", fields: []string{"month", "crates", "cents"}}
	mouldNumber  = recordKind{name: "mould", group: "shade", fields: []string{"shelf", "turned-on", "diameter-mm"}}
	colourBatch  = recordKind{name: "batch", group: "shade", fields: []string{"tint", "melted-on", "grams"}}
	orderLine    = recordKind{name: "order", group: "buyer", fields: []string{"model", "ordered-on", "pieces"}}
	breakage     = recordKind{name: "breakage", group: "gaffer", fields: []string{"stage", "logged-on", "pieces"}}
)

// kindsOfSet lists the kinds of records in each set.
var kindsOfSet = map[string][]recordKind{
	"portao":        {crateHistory},
	"agenda":        {certificate},
	"contas":        {fee},
	"frota":         {crateHistory},
	"pec-recepture": {colourBatch, mouldNumber},
	"lomni-dnevnik": {breakage},
	"narocila":      {orderLine},
	"odprema":       {orderLine, mouldNumber},
}

// hashedRecord is a record with the hash of its key.
type hashedRecord struct {
	record tier.Record
	hash   uint64
}

type contentKey struct {
	set     string
	version tier.Version
}

// content holds all records of a set at one index version by search term, each list
// sorted by key. The empty term has all records.
type content map[string][]hashedRecord

// Generator generates and caches the contents of sets. It is safe for concurrent use.
type Generator struct {
	seed     uint64
	mu       sync.Mutex
	contents map[contentKey]content
}

// New returns a generator for a seed.
func New(seed uint64) *Generator {
	return &Generator{seed: seed, contents: map[contentKey]content{}}
}

// Terms returns the search terms of the set. The empty term, which is not among them,
// matches every record.
func (g *Generator) Terms(set string) []string {
	var out []string
	for _, k := range kindsFor(set) {
		for i := range groupsPerSet {
			out = append(out, groupName(k, i))
		}
	}
	return out
}

// Records returns the complete answer to a search of the set at an index version,
// sorted by key.
func (g *Generator) Records(set string, v tier.Version, term string) []tier.Record {
	return g.ShardRecords(set, v, term, 0, ^uint64(0))
}

// ShardRecords returns the part of the complete answer whose key hashes are in [from,
// to].
func (g *Generator) ShardRecords(set string, v tier.Version, term string, from, to uint64) []tier.Record {
	c := g.content(set, v)
	term, _ = SplitTerm(term)
	var out []tier.Record
	for _, p := range c[term] {
		if p.hash >= from && p.hash <= to {
			out = append(out, p.record)
		}
	}
	return out
}

// tagSeparator separates a search term from its tag, which the search ignores.
const tagSeparator = "#"

// TagTerm appends a tag to a search term, so that the journal of the backend servers
// shows which request a call belongs to.
func TagTerm(term, tag string) string { return term + tagSeparator + tag }

// SplitTerm splits a search term from its tag, which is empty if the term has none.
func SplitTerm(s string) (term, tag string) {
	term, tag, _ = strings.Cut(s, tagSeparator)
	return term, tag
}

// ParseVersion parses the index version that a record's value starts with.
func ParseVersion(value string) (tier.Version, bool) {
	head, _, _ := strings.Cut(value, " ")
	digits, ok := strings.CutPrefix(head, "version=")
	n, err := strconv.ParseUint(digits, 10, 64)
	return tier.Version(n), ok && err == nil
}

func (g *Generator) content(set string, v tier.Version) content {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := contentKey{set: set, version: v}
	if c, ok := g.contents[id]; ok {
		return c
	}
	c := g.generate(set, v)
	g.contents[id] = c
	return c
}

func (g *Generator) generate(set string, v tier.Version) content {
	c := content{}
	for _, k := range kindsFor(set) {
		for i := range recordsPerSet {
			g.addRecord(c, set, v, k, i)
		}
	}
	for _, list := range c {
		sort.Slice(list, func(i, j int) bool { return list[i].record.Key() < list[j].record.Key() })
	}
	return c
}

// addRecord generates record i, unless this index version lacks it.
func (g *Generator) addRecord(c content, set string, v tier.Version, k recordKind, i int) {
	key := fmt.Sprintf("%s-%05d", k.name, i)
	random := rand.New(rand.NewPCG(g.seed^tier.HashKey(set), uint64(v)^tier.HashKey(key)))
	if random.IntN(absentOneIn) == 0 {
		return
	}
	term := groupName(k, i%groupsPerSet)
	p := hashedRecord{record: tier.NewRecord(key, recordValue(random, v, k, term)), hash: tier.HashKey(key)}
	c[term] = append(c[term], p)
	c[""] = append(c[""], p)
}

func recordValue(random *rand.Rand, v tier.Version, k recordKind, term string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version=%d %s=%s", v, k.group, term)
	for _, f := range k.fields {
		if strings.HasSuffix(f, "-on") {
			fmt.Fprintf(&b, " %s=20%02d-%02d-%02d", f, 18+random.IntN(8), 1+random.IntN(12), 1+random.IntN(28))
			continue
		}
		fmt.Fprintf(&b, " %s=%d", f, random.IntN(10000))
	}
	return b.String()
}

func groupName(k recordKind, i int) string { return fmt.Sprintf("%s-%d", k.group, i) }

// kindsFor returns the kinds of records in a set. Sets that only tests use have crate
// histories.
func kindsFor(set string) []recordKind {
	if k, ok := kindsOfSet[set]; ok {
		return k
	}
	return []recordKind{crateHistory}
}
