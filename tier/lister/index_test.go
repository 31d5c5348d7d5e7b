package lister

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

// rebuildAll computes the usable leafs of all services from every registration.
func rebuildAll(l *Lister) map[string][]Leaf {
	newest := map[string]*registration{}
	for _, r := range l.registrations {
		address := r.entry.leaf.address
		if other, taken := newest[address]; !taken || newer(r, other) {
			newest[address] = r
		}
	}
	all := map[string][]Leaf{}
	for _, r := range newest {
		if leaf := r.entry.leaf; !r.leaving {
			all[leaf.service] = append(all[leaf.service], leaf)
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b Leaf) int { return strings.Compare(a.id, b.id) })
	}
	return all
}

// TestIncrementalIndexMatchesFullRebuild applies random registrations, removals and
// store outages, with addresses that are reused, and compares the index with a full
// rebuild after each.
func TestIncrementalIndexMatchesFullRebuild(t *testing.T) {
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
			options := []Option{StartedAt(int64(number("start", 3)))}
			if number("leaving", 4) == 0 {
				options = append(options, Leaving())
			}
			leaf := NewLeaf(id, fmt.Sprint("s", number("service", 3)), fmt.Sprint("a", number("address", 4)), options...)
			return NewEntry(key, leaf, int64(number("sequence", 4)))
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
			want := rebuildAll(l)
			if fmt.Sprint(want) != fmt.Sprint(l.usableByService) {
				t.Fatalf("usable leafs are %v, a full rebuild has %v", l.usableByService, want)
			}
		}
	})
}

// BenchmarkRegistrations registers 1200 leafs one by one. A new shard map has
// hundreds of leafs register within a second or two, so the index is updated
// incrementally and not rebuilt at each registration.
func BenchmarkRegistrations(b *testing.B) {
	for b.Loop() {
		l := New()
		for i := range 1200 {
			id := fmt.Sprint(i)
			l.Put(0, NewEntry("servers/"+id, NewLeaf(id, fmt.Sprint("s", i/3), "a"+id), 1))
		}
	}
}
