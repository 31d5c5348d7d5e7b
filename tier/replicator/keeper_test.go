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

// line is a document's history: each state a change of the one before.
func line(base *replicator.State, mark string, n int) []*replicator.State {
	var out []*replicator.State
	for i := range n {
		id := fmt.Sprintf("%s-%d", mark, i)
		p, err := tier.NewProfile("gate", tier.WithQueueLimit(100*len(mark)+i+1))
		if err != nil {
			panic(err)
		}
		base, _ = replicator.NextState(base, parser.NewProfilesDocument(p), replicator.NewAuthor("op", id, "", 0))
		out = append(out, base)
	}
	return out
}

func value(s *replicator.State, revision int64) storer.Value {
	return storer.NewValue(s.Ref().Key(), s.Encode(), revision)
}

// reverts finds a step of what came into force that goes back or aside.
func reverts(took []*replicator.State) error {
	for i := 1; i < len(took); i++ {
		before, after := took[i-1], took[i]
		if !after.Ref().NewerThan(before.Ref()) {
			return fmt.Errorf("%v came after %v", after.Ref(), before.Ref())
		}
		if after.Ref().Epoch() == before.Ref().Epoch() && !after.DescendsFrom(before) {
			return fmt.Errorf("%v does not descend from %v", after.Ref(), before.Ref())
		}
	}
	return nil
}

func taken(actions []replicator.Action) []*replicator.State {
	var out []*replicator.State
	for _, a := range actions {
		if t, ok := a.(*replicator.Adopted); ok {
			out = append(out, t.State())
		}
	}
	return out
}

// delivery draws one way in which one state reaches the keeper.
func delivery(t *rapid.T, s, base *replicator.State) replicator.Event {
	switch rapid.SampledFrom([]string{"list", "watch", "whole", "delta", "gone"}).Draw(t, "way") {
	case "list":
		return replicator.NewListed([]storer.Value{value(s, 1)})
	case "watch":
		return replicator.NewChanged(value(s, 1))
	case "whole":
		return replicator.NewFetched("peer", update(s, replicator.Ref{}))
	case "delta":
		return replicator.NewFetched("peer", update(s, base.Ref(), base))
	default:
		return replicator.NewListed(nil)
	}
}

// update has a peer that holds s, and the bases before it, answer.
func update(s *replicator.State, have replicator.Ref, bases ...*replicator.State) []replicator.Update {
	p := replicator.New("peer")
	for _, b := range append(bases, s) {
		p.Step(0, replicator.NewChanged(value(b, 1)))
	}
	return p.UpdatesFor([]replicator.Ref{replicator.NewRef(s.Ref().Key(), have.Epoch(), have.Revision(), have.Digest())}, false)
}

// TestNeverReverts: whatever order states of the store's line, of a copy
// restored in between and of a reconciliation come in, nothing reverts, and
// the reconciled state ends in force.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		main := line(nil, "main", 12)
		fork := line(main[4], "fork", 10)
		last := replicator.Reconcile(main[11], fork[9], replicator.NewAuthor("op", "reconcile", "", 0))
		all := append(append(append([]*replicator.State(nil), main...), fork...), last)
		k := replicator.New("a")
		var took []*replicator.State
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			s := rapid.SampledFrom(all).Draw(t, "state")
			base := rapid.SampledFrom(all).Draw(t, "base")
			took = append(took, taken(k.Step(0, delivery(t, s, base)))...)
		}
		took = append(took, taken(k.Step(0, replicator.NewChanged(value(last, 1))))...)
		if err := reverts(took); err != nil {
			t.Fatal(err)
		}
		if d, _ := k.Document(last.Ref().Key()); d.Ref() != last.Ref() {
			t.Fatalf("%v in force, not %v", d.Ref(), last.Ref())
		}
	})
}

// TestCheckObjectsToForgetting: a keeper that is replaced by an empty one
// takes an old copy, and the check sees it.
func TestCheckObjectsToForgetting(t *testing.T) {
	main := line(nil, "main", 3)
	took := taken(replicator.New("a").Step(0, replicator.NewChanged(value(main[2], 1))))
	took = append(took, taken(replicator.New("a").Step(0, replicator.NewChanged(value(main[0], 1))))...)
	if reverts(took) == nil {
		t.Error("the check accepts a revert")
	}
}

// TestForkIsRefused: a restored copy that was changed past the served
// revision is not taken, and is flagged until the line is reconciled.
func TestForkIsRefused(t *testing.T) {
	main := line(nil, "main", 4)
	fork := line(main[0], "fork", 9)
	k := replicator.New("a")
	k.Step(0, replicator.NewChanged(value(main[3], 1)))
	if got := taken(k.Step(0, replicator.NewChanged(value(fork[8], 1)))); len(got) != 0 {
		t.Errorf("took %v", got[0].Ref())
	}
	if f := k.Alerts(); len(f) != 1 || f[0].Kind() != replicator.Forked {
		t.Errorf("flags %v", f)
	}
	last := replicator.Reconcile(main[3], fork[8], replicator.NewAuthor("op", "r", "", 0))
	if got := taken(k.Step(0, replicator.NewChanged(value(last, 1)))); len(got) != 1 || len(k.Alerts()) != 0 {
		t.Errorf("took %d, flags %v", len(got), k.Alerts())
	}
}

