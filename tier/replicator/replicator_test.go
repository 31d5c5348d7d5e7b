package replicator_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// history returns n successive states of a document, starting from base.
func history(base *replicator.State, prefix string, n int) []*replicator.State {
	var out []*replicator.State
	for i := range n {
		id := fmt.Sprintf("%s-%d", prefix, i)
		p, err := tier.NewProfile("gate", tier.WithQueueLimit(100*len(prefix)+i+1))
		if err != nil {
			panic(err)
		}
		base, _ = replicator.NextState(base, parser.NewProfilesDocument(p), replicator.NewAuthor("op", id, "", 0))
		out = append(out, base)
	}
	return out
}

func storeValue(s *replicator.State, revision int64) storer.Value {
	return storer.NewValue(s.Ref().Key(), s.Encode(), revision)
}

// findRevert returns an error if a state in the list is not later than the one before it,
// or does not descend from it within the same epoch.
func findRevert(adopted []*replicator.State) error {
	for i := 1; i < len(adopted); i++ {
		before, after := adopted[i-1], adopted[i]
		if !after.Ref().NewerThan(before.Ref()) {
			return fmt.Errorf("%v came after %v", after.Ref(), before.Ref())
		}
		if after.Ref().Epoch() == before.Ref().Epoch() && !after.DescendsFrom(before) {
			return fmt.Errorf("%v does not descend from %v", after.Ref(), before.Ref())
		}
	}
	return nil
}

func adoptedStates(actions []replicator.Action) []*replicator.State {
	var out []*replicator.State
	for _, a := range actions {
		if t, ok := a.(*replicator.Adopted); ok {
			out = append(out, t.State())
		}
	}
	return out
}

// drawDelivery draws one of the ways in which a state can reach the replicator.
func drawDelivery(t *rapid.T, s, base *replicator.State) replicator.Event {
	switch rapid.SampledFrom([]string{"list", "watch", "whole", "delta", "gone"}).Draw(t, "way") {
	case "list":
		return replicator.NewListed([]storer.Value{storeValue(s, 1)})
	case "watch":
		return replicator.NewChanged(storeValue(s, 1))
	case "whole":
		return replicator.NewFetched("peer", updateFrom(s, replicator.Ref{}))
	case "delta":
		return replicator.NewFetched("peer", updateFrom(s, base.Ref(), base))
	default:
		return replicator.NewListed(nil)
	}
}

// updateFrom returns the reply of a peer that holds s and the bases before it.
func updateFrom(s *replicator.State, have replicator.Ref, bases ...*replicator.State) []replicator.Update {
	p := replicator.New("peer")
	for _, b := range append(bases, s) {
		p.Step(0, replicator.NewChanged(storeValue(b, 1)))
	}
	return p.UpdatesFor([]replicator.Ref{replicator.NewRef(s.Ref().Key(), have.Epoch(), have.Revision(), have.Digest())}, false)
}

// TestNeverReverts checks that no change is reverted, in whatever order the replicator
// receives states of the store's history, of a fork made by restoring a backup, and of
// their reconciliation, and that the reconciled state is served at the end.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		main := history(nil, "main", 12)
		fork := history(main[4], "fork", 10)
		reconciled := replicator.Reconcile(main[11], fork[9], replicator.NewAuthor("op", "reconcile", "", 0))
		all := append(append(append([]*replicator.State(nil), main...), fork...), reconciled)
		rp := replicator.New("a")
		var adopted []*replicator.State
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			s := rapid.SampledFrom(all).Draw(t, "state")
			base := rapid.SampledFrom(all).Draw(t, "base")
			adopted = append(adopted, adoptedStates(rp.Step(0, drawDelivery(t, s, base)))...)
		}
		adopted = append(adopted, adoptedStates(rp.Step(0, replicator.NewChanged(storeValue(reconciled, 1))))...)
		if err := findRevert(adopted); err != nil {
			t.Fatal(err)
		}
		if d, _ := rp.Document(reconciled.Ref().Key()); d.Ref() != reconciled.Ref() {
			t.Fatalf("serves %v, not %v", d.Ref(), reconciled.Ref())
		}
	})
}

// TestRevertCheckDetectsLostState checks that findRevert detects a replicator that is
// replaced by an empty one and then adopts an older state.
func TestRevertCheckDetectsLostState(t *testing.T) {
	main := history(nil, "main", 3)
	adopted := adoptedStates(replicator.New("a").Step(0, replicator.NewChanged(storeValue(main[2], 1))))
	adopted = append(adopted, adoptedStates(replicator.New("a").Step(0, replicator.NewChanged(storeValue(main[0], 1))))...)
	if findRevert(adopted) == nil {
		t.Error("findRevert accepts a revert")
	}
}

// TestForkIsRejected: a backup of the store was restored and then changed until its
// revision exceeded the served one. The fork is not adopted, and an alert stands until
// the document is reconciled.
func TestForkIsRejected(t *testing.T) {
	main := history(nil, "main", 4)
	fork := history(main[0], "fork", 9)
	rp := replicator.New("a")
	rp.Step(0, replicator.NewChanged(storeValue(main[3], 1)))
	if got := adoptedStates(rp.Step(0, replicator.NewChanged(storeValue(fork[8], 1)))); len(got) != 0 {
		t.Errorf("adopted %v", got[0].Ref())
	}
	if a := rp.Alerts(); len(a) != 1 || a[0].Kind() != replicator.Forked {
		t.Errorf("alerts %v", a)
	}
	reconciled := replicator.Reconcile(main[3], fork[8], replicator.NewAuthor("op", "r", "", 0))
	if got := adoptedStates(rp.Step(0, replicator.NewChanged(storeValue(reconciled, 1)))); len(got) != 1 || len(rp.Alerts()) != 0 {
		t.Errorf("adopted %d, alerts %v", len(got), rp.Alerts())
	}
}

