package searcher

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/forecaster"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
)

// Reasons why a part is lost that has no usable leaf.
const (
	noLeafReason          = "no-leaf"
	noLeafInRegionsReason = "no-leaf-in-regions"    // there are leafs in other regions only
	evacuatedReason       = "data-centre-evacuated" // all leafs are in evacuated data centres
	notSentReason         = "not-sent"              // too many other parts have no usable leaf
)

// isNoLeafReason reports whether a part was lost because this VM knew no usable leaf.
func isNoLeafReason(reason string) bool {
	return reason == noLeafReason || reason == noLeafInRegionsReason || reason == evacuatedReason
}

// WithKnownRegions sets the function that reports whether the deployment has a data centre in a
// region.
func WithKnownRegions(knows func(region string) bool) SchedulerOption {
	return func(sc *Scheduler) { sc.knowsRegion = knows }
}

// mayGo decides whether a request that is restricted to some regions may go to a leaf or VM in
// a region. A place whose region is not known is in none of them.
func mayGo(region string, regions tier.RegionSet) bool {
	return !regions.Restricted() || region != "" && regions.Allows(region)
}

// usableLeafs are the placed leafs of a service that don't rest. The caller must not modify the slice.
func (sc *Scheduler) usableLeafs(now tier.Millis, service string, regions tier.RegionSet) []lister.Leaf {
	leafs := sc.placedLeafs(service, regions)
	if !sc.balancer.AnyRests(now) {
		return leafs
	}
	return slices.DeleteFunc(slices.Clone(leafs), func(leaf lister.Leaf) bool { return sc.balancer.RestRemaining(now, leaf) > 0 })
}

// placedLeafs are the leafs of a service that a request may be sent to, by id. The caller must
// not modify the slice. The region of this VM does not matter, as the request is here already.
func (sc *Scheduler) placedLeafs(service string, regions tier.RegionSet) []lister.Leaf {
	leafs := sc.lister.Leafs(service)
	if !regions.Restricted() || !slices.ContainsFunc(leafs, sc.outside(regions)) {
		return leafs
	}
	return slices.DeleteFunc(slices.Clone(leafs), sc.outside(regions))
}

// outside returns a function that reports whether a leaf must not get a request.
func (sc *Scheduler) outside(regions tier.RegionSet) func(lister.Leaf) bool {
	return func(leaf lister.Leaf) bool { return !mayGo(sc.regionOf(leaf.DataCentre()), regions) }
}

// mayDelegate decides whether another VM may get a share of a request.
func (sc *Scheduler) mayDelegate(m partitioner.Member, regions tier.RegionSet) bool {
	return mayGo(m.Region(), regions)
}

// knowsAny reports whether the deployment has any of the regions of a restricted set.
func (sc *Scheduler) knowsAny(regions tier.RegionSet) bool {
	return slices.ContainsFunc(regions.Names(), sc.knowsRegion)
}

// noLeafReason is why a part has no usable leaf.
func (s *Search) noLeafReason(p *part) string {
	regions := s.terms.regions
	leftOut := s.scheduler.lister.LeftOut(p.service)
	outside := s.scheduler.outside(regions)
	switch {
	case slices.ContainsFunc(s.scheduler.lister.Leafs(p.service), outside), slices.ContainsFunc(leftOut, outside),
		regions.Restricted() && !s.scheduler.knowsAny(regions):
		return noLeafInRegionsReason
	case len(leftOut) > 0:
		return evacuatedReason
	}
	return noLeafReason
}

// mayBeUnplaced reports whether regions or evacuations may leave services without a usable leaf.
func (s *Search) mayBeUnplaced() bool {
	return s.terms.regions.Restricted() || s.scheduler.lister.Evacuations() > 0
}

// loseUnplaced gives up a part that regions or evacuations leave without a usable leaf. No other
// VM is asked for such a part again, which would have to find the same.
func (s *Search) loseUnplaced(p *part) bool {
	if !s.mayBeUnplaced() || len(s.scheduler.placedLeafs(p.service, s.terms.regions)) > 0 {
		return false
	}
	s.markLost(p, s.noLeafReason(p))
	return true
}

// dropUnplaced gives up a queued part that regions or evacuations leave without a usable leaf.
func (sc *Scheduler) dropUnplaced(now tier.Millis, q queuedPart) bool {
	if p := &q.search.parts[q.part]; p.inFlight > 0 || !q.search.loseUnplaced(p) {
		return false
	}
	sc.dequeue(now, q.search, q.part)
	sc.wake(q.search)
	return true
}

// refuseUnplaced reports whether regions or evacuations leave too few parts with a usable leaf,
// so that the search must not be begun. A share is searched as far as possible: the VM that
// delegated it may know further leafs, and decides.
func (s *Search) refuseUnplaced() bool {
	if s.terms.flushes || !s.mayBeUnplaced() {
		return false
	}
	placed := 0
	for i := range s.parts {
		if len(s.scheduler.placedLeafs(s.parts[i].service, s.terms.regions)) > 0 {
			placed++
		}
	}
	if placed >= s.terms.minimumParts {
		return false
	}
	s.unplaced = true
	for i := range s.parts {
		if p := &s.parts[i]; !s.loseUnplaced(p) {
			s.markLost(p, notSentReason)
		}
	}
	return true
}

// lostForRegions reports whether any part was lost because of the regions in which the request
// may be served.
func (s *Search) lostForRegions() bool {
	return slices.ContainsFunc(s.parts, func(p part) bool { return p.lost && p.lossReason == noLeafInRegionsReason })
}

// isBlocked reports whether a queued part waits for leafs in regions that have no capacity.
func (q queuedPart) isBlocked(blocked []tier.RegionSet) bool {
	return slices.ContainsFunc(blocked, q.search.terms.regions.Equal)
}

// maxForecasters bounds the number of sets of regions for which arrivals are recorded. Sets that
// the configuration no longer uses are dropped with the others when there are more.
const maxForecasters = 64

// ForecasterOf predicts the requests that may be served in some regions. Their shards have fewer
// leafs, and what these miss says nothing of other requests.
func (sc *Scheduler) ForecasterOf(regions tier.RegionSet) *forecaster.Forecaster {
	if !regions.Restricted() {
		return sc.forecaster
	}
	key := strings.Join(regions.Names(), ",")
	f, ok := sc.restricted[key]
	if !ok {
		if len(sc.restricted) >= maxForecasters {
			clear(sc.restricted)
		}
		f = forecaster.New()
		sc.restricted[key] = f
	}
	return f
}
