package budgeter

import (
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

// TestAllVMsTogetherStayWithinTheBudget checks that the buckets of all VMs stay
// within one retry budget while every VM repeats as many calls as it may, and owners
// of the service change as VMs fail.
func TestAllVMsTogetherStayWithinTheBudget(t *testing.T) {
	const (
		ratio, slack = 0.2, 54.0
		vms, window  = 10, 900
	)
	random := rand.New(rand.NewPCG(3, 4))
	var budgeters []*Budgeter
	for range vms {
		budgeters = append(budgeters, New(ratio, slack, vms))
	}
	owners := [2]int{0, 1}
	for round := range 20 {
		extra := 0
		for n := range window {
			if n%300 == 299 {
				owners[n/300%2] = random.IntN(vms) // the former owner failed
			}
			b := budgeters[owners[n%2]]
			b.CountRequest(1, "s", 2)
			for b.Take(1, "s") {
				extra++
			}
			// Other VMs sometimes retry shares that were not answered.
			if other := budgeters[random.IntN(vms)]; random.IntN(20) == 0 && other.Take(1, "s") {
				extra++
			}
		}
		if bound := ratio*window + slack; float64(extra) > bound {
			t.Errorf("window %d: %d extra calls, the bound is %.0f", round, extra, bound)
		}
	}
}

func TestZeroBudgetGrantsNoExtraCall(t *testing.T) {
	b := New(0, 0, 1)
	b.CountRequest(1, "s", 1)
	if b.Take(1, "s") {
		t.Error("an extra call is granted without budget")
	}
}

func TestOwnerCanHedgeThroughALeafPause(t *testing.T) {
	b := New(0.2, 54, 10)
	for range 200 {
		b.CountRequest(1, "s", 2)
	}
	taken := 0
	for b.Take(1, "s") {
		taken++
	}
	if taken < 10 {
		t.Errorf("%d extra calls in a row, expected 10, as many as arrive during a pause of 300 ms", taken)
	}
}

// TestUnusedBucketsExpireWithoutRefilling guards against buckets that pile up as
// services come and go with configurations, and against a service that gets new
// tokens each time it returns.
func TestUnusedBucketsExpireWithoutRefilling(t *testing.T) {
	b := New(0.2, 54, 10)
	noneUsed := func(string) bool { return false }
	for b.Take(1, "s") {
	}
	for now := tier.Millis(0); now < unusedBucketTTL; now += tier.Second {
		b.ForgetUnused(now, noneUsed)
		if b.Take(now, "s") {
			t.Fatalf("after %d ms a service that was unused got new tokens", now)
		}
	}
	b.ForgetUnused(unusedBucketTTL+1, noneUsed)
	if n := len(b.buckets); n > 0 {
		t.Errorf("%d unused buckets are kept", n)
	}
}

// TestOwnersPartReturnsWithinTheBudget guards against an owner whose tokens are used up once and
// come back with requests only, and against owners that use more than the budget of a window
// as their part comes back. All VMs take as much as they get; owners change.
func TestOwnersPartReturnsWithinTheBudget(t *testing.T) {
	const (
		ratio, slack = 0.2, 158.0
		vms, owners  = 59, 3
		window       = 10 * tier.Second
		step         = 25 * tier.Millisecond // the time between two requests
	)
	random := rand.New(rand.NewPCG(5, 6))
	budgeters := make([]*Budgeter, vms)
	for i := range budgeters {
		budgeters[i] = New(ratio, slack, vms, WithRefill(window))
	}
	current := []int{0, 1, 2}
	var taken []tier.Millis // times of the extra calls
	for now := step; now <= 6*window; now += step {
		if now%(window/2) == 0 {
			current[random.IntN(owners)] = random.IntN(vms)
		}
		b := budgeters[current[random.IntN(owners)]]
		b.CountRequest(now, "s", owners)
		for b.Take(now, "s") {
			taken = append(taken, now)
		}
		if budgeters[random.IntN(vms)].Take(now, "s") {
			taken = append(taken, now)
		}
	}
	bound := ratio*float64(window/step) + slack
	most := 0
	for first, last := 0, 0; last < len(taken); last++ {
		for taken[last]-taken[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	if float64(most) > bound {
		t.Errorf("%d extra calls in %d ms, the bound is %.0f", most, window, bound)
	}
	if perWindow := float64(len(taken)) / 6; perWindow < ratio*ratioFraction*float64(window/step)+slack/8 {
		t.Errorf("%.0f extra calls a window, no more than the ratio grants", perWindow)
	}
}
