package searcher

import "cicadagrade.example/tier"

// A request of several parts may end each leaf that runs it. Once leafs have ended under it and
// none has answered, what is left of it is held: one part alone tries another leaf, and the others
// follow if that one answers.
const (
	// holdTime is how long parts are held for an answer of another part. Leafs that run the
	// same request take about as long, wherever they are.
	holdTime = 50 * tier.Millisecond
	// minSuspectLeafs is the number of leafs that must have ended under a request to suspect
	// it. Fewer may have ended for other reasons.
	minSuspectLeafs = 3
)

// endedUnderRequest is why a part is lost whose leaf has ended under the request, and which is not
// sent to another leaf.
const endedUnderRequest = "ended-under-request"

// notTrying is the value of Search.trialPart if no part is tried alone.
const notTrying = -1

// caution is the state of a search whose request may end each leaf that runs it.
type caution struct {
	holdUntil tier.Millis // when to stop waiting for an answer of another part, or never
	trialPart int         // the part that is tried alone, or notTrying
	// awaitsFirst says that only the first part is waited for, which would be tried alone.
	awaitsFirst bool
	suspected   bool // a Suspected action was sent, or the request is cautious already
	warned      bool // another VM has lost leafs under the request
	hedged      bool // a call was hedged before any leaf had answered
}

// answered reports whether any leaf is known to have answered the request.
func (s *Search) answered() bool { return s.arrived > 0 || s.leafReported }

// endedCount is the number of calls whose leaf has ended the connection, of all VMs. A share that
// goes on has lost one at least if its VM says so.
func (s *Search) endedCount() int {
	count := len(s.endedElsewhere)
	for k := range s.shares {
		if sh := &s.shares[k]; sh.suspected && !sh.ended {
			count++
		}
	}
	for i := range s.calls {
		if s.calls[i].broken {
			count++
		}
	}
	return count
}

// holds reports whether a part whose leaf has ended is held.
func (s *Search) holds() bool { return !s.answered() && s.ofManyParts() }

// suspect reports whether the request may end its leafs, so that one leaf at a time is enough.
func (s *Search) suspect() bool {
	return !s.answered() && (s.terms.cautious || s.caution.warned || s.caution.holdUntil != never)
}

// mayHedge reports whether a call may be hedged. Until a leaf has answered any part of a request,
// it is not known whether leafs bear it: one hedge is enough then, and not before half of the
// time to the target.
func (s *Search) mayHedge(now tier.Millis) bool {
	switch {
	case s.suspect():
		return false
	case s.answered() || !s.ofManyParts():
		return true
	}
	return !s.caution.hedged && now-s.startedAt >= (s.terms.target-s.startedAt)/2
}

// ofManyParts reports whether the request, of which this search may have a share only, has several
// parts.
func (s *Search) ofManyParts() bool {
	return len(s.parts) > 1 || s.terms.flushes && !s.terms.forwardFailures
}

// callsAlone reports whether a call that is sent now is the only one, after leafs have ended under
// such requests.
func (s *Search) callsAlone() bool {
	if s.answered() || !s.terms.cautious && s.endedCount() == 0 {
		return false
	}
	for i := range s.parts {
		if s.parts[i].inFlight > 0 {
			return false
		}
	}
	return true
}

// Warned handles a warning that leafs may have ended under the request.
func (s *Search) Warned() { s.caution.warned = true }

// hold keeps a part whose leaf has ended from being sent again.
func (s *Search) hold(now tier.Millis, partIndex int) {
	p := &s.parts[partIndex]
	p.held, p.hedgeAt, p.retryAt = true, never, never
	if s.caution.holdUntil == never {
		s.caution.holdUntil = now + holdTime
	}
}

// release sends the held parts, as a leaf has answered the request.
func (s *Search) release(now tier.Millis, actions []Action) []Action {
	s.caution.holdUntil, s.caution.trialPart, s.caution.awaitsFirst = never, notTrying, false
	var unsent []int
	for i := range s.parts {
		p := &s.parts[i]
		if !p.held {
			continue
		}
		p.held = false
		if p.nextIsExtra {
			actions = s.retry(now, i, true, 0, actions)
			continue
		}
		unsent = append(unsent, i)
	}
	if len(unsent) > 0 {
		actions = s.redelegate(now, unsent, s.terms.maxAttempts, actions)
	}
	return actions
}

// review decides about held parts: they are sent, one is tried alone, or all are lost.
func (s *Search) review(now tier.Millis, actions []Action) []Action {
	if s.caution.holdUntil == never {
		return actions
	}
	if s.answered() {
		return s.release(now, actions)
	}
	if !s.caution.suspected {
		s.caution.suspected = true
		actions = append(actions, Suspected{})
	}
	if i := s.caution.trialPart; i != notTrying {
		if p := &s.parts[i]; p.held || p.lost {
			return s.loseHeld(actions)
		}
		return actions
	}
	if now < s.caution.holdUntil && s.awaitsAnswer() {
		return actions
	}
	ended := s.endedCount()
	switch {
	case s.terms.flushes && (s.caution.warned || ended >= minSuspectLeafs-1 || len(s.parts) == 1):
		return s.loseHeld(actions) // the VM that has the request knows of all parts
	case ended < minSuspectLeafs:
		return s.release(now, actions)
	case s.parts[0].pending() && now < s.terms.target:
		s.caution.holdUntil, s.caution.awaitsFirst = s.terms.target, true
		return actions
	}
	return s.tryAlone(now, actions)
}

// pending reports whether an answer of a part may still come, without another call.
func (p *part) pending() bool { return !p.held && !p.lost && !p.arrived }

// awaitsAnswer reports whether an answer that decides about held parts may still come.
func (s *Search) awaitsAnswer() bool {
	if s.caution.awaitsFirst {
		return s.parts[0].pending()
	}
	for i := range s.parts {
		if s.parts[i].pending() {
			return true
		}
	}
	return false
}

// tryAlone sends the first part, if it is held. All requests try the same one, so that those that
// end their leafs end all leafs of one shard only.
func (s *Search) tryAlone(now tier.Millis, actions []Action) []Action {
	const first = 0
	p := &s.parts[first]
	if !p.held {
		return s.loseHeld(actions)
	}
	p.held = false
	s.caution.trialPart = first
	if p.nextIsExtra {
		actions = s.retry(now, first, true, 0, actions)
	} else {
		actions = s.sendAll(now, []int{first}, actions)
	}
	if p.lost {
		return s.loseHeld(actions)
	}
	return actions
}

// loseHeld gives up the held parts.
func (s *Search) loseHeld(actions []Action) []Action {
	for i := range s.parts {
		if p := &s.parts[i]; p.held {
			p.held = false
			s.markLost(p, endedUnderRequest)
		}
	}
	s.caution.holdUntil = never
	return actions
}