// TestDeltaAppliesOnlyToItsBase: a peer that holds the base gets a delta that leads to
// the announced digest. A peer that holds another state gets the whole document, and a
// replicator rejects a delta whose base it does not serve.
func TestDeltaAppliesOnlyToItsBase(t *testing.T) {
	main := history(nil, "main", 5)
	u := updateFrom(main[4], main[2].Ref(), main[2], main[3])
	if len(u) != 1 || u[0].Delta() == nil || u[0].Whole() != nil {
		t.Fatalf("no delta in %v", u)
	}
	rp := replicator.New("a")
	rp.Step(0, replicator.NewChanged(storeValue(main[2], 1)))
	if got := adoptedStates(rp.Step(0, replicator.NewFetched("peer", u))); len(got) != 1 || got[0].Ref() != main[4].Ref() {
		t.Errorf("adopted %v", got)
	}
	if whole := updateFrom(main[4], main[1].Ref(), main[2], main[3]); whole[0].Whole() == nil {
		t.Error("no whole document for another base")
	}
	fork := history(main[1], "fork", 1)
	other := replicator.New("b")
	other.Step(0, replicator.NewChanged(storeValue(fork[0], 1)))
	if got := adoptedStates(other.Step(0, replicator.NewFetched("peer", u))); len(got) != 0 {
		t.Errorf("a delta on another base was adopted: %v", got[0].Ref())
	}
}

// TestAnnouncementBeforeJoiningIsKept: a document that a VM announced before it was live
// is fetched once the VM is live, without another announcement.
func TestAnnouncementBeforeJoiningIsKept(t *testing.T) {
	s := history(nil, "main", 1)[0]
	rp := replicator.New("a")
	rp.Step(0, replicator.NewMembers([]string{"a"}, nil))
	rp.Step(0, replicator.NewAnnounced("b", []replicator.Ref{s.Ref()}))
	rp.Step(10, replicator.NewMembers([]string{"a"}, nil))
	if got := countFetches(rp, 200); got != 0 {
		t.Errorf("%d fetches from a VM that is not live", got)
	}
	rp.Step(210, replicator.NewMembers([]string{"a", "b"}, nil))
	if got := countFetches(rp, 400); got != 1 {
		t.Errorf("%d fetches from a VM that became live", got)
	}
}

// TestDamagedUpdateIsFetchedElsewhere: a document that one VM sends damaged is fetched
// from another VM.
func TestDamagedUpdateIsFetchedElsewhere(t *testing.T) {
	main := history(nil, "main", 2)
	rp := replicator.New("a")
	rp.Step(0, replicator.NewChanged(storeValue(main[0], 1)))
	rp.Step(0, replicator.NewMembers([]string{"a", "b", "c"}, nil))
	rp.Step(0, replicator.NewAnnounced("b", []replicator.Ref{main[1].Ref()}))
	if countFetches(rp, 100) != 1 {
		t.Fatal("b was not asked")
	}
	damaged := replicator.NewUpdate(main[1].Ref(), []byte("{"), nil, 0)
	rp.Step(100, replicator.NewFetched("b", []replicator.Update{damaged}))
	if a := rp.Alerts(); len(a) != 1 || a[0].Kind() != replicator.Damaged {
		t.Errorf("alerts %v", a)
	}
	rp.Step(200, replicator.NewAnnounced("c", []replicator.Ref{main[1].Ref()}))
	if countFetches(rp, 300) != 1 {
		t.Fatal("c was not asked")
	}
	got := adoptedStates(rp.Step(300, replicator.NewFetched("c", updateFrom(main[1], main[0].Ref(), main[0]))))
	if len(got) != 1 || len(rp.Alerts()) != 0 {
		t.Errorf("adopted %d, alerts %v", len(got), rp.Alerts())
	}
}

func countFetches(rp *replicator.Replicator, now tier.Millis) int {
	n := 0
	for _, a := range rp.Step(now, &replicator.Tick{}) {
		if _, ok := a.(*replicator.Fetch); ok {
			n++
		}
	}
	return n
}

// FuzzFetched checks that, whatever a peer sends, the replicator serves a document that
// matches its digest, and never an older one.
func FuzzFetched(f *testing.F) {
	main := history(nil, "main", 3)
	f.Add(main[1].Encode(), []byte(`{"base-change":"main-0","patches":[{}],"audit":[]}`), uint64(2))
	f.Add([]byte(`{"kind":"profiles"}`), []byte(`{"patches":[{"profiles":null}]}`), uint64(9))
	f.Fuzz(func(t *testing.T, whole, delta []byte, revision uint64) {
		rp := replicator.New("a")
		rp.Step(0, replicator.NewChanged(storeValue(main[0], 1)))
		ref := replicator.NewRef(main[0].Ref().Key(), 1, revision, main[1].Ref().Digest())
		rp.Step(0, replicator.NewFetched("b", []replicator.Update{
			replicator.NewUpdate(ref, nil, delta, 1), replicator.NewUpdate(ref, whole, nil, 0),
		}))
		s, _ := rp.Document(ref.Key())
		if main[0].Ref().NewerThan(s.Ref()) || parser.Digest(s.Document()) != s.Ref().Digest() {
			t.Errorf("serves %v", s.Ref())
		}
	})
}
