package hedger

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

func TestDelayIsTheQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latencies := rapid.SliceOfN(rapid.Int64Range(0, 600000), 2*MinSamples, 2*MinSamples).Draw(t, "latencies")
		h := New(0.9, 0.05)
		for i, m := range latencies {
			if _, ok := h.Delay(); ok != (i >= MinSamples) {
				t.Fatalf("measured %v after %d samples", ok, i)
			}
			h.ObserveLatency(0, tier.Millis(m))
		}
		got, _ := h.Delay()
		slices.Sort(latencies)
		want := latencies[len(latencies)*9/10-1]
		if int64(got) <= want || float64(got) > float64(want)*(1+1.0/32)+2 {
			t.Fatalf("delay %d, quantile %d", got, want)
		}
	})
}

func TestOldLatenciesAreForgotten(t *testing.T) {
	h := New(0.9, 0.05)
	for i := range 3 {
		for range MinSamples {
			h.ObserveLatency(tier.Millis(i)*Window, tier.Millis(1000>>(4*i)))
		}
	}
	if got, _ := h.Delay(); got > 64 {
		t.Fatalf("delay %d still counts the first window", got)
	}
}

func TestLowerRanksLeaveBudget(t *testing.T) {
	h := New(0.9, 0.05)
	taken := [len(tier.Ranks)]int{}
	for _, r := range []tier.Rank{tier.Reports, tier.Daily, tier.Urgent} {
		for h.Take(r) {
			taken[r]++
		}
	}
	if taken != [...]int{3, 2, 5} {
		t.Fatalf("took %v of %d tokens", taken, BudgetBurst)
	}
	for range 19 {
		h.RecordFirstAttempt()
	}
	if h.Take(tier.Urgent) {
		t.Fatal("took a token that 19 first attempts had not earned")
	}
}
