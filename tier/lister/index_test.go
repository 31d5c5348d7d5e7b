package lister

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

// fromScratch lists the usable leafs of all services by looking at every entry.
func fromScratch(l *Lister) map[string][]Leaf {
	at := map[string]*held{}
	for _, h := range l.entries {
		a := h.entry.leaf.address
		if other, taken := at[a]; !taken || newer(h, other) {
			at[a] = h
		}
	}
	all := map[string][]Leaf{}
	for _, h := range at {
		if f := h.entry.leaf; !h.departed {
			all[f.service] = append(all[f.service], f)
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b Leaf) int { return strings.Compare(a.id, b.id) })
	}
	return all
}

// TestListsAreThoseFromScratch draws histories of registrations, with addresses
// that are used again and outages, and compares.
func TestListsAreThoseFromScratch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now := tier.Millis(0)
		number := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		draw := func() Entry {
			id := fmt.Sprint(number("id", 6))
			key := "servers/" + id
			if number("readable", 8) == 0 {
				return UnreadableEntry(key)
			}
			options := []Option{StartedAt(int64(number("born", 3)))}
			if number("leaving", 4) == 0 {
				options = append(options, Leaving())
			}
			f := NewLeaf(id, fmt.Sprint("s", number("service", 3)), fmt.Sprint("a", number("address", 4)), options...)
			return NewEntry(key, f, int64(number("sequence", 4)))
		}
		for range 30 {
			now += tier.Millis(number("wait", 1500))
			switch number("step", 8) {
			case 0:
				l.StoreUnavailable()
			case 1:
				l.Remove(now, fmt.Sprint("servers/", number("id", 6)))
			case 2:
				l.Tick(now)
			case 3:
				var list []Entry
				for range number("entries", 6) {
					list = append(list, draw())
				}
				l.Replace(now, list)
			default:
				l.Put(now, draw())
			}
			want := fromScratch(l)
			if fmt.Sprint(want) != fmt.Sprint(l.byService) {
				t.Fatalf("usable are %v, from scratch %v", l.byService, want)
			}
		}
	})
}

// The load: an index that is cut anew registers hundreds of leafs within a
// second or two. Pattern: an index that is kept, not rebuilt at each change.
func BenchmarkRegistrations(b *testing.B) {
	for b.Loop() {
		l := New()
		for i := range 1200 {
			id := fmt.Sprint(i)
			l.Put(0, NewEntry("servers/"+id, NewLeaf(id, fmt.Sprint("s", i/3), "a"+id), 1))
		}
	}
}
