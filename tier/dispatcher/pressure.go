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
	rateWeight       = 0.2 // of the newest interval in the average rate of accepted requests
	returnShare      = 0.5 // of that rate, which returning requests get
	maxRetryAfter    = 30 * tier.Second
	steadying        = 4 // accepted arrivals supposed besides those counted, so that one refusal says little
)

// pressure counts what arrives and what is refused for load, by rank, and
// turns it into the fraction that fronts should let through and into the time
// at which a refused request may come again.
type pressure struct {
	begun     tier.Millis // of the present interval
	end       tier.Millis
	arrivals  [len(tier.Ranks)]int
	refusals  [len(tier.Ranks)]int
	fractions [len(tier.Ranks)]float64
	rates     [len(tier.Ranks)]float64 // accepted requests a millisecond, while some are refused
	turns     [len(tier.Ranks)]float64 // when the request refused last may come again
}

func newPressure() pressure {
	var p pressure
	for r := range p.fractions {
		p.fractions[r] = 1
	}
	return p
}

func (p *pressure) arrived(r tier.Rank) { p.arrivals[r]++ }

// refused gives a refused request its turn: after the time that it lacks, and
// after those refused before it, at the rate at which requests are accepted.
func (p *pressure) refused(now tier.Millis, r tier.Rank, lacks tier.Millis) tier.Millis {
	p.refusals[r]++
	p.turns[r] = max(p.turns[r], float64(now+lacks))
	p.takeTurns(now, r, 1)
	return p.retryAfter(now, r)
}

func (p *pressure) takeTurns(now tier.Millis, r tier.Rank, n float64) {
	if p.rates[r] > 0 {
		p.turns[r] += n / (returnShare * p.rates[r])
	}
	p.turns[r] = min(p.turns[r], float64(now+maxRetryAfter))
}

func (p *pressure) retryAfter(now tier.Millis, r tier.Rank) tier.Millis {
	return max(1, tier.Millis(p.turns[r])-now)
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
	for _, r := range tier.Ranks {
		p.rollTurns(now, r)
		p.fractions[r] = nextFraction(p.fractions[r], p.arrivals[r], p.refusals[r])
		p.arrivals[r], p.refusals[r] = 0, 0
	}
	p.begun, p.end = now, now+pressureInterval
}

// rollTurns measures the rate of accepted requests while some are refused, and
// counts the turns of those that fronts refused. An interval without refusals
// shows that turns may be earlier.
func (p *pressure) rollTurns(now tier.Millis, r tier.Rank) {
	if p.refusals[r] == 0 {
		p.turns[r] -= max(0, p.turns[r]-float64(now)) / 2
		return
	}
	rate := float64(max(1, p.arrivals[r]-p.refusals[r])) / float64(max(1, now-p.begun))
	if p.rates[r] == 0 {
		p.rates[r] = rate
	}
	p.rates[r] += rateWeight * (rate - p.rates[r])
	p.takeTurns(now, r, float64(p.arrivals[r])*(1/p.fractions[r]-1))
}

func nextFraction(f float64, arrivals, refusals int) float64 {
	if refusals == 0 {
		return min(1, f*overOffer+fractionStep)
	}
	accepted := float64(arrivals-refusals+steadying) / float64(arrivals+steadying)
	return max(minFraction, f*fractionDrop, min(1, f*accepted*overOffer))
}

func (p *pressure) threshold(now tier.Millis) admitter.Threshold {
	var after [len(tier.Ranks)]tier.Millis
	for _, r := range tier.Ranks {
		after[r] = p.retryAfter(now, r)
	}
	return admitter.NewThreshold(p.fractions, after)
}
