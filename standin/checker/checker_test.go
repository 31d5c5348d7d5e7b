package checker

import (
	"slices"
	"testing"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

const (
	testTerm = "grower-7"
	testSet  = "portao"
)

// newAnswer returns a checker, a search and the correct answer to it at version 2.
func newAnswer(t *testing.T) (*Checker, Query, *Answer) {
	t.Helper()
	d, err := deployer.Read("../deployment/associacao.json")
	if err != nil {
		t.Fatal(err)
	}
	set, _ := d.Set(testSet)
	p, _ := d.Profile("gate")
	records := recordgenerator.New(d.RecordSeed())
	var covered []string
	for _, s := range set.Shards() {
		covered = append(covered, s.ID())
	}
	o := tier.NewAnswered(tier.NewSnapshot(1, 2), tier.NewCoverage(covered, nil), records.Records(testSet, 2, testTerm))
	return New(records, d.Sets()...), NewQuery("r-1", p, testSet, testTerm), NewMergedAnswer("r-1", tier.Urgent, o, 20)
}

// recomputeDigest sets count and digest to those of the records, as a tier that merged
// wrong records would.
func (a *Answer) recomputeDigest() {
	a.count = len(a.records)
	a.digest = tier.Digest(a.records)
}

// TestCheckerDetectsViolations alters a correct answer in each way that the checker
// must detect.
func TestCheckerDetectsViolations(t *testing.T) {
	cases := []struct {
		name      string
		corrupt   func(c *Checker, a *Answer)
		kinds     []Kind
		recompute bool
	}{
		{name: "correct", corrupt: func(*Checker, *Answer) {}},
		{"mixed", func(c *Checker, a *Answer) {
			old := c.records.Records(testSet, 1, testTerm)
			i := slices.IndexFunc(a.records, func(r tier.Record) bool { return r.Key() == old[0].Key() })
			a.records[i] = old[0]
		}, []Kind{MixedVersions}, true},
		{"duplicate", func(_ *Checker, a *Answer) { a.records = slices.Insert(a.records, 1, a.records[0]) }, []Kind{Duplicate}, true},
		{"truncated", func(_ *Checker, a *Answer) { a.records = a.records[1:] }, []Kind{Truncated}, true},
		{"truncated in transit", func(_ *Checker, a *Answer) { a.records = a.records[1:] }, []Kind{Truncated, Corrupted}, false},
		{"records of another term", func(c *Checker, a *Answer) { a.records = c.records.Records(testSet, 2, "grower-8") }, []Kind{WrongRequest, Truncated}, true},
		{"answer to another request", func(_ *Checker, a *Answer) { a.requestID = "r-2" }, []Kind{WrongRequest}, true},
		{"corrupted", func(_ *Checker, a *Answer) {
			a.records[0] = tier.NewRecord(a.records[0].Key(), a.records[0].Value()+" ")
		}, []Kind{Corrupted}, true},
		{"states too little coverage", func(_ *Checker, a *Answer) { a.covered = a.covered[1:] }, []Kind{FalseCoverage, LowCoverage}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c, q, a := newAnswer(t)
			x.corrupt(c, a)
			if x.recompute {
				a.recomputeDigest()
			}
			got := c.CheckSearch(q, a)
			for _, v := range got {
				if !slices.Contains(x.kinds, v.Kind) {
					t.Errorf("unexpected %+v", v)
				}
			}
			for _, k := range x.kinds {
				if !slices.ContainsFunc(got, func(v Violation) bool { return v.Kind == k }) {
					t.Errorf("%s was not detected", k)
				}
			}
		})
	}
}

// TestBookingHistoryDetectsViolations compares the outcomes of bookings with the number
// of times they were executed.
func TestBookingHistoryDetectsViolations(t *testing.T) {
	cases := []struct {
		name       string
		outcomes   []string
		executions int
		kinds      []Kind
	}{
		{"answered twice, executed once", []string{OutcomeAnswered, OutcomeAnswered}, 1, nil},
		{"unknown, executed", []string{OutcomeUnknown}, 1, nil},
		{"unknown, not executed", []string{OutcomeUnknown}, 0, nil},
		{"refused, then answered", []string{OutcomeRefused, OutcomeAnswered}, 1, nil},
		{"executed twice", []string{OutcomeAnswered, OutcomeUnknown}, 2, []Kind{Duplicate}},
		{"answered, not executed", []string{OutcomeAnswered}, 0, []Kind{LostBooking}},
		{"refused, executed", []string{OutcomeRefused}, 1, []Kind{FalseRefusal}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			h := NewBookingHistory()
			for _, o := range x.outcomes {
				h.RecordAttempt("r-1", "body")
				h.RecordOutcome("r-1", "body", &Answer{requestID: "r-1", outcome: o, receipt: "receipt"})
			}
			var kinds []Kind
			for _, v := range h.Check(slices.Repeat([]leafserver.AppliedBooking{{Body: "body", Receipt: "receipt"}}, x.executions)) {
				kinds = append(kinds, v.Kind)
			}
			if !slices.Equal(kinds, x.kinds) {
				t.Errorf("got %v, want %v", kinds, x.kinds)
			}
		})
	}
}
