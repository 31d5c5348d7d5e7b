package planner

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// round is one run of the search at one pinned snapshot.
type round struct {
	set        *tier.ShardSet
	snapshot   tier.Snapshot
	merge      *merger.Merge
	tried      map[replicaSite]bool
	lost       map[string]tier.MissReason // shards that can't be served in this round
	openShards int                        // shards that open parts may still return
}

func newRound(c candidate) *round {
	return &round{
		set:      c.set,
		snapshot: c.snapshot(),
		merge:    merger.New(c.set, c.version),
		tried:    map[replicaSite]bool{},
		lost:     map[string]tier.MissReason{},
	}
}

// potential is the coverage that the round can still reach.
func (r *round) potential() float64 { return r.fraction(r.merge.Covered() + r.openShards) }

func (r *round) fraction(shards int) float64 {
	return float64(shards) / float64(len(r.set.Shards()))
}

func (r *round) markMissing(shard string, reason tier.MissReason) {
	r.lost[shard] = reason
	r.merge.RecordMiss(shard, reason)
}

// part is a group of shards requested from one data centre.
type part struct {
	number     uint64
	round      *round
	dataCentre string
	shards     []string
}

// groupByDataCentre assigns each shard to a data centre and returns one part for each.
// A shard that no data centre can serve is marked as missing, with the reason of its
// last attempt if reasons has one.
func (p *Plan) groupByDataCentre(now tier.Millis, r *round, reasons map[string]tier.MissReason, shards []tier.Shard) []*part {
	var parts []*part
	byDataCentre := map[string]*part{}
	for _, shard := range shards {
		d, reason := p.pickDataCentre(now, r, shard)
		if reason != "" {
			if earlier, ok := reasons[shard.ID()]; ok {
				reason = earlier
			}
			r.markMissing(shard.ID(), reason)
			continue
		}
		r.tried[replicaSite{d, shard.ID()}] = true
		r.openShards++
		pt, ok := byDataCentre[d]
		if !ok {
			pt = &part{round: r, dataCentre: d}
			byDataCentre[d] = pt
			parts = append(parts, pt)
		}
		pt.shards = append(pt.shards, shard.ID())
	}
	return parts
}

// pickDataCentre returns the data centre to ask for a shard, or the reason why there
// is none.
func (p *Plan) pickDataCentre(now tier.Millis, r *round, shard tier.Shard) (string, tier.MissReason) {
	reason := tier.MissNoReplica
	for _, d := range p.dataCentres(r.set, shard) {
		if !p.view.Reachable(d) {
			reason = tier.MissUnreachable
			continue
		}
		if r.tried[replicaSite{d, shard.ID()}] {
			continue
		}
		held := p.servableVersions(r.set, d, shard.ID())
		if !slices.Contains(held, r.snapshot.Version()) {
			if reason == tier.MissNoReplica && p.holdsAny(r.set, d, shard.ID()) {
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
	_, held := p.heldVersions(set, replicaSite{dataCentre, shard})
	return len(held) > 0
}

// sendParts numbers the parts and returns the actions that send them.
func (p *Plan) sendParts(parts []*part) []Action {
	var out []Action
	for _, pt := range parts {
		p.lastPart++
		pt.number = p.lastPart
		p.openParts[pt.number] = pt
		out = append(out, &SendPart{
			part:       pt.number,
			dataCentre: pt.dataCentre,
			shards:     pt.shards,
			snapshot:   pt.round.snapshot,
			deadline:   p.partDeadline(pt.dataCentre),
		})
	}
	return out
}

// partDeadline leaves time for the reply to return, which takes longer from a remote
// data centre.
func (p *Plan) partDeadline(dataCentre string) tier.Millis {
	reserve := p.remoteReserve
	if dataCentre == p.localDataCentre {
		reserve = p.localReserve
	}
	return p.deadline - p.capReserve(reserve)
}

// capReserve limits a reserve to a quarter of the search's whole time.
func (p *Plan) capReserve(m tier.Millis) tier.Millis { return min(m, (p.deadline-p.startedAt)/4) }

// closePart closes a part and retries its missing shards in other data centres. Costly
// says that the part may have made leaf calls, so that a retry is extra load.
func (p *Plan) closePart(now tier.Millis, pt *part, missed map[string]tier.MissReason, costly bool) []Action {
	delete(p.openParts, pt.number)
	r := pt.round
	r.openShards -= len(pt.shards)
	retryable := p.retryableShards(now, r, missed)
	if !p.worthRetrying(r, len(retryable), costly) {
		retryable = nil
	}
	for id, reason := range missed {
		r.markMissing(id, reason)
	}
	for _, shard := range retryable {
		delete(r.lost, shard.ID())
	}
	return p.sendParts(p.groupByDataCentre(now, r, missed, retryable))
}

// retryableShards lists the missing shards that another data centre can be asked for.
// Only the newest round retries.
func (p *Plan) retryableShards(now tier.Millis, r *round, missed map[string]tier.MissReason) []tier.Shard {
	if r != p.currentRound || len(missed) == 0 {
		return nil
	}
	var out []tier.Shard
	for _, shard := range r.set.Shards() {
		if _, ok := missed[shard.ID()]; !ok {
			continue
		}
		if _, reason := p.pickDataCentre(now, r, shard); reason == "" {
			out = append(out, shard)
		}
	}
	return out
}

// worthRetrying reports whether the shards could lift the round to the profile's
// minimum coverage, and whether the budget allows the retry.
func (p *Plan) worthRetrying(r *round, shards int, costly bool) bool {
	if shards == 0 || r.fraction(r.merge.Covered()+r.openShards+shards) < p.profile.MinCoverage() {
		return false
	}
	return !costly || p.budget.spend(shards)
}
