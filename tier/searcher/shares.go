package searcher

import "cicadagrade.example/tier"

// delegate gives a share to its VM.
func (s *Search) delegate(now tier.Millis, k int, actions []Action) []Action {
	h := &s.shares[k]
	trip := s.core.sharer.RoundTrip(h.member)
	h.sent = now
	h.acceptBy = now + tier.Millis(acceptFactor*trip+acceptSlack)
	h.reportBy = s.terms.aim + reportSlack
	h.aim = max(1, s.terms.aim-now-tier.Millis(trip)-hopMargin)
	return append(actions, Delegate{Share: k, Member: h.member, Parts: h.parts, Target: h.aim, Deadline: s.terms.end - now})
}

// ShareAccepted says that a VM has got its share.
func (s *Search) ShareAccepted(now tier.Millis, k int) []Action {
	h := &s.shares[k]
	if s.done || h.ended {
		return nil
	}
	h.acceptBy = never
	// Its VM counts from when it got the share, which may have been late.
	h.reportBy = max(h.reportBy, now+h.aim+reportSlack)
	s.core.sharer.RecordRoundTrip(now, h.member.VM().Name(), now-h.sent)
	return nil
}

// ShareReported takes a report on a share.
func (s *Search) ShareReported(now tier.Millis, k int, b ShareReport) []Action {
	h := &s.shares[k]
	if s.done || h.ended {
		return nil
	}
	h.acceptBy, h.reported = never, true
	s.maybe = s.maybe || b.MayHaveRun
	for _, i := range b.Parts {
		if p := &s.parts[i]; p.share == k && !p.in && !p.lost {
			p.in, p.late = true, now > s.terms.aim
			s.in++
		}
	}
	if len(b.Parts) > 0 {
		h.replies = append(h.replies, b.Reply)
	}
	if b.Last {
		h.ended = true
		s.extern += b.Calls
		s.extExt += b.Extra
		s.core.sharer.RecordShareLatency(s.terms.class, h.member.Region(), now-h.sent)
		for _, i := range h.parts {
			if p := &s.parts[i]; p.share == k && !p.in {
				s.giveUp(p, "")
			}
		}
	}
	return s.settle(now, nil)
}

// ShareFailed says that a VM's replies broke off, or that it could not be
// reached.
func (s *Search) ShareFailed(now tier.Millis, k int) []Action {
	if s.done || s.shares[k].ended {
		return nil
	}
	return s.settle(now, s.takePending(s.takeBack(now, k, nil)))
}

// takeBack has this VM ask what is still missing of a share. The other VM may
// have asked it: these calls are extra ones.
func (s *Search) takeBack(now tier.Millis, k int, actions []Action) []Action {
	h := &s.shares[k]
	h.ended = true
	s.maybe = true
	s.core.sharer.Failed(now, h.member.VM().Name())
	for _, i := range h.parts {
		p := &s.parts[i]
		if p.in || p.lost {
			continue
		}
		p.share, p.asked = none, true
		actions = s.send(now, i, actions)
	}
	return actions
}
