package lister

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// newDataCentres returns a list of n leafs in each of two data centres.
func newDataCentres(n int) *Lister {
	l := New()
	for i := range n {
		l.Put(0, entry(fmt.Sprintf("x-%d", i), 1, InDataCentre("x")))
		l.Put(0, entry(fmt.Sprintf("y-%d", i), 1, InDataCentre("y")))
	}
	l.TakeChanges()
	return l
}

// usableIn counts the usable leafs of a data centre.
func usableIn(l *Lister, dataCentre string) int {
	n := 0
	for _, leaf := range l.Leafs("s") {
		if leaf.DataCentre() == dataCentre {
			n++
		}
	}
	return n
}

// TestLeafsLeaveOneAfterTheOther guards against a jump of the load, and against a bound that is
// missed: the leafs of an evacuated data centre leave and return evenly within EvacuationRamp,
// in the same order on VMs that have other lists.
func TestLeafsLeaveOneAfterTheOther(t *testing.T) {
	const leafs, step = 90, 50 * tier.Millisecond
	l, other := newDataCentres(leafs), newDataCentres(leafs/2)
	for _, vm := range []*Lister{l, other} {
		if !vm.Evacuate(1000, "x", 7) {
			t.Fatal("the evacuation does not come into force")
		}
	}
	for elapsed := step; elapsed <= EvacuationRamp; elapsed += step {
		l.Tick(1000 + elapsed)
		other.Tick(1000 + elapsed)
		even := float64(leafs) * (1 - float64(elapsed)/float64(EvacuationRamp))
		if n := float64(usableIn(l, "x")); n > even+leafs/5 || n < even-leafs/5 {
			t.Errorf("%v leafs are used after %d ms, %.0f would be even", n, elapsed, even)
		}
		for _, leaf := range other.Leafs("s") {
			if _, index, _ := strings.Cut(leaf.ID(), "-"); leaf.DataCentre() == "x" &&
				!slices.ContainsFunc(l.Leafs("s"), func(same Leaf) bool { return same.ID() == "x-"+index }) {
				t.Errorf("after %d ms only one of the VMs uses %s", elapsed, leaf.ID())
			}
		}
	}
	if x, y := usableIn(l, "x"), usableIn(l, "y"); x != 0 || y != leafs {
		t.Errorf("%d leafs of x and %d of y are used after the time", x, y)
	}
	l.EndEvacuation(5000, "x", 0)
	l.Tick(5000 + EvacuationRamp/2)
	if n := usableIn(l, "x"); n < leafs/4 || n > leafs*3/4 {
		t.Errorf("%d leafs have returned after half of the time", n)
	}
	l.Tick(5000 + EvacuationRamp)
	states := map[string]int{}
	for _, c := range l.TakeChanges() {
		states[c.State()]++
	}
	if n := usableIn(l, "x"); n != leafs || states[StateEvacuated] != leafs || states[StateReturned] != leafs || l.Evacuating() {
		t.Errorf("%d leafs have returned, the changes are %v", n, states)
	}
}

