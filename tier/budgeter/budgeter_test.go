package budgeter

import (
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

// The load: every VM wants to repeat every call to one service, while owners
// change and VMs come and go. Pattern: retry budget, divided among clients.
func TestAllVMsTogetherKeepTheBound(t *testing.T) {
	const (
		ratio, slack = 0.2, 54.0
		vms, window  = 10, 900
	)
	draw := rand.New(rand.NewPCG(3, 4))
	var list []*Budgeter
	for range vms {
		list = append(list, New(ratio, slack, vms))
	}
	owners := [2]int{0, 1}
	for round := range 20 {
		extra := 0
		for n := range window {
			if n%300 == 299 {
				owners[n/300%2] = draw.IntN(vms) // its VM died
			}
			b := list[owners[n%2]]
			b.CountRequest("s", 2)
			for b.Take("s") {
				extra++
			}
			// The others find their shares unanswered now and then.
			if other := list[draw.IntN(vms)]; draw.IntN(20) == 0 && other.Take("s") {
				extra++
			}
		}
		if bound := ratio*window + slack; float64(extra) > bound {
			t.Errorf("window %d: %d extra calls, the bound is %.0f", round, extra, bound)
		}
	}
}

func TestNoBudgetNoExtraCall(t *testing.T) {
	b := New(0, 0, 1)
	b.CountRequest("s", 1)
	if b.Take("s") {
		t.Error("an extra call without any budget")
	}
}

func TestAnOwnerMayHedgeThroughAPause(t *testing.T) {
	b := New(0.2, 54, 10)
	for range 200 {
		b.CountRequest("s", 2)
	}
	taken := 0
	for b.Take("s") {
		taken++
	}
	if taken < 10 {
		t.Errorf("%d extra calls in a row, expected 10: a pause of 300 ms meets as many", taken)
	}
}

// Services come and go with configurations: buckets are bounded, and a service
// that is named again and again gets no more than it had.
func TestUnusedBucketsAreForgottenLater(t *testing.T) {
	b := New(0.2, 54, 10)
	none := func(string) bool { return false }
	for b.Take("s") {
	}
	for now := tier.Millis(0); now < keepFor; now += tier.Second {
		b.ForgetUnused(now, none)
		if b.Take("s") {
			t.Fatalf("after %d ms a service that was away got new extra calls", now)
		}
	}
	b.ForgetUnused(keepFor+1, none)
	if n := len(b.buckets); n > 0 {
		t.Errorf("%d buckets are kept", n)
	}
}
