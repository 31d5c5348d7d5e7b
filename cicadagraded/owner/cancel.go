package owner

import (
	"slices"

	"cicadagrade.example/tier"
)

// pendingCancel is a call that nobody waits for and that is to be cancelled.
type pendingCancel struct {
	at   tier.Millis
	call *call
}

// cancelCall has a call cancelled once it has gone on for as long as a new
// connection takes: over HTTP/1.1 a cancelled call costs its connection, and
// many losers of a hedge end before.
func (o *Owner) cancelCall(attempt uint64) {
	c, ok := o.calls[attempt]
	if !ok || c.over {
		return
	}
	if c.lane == nil {
		c.cancel()
		return
	}
	p := pendingCancel{at: o.clock.Now() + c.lane.link.Server().ConnectionCost(), call: c}
	i, _ := slices.BinarySearchFunc(o.cancels, p, func(a, b pendingCancel) int { return int(a.at - b.at) })
	o.cancels = slices.Insert(o.cancels, i, p)
}

// cancelDue cancels the calls whose time has come.
func (o *Owner) cancelDue(now tier.Millis) {
	for len(o.cancels) > 0 && o.cancels[0].at <= now {
		o.cancels[0].call.cancel()
		o.cancels = o.cancels[1:]
	}
}
