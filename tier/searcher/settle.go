package searcher

import "cicadagrade.example/tier"

// settle ends the search if there is nothing to wait for.
func (s *Search) settle(now tier.Millis, actions []Action) []Action {
	if s.done {
		return actions
	}
	n := len(s.parts)
	if s.terms.flushes {
		return s.settleFlushing(now, actions)
	}
	switch {
	case s.in == n:
		return s.finish(now, Complete, actions)
	case s.in+s.lost == n && s.in >= s.terms.minimum:
		return s.finish(now, AtTarget, actions)
	case n-s.lost < s.terms.minimum:
		return s.finish(now, s.failureCause(), actions)
	case now >= s.terms.aim && s.in >= s.terms.minimum:
		cause := AtTarget
		if now > s.terms.aim+lateSlack {
			cause = PastTarget
		}
		return s.finish(now, cause, actions)
	case now >= s.terms.end:
		return s.finish(now, OutOfTime, actions)
	}
	return actions
}

// settleFlushing is settle for a search that another VM waits for: that VM
// decides whether the parts suffice.
func (s *Search) settleFlushing(now tier.Millis, actions []Action) []Action {
	ended := s.in+s.lost == len(s.parts) || now >= s.terms.end
	if now < s.terms.aim && !ended {
		return actions
	}
	var f Flush
	for i := range s.parts {
		p := &s.parts[i]
		if !p.in || p.flushed {
			continue
		}
		p.flushed = true
		f.Arrived = append(f.Arrived, i)
		if p.reply != nil {
			f.Parts = append(f.Parts, Part{index: i, reply: p.reply})
		}
	}
	for k := range s.shares {
		f.Shares = append(f.Shares, s.shares[k].replies...)
		s.shares[k].replies = nil
	}
	if len(f.Arrived) > 0 || !s.late {
		actions = append(actions, f)
	}
	s.late = true
	if !ended {
		return actions
	}
	cause := Complete
	if s.in < len(s.parts) {
		cause = PartsLost
	}
	return s.finish(now, cause, actions)
}

// lateSlack tells an answer at the aim from one after it.
const lateSlack = 5 * tier.Millisecond

func (s *Search) failureCause() Cause {
	switch {
	case s.terms.whole && s.parts[0].failure != nil:
		return LeafFailure
	case len(s.calls) == 0 && len(s.shares) == 0:
		return NoLeaf
	case !s.maybe:
		return LeafsRefused
	case !s.terms.repeatable:
		return OutcomeUnknown
	}
	return PartsLost
}

func (s *Search) finish(now tier.Millis, cause Cause, actions []Action) []Action {
	s.done = true
	// A call that is still out may be at work.
	for i := range s.calls {
		if !s.calls[i].ended {
			s.maybe = true
		}
	}
	misses := s.misses(now)
	if !s.terms.flushes && len(s.parts) > 1 && cause != CallerLeft {
		s.judge(now)
	}
	actions = s.cancelAll(now, actions)
	s.pending = nil
	o := Outcome{
		cause: cause, maybe: s.maybe, missing: len(s.parts) - s.in, misses: misses,
		sent: len(s.calls) + s.extern, extra: s.extra + s.extExt,
	}
	for k := range s.shares {
		o.shares = append(o.shares, s.shares[k].replies...)
	}
	if cause == LeafFailure {
		o.failure = s.parts[0].failure
	}
	o.parts = make([]Part, 0, s.in)
	for i := range s.parts {
		if s.parts[i].in && s.parts[i].reply != nil {
			o.parts = append(o.parts, Part{index: i, reply: s.parts[i].reply})
		}
	}
	return append(actions, Finish{Outcome: o})
}

// maxMisses bounds the services that an outcome explains: they go into one log
// line.
const maxMisses = 6

// misses says why parts are not in.
func (s *Search) misses(now tier.Millis) []Miss {
	var list []Miss
	for i := range s.parts {
		p := &s.parts[i]
		if p.in {
			continue
		}
		if len(list) == maxMisses {
			break
		}
		m := Miss{service: p.service, why: p.why}
		switch {
		case p.why != "":
		case p.share != none:
			m.why = "asked-by-" + s.shares[p.share].member.VM().Name()
		case p.waiting:
			m.why = "waits-for-room"
		case p.asked && !p.lost:
			m.why = "no-budget"
		}
		for k := range s.calls {
			if c := &s.calls[k]; c.part == i {
				m.leaf, m.waited = c.leaf.ID(), now-c.sent
				m.why = c.why
				if !c.ended {
					m.why = "slow"
				}
			}
		}
		list = append(list, m)
	}
	return list
}

// whyOf names how a call ended that brought nothing.
func whyOf(r Result) string {
	switch r := r.(type) {
	case FailedReply:
		return "failed"
	case Lost:
		if r.NewConnection {
			return "connection-reset"
		}
		return "lost"
	case NotRun:
		return r.Reason.String()
	}
	return ""
}

// judge tells which parts made the aim.
func (s *Search) judge(now tier.Millis) {
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.in && !p.late:
			s.core.forecaster.RecordArrived(now, p.service)
		case p.in || p.lost || now >= s.terms.aim:
			s.core.forecaster.RecordMissed(now, p.service)
		}
	}
}
