package dispatcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// Parameters of the published admission threshold.
const (
	overloadInterval  = 100 * tier.Millis(1)
	minFraction       = 0.01 // admits some requests, so that the end of an overload is noticed
	admitHeadroom     = 1.1  // requests to admit per request accepted in the last interval
	fractionIncrement = 0.02
	minFractionRatio  = 0.5 // least ratio between the fractions of two successive intervals
	acceptRateWeight  = 0.2 // weight of the newest interval in acceptRates
	retryRateShare    = 0.5 // part of acceptRates reserved for retried requests
	maxRetryAfter     = 30 * tier.Second
	priorArrivals     = 4 // added as accepted, so that a single refusal has little effect
)

// overloadControl counts arriving parts and parts refused because of overload, by rank.
// From these it derives the fraction of requests that entry VMs should admit, and the
// time at which a refused request may be retried.
type overloadControl struct {
	intervalStart tier.Millis // start of the current interval
	intervalEnd   tier.Millis
	arrivals      [len(tier.Ranks)]int
	refusals      [len(tier.Ranks)]int
	fractions     [len(tier.Ranks)]float64
	acceptRates   [len(tier.Ranks)]float64 // average of accepted parts per millisecond, over intervals with refusals
	retryTimes    [len(tier.Ranks)]float64 // when the last refused request may be retried
}

func newOverloadControl() overloadControl {
	var c overloadControl
	for r := range c.fractions {
		c.fractions[r] = 1
	}
	return c
}

func (c *overloadControl) recordArrival(r tier.Rank) { c.arrivals[r]++ }

// recordRefusal returns after how long a refused request may be retried: no earlier than
// after minWait, and later than the requests refused before it, with retries spaced by
// the rate at which requests are accepted.
func (c *overloadControl) recordRefusal(now tier.Millis, r tier.Rank, minWait tier.Millis) tier.Millis {
	c.refusals[r]++
	c.retryTimes[r] = max(c.retryTimes[r], float64(now+minWait))
	c.advanceRetryTime(now, r, 1)
	return c.retryAfter(now, r)
}

// advanceRetryTime reserves the time for n retries.
func (c *overloadControl) advanceRetryTime(now tier.Millis, r tier.Rank, n float64) {
	if c.acceptRates[r] > 0 {
		c.retryTimes[r] += n / (retryRateShare * c.acceptRates[r])
	}
	c.retryTimes[r] = min(c.retryTimes[r], float64(now+maxRetryAfter))
}

func (c *overloadControl) retryAfter(now tier.Millis, r tier.Rank) tier.Millis {
	return max(1, tier.Millis(c.retryTimes[r])-now)
}

// admitsAll reports whether the requests of every rank are all admitted and none was
// refused in the current interval.
func (c *overloadControl) admitsAll() bool {
	for r, f := range c.fractions {
		if f < 1 || c.refusals[r] > 0 {
			return false
		}
	}
	return true
}

// endInterval ends the current interval if its time is over.
func (c *overloadControl) endInterval(now tier.Millis) {
	if now < c.intervalEnd {
		return
	}
	for _, r := range tier.Ranks {
		c.updateRetryTime(now, r)
		c.fractions[r] = nextFraction(c.fractions[r], c.arrivals[r], c.refusals[r])
		c.arrivals[r], c.refusals[r] = 0, 0
	}
	c.intervalStart, c.intervalEnd = now, now+overloadInterval
}

// updateRetryTime measures the rate of accepted requests while some are refused, and
// reserves retries for the requests that entry VMs refused themselves. After an interval
// without refusals, requests may be retried earlier.
func (c *overloadControl) updateRetryTime(now tier.Millis, r tier.Rank) {
	if c.refusals[r] == 0 {
		c.retryTimes[r] -= max(0, c.retryTimes[r]-float64(now)) / 2
		return
	}
	rate := float64(max(1, c.arrivals[r]-c.refusals[r])) / float64(max(1, now-c.intervalStart))
	if c.acceptRates[r] == 0 {
		c.acceptRates[r] = rate
	}
	c.acceptRates[r] += acceptRateWeight * (rate - c.acceptRates[r])
	c.advanceRetryTime(now, r, float64(c.arrivals[r])*(1/c.fractions[r]-1))
}

func nextFraction(f float64, arrivals, refusals int) float64 {
	if refusals == 0 {
		return min(1, f*admitHeadroom+fractionIncrement)
	}
	accepted := float64(arrivals-refusals+priorArrivals) / float64(arrivals+priorArrivals)
	return max(minFraction, f*minFractionRatio, min(1, f*accepted*admitHeadroom))
}

func (c *overloadControl) threshold(now tier.Millis) admitter.Threshold {
	var after [len(tier.Ranks)]tier.Millis
	for _, r := range tier.Ranks {
		after[r] = c.retryAfter(now, r)
	}
	return admitter.NewThreshold(c.fractions, after)
}
