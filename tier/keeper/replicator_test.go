package keeper_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/keeper"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/storer"
)

// history returns n successive states of a document, starting from base.
func history(base *keeper.State, prefix string, n int) []*keeper.State {
	var out []*keeper.State
	for i := range n {
		id := fmt.Sprintf("%s-%d", prefix, i)
		p, err := tier.NewProfile("gate", tier.WithQueueLimit(100*len(prefix)+i+1))
		if err != nil {
			panic(err)
		}
		base, _ = keeper.Next(base, parser.NewProfilesDocument(p), keeper.NewAuthor("op", id, "", 0))
		out = append(out, base)
	}
	return out
}

func storeValue(s *keeper.State, revision int64) storer.Value {
	return storer.NewValue(s.Ref().Key(), s.Encode(), revision)
}

// findRevert returns an error if a state in the list is not later than the one before it,
// or does not descend from it within the same epoch.
func findRevert(adopted []*keeper.State) error {
	for i := 1; i < len(adopted); i++ {
		before, after := adopted[i-1], adopted[i]
		if !after.Ref().Above(before.Ref()) {
			return fmt.Errorf("%v came after %v", after.Ref(), before.Ref())
		}
		if after.Ref().Epoch() == before.Ref().Epoch() && !after.Descends(before) {
			return fmt.Errorf("%v does not descend from %v", after.Ref(), before.Ref())
		}
	}
	return nil
}

func adoptedStates(actions []keeper.Action) []*keeper.State {
	var out []*keeper.State
	for _, a := range actions {
		if t, ok := a.(*keeper.Took); ok {
			out = append(out, t.State())
		}
	}
	return out
}

// drawDelivery draws one of the ways in which a state can reach the replicator.
func drawDelivery(t *rapid.T, s, base *keeper.State) keeper.Event {
	switch rapid.SampledFrom([]string{"list", "watch", "whole", "delta", "gone"}).Draw(t, "way") {
	case "list":
		return keeper.NewListed([]storer.Value{storeValue(s, 1)})
	case "watch":
		return keeper.NewChanged(storeValue(s, 1))
	case "whole":
		return keeper.NewFetched("peer", updateFrom(s, keeper.Ref{}))
	case "delta":
		return keeper.NewFetched("peer", updateFrom(s, base.Ref(), base))
	default:
		return keeper.NewListed(nil)
	}
}

// updateFrom returns the reply of a peer that holds s and the bases before it.
func updateFrom(s *keeper.State, have keeper.Ref, bases ...*keeper.State) []keeper.Update {
	p := keeper.New("peer")
	for _, b := range append(bases, s) {
		p.Step(0, keeper.NewChanged(storeValue(b, 1)))
	}
	return p.Answer([]keeper.Ref{keeper.NewRef(s.Ref().Key(), have.Epoch(), have.Revision(), have.Digest())}, false)
}

// TestNeverReverts checks that no change is reverted, in whatever order the replicator
// receives states of the store's history, of a fork made by restoring a backup, and of
// their reconciliation, and that the reconciled state is served at the end.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		main := history(nil, "main", 12)
		fork := history(main[4], "fork", 10)
		reconciled := keeper.Reconcile(main[11], fork[9], keeper.NewAuthor("op", "reconcile", "", 0))
		all := append(append(append([]*keeper.State(nil), main...), fork...), reconciled)
		rp := keeper.New("a")
		var adopted []*keeper.State
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			s := rapid.SampledFrom(all).Draw(t, "state")
			base := rapid.SampledFrom(all).Draw(t, "base")
			adopted = append(adopted, adoptedStates(rp.Step(0, drawDelivery(t, s, base)))...)
		}
		adopted = append(adopted, adoptedStates(rp.Step(0, keeper.NewChanged(storeValue(reconciled, 1))))...)
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
	adopted := adoptedStates(keeper.New("a").Step(0, keeper.NewChanged(storeValue(main[2], 1))))
	adopted = append(adopted, adoptedStates(keeper.New("a").Step(0, keeper.NewChanged(storeValue(main[0], 1))))...)
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
	rp := keeper.New("a")
	rp.Step(0, keeper.NewChanged(storeValue(main[3], 1)))
	if got := adoptedStates(rp.Step(0, keeper.NewChanged(storeValue(fork[8], 1)))); len(got) != 0 {
		t.Errorf("adopted %v", got[0].Ref())
	}
	if a := rp.Flags(); len(a) != 1 || a[0].Trouble() != keeper.Forked {
		t.Errorf("alerts %v", a)
	}
	reconciled := keeper.Reconcile(main[3], fork[8], keeper.NewAuthor("op", "r", "", 0))
	if got := adoptedStates(rp.Step(0, keeper.NewChanged(storeValue(reconciled, 1)))); len(got) != 1 || len(rp.Flags()) != 0 {
		t.Errorf("adopted %d, alerts %v", len(got), rp.Flags())
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
	rp := keeper.New("a")
	rp.Step(0, keeper.NewChanged(storeValue(main[2], 1)))
	if got := adoptedStates(rp.Step(0, keeper.NewFetched("peer", u))); len(got) != 1 || got[0].Ref() != main[4].Ref() {
		t.Errorf("adopted %v", got)
	}
	if whole := updateFrom(main[4], main[1].Ref(), main[2], main[3]); whole[0].Whole() == nil {
		t.Error("no whole document for another base")
	}
	fork := history(main[1], "fork", 1)
	other := keeper.New("b")
	other.Step(0, keeper.NewChanged(storeValue(fork[0], 1)))
	if got := adoptedStates(other.Step(0, keeper.NewFetched("peer", u))); len(got) != 0 {
		t.Errorf("a delta on another base was adopted: %v", got[0].Ref())
	}
}

