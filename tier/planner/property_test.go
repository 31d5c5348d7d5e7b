package planner_test

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/planner"
)

// TestMain fixes the seed, so that each run draws the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var dataCentres = []string{"a", "b", "c"}

// randomRun simulates the owners of three data centres with random behaviour against
// one plan, and checks each action.
type randomRun struct {
	t          *rapid.T
	view       *fakeView
	served     servedLedger
	profile    *tier.Profile
	plan       *planner.Plan
	sent       map[uint64]*planner.SendPart
	openParts  []uint64
	askedFor   map[string]bool
	mayHaveRun bool // a part may have run
	outcome    tier.Outcome
}

func newRandomRun(t *rapid.T) *randomRun {
	r := &randomRun{t: t, view: newFakeView(), served: servedLedger{}, sent: map[uint64]*planner.SendPart{}, askedFor: map[string]bool{}}
	var err error
	r.profile, err = tier.NewProfile("gate", tier.WithMinCoverage(rapid.SampledFrom([]float64{0.3, 0.7, 1}).Draw(t, "min-coverage")))
	if err != nil {
		t.Fatal(err)
	}
	set := makeSet(t, 1, []string{"s0=a,b", "s1=b,a", "s2=a", "s3=c,b"})
	r.drawHoldings(1, []string{"s0", "s1", "s2", "s3"})
	r.plan = planner.New(0, "a", r.profile, set, r.view, r.profile.Deadline())
	return r
}

// drawHoldings draws which versions are held and which data centres can be reached.
func (r *randomRun) drawHoldings(epoch tier.Epoch, shards []string) {
	for _, d := range dataCentres {
		r.view.unreachable[d] = rapid.IntRange(0, 5).Draw(r.t, "cut") == 0
		for _, shard := range shards {
			for v := tier.Version(7); v <= 8; v++ {
				if rapid.IntRange(0, 3).Draw(r.t, "hold") > 0 {
					r.view.hold(d, tier.NewSnapshot(epoch, v), []string{shard})
				}
			}
		}
	}
}

func (r *randomRun) step(now tier.Millis, e planner.Event) {
	for _, a := range r.plan.Step(now, e) {
		if r.outcome != nil {
			r.t.Fatalf("%s after Finish", describe(a))
		}
		switch a := a.(type) {
		case *planner.SendPart:
			r.send(now, a)
		case *planner.CancelPart:
			r.mayHaveRun = true
			r.openParts = slices.DeleteFunc(r.openParts, func(n uint64) bool { return n == a.Part() })
		case *planner.Finish:
			r.finish(a.Outcome())
		}
	}
}

func (r *randomRun) send(now tier.Millis, a *planner.SendPart) {
	if r.view.unreachable[a.DataCentre()] || a.Deadline() <= now {
		r.t.Fatalf("%s at %d: the data centre is unreachable, or the part's deadline has passed", describe(a), now)
	}
	for _, shard := range a.Shards() {
		k := a.DataCentre() + shard + a.Snapshot().String()
		if r.askedFor[k] {
			r.t.Fatalf("%s: a shard is requested twice from one data centre at one snapshot", describe(a))
		}
		r.askedFor[k] = true
	}
	r.sent[a.Part()] = a
	r.openParts = append(r.openParts, a.Part())
}

func (r *randomRun) finish(o tier.Outcome) {
	r.outcome = o
	if err := r.served.check(o); err != nil {
		r.t.Fatal(err)
	}
	switch o := o.(type) {
	case *tier.Answered:
		if o.Coverage().Fraction() < r.profile.MinCoverage() {
			r.t.Fatalf("%s: coverage below the profile's minimum", describeOutcome(o))
		}
	case *tier.Refused:
		if r.mayHaveRun || len(r.openParts) > 0 {
			r.t.Fatalf("%s, although parts may have run", describeOutcome(o))
		}
	}
}

