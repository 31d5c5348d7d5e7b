package throttler

import (
	"math"

	"cicadagrade.example/tier"
)

// permitLifetime is how long a permit can be used. Within any span, a VM sends at most its
// share of the limit for the span and permitLifetime, and one call. Without an end, idle
// VMs would keep permits and could use them all at a time.
const permitLifetime = 250 * tier.Millisecond

// Throttle schedules one VM's calls to a leaf that limits its requests. The VM gets permits
// at equal intervals, by its share of the limit. Each allows one call.
type Throttle struct {
	perSecond  float64
	heardAt    tier.Millis // when the limit was last heard
	lastPermit float64     // when the last permit that was used or has expired began, in ms
	calls      int         // since the last TakeCalls
}

// New returns the throttle of a leaf that has just named a limit for all VMs together. share
// is this VM's share of it, and phase, in [0, 1), says when its first permit begins, as a part
// of the interval between two: VMs that hear of a limit together should not call together.
func New(now tier.Millis, limit RateLimit, share, phase float64) *Throttle {
	t := &Throttle{perSecond: limit.PerSecond, heardAt: now}
	t.lastPermit = float64(now) - phase*t.interval(share)
	return t
}

// PerSecond is the limit for all VMs together, in requests a second.
func (t *Throttle) PerSecond() float64 { return t.perSecond }

// SetPerSecond changes the limit for all VMs together.
func (t *Throttle) SetPerSecond(perSecond float64) { t.perSecond = perSecond }

// Heard handles a further reply of the leaf, to a call that was sent at sentAt. It reports
// false if the limit has ended. A reply without a limit counts only if it was asked for
// after the limit was last heard: replies on several connections overtake each other.
func (t *Throttle) Heard(now, sentAt tier.Millis, n Notice) bool {
	switch n := n.(type) {
	case RateLimit:
		t.perSecond, t.heardAt = n.PerSecond, now
	case NoRateLimit:
		return sentAt < t.heardAt
	}
	return true
}

// interval is the time between two permits of a share, in milliseconds.
func (t *Throttle) interval(share float64) float64 {
	return float64(tier.Second) / (t.perSecond * share)
}

// permit is the start of the first permit that has not expired, in milliseconds.
func (t *Throttle) permit(now tier.Millis, share float64) float64 {
	interval := t.interval(share)
	next := t.lastPermit + interval
	if expired := float64(now-permitLifetime) - next; expired > 0 {
		next += math.Ceil(expired/interval) * interval
	}
	return next
}

// Wait is the time until a call may be sent.
func (t *Throttle) Wait(now tier.Millis, share float64) tier.Millis {
	return max(0, tier.Millis(math.Ceil(t.permit(now, share)))-now)
}

// Sent uses the first permit for a call.
func (t *Throttle) Sent(now tier.Millis, share float64) {
	t.lastPermit = t.permit(now, share)
	t.calls++
}

// TakeCalls returns the number of calls since the last TakeCalls.
func (t *Throttle) TakeCalls() int {
	calls := t.calls
	t.calls = 0
	return calls
}
