package claimer

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// phase is how far a booking has come at this VM.
type phase int

const (
	phaseWaiting   phase = iota // for its claim
	phaseRunning                // it was sent
	phaseRecording              // it did not run; the record of that is on its way
	phaseEnded
)

// booking is one request that this VM works on.
type booking struct {
	key         Key
	fingerprint string
	ticket      uint64 // of the first waiter, who sends it
	deadline    tier.Millis
	phase       phase
	page        *page // nil for a minted key
	claim       tier.AttemptID
	generation  uint64
	maybe       bool // a write that carries the claim may have taken effect
	fresh       bool // the page was read after the booking came
	dropped     bool // nobody waits for it any more
	outcome     tier.Outcome
	waiters     []*waiter
}

// waiter is one sending of a booking.
type waiter struct {
	ticket   uint64
	deadline tier.Millis
	first    bool
	booking  *booking
}

// NotRunOutcome words the refusal of a sending that is known not to run. Unless the
// caller vouches that it is the key's first one, an earlier sending may have
// run.
func NotRunOutcome(first bool, reason tier.RefuseReason) tier.Outcome {
	r := tier.NewRefused(reason, 0)
	if reason == tier.RefuseNoStore {
		r = tier.NewRefused(reason, StoreRetryAfter)
	}
	if first {
		return r
	}
	return tier.NewUnknownEarlier(r)
}

func (c *Claimer) submit(now tier.Millis, e *Submit) {
	w := &waiter{ticket: e.ticket, deadline: e.deadline, first: e.first}
	c.waiters[e.ticket] = w
	if e.key.Minted() {
		c.submitMinted(now, e, w)
		return
	}
	switch {
	case e.key.tooEarly(e.wall):
		c.finishError(w, invalidKey(e.key.text, datedAllowed))
		return
	case e.key.tooOld(e.wall):
		c.finish(w, NotRunOutcome(w.first, tier.RefuseKeyExpired))
		return
	case c.fenced:
		c.finish(w, NotRunOutcome(w.first, tier.RefuseLeaving))
		return
	case now >= e.deadline:
		c.finish(w, NotRunOutcome(w.first, tier.RefuseDeadline))
		return
	}
	g := c.pageOf(e)
	b, ok := g.bookings[e.key.text]
	if !ok && g.out(now) && now < g.retryAt {
		c.finish(w, NotRunOutcome(w.first, tier.RefuseNoStore))
		return
	}
	if !ok {
		b = &booking{key: e.key, fingerprint: e.fingerprint, ticket: e.ticket, deadline: e.deadline, page: g}
		g.bookings[e.key.text] = b
		c.busy[g.key] = g
		c.claims++
		b.claim = tier.NewAttemptID(c.vm, c.incarnation, c.claims)
	}
	c.join(b, w, e.fingerprint)
}

// join lets a sending wait for a booking's end.
func (c *Claimer) join(b *booking, w *waiter, fingerprint string) {
	if b.fingerprint != fingerprint {
		c.finishError(w, &KeyReusedError{key: b.key.text, first: b.fingerprint, now: fingerprint})
		return
	}
	w.booking = b
	b.waiters = append(b.waiters, w)
	c.due.add(w.deadline, w.ticket)
}

// run sends a booking that is claimed, unless it is too late.
func (c *Claimer) run(now tier.Millis, b *booking) {
	if c.fenced || now >= b.deadline {
		reason := tier.RefuseDeadline
		if c.fenced {
			reason = tier.RefuseLeaving
		}
		c.notSent(now, b, tier.NewRefused(reason, 0))
		return
	}
	b.phase = phaseRunning
	c.bookings[b.ticket] = b
	c.counters.runs++
	c.do(&Run{ticket: b.ticket, key: b.key, deadline: b.deadline})
}

// ran notes how a booking ended.
func (c *Claimer) ran(now tier.Millis, e *Ran) {
	b, ok := c.bookings[e.ticket]
	if !ok {
		return
	}
	delete(c.bookings, e.ticket)
	if b.page == nil {
		c.mintedRan(b, e.outcome)
		return
	}
	switch o := e.outcome.(type) {
	case *tier.Refused:
		c.notSent(now, b, o)
	case *tier.Booked:
		c.record(now, b, stateAnswered, o.Receipt(), "")
		c.end(b, o)
	case *tier.Unknown:
		c.record(now, b, stateUnknown, "", o.Reason())
		c.end(b, o)
	default:
		o = tier.NewUnknown(tier.UnknownLostReply)
		c.record(now, b, stateUnknown, "", tier.UnknownLostReply)
		c.end(b, o)
	}
}

