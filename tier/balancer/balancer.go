// Package balancer picks the leaf (backend server) for a call by the least expected
// latency, as measured by this VM's own calls. A leaf that is slow, stalled or
// failing is avoided; its penalties decay, so that it is tried again.
package balancer

import (
	"math"
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/throttler"
)

// Parameters of the moving averages and of their costs. A cost is latency in
// milliseconds that is added to the expected one.
const (
	// baseLatencyWeight is the weight of one latency in the base latency of a data
	// centre.
	baseLatencyWeight = 0.05
	// excessWeight is the weight of one latency in a leaf's excess over the base
	// latency.
	excessWeight = 0.3
	// failureWeight is the weight of one outcome in a leaf's rates of failures and
	// refusals.
	failureWeight = 0.25
	// excessHalfLifeMs is the half-life of a leaf's excess. It lets a slow leaf be
	// tried a few times during a slowdown of several seconds.
	excessHalfLifeMs = 1500.0
	// failureHalfLifeMs is the half-life of a leaf's failure rate.
	failureHalfLifeMs = 2000.0
	// failureCostMs is the cost of a leaf whose calls all fail.
	failureCostMs = 400.0
	// refusalRateCostMs is the cost of a leaf that refuses all calls. A leaf that
	// refuses a third of them costs more than one in another region.
	refusalRateCostMs = 150.0
	// refusalHalfLifeMs is the half-life of a leaf's refusal rate.
	refusalHalfLifeMs = 2500.0
	// misdirectedFor is how long a leaf is skipped after another server answered at
	// its address. By then the store has delivered its new registration or its
	// removal.
	misdirectedFor = 5 * tier.Second
	// recentRefusalCostMs is the cost of a leaf within recentRefusalWindow of a
	// refusal.
	recentRefusalCostMs = 60.0
	// recentRefusalWindow is about the time in which a leaf works off its queue.
	recentRefusalWindow = 150 * tier.Millisecond
	// coldLatencyFactor is the cost of a cold leaf as a fraction of the base
	// latency.
	coldLatencyFactor = 0.6
	// clipFactor and clipSlackMs bound the effect of one latency on the base
	// latency, as a multiple of it and a constant. Silence of a leaf beyond that
	// bound, with calls in flight, is added to its cost.
	clipFactor  = 2.0
	clipSlackMs = 10.0
)

// Latencies assumed before the first measurement, in milliseconds: of a call within
// the region, and of one to another region.
const (
	defaultNearLatencyMs = 10.0
	defaultFarLatencyMs  = 55.0
)

// longAgo is the time of an event that has not happened.
const longAgo = tier.Millis(math.MinInt32)

// Limits of this VM's calls in flight at one leaf. Each call takes a connection, and
// a leaf accepts few connections from all VMs together.
const (
	// ownerExtraCalls is how many calls beyond its slots a leaf gets from the VM
	// that owns its service, so that no slot idles between two calls.
	ownerExtraCalls = 1
	// limitAfterReset is the limit for resetWindow after a leaf has reset a new
	// connection, which it does when it has too many.
	limitAfterReset = 1
	// resetWindow is how long limitAfterReset applies. Connections of VMs that died
	// stay open for seconds.
	resetWindow = 600 * tier.Millisecond
)

// HasCapacity reports whether a leaf may get another call, by its slots and by the limit of
// requests that it has named. owner says that this VM
// owns the leaf's service, that is, usually queries it.
func (b *Balancer) HasCapacity(now tier.Millis, leaf lister.Leaf, owner bool) bool {
	s, ok := b.leafs[leaf.ID()]
	if !ok || s.startTime != leaf.StartTime() {
		return true
	}
	limit := leaf.Slots()
	if owner {
		limit += ownerExtraCalls
	}
	if now-s.resetAt < resetWindow {
		limit = limitAfterReset
	}
	return s.inFlight < limit && now >= s.restUntil && b.permitWait(now, s) == 0
}

// Distance is how far away a data centre is.
type Distance int

// Values of Distance, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// latencyKey identifies a base latency.
type latencyKey struct {
	class      string
	dataCentre string
}

