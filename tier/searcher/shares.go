package searcher

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
)

// delegate hands a share to its VM.
func (s *Search) delegate(now tier.Millis, shareIndex int, actions []Action) []Action {
	sh := &s.shares[shareIndex]
	roundTrip := s.scheduler.partitioner.RoundTrip(sh.member)
	sh.sentAt = now
	sh.acceptDeadline = now + tier.Millis(acceptRoundTrips*roundTrip+acceptSlackMs)
	sh.timeAllowed = max(1, s.terms.target-now-tier.Millis(roundTrip)-shareReplyMargin)
	// After the target, the VM reports what it has as soon as it has accepted the share.
	sh.reportDeadline = max(s.terms.target, sh.acceptDeadline) + reportGrace
	return append(actions, Delegate{Share: shareIndex, Member: sh.member, Parts: sh.parts, Target: sh.timeAllowed, Deadline: s.terms.deadline - now, Repeated: sh.repeated, Attempts: sh.attempts})
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
	sh.acceptDeadline = never
	if report.Suspected {
		return s.shareSuspected(sh)
	}
	sh.reported = true
	s.mayHaveRun = s.mayHaveRun || report.MayHaveRun
	for _, i := range report.Parts {
		if p := &s.parts[i]; p.shareIndex == shareIndex && !p.arrived && !p.lost {
			p.arrived, p.pastTarget, p.reply = true, now > s.terms.target, report.Whole
			s.arrived++
		}
	}
	if report.Failure != nil {
		s.parts[sh.parts[0]].failureReply, s.leafReported = report.Failure, true
	}
	if len(report.Parts) > 0 && report.Whole == nil {
		sh.replies = append(sh.replies, report.Reply)
	}
	if report.Last {
		sh.ended = true
		s.delegatedCalls += report.Calls
		s.delegatedExtraCalls += report.Extra
		s.endedElsewhere = append(s.endedElsewhere, report.Ended...)
		s.scheduler.partitioner.RecordShareLatency(s.terms.class, sh.member.Region(), now-sh.sentAt)
		// What that VM did not know, this one may.
		var uncalled []int
		for _, i := range report.Uncalled {
			if p := &s.parts[i]; p.shareIndex == shareIndex && !p.arrived {
				p.shareIndex, p.nextIsExtra = noShare, sh.repeated
				uncalled = append(uncalled, i)
			}
		}
		actions := s.sendAll(now, uncalled, nil)
		for _, i := range report.Broken {
			if p := &s.parts[i]; p.shareIndex == shareIndex && !p.arrived {
				p.shareIndex, p.nextIsExtra = noShare, true
				p.ranCalls++
				s.hold(now, i)
			}
		}
		for _, i := range sh.parts {
			if p := &s.parts[i]; p.shareIndex == shareIndex && !p.arrived {
				s.markLost(p, "")
			}
		}
		return s.finishIfDone(now, s.takePending(actions))
	}
	return s.finishIfDone(now, s.takePending(nil))
}

// shareSuspected handles a VM that has lost a leaf under its share.
func (s *Search) shareSuspected(sh *share) []Action {
	s.mayHaveRun, sh.suspected = true, true
	if s.answered() || s.caution.suspected {
		return nil
	}
	s.caution.suspected, s.caution.warned = true, true
	return []Action{Suspected{}}
}

// ShareDeclined handles a VM that takes no shares, because it has no view yet, reaches no leaf
// or stops. It has made no calls, and what it has lost before says nothing of the leafs.
func (s *Search) ShareDeclined(now tier.Millis, shareIndex int) []Action {
	if s.done || s.shares[shareIndex].ended {
		return nil
	}
	for _, i := range s.shares[shareIndex].parts {
		s.scheduler.ForecasterOf(s.terms.regions).Forget(s.parts[i].service)
	}
	return s.finishIfDone(now, s.takePending(s.reclaim(now, shareIndex, partitioner.ShareDeclined, nil)))
}

// wouldRefuse reports whether a VM has refused a share of this request, or would, because it is
// overloaded.
func (s *Search) wouldRefuse(m partitioner.Member) bool {
	return slices.Contains(s.refusedBy, m.VM().Name()) || s.terms.refuses(m.VM().Name())
}

