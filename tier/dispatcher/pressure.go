package dispatcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// Limits of the published admission threshold.
const (
	pressureInterval = 100 * tier.Millis(1)
	minFraction      = 0.01 // keeps some requests coming, to notice the end of a flood
	overOffer        = 1.1  // requests let through for each that was accepted
	fractionStep     = 0.02
	fractionDrop     = 0.5 // most that a fraction falls in one interval
	steadying        = 4   // accepted arrivals supposed besides those counted, so that one refusal says little
)

// pressure counts what arrives and what is refused for load, by rank, and
// turns it into the fraction that fronts should let through.
type pressure struct {
	end       tier.Millis
	arrivals  [len(tier.Ranks)]int
	refusals  [len(tier.Ranks)]int
	fractions [len(tier.Ranks)]float64
	after     [len(tier.Ranks)]tier.Millis
}

func newPressure() pressure {
	var p pressure
	for r := range p.fractions {
		p.fractions[r] = 1
	}
	return p
}

func (p *pressure) arrived(r tier.Rank) { p.arrivals[r]++ }

func (p *pressure) refused(r tier.Rank, after tier.Millis) {
	p.refusals[r]++
	p.after[r] = after
}

// eased reports whether every rank is let through whole.
func (p *pressure) eased() bool {
	for r, f := range p.fractions {
		if f < 1 || p.refusals[r] > 0 {
			return false
		}
	}
	return true
}

// roll ends the interval when its time has come.
func (p *pressure) roll(now tier.Millis) {
	if now < p.end {
		return
	}
	for r := range p.fractions {
		p.fractions[r] = nextFraction(p.fractions[r], p.arrivals[r], p.refusals[r])
		p.arrivals[r], p.refusals[r] = 0, 0
	}
	p.end = now + pressureInterval
}

func nextFraction(f float64, arrivals, refusals int) float64 {
	if refusals == 0 {
		return min(1, f*overOffer+fractionStep)
	}
	accepted := float64(arrivals-refusals+steadying) / float64(arrivals+steadying)
	return max(minFraction, f*fractionDrop, min(1, f*accepted*overOffer))
}

func (p *pressure) threshold() admitter.Threshold {
	return admitter.NewThreshold(p.fractions, p.after)
}
