package claimer

import (
	"maps"

	"cicadagrade.example/tier"
)

// page is this VM's copy of a stored page of claims, with the work that is pending for
// it. At most one store call is open for a page at a time.
type page struct {
	key      string
	known    bool // the page was read or written at least once
	revision int64
	entries  map[string]entry

	bookings  map[string]*booking // by key; waiting, running or storing a refusal
	abandoned []*booking          // their claims may be in the store and have to be released
	unstored  []*unstoredOutcome

	openCall        uint64             // number of the open store call, or 0
	writtenEntries  map[string]entry   // content of the open Write; nil for a Read
	writtenClaims   []*booking         // bookings whose claims the open Write carries
	newClaims       []*booking         // those of them that no earlier Write carried
	writtenOutcomes []*unstoredOutcome // outcomes that the open Write carries
	retryAt         tier.Millis
	backoff         tier.Millis
	failing         bool        // no call has succeeded since the first failure
	failingSince    tier.Millis // first failure of the present series
}

// storeDown reports whether the store has failed for so long that bookings are refused at
// once instead of waiting for it.
func (p *page) storeDown(now tier.Millis) bool { return p.failing && now-p.failingSince >= outageAfter }

// callSucceeded resets the backoff after a successful store call.
func (p *page) callSucceeded() { p.backoff, p.retryAt, p.failing = 0, 0, false }

// unstoredOutcome is the outcome of a claim that is not in the store yet.
type unstoredOutcome struct {
	key     string
	claimID tier.AttemptID
	state   state
	receipt string
	reason  tier.UnknownReason
	due     tier.Millis // when it is written at the latest
	booking *booking    // waiters of this booking, if set, are told once the outcome is stored
}

// pageOf returns the page for a booking's claim. On the first use of a page it also
// deletes the corresponding expired page from the store.
func (c *Claimer) pageOf(e *Submit) *page {
	key := e.key.pageKey(e.set, c.pageCount)
	p, ok := c.pages[key]
	if !ok {
		p = &page{key: key, entries: map[string]entry{}, bookings: map[string]*booking{}}
		c.pages[key] = p
		c.emit(&DeletePage{key: e.key.expiredPageKey(e.set, c.pageCount)})
	}
	return p
}

// hasWork reports whether anything needs a store call.
func (p *page) hasWork() bool {
	return len(p.unstored) > 0 || len(p.abandoned) > 0 || len(p.waitingBookings()) > 0
}

// waitingBookings lists the bookings that are not claimed yet, sorted by key.
func (p *page) waitingBookings() []*booking {
	var out []*booking
	for _, key := range sortedKeys(p.bookings) {
		if b := p.bookings[key]; b.phase == phaseWaiting {
			out = append(out, b)
		}
	}
	return out
}

// nextTick returns when the page needs a Tick, if it does.
func (p *page) nextTick(flushing bool) (tier.Millis, bool) {
	if p.openCall != 0 || !p.hasWork() {
		return 0, false
	}
	if len(p.abandoned) > 0 || len(p.waitingBookings()) > 0 || flushing {
		return p.retryAt, true
	}
	due := p.unstored[0].due
	for _, r := range p.unstored {
		due = min(due, r.due)
	}
	return max(due, p.retryAt), true
}

// advancePage starts the page's next store call, if one is due.
func (c *Claimer) advancePage(now tier.Millis, p *page) {
	if at, waits := p.nextTick(c.flushing); !waits || at > now {
		return
	}
	if !p.known {
		c.startRead(p)
		return
	}
	next := maps.Clone(p.entries)
	p.applyOutcomes(c, next)
	claims, needsRead := c.applyClaims(p, next)
	if needsRead {
		c.startRead(p)
		return
	}
	if len(claims) == 0 && len(p.abandoned) == 0 && !p.outcomesDue(now, c.flushing) {
		return
	}
	c.startWrite(p, next, claims)
}

func (p *page) outcomesDue(now tier.Millis, flushing bool) bool {
	for _, r := range p.unstored {
		if flushing || r.due <= now {
			return true
		}
	}
	return false
}

// applyOutcomes adds the pending outcomes to a page about to be written. An outcome whose
// claim is no longer in state claimed is discarded.
func (p *page) applyOutcomes(c *Claimer, next map[string]entry) {
	kept := p.unstored[:0]
	for _, r := range p.unstored {
		e, ok := next[r.key]
		if !ok || e.claimID != r.claimID || e.state != stateClaimed {
			c.outcomeStored(r)
			continue
		}
		e.state, e.receipt, e.reason = r.state, r.receipt, r.reason
		next[r.key] = e
		kept = append(kept, r)
	}
	p.unstored = kept
}

// applyClaims adds the claims of waiting bookings to a page about to be written, and ends
// the bookings whose key is claimed already. It returns needsRead when the page has to be
// read again first.
func (c *Claimer) applyClaims(p *page, next map[string]entry) (claims []*booking, needsRead bool) {
	size := 0
	for _, b := range p.waitingBookings() {
		e, ok := next[b.key.text]
		if ok && e.fingerprint != b.fingerprint {
			c.failKeyReused(b, e)
			continue
		}
		if ok && e.state != stateRefused {
			if e.state != stateAnswered && !b.readSinceSubmit {
				return nil, true
			}
			c.endClaimedEarlier(b, e)
			continue
		}
		if size == 0 {
			size = maxEncodedSize(next)
		}
		size += MaxKeyLength + MaxReceiptBytes + maxEntryBytes
		if size > MaxPageBytes {
			c.abandon(b, tier.RefuseOverload)
			continue
		}
		b.claimGeneration = e.generation + 1
		next[b.key.text] = entry{claimID: b.claimID, generation: b.claimGeneration, fingerprint: b.fingerprint, state: stateClaimed}
		claims = append(claims, b)
	}
	return claims, false
}

// maxEncodedSize estimates the encoded size of a page when every open claim in it gets a
// receipt of the maximum size.
func maxEncodedSize(entries map[string]entry) int {
	n := 0
	for k, e := range entries {
		n += len(k) + len(e.receipt) + maxEntryBytes
		if e.state == stateClaimed {
			n += MaxReceiptBytes
		}
	}
	return n
}

func (c *Claimer) failKeyReused(b *booking, e entry) {
	for _, w := range append([]*waiter(nil), b.waiters...) {
		c.finishWithError(w, &KeyReusedError{key: b.key.text, firstFingerprint: e.fingerprint, currentFingerprint: b.fingerprint})
	}
	c.endBooking(b, nil)
}

// endClaimedEarlier ends a booking whose key was claimed by an earlier submission.
func (c *Claimer) endClaimedEarlier(b *booking, e entry) {
	reason := tier.UnknownInProgress
	switch {
	case e.state == stateAnswered:
		b.submissionToRun = 0
		c.endBooking(b, tier.NewBooked(e.receipt, true))
		return
	case e.state == stateUnknown:
		reason = e.reason
	case e.claimID.VM() == c.vm || !c.live(e.claimID.VM(), e.claimID.Incarnation()):
		// No booking here works on this claim of this VM, so it has no holder: an earlier
		// incarnation made it, or its booking was given up.
		reason = tier.UnknownHolderGone
	}
	c.endBooking(b, tier.NewUnknown(reason))
}

// outcomeStored ends a booking that waited for its outcome to be stored.
func (c *Claimer) outcomeStored(r *unstoredOutcome) {
	if b := r.booking; b != nil && b.phase == phaseStoringRefusal {
		c.endBooking(b, b.outcome)
	}
}
