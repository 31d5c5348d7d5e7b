package searcher

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/apportioner"
	"cicadagrade.example/tier/lister"
)

// fairKey identifies a resource that organisations share, as far as requests of one rank use it:
// the leafs of a service, or all shards that this VM queries.
type fairKey struct {
	service string // empty for shards
	rank    int
}

// fairShare is the state of a search in the fair queueing.
type fairShare struct {
	begun    bool
	shares   *apportioner.Apportioner // nil if no organisation uses the resource
	startTag float64
	parts    int  // that this VM queries itself
	waiting  bool // no call was sent yet
}

// beginFairShare gives a search its start tag, when its first part is sent or queued on this VM.
// The parts of a sweep have the same one, so that they have the same place in the queues of all
// shards: a sweep is of use only with most of them.
func (s *Search) beginFairShare(now tier.Millis) {
	if s.fair.begun {
		return
	}
	s.fair.begun = true
	key := fairKey{rank: s.terms.rank}
	if len(s.parts) == 1 && !s.scheduler.isShard(s.parts[0].service) {
		key.service = s.parts[0].service
	}
	shares, ok := s.scheduler.shares[key]
	if !ok {
		if s.terms.organisation == "" {
			return
		}
		shares = apportioner.New()
		s.scheduler.shares[key] = shares
	}
	cost := 0.0
	if leafs := s.scheduler.lister.Leafs(s.parts[0].service); len(leafs) > 0 {
		cost = s.scheduler.balancer.BaseLatency(s.terms.class, leafs[0])
	}
	for i := range s.parts {
		if s.parts[i].shareIndex == noShare {
			s.fair.parts++
		}
	}
	s.fair.shares, s.fair.waiting = shares, true
	s.fair.startTag = shares.Begin(now, s.terms.target, s.terms.organisation, s.terms.weight, cost)
}

// chargeFairShare accounts a call to the organisation of its request. Its cost is the usual
// latency of the request's class in the leaf's data centre: a measured one would charge an
// organisation for the pauses of a leaf. The calls of a sweep cost together as much as one of
// them, because each shard serves one.
func (s *Search) chargeFairShare(now tier.Millis, leaf lister.Leaf) {
	s.beginFairShare(now)
	if s.fair.shares == nil {
		return
	}
	s.endFairShare()
	cost := s.scheduler.balancer.BaseLatency(s.terms.class, leaf) / float64(max(s.fair.parts, 1))
	s.fair.shares.Served(now, s.terms.organisation, s.terms.weight, cost)
}

// endFairShare records that the search does not wait for its first call any more.
func (s *Search) endFairShare() {
	if s.fair.waiting {
		s.fair.waiting = false
		s.fair.shares.Ended(s.terms.target, s.terms.organisation)
	}
}

// Wait is how long parts have waited in the queue.
type Wait struct {
	parts int
	total tier.Millis
}

// Parts is the number of parts.
func (w Wait) Parts() int { return w.parts }

// Total is the sum of the times that they waited.
func (w Wait) Total() tier.Millis { return w.total }

// TakeWaits returns the waits by organisation since the last time.
func (sc *Scheduler) TakeWaits() map[string]Wait {
	taken := sc.waits
	sc.waits = map[string]Wait{}
	return taken
}

// maxWaits bounds the organisations of TakeWaits, in case nobody takes them.
const maxWaits = 1024

// stopsWaiting records that a part has left the queue, served or not.
func (sc *Scheduler) stopsWaiting(now tier.Millis, s *Search, partIndex int) {
	if s.fair.shares == nil {
		return
	}
	wait, known := sc.waits[s.terms.organisation]
	if known || len(sc.waits) < maxWaits {
		sc.waits[s.terms.organisation] = Wait{parts: wait.parts + 1, total: wait.total + now - s.parts[partIndex].queuedAt}
	}
}

// place is what decides on the order of a queued part.
type place struct {
	missesTarget bool
	rank         int
	startTag     float64
	target       tier.Millis
}

// first returns the first queued part of a service, among those that usable accepts (nil
// accepts all): of the organisation that is next, the one with the earliest target. It takes one
// pass, and computes the expected latency once for each class.
func (sc *Scheduler) first(now tier.Millis, service string, usable func(queuedPart) bool) (queuedPart, bool) {
	type reply struct {
		at    tier.Millis
		found bool
	}
	replies := map[string]reply{}
	heads := map[string]*head{} // by organisation
	var best *head
	for _, q := range sc.queue[service] {
		if usable != nil && !usable(q) {
			continue
		}
		terms := &q.search.terms
		soonest, known := replies[terms.class]
		if !known || terms.regions.Restricted() {
			soonest.at, soonest.found = q.soonestReply(now)
			if !terms.regions.Restricted() {
				replies[terms.class] = soonest
			}
		}
		candidate := place{missesTarget: !soonest.found || soonest.at > terms.target, rank: terms.rank, startTag: q.search.fair.startTag, target: terms.target}
		h, ok := heads[terms.organisation]
		if !ok {
			h = &head{part: q, place: candidate}
			heads[terms.organisation] = h
		} else {
			h.add(q, candidate)
		}
		if best == nil || h.place.precedes(best.place) {
			best = h
		}
	}
	if best == nil {
		return queuedPart{}, false
	}
	return best.part, true
}

// head is what an organisation has queued first: a part, and its place. The place has the least
// start tag of all parts that are in time as it is and have its rank.
type head struct {
	part  queuedPart
	place place
}

// add considers a further part of the organisation.
func (h *head) add(q queuedPart, p place) {
	if p.missesTarget != h.place.missesTarget || p.rank != h.place.rank {
		if p.precedes(h.place) {
			h.part, h.place = q, p
		}
		return
	}
	if p.target < h.place.target {
		h.part, h.place.target = q, p.target
	}
	h.place.startTag = min(h.place.startTag, p.startTag)
}

// anyCapacity reports whether a leaf of a service has capacity.
func (sc *Scheduler) anyCapacity(now tier.Millis, service string) bool {
	owner := sc.ownerCount(now, service) > 0
	return slices.ContainsFunc(sc.lister.Leafs(service), func(leaf lister.Leaf) bool { return sc.balancer.HasCapacity(now, leaf, owner) })
}

// firstWithLeaf returns the first queued part of a service that one of the leafs with capacity
// can take, if the first of all has tried them or may not use them. Only services used by
// organisations look further than the first part.
func (sc *Scheduler) firstWithLeaf(now tier.Millis, service string) (queuedPart, lister.Leaf, bool) {
	shared := false
	for _, q := range sc.queue[service] {
		shared = shared || q.search.terms.organisation != ""
	}
	if !shared || !sc.anyCapacity(now, service) {
		return queuedPart{}, lister.Leaf{}, false
	}
	q, found := sc.first(now, service, func(q queuedPart) bool {
		_, _, usable := sc.pickWithCapacity(now, q.search, &q.search.parts[q.part])
		return usable && !q.search.quarantined(now)
	})
	if !found {
		return queuedPart{}, lister.Leaf{}, false
	}
	leaf, _, found := sc.pickWithCapacity(now, q.search, &q.search.parts[q.part])
	return q, leaf, found
}