// TestDeltaFitsItsBaseAlone: a peer that holds the base gets a delta that
// leads to the digest; one that holds another state gets the whole.
func TestDeltaFitsItsBaseAlone(t *testing.T) {
	main := line(nil, "main", 5)
	u := update(main[4], main[2].Ref(), main[2], main[3])
	if len(u) != 1 || u[0].Delta() == nil || u[0].Whole() != nil {
		t.Fatalf("no delta in %v", u)
	}
	k := replicator.New("a")
	k.Step(0, replicator.NewChanged(value(main[2], 1)))
	if got := taken(k.Step(0, replicator.NewFetched("peer", u))); len(got) != 1 || got[0].Ref() != main[4].Ref() {
		t.Errorf("took %v", got)
	}
	if whole := update(main[4], main[1].Ref(), main[2], main[3]); whole[0].Whole() == nil {
		t.Error("no whole document for another base")
	}
	fork := line(main[1], "fork", 1)
	other := replicator.New("b")
	other.Step(0, replicator.NewChanged(value(fork[0], 1)))
	if got := taken(other.Step(0, replicator.NewFetched("peer", u))); len(got) != 0 {
		t.Errorf("a delta on another base was taken: %v", got[0].Ref())
	}
}

// TestAnnouncementOutlivesJoining: what a VM announced before it was live is
// fetched once it is, without another announcement.
func TestAnnouncementOutlivesJoining(t *testing.T) {
	s := line(nil, "main", 1)[0]
	k := replicator.New("a")
	k.Step(0, replicator.NewMembers([]string{"a"}, nil))
	k.Step(0, replicator.NewAnnounced("b", []replicator.Ref{s.Ref()}))
	k.Step(10, replicator.NewMembers([]string{"a"}, nil))
	if got := fetches(k, 200); got != 0 {
		t.Errorf("%d fetches from a VM that is not live", got)
	}
	k.Step(210, replicator.NewMembers([]string{"a", "b"}, nil))
	if got := fetches(k, 400); got != 1 {
		t.Errorf("%d fetches from a VM that became live", got)
	}
}

// TestDamagedPeerBlocksNoOther: a state that one VM sends damaged is taken
// from another.
func TestDamagedPeerBlocksNoOther(t *testing.T) {
	main := line(nil, "main", 2)
	k := replicator.New("a")
	k.Step(0, replicator.NewChanged(value(main[0], 1)))
	k.Step(0, replicator.NewMembers([]string{"a", "b", "c"}, nil))
	k.Step(0, replicator.NewAnnounced("b", []replicator.Ref{main[1].Ref()}))
	if fetches(k, 100) != 1 {
		t.Fatal("b was not asked")
	}
	damaged := replicator.NewUpdate(main[1].Ref(), []byte("{"), nil, 0)
	k.Step(100, replicator.NewFetched("b", []replicator.Update{damaged}))
	if f := k.Alerts(); len(f) != 1 || f[0].Kind() != replicator.Damaged {
		t.Errorf("flags %v", f)
	}
	k.Step(200, replicator.NewAnnounced("c", []replicator.Ref{main[1].Ref()}))
	if fetches(k, 300) != 1 {
		t.Fatal("c was not asked")
	}
	got := taken(k.Step(300, replicator.NewFetched("c", update(main[1], main[0].Ref(), main[0]))))
	if len(got) != 1 || len(k.Alerts()) != 0 {
		t.Errorf("took %d, flags %v", len(got), k.Alerts())
	}
}

func fetches(k *replicator.Replicator, now tier.Millis) int {
	n := 0
	for _, a := range k.Step(now, &replicator.Tick{}) {
		if _, ok := a.(*replicator.Fetch); ok {
			n++
		}
	}
	return n
}

// FuzzFetched: whatever a peer sends, the keeper serves a document whose
// digest is the announced one, and never an older.
func FuzzFetched(f *testing.F) {
	main := line(nil, "main", 3)
	f.Add(main[1].Encode(), []byte(`{"base-change":"main-0","patches":[{}],"audit":[]}`), uint64(2))
	f.Add([]byte(`{"kind":"profiles"}`), []byte(`{"patches":[{"profiles":null}]}`), uint64(9))
	f.Fuzz(func(t *testing.T, whole, delta []byte, revision uint64) {
		k := replicator.New("a")
		k.Step(0, replicator.NewChanged(value(main[0], 1)))
		ref := replicator.NewRef(main[0].Ref().Key(), 1, revision, main[1].Ref().Digest())
		k.Step(0, replicator.NewFetched("b", []replicator.Update{
			replicator.NewUpdate(ref, nil, delta, 1), replicator.NewUpdate(ref, whole, nil, 0),
		}))
		s, _ := k.Document(ref.Key())
		if main[0].Ref().NewerThan(s.Ref()) || parser.Digest(s.Document()) != s.Ref().Digest() {
			t.Errorf("serves %v", s.Ref())
		}
	})
}
