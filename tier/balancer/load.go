package balancer

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// Load is what a leaf says of its load in a reply.
type Load struct {
	running, waiting, slots int
	percent                 float64
}

// NewLoad returns a load with the requests that run and wait, the slots, and the present
// service time in percent of the usual one.
func NewLoad(running, waiting, slots int, percent float64) Load {
	return Load{running: running, waiting: waiting, slots: slots, percent: percent}
}

// Running is the number of requests that the leaf works on.
func (l Load) Running() int { return l.running }

// Waiting is the number of requests that wait on the leaf for a slot.
func (l Load) Waiting() int { return l.waiting }

// Slots is how many requests the leaf processes concurrently.
func (l Load) Slots() int { return l.slots }

// Percent is the present service time in percent of the usual one.
func (l Load) Percent() float64 { return l.percent }

// heardLoad is the latest load of one leaf.
type heardLoad struct {
	load Load
	at   tier.Millis
	told bool
}

// HeardLoad records the load that a leaf's reply tells.
func (b *Balancer) HeardLoad(now tier.Millis, leaf lister.Leaf, load Load) {
	b.stateOf(leaf).load = heardLoad{load: load, at: now, told: true}
}

// LoadOf is the latest load that a leaf has told since its start, and when this VM heard it. The
// third result is false if the leaf has told none.
func (b *Balancer) LoadOf(leaf lister.Leaf) (Load, tier.Millis, bool) {
	s, ok := b.leafs[leaf.ID()]
	if !ok || s.startTime != leaf.StartTime() || !s.load.told {
		return Load{}, 0, false
	}
	return s.load.load, s.load.at, true
}
