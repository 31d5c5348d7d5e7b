package claimer

import (
	"cicadagrade.example/tier"
)

// mintedKeys are the keys minted by this incarnation of the VM.
type mintedKeys struct {
	last     uint64
	oldest   uint64 // keys below it have been forgotten
	bookings map[uint64]*booking
}

// Mint returns a new key that only this incarnation of the VM will run.
func (c *Claimer) Mint() Key {
	m := &c.minted
	m.last++
	k := mintedKey(c.vm, c.incarnation, m.last)
	m.bookings[m.last] = &booking{key: k}
	for len(m.bookings) > c.maxMintedKeys && m.oldest < m.last {
		c.forgetOldest()
	}
	return k
}

// forgetOldest forgets the oldest minted key, unless it is running.
func (c *Claimer) forgetOldest() {
	m := &c.minted
	if b, ok := m.bookings[m.oldest]; ok && b.phase != phaseRunning {
		delete(m.bookings, m.oldest)
	}
	m.oldest++
}

func (c *Claimer) submitMinted(now tier.Millis, e *Submit, w *waiter) {
	if e.key.vm != c.vm || e.key.incarnation != c.incarnation {
		c.finish(w, tier.NewUnknown(tier.UnknownOtherIncarnation))
		return
	}
	b, ok := c.minted.bookings[e.key.counter]
	if !ok {
		c.finish(w, tier.NewUnknown(tier.UnknownForgotten))
		return
	}
	if b.fingerprint == "" {
		b.fingerprint = e.fingerprint
	}
	switch b.phase {
	case phaseWaiting:
		c.runMinted(now, b, w, e)
	case phaseRunning:
		c.addWaiter(b, w, e.fingerprint)
	default:
		c.repeatMinted(b, w, e)
	}
}

func (c *Claimer) runMinted(now tier.Millis, b *booking, w *waiter, e *Submit) {
	switch {
	case b.fingerprint != e.fingerprint:
		c.finishWithError(w, &KeyReusedError{key: b.key.text, firstFingerprint: b.fingerprint, currentFingerprint: e.fingerprint})
	case c.fenced:
		c.finish(w, tier.NewRefused(tier.RefuseLeaving, 0))
	case now >= e.deadline:
		c.finish(w, tier.NewRefused(tier.RefuseDeadline, 0))
	default:
		b.owner, b.deadline = e.submissionID, e.deadline
		c.addWaiter(b, w, e.fingerprint)
		c.startRun(now, b)
	}
}

func (c *Claimer) repeatMinted(b *booking, w *waiter, e *Submit) {
	if b.fingerprint != e.fingerprint {
		c.finishWithError(w, &KeyReusedError{key: b.key.text, firstFingerprint: b.fingerprint, currentFingerprint: e.fingerprint})
		return
	}
	if o, ok := b.outcome.(*tier.Booked); ok {
		c.finish(w, tier.NewBooked(o.Receipt(), true))
		return
	}
	c.finish(w, b.outcome)
}

// mintedRan handles the outcome of a run. A key whose run was refused may be submitted
// again.
func (c *Claimer) mintedRan(b *booking, o tier.Outcome) {
	switch o.(type) {
	case *tier.Refused:
		c.endBooking(b, o)
		b.phase = phaseWaiting
		return
	case *tier.Booked, *tier.Unknown:
	default:
		o = tier.NewUnknown(tier.UnknownLostReply)
	}
	b.outcome = o
	c.endBooking(b, o)
	if b.key.counter < c.minted.oldest {
		delete(c.minted.bookings, b.key.counter)
	}
}
