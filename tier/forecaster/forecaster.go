// Package forecaster tells requests that can't be expected to get the shards
// that they need, so that they are refused at once instead of failing after
// their leafs have worked for them.
package forecaster

import (
	"math"

	"cicadagrade.example/tier"
)

const (
	// weight is the weight of one part in a shard's miss rate: a few requests
	// in a row tell, a single pause of a leaf does not.
	weight = 0.12
	// halfLife is how fast misses are forgotten without requests, in
	// milliseconds.
	halfLife = 2500.0
	// noise is the miss rate below which leafs only pause now and then.
	noise = 0.3
	// slack is by how much the missing parts to expect must exceed what a
	// request may miss. Misses come together, so that some requests get all
	// parts at a time when most miss several.
	slack = 1.5
	// dead is the miss rate of a shard that serves nobody.
	dead = 0.85
	// trialShare is the part of hopeless requests that are tried all the same,
	// to see whether the shards are back.
	trialShare = 0.25
)

type shard struct {
	rate float64
	at   tier.Millis
}

func (s *shard) now(now tier.Millis) float64 {
	return s.rate * math.Exp2(-float64(now-s.at)/halfLife)
}

// Forecaster keeps the miss rates of shards as one VM sees them. It is not safe
// for concurrent use.
type Forecaster struct {
	shards map[string]*shard
}

// New returns a forecaster that has seen nothing.
func New() *Forecaster { return &Forecaster{shards: map[string]*shard{}} }

// RecordMissed counts a part that was not in by the aim of its request.
func (f *Forecaster) RecordMissed(now tier.Millis, name string) {
	s, ok := f.shards[name]
	if !ok {
		s = &shard{}
		f.shards[name] = s
	}
	rate := s.now(now)
	s.rate, s.at = rate+weight*(1-rate), now
}

// RecordArrived counts a part that was in by the aim.
func (f *Forecaster) RecordArrived(now tier.Millis, name string) {
	s, ok := f.shards[name]
	if !ok {
		return
	}
	s.rate, s.at = s.now(now)*(1-weight), now
	const forgotten = 0.01
	if s.rate < forgotten {
		delete(f.shards, name)
	}
}

// LikelyToFail reports whether a request that needs minimum of the shards can't be
// expected to get them. Some such requests are tried all the same, and those
// that came back after a refusal always are. draw is uniform in [0, 1).
func (f *Forecaster) LikelyToFail(now tier.Millis, shards []string, minimum int, cameBack bool, draw float64) bool {
	if len(f.shards) == 0 || cameBack {
		return false
	}
	allowed := len(shards) - minimum
	gone, expected := 0, 0.0
	for _, name := range shards {
		s, ok := f.shards[name]
		if !ok {
			continue
		}
		rate := s.now(now)
		if rate >= noise {
			expected += rate
		}
		if rate >= dead {
			gone++
		}
	}
	return (gone > allowed || expected > float64(allowed)+slack) && draw >= trialShare
}
