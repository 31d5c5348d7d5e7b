package lister

import (
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

func entry(id string, sequence int64, options ...Option) Entry {
	return NewEntry("servers/"+id, NewLeaf(id, "s", id+":1", options...), sequence)
}

func usable(l *Lister) string {
	var ids []string
	for _, leaf := range l.Leafs("s") {
		ids = append(ids, leaf.ID())
	}
	return strings.Join(ids, " ")
}

func expectUsable(t *testing.T, l *Lister, want, when string) {
	t.Helper()
	if got := usable(l); got != want {
		t.Errorf("%s: usable leafs are %q, expected %q", when, got, want)
	}
}

func TestLeavingLastsUntilTheServerRestarts(t *testing.T) {
	l := New()
	l.Put(0, entry("a", 1, StartedAt(5)))
	l.Put(1, entry("a", 2, StartedAt(5), Leaving()))
	expectUsable(t, l, "", "leaving")
	l.Put(2, entry("a", 1, StartedAt(5)))
	expectUsable(t, l, "", "an older write is delivered late")
	l.Put(3, entry("a", 9, StartedAt(5)))
	expectUsable(t, l, "", "a later write does not say leaving")
	l.Put(4, entry("a", 1, StartedAt(6)))
	expectUsable(t, l, "a", "restarted, with a new sequence")
	l.Put(5, entry("a", 50, StartedAt(5), Leaving()))
	expectUsable(t, l, "a", "the last write before the restart is delivered late")
}

func TestEntriesSurviveAStoreOutageUntilTheReturnWindowEnds(t *testing.T) {
	l := New()
	l.Replace(0, []Entry{entry("a", 1), entry("b", 1), entry("c", 1, Leaving())})
	l.Remove(10, "servers/b")
	expectUsable(t, l, "a", "a removal while the store is available")
	l.Put(11, entry("b", 2))
	l.StoreUnavailable()
	expectUsable(t, l, "a b", "the store is unavailable")
	l.Replace(1000, nil)
	expectUsable(t, l, "a b", "the store is available again, but empty")
	l.Put(1500, entry("a", 7))
	l.Tick(1000 + ReturnWindow - 1)
	expectUsable(t, l, "a b", "within the return window")
	l.Tick(1000 + ReturnWindow)
	expectUsable(t, l, "a", "after the return window")
	l.Remove(5000, "servers/a")
	expectUsable(t, l, "", "a removal after the return window")
}

func TestAddressBelongsToTheLastServerToRegister(t *testing.T) {
	l := New()
	l.Put(0, NewEntry("servers/old", NewLeaf("old", "s", "x:1", StartedAt(1)), 1))
	l.Put(1, NewEntry("servers/new", NewLeaf("new", "other", "x:1", StartedAt(2)), 1))
	expectUsable(t, l, "", "a leaf of another service has the address")
	if n := len(l.Leafs("other")); n != 1 {
		t.Errorf("%d leafs of the new service, expected 1", n)
	}
}

func TestUnreadableEntryRemovesItsLeaf(t *testing.T) {
	l := New()
	l.Put(0, entry("a", 1))
	l.Put(1, entry("b", 1))
	l.Put(2, UnreadableEntry("servers/a"))
	expectUsable(t, l, "b", "the entry of a is unreadable")
}

func TestChangesAreReported(t *testing.T) {
	l := New()
	if !l.Put(0, entry("a", 1)) {
		t.Error("a new leaf is reported as no change")
	}
	if l.Put(1, entry("a", 2)) {
		t.Error("a renewed registration is reported as a change")
	}
	if l.Put(2, entry("a", 3, WithColdRemaining(100*tier.Millisecond))) {
		t.Error("the remaining cold time is reported as a change")
	}
	l.Put(3, entry("a", 4, Leaving()))
	l.Remove(4, "servers/a")
	var states []string
	for _, c := range l.TakeChanges() {
		states = append(states, c.State())
	}
	if got := strings.Join(states, " "); got != "ready leaving gone" {
		t.Errorf("the changed states are %q", got)
	}
}
