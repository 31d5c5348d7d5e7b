package apportioner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

// vmDemand plays the requests that one VM receives, with random pauses.
type vmDemand struct {
	demand  *Demand
	random  *rand.Rand
	now     tier.Millis
	rates   map[string]float64 // requests a second at this VM
	weights map[string]float64
}

// play returns the mean fraction that is admitted by organisation, and of all requests.
func (v *vmDemand) play(duration tier.Millis, ofAll float64) (map[string]float64, float64) {
	const step = 10 * tier.Millisecond
	asked, admitted, allAsked, allAdmitted := map[string]float64{}, map[string]float64{}, 0.0, 0.0
	for end := v.now + duration; v.now < end; v.now += step {
		for _, name := range []string{"o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8", "o9", "smallest"} {
			if v.random.Float64() >= v.rates[name]*float64(step)/float64(tier.Second) {
				continue
			}
			v.demand.Received(v.now, name, v.weights[name])
			fraction := v.demand.Fraction(v.now, name, ofAll)
			asked[name], admitted[name] = asked[name]+1, admitted[name]+fraction
			allAsked, allAdmitted = allAsked+1, allAdmitted+fraction
		}
	}
	for name := range admitted {
		admitted[name] /= asked[name]
	}
	return admitted, allAdmitted / allAsked
}

func newVMDemand() *vmDemand {
	v := &vmDemand{demand: NewDemand(), random: rand.New(rand.NewPCG(1, 2)), rates: map[string]float64{}, weights: map[string]float64{}}
	for k := 1; k <= 9; k++ {
		name := fmt.Sprint("o", k)
		v.rates[name] = 4 * math.Pow(float64(k), -1.2)
		v.weights[name] = 84 * 1.6 * v.rates[name] // in the fleet
	}
	// All callers of the smallest organisation are at this VM.
	v.rates["smallest"], v.weights["smallest"] = 0.3, 1.6*0.3
	return v
}

// TestUsualRateIsRefusedLast guards against a surge that costs others their trials, and against
// an organisation that is taken for one in a surge because all its callers are at one VM. Without
// fair shares, each gets the fraction of all.
func TestUsualRateIsRefusedLast(t *testing.T) {
	const ofAll = 0.25
	for _, surge := range []struct {
		factor float64
		hot    []string
		least  float64 // fraction for organisations at their usual rate
	}{{7, []string{"o3"}, 0.31}, {7, []string{"o2", "o4", "o6", "o8"}, 0.48}, {20, []string{"o9"}, 0.28}} {
		hot := surge.hot
		const runs = 20
		admitted, all := map[string]float64{}, 0.0
		for seed := range uint64(runs) {
			v := newVMDemand()
			v.random = rand.New(rand.NewPCG(1, seed))
			v.play(120*tier.Second, ofAll)
			for _, name := range hot {
				v.rates[name] *= surge.factor
			}
			byName, ofRun := v.play(8*tier.Second, ofAll)
			all += ofRun / runs
			for name, fraction := range byName {
				admitted[name] += fraction / runs
			}
		}
		t.Logf("%v surge: admitted %.2f of all, %v", hot, all, admitted)
		for _, name := range []string{"o1", "o5", "smallest"} {
			if admitted[name] < surge.least {
				t.Errorf("%v surge: %.2f of the requests of %s are admitted, %.2f of all", hot, admitted[name], name, all)
			}
		}
		for name, fraction := range admitted {
			if fraction < all/4 {
				t.Errorf("%v surge: only %.2f of the requests of %s are admitted, %.2f of all", hot, fraction, name, all)
			}
		}
		if math.Abs(all-ofAll) > 0.05 {
			t.Errorf("%v surge: %.2f of all requests are admitted, want %.2f", hot, all, ofAll)
		}
	}
}

// TestSmallestOrganisationIsAdmitted guards against an organisation that a VM hears of so seldom
// that each request looks like a surge, also just after the VM has started.
func TestSmallestOrganisationIsAdmitted(t *testing.T) {
	const ofAll = 0.25
	for _, before := range []tier.Millis{0, 300 * tier.Second} {
		v := newVMDemand()
		v.rates["smallest"] = 0
		v.play(before, ofAll)
		v.rates["o2"] *= 7
		v.play(5*tier.Second, ofAll)
		v.demand.Received(v.now, "smallest", v.weights["smallest"])
		if got := v.demand.Fraction(v.now, "smallest", ofAll); got < ofAll {
			t.Errorf("after %d ms, %.2f of the requests of the smallest organisation are admitted", before, got)
		}
	}
}

// TestWithoutOrganisationsAllAreEqual guards against a change for deployments without
// organisations.
func TestWithoutOrganisationsAllAreEqual(t *testing.T) {
	d := NewDemand()
	for range 50 {
		d.Received(5, "", 0)
	}
	if got := d.Fraction(5, "", 0.25); got != 0.25 {
		t.Errorf("%g of all requests are admitted", got)
	}
}

// TestNoneIsLeftOut guards against a small organisation that gets almost no trials because it
// sends many times its part while all others ask for theirs.
func TestNoneIsLeftOut(t *testing.T) {
	const ofAll, others = 0.25, 100
	d := NewDemand()
	receive := func(now tier.Millis, hot int) {
		for k := range others {
			d.Received(now, fmt.Sprint("o", k), 10)
		}
		for range hot {
			d.Received(now, "hot", 0.1)
		}
	}
	now := tier.Millis(0)
	for ; now < 60*tier.Second; now += 200 {
		receive(now, 0)
	}
	for range 10 {
		now += 200
		receive(now, 5)
	}
	if got := d.Fraction(now, "hot", ofAll); got < ofAll/4 {
		t.Errorf("%.3f of its requests are admitted, %.2f of all", got, ofAll)
	}
}
