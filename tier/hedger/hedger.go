// Package hedger decides when a leaf call is slow enough for a second one:
// after a quantile of the latencies measured lately, and only while a budget
// that is a fraction of first attempts lasts. Retries draw on the same budget.
package hedger

import "cicadagrade.example/tier"

// Bounds of the estimate and the budget.
const (
	Window      = 10 * tier.Second // latencies older than two windows are forgotten
	MinSamples  = 50               // fewer tell no quantile
	BudgetBurst = 10               // tokens at the start, and the most that are saved up
)

// Hedger is the hedging state of one shard set.
type Hedger struct {
	quantile float64
	fraction float64
	tokens   float64
	current  *histogram
	previous *histogram
	started  tier.Millis
	delay    tier.Millis
	measured bool
	stale    int
}

// New returns a hedger with a full budget. The quantile is that of latencies
// after which to hedge; fraction is the extra calls allowed for each first
// attempt.
func New(quantile, fraction float64) *Hedger {
	h := &Hedger{current: &histogram{}, previous: &histogram{}}
	h.Configure(quantile, fraction)
	h.tokens = h.burst()
	return h
}

// Configure changes quantile and fraction.
func (h *Hedger) Configure(quantile, fraction float64) {
	h.quantile, h.fraction = quantile, fraction
	h.tokens = min(h.tokens, h.burst())
	h.measure()
}

func (h *Hedger) burst() float64 {
	if h.fraction <= 0 {
		return 0
	}
	return BudgetBurst
}

// RecordFirstAttempt adds to the budget.
func (h *Hedger) RecordFirstAttempt() { h.tokens = min(h.burst(), h.tokens+h.fraction) }

// Take spends one token for an extra call, and reports whether there was
// one. Less urgent ranks leave a part of the budget to more urgent ones.
func (h *Hedger) Take(r tier.Rank) bool {
	if !h.Available(r) {
		return false
	}
	h.tokens--
	return true
}

// Available reports whether Take would succeed.
func (h *Hedger) Available(r tier.Rank) bool {
	reserved := h.burst() * float64(r) / 4
	return h.tokens >= 1+reserved
}

// Tokens is the budget left.
func (h *Hedger) Tokens() float64 { return h.tokens }

// ObserveLatency counts the latency of a call, or the time it had run when it was
// cancelled.
func (h *Hedger) ObserveLatency(now, latency tier.Millis) {
	if now-h.started >= Window {
		h.previous, h.current = h.current, &histogram{}
		h.started = now
	}
	h.current.add(latency)
	h.stale++
	if !h.measured || h.stale >= MinSamples {
		h.measure()
	}
}

// Delay is how long to wait for a call before hedging it; false while too
// few calls were measured.
func (h *Hedger) Delay() (tier.Millis, bool) { return h.delay, h.measured }

func (h *Hedger) measure() {
	h.stale = 0
	total := h.current.total + h.previous.total
	if total < MinSamples {
		h.measured = false
		return
	}
	h.delay, h.measured = h.rank(h.quantile*float64(total))+1, true
}

// rank is the span below or at which the given number of samples lie.
func (h *Hedger) rank(n float64) tier.Millis {
	seen := 0.0
	for i := range h.current.counts {
		seen += float64(h.current.counts[i] + h.previous.counts[i])
		if seen >= n {
			return upper(i)
		}
	}
	return upper(buckets - 1)
}
