package claimer

import (
	"slices"

	"cicadagrade.example/tier"
)

func (c *Claimer) open(g *page) uint64 {
	c.calls++
	g.call = c.calls
	return c.calls
}

// opened finds the page whose open call an event ends.
func (c *Claimer) opened(call uint64) (*page, bool) {
	for _, g := range c.busy {
		if g.call == call && call != 0 {
			return g, true
		}
	}
	return nil, false
}

func (c *Claimer) read(g *page) {
	c.counters.reads++
	for _, b := range g.waiting() {
		b.fresh = true
	}
	c.do(&Read{call: c.open(g), key: g.key})
}

func (c *Claimer) write(g *page, next map[string]entry, claims []*booking) {
	data, err := encodePage(next)
	if err != nil || len(data) > MaxPageBytes {
		c.giveUpPage(g)
		return
	}
	c.counters.writes++
	g.sent, g.claimed = next, claims
	g.carried = append([]*record(nil), g.records...)
	for _, b := range claims {
		if !b.maybe {
			b.maybe = true
			g.newly = append(g.newly, b)
		}
	}
	c.do(&Write{call: c.open(g), key: g.key, data: data, expect: g.revision})
}

// giveUpPage ends what can't be written; claims without an outcome stay.
func (c *Claimer) giveUpPage(g *page) {
	for _, r := range g.records {
		c.recorded(r)
	}
	g.records = nil
	for _, b := range g.waiting() {
		c.drop(b, tier.RefuseOverload)
	}
}

func (c *Claimer) close(g *page) {
	g.call, g.sent, g.claimed, g.newly, g.carried = 0, nil, nil, nil, nil
}

// readDone takes a page, unless a newer state of it is known: the store may
// answer reads from the past. At a higher revision than the known one no
// earlier write can take effect any more.
func (c *Claimer) readDone(now tier.Millis, e *ReadDone) {
	g, ok := c.opened(e.call)
	if !ok {
		return
	}
	c.close(g)
	before, known := g.revision, g.known
	if known && e.revision < before {
		return
	}
	if c.adopt(now, g, e.data, e.revision) && known && e.revision > before {
		c.settleClaims(now, g, nil)
	}
}

// writeDone makes the written page the known one. Whatever an earlier write
// at the same revision carried, it can't take effect any more.
func (c *Claimer) writeDone(now tier.Millis, e *WriteDone) {
	g, ok := c.opened(e.call)
	if !ok {
		return
	}
	claimed, carried := g.claimed, g.carried
	g.entries, g.revision = g.sent, e.revision
	g.well()
	c.close(g)
	g.removeRecords(carried)
	for _, r := range carried {
		c.recorded(r)
	}
	c.settleClaims(now, g, claimed)
}

func (g *page) removeRecords(done []*record) {
	gone := make(map[*record]bool, len(done))
	for _, r := range done {
		gone[r] = true
	}
	kept := g.records[:0]
	for _, r := range g.records {
		if !gone[r] {
			kept = append(kept, r)
		}
	}
	g.records = kept
}

// conflict takes the page as it is now. If it holds the claims of a write
// whose answer was lost, that write took effect.
func (c *Claimer) conflict(now tier.Millis, e *Conflict) {
	g, ok := c.opened(e.call)
	if !ok {
		return
	}
	c.counters.conflicts++
	claimed := g.claimed
	c.close(g)
	if c.adopt(now, g, e.data, e.revision) {
		c.settleClaims(now, g, claimed)
	}
}

// settleClaims runs the bookings whose claim stands in the known page and
// lets the others try again. The known page is newer than any write that
// carried them.
func (c *Claimer) settleClaims(now tier.Millis, g *page, claimed []*booking) {
	dropped := g.dropped
	g.dropped = nil
	for _, b := range dropped {
		if g.holds(b) {
			c.record(now, b, stateRefused, "", "")
		}
	}
	for _, b := range append(claimed, g.waiting()...) {
		if b.phase != phaseWaiting || b.dropped || !b.maybe {
			continue
		}
		b.maybe = false
		if g.holds(b) {
			c.run(now, b)
		}
	}
}

func (g *page) holds(b *booking) bool {
	e, ok := g.entries[b.key.text]
	return ok && e.claim == b.claim && e.state == stateClaimed
}

func (c *Claimer) failed(now tier.Millis, e *Failed) {
	g, ok := c.opened(e.call)
	if !ok {
		return
	}
	c.counters.failures++
	if !e.unsure {
		g.neverCarried(g.newly)
	}
	c.close(g)
	c.delay(now, g)
	if !g.failing {
		g.failing, g.since = true, now
	}
	if !g.out(now) {
		return
	}
	for _, b := range g.waiting() {
		c.drop(b, tier.RefuseNoStore)
	}
}

// neverCarried notes that the only write with these claims had no effect.
func (g *page) neverCarried(list []*booking) {
	for _, b := range list {
		b.maybe = false
	}
	g.dropped = slices.DeleteFunc(g.dropped, func(b *booking) bool { return !b.maybe })
}

// delay holds a page back after a failure, longer each time.
func (c *Claimer) delay(now tier.Millis, g *page) {
	g.backoff = min(MaxBackoff, max(InitialBackoff, 2*g.backoff))
	g.retryAt = now + g.backoff/2 + tier.Millis(c.random.Int64N(int64(g.backoff/2)+1))
}

// adopt makes a page that came from the store the known one. What this VM
// knew already stays: a claim never goes back, even if the store does.
func (c *Claimer) adopt(now tier.Millis, g *page, data []byte, revision int64) bool {
	entries, err := decodePage(data)
	if err != nil {
		c.counters.failures++
		c.delay(now, g)
		return false
	}
	for k, known := range g.entries {
		if e, ok := entries[k]; !ok || known.newer(e) {
			entries[k] = known
		}
	}
	g.known, g.entries, g.revision = true, entries, revision
	g.well()
	return true
}
