package planner

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// round is one run of the search under one pinned snapshot.
type round struct {
	set      *tier.ShardSet
	snapshot tier.Snapshot
	merge    *merger.Merge
	tried    map[place]bool
	lost     map[string]tier.MissReason // shards that can't be had any more
	open     int                        // shards that parts still may bring
}

func newRound(n pin) *round {
	return &round{
		set:      n.set,
		snapshot: n.snapshot(),
		merge:    merger.New(n.set, n.version),
		tried:    map[place]bool{},
		lost:     map[string]tier.MissReason{},
	}
}

// potential is the coverage that the round can still reach.
func (r *round) potential() float64 { return r.fraction(r.merge.Covered() + r.open) }

func (r *round) fraction(shards int) float64 {
	return float64(shards) / float64(len(r.set.Shards()))
}

func (r *round) miss(shard string, reason tier.MissReason) {
	r.lost[shard] = reason
	r.merge.RecordMiss(shard, reason)
}

// part is a group of shards that one data centre was asked for.
type part struct {
	number     uint64
	round      *round
	dataCentre string
	shards     []string
}

// place finds a data centre for each shard, and notes those that have none.
// Reason is why the last try failed, or empty.
func (p *Plan) place(now tier.Millis, r *round, reasons map[string]tier.MissReason, shards []tier.Shard) []*part {
	var parts []*part
	byPlace := map[string]*part{}
	for _, h := range shards {
		d, reason := p.pick(now, r, h)
		if reason != "" {
			if earlier, ok := reasons[h.ID()]; ok {
				reason = earlier
			}
			r.miss(h.ID(), reason)
			continue
		}
		r.tried[place{d, h.ID()}] = true
		r.open++
		t, ok := byPlace[d]
		if !ok {
			t = &part{round: r, dataCentre: d}
			byPlace[d] = t
			parts = append(parts, t)
		}
		t.shards = append(t.shards, h.ID())
	}
	return parts
}

// pick returns the data centre to ask for a shard, or why there is none.
func (p *Plan) pick(now tier.Millis, r *round, h tier.Shard) (string, tier.MissReason) {
	reason := tier.MissNoReplica
	for _, d := range p.dataCentres(r.set, h) {
		if !p.view.Reachable(d) {
			reason = tier.MissCutOff
			continue
		}
		if r.tried[place{d, h.ID()}] {
			continue
		}
		held := p.versions(r.set, d, h.ID())
		if !slices.Contains(held, r.snapshot.Version()) {
			if reason == tier.MissNoReplica && p.holdsAny(r.set, d, h.ID()) {
				reason = tier.MissWrongSnapshot
			}
			continue
		}
		if p.partDeadline(d) <= now {
			reason = tier.MissDeadline
			continue
		}
		return d, ""
	}
	return "", reason
}

func (p *Plan) holdsAny(set *tier.ShardSet, dataCentre, shard string) bool {
	_, held := p.held(set, place{dataCentre, shard})
	return len(held) > 0
}

// send numbers parts and asks for them.
func (p *Plan) send(parts []*part) []Action {
	var out []Action
	for _, t := range parts {
		p.lastPart++
		t.number = p.lastPart
		p.parts[t.number] = t
		out = append(out, &SendPart{
			part:       t.number,
			dataCentre: t.dataCentre,
			shards:     t.shards,
			snapshot:   t.round.snapshot,
			deadline:   p.partDeadline(t.dataCentre),
		})
	}
	return out
}

// partDeadline leaves the way back to the plan, which is longer from another
// data centre.
func (p *Plan) partDeadline(dataCentre string) tier.Millis {
	reserve := p.awayReserve
	if dataCentre == p.home {
		reserve = p.homeReserve
	}
	return p.deadline - p.capped(reserve)
}

// capped keeps a reserve below a quarter of the whole time.
func (p *Plan) capped(m tier.Millis) tier.Millis { return min(m, (p.deadline-p.begun)/4) }

// settle closes a part and tries its missing shards elsewhere. Costly says
// that the part may have made leaf calls, so that a second try is extra
// load.
func (p *Plan) settle(now tier.Millis, t *part, missed map[string]tier.MissReason, costly bool) []Action {
	delete(p.parts, t.number)
	r := t.round
	r.open -= len(t.shards)
	again := p.again(now, r, missed)
	if !p.worthTrying(r, len(again), costly) {
		again = nil
	}
	for id, reason := range missed {
		r.miss(id, reason)
	}
	for _, h := range again {
		delete(r.lost, h.ID())
	}
	return p.send(p.place(now, r, missed, again))
}

// again lists the missed shards that another data centre may be asked for.
// Only the newest round tries again.
func (p *Plan) again(now tier.Millis, r *round, missed map[string]tier.MissReason) []tier.Shard {
	if r != p.round || len(missed) == 0 {
		return nil
	}
	var out []tier.Shard
	for _, h := range r.set.Shards() {
		if _, ok := missed[h.ID()]; !ok {
			continue
		}
		if _, reason := p.pick(now, r, h); reason == "" {
			out = append(out, h)
		}
	}
	return out
}

// worthTrying reports whether more shards can lift the round to the
// profile's coverage, and whether the budget allows to ask again.
func (p *Plan) worthTrying(r *round, shards int, costly bool) bool {
	if shards == 0 || r.fraction(r.merge.Covered()+r.open+shards) < p.profile.MinCoverage() {
		return false
	}
	return !costly || p.budget.spend(shards)
}
