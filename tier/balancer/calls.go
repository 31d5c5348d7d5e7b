package balancer

import (
	"math"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// endRepliedCall ends a call with a reply.
func (b *Balancer) endRepliedCall(now tier.Millis, leaf lister.Leaf) *leafState {
	s := b.endCall(now, leaf)
	s.repliedAt = now
	s.even.idle = min(s.even.idle+1, maxIdleConnections)
	b.links.replied(leaf.ID())
	return s
}

// endBrokenCall ends a call without a reply.
func (b *Balancer) endBrokenCall(now tier.Millis, leaf lister.Leaf) *leafState {
	b.links.brokenOff(now, leaf.ID())
	return b.endCall(now, leaf)
}

// endCall ends a call with a reply or failure.
func (b *Balancer) endCall(now tier.Millis, leaf lister.Leaf) *leafState {
	s := b.stateOf(leaf)
	b.decrementInFlight(s)
	s.silentSince = now
	return s
}

func (b *Balancer) decrementInFlight(s *leafState) {
	if s.inFlight > 0 {
		s.inFlight--
	}
	s.even.trim(s.inFlight)
}

// decayed halves a value for each half-life of its age, in milliseconds.
func decayed(value float64, age tier.Millis, halfLifeMs float64) float64 {
	if value == 0 || age <= 0 {
		return value
	}
	return value * math.Exp2(-float64(age)/halfLifeMs)
}
