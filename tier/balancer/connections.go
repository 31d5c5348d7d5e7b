package balancer

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

const (
	// freshFor is how long after a reply a connection is counted on without calls. The client
	// keeps it for longer.
	freshFor = 3 * tier.Second
	// connectRetry is the pause before a connection that was not opened is asked for again.
	connectRetry = 500 * tier.Millisecond
)

// ShouldConnect reports whether a connection to a leaf of another region should be opened before
// the leaf is called. The caller opens one; until Connected, the leaf is not reported again
// for connectRetry. A leaf that has just reset a connection has too many already.
func (b *Balancer) ShouldConnect(now tier.Millis, leaf lister.Leaf) bool {
	if !b.even || b.InRegion(leaf) {
		return false
	}
	s := b.stateOf(leaf)
	fresh := s.even.idle > 0 && now-max(s.repliedAt, s.even.connectedAt) < freshFor
	if fresh || now < s.connectAt || now-s.resetAt < resetWindow {
		return false
	}
	s.connectAt = now + connectRetry
	return true
}

// Connected records that a connection to a leaf was opened, or is open.
func (b *Balancer) Connected(now tier.Millis, leaf lister.Leaf) {
	s := b.stateOf(leaf)
	s.even.idle, s.even.connectedAt = max(1, s.even.idle), now
}
