package checker

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

// fractionError is the largest rounding error of a coverage fraction.
const fractionError = 1e-6

// Query is a search as it was sent.
type Query struct {
	requestID string
	profile   *tier.Profile
	set       string
	term      string
}

// NewQuery returns a search for the checker.
func NewQuery(requestID string, p *tier.Profile, set, term string) Query {
	return Query{requestID: requestID, profile: p, set: set, term: term}
}

// Checker checks answers to searches. It is safe for concurrent use.
type Checker struct {
	records *recordgenerator.Generator
	maps    map[string]map[tier.Epoch]*tier.ShardSet
}

// New returns a checker that knows the shard maps of all epochs that answers
// may name.
func New(records *recordgenerator.Generator, maps ...*tier.ShardSet) *Checker {
	c := &Checker{records: records, maps: map[string]map[tier.Epoch]*tier.ShardSet{}}
	for _, m := range maps {
		if c.maps[m.Name()] == nil {
			c.maps[m.Name()] = map[tier.Epoch]*tier.ShardSet{}
		}
		c.maps[m.Name()][m.Epoch()] = m
	}
	return c
}

// check is the check of one answer.
type check struct {
	*Checker
	query      Query
	answer     *Answer
	violations []Violation
}

// CheckSearch lists what is wrong with the answer to a search.
func (c *Checker) CheckSearch(q Query, a *Answer) []Violation {
	k := &check{Checker: c, query: q, answer: a}
	k.header()
	if a.outcome == OutcomeAnswered {
		k.answered()
	}
	return k.violations
}

func (k *check) report(kind Kind, format string, args ...any) {
	v := Violation{Kind: kind, RequestID: k.query.requestID, Detail: fmt.Sprintf(format, args...)}
	k.violations = append(k.violations, v)
}

func (k *check) header() {
	a := k.answer
	if a.requestID != k.query.requestID {
		k.report(WrongRequest, "the answer names request %q", a.requestID)
	}
	if a.outcome != OutcomeAnswered && a.outcome != OutcomeRefused && a.outcome != OutcomeUnknown {
		k.report(InvalidOutcome, "outcome %q", a.outcome)
	}
	if want := k.query.profile.Rank().String(); a.Accepted() && a.rank != want {
		k.report(InvalidOutcome, "rank %q, want %s", a.rank, want)
	}
}

func (k *check) answered() {
	if k.answer.snapshot == nil || !k.answer.hasCoverage {
		k.report(NoSnapshot, "an answer without snapshot or coverage")
		return
	}
	shards, ok := k.maps[k.query.set][k.answer.snapshot.Epoch()]
	if !ok {
		k.report(NoSnapshot, "no shard map of %s has epoch %d", k.query.set, k.answer.snapshot.Epoch())
		return
	}
	k.coverage(shards)
	k.whole()
	k.compare(shards)
}

// coverage checks that covered and missing shards divide the shard map.
func (k *check) coverage(m *tier.ShardSet) {
	a := k.answer
	var want []string
	for _, s := range m.Shards() {
		want = append(want, s.ID())
	}
	got := slices.Concat(a.covered, a.missing)
	sort.Strings(want)
	sort.Strings(got)
	if !slices.Equal(want, got) {
		k.report(FalseCoverage, "covered and missing are %v, the shard map has %v", got, want)
	}
	fraction := float64(len(a.covered)) / float64(len(want))
	if math.Abs(a.fraction-fraction) > fractionError {
		k.report(FalseCoverage, "fraction %v, want %v", a.fraction, fraction)
	}
	if least := k.query.profile.MinCoverage(); fraction < least-fractionError {
		k.report(LowCoverage, "covers %v, the profile asks %v", fraction, least)
	}
}

// whole checks the answer against its own count and digest.
func (k *check) whole() {
	a := k.answer
	if a.count != len(a.records) {
		k.report(Truncated, "%d records, count %d", len(a.records), a.count)
	}
	if d := tier.Digest(a.records); d != a.digest {
		k.report(Corrupted, "digest %s, the records' is %s", a.digest, d)
	}
	for i := 1; i < len(a.records); i++ {
		before, key := a.records[i-1].Key(), a.records[i].Key()
		if before == key {
			k.report(Duplicate, "key %s twice", key)
		}
		if before > key {
			k.report(Unordered, "key %s after %s", key, before)
		}
	}
}

// compare checks the records against those of the snapshot.
func (k *check) compare(m *tier.ShardSet) {
	want := k.expected(m)
	seen := map[string]bool{}
	for _, r := range k.answer.records {
		k.record(m, want, r)
		seen[r.Key()] = true
	}
	for key := range want {
		if !seen[key] {
			k.report(Truncated, "lacks %s of covered shard %s", key, m.ShardOf(key).ID())
		}
	}
}

// expected is what the covered shards hold, by key.
func (k *check) expected(m *tier.ShardSet) map[string]string {
	out := map[string]string{}
	for _, s := range m.Shards() {
		if !slices.Contains(k.answer.covered, s.ID()) {
			continue
		}
		for _, r := range k.records.ShardRecords(k.query.set, k.answer.snapshot.Version(), k.query.term, s.From(), s.To()) {
			out[r.Key()] = r.Value()
		}
	}
	return out
}

func (k *check) record(m *tier.ShardSet, want map[string]string, r tier.Record) {
	version, ok := recordgenerator.ParseVersion(r.Value())
	if ok && version != k.answer.snapshot.Version() {
		k.report(MixedVersions, "%s is of version %d, the snapshot is %s", r.Key(), version, k.answer.snapshot)
		return
	}
	value, ok := want[r.Key()]
	switch {
	case ok && value == r.Value():
	case ok:
		k.report(Corrupted, "%s has %q, want %q", r.Key(), r.Value(), value)
	case !slices.Contains(k.answer.covered, m.ShardOf(r.Key()).ID()):
		k.report(FalseCoverage, "has %s of shard %s, which it does not cover", r.Key(), m.ShardOf(r.Key()).ID())
	default:
		k.report(WrongRequest, "%s does not match %s", r.Key(), k.query.term)
	}
}