// dropRefused takes the shares of VMs that would refuse them, before they are sent.
func (s *Search) dropRefused() {
	for k := range s.shares {
		sh := &s.shares[k]
		if !s.wouldRefuse(sh.member) {
			continue
		}
		sh.ended = true
		for _, i := range sh.parts {
			s.parts[i].shareIndex = noShare
		}
	}
}

// ShareRefused handles a VM that has refused a share because it is overloaded. It has made no
// calls, and it is not suspected to have failed. Other VMs get the parts only if this one reaches no
// leaf.
func (s *Search) ShareRefused(now tier.Millis, shareIndex int) []Action {
	sh := &s.shares[shareIndex]
	if s.done || sh.ended {
		return nil
	}
	s.refusedBy = append(s.refusedBy, sh.member.VM().Name())
	return s.finishIfDone(now, s.takePending(s.takeBack(now, shareIndex, false, false, nil)))
}

// ShareFailed handles a VM that could not be reached or whose stream of reports
// broke off.
func (s *Search) ShareFailed(now tier.Millis, shareIndex int) []Action {
	if s.done || s.shares[shareIndex].ended {
		return nil
	}
	return s.finishIfDone(now, s.takePending(s.reclaim(now, shareIndex, partitioner.ShareFailed, nil)))
}

// respite gives the VMs whose shares are due, and the leafs whose calls are due for a hedge, more time
// if this VM itself is late: what they have sent may not have been read yet. Each share and part gets
// it once.
func (s *Search) respite(now, late tier.Millis) {
	if late < minOwnLateness {
		return
	}
	until := now + min(late, maxRespite)
	for k := range s.shares {
		sh := &s.shares[k]
		due := now >= sh.acceptDeadline || !sh.reported && now >= sh.reportDeadline
		if sh.ended || sh.hadRespite || !due {
			continue
		}
		sh.hadRespite = true
		if sh.acceptDeadline != never {
			sh.acceptDeadline = max(sh.acceptDeadline, until)
		}
		sh.reportDeadline = max(sh.reportDeadline, until+reportGrace)
	}
	for i := range s.parts {
		if p := &s.parts[i]; now >= p.hedgeAt && !p.hadRespite {
			p.hadRespite, p.hedgeAt = true, until
		}
	}
}

// tickShare takes back a share that its VM has not accepted or reported on in time.
func (s *Search) tickShare(now tier.Millis, shareIndex int, actions []Action) []Action {
	sh := &s.shares[shareIndex]
	notAccepted := now >= sh.acceptDeadline
	notReported := !sh.reported && now >= sh.reportDeadline
	if sh.ended || !notAccepted && !notReported {
		return actions
	}
	if !s.terms.idempotent {
		sh.acceptDeadline, sh.reportDeadline = never, never // it may run there at any time
		return actions
	}
	if notAccepted && !notReported && !s.canRepeat(now, sh) {
		sh.acceptDeadline = now + retryDelay
		return actions
	}
	actions = append(actions, Recall{Share: shareIndex, Member: sh.member, TimedOut: true, Accepted: sh.acceptDeadline == never})
	suspected := s.scheduler.partitioner.TimedOut(now, sh.member.VM().Name(), now-sh.sentAt)
	return s.takeBack(now, shareIndex, true, suspected, actions)
}

// canRepeat reports whether the budget allows to repeat the calls of most of a share's missing
// parts. If not, the VM that has the share is the best chance to get them.
func (s *Search) canRepeat(now tier.Millis, sh *share) bool {
	missing, allowed := 0, 0
	for _, i := range sh.parts {
		p := &s.parts[i]
		if p.arrived || p.lost {
			continue
		}
		missing++
		if s.scheduler.budgeter.Tokens(now, p.service) >= 1 {
			allowed++
		}
	}
	return 2*allowed >= missing
}

// minRedelegatedParts is the least number of parts that are worth another VM's time.
const minRedelegatedParts = 4

