package balancer

import (
	"math"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/throttler"
)

// RateShare returns this VM's share, above 0, of the requests that a leaf with a limit takes
// from all VMs.
type RateShare func(now tier.Millis, leaf lister.Leaf) float64

// DivideRates sets the shares. Without it, this VM uses the limits alone.
func (b *Balancer) DivideRates(share RateShare) { b.rateShare = share }

// permitWait is the time until the limit of a leaf and its cold rate, as far as it has them,
// allow a call.
func (b *Balancer) permitWait(now tier.Millis, s *leafState) tier.Millis {
	wait := b.coldWait(now, s)
	if s.throttle == nil {
		return wait
	}
	return max(wait, s.throttle.Wait(now, b.rateShare(now, s.leaf)))
}

// RateOf is the rate of calls, a second, that the limit of a leaf and its cold rate allow this
// VM. The second result is false if the leaf has neither.
func (b *Balancer) RateOf(now tier.Millis, leaf lister.Leaf) (float64, bool) {
	s, ok := b.leafs[leaf.ID()]
	if !ok || s.startTime != leaf.StartTime() {
		return 0, false
	}
	rate, limited := math.Inf(1), false
	if s.throttle != nil {
		rate, limited = s.throttle.PerSecond()*b.rateShare(now, leaf), true
	}
	switch throttle, share := b.coldThrottle(now, s); {
	case throttle != nil:
		rate, limited = min(rate, throttle.PerSecond()*share), true
	case share == 0:
		rate, limited = 0, true
	}
	return rate, limited
}

// LimitChange is a leaf's new limit of requests.
type LimitChange struct {
	leaf      lister.Leaf
	perSecond float64
	limited   bool
}

// Leaf is the leaf.
func (c LimitChange) Leaf() lister.Leaf { return c.leaf }

// PerSecond is the limit for all VMs together, in requests a second. The second result is
// false if the leaf no longer has one.
func (c LimitChange) PerSecond() (float64, bool) { return c.perSecond, c.limited }

// Heard handles what a leaf's reply says of its limit. sentAt is when the call was sent. It
// reports whether the limit has changed.
func (b *Balancer) Heard(now, sentAt tier.Millis, leaf lister.Leaf, n throttler.Notice) (LimitChange, bool) {
	s := b.stateOf(leaf)
	if s.throttle == nil {
		limit, named := n.(throttler.RateLimit)
		if !named {
			return LimitChange{}, false
		}
		s.throttle = throttler.New(now, limit, b.rateShare(now, leaf), b.random())
		return LimitChange{leaf: leaf, perSecond: limit.PerSecond, limited: true}, true
	}
	before := s.throttle.PerSecond()
	if !s.throttle.Heard(now, sentAt, n) {
		s.throttle = nil
		return LimitChange{leaf: leaf}, true
	}
	return LimitChange{leaf: leaf, perSecond: s.throttle.PerSecond(), limited: true}, s.throttle.PerSecond() != before
}

// LimitUse is the number of calls that this VM has sent to a leaf with a limit.
type LimitUse struct {
	leaf      lister.Leaf
	perSecond float64
	calls     int
}

// Leaf is the leaf.
func (u LimitUse) Leaf() lister.Leaf { return u.leaf }

// PerSecond is its limit for all VMs together, in requests a second.
func (u LimitUse) PerSecond() float64 { return u.perSecond }

// Calls are the calls of this VM since the last TakeLimitUse.
func (u LimitUse) Calls() int { return u.calls }

// TakeLimitUse lists the leafs with a limit, and this VM's calls since the last time.
func (b *Balancer) TakeLimitUse() []LimitUse {
	var list []LimitUse
	for _, s := range b.leafs {
		if s.throttle == nil {
			continue
		}
		list = append(list, LimitUse{leaf: s.leaf, perSecond: s.throttle.PerSecond(), calls: s.throttle.TakeCalls()})
	}
	return list
}

// LimitedCount is the number of leafs with a limit.
func (b *Balancer) LimitedCount() int {
	count := 0
	for _, s := range b.leafs {
		if s.throttle != nil {
			count++
		}
	}
	return count
}
