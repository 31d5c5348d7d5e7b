package claimer

import (
	"maps"

	"cicadagrade.example/tier"
)

// page is this VM's copy of a page of claims and what waits for it. At most
// one call of the store is open for it.
type page struct {
	key      string
	known    bool
	revision int64
	entries  map[string]entry

	bookings map[string]*booking // by key; waiting, running or recording
	dropped  []*booking          // whose claim may stand in the store
	records  []*record

	call    uint64
	sent    map[string]entry // what the open Write writes; nil for a Read
	claimed []*booking       // whose claims it carries
	newly   []*booking       // those of them that no earlier write carried
	carried []*record
	retryAt tier.Millis
	backoff tier.Millis
	failing bool        // no call has succeeded since
	since   tier.Millis // this time
}

// out reports whether the store has failed for so long that callers are
// better told at once.
func (g *page) out(now tier.Millis) bool { return g.failing && now-g.since >= outageAfter }

// well notes that a call of the store succeeded.
func (g *page) well() { g.backoff, g.retryAt, g.failing = 0, 0, false }

// record is the outcome of a claim that the store does not hold yet.
type record struct {
	key     string
	claim   tier.AttemptID
	state   state
	receipt string
	reason  tier.UnknownReason
	due     tier.Millis
	waiting *booking // whose waiters learn of it once it stands
}

// pageOf finds the page of a booking's claim. The first use of a page has
// the one that its date leaves behind dropped from the store.
func (c *Claimer) pageOf(e *Submit) *page {
	key := e.key.pageKey(e.set, c.pageCount)
	g, ok := c.pages[key]
	if !ok {
		g = &page{key: key, entries: map[string]entry{}, bookings: map[string]*booking{}}
		c.pages[key] = g
		c.do(&DeletePage{key: e.key.expiredPageKey(e.set, c.pageCount)})
	}
	return g
}

// hasWork reports whether something waits for the store.
func (g *page) hasWork() bool {
	return len(g.records) > 0 || len(g.dropped) > 0 || len(g.waiting()) > 0
}

// waiting lists the bookings without a claim, in a fixed order.
func (g *page) waiting() []*booking {
	var out []*booking
	for _, key := range sortedKeys(g.bookings) {
		if b := g.bookings[key]; b.phase == phaseWaiting {
			out = append(out, b)
		}
	}
	return out
}

// next is when the page wants a Tick, if it does.
func (g *page) next(hurry bool) (tier.Millis, bool) {
	if g.call != 0 || !g.hasWork() {
		return 0, false
	}
	if len(g.dropped) > 0 || len(g.waiting()) > 0 || hurry {
		return g.retryAt, true
	}
	due := g.records[0].due
	for _, r := range g.records {
		due = min(due, r.due)
	}
	return max(due, g.retryAt), true
}

// pump starts the page's next call of the store, if one is needed now.
func (c *Claimer) pump(now tier.Millis, g *page) {
	if at, waits := g.next(c.hurry); !waits || at > now {
		return
	}
	if !g.known {
		c.read(g)
		return
	}
	next := maps.Clone(g.entries)
	g.applyRecords(c, next)
	claims, stale := c.applyClaims(g, next)
	if stale {
		c.read(g)
		return
	}
	if len(claims) == 0 && len(g.dropped) == 0 && !g.recordsDue(now, c.hurry) {
		return
	}
	c.write(g, next, claims)
}

func (g *page) recordsDue(now tier.Millis, hurry bool) bool {
	for _, r := range g.records {
		if hurry || r.due <= now {
			return true
		}
	}
	return false
}

// applyRecords puts outcomes into a page that is to be written. An outcome
// whose claim no longer stands as claimed has nothing to say.
func (g *page) applyRecords(c *Claimer, next map[string]entry) {
	kept := g.records[:0]
	for _, r := range g.records {
		e, ok := next[r.key]
		if !ok || e.claim != r.claim || e.state != stateClaimed {
			c.recorded(r)
			continue
		}
		e.state, e.receipt, e.reason = r.state, r.receipt, r.reason
		next[r.key] = e
		kept = append(kept, r)
	}
	g.records = kept
}

// applyClaims puts the claims of waiting bookings into a page that is to be
// written, and ends the bookings whose key was claimed before. Stale says
// that the page has to be read first.
func (c *Claimer) applyClaims(g *page, next map[string]entry) (claims []*booking, stale bool) {
	size := 0
	for _, b := range g.waiting() {
		e, ok := next[b.key.text]
		if ok && e.fingerprint != b.fingerprint {
			c.endReused(b, e)
			continue
		}
		if ok && e.state != stateRefused {
			if e.state != stateAnswered && !b.fresh {
				return nil, true
			}
			c.endEarlier(b, e)
			continue
		}
		if size == 0 {
			size = sizeOf(next)
		}
		size += MaxKeyLength + MaxReceiptBytes + entryBytes
		if size > MaxPageBytes {
			c.drop(b, tier.RefuseOverload)
			continue
		}
		b.generation = e.generation + 1
		next[b.key.text] = entry{claim: b.claim, generation: b.generation, fingerprint: b.fingerprint, state: stateClaimed}
		claims = append(claims, b)
	}
	return claims, false
}

// sizeOf is about the encoded size of a page once every claim of it has its
// receipt.
func sizeOf(entries map[string]entry) int {
	n := 0
	for k, e := range entries {
		n += len(k) + len(e.receipt) + entryBytes
		if e.state == stateClaimed {
			n += MaxReceiptBytes
		}
	}
	return n
}

func (c *Claimer) endReused(b *booking, e entry) {
	for _, w := range append([]*waiter(nil), b.waiters...) {
		c.finishError(w, &KeyReusedError{key: b.key.text, first: e.fingerprint, now: b.fingerprint})
	}
	c.end(b, nil)
}

// endEarlier ends a booking whose key an earlier sending claimed.
func (c *Claimer) endEarlier(b *booking, e entry) {
	reason := tier.UnknownInProgress
	switch {
	case e.state == stateAnswered:
		b.ticket = 0
		c.end(b, tier.NewBooked(e.receipt, true))
		return
	case e.state == stateUnknown:
		reason = e.reason
	case e.claim.VM() == c.vm || !c.live(e.claim.VM(), e.claim.Incarnation()):
		// A claim of this VM that no booking here works on has no holder.
		reason = tier.UnknownHolderGone
	}
	c.end(b, tier.NewUnknown(reason))
}

// recorded ends a booking that waited for its outcome to be recorded.
func (c *Claimer) recorded(r *record) {
	if b := r.waiting; b != nil && b.phase == phaseRecording {
		c.end(b, b.outcome)
	}
}
