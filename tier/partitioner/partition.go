package partitioner

import (
	"math"
	"slices"
	"sort"

	"cicadagrade.example/tier"
)

// Share is the subset of a request's shards that one VM queries.
type Share struct {
	member Member
	self   bool
	parts  []int
}

// NewShare returns the share of another VM; parts are indexes of shards in the
// request.
func NewShare(m Member, parts []int) Share { return Share{member: m, parts: parts} }

// Member is the VM that queries the shards.
func (s Share) Member() Member { return s.member }

// Self reports whether that is the VM of the partitioner.
func (s Share) Self() bool { return s.self }

// Parts are the indexes of the shards in the request.
func (s Share) Parts() []int { return s.parts }

// Location is the data centre and region of a leaf.
type Location struct {
	DataCentre, Region string
}

// Partition assigns each shard of a request to a VM. A shard with a leaf in this VM's
// region goes to its owner there. The others go to a gateway in each further region,
// which partitions them again, and those that no gateway is near to a stand-in. The share
// of an excluded VM is what no VM can query. Other VMs get shards only if their region is allowed.
// locationsOf lists the locations of those of a shard's leafs that may be used; random returns
// numbers uniform in [0, 1).
func (p *Partitioner) Partition(class string, shards []string, regions tier.RegionSet, locationsOf func(string) []Location, random func() float64) []Share {
	result := partition{shareIndex: map[string]int{}, self: p.self.vm.Name()}
	var remote []int
	eligible := p.eligibleIn(p.self.region, regions)
	for i, shard := range shards {
		locations := locationsOf(shard)
		switch {
		case !hasRegion(locations, p.self.region), len(eligible) == 0:
			remote = append(remote, i)
		default:
			result.assign(pickOwner(shard, p.self.region, preferLeafDataCentres(eligible, hasDataCentre(locations))), i)
		}
	}
	for len(remote) > 0 {
		region, found := p.pickRegion(class, shards, remote, regions, locationsOf, random())
		if !found {
			break
		}
		gateways := p.gateways(region)
		gateway := gateways[int(random()*float64(len(gateways)))%len(gateways)]
		var remaining []int
		for _, i := range remote {
			if !hasRegion(locationsOf(shards[i]), region) {
				remaining = append(remaining, i)
				continue
			}
			result.assign(gateway, i)
		}
		remote = remaining
	}
	for _, i := range remote {
		result.assign(p.standIn(shards[i], regions, eligible), i)
	}
	return result.shares
}

// standIn is the VM that queries a shard whose leafs no other VM is near: this one or, if it is
// excluded, one of its region or else of any other. It is this one if there is none.
func (p *Partitioner) standIn(shard string, regions tier.RegionSet, eligible []Member) Member {
	if !p.selfExcluded {
		return p.self
	}
	for _, region := range p.otherRegions() {
		if len(eligible) > 0 {
			break
		}
		if regions.Allows(region) {
			eligible = p.gateways(region)
		}
	}
	if len(eligible) == 0 {
		return p.self
	}
	return pickOwner(shard, p.self.region, eligible)
}

func hasRegion(locations []Location, region string) bool {
	return slices.ContainsFunc(locations, func(l Location) bool { return l.Region == region })
}

func hasDataCentre(locations []Location) func(string) bool {
	return func(dataCentre string) bool {
		return slices.ContainsFunc(locations, func(l Location) bool { return l.DataCentre == dataCentre })
	}
}

// preferLeafDataCentres returns the eligible VMs in a leaf's own data centre, or all
// of them if there are none. Complete replies of leafs then stay within a data
// centre, and only merged records leave it.
func preferLeafDataCentres(eligible []Member, leafIn func(dataCentre string) bool) []Member {
	var list []Member
	for _, m := range eligible {
		if leafIn(m.vm.DataCentre()) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return eligible
	}
	return list
}

// partition collects the shares of one request.
type partition struct {
	self       string
	shareIndex map[string]int // by name of the VM
	shares     []Share
}

// assign adds a shard to the share of a VM.
func (p *partition) assign(m Member, part int) {
	name := m.vm.Name()
	index, ok := p.shareIndex[name]
	if !ok {
		index = len(p.shares)
		p.shareIndex[name] = index
		p.shares = append(p.shares, Share{member: m, self: name == p.self})
	}
	p.shares[index].parts = append(p.shares[index].parts, part)
}

// pickRegion picks another region with a gateway for some shards, among those with leafs
// of the most of them, or of at least minShardsFraction as many. The pick is random, with
// a higher weight for lower latency. It reports false if there is none.
func (p *Partitioner) pickRegion(class string, shards []string, remote []int, regions tier.RegionSet, locationsOf func(string) []Location, random float64) (string, bool) {
	count := map[string]int{}
	maxCount := 0
	for _, region := range p.otherRegions() {
		if len(p.eligibleIn(region, regions)) == 0 {
			continue
		}
		for _, i := range remote {
			if hasRegion(locationsOf(shards[i]), region) {
				count[region]++
			}
		}
		maxCount = max(maxCount, count[region])
	}
	var names []string
	for r, n := range count {
		if float64(n) >= minShardsFraction*float64(maxCount) {
			names = append(names, r)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	sort.Strings(names)
	total := 0.0
	weights := make([]float64, len(names))
	for i, r := range names {
		latency, ok := p.regionLatencyMs[regionKey{class, r}]
		if !ok {
			latency = defaultRemoteRoundTripMs
		}
		weights[i] = math.Pow(1/max(1, latency), regionWeightExponent)
		total += weights[i]
	}
	point := random * total
	for i, r := range names {
		if point < weights[i] {
			return r, true
		}
		point -= weights[i]
	}
	return names[len(names)-1], true
}
