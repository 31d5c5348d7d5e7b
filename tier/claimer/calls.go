package claimer

import (
	"slices"

	"cicadagrade.example/tier"
)

func (c *Claimer) startCall(p *page) uint64 {
	c.lastCall++
	p.openCall = c.lastCall
	return c.lastCall
}

// pageOfCall returns the page whose open call has this number.
func (c *Claimer) pageOfCall(call uint64) (*page, bool) {
	for _, p := range c.busyPages {
		if p.openCall == call && call != 0 {
			return p, true
		}
	}
	return nil, false
}

func (c *Claimer) startRead(p *page) {
	c.counters.reads++
	for _, b := range p.waitingBookings() {
		b.readSinceSubmit = true
	}
	c.emit(&Read{call: c.startCall(p), key: p.key})
}

func (c *Claimer) startWrite(p *page, next map[string]entry, claims []*booking) {
	data, err := encodePage(next)
	if err != nil || len(data) > MaxPageBytes {
		c.abandonPage(p)
		return
	}
	c.counters.writes++
	p.writtenEntries, p.writtenClaims = next, claims
	p.writtenOutcomes = append([]*unstoredOutcome(nil), p.unstored...)
	for _, b := range claims {
		if !b.claimMayBeStored {
			b.claimMayBeStored = true
			p.newClaims = append(p.newClaims, b)
		}
	}
	c.emit(&Write{call: c.startCall(p), key: p.key, data: data, expect: p.revision})
}

// abandonPage gives up the work on a page that can't be written, because it can't be
// encoded or is too large. Claims in the store whose outcome is discarded stay without
// one.
func (c *Claimer) abandonPage(p *page) {
	for _, r := range p.unstored {
		c.outcomeStored(r)
	}
	p.unstored = nil
	for _, b := range p.waitingBookings() {
		c.abandon(b, tier.RefuseOverload)
	}
}

func (c *Claimer) endCall(p *page) {
	p.openCall, p.writtenEntries, p.writtenClaims, p.newClaims, p.writtenOutcomes = 0, nil, nil, nil, nil
}

// handleReadDone adopts the page unless this VM knows a later revision, because the store
// may serve stale reads. A higher revision than the known one also proves that no earlier
// write of this VM can take effect any more.
func (c *Claimer) handleReadDone(now tier.Millis, e *ReadDone) {
	p, ok := c.pageOfCall(e.call)
	if !ok {
		return
	}
	c.endCall(p)
	before, known := p.revision, p.known
	if known && e.revision < before {
		return
	}
	if c.adoptPage(now, p, e.data, e.revision) && known && e.revision > before {
		c.resolveClaims(now, p, nil)
	}
}

// handleWriteDone makes the written page the known one. An earlier write of this VM that
// expected the same revision can't take effect any more.
func (c *Claimer) handleWriteDone(now tier.Millis, e *WriteDone) {
	p, ok := c.pageOfCall(e.call)
	if !ok {
		return
	}
	claims, outcomes := p.writtenClaims, p.writtenOutcomes
	p.entries, p.revision = p.writtenEntries, e.revision
	p.callSucceeded()
	c.endCall(p)
	p.removeStored(outcomes)
	for _, r := range outcomes {
		c.outcomeStored(r)
	}
	c.resolveClaims(now, p, claims)
}

func (p *page) removeStored(done []*unstoredOutcome) {
	stored := make(map[*unstoredOutcome]bool, len(done))
	for _, r := range done {
		stored[r] = true
	}
	kept := p.unstored[:0]
	for _, r := range p.unstored {
		if !stored[r] {
			kept = append(kept, r)
		}
	}
	p.unstored = kept
}

// handleConflict adopts the current page from the store. If the page contains the claims
// of an earlier write whose reply was lost, that write took effect.
func (c *Claimer) handleConflict(now tier.Millis, e *Conflict) {
	p, ok := c.pageOfCall(e.call)
	if !ok {
		return
	}
	c.counters.conflicts++
	claims := p.writtenClaims
	c.endCall(p)
	if c.adoptPage(now, p, e.data, e.revision) {
		c.resolveClaims(now, p, claims)
	}
}

// resolveClaims runs the bookings whose claim is in the known page and lets the others be
// claimed again. It requires that the known page is later than any write that carried
// these claims. It also releases the claims of abandoned bookings.
func (c *Claimer) resolveClaims(now tier.Millis, p *page, claims []*booking) {
	abandoned := p.abandoned
	p.abandoned = nil
	for _, b := range abandoned {
		if p.holdsClaim(b) {
			c.queueOutcome(now, b, stateRefused, "", "")
		}
	}
	for _, b := range append(claims, p.waitingBookings()...) {
		if b.phase != phaseWaiting || b.abandoned || !b.claimMayBeStored {
			continue
		}
		b.claimMayBeStored = false
		if p.holdsClaim(b) {
			c.startRun(now, b)
		}
	}
}

func (p *page) holdsClaim(b *booking) bool {
	e, ok := p.entries[b.key.text]
	return ok && e.claimID == b.claimID && e.state == stateClaimed
}

func (c *Claimer) handleFailed(now tier.Millis, e *Failed) {
	p, ok := c.pageOfCall(e.call)
	if !ok {
		return
	}
	c.counters.failures++
	if !e.unsure {
		p.markNeverWritten(p.newClaims)
	}
	c.endCall(p)
	c.backOff(now, p)
	if !p.failing {
		p.failing, p.failingSince = true, now
	}
	if !p.storeDown(now) {
		return
	}
	for _, b := range p.waitingBookings() {
		c.abandon(b, tier.RefuseNoStore)
	}
}

// markNeverWritten notes that the only write that carried these claims had no effect.
func (p *page) markNeverWritten(list []*booking) {
	for _, b := range list {
		b.claimMayBeStored = false
	}
	p.abandoned = slices.DeleteFunc(p.abandoned, func(b *booking) bool { return !b.claimMayBeStored })
}

// backOff postpones the next call for a page after a failure, with exponential backoff
// and jitter.
func (c *Claimer) backOff(now tier.Millis, p *page) {
	p.backoff = min(MaxBackoff, max(InitialBackoff, 2*p.backoff))
	p.retryAt = now + p.backoff/2 + tier.Millis(c.random.Int64N(int64(p.backoff/2)+1))
}

// adoptPage makes a page from the store the known one. Entries that this VM knows in a
// later state are kept, so that a claim never moves back even if the store loses writes.
func (c *Claimer) adoptPage(now tier.Millis, p *page, data []byte, revision int64) bool {
	entries, err := decodePage(data)
	if err != nil {
		c.counters.failures++
		c.backOff(now, p)
		return false
	}
	for k, known := range p.entries {
		if e, ok := entries[k]; !ok || known.newerThan(e) {
			entries[k] = known
		}
	}
	p.known, p.entries, p.revision = true, entries, revision
	p.callSucceeded()
	return true
}
