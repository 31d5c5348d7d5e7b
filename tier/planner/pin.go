package planner

import (
	"slices"

	"cicadagrade.example/tier"
)

// View is what the VM believes now. Its methods are called from Step only.
type View interface {
	// Set finds the shard map in force.
	Set(name string) (*tier.ShardSet, bool)
	// Versions lists the index versions of a shard that servers of a data
	// centre hold, and the epoch under which they hold it.
	Versions(set, dataCentre, shard string) (tier.Epoch, []tier.Version)
	// Reachable reports whether a data centre answers.
	Reachable(dataCentre string) bool
}

// EarlierView is a View that also keeps the shard map that was in force
// before the present one. A plan pins it while no server is known to hold the
// present one.
type EarlierView interface {
	View
	Earlier(name string) (*tier.ShardSet, bool)
}

type place struct{ dataCentre, shard string }

type servedAt struct {
	place
	snapshot tier.Snapshot
}

// pin is a snapshot that could be asked for.
type pin struct {
	set     *tier.ShardSet
	version tier.Version
	covered int
	atHome  int
}

func (n pin) snapshot() tier.Snapshot { return tier.NewSnapshot(n.set.Epoch(), n.version) }

func (n pin) fraction() float64 { return float64(n.covered) / float64(len(n.set.Shards())) }

func (n pin) wholeAtHome() bool { return n.atHome == len(n.set.Shards()) }

// better prefers what the home data centre can serve whole, then the greater
// coverage, then the newer map and version.
func (n pin) better(o pin) bool {
	switch {
	case n.wholeAtHome() != o.wholeAtHome():
		return n.wholeAtHome()
	case !n.wholeAtHome() && n.fraction() != o.fraction():
		return n.fraction() > o.fraction()
	case n.set.Epoch() != o.set.Epoch():
		return n.set.Epoch() > o.set.Epoch()
	}
	return n.version > o.version
}

// choose returns the best snapshot that no round has pinned yet.
func (p *Plan) choose() (pin, bool) {
	var best pin
	for _, set := range p.maps {
		for _, n := range p.pins(set) {
			if p.pinned[n.snapshot()] {
				continue
			}
			if best.set == nil || n.better(best) {
				best = n
			}
		}
	}
	return best, best.set != nil
}

// pins counts for each version of a map's epoch the shards that reachable
// data centres can serve. They come newest first.
func (p *Plan) pins(set *tier.ShardSet) []pin {
	counts := map[tier.Version]*pin{}
	for _, h := range set.Shards() {
		seen := map[tier.Version]bool{}
		for _, d := range p.dataCentres(set, h) {
			if !p.view.Reachable(d) {
				continue
			}
			for _, v := range p.versions(set, d, h.ID()) {
				p.count(counts, seen, set, d, v)
			}
		}
	}
	out := make([]pin, 0, len(counts))
	for _, n := range counts {
		out = append(out, *n)
	}
	slices.SortFunc(out, func(a, b pin) int { return int(b.version) - int(a.version) })
	return out
}

func (p *Plan) count(counts map[tier.Version]*pin, seen map[tier.Version]bool, set *tier.ShardSet, dataCentre string, v tier.Version) {
	n, ok := counts[v]
	if !ok {
		n = &pin{set: set, version: v}
		counts[v] = n
	}
	if seen[v] {
		return
	}
	seen[v] = true
	n.covered++
	if dataCentre == p.home {
		n.atHome++
	}
}

// versions lists what a data centre can serve of a shard under a map.
func (p *Plan) versions(set *tier.ShardSet, dataCentre, shard string) []tier.Version {
	at := place{dataCentre, shard}
	epoch, held := p.held(set, at)
	if epoch != set.Epoch() {
		return nil
	}
	out := make([]tier.Version, 0, len(held))
	for _, v := range held {
		if !p.gone[servedAt{at, tier.NewSnapshot(epoch, v)}] && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

// held is what a data centre holds of a shard. What a reply said goes before
// the view, but for a later map or version that the view shows.
func (p *Plan) held(set *tier.ShardSet, at place) (tier.Epoch, []tier.Version) {
	epoch, held := p.view.Versions(set.Name(), at.dataCentre, at.shard)
	f, ok := p.fresh[at]
	switch {
	case !ok || f.epoch < epoch:
		return epoch, held
	case f.epoch > epoch || len(f.versions) == 0:
		return f.epoch, f.versions
	}
	out := slices.Clone(f.versions)
	for _, v := range held {
		if v > slices.Max(f.versions) {
			out = append(out, v)
		}
	}
	return epoch, out
}

// dataCentres lists where replicas of a shard lie: home first, then in the
// order of the replicas.
func (p *Plan) dataCentres(set *tier.ShardSet, h tier.Shard) []string {
	var out []string
	for _, r := range h.Replicas() {
		b, ok := set.Server(r)
		if !ok || slices.Contains(out, b.DataCentre()) {
			continue
		}
		if b.DataCentre() == p.home {
			out = slices.Insert(out, 0, p.home)
			continue
		}
		out = append(out, b.DataCentre())
	}
	return out
}