// notSent records that a claimed booking did not run. Its waiters learn so
// once the record stands, so that the same key sent at once to another VM
// may run, or at their deadline.
func (c *Claimer) notSent(now tier.Millis, b *booking, r *tier.Refused) {
	b.phase = phaseRecording
	b.outcome = r
	c.record(now, b, stateRefused, "", "").waiting = b
}

// record queues the outcome of a claim for the store.
func (c *Claimer) record(now tier.Millis, b *booking, s state, receipt string, reason tier.UnknownReason) *record {
	if len(receipt) > MaxReceiptBytes {
		s, receipt, reason = stateUnknown, "", tier.UnknownForgotten
	}
	r := &record{key: b.key.text, claim: b.claim, state: s, receipt: receipt, reason: reason, due: now + c.recordDelay}
	if s == stateRefused {
		r.due = now
	}
	b.page.records = append(b.page.records, r)
	c.busy[b.page.key] = b.page
	return r
}

// end finishes everyone who waits for a booking, and forgets it.
func (c *Claimer) end(b *booking, o tier.Outcome) {
	b.phase = phaseEnded
	if b.page != nil && b.page.bookings[b.key.text] == b {
		delete(b.page.bookings, b.key.text)
	}
	for _, w := range b.waiters {
		if booked, ok := o.(*tier.Booked); ok && w.ticket != b.ticket {
			c.finish(w, tier.NewBooked(booked.Receipt(), true))
			continue
		}
		c.finish(w, o)
	}
	b.waiters = nil
}

// drop gives a waiting booking up. If its claim stands all the same, it is
// released.
func (c *Claimer) drop(b *booking, reason tier.RefuseReason) {
	b.dropped = true
	if b.maybe {
		b.page.dropped = append(b.page.dropped, b)
	}
	waiters := b.waiters
	b.waiters = nil
	c.end(b, nil)
	for _, w := range waiters {
		c.finish(w, NotRunOutcome(w.first, reason))
	}
}

// expire ends the sendings whose deadline has come.
func (c *Claimer) expire(now tier.Millis) {
	for {
		ticket, ok := c.due.expired(now)
		if !ok {
			return
		}
		w, waits := c.waiters[ticket]
		if !waits {
			continue
		}
		b := w.booking
		switch {
		case b.phase == phaseWaiting && now >= b.deadline:
			c.drop(b, tier.RefuseNoStore)
		case b.phase == phaseRecording:
			c.finish(w, b.outcome)
		case b.phase == phaseWaiting:
			c.finish(w, tier.NewUnknown(tier.UnknownInProgress))
		default:
			c.finish(w, tier.NewUnknown(tier.UnknownDeadline))
		}
	}
}

func (c *Claimer) callerGone(ticket uint64) {
	w, ok := c.waiters[ticket]
	if !ok {
		return
	}
	b := w.booking
	switch {
	case b.phase == phaseWaiting && len(b.waiters) == 1:
		c.drop(b, tier.RefuseCallerGone)
	case b.phase == phaseWaiting:
		c.finish(w, tier.NewUnknown(tier.UnknownInProgress))
		b.ticket, b.deadline = b.waiters[0].ticket, b.waiters[0].deadline
	case b.phase == phaseRecording:
		c.finish(w, b.outcome)
	default:
		c.finish(w, tier.NewUnknown(tier.UnknownCallerGone))
	}
}

func (c *Claimer) finish(w *waiter, o tier.Outcome) {
	if c.forget(w) {
		c.do(&Finish{ticket: w.ticket, outcome: o})
	}
}

func (c *Claimer) finishError(w *waiter, err error) {
	if c.forget(w) {
		c.do(&Finish{ticket: w.ticket, err: errors.Wrap(err, "Claimer.Step")})
	}
}

// forget takes a sending out of its booking and reports whether it still
// waited.
func (c *Claimer) forget(w *waiter) bool {
	if _, ok := c.waiters[w.ticket]; !ok {
		return false
	}
	delete(c.waiters, w.ticket)
	if w.booking == nil {
		return true
	}
	for i, o := range w.booking.waiters {
		if o == w {
			w.booking.waiters = append(w.booking.waiters[:i:i], w.booking.waiters[i+1:]...)
			break
		}
	}
	return true
}
