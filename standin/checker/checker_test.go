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

// newAnswer returns a checker, a search and its right answer at version 2.
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

// seal makes count and digest fit the records, as a careless merge would.
func (a *Answer) seal() {
	a.count = len(a.records)
	a.digest = tier.Digest(a.records)
}

// TestCheckerObjects breaks a right answer in each way that counts.
func TestCheckerObjects(t *testing.T) {
	cases := []struct {
		name   string
		spoil  func(c *Checker, a *Answer)
		kinds  []Kind
		sealed bool
	}{
		{name: "right", spoil: func(*Checker, *Answer) {}},
		{"mixed", func(c *Checker, a *Answer) {
			old := c.records.Records(testSet, 1, testTerm)
			i := slices.IndexFunc(a.records, func(r tier.Record) bool { return r.Key() == old[0].Key() })
			a.records[i] = old[0]
		}, []Kind{MixedVersions}, true},
		{"doubled", func(_ *Checker, a *Answer) { a.records = slices.Insert(a.records, 1, a.records[0]) }, []Kind{Duplicate}, true},
		{"truncated", func(_ *Checker, a *Answer) { a.records = a.records[1:] }, []Kind{Truncated}, true},
		{"cut on the way", func(_ *Checker, a *Answer) { a.records = a.records[1:] }, []Kind{Truncated, Corrupted}, false},
		{"another term's", func(c *Checker, a *Answer) { a.records = c.records.Records(testSet, 2, "grower-8") }, []Kind{WrongRequest, Truncated}, true},
		{"another caller's", func(_ *Checker, a *Answer) { a.requestID = "r-2" }, []Kind{WrongRequest}, true},
		{"corrupted", func(_ *Checker, a *Answer) {
			a.records[0] = tier.NewRecord(a.records[0].Key(), a.records[0].Value()+" ")
		}, []Kind{Corrupted}, true},
		{"covers less than it says", func(_ *Checker, a *Answer) { a.covered = a.covered[1:] }, []Kind{FalseCoverage, LowCoverage}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c, q, a := newAnswer(t)
			x.spoil(c, a)
			if x.sealed {
				a.seal()
			}
			got := c.CheckSearch(q, a)
			for _, v := range got {
				if !slices.Contains(x.kinds, v.Kind) {
					t.Errorf("unexpected %+v", v)
				}
			}
			for _, k := range x.kinds {
				if !slices.ContainsFunc(got, func(v Violation) bool { return v.Kind == k }) {
					t.Errorf("%s was not seen", k)
				}
			}
		})
	}
}

// TestLedgerObjects compares outcomes of bookings with what ran.
func TestLedgerObjects(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []string
		ran      int
		kinds    []Kind
	}{
		{"answered twice, ran once", []string{OutcomeAnswered, OutcomeAnswered}, 1, nil},
		{"unknown, ran", []string{OutcomeUnknown}, 1, nil},
		{"unknown, did not run", []string{OutcomeUnknown}, 0, nil},
		{"refused, then answered", []string{OutcomeRefused, OutcomeAnswered}, 1, nil},
		{"ran twice", []string{OutcomeAnswered, OutcomeUnknown}, 2, []Kind{Duplicate}},
		{"never ran", []string{OutcomeAnswered}, 0, []Kind{LostBooking}},
		{"refused, but ran", []string{OutcomeRefused}, 1, []Kind{FalseRefusal}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			l := NewBookingHistory()
			for _, o := range x.outcomes {
				l.RecordAttempt("r-1", "body")
				l.RecordOutcome("r-1", "body", &Answer{requestID: "r-1", outcome: o, receipt: "receipt"})
			}
			var kinds []Kind
			for _, v := range l.Check(slices.Repeat([]leafserver.AppliedBooking{{Body: "body", Receipt: "receipt"}}, x.ran)) {
				kinds = append(kinds, v.Kind)
			}
			if !slices.Equal(kinds, x.kinds) {
				t.Errorf("got %v, want %v", kinds, x.kinds)
			}
		})
	}
}
