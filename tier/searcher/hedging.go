package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// evenHedgeDelayFraction takes the place of hedgeDelayFraction with even load, while the leafs and
// the budget have room: a replica in another region needs most of the target time.
const evenHedgeDelayFraction = 0.15

// WithEvenLoad makes searches spread load evenly, so that a slow replica does not cost a
// shard: calls are hedged earlier, again if the budget has denied it, and connections to
// far replicas are opened before they are needed.
func WithEvenLoad() SchedulerOption { return func(sc *Scheduler) { sc.evenLoad = true } }

// Prepare asks for an open connection to a leaf that may be called next.
type Prepare struct{ Leaf lister.Leaf }

func (Prepare) action() {}

// prepareReplica asks for a connection to the leaf that a hedge of the part would call, if it
// would have to be opened first. Only owners of a service do so: they make most of its calls,
// and a leaf accepts few connections.
func (s *Search) prepareReplica(now tier.Millis, p *part, actions []Action) []Action {
	if !s.scheduler.evenLoad || len(p.tried) != 1 || s.scheduler.ownerCount(now, p.service) == 0 {
		return actions
	}
	leaf, _, found := s.pickLeaf(now, p, true)
	if !found || !s.scheduler.balancer.ShouldConnect(now, leaf) {
		return actions
	}
	return append(actions, Prepare{Leaf: leaf})
}

// hedge starts a second call while one is in flight.
func (s *Search) hedge(now tier.Millis, partIndex int, actions []Action) []Action {
	p := &s.parts[partIndex]
	if !s.mayHedge(now) {
		p.hedgeAt = now + hedgeRetryDelay
		return actions
	}
	if p.ranCalls+p.inFlight >= s.terms.maxAttempts || s.quarantined(now) {
		return actions
	}
	leaf, cost, found := s.scheduler.pickWithCapacity(now, s, p)
	if !found {
		p.hedgeDenied = "no-room"
		if now < s.terms.target {
			p.hedgeAt = now + hedgeRetryDelay
		}
		return actions
	}
	missesTarget := now+tier.Millis(cost) > s.terms.target
	if missesTarget && s.arrived >= s.terms.minimumParts && s.terms.target > now {
		p.hedgeDenied = "too-late"
		return actions // its reply would arrive after the answer was sent
	}
	if !s.scheduler.budgeter.Take(now, p.service) {
		p.hedgeDenied = "no-budget"
		if s.scheduler.evenLoad && !missesTarget {
			p.hedgeAt = now + hedgeRetryDelay
		}
		return actions
	}
	p.hedgeDenied = ""
	s.caution.hedged = s.caution.hedged || !s.answered()
	return s.startCall(now, partIndex, leaf, true, actions)
}

// hedgeDelay is how long to wait for a reply before hedging: well beyond the
// expected latency, but early enough for the hedge to be answered by the target.
func (s *Search) hedgeDelay(now tier.Millis, p *part, leaf lister.Leaf) tier.Millis {
	fraction := hedgeDelayFraction
	if s.scheduler.evenLoad && len(s.scheduler.queue[p.service]) == 0 && s.scheduler.budgeter.IsAmple(now, p.service) {
		fraction = evenHedgeDelayFraction
	}
	byTarget := fraction * float64(s.terms.target-now)
	byLatency := hedgeLatencyFactor*s.scheduler.balancer.BaseLatency(s.terms.class, leaf) + hedgeSlackMs
	wait := max(byTarget, byLatency)
	if _, cost, found := s.pickLeaf(now, p, true); found {
		wait = min(wait, float64(s.terms.target-now)-hedgeReserveFactor*cost)
	}
	return max(minHedgeDelay, tier.Millis(wait))
}
