package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// send makes the next call of a part, has it wait for room, or gives it up.
func (s *Search) send(now tier.Millis, i int, actions []Action) []Action {
	p := &s.parts[i]
	if s.terms.end-now < leastTime || p.waiting {
		return actions
	}
	f, _, found := s.pick(now, p, true)
	if !found && len(p.tried) > 0 {
		f, _, found = s.pick(now, p, false)
	}
	switch {
	case !found:
		if p.open == 0 {
			s.giveUp(p, "no-leaf")
		}
		return actions
	case !s.core.balancer.HasCapacity(now, f, s.core.owners(now, p.service) > 0):
		// Waiting for the best leaf beats a worse one now: its cost has the
		// wait in it.
		if other, cost, ok := s.core.roomFor(now, s, p); ok && now+tier.Millis(cost) <= s.terms.aim {
			f = other
			break
		}
		s.core.enqueue(now, s, i)
		return actions
	}
	if p.asked && !s.core.budgeter.Take(p.service) {
		switch {
		case p.open > 0:
		case now < s.terms.aim:
			p.retryAt = now + retryPause
		default:
			s.giveUp(p, "no-budget")
		}
		return actions
	}
	return s.call(now, i, f, p.asked, actions)
}

// hedge makes a second call beside one that is out.
func (s *Search) hedge(now tier.Millis, i int, actions []Action) []Action {
	p := &s.parts[i]
	if p.ran+p.open >= s.terms.attempts {
		return actions
	}
	f, cost, found := s.core.roomFor(now, s, p)
	if !found {
		if now < s.terms.aim {
			p.hedgeAt = now + hedgeRetry
		}
		return actions
	}
	late := now+tier.Millis(cost) > s.terms.aim
	if late && s.in >= s.terms.minimum && s.terms.aim > now {
		return actions // its reply would come after the answer went out
	}
	if !s.core.budgeter.Take(p.service) {
		return actions
	}
	return s.call(now, i, f, true, actions)
}

func (s *Search) pick(now tier.Millis, p *part, fresh bool) (lister.Leaf, float64, bool) {
	return s.core.balancer.Pick(now, s.terms.class, s.core.lister.Leafs(p.service), func(f lister.Leaf) bool {
		return !fresh || !contains(p.tried, f.ID())
	})
}

func (s *Search) call(now tier.Millis, i int, f lister.Leaf, extra bool, actions []Action) []Action {
	p := &s.parts[i]
	if !p.asked {
		p.asked = true
		s.core.budgeter.CountRequest(p.service, s.core.owners(now, p.service))
	}
	if extra {
		s.extra++
	}
	if !contains(p.tried, f.ID()) {
		p.tried = append(p.tried, f.ID())
	}
	p.open++
	s.core.balancer.Sent(now, f)
	s.calls = append(s.calls, call{part: i, leaf: f, sent: now})
	p.hedgeAt = never
	if s.terms.repeatable && p.ran+p.open < s.terms.attempts {
		p.hedgeAt = now + s.patience(now, p, f)
	}
	return append(actions, Send{
		Call: len(s.calls) - 1, Part: i, Leaf: f, TimeLeft: s.terms.end - now, Extra: extra,
	})
}

// patience is how long to wait for a call before hedging it: a good while
// longer than it should take, but not so long that the hedge comes too late.
func (s *Search) patience(now tier.Millis, p *part, f lister.Leaf) tier.Millis {
	byAim := hedgeShare * float64(s.terms.aim-now)
	byLatency := hedgeFactor*s.core.balancer.BaseLatency(s.terms.class, f) + hedgeSlack
	wait := max(byAim, byLatency)
	if _, cost, found := s.pick(now, p, true); found {
		wait = min(wait, float64(s.terms.aim-now)-hedgeReserve*cost)
	}
	return max(leastPatience, tier.Millis(wait))
}

// again retries a part after a call that brought nothing. Calls that a leaf did
// not run do not count as attempts, but they are bounded too.
func (s *Search) again(now tier.Millis, i int, allowed bool, pause tier.Millis, actions []Action) []Action {
	p := &s.parts[i]
	if p.in || p.lost {
		return actions
	}
	if p.open > 0 {
		return actions // another call is out
	}
	if !allowed || p.ran >= s.terms.attempts || p.notRun >= s.terms.attempts+maxRefusals {
		s.giveUp(p, "")
		return actions
	}
	if pause > 0 && !s.hasFresh(now, p) {
		p.retryAt = now + pause
		return actions
	}
	return s.send(now, i, actions)
}

func (s *Search) hasFresh(now tier.Millis, p *part) bool {
	_, _, found := s.pick(now, p, true)
	return found
}