// leafState is what this VM has observed of one leaf.
type leafState struct {
	startTime        int64 // of the leaf; a leaf that restarts has a new state
	inFlight         int
	excessMs         float64     // moving average of the latency beyond the base latency
	excessAt         tier.Millis // when excessMs was updated
	failureRate      float64     // moving average
	failureRateAt    tier.Millis // when failureRate was updated
	silentSince      tier.Millis // last reply, or the first call if none was in flight
	refusedAt        tier.Millis // when it last refused a call
	resetAt          tier.Millis // when it last reset a new connection
	coldUntil        tier.Millis
	misdirectedUntil tier.Millis // skipped because another server answered at its address
	restUntil        tier.Millis // it wants no request before
	refusalRate      float64     // moving average
	refusalRateAt    tier.Millis // when refusalRate was updated
	repliedAt        tier.Millis // when it last replied
	leaf             lister.Leaf
	throttle         *throttler.Throttle // of a leaf that limits its requests, or nil
	connectAt        tier.Millis         // when to ask for a connection again
	load             heardLoad
	cold             cold
	even             evenState
}

// Balancer holds what one VM has observed of leafs. It is not safe for concurrent
// use.
type Balancer struct {
	distance      func(dataCentre string) Distance
	leafs         map[string]*leafState
	baseLatencies map[latencyKey]float64
	rateShare     RateShare
	serviceOf     func(name string) router.Service // of the configuration, or nil
	coldShare     RateShare
	random        func() float64
	links         links
	even          bool // draws leafs evenly
	references    map[string]reference
	roundTrips    map[string]float64 // by data centre, in milliseconds
	services      map[string]*serviceState
	useCounts     UseCounts
	signs         map[string]sign // by id
	lastRestEnd   tier.Millis     // the latest restUntil of any leaf
}

// Option changes a Balancer.
type Option func(*Balancer)

// WithRandom replaces the source of random numbers, uniform in [0, 1).
func WithRandom(random func() float64) Option { return func(b *Balancer) { b.random = random } }

// New returns a balancer. distance classifies data centres by their distance from
// this VM.
func New(distance func(dataCentre string) Distance, options ...Option) *Balancer {
	b := &Balancer{
		distance: distance, leafs: map[string]*leafState{}, baseLatencies: map[latencyKey]float64{},
		rateShare: func(tier.Millis, lister.Leaf) float64 { return 1 }, random: rand.Float64, links: newLinks(),
		references: map[string]reference{}, roundTrips: map[string]float64{}, services: map[string]*serviceState{}, signs: map[string]sign{},
	}
	for _, set := range options {
		set(b)
	}
	return b
}

func (b *Balancer) stateOf(leaf lister.Leaf) *leafState {
	s, ok := b.leafs[leaf.ID()]
	if !ok || s.startTime != leaf.StartTime() {
		late := ok && leaf.StartTime() < s.startTime && b.ColdRate(leaf) > 0
		s = &leafState{startTime: leaf.StartTime(), refusedAt: longAgo, resetAt: longAgo, repliedAt: longAgo, leaf: leaf, even: newEvenState()}
		if !late { // the end of a call to the former process must not drop the cold time
			b.leafs[leaf.ID()] = s
		}
	}
	return s
}

// Forget drops the state of a leaf that is gone.
func (b *Balancer) Forget(id string) {
	if s, ok := b.leafs[id]; ok {
		b.forgetUse(s)
		delete(b.leafs, id)
		delete(b.signs, id)
	}
}

// InRegion reports whether a leaf is in this VM's region.
func (b *Balancer) InRegion(leaf lister.Leaf) bool {
	return b.distance(leaf.DataCentre()) != OtherRegion
}

// BaseLatency is the latency of a healthy leaf in the leaf's data centre, in
// milliseconds.
func (b *Balancer) BaseLatency(class string, leaf lister.Leaf) float64 {
	return b.baseLatency(class, leaf)
}

