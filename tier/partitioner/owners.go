package partitioner

import (
	"math"
	"sort"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// ownerCacheTTL bounds the age of the owner cache, since suspicion of VMs changes
// owners.
const ownerCacheTTL = 200 * tier.Millisecond

// Owns reports whether this VM owns a shard in its region, that is, usually queries
// it. leafIn reports whether the shard has a leaf in a data centre.
func (p *Partitioner) Owns(now tier.Millis, shard string, leafIn func(dataCentre string) bool) bool {
	p.expireOwnerCache(now)
	name, ok := p.ownerCache[shard]
	if !ok {
		if eligible := p.eligible(p.self.region); len(eligible) > 0 {
			name = pickOwner(shard, p.self.region, preferLeafDataCentres(eligible, leafIn)).vm.Name()
		}
		p.ownerCache[shard] = name
	}
	return name == p.self.vm.Name()
}

func (p *Partitioner) expireOwnerCache(now tier.Millis) {
	if p.ownerCache == nil || now-p.ownerCacheAt >= ownerCacheTTL {
		p.ownerCache, p.ownerRanks, p.ownerCacheAt = map[string]string{}, map[string]int{}, now
	}
}

// OwnerRank is the number of VMs of this region that would own a shard rather than this
// one, suspected ones included. Unlike ownership, it is the same on all VMs that have read the
// same list, so that no two VMs of a region have the same rank.
func (p *Partitioner) OwnerRank(now tier.Millis, shard string, leafIn func(dataCentre string) bool) int {
	p.expireOwnerCache(now)
	rank, ok := p.ownerRanks[shard]
	if !ok {
		own := ownerScore(shard, p.self.region, p.self)
		for _, m := range preferLeafDataCentres(p.large(p.self.region, true), leafIn) {
			if m.vm.Name() != p.self.vm.Name() && ownerScore(shard, p.self.region, m) >= own {
				rank++
			}
		}
		p.ownerRanks[shard] = rank
	}
	return rank
}

// eligible lists the large VMs of a region that are not suspected, by name. It leaves out the
// own VM if that is excluded.
func (p *Partitioner) eligible(region string) []Member { return p.large(region, false) }

// eligibleIn is eligible for a request that is restricted to some regions.
func (p *Partitioner) eligibleIn(region string, regions tier.RegionSet) []Member {
	if !regions.Allows(region) {
		return nil
	}
	return p.eligible(region)
}

// large lists the large VMs of a region, by name.
func (p *Partitioner) large(region string, suspected bool) []Member {
	maxCores := 0.0
	var list []Member
	for _, m := range p.members {
		if m.member.region != region || !suspected && (m.suspected || p.selfExcluded && m.member.vm.Name() == p.self.vm.Name()) {
			continue
		}
		list = append(list, m.member)
		maxCores = max(maxCores, m.member.cores)
	}
	large := list[:0]
	for _, m := range list {
		if m.cores >= minCoresFraction*maxCores {
			large = append(large, m)
		}
	}
	sort.Slice(large, func(i, j int) bool { return large[i].vm.Name() < large[j].vm.Name() })
	return large
}

// pickOwner is weighted rendezvous hashing: every VM with the same list of members
// picks the same one, and a member that leaves moves only its own shards.
func pickOwner(shard, region string, eligible []Member) Member {
	best, bestScore := eligible[0], math.Inf(-1)
	for _, m := range eligible {
		if score := ownerScore(shard, region, m); score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// ownerScore is a VM's weighted rendezvous hash for a shard.
func ownerScore(shard, region string, m Member) float64 {
	hash := (float64(picker.Score(shard, region, m.vm.Name())>>11) + 0.5) / (1 << 53)
	return -m.cores / math.Log(hash)
}