// TestAnnouncementBeforeJoiningIsKept: a document that a VM announced before it was live
// is fetched once the VM is live, without another announcement.
func TestAnnouncementBeforeJoiningIsKept(t *testing.T) {
	s := history(nil, "main", 1)[0]
	rp := keeper.New("a")
	rp.Step(0, keeper.NewMembers([]string{"a"}, nil))
	rp.Step(0, keeper.NewAnnounced("b", []keeper.Ref{s.Ref()}))
	rp.Step(10, keeper.NewMembers([]string{"a"}, nil))
	if got := countFetches(rp, 200); got != 0 {
		t.Errorf("%d fetches from a VM that is not live", got)
	}
	rp.Step(210, keeper.NewMembers([]string{"a", "b"}, nil))
	if got := countFetches(rp, 400); got != 1 {
		t.Errorf("%d fetches from a VM that became live", got)
	}
}

// TestDamagedUpdateIsFetchedElsewhere: a document that one VM sends damaged is fetched
// from another VM.
func TestDamagedUpdateIsFetchedElsewhere(t *testing.T) {
	main := history(nil, "main", 2)
	rp := keeper.New("a")
	rp.Step(0, keeper.NewChanged(storeValue(main[0], 1)))
	rp.Step(0, keeper.NewMembers([]string{"a", "b", "c"}, nil))
	rp.Step(0, keeper.NewAnnounced("b", []keeper.Ref{main[1].Ref()}))
	if countFetches(rp, 100) != 1 {
		t.Fatal("b was not asked")
	}
	damaged := keeper.NewUpdate(main[1].Ref(), []byte("{"), nil, 0)
	rp.Step(100, keeper.NewFetched("b", []keeper.Update{damaged}))
	if a := rp.Flags(); len(a) != 1 || a[0].Trouble() != keeper.Damaged {
		t.Errorf("alerts %v", a)
	}
	rp.Step(200, keeper.NewAnnounced("c", []keeper.Ref{main[1].Ref()}))
	if countFetches(rp, 300) != 1 {
		t.Fatal("c was not asked")
	}
	got := adoptedStates(rp.Step(300, keeper.NewFetched("c", updateFrom(main[1], main[0].Ref(), main[0]))))
	if len(got) != 1 || len(rp.Flags()) != 0 {
		t.Errorf("adopted %d, alerts %v", len(got), rp.Flags())
	}
}

func countFetches(rp *keeper.Keeper, now tier.Millis) int {
	n := 0
	for _, a := range rp.Step(now, &keeper.Tick{}) {
		if _, ok := a.(*keeper.Fetch); ok {
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
		rp := keeper.New("a")
		rp.Step(0, keeper.NewChanged(storeValue(main[0], 1)))
		ref := keeper.NewRef(main[0].Ref().Key(), 1, revision, main[1].Ref().Digest())
		rp.Step(0, keeper.NewFetched("b", []keeper.Update{
			keeper.NewUpdate(ref, nil, delta, 1), keeper.NewUpdate(ref, whole, nil, 0),
		}))
		s, _ := rp.Document(ref.Key())
		if main[0].Ref().Above(s.Ref()) || parser.Digest(s.Document()) != s.Ref().Digest() {
			t.Errorf("serves %v", s.Ref())
		}
	})
}
