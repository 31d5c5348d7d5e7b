package owner

import (
	"slices"

	"cicadagrade.example/tier"
)

// pendingCancel is a leaf call that is cancelled at a set time, unless it ends before.
type pendingCancel struct {
	at   tier.Millis
	call *call
}

// cancelCall cancels a leaf call after a delay equal to the cost of a new connection.
// With HTTP/1.1, cancelling a call closes its connection, and many calls that lost a
// hedge end within the delay, so that their connection stays usable.
func (o *Owner) cancelCall(attempt uint64) {
	c, ok := o.calls[attempt]
	if !ok || c.ended {
		return
	}
	if c.pool == nil {
		c.cancel()
		return
	}
	p := pendingCancel{at: o.clock.Now() + c.pool.client.Server().ConnectionCost(), call: c}
	i, _ := slices.BinarySearchFunc(o.pendingCancels, p, func(a, b pendingCancel) int { return int(a.at - b.at) })
	o.pendingCancels = slices.Insert(o.pendingCancels, i, p)
}

// cancelDueCalls cancels the calls whose delay has passed.
func (o *Owner) cancelDueCalls(now tier.Millis) {
	for len(o.pendingCancels) > 0 && o.pendingCancels[0].at <= now {
		o.pendingCancels[0].call.cancel()
		o.pendingCancels = o.pendingCancels[1:]
	}
}
