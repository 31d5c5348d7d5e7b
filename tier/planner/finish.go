package planner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// finishIfDone ends the plan once no open part can improve the answer, or when the
// time is up.
func (p *Plan) finishIfDone(now tier.Millis) []Action {
	best := p.bestMerge()
	p.waitingForView = false
	if best != nil && now < p.finishBy() && p.canImprove(best) {
		return nil
	}
	if best != nil && now < p.finishBy() && p.shouldWaitForView(now, best) {
		p.waitingForView, p.nextPollAt = true, now+viewPollInterval
		return nil
	}
	if now < p.finishBy() {
		p.markOpenCancelled()
	}
	return p.finish(p.finalOutcome(now, best))
}

// shouldWaitForView reports whether a search that can't be answered yet should wait
// for the view: its snapshot is no longer served, and the view may soon show one that
// is.
func (p *Plan) shouldWaitForView(now tier.Millis, best *merger.Merge) bool {
	if p.rerunsLeft == 0 || !p.shardsLost || best.Fraction() >= p.profile.MinCoverage() {
		return false
	}
	return now < p.shardsLostAt+p.capReserve(p.viewWait) && now < p.partDeadline(p.localDataCentre)
}

// markOpenCancelled notes that the plan did not wait for the open parts.
func (p *Plan) markOpenCancelled() {
	for _, pt := range p.openParts {
		for _, id := range pt.shards {
			pt.round.merge.RecordMiss(id, tier.MissCancelled)
		}
	}
}

// canImprove reports whether open parts can lead to a better answer, or to an answer
// at all.
func (p *Plan) canImprove(best *merger.Merge) bool {
	if best.Complete() {
		return false
	}
	for _, r := range p.rounds {
		if r.openShards > 0 && r.potential() > best.Fraction() && r.potential() >= p.profile.MinCoverage() {
			return true
		}
	}
	return false
}

func (p *Plan) finalOutcome(now tier.Millis, best *merger.Merge) tier.Outcome {
	if best == nil {
		return p.refusedOutcome(now)
	}
	if best.Covered() > 0 && best.Fraction() >= p.profile.MinCoverage() {
		return best.Answer()
	}
	if !p.mayHaveRun && len(p.openParts) == 0 {
		return p.refusedOutcome(now)
	}
	reason := tier.UnknownLowCoverage
	if len(p.openParts) > 0 && now >= p.finishBy() {
		reason = tier.UnknownDeadline
	}
	return tier.NewUnknownPartial(reason, best.Snapshot(), best.Coverage())
}

// refusedOutcome returns the refusal when no part made a leaf call.
func (p *Plan) refusedOutcome(now tier.Millis) tier.Outcome {
	switch {
	case p.refusal != nil:
		return p.refusal
	case now >= p.finishBy():
		return tier.NewRefused(tier.RefuseDeadline, 0)
	case p.anyUnreachable():
		return tier.NewRefused(tier.RefuseUnreachable, 0)
	}
	return tier.NewRefused(tier.RefuseNoReplica, 0)
}

// anyUnreachable reports whether a data centre of the set can't be reached.
func (p *Plan) anyUnreachable() bool {
	for _, d := range p.maps[0].DataCentres() {
		if !p.view.Reachable(d) {
			return true
		}
	}
	return false
}

func (p *Plan) handleCallerGone() []Action {
	if p.mayHaveRun || len(p.openParts) > 0 {
		return p.finish(tier.NewUnknown(tier.UnknownCallerGone))
	}
	return p.finish(tier.NewRefused(tier.RefuseCallerGone, 0))
}

func (p *Plan) finish(o tier.Outcome) []Action {
	var out []Action
	for n := uint64(1); n <= p.lastPart; n++ {
		if _, ok := p.openParts[n]; ok {
			out = append(out, &CancelPart{part: n})
		}
	}
	p.done = true
	return append(out, &Finish{outcome: o})
}