// answer draws an owner's answer to one open part: a reply that may be of another
// snapshot, cut short or corrupted, a refusal or a failure.
func (r *randomRun) answer() planner.Event {
	i := rapid.IntRange(0, len(r.openParts)-1).Draw(r.t, "part")
	part := r.sent[r.openParts[i]]
	r.openParts = slices.Delete(r.openParts, i, i+1)
	refused := rapid.IntRange(0, 7).Draw(r.t, "refused") < 2
	if refused {
		return planner.NewPartRefused(part.Part(), tier.RefuseOverload, 0)
	}
	r.mayHaveRun = true
	if rapid.IntRange(0, 7).Draw(r.t, "failed") == 0 {
		return planner.NewPartFailed(part.Part(), tier.MissUnreachable)
	}
	at := part.Snapshot()
	if rapid.IntRange(0, 7).Draw(r.t, "other-snapshot") == 0 {
		at = tier.NewSnapshot(at.Epoch(), 15-at.Version())
	}
	var results []merger.ShardResult
	var held []planner.HeldVersions
	for _, shard := range part.Shards() {
		fault := rapid.SampledFrom([]string{"", "", "", "", "!cut", "!corrupt", ":refused", ":wrong-snapshot"}).Draw(r.t, "fault")
		results = append(results, r.served.result(at, shard+fault))
		if fault == ":wrong-snapshot" {
			held = append(held, planner.NewHeldVersions(shard, at.Epoch(), []tier.Version{8}))
		}
	}
	return planner.NewPartReplied(part.Part(), at, results, held, len(results))
}

func TestPlanInvariantsHoldInRandomRuns(t *testing.T) {
	next := makeSet(t, 2, []string{"s0=a,b", "s1a=b", "s1b=a", "s2=a", "s3=c,b"})
	rapid.Check(t, func(t *rapid.T) {
		r := newRandomRun(t)
		var now, idleSince tier.Millis
		r.step(now, &planner.Tick{})
		for r.outcome == nil {
			working := len(r.openParts) > 0
			if !working && now-idleSince > planner.DefaultViewWait {
				t.Fatal("no part is open, but the plan has not ended")
			}
			now += tier.Millis(rapid.IntRange(0, 200).Draw(t, "wait"))
			switch n := rapid.IntRange(0, 9).Draw(t, "event"); {
			case n == 0:
				r.step(now, &planner.Tick{})
			case n == 1:
				r.drawHoldings(2, []string{"s0", "s1a", "s1b", "s2", "s3"})
				r.step(now, planner.NewSetChanged(next))
			case len(r.openParts) == 0:
				due, _ := r.plan.Next()
				now = max(now, due)
				r.step(now, &planner.Tick{})
			default:
				r.step(now, r.answer())
			}
			if due, more := r.plan.Next(); more && now >= due {
				t.Fatalf("at %d: Next still returns %d", now, due)
			}
			if working {
				idleSince = now
			}
		}
	})
}

// TestCheckDetectsMixedRounds checks that servedLedger.check rejects an answer that
// mixes two rounds.
func TestCheckDetectsMixedRounds(t *testing.T) {
	l := servedLedger{}
	old, now := tier.NewSnapshot(1, 7), tier.NewSnapshot(1, 8)
	records := append(slices.Clone(l.result(old, "s0").Records()), l.result(now, "s1").Records()[1:]...)
	mixed := tier.NewAnswered(old, tier.NewCoverage([]string{"s0", "s1"}, nil), records)
	if err := l.check(mixed); err == nil {
		t.Error("check accepts records of two versions")
	}
	short := tier.NewAnswered(old, tier.NewCoverage([]string{"s0", "s1"}, nil), l.result(old, "s0").Records())
	if err := l.check(short); err == nil {
		t.Error("check accepts a shard that was not merged")
	}
	if err := l.check(tier.NewAnswered(old, tier.NewCoverage([]string{"s0"}, nil), l.result(old, "s0").Records())); err != nil {
		t.Error(errors.Wrap(err, "check rejects a correct answer"))
	}
}
