package planner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// conclude ends the plan once nothing more can be gained or the time is up.
func (p *Plan) conclude(now tier.Millis) []Action {
	best := p.best()
	p.waiting = false
	if best != nil && now < p.end() && p.canGain(best) {
		return nil
	}
	if best != nil && now < p.end() && p.mayImprove(now, best) {
		p.waiting, p.pollAt = true, now+viewPoll
		return nil
	}
	if now < p.end() {
		p.giveUpOpen()
	}
	return p.finish(p.outcome(now, best))
}

// mayImprove reports whether a search that can't be answered should wait for
// the view: its snapshot went, and what goes on is not yet known here.
func (p *Plan) mayImprove(now tier.Millis, best *merger.Merge) bool {
	if p.reruns == 0 || !p.lost || best.Fraction() >= p.profile.MinCoverage() {
		return false
	}
	return now < p.lostAt+p.capped(p.patience) && now < p.partDeadline(p.home)
}

// giveUpOpen notes that the open parts were not waited for.
func (p *Plan) giveUpOpen() {
	for _, t := range p.parts {
		for _, id := range t.shards {
			t.round.merge.RecordMiss(id, tier.MissCancelled)
		}
	}
}

// canGain reports whether open parts can bring a better answer, or one at
// all.
func (p *Plan) canGain(best *merger.Merge) bool {
	if best.Complete() {
		return false
	}
	for _, r := range p.rounds {
		if r.open > 0 && r.potential() > best.Fraction() && r.potential() >= p.profile.MinCoverage() {
			return true
		}
	}
	return false
}

func (p *Plan) outcome(now tier.Millis, best *merger.Merge) tier.Outcome {
	if best == nil {
		return p.neverRun(now)
	}
	if best.Covered() > 0 && best.Fraction() >= p.profile.MinCoverage() {
		return best.Answer()
	}
	if !p.ran && len(p.parts) == 0 {
		return p.neverRun(now)
	}
	reason := tier.UnknownLowCoverage
	if len(p.parts) > 0 && now >= p.end() {
		reason = tier.UnknownDeadline
	}
	return tier.NewUnknownPartial(reason, best.Snapshot(), best.Coverage())
}

// neverRun is the refusal when no part made a leaf call.
func (p *Plan) neverRun(now tier.Millis) tier.Outcome {
	switch {
	case p.refusal != nil:
		return p.refusal
	case now >= p.end():
		return tier.NewRefused(tier.RefuseDeadline, 0)
	case p.cutOff():
		return tier.NewRefused(tier.RefuseUnreachable, 0)
	}
	return tier.NewRefused(tier.RefuseNoReplica, 0)
}

// cutOff reports whether a data centre of the set can't be reached.
func (p *Plan) cutOff() bool {
	for _, d := range p.maps[0].DataCentres() {
		if !p.view.Reachable(d) {
			return true
		}
	}
	return false
}

func (p *Plan) callerGone() []Action {
	if p.ran || len(p.parts) > 0 {
		return p.finish(tier.NewUnknown(tier.UnknownCallerGone))
	}
	return p.finish(tier.NewRefused(tier.RefuseCallerGone, 0))
}

func (p *Plan) finish(o tier.Outcome) []Action {
	var out []Action
	for n := uint64(1); n <= p.lastPart; n++ {
		if _, ok := p.parts[n]; ok {
			out = append(out, &CancelPart{part: n})
		}
	}
	p.done = true
	return append(out, &Finish{outcome: o})
}
