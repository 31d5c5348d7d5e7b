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
			b.CountRequest("s", 2)
			for b.Take("s") {
				extra++
			}
			// Other VMs sometimes retry shares that were not answered.
			if other := budgeters[random.IntN(vms)]; random.IntN(20) == 0 && other.Take("s") {
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
	b.CountRequest("s", 1)
	if b.Take("s") {
		t.Error("an extra call is granted without budget")
	}
}

func TestOwnerCanHedgeThroughALeafPause(t *testing.T) {
	b := New(0.2, 54, 10)
	for range 200 {
		b.CountRequest("s", 2)
	}
	taken := 0
	for b.Take("s") {
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
	for b.Take("s") {
	}
	for now := tier.Millis(0); now < unusedBucketTTL; now += tier.Second {
		b.ForgetUnused(now, noneUsed)
		if b.Take("s") {
			t.Fatalf("after %d ms a service that was unused got new tokens", now)
		}
	}
	b.ForgetUnused(unusedBucketTTL+1, noneUsed)
	if n := len(b.buckets); n > 0 {
		t.Errorf("%d unused buckets are kept", n)
	}
}