// baseLatency is the moving average of a data centre, or a default before the first
// measurement.
func (b *Balancer) baseLatency(class string, leaf lister.Leaf) float64 {
	if latency, ok := b.baseLatencies[latencyKey{class, leaf.DataCentre()}]; ok {
		return latency
	}
	if b.distance(leaf.DataCentre()) == OtherRegion {
		return defaultFarLatencyMs
	}
	return defaultNearLatencyMs
}

// ExpectedCost is the expected latency of a call to the leaf now, in milliseconds,
// with the costs of failures and refusals added.
func (b *Balancer) ExpectedCost(now tier.Millis, class string, leaf lister.Leaf) float64 {
	if b.even {
		return b.expectedEvenly(now, class, leaf)
	}
	base := b.baseLatency(class, leaf)
	s, ok := b.leafs[leaf.ID()]
	if !ok || s.startTime != leaf.StartTime() {
		return base
	}
	cost := base + decayed(s.excessMs, now-s.excessAt, excessHalfLifeMs)
	silence := 0.0
	if s.inFlight > 0 {
		// Detects a stalled leaf before a call to it ends.
		silence = max(0, float64(now-s.silentSince)-clipFactor*base-clipSlackMs)
	}
	return b.addCosts(now, s, leaf, cost, base, silence)
}

// addCosts adds the costs of a leaf's failures, refusals, calls in flight, silence, coldness and
// limit. usual is its usual latency.
func (b *Balancer) addCosts(now tier.Millis, s *leafState, leaf lister.Leaf, cost, usual, silence float64) float64 {
	cost += failureCostMs * decayed(s.failureRate, now-s.failureRateAt, failureHalfLifeMs)
	cost += refusalRateCostMs * decayed(s.refusalRate, now-s.refusalRateAt, refusalHalfLifeMs)
	if excessCalls := s.inFlight + 1 - leaf.Slots(); excessCalls > 0 {
		cost += usual * float64(excessCalls) / float64(leaf.Slots())
	}
	cost += silence
	if now-s.refusedAt < recentRefusalWindow {
		cost += recentRefusalCostMs
	}
	if now < s.coldUntil {
		cost += usual * coldLatencyFactor
	}
	return cost + float64(b.permitWait(now, s))
}

// Pick returns the leaf of the list with the least expected cost, among those that
// usable accepts (nil accepts all), with its cost. With WithEvenLoad it draws one of them.
func (b *Balancer) Pick(now tier.Millis, class string, list []lister.Leaf, usable func(lister.Leaf) bool) (lister.Leaf, float64, bool) {
	best, lowestCost, found := lister.Leaf{}, 0.0, false
	var candidates []lister.Leaf
	for _, leaf := range list {
		if s, ok := b.leafs[leaf.ID()]; ok && s.startTime == leaf.StartTime() && now < s.misdirectedUntil {
			continue
		}
		if usable != nil && !usable(leaf) {
			continue
		}
		if b.even {
			candidates = append(candidates, leaf)
			continue
		}
		if cost := b.ExpectedCost(now, class, leaf); !found || cost < lowestCost {
			best, lowestCost, found = leaf, cost, true
		}
	}
	if b.even {
		return b.drawEvenly(now, class, candidates)
	}
	return best, lowestCost, found
}

// Sent records the start of a call for a request of a class.
func (b *Balancer) Sent(now tier.Millis, class string, leaf lister.Leaf) {
	s := b.stateOf(leaf)
	if s.inFlight == 0 {
		s.silentSince = now
	}
	s.inFlight++
	b.sentEvenly(now, s)
	b.links.called(now, leaf.ID(), b.baseLatency(class, leaf)+decayed(s.excessMs, now-s.excessAt, excessHalfLifeMs))
	if s.throttle != nil {
		s.throttle.Sent(now, b.rateShare(now, s.leaf))
	}
	if throttle, share := b.coldThrottle(now, s); throttle != nil {
		throttle.Sent(now, share)
	}
}

