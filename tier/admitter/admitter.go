// Package admitter decides in an entry VM which requests are forwarded to the owners of
// a shard set, based on the admission thresholds that owners publish. A request that it
// refuses causes no message to an owner and no leaf call.
package admitter

import "cicadagrade.example/tier"

// Ages of a threshold, counted from its receipt.
const (
	FreshFor = 1 * tier.Second // up to this age a threshold applies as published
	MaxAge   = 5 * tier.Second // from this age on it admits every request
)

// Threshold is the admission threshold that an owner publishes according to its load.
type Threshold struct {
	fractions  [len(tier.Ranks)]float64
	retryAfter [len(tier.Ranks)]tier.Millis
}

// NewThreshold returns a threshold with, for each rank, the fraction of requests to
// admit, from 0 to 1, and the time after which a refused request may be retried.
func NewThreshold(fractions [len(tier.Ranks)]float64, retryAfter [len(tier.Ranks)]tier.Millis) Threshold {
	return Threshold{fractions: fractions, retryAfter: retryAfter}
}

// Fraction is the fraction of a rank's requests to admit.
func (t Threshold) Fraction(r tier.Rank) float64 { return t.fractions[r] }

// RetryAfter is the time after which a refused request of a rank may be retried.
func (t Threshold) RetryAfter(r tier.Rank) tier.Millis { return t.retryAfter[r] }

// AdmitsAll reports whether the threshold admits every request.
func (t Threshold) AdmitsAll() bool {
	for _, f := range t.fractions {
		if f < 1 {
			return false
		}
	}
	return true
}

// AdmitAll returns a threshold that admits every request.
func AdmitAll() Threshold {
	var t Threshold
	for r := range t.fractions {
		t.fractions[r] = 1
	}
	return t
}

// ReceivedThreshold is a threshold and the time at which the entry VM received it.
type ReceivedThreshold struct {
	threshold  Threshold
	receivedAt tier.Millis
}

// NewReceivedThreshold returns a threshold that was received at a time of the entry
// VM's clock.
func NewReceivedThreshold(t Threshold, receivedAt tier.Millis) ReceivedThreshold {
	return ReceivedThreshold{threshold: t, receivedAt: receivedAt}
}

// fractionAt is the fraction of requests to admit at a time. Between FreshFor and MaxAge
// it rises linearly from the published fraction to 1.
func (t ReceivedThreshold) fractionAt(now tier.Millis, r tier.Rank) float64 {
	f := t.threshold.fractions[r]
	age := now - t.receivedAt
	if age <= FreshFor {
		return f
	}
	if age >= MaxAge {
		return 1
	}
	return f + (1-f)*float64(age-FreshFor)/float64(MaxAge-FreshFor)
}

// Admitter admits the published fraction of one shard set's requests, evenly spread.
// It is not safe for concurrent use.
type Admitter struct {
	credit [len(tier.Ranks)]float64 // sum of fractions, less 1 for each admitted request
}

// New returns an Admitter that admits the first request of each rank.
func New() *Admitter {
	a := &Admitter{}
	for r := range a.credit {
		a.credit[r] = 1
	}
	return a
}

// Admit decides on a request that needs all the owners whose thresholds are given: the
// lowest fraction applies. For a refused request it returns false and the time after
// which to retry, which is lengthened by up to 50 % to spread retries.
func (a *Admitter) Admit(now tier.Millis, r tier.Rank, owners ...ReceivedThreshold) (tier.Millis, bool) {
	fraction, retryAfter := 1.0, tier.Millis(0)
	for _, t := range owners {
		if f := t.fractionAt(now, r); f < fraction {
			fraction, retryAfter = f, t.threshold.retryAfter[r]
		}
	}
	if fraction >= 1 {
		return 0, true
	}
	a.credit[r] += fraction
	if a.credit[r] >= 1 {
		a.credit[r]--
		return 0, true
	}
	return 1 + retryAfter + tier.Millis(float64(retryAfter)*a.credit[r]/2), false
}
