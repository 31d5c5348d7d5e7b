package admitter

import (
	"testing"

	"cicadagrade.example/tier"
)

func countAdmitted(now tier.Millis, r tier.Rank, owners ...ReceivedThreshold) int {
	a := New()
	n := 0
	for range 1000 {
		if _, ok := a.Admit(now, r, owners...); ok {
			n++
		}
	}
	return n
}

func TestLowestFractionApplies(t *testing.T) {
	lenient := NewReceivedThreshold(NewThreshold([...]float64{1, 1, 0.9}, [...]tier.Millis{0, 0, 10}), 0)
	strict := NewReceivedThreshold(NewThreshold([...]float64{1, 0.5, 0.1}, [...]tier.Millis{0, 20, 300}), 0)
	for r, want := range []int{1000, 500, 100} {
		if got := countAdmitted(0, tier.Rank(r), lenient, strict); got < want-1 || got > want+1 {
			t.Errorf("rank %s: %d of 1000 admitted, expected %d", tier.Rank(r), got, want)
		}
	}
	a := New()
	a.Admit(0, tier.Reports, lenient, strict)
	if after, ok := a.Admit(0, tier.Reports, lenient, strict); ok || after <= 300 || after > 451 {
		t.Errorf("retry after %d, admitted %v", after, ok)
	}
}

func TestFractionRisesWithAge(t *testing.T) {
	threshold := NewReceivedThreshold(NewThreshold([...]float64{1, 1, 0.2}, [3]tier.Millis{}), 0)
	for now, want := range map[tier.Millis]int{FreshFor: 200, (FreshFor + MaxAge) / 2: 600, MaxAge: 1000} {
		if got := countAdmitted(now, tier.Reports, threshold); got < want-1 || got > want+1 {
			t.Errorf("at %d: %d of 1000 admitted, expected %d", now, got, want)
		}
	}
}
