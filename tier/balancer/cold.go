package balancer

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/throttler"
)

// Warming up of a leaf whose service names a cold rate.
const (
	// warmStagger spreads the ends of the cold times of leafs that have started together.
	warmStagger = 800 * tier.Millisecond
	// warmRamp is the time in which a leaf's rate rises after its cold time, and warmDoubling
	// the time in which it doubles. At the end it is 32 times the cold rate, beyond what the
	// slots of a leaf allow.
	warmRamp     = 1250 * tier.Millisecond
	warmDoubling = 250.0
	// joinPerSecond is the rate with which a VM without a share joins, at a time of its own
	// within warmRamp. It rises as long and as fast: a few VMs may have most of the load.
	joinPerSecond = 4.0
	// coldRise is by how much the end of a cold time must move for the leaf to count as cold
	// again. Renewals of a registration move it by the time that they take to arrive.
	coldRise = 500 * tier.Millisecond
	// noPermitWait is the wait for a cold leaf of which this VM has no share. As a cost it
	// makes any other leaf better.
	noPermitWait = 1 * tier.Hour
)

// cold is what one VM knows of a cold leaf whose service names a rate.
type cold struct {
	joinAt   float64             // when a VM without a share joins, as a part of warmRamp
	throttle *throttler.Throttle // of a VM with a share, or one that has joined
	reported bool                // TakeColdChanges has returned that it is cold
}

// LimitCold sets what the configuration says of services, and this VM's share, or 0, of the
// requests that a cold leaf takes from all VMs. Without it, cold leafs have no limit.
func (b *Balancer) LimitCold(serviceOf func(name string) router.Service, share RateShare) {
	b.serviceOf, b.coldShare = serviceOf, share
}

// ColdRate is the rate that the leaf's service names for cold leafs, or 0.
func (b *Balancer) ColdRate(leaf lister.Leaf) float64 {
	if b.serviceOf == nil {
		return 0
	}
	return b.serviceOf(leaf.Service()).ColdPerSecond()
}

// Registered handles a leaf's registration: it makes a misdirected leaf usable again and starts
// a cold period. It reports whether a leaf whose service names a cold rate has become cold, or
// for longer than was known.
func (b *Balancer) Registered(now tier.Millis, leaf lister.Leaf) bool {
	old, known := b.leafs[leaf.ID()]
	restarted := known && old.startTime < leaf.StartTime()
	s := b.stateOf(leaf)
	s.misdirectedUntil = 0
	limited := b.ColdRate(leaf) > 0
	remaining := leaf.ColdRemaining()
	if limited && restarted && remaining == 0 {
		remaining = b.serviceOf(leaf.Service()).ColdFor()
	}
	switch {
	case remaining <= 0:
	case limited:
		return b.TurnedCold(now, leaf, remaining)
	default:
		s.coldUntil = now + remaining
	}
	return false
}

// TurnedCold makes a leaf cold for a time at least, as after the evacuation of its data centre.
// It reports whether the leaf was not known to be cold for about as long.
func (b *Balancer) TurnedCold(now tier.Millis, leaf lister.Leaf, remaining tier.Millis) bool {
	s := b.stateOf(leaf)
	if now+remaining <= s.coldUntil {
		return false
	}
	rises := now+remaining > max(now, s.coldUntil)+coldRise
	if now >= s.coldUntil+warmStagger+2*warmRamp {
		s.cold.throttle, s.cold.joinAt = nil, b.random()
	}
	s.coldUntil = now + remaining
	return rises
}

// warmAt is when the rate of a cold leaf begins to rise.
func (s *leafState) warmAt() tier.Millis {
	return s.coldUntil + tier.Millis(xxhash.Sum64String(s.leaf.ID())%uint64(warmStagger))
}

// coldWait is the time until the rate of a cold leaf, if it has one, allows a call.
func (b *Balancer) coldWait(now tier.Millis, s *leafState) tier.Millis {
	throttle, share := b.coldThrottle(now, s)
	switch {
	case throttle != nil:
		return throttle.Wait(now, share)
	case share > 0:
		return 0
	}
	return noPermitWait
}

