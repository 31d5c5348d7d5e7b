package balancer

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// restSpread bounds the random time by which a rest is longer than a leaf has asked for: VMs that were turned
// away together should not return together.
const restSpread = 300 * tier.Millisecond

// WantsRest records that a leaf, which has just turned a call away, wants no request of this VM for a time.
// It reports whether the leaf had not been resting.
func (b *Balancer) WantsRest(now tier.Millis, leaf lister.Leaf, rest tier.Millis) bool {
	s := b.stateOf(leaf)
	begins := now >= s.restUntil
	s.restUntil = max(s.restUntil, now+rest+tier.Millis(b.random()*float64(restSpread)))
	b.lastRestEnd = max(b.lastRestEnd, s.restUntil)
	return begins
}

// AnyRests reports whether any leaf may be resting.
func (b *Balancer) AnyRests(now tier.Millis) bool { return now < b.lastRestEnd }

// RestRemaining is how long a leaf wants no request, 0 if it takes requests.
func (b *Balancer) RestRemaining(now tier.Millis, leaf lister.Leaf) tier.Millis {
	s, ok := b.leafs[leaf.ID()]
	if !ok || s.startTime != leaf.StartTime() {
		return 0
	}
	return max(0, s.restUntil-now)
}
