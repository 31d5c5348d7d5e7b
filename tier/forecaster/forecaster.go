// Package forecaster predicts requests that are likely not to get the shards they
// need. They are refused at once, instead of failing after their leafs have worked
// for them.
package forecaster

import (
	"math"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/apportioner"
)

const (
	// missRateWeight is the weight of one request in a shard's miss rate: several
	// misses in a row raise it, a single pause of a leaf does not.
	missRateWeight = 0.12
	// missRateHalfLifeMs is the half-life of a miss rate without requests.
	missRateHalfLifeMs = 2500.0
	// minMissRate is the miss rate below which misses are taken for occasional
	// pauses of leafs.
	minMissRate = 0.3
	// expectedMissSlack is by how much the expected number of missing shards must
	// exceed the number that a request may miss. Misses are correlated: some
	// requests get all shards while most miss several.
	expectedMissSlack = 1.5
	// deadMissRate is the miss rate of a shard that answers no request.
	deadMissRate = 0.85
	// trialFraction is the fraction of requests likely to fail that are tried
	// nevertheless, to detect that the shards have recovered.
	trialFraction = 0.25
)

type shardStats struct {
	missRate  float64
	updatedAt tier.Millis
}

func (s *shardStats) decayedMissRate(now tier.Millis) float64 {
	return s.missRate * math.Exp2(-float64(now-s.updatedAt)/missRateHalfLifeMs)
}

// Forecaster holds the miss rates of shards as one VM observes them. It is not safe
// for concurrent use.
type Forecaster struct {
	shards map[string]*shardStats
	demand *apportioner.Demand
}

// New returns a forecaster without observations.
func New() *Forecaster {
	return &Forecaster{shards: map[string]*shardStats{}, demand: apportioner.NewDemand()}
}

// Reset drops all observations.
func (f *Forecaster) Reset() { clear(f.shards) }

// Forget drops the observations of one shard.
func (f *Forecaster) Forget(name string) { delete(f.shards, name) }

// RecordMissed records that a shard did not answer by the target time of a request.
func (f *Forecaster) RecordMissed(now tier.Millis, name string) {
	s, ok := f.shards[name]
	if !ok {
		s = &shardStats{}
		f.shards[name] = s
	}
	rate := s.decayedMissRate(now)
	s.missRate, s.updatedAt = rate+missRateWeight*(1-rate), now
}

// RecordArrived records that a shard answered by the target time of a request.
func (f *Forecaster) RecordArrived(now tier.Millis, name string) {
	s, ok := f.shards[name]
	if !ok {
		return
	}
	s.missRate, s.updatedAt = s.decayedMissRate(now)*(1-missRateWeight), now
	const negligible = 0.01
	if s.missRate < negligible {
		delete(f.shards, name)
	}
}

// LikelyToFail reports whether a request that needs minimum of the shards is likely
// not to get them. Retries of callers and a fraction of the other requests are tried
// nevertheless; random is uniform in [0, 1).
func (f *Forecaster) LikelyToFail(now tier.Millis, shards []string, minimum int, isRetry bool, random float64) bool {
	return !isRetry && f.tooFew(now, shards, minimum) && random >= trialFraction
}

// tooFew reports whether fewer than minimum of the shards are likely to answer.
func (f *Forecaster) tooFew(now tier.Millis, shards []string, minimum int) bool {
	if len(f.shards) == 0 {
		return false
	}
	allowedMisses := len(shards) - minimum
	dead, expectedMisses := 0, 0.0
	for _, name := range shards {
		s, ok := f.shards[name]
		if !ok {
			continue
		}
		rate := s.decayedMissRate(now)
		if rate >= minMissRate {
			expectedMisses += rate
		}
		if rate >= deadMissRate {
			dead++
		}
	}
	return dead > allowedMisses || expectedMisses > float64(allowedMisses)+expectedMissSlack
}
