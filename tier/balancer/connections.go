package balancer

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

const (
	// connectCostMs is about what opening a connection to another region adds to a call.
	connectCostMs = defaultFarLatencyMs - defaultNearLatencyMs
	// connectedFor is how long a connection without calls is counted on. The client keeps it
	// for longer.
	connectedFor = 3 * tier.Second
	// connectRetry is the pause before a connection that was not opened is asked for again.
	connectRetry = 500 * tier.Millisecond
)

// WithConnectionCosts adds the time to open a connection to the expected cost of a call to another
// region, unless there is an open one.
func WithConnectionCosts() Option { return func(b *Balancer) { b.connectionCosts = true } }

// connectCost is the expected time to open a connection to a leaf, in milliseconds. s is nil if
// nothing is known of the leaf.
func (b *Balancer) connectCost(now tier.Millis, leaf lister.Leaf, s *leafState) float64 {
	if !b.connectionCosts || b.InRegion(leaf) || s != nil && now < s.connectedUntil {
		return 0
	}
	return connectCostMs
}

// ShouldConnect reports whether a connection to the leaf should be opened before it is called.
// The caller opens one; until Connected, the leaf is not reported again for connectRetry.
func (b *Balancer) ShouldConnect(now tier.Millis, leaf lister.Leaf) bool {
	s := b.stateOf(leaf)
	if b.connectCost(now, leaf, s) == 0 || now < s.connectAt {
		return false
	}
	s.connectAt = now + connectRetry
	return true
}

// Connected records that there is an open connection to a leaf.
func (b *Balancer) Connected(now tier.Millis, leaf lister.Leaf) {
	b.stateOf(leaf).connectedUntil = now + connectedFor
}
