package planner

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// Counters count the replies, reruns and leaf calls of a plan.
type Counters struct {
	dropped   int
	rejected  int
	reruns    int
	leafCalls int
}

// Dropped is the number of replies and results that the plan had not asked for or no
// longer waited for: of another part, snapshot or shard.
func (c Counters) Dropped() int { return c.dropped }

// Rejected is the number of results that were truncated or corrupted.
func (c Counters) Rejected() int { return c.rejected }

// Reruns is the number of times that the search was repeated at another snapshot.
func (c Counters) Reruns() int { return c.reruns }

// LeafCalls is the number of leaf calls that the owners reported.
func (c Counters) LeafCalls() int { return c.leafCalls }

// Counters returns the counts so far.
func (p *Plan) Counters() Counters { return p.counters }

func (p *Plan) countLate(e Event) {
	switch e.(type) {
	case *PartReplied, *PartRefused, *PartFailed:
		p.counters.dropped++
	}
}

func (p *Plan) handleReply(now tier.Millis, e *PartReplied) []Action {
	pt, ok := p.openParts[e.part]
	if !ok {
		p.counters.dropped++
		return nil
	}
	p.counters.leafCalls += e.leafCalls
	p.mayHaveRun = p.mayHaveRun || e.leafCalls > 0
	for _, held := range e.held {
		p.reportedHeld[replicaSite{pt.dataCentre, held.shard}] = held
	}
	if e.snapshot != pt.round.snapshot {
		p.counters.dropped++
		p.mayHaveRun = true
		return p.failPart(now, pt, tier.MissWrongSnapshot, true)
	}
	missed := p.mergeResults(pt, e)
	return p.closePart(now, pt, missed, e.leafCalls > 0)
}

// mergeResults merges the results of a reply, and returns for each shard that is still
// missing the reason.
func (p *Plan) mergeResults(pt *part, e *PartReplied) map[string]tier.MissReason {
	missed := make(map[string]tier.MissReason, len(pt.shards))
	for _, id := range pt.shards {
		missed[id] = tier.MissBadReply
	}
	seen := make(map[string]bool, len(pt.shards))
	for _, r := range e.results {
		_, asked := missed[r.Shard()]
		if !asked || seen[r.Shard()] {
			p.counters.dropped++
			continue
		}
		seen[r.Shard()] = true
		if r.Miss() != "" {
			missed[r.Shard()] = r.Miss()
			p.recordMiss(pt, r)
			continue
		}
		if err := pt.round.merge.Add(e.snapshot, r); err != nil {
			p.countRejected(err)
			continue
		}
		p.mayHaveRun = true
		delete(missed, r.Shard())
	}
	return missed
}

// recordMiss notes that a data centre does not serve a shard at the pinned snapshot,
// whatever versions it reports, or that servers refused.
func (p *Plan) recordMiss(pt *part, r merger.ShardResult) {
	switch r.Miss() {
	case tier.MissWrongSnapshot:
		p.notServed[siteSnapshot{replicaSite{pt.dataCentre, r.Shard()}, pt.round.snapshot}] = true
	case tier.MissRefused:
		p.recordRefusal(tier.NewRefused(tier.RefuseByServer, 0))
	}
}

// recordRefusal keeps the first refusal, but replaces one that only says that a data
// centre can't be reached.
func (p *Plan) recordRefusal(r *tier.Refused) {
	if p.refusal == nil || p.refusal.Reason() == tier.RefuseUnreachable {
		p.refusal = r
	}
}

func (p *Plan) countRejected(err error) {
	var s *merger.ShardError
	if errors.As(err, &s) {
		p.counters.dropped++
		return
	}
	p.counters.rejected++
	p.mayHaveRun = true
}

func (p *Plan) handleRefusal(now tier.Millis, e *PartRefused) []Action {
	pt, ok := p.openParts[e.part]
	if !ok {
		p.counters.dropped++
		return nil
	}
	p.recordRefusal(tier.NewRefused(e.reason, e.retryAfter))
	return p.failPart(now, pt, missReasonFor(e.reason), false)
}

func (p *Plan) handleFailure(now tier.Millis, e *PartFailed) []Action {
	pt, ok := p.openParts[e.part]
	if !ok {
		p.counters.dropped++
		return nil
	}
	p.mayHaveRun = true
	return p.failPart(now, pt, e.reason, true)
}

// failPart closes a part that returned nothing.
func (p *Plan) failPart(now tier.Millis, pt *part, reason tier.MissReason, costly bool) []Action {
	missed := make(map[string]tier.MissReason, len(pt.shards))
	for _, id := range pt.shards {
		missed[id] = reason
		if reason == tier.MissWrongSnapshot {
			p.notServed[siteSnapshot{replicaSite{pt.dataCentre, id}, pt.round.snapshot}] = true
		}
	}
	return p.closePart(now, pt, missed, costly)
}

func missReasonFor(r tier.RefuseReason) tier.MissReason {
	switch r {
	case tier.RefuseDeadline:
		return tier.MissDeadline
	case tier.RefuseNoReplica:
		return tier.MissNoReplica
	case tier.RefuseUnreachable, tier.RefuseNoOwner:
		return tier.MissUnreachable
	}
	return tier.MissRefused
}
