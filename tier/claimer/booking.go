package claimer

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// phase is the progress of a booking on this VM.
type phase int

const (
	phaseWaiting        phase = iota // for its claim to be stored
	phaseRunning                     // sent to the back end
	phaseStoringRefusal              // it did not run; that is being stored
	phaseEnded
)

// booking is the work of this VM on one idempotency key. Several submissions of the same
// key share it.
type booking struct {
	key              Key
	fingerprint      string
	submissionToRun  uint64 // submission that is sent to the back end, at first the earliest one
	deadline         tier.Millis
	phase            phase
	page             *page // nil for a minted key
	claimID          tier.AttemptID
	claimGeneration  uint64
	claimMayBeStored bool // a write that carries the claim may have taken effect
	readSinceSubmit  bool // the page was read after the booking was submitted
	abandoned        bool // no submission waits for it any more
	outcome          tier.Outcome
	waiters          []*waiter
}

// waiter is one submission that waits for the outcome of its booking.
type waiter struct {
	submissionID uint64
	deadline     tier.Millis
	first        bool
	booking      *booking
}

// NotRunOutcome returns the outcome of a submission that is known not to run. Unless the
// caller states that it is the first one of its key, the outcome is Unknown, because an
// earlier submission may have run.
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

func (c *Claimer) handleSubmit(now tier.Millis, e *Submit) {
	w := &waiter{submissionID: e.submissionID, deadline: e.deadline, first: e.first}
	c.waiters[e.submissionID] = w
	if e.key.Minted() {
		c.submitMinted(now, e, w)
		return
	}
	switch {
	case e.key.tooFarAhead(e.wall):
		c.finishWithError(w, invalidKey(e.key.text, allowedDates))
		return
	case e.key.expired(e.wall):
		c.finish(w, NotRunOutcome(w.first, tier.RefuseKeyExpired))
		return
	case c.fenced:
		c.finish(w, NotRunOutcome(w.first, tier.RefuseLeaving))
		return
	case now >= e.deadline:
		c.finish(w, NotRunOutcome(w.first, tier.RefuseDeadline))
		return
	}
	p := c.pageOf(e)
	b, ok := p.bookings[e.key.text]
	if !ok && p.storeDown(now) && now < p.retryAt {
		c.finish(w, NotRunOutcome(w.first, tier.RefuseNoStore))
		return
	}
	if !ok {
		b = &booking{key: e.key, fingerprint: e.fingerprint, submissionToRun: e.submissionID, deadline: e.deadline, page: p}
		p.bookings[e.key.text] = b
		c.busyPages[p.key] = p
		c.lastClaim++
		b.claimID = tier.NewAttemptID(c.vm, c.incarnation, c.lastClaim)
	}
	c.addWaiter(b, w, e.fingerprint)
}

// addWaiter attaches a submission to a booking. It fails the submission if its request
// differs from the booking's.
func (c *Claimer) addWaiter(b *booking, w *waiter, fingerprint string) {
	if b.fingerprint != fingerprint {
		c.finishWithError(w, &KeyReusedError{key: b.key.text, firstFingerprint: b.fingerprint, currentFingerprint: fingerprint})
		return
	}
	w.booking = b
	b.waiters = append(b.waiters, w)
	c.deadlines.add(w.deadline, w.submissionID)
}

// startRun sends a claimed booking, unless its deadline has passed or this VM is fenced.
func (c *Claimer) startRun(now tier.Millis, b *booking) {
	if c.fenced || now >= b.deadline {
		reason := tier.RefuseDeadline
		if c.fenced {
			reason = tier.RefuseLeaving
		}
		c.recordNotRun(now, b, tier.NewRefused(reason, 0))
		return
	}
	b.phase = phaseRunning
	c.running[b.submissionToRun] = b
	c.counters.runs++
	c.emit(&Run{submissionID: b.submissionToRun, key: b.key, deadline: b.deadline})
}

// handleRan records how a booking ended.
func (c *Claimer) handleRan(now tier.Millis, e *Ran) {
	b, ok := c.running[e.submissionID]
	if !ok {
		return
	}
	delete(c.running, e.submissionID)
	if b.page == nil {
		c.mintedRan(b, e.outcome)
		return
	}
	switch o := e.outcome.(type) {
	case *tier.Refused:
		c.recordNotRun(now, b, o)
	case *tier.Booked:
		c.queueOutcome(now, b, stateAnswered, o.Receipt(), "")
		c.endBooking(b, o)
	case *tier.Unknown:
		c.queueOutcome(now, b, stateUnknown, "", o.Reason())
		c.endBooking(b, o)
	default:
		o = tier.NewUnknown(tier.UnknownLostReply)
		c.queueOutcome(now, b, stateUnknown, "", tier.UnknownLostReply)
		c.endBooking(b, o)
	}
}

