package forecaster

import "cicadagrade.example/tier"

// Received records a first try of a request of an organisation, or of none. Retries of callers are
// left out: those of refused requests would count twice.
func (f *Forecaster) Received(now tier.Millis, organisation string, weight float64) {
	f.demand.Received(now, organisation, weight)
}

// LikelyToFailOf is LikelyToFail for a request of an organisation. As many requests are tried,
// but those of organisations that ask for more than their part are refused first.
func (f *Forecaster) LikelyToFailOf(now tier.Millis, organisation string, shards []string, minimum int, isRetry bool, random float64) bool {
	return !isRetry && f.tooFew(now, shards, minimum) && random >= f.demand.Fraction(now, organisation, trialFraction)
}
