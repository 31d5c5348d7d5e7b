package claimer

import (
	"cicadagrade.example/tier"
)

// minter remembers the keys that this life of the VM minted.
type minter struct {
	last   uint64
	oldest uint64 // no key below it is remembered
	issued map[uint64]*booking
}

// Mint returns a new key that only this life of the VM runs.
func (c *Claimer) Mint() Key {
	m := &c.minted
	m.last++
	k := mintedKey(c.vm, c.incarnation, m.last)
	m.issued[m.last] = &booking{key: k}
	for len(m.issued) > c.memory && m.oldest < m.last {
		c.forgetOldest()
	}
	return k
}

// forgetOldest drops the oldest key, unless it runs.
func (c *Claimer) forgetOldest() {
	m := &c.minted
	if b, ok := m.issued[m.oldest]; ok && b.phase != phaseRunning {
		delete(m.issued, m.oldest)
	}
	m.oldest++
}

func (c *Claimer) submitMinted(now tier.Millis, e *Submit, w *waiter) {
	if e.key.vm != c.vm || e.key.incarnation != c.incarnation {
		c.finish(w, tier.NewUnknown(tier.UnknownIncarnations))
		return
	}
	b, ok := c.minted.issued[e.key.counter]
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
		c.join(b, w, e.fingerprint)
	default:
		c.repeatMinted(b, w, e)
	}
}

func (c *Claimer) runMinted(now tier.Millis, b *booking, w *waiter, e *Submit) {
	switch {
	case b.fingerprint != e.fingerprint:
		c.finishError(w, &KeyReusedError{key: b.key.text, first: b.fingerprint, now: e.fingerprint})
	case c.fenced:
		c.finish(w, tier.NewRefused(tier.RefuseLeaving, 0))
	case now >= e.deadline:
		c.finish(w, tier.NewRefused(tier.RefuseDeadline, 0))
	default:
		b.ticket, b.deadline = e.ticket, e.deadline
		c.join(b, w, e.fingerprint)
		c.run(now, b)
	}
}

func (c *Claimer) repeatMinted(b *booking, w *waiter, e *Submit) {
	if b.fingerprint != e.fingerprint {
		c.finishError(w, &KeyReusedError{key: b.key.text, first: b.fingerprint, now: e.fingerprint})
		return
	}
	if o, ok := b.outcome.(*tier.Booked); ok {
		c.finish(w, tier.NewBooked(o.Receipt(), true))
		return
	}
	c.finish(w, b.outcome)
}

// mintedRan ends a run. A key that was refused may be sent again.
func (c *Claimer) mintedRan(b *booking, o tier.Outcome) {
	switch o.(type) {
	case *tier.Refused:
		c.end(b, o)
		b.phase = phaseWaiting
		return
	case *tier.Booked, *tier.Unknown:
	default:
		o = tier.NewUnknown(tier.UnknownLostReply)
	}
	b.outcome = o
	c.end(b, o)
	if b.key.counter < c.minted.oldest {
		delete(c.minted.issued, b.key.counter)
	}
}
