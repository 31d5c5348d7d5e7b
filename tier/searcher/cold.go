package searcher

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/router"
)

// Shares of the requests that a cold leaf takes from all VMs. A share of less than one request a
// second still allows one call at any time, so few VMs have one, the rate owners of the leaf. They are
// found by hash from the list of VMs, and the others pass requests on to them.
const (
	// coldUse is the part of the rate that the rate owners use together.
	coldUse = 0.8
	// maxRateOwners is the number of rate owners, so that half of the rate is left if one fails.
	maxRateOwners = 2
	// ownerColdShare is the part of coldUse of the VM that owns a shard. The next one
	// stands in for it.
	ownerColdShare = 0.85
	// coldSpan is in seconds how much of its rate a VM may use within one: a permit can be
	// used for a quarter of a second.
	coldSpan = 1.25
	// staleFactor reduces the share of a VM whose view is old. Others may have taken its place
	// since, if it is cut off. Both together use one and a half times coldUse.
	staleFactor = 0.5
	// minColdUse is used even if the bound allows less: a leaf that gets nothing is of no use.
	minColdUse = 0.3
	// rateOwnerGrace is how long a VM must have been registered before it is a rate owner. All others
	// have read of it by then: views are up to 2.5 s old.
	rateOwnerGrace = 3500 * tier.Millisecond
	// restartGrace takes its place for a VM that was on the list before it started. Calls of
	// its former process and its own then are not within the same second.
	restartGrace = 1250 * tier.Millisecond
	// rateOwnerCacheTTL bounds the age of the lists of rate owners.
	rateOwnerCacheTTL = 200 * tier.Millisecond
	// maxRateOwnersAsked is how many rate owners in turn may get a part. Each may decline or fail.
	maxRateOwnersAsked = 2
	// rateOwnerRetryAfter is when a caller may come back whose request a rate owner could not send.
	rateOwnerRetryAfter = 1 * tier.Second
)

// coldReason is why a part is lost of whose service this VM may call no leaf, as all are cold. For
// another VM, it has not been called.
const coldReason = "leafs-cold"

// coldState is what a VM needs to know to share the rates of cold leafs.
type coldState struct {
	overage, slack float64
	registeredAt   tier.Millis                     // since when other VMs may know this one, or never
	listed         bool                            // this VM was on the list before it registered
	stale          bool                            // the view is old
	held           int64                           // calls that the rates of cold leafs have held back
	rateOwners     map[string][]partitioner.Member // by id of the leaf, since rateOwnersAt
	rateOwnersAt   tier.Millis
}

// LimitCold makes cold leafs of services that name a rate get no more than that. The bound on
// requests in a second is a multiple of the rate, and a number besides.
func (sc *Scheduler) LimitCold(serviceOf func(name string) router.Service, overage, slack float64) {
	if sc.cold.rateOwners == nil {
		sc.cold.registeredAt = never
	}
	sc.cold.overage, sc.cold.slack, sc.cold.rateOwners = overage, slack, map[string][]partitioner.Member{}
	sc.balancer.LimitCold(serviceOf, sc.coldShare)
}

// SetContact sets whether other VMs can know this one from the store, and whether this VM's view
// is too old to rely on it.
func (sc *Scheduler) SetContact(now tier.Millis, registered, stale bool) {
	switch {
	case !registered:
		sc.cold.registeredAt = never
	case sc.cold.registeredAt == never && sc.cold.listed:
		sc.cold.registeredAt = now + restartGrace - rateOwnerGrace
	case sc.cold.registeredAt == never:
		sc.cold.registeredAt = now
	}
	sc.cold.stale = stale
}

// SetListed sets whether the list of VMs has this one, by its former process or this one.
func (sc *Scheduler) SetListed(listed bool) { sc.cold.listed = listed }

// HeldByCold is the number of calls that the rates of cold leafs have held back.
func (sc *Scheduler) HeldByCold() int64 { return sc.cold.held }

// coldUses returns the number of rate owners of a cold leaf and the part of its rate that they use
// together, so that those of two views, one of them old, stay within the bound: each may
// send one call beyond its rate.
func (sc *Scheduler) coldUses(perSecond float64) (int, float64) {
	bound := max(sc.cold.overage, 1)*perSecond + sc.cold.slack
	for count := maxRateOwners; ; count-- {
		use := (bound - float64(2*count)) / ((1 + staleFactor) * coldSpan * perSecond)
		if use >= coldUse || count == 1 {
			return count, min(coldUse, max(minColdUse, use))
		}
	}
}

// coldRateOwners lists the rate owners of a cold leaf.
func (sc *Scheduler) coldRateOwners(now tier.Millis, leaf lister.Leaf, count int) []partitioner.Member {
	if now-sc.cold.rateOwnersAt >= rateOwnerCacheTTL {
		clear(sc.cold.rateOwners)
		sc.cold.rateOwnersAt = now
	}
	if list, ok := sc.cold.rateOwners[leaf.ID()]; ok {
		return list
	}
	key, preferred := leaf.ID(), func(string) bool { return true }
	if sc.isShard(leaf.Service()) {
		// The first rate owner is the owner of the shard, which gets the requests anyway.
		key, preferred = leaf.Service(), func(dataCentre string) bool { return dataCentre == leaf.DataCentre() }
	}
	list := sc.partitioner.RateOwners(key, sc.regionOf(leaf.DataCentre()), preferred, count)
	sc.cold.rateOwners[leaf.ID()] = list
	return list
}

