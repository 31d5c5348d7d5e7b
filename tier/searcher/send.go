package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// sendAll starts the next call of some parts.
func (s *Search) sendAll(now tier.Millis, parts []int, actions []Action) []Action {
	if s.scheduler.balancer.LinksLost() {
		return s.handOver(now, parts, actions)
	}
	for _, i := range parts {
		actions = s.send(now, i, actions)
	}
	return actions
}

// send starts the next call of a part, queues the part until a leaf has capacity, or
// gives it up.
func (s *Search) send(now tier.Millis, partIndex int, actions []Action) []Action {
	p := &s.parts[partIndex]
	if s.terms.deadline-now < minCallTime || p.queued {
		return actions
	}
	if s.scheduler.balancer.LinksLost() {
		return s.handOver(now, []int{partIndex}, actions)
	}
	if s.quarantined(now) {
		s.markLost(p, quarantinedReason)
		return actions
	}
	leaf, _, found := s.pickLeaf(now, p, true)
	if !found {
		if asked, ok := s.askRateOwner(now, partIndex, actions); ok {
			return asked
		}
		leaf, _, found = s.pickLeaf(now, p, false)
	}
	switch {
	case !found:
		if p.inFlight == 0 {
			s.giveUp(now, p)
		}
		return actions
	case !s.scheduler.balancer.HasCapacity(now, leaf, s.scheduler.ownerCount(now, p.service) > 0):
		// Another leaf is used only if it should answer by the target. Otherwise
		// the part is queued: the cost of the best leaf includes the wait for it.
		if other, cost, ok := s.scheduler.pickWithCapacity(now, s, p); ok && now+tier.Millis(cost) <= s.terms.target {
			leaf = other
			break
		}
		if s.scheduler.balancer.ColdBinds(now, leaf) {
			s.scheduler.cold.held++
		}
		if wait := s.scheduler.limitWait(now, s, p.service); now+wait > s.terms.deadline && p.inFlight == 0 {
			s.markLost(p, limitReason)
			s.retryAfter = max(s.retryAfter, now+wait-s.terms.deadline)
			return actions
		}
		if excess := s.scheduler.queueExcess(now, s, partIndex); excess > 0 {
			s.markLost(p, queueReason)
			s.retryAfter = max(s.retryAfter, excess)
			return actions
		}
		s.scheduler.enqueue(now, s, partIndex)
		return actions
	}
	if p.nextIsExtra && !s.scheduler.budgeter.Take(now, p.service) {
		switch {
		case p.inFlight > 0:
		case now < s.terms.target:
			p.retryAt = now + retryDelay
		default:
			s.markLost(p, "no-budget")
		}
		return actions
	}
	return s.startCall(now, partIndex, leaf, p.nextIsExtra, actions)
}

// limitReason is why a part is lost that could not be sent before the deadline, because of
// the limits that all leafs of its service have named.
const limitReason = "leafs-limited"

// quarantinedReason is why a part is lost of a request that has ended several leafs.
const quarantinedReason = "quarantined"

// quarantined reports whether the request must not be sent to a further leaf, because several
// have ended under it.
func (s *Search) quarantined(now tier.Millis) bool {
	q := s.scheduler.quarantiner
	if q.Empty() || s.terms.fingerprints == nil {
		return false
	}
	left, refused := q.Refuses(now, s.terms.fingerprints())
	if refused {
		s.retryAfter = max(s.retryAfter, left)
	}
	return refused
}

// pickLeaf picks the leaf with the least expected cost, among those without a call
// of the part if untriedOnly is set.
func (s *Search) pickLeaf(now tier.Millis, p *part, untriedOnly bool) (lister.Leaf, float64, bool) {
	return s.scheduler.balancer.Pick(now, s.terms.class, s.scheduler.usableLeafs(now, p.service, s.terms.regions), func(leaf lister.Leaf) bool {
		return (!untriedOnly || !contains(p.tried, leaf.ID())) && s.scheduler.balancer.MayCall(now, leaf)
	})
}

// startCall records a call to a leaf and schedules its hedge.
func (s *Search) startCall(now tier.Millis, partIndex int, leaf lister.Leaf, extra bool, actions []Action) []Action {
	p := &s.parts[partIndex]
	if !p.nextIsExtra && !p.counted {
		p.counted = true
		s.scheduler.budgeter.CountRequest(now, p.service, s.scheduler.ownerCount(now, p.service))
	}
	p.nextIsExtra = true
	if extra {
		s.extraCalls++
	}
	if p.queuedAt == 0 {
		s.countRoom(now, p)
	}
	if !contains(p.tried, leaf.ID()) {
		p.tried = append(p.tried, leaf.ID())
	}
	alone := s.callsAlone()
	p.inFlight++
	s.chargeFairShare(now, leaf)
	s.scheduler.balancer.Sent(now, s.terms.class, leaf)
	s.calls = append(s.calls, call{part: partIndex, leaf: leaf, sentAt: now, extra: extra, alone: alone})
	p.hedgeAt = never
	if s.terms.idempotent && p.ranCalls+p.inFlight < s.terms.maxAttempts {
		p.hedgeAt = now + s.hedgeDelay(now, p, leaf)
		actions = s.prepareReplica(now, p, actions)
	}
	return append(actions, Send{
		Call: len(s.calls) - 1, Part: partIndex, Leaf: leaf, TimeLeft: s.terms.deadline - now, Extra: extra,
	})
}

// retry repeats a part after a call without a usable reply. Calls that did not run
// are no attempts and have a bound of their own.
func (s *Search) retry(now tier.Millis, partIndex int, allowed bool, delay tier.Millis, actions []Action) []Action {
	p := &s.parts[partIndex]
	if p.arrived || p.lost {
		return actions
	}
	if p.inFlight > 0 {
		return actions // another call is in flight
	}
	if !allowed || p.ranCalls >= s.terms.maxAttempts || p.notRunCalls >= s.terms.maxAttempts+maxExtraRefusals {
		s.markLost(p, "")
		return actions
	}
	if delay > 0 && !s.hasUntriedLeaf(now, p) {
		p.retryAt = now + delay
		return actions
	}
	return s.send(now, partIndex, actions)
}

func (s *Search) hasUntriedLeaf(now tier.Millis, p *part) bool {
	_, _, found := s.pickLeaf(now, p, true)
	return found
}