// TestEvacuations plays what happens to evacuations of data centre x, which has 4 leafs, and y.
func TestEvacuations(t *testing.T) {
	const over = EvacuationRamp
	tests := []struct {
		name string
		play func(l *Lister)
		x, y int // usable leafs afterwards
	}{
		{"both", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.Evacuate(100, "y", 6)
			l.Tick(100 + over)
		}, 0, 0},
		{"evacuated and lost, which ends the registrations, and back", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.Tick(over)
			for i := range 4 {
				l.Remove(2000, fmt.Sprintf("servers/x-%d", i))
			}
			for i := range 4 {
				l.Put(9000, entry(fmt.Sprintf("x-%d", i), 1, InDataCentre("x"), StartedAt(9)))
			}
		}, 0, 4},
		{"withdrawn before any leaf has left", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.EndEvacuation(0, "x", 0)
			l.Tick(over)
		}, 4, 4},
		{"withdrawn while leafs leave", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.Tick(over / 2)
			l.EndEvacuation(over/2, "x", 0)
			l.Tick(over/2 + over)
		}, 4, 4},
		{"evacuated again while leafs return", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.Tick(over)
			l.EndEvacuation(over, "x", 0)
			l.Tick(over + over/2)
			l.Evacuate(over+over/2, "x", 9)
			l.Tick(over + over/2 + over)
		}, 0, 4},
		{"start while it is in force", func(l *Lister) {
			*l = *New()
			l.ReplaceEvacuations(0, map[string]int64{"x": 5}, 8)
			l.Replace(0, []Entry{entry("x-0", 1, InDataCentre("x")), entry("y-0", 1, InDataCentre("y"))})
		}, 0, 1},
		{"a leaf that registers", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.Put(1, entry("x-new", 1, InDataCentre("x")))
			l.Tick(1)
		}, 4, 4},
		{"a leaf that registers in another data centre", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.Tick(over)
			l.Put(over, entry("x-1", 2, InDataCentre("y")))
			l.Put(over, entry("y-1", 2, InDataCentre("x")))
		}, 0, 4},
		{"a data centre without leafs", func(l *Lister) {
			l.Evacuate(0, "z", 5)
			l.Tick(over)
		}, 4, 4},
		{"the store is lost", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.StoreUnavailable()
			l.Tick(over)
		}, 0, 4},
		{"a copy that is older than the evacuation", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.ReplaceEvacuations(10, nil, 4)
			l.EndEvacuation(20, "x", 3)
			l.Tick(20 + over)
		}, 0, 4},
		{"a newer copy without it", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.ReplaceEvacuations(10, nil, 6)
			l.Tick(10 + over)
		}, 4, 4},
		{"a write that is older than the removal", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.EndEvacuation(10, "x", 7)
			l.Evacuate(20, "x", 5)
			l.Evacuate(20, "x", 7)
			l.Tick(20 + over)
		}, 4, 4},
		{"a write that is older than a copy without it", func(l *Lister) {
			l.ReplaceEvacuations(0, nil, 6)
			l.Evacuate(20, "x", 5)
			l.Tick(20 + over)
		}, 4, 4},
		{"events that are read again: written, removed, written", func(l *Lister) {
			l.ReplaceEvacuations(0, map[string]int64{"x": 5}, 1)
			l.Evacuate(10, "x", 3)
			l.EndEvacuation(10, "x", 0)
			l.Evacuate(10, "x", 5)
			l.Tick(10 + over)
		}, 0, 4},
		{"a newer evacuation after the removal", func(l *Lister) {
			l.Evacuate(0, "x", 5)
			l.EndEvacuation(10, "x", 7)
			l.Evacuate(20, "x", 8)
			l.Tick(20 + over)
		}, 0, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newDataCentres(4)
			test.play(l)
			if x, y := usableIn(l, "x"), usableIn(l, "y"); x != test.x || y != test.y {
				t.Errorf("%d leafs of x and %d of y are used, expected %d and %d", x, y, test.x, test.y)
			}
		})
	}
}

// TestLeafsThatRegisterAgainReturnWithTheOthers guards against leafs that get the usual load at
// once, and do not count as cold, because they have registered again while their data centre
// returns.
func TestLeafsThatRegisterAgainReturnWithTheOthers(t *testing.T) {
	const leafs = 20
	l := newDataCentres(leafs)
	l.Evacuate(0, "x", 7)
	l.Tick(EvacuationRamp)
	l.EndEvacuation(5000, "x", 8)
	for i := range leafs {
		id := fmt.Sprintf("x-%d", i)
		e := entry(id, 1, InDataCentre("x"))
		l.Remove(5001, e.Key())
		l.Put(5001, e)
	}
	if n := usableIn(l, "x"); n > leafs/4 {
		t.Errorf("%d of %d leafs are used at once", n, leafs)
	}
	l.TakeChanges()
	l.Tick(5000 + EvacuationRamp)
	returned := 0
	for _, c := range l.TakeChanges() {
		if c.State() == StateReturned {
			returned++
		}
	}
	if n := usableIn(l, "x"); n != leafs || returned != leafs {
		t.Errorf("%d leafs are used and %d have returned, expected %d", n, returned, leafs)
	}
}
