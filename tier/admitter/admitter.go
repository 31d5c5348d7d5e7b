// Package admitter decides at the front which whole queries go on to an
// owner, from the thresholds that owners publish. What it refuses has cost
// neither a hop nor a leaf call.
package admitter

import "cicadagrade.example/tier"

// Ages of a threshold, counted from when it was heard.
const (
	FreshFor = 1 * tier.Second // applied as published
	MaxAge   = 5 * tier.Second // no longer applied
)

// Threshold is what an owner publishes of its load.
type Threshold struct {
	fractions  [len(tier.Ranks)]float64
	retryAfter [len(tier.Ranks)]tier.Millis
}

// NewThreshold returns a threshold from the fraction of requests, from 0 to
// 1, that each rank may let through, and the time after which a refused one
// may come again.
func NewThreshold(fractions [len(tier.Ranks)]float64, retryAfter [len(tier.Ranks)]tier.Millis) Threshold {
	return Threshold{fractions: fractions, retryAfter: retryAfter}
}

// Fraction is the part of a rank's requests to let through.
func (t Threshold) Fraction(r tier.Rank) float64 { return t.fractions[r] }

// RetryAfter is when a refused request of a rank may come again.
func (t Threshold) RetryAfter(r tier.Rank) tier.Millis { return t.retryAfter[r] }

// AdmitsAll reports whether every request is let through.
func (t Threshold) AdmitsAll() bool {
	for _, f := range t.fractions {
		if f < 1 {
			return false
		}
	}
	return true
}

// AdmitAll returns the threshold that lets every request through.
func AdmitAll() Threshold {
	var t Threshold
	for r := range t.fractions {
		t.fractions[r] = 1
	}
	return t
}

// ReceivedThreshold is a threshold with the time at which the front heard it.
type ReceivedThreshold struct {
	threshold Threshold
	heard     tier.Millis
}

// NewReceivedThreshold returns a threshold heard at a time of the front's clock.
func NewReceivedThreshold(t Threshold, heard tier.Millis) ReceivedThreshold {
	return ReceivedThreshold{threshold: t, heard: heard}
}

// fraction is the published fraction, eased towards 1 as it grows stale.
func (p ReceivedThreshold) fraction(now tier.Millis, r tier.Rank) float64 {
	f := p.threshold.fractions[r]
	age := now - p.heard
	if age <= FreshFor {
		return f
	}
	if age >= MaxAge {
		return 1
	}
	return f + (1-f)*float64(age-FreshFor)/float64(MaxAge-FreshFor)
}

// Admitter spreads the admitted requests of one shard set evenly.
type Admitter struct {
	share [len(tier.Ranks)]float64
}

// New returns an admitter that lets the first request of each rank through.
func New() *Admitter {
	a := &Admitter{}
	for r := range a.share {
		a.share[r] = 1
	}
	return a
}

// Admit decides on a request that needs all the owners whose thresholds are
// given: the strictest counts. It returns true, or false and when to retry,
// spread over half as long again.
func (a *Admitter) Admit(now tier.Millis, r tier.Rank, owners ...ReceivedThreshold) (tier.Millis, bool) {
	fraction, after := 1.0, tier.Millis(0)
	for _, p := range owners {
		if f := p.fraction(now, r); f < fraction {
			fraction, after = f, p.threshold.retryAfter[r]
		}
	}
	if fraction >= 1 {
		return 0, true
	}
	a.share[r] += fraction
	if a.share[r] >= 1 {
		a.share[r]--
		return 0, true
	}
	return 1 + after + tier.Millis(float64(after)*a.share[r]/2), false
}