// reclaim takes back a share from a VM that has failed, or takes none.
func (s *Search) reclaim(now tier.Millis, shareIndex int, cause partitioner.Cause, actions []Action) []Action {
	s.scheduler.partitioner.Failed(now, s.shares[shareIndex].member.VM().Name(), cause)
	return s.takeBack(now, shareIndex, cause != partitioner.ShareDeclined, true, actions)
}

// takeBack takes back the missing parts of a share. If others may have them, they go to other
// VMs, unless they are few or were taken back before. This VM queries the rest itself. If the
// VM may have made calls, these calls count as extra ones.
func (s *Search) takeBack(now tier.Millis, shareIndex int, mayHaveCalled, handOn bool, actions []Action) []Action {
	sh := &s.shares[shareIndex]
	sh.ended = true
	s.mayHaveRun = s.mayHaveRun || mayHaveCalled
	repeated := sh.repeated || mayHaveCalled
	var left []int
	for _, i := range sh.parts {
		p := &s.parts[i]
		if p.arrived || p.lost {
			continue
		}
		if mayHaveCalled && !s.terms.idempotent {
			s.markLost(p, "")
			continue
		}
		p.shareIndex, p.nextIsExtra, p.mayHaveRun = noShare, repeated, p.mayHaveRun || mayHaveCalled
		if mayHaveCalled {
			// Calls of that VM count against the attempts: those that a cut has held up arrive
			// when it ends.
			p.ranCalls = min(p.ranCalls+1, s.terms.maxAttempts-1)
		}
		left = append(left, i)
	}
	if s.scheduler.balancer.LinksLost() {
		return s.handOver(now, left, actions)
	}
	if !handOn || sh.second || len(left) < minRedelegatedParts || now >= s.terms.target {
		for _, i := range left {
			actions = s.send(now, i, actions)
		}
		return actions
	}
	attempts := s.terms.maxAttempts
	if mayHaveCalled {
		attempts = max(1, attempts-1)
	}
	return s.redelegate(now, left, attempts, actions)
}

// otherVM picks a VM that is not suspected and has not refused the request.
func (s *Search) otherVM() (partitioner.Member, bool) {
	list := s.scheduler.partitioner.HealthyPeers()
	list = slices.DeleteFunc(list, func(m partitioner.Member) bool {
		return s.wouldRefuse(m) || !s.scheduler.mayDelegate(m, s.terms.regions)
	})
	if len(list) == 0 {
		return partitioner.Member{}, false
	}
	return list[int(s.scheduler.random()*float64(len(list)))%len(list)], true
}

// loseParts marks some of the parts as lost.
func (s *Search) loseParts(parts, indexes []int, reason string) {
	for _, index := range indexes {
		s.markLost(&s.parts[parts[index]], reason)
	}
}

// redelegate gives parts to other VMs, which may make a number of attempts at each. This VM
// queries those that are its own, or loses them if it has lost its links.
func (s *Search) redelegate(now tier.Millis, parts []int, attempts int, actions []Action) []Action {
	services := make([]string, len(parts))
	for k, i := range parts {
		services[k] = s.parts[i].service
	}
	for _, division := range s.scheduler.Divide(s.terms.class, services, s.terms.regions) {
		member, other := division.Member(), !division.Self()
		if other && s.wouldRefuse(member) {
			if member, other = s.otherVM(); !other {
				s.loseParts(parts, division.Parts(), vmsOverloadedReason)
				continue
			}
		}
		other = other && s.scheduler.mayDelegate(member, s.terms.regions)
		sh := share{member: member, second: true, repeated: s.terms.repeated, attempts: attempts}
		for _, index := range division.Parts() {
			i := parts[index]
			p := &s.parts[i]
			switch {
			case other:
				p.shareIndex = len(s.shares)
				sh.parts = append(sh.parts, i)
				sh.repeated = sh.repeated || p.mayHaveRun
			case s.scheduler.balancer.LinksLost():
				s.markLost(p, linksLostReason)
			default:
				actions = s.send(now, i, actions)
			}
		}
		if other {
			s.shares = append(s.shares, sh)
			actions = s.delegate(now, len(s.shares)-1, actions)
		}
	}
	return actions
}
