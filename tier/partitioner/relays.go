package partitioner

import (
	"cmp"
	"slices"
	"sort"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// watcherCount is how many VMs of the deployment watch the store. The others copy
// changes from them. With three, one may be down and another one unresponsive.
const watcherCount = 3

// StoreWatchers lists the VMs that watch the store: the first of Relays.
func (p *Partitioner) StoreWatchers() []Member {
	list := p.Relays()
	return list[:min(watcherCount, len(list))]
}

// Relays lists the large VMs of the deployment that are not unreachable, in an order by
// hash that all VMs with the same list of members share. One that takes no shares, for instance
// because it reaches no leaf, is among them: it may be the only one that the store answers. Other VMs copy their view
// from them. The first ones watch the store; the next ones take their place if their
// views grow old.
func (p *Partitioner) Relays() []Member {
	maxCores := 0.0
	for _, m := range p.members {
		maxCores = max(maxCores, m.member.cores)
	}
	type scored struct {
		member Member
		score  uint64
	}
	var list []scored
	for name, m := range p.members {
		if !m.unreachable && m.member.cores >= minCoresFraction*maxCores {
			list = append(list, scored{m.member, picker.Score("watcher", "", name)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	relays := make([]Member, len(list))
	for i, s := range list {
		relays[i] = s.member
	}
	return relays
}

// ShouldRegister reports whether this VM has to register in the store, so that others
// know it: it is large, or its region has had no large VM for regionGrace. Large VMs get
// shares of others' requests; the small VMs near them need not be known to others.
func (p *Partitioner) ShouldRegister(now tier.Millis) bool {
	if p.IsLarge() {
		return true
	}
	for _, m := range p.members {
		if m.member.region == p.self.region && p.self.cores < minCoresFraction*m.member.cores {
			p.withoutLargeSince = 0
			return false
		}
	}
	if p.withoutLargeSince == 0 {
		p.withoutLargeSince = max(now, 1)
	}
	return now-p.withoutLargeSince >= regionGrace
}

// IsLarge reports whether this VM has at least half of the cores of the largest known VM.
func (p *Partitioner) IsLarge() bool {
	for _, m := range p.members {
		if p.self.cores < minCoresFraction*m.member.cores {
			return false
		}
	}
	return true
}

// LargeMembers lists the other VMs that have at least half of the cores of the largest
// one of them, suspected or not, by name.
func (p *Partitioner) LargeMembers() []Member {
	maxCores := 0.0
	for name, m := range p.members {
		if name != p.self.vm.Name() {
			maxCores = max(maxCores, m.member.cores)
		}
	}
	var list []Member
	for name, m := range p.members {
		if name != p.self.vm.Name() && m.member.cores >= minCoresFraction*maxCores {
			list = append(list, m.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.vm.Name(), b.vm.Name()) })
	return list
}

// LargeCount is the number of large VMs of the deployment, suspected or not, the own one
// included if it is large.
func (p *Partitioner) LargeCount() int {
	maxCores, count := 0.0, 0
	for _, m := range p.members {
		maxCores = max(maxCores, m.member.cores)
	}
	for _, m := range p.members {
		if m.member.cores >= minCoresFraction*maxCores {
			count++
		}
	}
	return count
}

// Has reports whether a VM is a known member.
func (p *Partitioner) Has(name string) bool {
	_, ok := p.members[name]
	return ok
}

// Neighbours lists the other VMs of the own region that are not unreachable, by name.
func (p *Partitioner) Neighbours() []Member {
	list := p.ReachablePeers()
	return slices.DeleteFunc(list, func(m Member) bool { return m.region != p.self.region })
}

// ReachablePeers lists the other VMs that are not unreachable, by name, whether they take shares
// or not.
func (p *Partitioner) ReachablePeers() []Member {
	var list []Member
	for name, m := range p.members {
		if !m.unreachable && name != p.self.vm.Name() {
			list = append(list, m.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.vm.Name(), b.vm.Name()) })
	return list
}

// Gateways lists the gateways to all other regions.
func (p *Partitioner) Gateways() []Member {
	var list []Member
	for _, region := range p.otherRegions() {
		list = append(list, p.gateways(region)...)
	}
	return list
}

// HealthyPeers lists the other VMs that are not suspected, and so may get shares, those of the
// own region first.
func (p *Partitioner) HealthyPeers() []Member {
	var list []Member
	for name, m := range p.members {
		if !m.suspected && name != p.self.vm.Name() {
			list = append(list, m.member)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		inRegion, otherInRegion := list[i].region == p.self.region, list[j].region == p.self.region
		if inRegion != otherInRegion {
			return inRegion
		}
		return list[i].vm.Name() < list[j].vm.Name()
	})
	return list
}
