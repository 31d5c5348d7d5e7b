package planner

import (
	"slices"

	"cicadagrade.example/tier"
)

// View is the VM's present knowledge of the cluster. Its methods are called only by
// New and Step.
type View interface {
	// Set returns the shard map in force.
	Set(name string) (*tier.ShardSet, bool)
	// Versions lists the index versions of a shard that servers of a data centre hold,
	// and the epoch under which they hold them.
	Versions(set, dataCentre, shard string) (tier.Epoch, []tier.Version)
	// Reachable reports whether a data centre can be reached.
	Reachable(dataCentre string) bool
}

// EarlierView is a View that also keeps the shard map that was in force before the
// present one. A plan pins the earlier map while no server is known to hold the
// present one.
type EarlierView interface {
	View
	// Earlier returns the shard map that was in force before the present one.
	Earlier(name string) (*tier.ShardSet, bool)
}

type replicaSite struct{ dataCentre, shard string }

type siteSnapshot struct {
	replicaSite
	snapshot tier.Snapshot
}

// candidate is a snapshot that the plan may pin.
type candidate struct {
	set            *tier.ShardSet
	version        tier.Version
	covered        int
	coveredLocally int
}

func (c candidate) snapshot() tier.Snapshot { return tier.NewSnapshot(c.set.Epoch(), c.version) }

func (c candidate) fraction() float64 { return float64(c.covered) / float64(len(c.set.Shards())) }

func (c candidate) completeLocally() bool { return c.coveredLocally == len(c.set.Shards()) }

// better prefers a snapshot that the local data centre can serve completely, then the
// greater coverage, then the newer shard map and version.
func (c candidate) better(o candidate) bool {
	switch {
	case c.completeLocally() != o.completeLocally():
		return c.completeLocally()
	case !c.completeLocally() && c.fraction() != o.fraction():
		return c.fraction() > o.fraction()
	case c.set.Epoch() != o.set.Epoch():
		return c.set.Epoch() > o.set.Epoch()
	}
	return c.version > o.version
}

// chooseSnapshot returns the best snapshot that no round has pinned yet.
func (p *Plan) chooseSnapshot() (candidate, bool) {
	var best candidate
	for _, set := range p.maps {
		for _, c := range p.candidates(set) {
			if p.pinned[c.snapshot()] {
				continue
			}
			if best.set == nil || c.better(best) {
				best = c
			}
		}
	}
	return best, best.set != nil
}

// candidates counts, for each version under a map's epoch, the shards that reachable
// data centres can serve. The newest version comes first.
func (p *Plan) candidates(set *tier.ShardSet) []candidate {
	counts := map[tier.Version]*candidate{}
	for _, shard := range set.Shards() {
		seen := map[tier.Version]bool{}
		for _, d := range p.dataCentres(set, shard) {
			if !p.view.Reachable(d) {
				continue
			}
			for _, v := range p.servableVersions(set, d, shard.ID()) {
				p.countShard(counts, seen, set, d, v)
			}
		}
	}
	out := make([]candidate, 0, len(counts))
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b candidate) int { return int(b.version) - int(a.version) })
	return out
}

func (p *Plan) countShard(counts map[tier.Version]*candidate, seen map[tier.Version]bool, set *tier.ShardSet, dataCentre string, v tier.Version) {
	c, ok := counts[v]
	if !ok {
		c = &candidate{set: set, version: v}
		counts[v] = c
	}
	if seen[v] {
		return
	}
	seen[v] = true
	c.covered++
	if dataCentre == p.localDataCentre {
		c.coveredLocally++
	}
}

// servableVersions lists the versions of a shard that a data centre can serve under a
// map.
func (p *Plan) servableVersions(set *tier.ShardSet, dataCentre, shard string) []tier.Version {
	site := replicaSite{dataCentre, shard}
	epoch, held := p.heldVersions(set, site)
	if epoch != set.Epoch() {
		return nil
	}
	out := make([]tier.Version, 0, len(held))
	for _, v := range held {
		if !p.notServed[siteSnapshot{site, tier.NewSnapshot(epoch, v)}] && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

// heldVersions returns the versions of a shard that a data centre holds. A reply's
// report takes precedence over the view, unless the view shows a later epoch; versions
// of the view above those reported are added.
func (p *Plan) heldVersions(set *tier.ShardSet, site replicaSite) (tier.Epoch, []tier.Version) {
	epoch, held := p.view.Versions(set.Name(), site.dataCentre, site.shard)
	reported, ok := p.reportedHeld[site]
	switch {
	case !ok || reported.epoch < epoch:
		return epoch, held
	case reported.epoch > epoch || len(reported.versions) == 0:
		return reported.epoch, reported.versions
	}
	out := slices.Clone(reported.versions)
	for _, v := range held {
		if v > slices.Max(reported.versions) {
			out = append(out, v)
		}
	}
	return epoch, out
}

// dataCentres lists the data centres with replicas of a shard: the local one first,
// then in the order of the replicas.
func (p *Plan) dataCentres(set *tier.ShardSet, shard tier.Shard) []string {
	var out []string
	for _, r := range shard.Replicas() {
		b, ok := set.Server(r)
		if !ok || slices.Contains(out, b.DataCentre()) {
			continue
		}
		if b.DataCentre() == p.localDataCentre {
			out = slices.Insert(out, 0, p.localDataCentre)
			continue
		}
		out = append(out, b.DataCentre())
	}
	return out
}
