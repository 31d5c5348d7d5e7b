package planner

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// Counters count what a plan met.
type Counters struct {
	dropped   int
	rejected  int
	reruns    int
	leafCalls int
}

// Dropped is how many replies and results came for a part, snapshot or shard
// that did not wait for them.
func (c Counters) Dropped() int { return c.dropped }

// Rejected is how many results were cut short or corrupted.
func (c Counters) Rejected() int { return c.rejected }

// Reruns is how often the search was run again under another snapshot.
func (c Counters) Reruns() int { return c.reruns }

// LeafCalls is how many leaf calls the owners reported.
func (c Counters) LeafCalls() int { return c.leafCalls }

// Counters returns the counts so far.
func (p *Plan) Counters() Counters { return p.counters }

func (p *Plan) countLate(e Event) {
	switch e.(type) {
	case *PartReplied, *PartRefused, *PartFailed:
		p.counters.dropped++
	}
}

func (p *Plan) replied(now tier.Millis, e *PartReplied) []Action {
	t, ok := p.parts[e.part]
	if !ok {
		p.counters.dropped++
		return nil
	}
	p.counters.leafCalls += e.leafCalls
	p.ran = p.ran || e.leafCalls > 0
	for _, h := range e.held {
		p.fresh[place{t.dataCentre, h.shard}] = h
	}
	if e.snapshot != t.round.snapshot {
		p.counters.dropped++
		p.ran = true
		return p.lose(now, t, tier.MissWrongSnapshot, true)
	}
	missed := p.merge(t, e)
	return p.settle(now, t, missed, e.leafCalls > 0)
}

// merge takes what a reply brings and returns why the rest is missing.
func (p *Plan) merge(t *part, e *PartReplied) map[string]tier.MissReason {
	missed := make(map[string]tier.MissReason, len(t.shards))
	for _, id := range t.shards {
		missed[id] = tier.MissBadReply
	}
	seen := make(map[string]bool, len(t.shards))
	for _, r := range e.results {
		_, asked := missed[r.Shard()]
		if !asked || seen[r.Shard()] {
			p.counters.dropped++
			continue
		}
		seen[r.Shard()] = true
		if r.Miss() != "" {
			missed[r.Shard()] = r.Miss()
			p.noteMiss(t, r)
			continue
		}
		if err := t.round.merge.Add(e.snapshot, r); err != nil {
			p.countRejected(err)
			continue
		}
		p.ran = true
		delete(missed, r.Shard())
	}
	return missed
}

// noteMiss remembers that a data centre does not serve a shard at the pinned
// snapshot, whatever it says that it holds, and that servers refused.
func (p *Plan) noteMiss(t *part, r merger.ShardResult) {
	switch r.Miss() {
	case tier.MissWrongSnapshot:
		p.gone[servedAt{place{t.dataCentre, r.Shard()}, t.round.snapshot}] = true
	case tier.MissRefused:
		p.noteRefusal(tier.NewRefused(tier.RefuseByServer, 0))
	}
}

// noteRefusal keeps the first refusal, but prefers any to one that says only
// that a data centre can't be reached.
func (p *Plan) noteRefusal(r *tier.Refused) {
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
	p.ran = true
}

func (p *Plan) refused(now tier.Millis, e *PartRefused) []Action {
	t, ok := p.parts[e.part]
	if !ok {
		p.counters.dropped++
		return nil
	}
	p.noteRefusal(tier.NewRefused(e.reason, e.retryAfter))
	return p.lose(now, t, missOf(e.reason), false)
}

func (p *Plan) failed(now tier.Millis, e *PartFailed) []Action {
	t, ok := p.parts[e.part]
	if !ok {
		p.counters.dropped++
		return nil
	}
	p.ran = true
	return p.lose(now, t, e.reason, true)
}

// lose settles a part that brought nothing.
func (p *Plan) lose(now tier.Millis, t *part, reason tier.MissReason, costly bool) []Action {
	missed := make(map[string]tier.MissReason, len(t.shards))
	for _, id := range t.shards {
		missed[id] = reason
		if reason == tier.MissWrongSnapshot {
			p.gone[servedAt{place{t.dataCentre, id}, t.round.snapshot}] = true
		}
	}
	return p.settle(now, t, missed, costly)
}

func missOf(r tier.RefuseReason) tier.MissReason {
	switch r {
	case tier.RefuseDeadline:
		return tier.MissDeadline
	case tier.RefuseNoReplica:
		return tier.MissNoReplica
	case tier.RefuseUnreachable, tier.RefuseNoOwner:
		return tier.MissCutOff
	}
	return tier.MissRefused
}
