package balancer

import (
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/throttler"
)

func newColdBalancer(share float64) *Balancer {
	b := New(func(string) Distance { return SameRegion }, WithRandom(func() float64 { return 0.5 }))
	b.LimitCold(func(name string) router.Service { return router.NewService(name, 10*tier.Second, 4) },
		func(tier.Millis, lister.Leaf) float64 { return share })
	return b
}

func coldLeaf(start int64, remaining tier.Millis) lister.Leaf {
	return lister.NewLeaf("i-1", "s", "a:1", lister.WithSlots(9), lister.StartedAt(start), lister.WithColdRemaining(remaining))
}

// callsIn counts the calls that a VM may send within a time.
func callsIn(b *Balancer, leaf lister.Leaf, from, until tier.Millis) int {
	calls := 0
	for now := from; now < until; now += 5 {
		if b.HasCapacity(now, leaf, false) {
			b.Sent(now, "c", leaf)
			b.Answered(now, "c", leaf, 1)
			calls++
		}
	}
	return calls
}

// TestColdTimeEndsNoEarlier guards against leafs that count as warm because of an older
// registration, a late reply of the process before, or a registration without a cold time.
func TestColdTimeEndsNoEarlier(t *testing.T) {
	b := newColdBalancer(1)
	expect := func(now tier.Millis, leaf lister.Leaf, want tier.Millis, when string) {
		t.Helper()
		if got := b.ColdRemaining(now, leaf); got != want {
			t.Errorf("%s: cold for %d ms, expected %d", when, got, want)
		}
	}
	first := coldLeaf(1, 8*tier.Second)
	if !b.Registered(0, first) || b.Registered(1000, coldLeaf(1, 7*tier.Second)) {
		t.Error("a renewal counts as cold again, or the first registration does not")
	}
	b.Registered(1500, coldLeaf(1, 2*tier.Second))
	expect(2000, first, 6*tier.Second, "an older registration")
	b.Sent(2000, "c", first)
	second := coldLeaf(2, 0)
	if !b.Registered(3000, second) {
		t.Error("a restarted leaf is not cold")
	}
	b.Broken(3500, first)
	expect(4000, second, 9*tier.Second, "a call to the process before ends")
	if b.TurnedCold(4000, second, 5*tier.Second) || !b.TurnedCold(4000, second, 12*tier.Second) {
		t.Error("the later end of the cold time does not count")
	}
	expect(5000, second, 11*tier.Second, "its data centre's evacuation ends")
}

// TestLowerLimitOfAColdLeafBinds guards against a cold leaf whose own limit replaces the rate of
// its service, or the other way round.
func TestLowerLimitOfAColdLeafBinds(t *testing.T) {
	for _, named := range []float64{1, 4, 50} {
		b := newColdBalancer(1)
		leaf := coldLeaf(1, 20*tier.Second)
		b.Registered(0, leaf)
		b.Heard(0, 0, leaf, throttler.RateLimit{PerSecond: named})
		if calls, most := callsIn(b, leaf, 0, 10*tier.Second), int(10*min(named, 4))+1; calls > most || calls < most*7/10 {
			t.Errorf("a leaf with a cold rate of 4 and a limit of %g gets %d calls in 10 s", named, calls)
		}
	}
}

// TestWarmingLeafIsUsedBySteps guards against a leaf that gets all its load at the end of its cold
// time, and against VMs without a share that call a cold leaf.
func TestWarmingLeafIsUsedBySteps(t *testing.T) {
	const end = 5 * tier.Second
	b, leaf := newColdBalancer(1), coldLeaf(1, end)
	b.Registered(0, leaf)
	before := callsIn(b, leaf, 0, end)
	first, last := callsIn(b, leaf, end, end+warmStagger), callsIn(b, leaf, end+warmStagger+2*warmRamp, end+warmStagger+2*warmRamp+500)
	if before > 21 || first > 25 || last != 100 {
		t.Errorf("%d calls while it is cold, %d as it begins to warm, %d of 100 when it is warm", before, first, last)
	}
	other := newColdBalancer(0)
	other.Registered(0, leaf)
	if other.MayCall(end, leaf) || !other.MayCall(end+warmStagger+warmRamp, leaf) {
		t.Error("a VM without a share calls a cold leaf, or never a warm one")
	}
	if !newColdBalancer(0).MayCall(0, leaf) || other.ColdLimitedCount(0) != 1 || len(other.TakeColdChanges(0)) != 1 || len(other.TakeColdChanges(1)) != 0 {
		t.Error("cold leafs are not counted once")
	}
}

// TestLoadBelongsToAStart guards against figures of a process that has ended.
func TestLoadBelongsToAStart(t *testing.T) {
	b, leaf := newColdBalancer(1), coldLeaf(1, 0)
	b.HeardLoad(7, leaf, NewLoad(1, 2, 3, 130))
	if load, at, ok := b.LoadOf(leaf); !ok || at != 7 || load != NewLoad(1, 2, 3, 130) {
		t.Errorf("the load is %v at %d, %v", load, at, ok)
	}
	if _, _, ok := b.LoadOf(coldLeaf(2, 0)); ok {
		t.Error("a restarted leaf has the load of the process before")
	}
}
