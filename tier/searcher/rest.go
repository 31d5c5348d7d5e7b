package searcher

import "cicadagrade.example/tier"

// restReason is why a part is lost whose leafs have all turned requests away and want none for a while.
const restReason = "leafs-resting"

// restWait is how long it takes until the first leaf of a service takes requests again, or 0 if one does,
// or there is none.
func (sc *Scheduler) restWait(now tier.Millis, service string, regions tier.RegionSet) tier.Millis {
	if !sc.balancer.AnyRests(now) {
		return 0
	}
	least := tier.Millis(0)
	for _, leaf := range sc.placedLeafs(service, regions) {
		rest := sc.balancer.RestRemaining(now, leaf)
		if rest == 0 {
			return 0
		}
		if least == 0 || rest < least {
			least = rest
		}
	}
	return least
}
