// Package balancer picks the leaf for a call: the one that is expected to
// answer first, judged by this VM's own calls. A leaf that is slow, stalled
// or failing is avoided and looked at again as what was seen of it ages.
package balancer

import (
	"math"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// Weights of what was seen.
const (
	// baseWeight is the weight of one latency in a data centre's usual one.
	baseWeight = 0.05
	// excessWeight is the weight of one latency in a leaf's own excess.
	excessWeight = 0.3
	// failureWeight is the weight of one outcome in a leaf's failure rate.
	failureWeight = 0.25
	// excessHalfLife is how fast a leaf's excess is forgotten: a slow leaf is
	// tried again a few times within a slowdown of several seconds.
	excessHalfLife = 1500.0
	// failureHalfLife is the same for failures.
	failureHalfLife = 2000.0
	// failureCost is what a leaf that always fails costs, in milliseconds.
	failureCost = 400.0
	// shedCost is what a leaf costs that has room for no call, in milliseconds;
	// one that turns away every third call is worse than one in another region.
	shedCost = 150.0
	// shedHalfLife is how fast refusals are forgotten.
	shedHalfLife = 2500.0
	// wrongFor is how long a leaf is left out after another server answered at
	// its address: by then the store has told what became of it.
	wrongFor = 5 * tier.Second
	// refusedCost is what a refusal for lack of room costs while it is fresh.
	refusedCost = 60.0
	// refusedFor is how long a refusal counts: the time to work off a queue.
	refusedFor = 150 * tier.Millisecond
	// coldFactor is how much longer a leaf works right after its start.
	coldFactor = 0.6
	// clipFactor bounds one latency's effect on the usual one.
	clipFactor = 2.0
	clipSlack  = 10.0
)

// Latencies expected before any was measured, in milliseconds: of a call
// within the region, and to another one.
const (
	priorNear = 10.0
	priorFar  = 55.0
)

// longAgo is before anything was seen.
const longAgo = tier.Millis(math.MinInt32)

// Limits of this VM's calls at one leaf at a time. Each call takes a connection,
// and a leaf takes few from all VMs together.
const (
	// ownerQueue is how many calls the VM that owns a leaf's service has there
	// beyond its slots, so that no slot idles between two calls.
	ownerQueue = 1
	// crowdedLimit holds after a leaf has reset a new connection, which it does
	// when it has too many.
	crowdedLimit = 1
	// crowdedFor is how long that holds: connections of VMs that died linger
	// for seconds.
	crowdedFor = 600 * tier.Millisecond
)

// HasCapacity reports whether another call may be sent to a leaf. owner says that this
// VM usually asks the leaf's service.
func (b *Balancer) HasCapacity(now tier.Millis, f lister.Leaf, owner bool) bool {
	s, ok := b.leafs[f.ID()]
	if !ok || s.life != f.StartTime() {
		return true
	}
	limit := f.Slots()
	if owner {
		limit += ownerQueue
	}
	if now-s.crowded < crowdedFor {
		limit = crowdedLimit
	}
	return s.inflight < limit
}

// Distance says how far a data centre is.
type Distance int

// The distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

type baseKey struct {
	class      string
	dataCentre string
}

type state struct {
	life     int64
	inflight int
	excess   float64
	excessAt tier.Millis
	failure  float64
	failedAt tier.Millis
	waiting  tier.Millis // since when calls are out without any reply
	refused  tier.Millis
	crowded  tier.Millis // when it last reset a new connection or had no room
	coldTill tier.Millis
	wrongTil tier.Millis // another server answers at its address
	shed     float64     // part of the calls lately that it had no room for
	shedAt   tier.Millis
}

// Balancer keeps what this VM has seen of leafs. It is not safe for
// concurrent use.
type Balancer struct {
	distance func(dataCentre string) Distance
	leafs    map[string]*state
	base     map[baseKey]float64
}

// New returns a balancer that asks distance how far a data centre is.
func New(distance func(dataCentre string) Distance) *Balancer {
	return &Balancer{distance: distance, leafs: map[string]*state{}, base: map[baseKey]float64{}}
}

func (b *Balancer) state(f lister.Leaf) *state {
	s, ok := b.leafs[f.ID()]
	if !ok || s.life != f.StartTime() {
		s = &state{life: f.StartTime(), refused: longAgo, crowded: longAgo}
		b.leafs[f.ID()] = s
	}
	return s
}

// Registered takes a leaf's registration, for how long it is cold.
func (b *Balancer) Registered(now tier.Millis, f lister.Leaf) {
	s := b.state(f)
	s.wrongTil = 0
	if f.ColdRemaining() > 0 {
		s.coldTill = now + f.ColdRemaining()
	}
}

// Forget drops what was seen of a leaf that is gone.
func (b *Balancer) Forget(id string) { delete(b.leafs, id) }

// InRegion reports whether a leaf is in this VM's region.
func (b *Balancer) InRegion(f lister.Leaf) bool { return b.distance(f.DataCentre()) != OtherRegion }

// BaseLatency is the latency of a sound leaf where f lies, in milliseconds.
func (b *Balancer) BaseLatency(class string, f lister.Leaf) float64 { return b.usual(class, f) }

// usual is the latency to expect of a sound leaf for a class of requests.
func (b *Balancer) usual(class string, f lister.Leaf) float64 {
	if v, ok := b.base[baseKey{class, f.DataCentre()}]; ok {
		return v
	}
	if b.distance(f.DataCentre()) == OtherRegion {
		return priorFar
	}
	return priorNear
}

// ExpectedCost is the latency to expect of a call to the leaf now, in
// milliseconds, with what its failures cost.
func (b *Balancer) ExpectedCost(now tier.Millis, class string, f lister.Leaf) float64 {
	usual := b.usual(class, f)
	s, ok := b.leafs[f.ID()]
	if !ok || s.life != f.StartTime() {
		return usual
	}
	cost := usual + decayed(s.excess, now-s.excessAt, excessHalfLife)
	cost += failureCost * decayed(s.failure, now-s.failedAt, failureHalfLife)
	cost += shedCost * decayed(s.shed, now-s.shedAt, shedHalfLife)
	if over := s.inflight + 1 - f.Slots(); over > 0 {
		cost += usual * float64(over) / float64(f.Slots())
	}
	if s.inflight > 0 {
		// A stalled leaf is known by its silence before any reply tells.
		cost += max(0, float64(now-s.waiting)-clipFactor*usual-clipSlack)
	}
	if now-s.refused < refusedFor {
		cost += refusedCost
	}
	if now < s.coldTill {
		cost += usual * coldFactor
	}
	return cost
}

// Pick returns the leaf of the list with the least expected latency among
// those that usable lets pass.
func (b *Balancer) Pick(now tier.Millis, class string, list []lister.Leaf, usable func(lister.Leaf) bool) (lister.Leaf, float64, bool) {
	best, least, found := lister.Leaf{}, 0.0, false
	for _, f := range list {
		if s, ok := b.leafs[f.ID()]; ok && s.life == f.StartTime() && now < s.wrongTil {
			continue
		}
		if usable != nil && !usable(f) {
			continue
		}
		if cost := b.ExpectedCost(now, class, f); !found || cost < least {
			best, least, found = f, cost, true
		}
	}
	return best, least, found
}

// Sent counts a call to a leaf.
func (b *Balancer) Sent(now tier.Millis, f lister.Leaf) {
	s := b.state(f)
	if s.inflight == 0 {
		s.waiting = now
	}
	s.inflight++
}

// Answered counts a whole reply after a latency.
func (b *Balancer) Answered(now tier.Millis, class string, f lister.Leaf, latency tier.Millis) {
	s := b.ended(now, f)
	key := baseKey{class, f.DataCentre()}
	base, ok := b.base[key]
	if !ok {
		base = min(float64(latency), clipFactor*b.usual(class, f)+clipSlack)
	}
	b.base[key] = base + baseWeight*(min(float64(latency), clipFactor*base+clipSlack)-base)
	excess := decayed(s.excess, now-s.excessAt, excessHalfLife)
	s.excess, s.excessAt = excess+excessWeight*(max(0, float64(latency)-base)-excess), now
	s.failure, s.failedAt = decayed(s.failure, now-s.failedAt, failureHalfLife)*(1-failureWeight), now
	s.shed, s.shedAt = decayed(s.shed, now-s.shedAt, shedHalfLife)*(1-failureWeight), now
}

// Failed counts a call that got no usable reply.
func (b *Balancer) Failed(now tier.Millis, f lister.Leaf) {
	s := b.ended(now, f)
	rate := decayed(s.failure, now-s.failedAt, failureHalfLife)
	s.failure, s.failedAt = rate+failureWeight*(1-rate), now
}

// Unreachable counts a call for which no connection could be made.
func (b *Balancer) Unreachable(now tier.Millis, f lister.Leaf) {
	s := b.ended(now, f)
	s.failure, s.failedAt = 1, now
}

// ConnectionReset counts a call whose new connection the leaf reset.
func (b *Balancer) ConnectionReset(now tier.Millis, f lister.Leaf) {
	s := b.ended(now, f)
	s.crowded, s.refused = now, now
}

// Refused counts a call that the leaf had no room for.
func (b *Balancer) Refused(now tier.Millis, f lister.Leaf) {
	s := b.ended(now, f)
	s.refused = now
	rate := decayed(s.shed, now-s.shedAt, shedHalfLife)
	s.shed, s.shedAt = rate+failureWeight*(1-rate), now
}

// Misdirected counts a call that another server answered at the leaf's
// address: the leaf is gone until it registers anew.
func (b *Balancer) Misdirected(now tier.Millis, f lister.Leaf) {
	b.ended(now, f).wrongTil = now + wrongFor
}

// Cancelled counts a call that was given up after waiting for some time.
func (b *Balancer) Cancelled(now tier.Millis, class string, f lister.Leaf, waited tier.Millis) {
	s := b.state(f)
	since := s.waiting
	b.release(s)
	// The reply would have taken longer than that: a lower bound.
	excess := decayed(s.excess, now-s.excessAt, excessHalfLife)
	if over := float64(waited) - b.usual(class, f); over > excess {
		s.excess, s.excessAt = excess+excessWeight*(over-excess), now
	}
	if s.inflight > 0 {
		s.waiting = since
	}
}

func (b *Balancer) ended(now tier.Millis, f lister.Leaf) *state {
	s := b.state(f)
	b.release(s)
	s.waiting = now
	return s
}

func (b *Balancer) release(s *state) {
	if s.inflight > 0 {
		s.inflight--
	}
}

func decayed(v float64, age tier.Millis, halfLife float64) float64 {
	if v == 0 || age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/halfLife)
}
