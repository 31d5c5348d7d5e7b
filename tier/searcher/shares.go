package searcher

import "cicadagrade.example/tier"

// delegate hands a share to its VM.
func (s *Search) delegate(now tier.Millis, shareIndex int, actions []Action) []Action {
	sh := &s.shares[shareIndex]
	roundTrip := s.scheduler.partitioner.RoundTrip(sh.member)
	sh.sentAt = now
	sh.acceptDeadline = now + tier.Millis(acceptRoundTrips*roundTrip+acceptSlackMs)
	sh.reportDeadline = s.terms.target + reportGrace
	sh.timeAllowed = max(1, s.terms.target-now-tier.Millis(roundTrip)-shareReplyMargin)
	return append(actions, Delegate{Share: shareIndex, Member: sh.member, Parts: sh.parts, Target: sh.timeAllowed, Deadline: s.terms.deadline - now})
}

// ShareAccepted records that a VM has accepted its share.
func (s *Search) ShareAccepted(now tier.Millis, shareIndex int) []Action {
	sh := &s.shares[shareIndex]
	if s.done || sh.ended {
		return nil
	}
	sh.acceptDeadline = never
	// The VM's time starts when it gets the share, which may have been delayed.
	sh.reportDeadline = max(sh.reportDeadline, now+sh.timeAllowed+reportGrace)
	s.scheduler.partitioner.RecordRoundTrip(now, sh.member.VM().Name(), now-sh.sentAt)
	return nil
}

// ShareReported handles a report on a share.
func (s *Search) ShareReported(now tier.Millis, shareIndex int, report ShareReport) []Action {
	sh := &s.shares[shareIndex]
	if s.done || sh.ended {
		return nil
	}
	sh.acceptDeadline, sh.reported = never, true
	s.mayHaveRun = s.mayHaveRun || report.MayHaveRun
	for _, i := range report.Parts {
		if p := &s.parts[i]; p.shareIndex == shareIndex && !p.arrived && !p.lost {
			p.arrived, p.pastTarget = true, now > s.terms.target
			s.arrived++
		}
	}
	if len(report.Parts) > 0 {
		sh.replies = append(sh.replies, report.Reply)
	}
	if report.Last {
		sh.ended = true
		s.delegatedCalls += report.Calls
		s.delegatedExtraCalls += report.Extra
		s.scheduler.partitioner.RecordShareLatency(s.terms.class, sh.member.Region(), now-sh.sentAt)
		for _, i := range sh.parts {
			if p := &s.parts[i]; p.shareIndex == shareIndex && !p.arrived {
				s.markLost(p, "")
			}
		}
	}
	return s.finishIfDone(now, nil)
}

// ShareFailed handles a VM that could not be reached or whose stream of reports
// broke off.
func (s *Search) ShareFailed(now tier.Millis, shareIndex int) []Action {
	if s.done || s.shares[shareIndex].ended {
		return nil
	}
	return s.finishIfDone(now, s.takePending(s.reclaim(now, shareIndex, nil)))
}

// reclaim has this VM query the missing parts of a share. The calls count as extra
// ones because the other VM may have made them already.
func (s *Search) reclaim(now tier.Millis, shareIndex int, actions []Action) []Action {
	sh := &s.shares[shareIndex]
	sh.ended = true
	s.mayHaveRun = true
	s.scheduler.partitioner.Failed(now, sh.member.VM().Name())
	for _, i := range sh.parts {
		p := &s.parts[i]
		if p.arrived || p.lost {
			continue
		}
		p.shareIndex, p.nextIsExtra = noShare, true
		actions = s.send(now, i, actions)
	}
	return actions
}
