package checker

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

// fractionTolerance is the maximum rounding error of a coverage fraction.
const fractionTolerance = 1e-6

// Query is a search as the caller sent it.
type Query struct {
	requestID string
	profile   *tier.Profile
	set       string
	term      string
}

// NewQuery returns a query.
func NewQuery(requestID string, p *tier.Profile, set, term string) Query {
	return Query{requestID: requestID, profile: p, set: set, term: term}
}

// Checker checks answers to searches. It is safe for concurrent use.
type Checker struct {
	records *recordgenerator.Generator
	maps    map[string]map[tier.Epoch]*tier.ShardSet
}

// New returns a checker. maps are the shard maps of all epochs that answers may refer
// to.
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

// searchCheck checks one answer to a search.
type searchCheck struct {
	*Checker
	query      Query
	answer     *Answer
	violations []Violation
}

// CheckSearch returns the violations in the answer to a search.
func (c *Checker) CheckSearch(q Query, a *Answer) []Violation {
	k := &searchCheck{Checker: c, query: q, answer: a}
	k.checkHeader()
	if a.outcome == OutcomeAnswered {
		k.checkAnswered()
	}
	return k.violations
}

func (k *searchCheck) addViolation(kind Kind, format string, args ...any) {
	v := Violation{Kind: kind, RequestID: k.query.requestID, Detail: fmt.Sprintf(format, args...)}
	k.violations = append(k.violations, v)
}

func (k *searchCheck) checkHeader() {
	a := k.answer
	if a.requestID != k.query.requestID {
		k.addViolation(WrongRequest, "the answer is for request %q", a.requestID)
	}
	if a.outcome != OutcomeAnswered && a.outcome != OutcomeRefused && a.outcome != OutcomeUnknown {
		k.addViolation(InvalidOutcome, "outcome %q", a.outcome)
	}
	if want := k.query.profile.Rank().String(); a.Accepted() && a.rank != want {
		k.addViolation(InvalidOutcome, "rank %q, want %s", a.rank, want)
	}
}

func (k *searchCheck) checkAnswered() {
	if k.answer.snapshot == nil || !k.answer.hasCoverage {
		k.addViolation(NoSnapshot, "the answer has no snapshot or no coverage")
		return
	}
	shards, ok := k.maps[k.query.set][k.answer.snapshot.Epoch()]
	if !ok {
		k.addViolation(NoSnapshot, "no shard map of %s has epoch %d", k.query.set, k.answer.snapshot.Epoch())
		return
	}
	k.checkCoverage(shards)
	k.checkIntegrity()
	k.checkRecords(shards)
}

// checkCoverage checks that each shard of the shard map is listed as either covered or
// missing, and that the fraction is right and large enough for the profile.
func (k *searchCheck) checkCoverage(m *tier.ShardSet) {
	a := k.answer
	var want []string
	for _, s := range m.Shards() {
		want = append(want, s.ID())
	}
	got := slices.Concat(a.covered, a.missing)
	sort.Strings(want)
	sort.Strings(got)
	if !slices.Equal(want, got) {
		k.addViolation(FalseCoverage, "covered and missing shards are %v, the shard map has %v", got, want)
	}
	fraction := float64(len(a.covered)) / float64(len(want))
	if math.Abs(a.fraction-fraction) > fractionTolerance {
		k.addViolation(FalseCoverage, "coverage fraction %v, want %v", a.fraction, fraction)
	}
	if minimum := k.query.profile.MinCoverage(); fraction < minimum-fractionTolerance {
		k.addViolation(LowCoverage, "covers fraction %v, the profile requires %v", fraction, minimum)
	}
}

// checkIntegrity checks the records against the count and the digest in the answer, and
// that they are sorted by key without duplicates.
func (k *searchCheck) checkIntegrity() {
	a := k.answer
	if a.count != len(a.records) {
		k.addViolation(Truncated, "%d records, but count %d", len(a.records), a.count)
	}
	if d := tier.Digest(a.records); d != a.digest {
		k.addViolation(Corrupted, "digest %s, but the records have digest %s", a.digest, d)
	}
	for i := 1; i < len(a.records); i++ {
		previous, key := a.records[i-1].Key(), a.records[i].Key()
		if previous == key {
			k.addViolation(Duplicate, "key %s is present twice", key)
		}
		if previous > key {
			k.addViolation(Unordered, "key %s after %s", key, previous)
		}
	}
}

// checkRecords checks the records against those of the snapshot.
func (k *searchCheck) checkRecords(m *tier.ShardSet) {
	want := k.expectedRecords(m)
	seen := map[string]bool{}
	for _, r := range k.answer.records {
		k.checkRecord(m, want, r)
		seen[r.Key()] = true
	}
	for key := range want {
		if !seen[key] {
			k.addViolation(Truncated, "record %s of covered shard %s is missing", key, m.ShardOf(key).ID())
		}
	}
}

// expectedRecords returns the values of the matching records of the covered shards by
// key.
func (k *searchCheck) expectedRecords(m *tier.ShardSet) map[string]string {
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

func (k *searchCheck) checkRecord(m *tier.ShardSet, want map[string]string, r tier.Record) {
	version, ok := recordgenerator.ParseVersion(r.Value())
	if ok && version != k.answer.snapshot.Version() {
		k.addViolation(MixedVersions, "record %s has version %d, the snapshot is %s", r.Key(), version, k.answer.snapshot)
		return
	}
	value, ok := want[r.Key()]
	switch {
	case ok && value == r.Value():
	case ok:
		k.addViolation(Corrupted, "record %s has value %q, want %q", r.Key(), r.Value(), value)
	case !slices.Contains(k.answer.covered, m.ShardOf(r.Key()).ID()):
		k.addViolation(FalseCoverage, "record %s belongs to shard %s, which is not covered", r.Key(), m.ShardOf(r.Key()).ID())
	default:
		k.addViolation(WrongRequest, "record %s does not match term %s", r.Key(), k.query.term)
	}
}
