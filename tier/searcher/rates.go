package searcher

import (
	"math"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// Shares of the requests that a leaf with a limit takes from all VMs. Each VM derives its own
// share from the list of VMs, without asking others. The shares add up to 1.25 at most, or
// 1.4 while VMs differ on who owns a shard.
const (
	// ownerRateShare is the share of the VM that owns a shard in the leaf's region. A VM that
	// stands in for it has half as much, the next one a quarter, and so on: while VMs differ
	// on who the owner is, all that believe it of themselves have less than twice the share.
	ownerRateShare = 0.6
	// shardRateShare is divided among all VMs, which call a shard's leaf when its owners do
	// not answer, and to hedge.
	shardRateShare = 0.2
	// nearRateShare is divided among the VMs of the leaf's region, for services that each VM
	// calls itself.
	nearRateShare = 1.0
	// farRateShare is divided among the other VMs for such a service. They have leafs of
	// their own region to call.
	farRateShare = 0.25
)

// SetFleetSize sets the number of VMs, registered or not.
func (sc *Scheduler) SetFleetSize(n int) { sc.fleetSize = n }

// SetShards sets which services are shards of a route.
func (sc *Scheduler) SetShards(isShard func(service string) bool) { sc.isShard = isShard }

// rateShare is this VM's share of the requests that a leaf with a limit takes.
func (sc *Scheduler) rateShare(now tier.Millis, leaf lister.Leaf) float64 {
	members := sc.partitioner.MemberCount()
	all := float64(max(sc.fleetSize, members))
	if sc.isShard(leaf.Service()) {
		share := shardRateShare / all
		if sc.balancer.InRegion(leaf) && sc.ownerCount(now, leaf.Service()) > 0 {
			rank := sc.partitioner.OwnerRank(now, leaf.Service(), sc.leafIn(leaf.Service()))
			share += ownerRateShare * math.Exp2(-float64(rank))
		}
		return share
	}
	// VMs without a registration are spread over the regions as the registered ones are.
	near := all * float64(sc.partitioner.MembersIn(sc.regionOf(leaf.DataCentre()))) / float64(members)
	switch {
	case near == 0:
		return nearRateShare / all
	case sc.balancer.InRegion(leaf):
		return nearRateShare / near
	}
	return farRateShare / (all - near)
}

// limitWait is about how long a part would wait for a permit of the leafs of its service,
// behind those that are queued before it. It is 0 unless all these leafs have limits.
func (sc *Scheduler) limitWait(now tier.Millis, s *Search, service string) tier.Millis {
	perSecond := 0.0
	for _, leaf := range sc.usableLeafs(now, service, s.terms.regions) {
		rate, limited := sc.balancer.RateOf(now, leaf)
		if !limited {
			return 0
		}
		perSecond += rate
	}
	ahead := 0
	for _, q := range sc.queue[service] {
		if q.search.terms.rank <= s.terms.rank {
			ahead++
		}
	}
	return tier.Millis(float64(ahead+1) / perSecond * float64(tier.Second))
}
