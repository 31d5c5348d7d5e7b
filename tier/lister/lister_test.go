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
	for _, f := range l.Leafs("s") {
		ids = append(ids, f.ID())
	}
	return strings.Join(ids, " ")
}

func expect(t *testing.T, l *Lister, want, when string) {
	t.Helper()
	if got := usable(l); got != want {
		t.Errorf("%s: usable are %q, expected %q", when, got, want)
	}
}

func TestLeavingIsFinalWithinALife(t *testing.T) {
	l := New()
	l.Put(0, entry("a", 1, StartedAt(5)))
	l.Put(1, entry("a", 2, StartedAt(5), Leaving()))
	expect(t, l, "", "it leaves")
	l.Put(2, entry("a", 1, StartedAt(5)))
	expect(t, l, "", "an old write comes late")
	l.Put(3, entry("a", 9, StartedAt(5)))
	expect(t, l, "", "a write that forgot")
	l.Put(4, entry("a", 1, StartedAt(6)))
	expect(t, l, "a", "it started again, its sequence anew")
	l.Put(5, entry("a", 50, StartedAt(5), Leaving()))
	expect(t, l, "a", "the former life's last write comes late")
}

func TestLapsedEntriesHaveTimeToComeBack(t *testing.T) {
	l := New()
	l.Replace(0, []Entry{entry("a", 1), entry("b", 1), entry("c", 1, Leaving())})
	l.Remove(10, "servers/b")
	expect(t, l, "a", "one left while the store was there")
	l.Put(11, entry("b", 2))
	l.StoreUnavailable()
	expect(t, l, "a b", "the store is away")
	l.Replace(1000, nil)
	expect(t, l, "a b", "the store is back, empty")
	l.Put(1500, entry("a", 7))
	l.Tick(1000 + ReturnWindow - 1)
	expect(t, l, "a b", "within the window")
	l.Tick(1000 + ReturnWindow)
	expect(t, l, "a", "after the window")
	l.Remove(5000, "servers/a")
	expect(t, l, "", "no window any more")
}

func TestAnAddressBelongsToWhoRegisteredLast(t *testing.T) {
	l := New()
	l.Put(0, NewEntry("servers/old", NewLeaf("old", "s", "x:1", StartedAt(1)), 1))
	l.Put(1, NewEntry("servers/new", NewLeaf("new", "other", "x:1", StartedAt(2)), 1))
	expect(t, l, "", "another service has the address")
	if n := len(l.Leafs("other")); n != 1 {
		t.Errorf("%d leafs of the new service, expected 1", n)
	}
}

func TestUnreadableEntriesNameNoLeaf(t *testing.T) {
	l := New()
	l.Put(0, entry("a", 1))
	l.Put(1, entry("b", 1))
	l.Put(2, UnreadableEntry("servers/a"))
	expect(t, l, "b", "its entry can't be read")
}

func TestChangesAreTold(t *testing.T) {
	l := New()
	if !l.Put(0, entry("a", 1)) {
		t.Error("a new leaf is no change")
	}
	if l.Put(1, entry("a", 2)) {
		t.Error("a sign of life is a change")
	}
	if l.Put(2, entry("a", 3, WithColdRemaining(100*tier.Millisecond))) {
		t.Error("the time that a leaf is cold is a change")
	}
	l.Put(3, entry("a", 4, Leaving()))
	l.Remove(4, "servers/a")
	var states []string
	for _, c := range l.TakeChanges() {
		states = append(states, c.State())
	}
	if got := strings.Join(states, " "); got != "ready leaving gone" {
		t.Errorf("changes are %q", got)
	}
}
