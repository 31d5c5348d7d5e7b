// Package hedger decides when a leaf call is slow enough to be hedged with a second one:
// after a quantile of recent latencies. Hedges and retries share a token bucket that
// limits them to a fraction of first attempts.
package hedger

import "cicadagrade.example/tier"

// Parameters of the latency estimate and the budget.
const (
	Window      = 10 * tier.Second // latencies older than two windows are discarded
	MinSamples  = 50               // with fewer samples there is no quantile
	BudgetBurst = 10               // initial and maximum number of tokens
)

// Hedger holds the latencies and the hedge budget of one shard set. It is not safe for
// concurrent use.
type Hedger struct {
	quantile    float64
	budgetRatio float64 // tokens added per first attempt
	tokens      float64
	current     *histogram
	previous    *histogram
	windowStart tier.Millis
	delay       tier.Millis
	hasDelay    bool
	newSamples  int // samples since delay was last updated
}

// New returns a Hedger with a full budget. The quantile of recent latencies is the
// hedge delay; budgetRatio is the number of extra calls allowed per first attempt.
func New(quantile, budgetRatio float64) *Hedger {
	h := &Hedger{current: &histogram{}, previous: &histogram{}}
	h.Configure(quantile, budgetRatio)
	h.tokens = h.maxTokens()
	return h
}

// Configure changes the quantile and the budget ratio.
func (h *Hedger) Configure(quantile, budgetRatio float64) {
	h.quantile, h.budgetRatio = quantile, budgetRatio
	h.tokens = min(h.tokens, h.maxTokens())
	h.updateDelay()
}

func (h *Hedger) maxTokens() float64 {
	if h.budgetRatio <= 0 {
		return 0
	}
	return BudgetBurst
}

// RecordFirstAttempt adds the tokens of a first attempt to the budget.
func (h *Hedger) RecordFirstAttempt() { h.tokens = min(h.maxTokens(), h.tokens+h.budgetRatio) }

// Take takes a token for an extra call of a rank and reports whether one was available.
// Each less urgent rank leaves a further quarter of the maximum to more urgent ones.
func (h *Hedger) Take(r tier.Rank) bool {
	if !h.Available(r) {
		return false
	}
	h.tokens--
	return true
}

// Available reports whether Take would succeed.
func (h *Hedger) Available(r tier.Rank) bool {
	reserved := h.maxTokens() * float64(r) / 4
	return h.tokens >= 1+reserved
}

// Tokens is the number of tokens left.
func (h *Hedger) Tokens() float64 { return h.tokens }

// ObserveLatency records the latency of a call, or how long it had run if it was
// cancelled.
func (h *Hedger) ObserveLatency(now, latency tier.Millis) {
	if now-h.windowStart >= Window {
		h.previous, h.current = h.current, &histogram{}
		h.windowStart = now
	}
	h.current.add(latency)
	h.newSamples++
	if !h.hasDelay || h.newSamples >= MinSamples {
		h.updateDelay()
	}
}

// Delay is how long to wait for a call before hedging it; false while there are too few
// samples.
func (h *Hedger) Delay() (tier.Millis, bool) { return h.delay, h.hasDelay }

func (h *Hedger) updateDelay() {
	h.newSamples = 0
	total := h.current.total + h.previous.total
	if total < MinSamples {
		h.hasDelay = false
		return
	}
	h.delay, h.hasDelay = h.latencyAtCount(h.quantile*float64(total))+1, true
}

// latencyAtCount is the smallest bucket bound with at least n samples at or below it.
func (h *Hedger) latencyAtCount(n float64) tier.Millis {
	seen := 0.0
	for i := range h.current.counts {
		seen += float64(h.current.counts[i] + h.previous.counts[i])
		if seen >= n {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}