// recordNotRun records that a claimed booking did not run. Its waiters get the outcome
// once the record is stored, so that the same key can run if a caller immediately submits
// it to another VM, or else at their deadline.
func (c *Claimer) recordNotRun(now tier.Millis, b *booking, r *tier.Refused) {
	b.phase = phaseStoringRefusal
	b.outcome = r
	c.queueOutcome(now, b, stateRefused, "", "").booking = b
}

// queueOutcome queues the outcome of a claim for the next write of its page.
func (c *Claimer) queueOutcome(now tier.Millis, b *booking, s state, receipt string, reason tier.UnknownReason) *unstoredOutcome {
	if len(receipt) > MaxReceiptBytes {
		s, receipt, reason = stateUnknown, "", tier.UnknownForgotten
	}
	r := &unstoredOutcome{key: b.key.text, claimID: b.claimID, state: s, receipt: receipt, reason: reason, due: now + c.recordDelay}
	if s == stateRefused {
		r.due = now
	}
	b.page.unstored = append(b.page.unstored, r)
	c.busyPages[b.page.key] = b.page
	return r
}

// endBooking removes a booking and gives its outcome to every waiter.
func (c *Claimer) endBooking(b *booking, o tier.Outcome) {
	b.phase = phaseEnded
	if b.page != nil && b.page.bookings[b.key.text] == b {
		delete(b.page.bookings, b.key.text)
	}
	for _, w := range b.waiters {
		if booked, ok := o.(*tier.Booked); ok && w.submissionID != b.submissionToRun {
			c.finish(w, tier.NewBooked(booked.Receipt(), true))
			continue
		}
		c.finish(w, o)
	}
	b.waiters = nil
}

// abandon refuses every submission of a booking that is not claimed yet. If a write of
// its claim still takes effect, resolveClaims releases the claim.
func (c *Claimer) abandon(b *booking, reason tier.RefuseReason) {
	b.abandoned = true
	if b.claimMayBeStored {
		b.page.abandoned = append(b.page.abandoned, b)
	}
	waiters := b.waiters
	b.waiters = nil
	c.endBooking(b, nil)
	for _, w := range waiters {
		c.finish(w, NotRunOutcome(w.first, reason))
	}
}

// expireWaiters ends the submissions whose deadline has passed.
func (c *Claimer) expireWaiters(now tier.Millis) {
	for {
		id, ok := c.deadlines.expired(now)
		if !ok {
			return
		}
		w, waits := c.waiters[id]
		if !waits {
			continue
		}
		b := w.booking
		switch {
		case b.phase == phaseWaiting && now >= b.deadline:
			c.abandon(b, tier.RefuseNoStore)
		case b.phase == phaseStoringRefusal:
			c.finish(w, b.outcome)
		case b.phase == phaseWaiting:
			c.finish(w, tier.NewUnknown(tier.UnknownInProgress))
		default:
			c.finish(w, tier.NewUnknown(tier.UnknownDeadline))
		}
	}
}

func (c *Claimer) handleCallerGone(id uint64) {
	w, ok := c.waiters[id]
	if !ok {
		return
	}
	b := w.booking
	switch {
	case b.phase == phaseWaiting && len(b.waiters) == 1:
		c.abandon(b, tier.RefuseCallerGone)
	case b.phase == phaseWaiting:
		c.finish(w, tier.NewUnknown(tier.UnknownInProgress))
		b.submissionToRun, b.deadline = b.waiters[0].submissionID, b.waiters[0].deadline
	case b.phase == phaseStoringRefusal:
		c.finish(w, b.outcome)
	default:
		c.finish(w, tier.NewUnknown(tier.UnknownCallerGone))
	}
}

func (c *Claimer) finish(w *waiter, o tier.Outcome) {
	if c.removeWaiter(w) {
		c.emit(&Finish{submissionID: w.submissionID, outcome: o})
	}
}

func (c *Claimer) finishWithError(w *waiter, err error) {
	if c.removeWaiter(w) {
		c.emit(&Finish{submissionID: w.submissionID, err: errors.Wrap(err, "Claimer.Step")})
	}
}

// removeWaiter detaches a submission from its booking and reports whether it was still
// waiting.
func (c *Claimer) removeWaiter(w *waiter) bool {
	if _, ok := c.waiters[w.submissionID]; !ok {
		return false
	}
	delete(c.waiters, w.submissionID)
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