// Answered records a complete reply and its latency.
func (b *Balancer) Answered(now tier.Millis, class string, leaf lister.Leaf, latency tier.Millis) {
	opening := b.learnEvenly(now, class, b.stateOf(leaf), latency)
	if b.even {
		// The next call finds the connection open.
		latency = max(0, latency-tier.Millis(opening))
	}
	s := b.endRepliedCall(now, leaf)
	key := latencyKey{class, leaf.DataCentre()}
	base, ok := b.baseLatencies[key]
	if !ok {
		base = min(float64(latency), clipFactor*b.baseLatency(class, leaf)+clipSlackMs)
	}
	b.baseLatencies[key] = base + baseLatencyWeight*(min(float64(latency), clipFactor*base+clipSlackMs)-base)
	excess := decayed(s.excessMs, now-s.excessAt, excessHalfLifeMs)
	s.excessMs, s.excessAt = excess+excessWeight*(max(0, float64(latency)-base)-excess), now
	s.failureRate, s.failureRateAt = decayed(s.failureRate, now-s.failureRateAt, failureHalfLifeMs)*(1-failureWeight), now
	s.refusalRate, s.refusalRateAt = decayed(s.refusalRate, now-s.refusalRateAt, refusalHalfLifeMs)*(1-failureWeight), now
}

// Failed records a reply with which the leaf reports a failure.
func (b *Balancer) Failed(now tier.Millis, leaf lister.Leaf) {
	b.raiseFailureRate(now, b.endRepliedCall(now, leaf))
}

// Broken records a call that was sent and brought no usable reply.
func (b *Balancer) Broken(now tier.Millis, leaf lister.Leaf) {
	b.raiseFailureRate(now, b.endBrokenCall(now, leaf))
}

func (b *Balancer) raiseFailureRate(now tier.Millis, s *leafState) {
	rate := decayed(s.failureRate, now-s.failureRateAt, failureHalfLifeMs)
	s.failureRate, s.failureRateAt = rate+failureWeight*(1-rate), now
}

// Unreachable records a call for which no connection could be made.
func (b *Balancer) Unreachable(now tier.Millis, leaf lister.Leaf) {
	s := b.endBrokenCall(now, leaf)
	s.failureRate, s.failureRateAt = 1, now
}

// ConnectionReset records a call whose new connection the leaf reset.
func (b *Balancer) ConnectionReset(now tier.Millis, leaf lister.Leaf) {
	s := b.endBrokenCall(now, leaf)
	s.resetAt, s.refusedAt = now, now
}

// Refused records a call that the leaf did not run, usually for lack of capacity.
func (b *Balancer) Refused(now tier.Millis, leaf lister.Leaf) {
	b.raiseRefusalRate(now, b.endRepliedCall(now, leaf))
}

// Dead records a call whose connection was found closed before the request was written.
func (b *Balancer) Dead(now tier.Millis, leaf lister.Leaf) {
	b.raiseRefusalRate(now, b.endBrokenCall(now, leaf))
}

func (b *Balancer) raiseRefusalRate(now tier.Millis, s *leafState) {
	s.refusedAt = now
	rate := decayed(s.refusalRate, now-s.refusalRateAt, refusalHalfLifeMs)
	s.refusalRate, s.refusalRateAt = rate+failureWeight*(1-rate), now
}

// Misdirected records a call that another server answered at the leaf's address. The
// leaf is skipped until it registers again, or for misdirectedFor.
func (b *Balancer) Misdirected(now tier.Millis, leaf lister.Leaf) {
	b.endRepliedCall(now, leaf).misdirectedUntil = now + misdirectedFor
}

// Cancelled records a call that was cancelled after some time without a reply.
func (b *Balancer) Cancelled(now tier.Millis, class string, leaf lister.Leaf, waited tier.Millis) {
	s := b.stateOf(leaf)
	since := s.silentSince
	b.cancelledEvenly(now, class, s, waited)
	b.decrementInFlight(s)
	// The time waited is a lower bound of the latency.
	excess := decayed(s.excessMs, now-s.excessAt, excessHalfLifeMs)
	if observed := float64(waited) - b.baseLatency(class, leaf); observed > excess {
		s.excessMs, s.excessAt = excess+excessWeight*(observed-excess), now
	}
	if s.inFlight > 0 {
		s.silentSince = since
	}
}
