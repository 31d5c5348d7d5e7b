package searcher

import (
	"cmp"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// finishIfDone ends the search once its result no longer depends on outstanding
// calls, or its time is up.
func (s *Search) finishIfDone(now tier.Millis, actions []Action) []Action {
	if s.done {
		return actions
	}
	actions = s.review(now, actions)
	total := len(s.parts)
	if s.terms.flushes {
		return s.flushOrFinish(now, actions)
	}
	switch {
	case s.arrived == total:
		return s.finish(now, Complete, actions)
	case s.arrived+s.lost == total && s.arrived >= s.terms.minimumParts:
		return s.finish(now, AtTarget, actions)
	case total-s.lost < s.terms.minimumParts:
		return s.finish(now, s.failureCause(), actions)
	case now >= s.terms.target && s.arrived >= s.terms.minimumParts:
		cause := AtTarget
		if now > s.terms.target+pastTargetTolerance {
			cause = PastTarget
		}
		return s.finish(now, cause, actions)
	case now >= s.terms.deadline:
		return s.finish(now, OutOfTime, actions)
	}
	return actions
}

// flushOrFinish is the form of finishIfDone for a search on behalf of another VM:
// that VM decides whether the parts suffice.
func (s *Search) flushOrFinish(now tier.Millis, actions []Action) []Action {
	ended := s.arrived+s.lost == len(s.parts) || now >= s.terms.deadline
	if now < s.terms.target && !ended {
		return actions
	}
	var flush Flush
	for i := range s.parts {
		p := &s.parts[i]
		if !p.arrived || p.flushed {
			continue
		}
		p.flushed = true
		flush.Arrived = append(flush.Arrived, i)
		if p.reply != nil {
			flush.Parts = append(flush.Parts, Part{index: i, reply: p.reply})
		}
	}
	for k := range s.shares {
		flush.Shares = append(flush.Shares, s.shares[k].replies...)
		s.shares[k].replies = nil
	}
	if len(flush.Arrived) > 0 || !s.targetFlushed {
		actions = append(actions, flush)
	}
	s.targetFlushed = true
	if !ended {
		return actions
	}
	cause := Complete
	switch {
	case s.arrived < len(s.parts) && s.terms.forwardFailures && s.parts[0].failureReply != nil:
		cause = LeafFailure
	case s.arrived < len(s.parts):
		cause = PartsLost
	}
	return s.finish(now, cause, actions)
}

// pastTargetTolerance is how late an answer may be and still count as sent at the
// target.
const pastTargetTolerance = 5 * tier.Millisecond

// failureCause explains why the minimum of parts cannot be reached.
func (s *Search) failureCause() Cause {
	switch {
	case s.terms.forwardFailures && s.parts[0].failureReply != nil:
		return LeafFailure
	case len(s.calls) == 0 && !s.mayHaveRun && s.parts[0].lossReason == quarantinedReason:
		return Quarantined
	case len(s.calls) == 0 && !s.mayHaveRun && s.parts[0].lossReason == queueReason:
		return QueueTooLong
	case len(s.calls) == 0 && !s.mayHaveRun && s.parts[0].lossReason == restReason:
		return LeafsResting
	case len(s.calls) == 0 && !s.mayHaveRun && s.retryAfter > 0:
		return LeafsLimited
	case len(s.calls) == 0 && !s.mayHaveRun && s.parts[0].lossReason == linksLostReason:
		return LinksLost
	case len(s.calls) == 0 && !s.mayHaveRun && s.parts[0].lossReason == vmsOverloadedReason:
		return VMsOverloaded
	case len(s.calls) == 0 && !s.mayHaveRun && s.lostForRegions():
		return NoLeafInRegions
	case len(s.calls) == 0 && !s.mayHaveRun:
		return NoLeaf
	case !s.mayHaveRun:
		return LeafsRefused
	case !s.terms.idempotent:
		return OutcomeUnknown
	}
	return PartsLost
}

func (s *Search) finish(now tier.Millis, cause Cause, actions []Action) []Action {
	s.done = true
	s.endFairShare()
	delete(s.scheduler.active, s)
	// A leaf may be working on a call that has not ended.
	for i := range s.calls {
		if !s.calls[i].ended {
			s.mayHaveRun = true
		}
	}
	misses := s.misses(now)
	if !s.terms.flushes && len(s.parts) > 1 && cause != CallerLeft && !s.unplaced {
		s.recordArrivals(now)
	}
	actions = s.cancelAll(now, actions)
	s.pending = nil
	o := Outcome{
		cause: cause, mayHaveRun: s.mayHaveRun, missing: len(s.parts) - s.arrived, misses: misses,
		retryAfter: s.retryAfter, unplaced: s.unplaced, permanent: cause == NoLeafInRegions && !s.scheduler.knowsAny(s.terms.regions),
		callsSent: len(s.calls) + s.delegatedCalls, extraCalls: s.extraCalls + s.delegatedExtraCalls,
	}
	for k := range s.shares {
		o.shares = append(o.shares, s.shares[k].replies...)
	}
	if s.arrived == 0 && !s.leafReported {
		o.ended, o.endedElsewhere = s.endedLeafs(), s.endedElsewhere
	}
	if cause == LeafFailure {
		o.failure = s.parts[0].failureReply
	}
	o.parts = make([]Part, 0, s.arrived)
	for i := range s.parts {
		p := &s.parts[i]
		if p.arrived && p.reply != nil {
			o.parts = append(o.parts, Part{index: i, reply: p.reply})
		}
		if p.lost && p.isUncalled() {
			o.uncalled = append(o.uncalled, i)
		}
		if p.lost && p.lossReason == endedUnderRequest {
			o.broken = append(o.broken, i)
		}
	}
	return append(actions, Finish{Outcome: o})
}

// isUncalled reports whether a lost part has reached no leaf, because this VM knew none that it may call or
// reached none. The VM that has delegated it may call one.
func (p *part) isUncalled() bool {
	switch p.lossReason {
	case coldReason, restReason:
		return len(p.tried) == 0
	case linksLostReason, vmsOverloadedReason:
		return !p.mayHaveRun
	}
	return isNoLeafReason(p.lossReason) && len(p.tried) == 0
}

// endedLeafs lists the leafs that have ended the connection of a call, each once.
func (s *Search) endedLeafs() []lister.Leaf {
	var list []lister.Leaf
	for i := range s.calls {
		leaf := s.calls[i].leaf
		if s.calls[i].broken && !slices.ContainsFunc(list, func(other lister.Leaf) bool { return other.ID() == leaf.ID() }) {
			list = append(list, leaf)
		}
	}
	return list
}

// maxMisses bounds the misses of an outcome, which are written in one log line.
const maxMisses = 6

// misses explains the missing parts, up to maxMisses of them.
func (s *Search) misses(now tier.Millis) []Miss {
	var list []Miss
	for i := range s.parts {
		p := &s.parts[i]
		if p.arrived || p.lossReason == notSentReason {
			continue
		}
		if len(list) == maxMisses {
			break
		}
		m := Miss{service: p.service, reason: p.lossReason}
		switch {
		case p.lossReason != "":
		case p.shareIndex != noShare:
			m.reason = "asked-by-" + s.shares[p.shareIndex].member.VM().Name()
		case p.queued:
			m.reason = "waits-for-room"
		case p.nextIsExtra && !p.lost:
			m.reason = "no-budget"
		}
		for k := range s.calls {
			if c := &s.calls[k]; c.part == i {
				m.leaf, m.waited = c.leaf.ID(), now-c.sentAt
				m.reason = cmp.Or(c.reason, m.reason)
				if !c.ended {
					m.reason = "slow"
				}
			}
		}
		if m.reason == "slow" && p.hedgeDenied != "" {
			m.reason += "/" + p.hedgeDenied
		}
		list = append(list, m)
	}
	return list
}

// failureReason is the log text for a call without a usable reply.
func failureReason(r Result) string {
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

// recordArrivals tells the forecaster which parts arrived by the target.
func (s *Search) recordArrivals(now tier.Millis) {
	f := s.scheduler.ForecasterOf(s.terms.regions)
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.arrived && !p.pastTarget:
			f.RecordArrived(now, p.service)
		case p.arrived || p.lost || now >= s.terms.target:
			f.RecordMissed(now, p.service)
		}
	}
}
