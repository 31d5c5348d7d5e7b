package balancer

import (
	"math"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// Even balancing draws the leaf of each call, by weights in proportion to what the leafs can do.
// Leafs that are expected to reply later than the earliest get fewer calls, or none beyond the
// uncertainty of such figures. docs/design/even-load.md gives the reasons and the measurements.
const (
	// chanceWeight is the weight of one latency in a leaf's delay, and slowWeight if it shows a
	// slow leaf or the leaf was slow lately. A queue of usual length says little once it is heard of.
	chanceWeight = 0.2
	slowWeight   = 0.7
	// minSureServiceMs is the usual service time from which a cancelled call has slowWeight. Leafs
	// that reply sooner are called more often, and most of their cancelled calls are due to pauses.
	minSureServiceMs = 30.0
	// softnessFraction is the difference of two expected delays, as a fraction of the usual
	// service time, that reduces the weight of the later leaf by the factor e. Below
	// minSoftnessMs, latencies differ by chance; beyond maxSoftnessMs, callers would notice.
	softnessFraction = 0.5
	minSoftnessMs    = 4.0
	maxSoftnessMs    = 40.0
	// delayCutOff is the difference, as a multiple of the softness, from which a leaf gets no
	// call. Sweeps need it: each shard that is called far away delays the whole answer.
	delayCutOff = 3.0
	// minFactorWeight is the weight of one latency in a leaf's factor, and minReferenceWeight in
	// the reference service time of a class, after enough of them for a mean. toldFactorWeight
	// is the weight of a service time that the leaf tells, which does not vary by chance.
	minFactorWeight    = 0.1
	toldFactorWeight   = 0.5
	minReferenceWeight = 0.02
	// maxFactor is the highest factor, and the inverse of the lowest one. Leafs that are slower
	// than that are slow for seconds only, which is a delay.
	maxFactor = 1.6
	// maxReferenceFactor bounds the effect of one latency on the reference service time.
	maxReferenceFactor = 2.0
	// overdueFactor is how many times the expected latency a call may take before the rest counts
	// as a delay of its leaf.
	overdueFactor  = 1.5
	overdueSlackMs = 10.0
	// loadHalfLifeFactor is the half-life of what a leaf tells of its queue, as a multiple of the
	// service time: a queue at 60% of capacity forgets its state that fast.
	loadHalfLifeFactor = 4.0
	// connectionLifetime is how long a connection is kept open between two calls, and
	// maxIdleConnections how many to one leaf.
	connectionLifetime = 4 * tier.Second
	maxIdleConnections = 3
	// networkDrift is the part of the difference to the assumed round trip by which each reply
	// raises the measured one, so that a lower one is forgotten.
	networkDrift = 0.01
	// goldenRatio spreads successive draws of a VM evenly.
	goldenRatio = 0.6180339887498949
)

// assumedRoundTrips are upper bounds of the round trip to a leaf, in milliseconds, by Distance.
var assumedRoundTrips = [...]float64{3, 8, 50}

// WithEvenLoad draws leafs by their capacity instead of picking the one with the least expected
// cost.
func WithEvenLoad() Option { return func(b *Balancer) { b.even = true } }

// evenState is what this VM has learned of one leaf for even balancing.
type evenState struct {
	factor  float64 // moving average of the service time as a multiple of the reference
	replies int     // in factor
	delayMs float64 // moving average of the latency beyond the usual one
	delayAt tier.Millis
	sends   []evenSend // calls in flight
	idle    int        // connections that are open without a call

	connectedAt tier.Millis // when one was last opened before it was needed
}

// evenSend is a call in flight.
type evenSend struct {
	at    tier.Millis
	opens bool // it needs a new connection
}

// reference is the mean service time of requests of a class on all leafs, in milliseconds.
type reference struct {
	serviceMs float64
	replies   int
}

// serviceState is what this VM knows of the leafs of a service together.
type serviceState struct {
	phase  float64 // of the draws, unlike those of other VMs
	phased bool
	draws  int
	use    serviceUse
}

func newEvenState() evenState { return evenState{factor: 1, delayAt: longAgo, connectedAt: longAgo} }

func (b *Balancer) serviceStateOf(name string) *serviceState {
	v, ok := b.services[name]
	if !ok {
		v = &serviceState{}
		b.services[name] = v
	}
	return v
}

// roundTrip is the network's part of the latency of a call on an open connection.
func (b *Balancer) roundTrip(leaf lister.Leaf) float64 {
	if ms, ok := b.roundTrips[leaf.DataCentre()]; ok {
		return ms
	}
	return assumedRoundTrips[b.distance(leaf.DataCentre())]
}

// learnRoundTrip keeps the lowest of the recent latencies, up to the assumed round trip.
func (b *Balancer) learnRoundTrip(leaf lister.Leaf, latency float64) {
	assumed, measured := assumedRoundTrips[b.distance(leaf.DataCentre())], b.roundTrip(leaf)
	b.roundTrips[leaf.DataCentre()] = min(latency, measured+networkDrift*(assumed-measured))
}

// opensConnection reports whether a call needs a new connection, which takes another round trip.
func (s *leafState) opensConnection(now tier.Millis) bool {
	return s.even.idle == 0 || now-max(s.repliedAt, s.even.connectedAt) >= connectionLifetime
}

// sentEvenly records the start of a call.
func (b *Balancer) sentEvenly(now tier.Millis, s *leafState) {
	opens := s.opensConnection(now)
	if opens {
		s.even.idle = 0
	} else {
		s.even.idle--
	}
	s.even.sends = append(s.even.sends, evenSend{at: now, opens: opens})
	b.serviceStateOf(s.leaf.Service()).draws++
	b.countCall(now, s)
}

// trim drops the oldest calls beyond those in flight: not every end of a call says when it was sent.
func (s *evenState) trim(inFlight int) {
	s.sends = s.sends[max(0, len(s.sends)-inFlight):]
}

// end removes the call that was sent at a time, or the oldest one, and reports whether it
// needed a new connection.
func (s *evenState) end(sentAt tier.Millis) bool {
	if len(s.sends) == 0 {
		return false
	}
	which := 0
	for k := range s.sends {
		if s.sends[k].at == sentAt {
			which = k
		}
	}
	opened := s.sends[which].opens
	s.sends = append(s.sends[:which], s.sends[which+1:]...)
	return opened
}

// serviceMs is the usual service time of requests of a class on a leaf.
func (b *Balancer) serviceMs(class string, s *leafState) float64 {
	return b.references[class].serviceMs * s.even.factor
}

// learnEvenly learns from a complete reply. It returns how many milliseconds of the latency the
// opening of a connection has taken, as far as known.
func (b *Balancer) learnEvenly(now tier.Millis, class string, s *leafState, latency tier.Millis) float64 {
	opened := s.even.end(now - latency)
	network, opening := b.roundTrip(s.leaf), 0.0
	if opened {
		opening = network
		network *= 2
	} else {
		b.learnRoundTrip(s.leaf, float64(latency))
	}
	service := max(1, float64(latency)-network)
	r := b.references[class]
	r.replies++
	limit := service
	if r.replies > 1 {
		limit = maxReferenceFactor * r.serviceMs
	}
	r.serviceMs += max(minReferenceWeight, 1/float64(r.replies)) * (min(service, limit) - r.serviceMs)
	b.references[class] = r

	ratio := service / r.serviceMs
	told := s.load.told && s.load.at == now
	if told {
		ratio = s.load.load.Percent() / percent
	}
	s.even.replies++
	weight := max(minFactorWeight, 1/float64(1+s.even.replies))
	if told {
		weight = max(weight, toldFactorWeight)
	}
	s.even.factor += weight * (min(max(ratio, 1/maxFactor), maxFactor) - s.even.factor)
	observed := service - s.even.factor*r.serviceMs
	if told {
		observed = (ratio - s.even.factor) * r.serviceMs // the queue is in the figures
	}
	b.countReply(now, now-latency, s, s.even.factor*r.serviceMs, observed)
	b.observeDelay(now, s, max(0, observed), r.serviceMs, false)
	return opening
}

const percent = 100.0

// observeDelay adds a latency beyond the usual one to a leaf's delay. sure says that it is no chance.
func (b *Balancer) observeDelay(now tier.Millis, s *leafState, observed, serviceMs float64, sure bool) {
	weight := chanceWeight
	slow := serviceMs > 0 && observed >= max(slowFactor*serviceMs, minSlowMs)
	if slow || sure || b.isSlow(now, s.leaf.ID()) {
		weight = slowWeight
	}
	b.noteSlow(now, s.leaf.ID(), slow)
	delay := decayed(s.even.delayMs, now-s.even.delayAt, excessHalfLifeMs)
	s.even.delayMs, s.even.delayAt = delay+weight*(observed-delay), now
}

// cancelledEvenly learns from a call without a reply: the time waited is a lower bound.
func (b *Balancer) cancelledEvenly(now tier.Millis, class string, s *leafState, waited tier.Millis) {
	opened := s.even.end(now - waited)
	expected := b.roundTrip(s.leaf) + b.serviceMs(class, s)
	if opened {
		expected += b.roundTrip(s.leaf)
	}
	if observed := float64(waited) - expected; observed > decayed(s.even.delayMs, now-s.even.delayAt, excessHalfLifeMs) {
		serviceMs := b.serviceMs(class, s)
		b.observeDelay(now, s, observed, serviceMs, serviceMs >= minSureServiceMs)
	}
}

// delay is how much later than its usual service time a call to the leaf is answered, as expected
// now, in milliseconds.
func (b *Balancer) delay(now tier.Millis, class string, leaf lister.Leaf) float64 {
	s, ok := b.leafs[leaf.ID()]
	network := b.roundTrip(leaf)
	if !ok || s.startTime != leaf.StartTime() {
		return 2 * network
	}
	service := b.serviceMs(class, s)
	delay := network + decayed(s.even.delayMs, now-s.even.delayAt, excessHalfLifeMs) + b.addCosts(now, s, leaf, 0, service, 0)
	if s.opensConnection(now) {
		delay += network
	}
	for _, call := range s.even.sends {
		delay = max(delay, float64(now-call.at)-overdueFactor*(service+2*network)-overdueSlackMs)
	}
	return delay + b.queueWait(now, s, service)
}

// queueWait is the expected wait for a slot, by what the leaf has told, which counts less the
// older it is, and by this VM's calls since.
func (b *Balancer) queueWait(now tier.Millis, s *leafState, serviceMs float64) float64 {
	if !s.load.told {
		return 0
	}
	slots := max(1, s.load.load.Slots())
	calls := decayed(float64(s.load.load.Running()+s.load.load.Waiting()), now-s.load.at, max(1, loadHalfLifeFactor*serviceMs))
	for _, call := range s.even.sends {
		if call.at >= s.load.at {
			calls++
		}
	}
	return max(0, calls+1-float64(slots)) / float64(slots) * serviceMs
}

// expectedEvenly is the expected latency of a call to the leaf.
func (b *Balancer) expectedEvenly(now tier.Millis, class string, leaf lister.Leaf) float64 {
	if b.references[class].replies == 0 {
		return max(b.baseLatency(class, leaf), b.delay(now, class, leaf))
	}
	factor := 1.0
	if s, ok := b.leafs[leaf.ID()]; ok && s.startTime == leaf.StartTime() {
		factor = s.even.factor
	}
	return b.delay(now, class, leaf) + factor*b.references[class].serviceMs
}

// drawEvenly draws one of the leafs. Until the next call of their service is sent, it draws the
// same one.
func (b *Balancer) drawEvenly(now tier.Millis, class string, list []lister.Leaf) (lister.Leaf, float64, bool) {
	if len(list) == 0 {
		return lister.Leaf{}, 0, false
	}
	delays, least := make([]float64, len(list)), math.Inf(1)
	for k, leaf := range list {
		delays[k] = b.delay(now, class, leaf)
		least = min(least, delays[k])
	}
	softness := min(max(minSoftnessMs, softnessFraction*b.references[class].serviceMs), maxSoftnessMs)
	total := 0.0
	weights := delays
	for k, leaf := range list {
		later := (delays[k] - least) / softness
		weights[k] = 0
		if later < delayCutOff {
			weights[k] = b.capacity(leaf) * math.Exp(-later)
		}
		total += weights[k]
	}
	v := b.serviceStateOf(list[0].Service())
	if !v.phased {
		v.phase, v.phased = b.random(), true
	}
	_, at := math.Modf(v.phase + goldenRatio*float64(v.draws))
	at *= total
	picked := list[0]
	for k, leaf := range list {
		if weights[k] == 0 {
			continue
		}
		picked = leaf
		if at -= weights[k]; at < 0 {
			break
		}
	}
	return picked, b.expectedEvenly(now, class, picked), true
}

// capacity is what a leaf can do, in slots of usual speed.
func (b *Balancer) capacity(leaf lister.Leaf) float64 {
	if s, ok := b.leafs[leaf.ID()]; ok && s.startTime == leaf.StartTime() {
		return float64(leaf.Slots()) / s.even.factor
	}
	return float64(leaf.Slots())
}
