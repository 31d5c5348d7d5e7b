package throttler

import "cicadagrade.example/tier"

// Throttle is the limit of one leaf as this VM knows it, and its calls there.
type Throttle struct {
	perSecond float64
	heardAt   tier.Millis // when the limit was last heard
	countedAt tier.Millis // start of the interval that calls belongs to
	calls     int
}

// New returns the throttle of a leaf that has just named a limit for all VMs together.
func New(now tier.Millis, limit RateLimit) *Throttle {
	return &Throttle{perSecond: limit.PerSecond, heardAt: now, countedAt: now}
}

// PerSecond is the limit for all VMs together, in requests a second.
func (t *Throttle) PerSecond() float64 { return t.perSecond }

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

// Sent counts a call.
func (t *Throttle) Sent() { t.calls++ }

// TakeCalls returns the number of calls and the time since the last TakeCalls.
func (t *Throttle) TakeCalls(now tier.Millis) (calls int, during tier.Millis) {
	calls, during = t.calls, now-t.countedAt
	t.calls, t.countedAt = 0, now
	return calls, during
}