// coldThrottle returns the throttle of a cold leaf with a rate and this VM's share. Without a
// throttle, the share is 1 if this VM may call the leaf, and 0 if not.
func (b *Balancer) coldThrottle(now tier.Millis, s *leafState) (*throttler.Throttle, float64) {
	if s.coldUntil == 0 || now >= s.coldUntil+warmStagger+2*warmRamp {
		return nil, 1
	}
	rate := b.ColdRate(s.leaf)
	if rate <= 0 {
		return nil, 1
	}
	warming, share := now-s.warmAt(), b.coldShare(now, s.leaf)
	if share <= 0 {
		rate, share = joinPerSecond, 1
		if warming -= tier.Millis(s.cold.joinAt * float64(warmRamp)); warming < 0 {
			return nil, 0
		}
	}
	if warming >= warmRamp {
		return nil, 1
	}
	if warming > 0 {
		rate *= math.Exp2(float64(warming) / warmDoubling)
	}
	if s.cold.throttle == nil {
		s.cold.throttle = throttler.New(now, throttler.RateLimit{PerSecond: rate}, share, b.random())
	}
	s.cold.throttle.SetPerSecond(rate)
	return s.cold.throttle, share
}

// MayCall reports whether this VM may call a leaf at all: it does not if the leaf is cold, its
// service names a rate and this VM has no share of it.
func (b *Balancer) MayCall(now tier.Millis, leaf lister.Leaf) bool {
	s, ok := b.leafs[leaf.ID()]
	return !ok || s.startTime != leaf.StartTime() || b.coldWait(now, s) < noPermitWait
}

// ColdBinds reports whether the rate of a cold leaf allows this VM no call now.
func (b *Balancer) ColdBinds(now tier.Millis, leaf lister.Leaf) bool {
	s, ok := b.leafs[leaf.ID()]
	return ok && s.startTime == leaf.StartTime() && b.coldWait(now, s) > 0
}

// ColdRemaining is how much longer a leaf is cold.
func (b *Balancer) ColdRemaining(now tier.Millis, leaf lister.Leaf) tier.Millis {
	s, ok := b.leafs[leaf.ID()]
	if !ok || s.startTime != leaf.StartTime() {
		return 0
	}
	return max(0, s.coldUntil-now)
}

// ColdLimitedCount is the number of cold leafs whose service names a rate.
func (b *Balancer) ColdLimitedCount(now tier.Millis) int {
	count := 0
	for _, s := range b.leafs {
		if now < s.coldUntil && b.ColdRate(s.leaf) > 0 {
			count++
		}
	}
	return count
}

// ColdChange says that a leaf whose service names a cold rate has become cold or warm.
type ColdChange struct {
	leaf      lister.Leaf
	perSecond float64
	remaining tier.Millis
	share     float64
}

// Leaf is the leaf.
func (c ColdChange) Leaf() lister.Leaf { return c.leaf }

// PerSecond is the rate for all VMs together, in requests a second.
func (c ColdChange) PerSecond() float64 { return c.perSecond }

// Remaining is how much longer the leaf is cold. It is 0 if it has become warm.
func (c ColdChange) Remaining() tier.Millis { return c.remaining }

// Share is this VM's share of the rate, if the leaf has become cold.
func (c ColdChange) Share() float64 { return c.share }

// TakeColdChanges lists the leafs that have become cold or warm since the last call.
func (b *Balancer) TakeColdChanges(now tier.Millis) []ColdChange {
	var list []ColdChange
	for _, s := range b.leafs {
		rate := b.ColdRate(s.leaf)
		isCold := now < s.coldUntil && rate > 0
		if isCold == s.cold.reported {
			continue
		}
		s.cold.reported = isCold
		change := ColdChange{leaf: s.leaf, perSecond: rate}
		if isCold {
			change.remaining, change.share = s.coldUntil-now, b.coldShare(now, s.leaf)
		}
		list = append(list, change)
	}
	return list
}