// coldShare is this VM's share of the requests that a cold leaf takes, or 0.
func (sc *Scheduler) coldShare(now tier.Millis, leaf lister.Leaf) float64 {
	if sc.cold.registeredAt == never || now-sc.cold.registeredAt < rateOwnerGrace {
		return 0
	}
	count, share := sc.coldUses(sc.balancer.ColdRate(leaf))
	rateOwners := sc.coldRateOwners(now, leaf, count)
	self := sc.partitioner.Self().VM().Name()
	rank := slices.IndexFunc(rateOwners, func(m partitioner.Member) bool { return m.VM().Name() == self })
	switch {
	case rank < 0:
		return 0
	case len(rateOwners) == 1:
	case !sc.isShard(leaf.Service()):
		share /= float64(len(rateOwners))
	case rank == 0:
		share *= ownerColdShare
	default:
		share *= 1 - ownerColdShare
	}
	if sc.cold.stale {
		share *= staleFactor
	}
	return share
}

// rateOwnersToAsk lists other VMs, not suspected and not yet asked, that are rate owners of the cold leafs
// of a part's service which this VM may not call.
func (s *Search) rateOwnersToAsk(now tier.Millis, partIndex int) []partitioner.Member {
	sc := s.scheduler
	asked := func(name string) bool {
		return slices.ContainsFunc(s.shares, func(sh share) bool { return sh.member.VM().Name() == name && slices.Contains(sh.parts, partIndex) })
	}
	var list []partitioner.Member
	for _, leaf := range sc.usableLeafs(now, s.parts[partIndex].service, s.terms.regions) {
		if sc.balancer.MayCall(now, leaf) {
			continue
		}
		count, _ := sc.coldUses(sc.balancer.ColdRate(leaf))
		for _, m := range sc.coldRateOwners(now, leaf, count) {
			name := m.VM().Name()
			if name != sc.partitioner.Self().VM().Name() && !sc.partitioner.Suspected(name) && !asked(name) && mayGo(m.Region(), s.terms.regions) {
				list = append(list, m)
			}
		}
	}
	return list
}

// askRateOwner has a rate owner of a cold leaf query a part, if this VM may call no leaf of its service
// that could answer. Sweeps go to the rate owners of their shards anyway. It reports whether a
// rate owner is asked.
func (s *Search) askRateOwner(now tier.Millis, partIndex int, actions []Action) ([]Action, bool) {
	p, sc := &s.parts[partIndex], s.scheduler
	used := p.ranCalls + p.inFlight
	if s.terms.flushes || p.inFlight > 0 || p.rateOwnersAsked >= maxRateOwnersAsked || used >= s.terms.maxAttempts || sc.isShard(p.service) {
		return actions, false
	}
	list := s.rateOwnersToAsk(now, partIndex)
	if len(list) == 0 {
		return actions, false
	}
	sc.cold.held++
	p.rateOwnersAsked++
	p.shareIndex, p.hedgeAt, p.retryAt = len(s.shares), never, never
	s.retryAfter = max(s.retryAfter, rateOwnerRetryAfter)
	s.shares = append(s.shares, share{
		member: list[int(sc.random()*float64(len(list)))%len(list)], parts: []int{partIndex},
		second: true, repeated: p.nextIsExtra, attempts: s.terms.maxAttempts - used,
	})
	return s.delegate(now, len(s.shares)-1, actions), true
}

// coldWait is how long it takes until the first cold leaf of a service is warm, or 0 if it has no
// leaf that is too cold for this VM to call it.
func (sc *Scheduler) coldWait(now tier.Millis, service string, regions tier.RegionSet) tier.Millis {
	least := tier.Millis(0)
	for _, leaf := range sc.usableLeafs(now, service, regions) {
		if wait := sc.balancer.ColdRemaining(now, leaf); !sc.balancer.MayCall(now, leaf) && (least == 0 || wait < least) {
			least = max(wait, 1)
		}
	}
	return least
}

// giveUp loses a part without a leaf that this VM may call.
func (s *Search) giveUp(now tier.Millis, p *part) {
	if rest := s.scheduler.restWait(now, p.service, s.terms.regions); rest > 0 {
		s.retryAfter = max(s.retryAfter, rest)
		s.markLost(p, restReason)
		return
	}
	wait := s.scheduler.coldWait(now, p.service, s.terms.regions)
	if wait == 0 {
		s.markLost(p, s.noLeafReason(p))
		return
	}
	s.scheduler.cold.held++
	s.retryAfter = max(s.retryAfter, wait)
	s.markLost(p, coldReason)
}

// unqueueIdle takes a part out of the queue if its leafs all rest, or have all become too cold for this VM,
// meanwhile. It reports whether it has.
func (s *Search) unqueueIdle(now tier.Millis, partIndex int) bool {
	sc, service := s.scheduler, s.parts[partIndex].service
	cold := sc.coldWait(now, service, s.terms.regions) > 0 && !slices.ContainsFunc(sc.usableLeafs(now, service, s.terms.regions),
		func(leaf lister.Leaf) bool { return sc.balancer.MayCall(now, leaf) })
	if !cold && sc.restWait(now, service, s.terms.regions) == 0 {
		return false
	}
	sc.dequeue(now, s, partIndex)
	return true
}
