package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// queuedPart is a part that waits for a leaf with capacity.
type queuedPart struct {
	search *Search
	part   int
}

// queue holds the queued parts by service.
type queue map[string][]queuedPart

// precedes orders queued parts: first those that can still be answered by their
// target, then by rank, then by the start tag, which follows the service that their
// organisations have had, then by target. All parts of a search have the same target, so
// they take the same place in the queues of all services, and older searches complete first.
func (p place) precedes(other place) bool {
	if p.missesTarget != other.missesTarget {
		return other.missesTarget
	}
	if p.rank != other.rank {
		return p.rank < other.rank
	}
	if p.startTag != other.startTag {
		return p.startTag < other.startTag
	}
	return p.target < other.target
}

// soonestReply is when the reply would arrive if the call were sent now, to the leaf with
// the least expected cost. The second result is false if there is no usable leaf.
func (q queuedPart) soonestReply(now tier.Millis) (tier.Millis, bool) {
	scheduler := q.search.scheduler
	p := &q.search.parts[q.part]
	_, cost, found := scheduler.balancer.Pick(now, q.search.terms.class, scheduler.usableLeafs(now, p.service, q.search.terms.regions), nil)
	return now + tier.Millis(cost), found
}

// enqueue queues a part until a leaf of its service has capacity.
func (sc *Scheduler) enqueue(now tier.Millis, s *Search, partIndex int) {
	p := &s.parts[partIndex]
	if p.queued {
		return
	}
	p.queued = true
	// Capacity may also appear without the end of a call, as when a leaf registers.
	p.retryAt = now + queuePollInterval
	p.queuedAt = now
	s.beginFairShare(now)
	sc.queue[p.service] = append(sc.queue[p.service], queuedPart{s, partIndex})
}

// dequeue removes a part from the queue of its service.
func (sc *Scheduler) dequeue(now tier.Millis, s *Search, partIndex int) {
	p := &s.parts[partIndex]
	if !p.queued {
		return
	}
	p.queued = false
	s.countRoom(now, p)
	sc.stopsWaiting(now, s, partIndex)
	list := sc.queue[p.service]
	for k, q := range list {
		if q.search == s && q.part == partIndex {
			list[k] = list[len(list)-1]
			sc.queue[p.service] = list[:len(list)-1]
			break
		}
	}
	if len(sc.queue[p.service]) == 0 {
		delete(sc.queue, p.service)
		delete(sc.drains, p.service)
	}
}

// dispatchQueued sends queued parts of a service while its leafs have capacity and this VM
// reaches leafs.
func (sc *Scheduler) dispatchQueued(now tier.Millis, service string) {
	var blocked []tier.RegionSet // sets of regions without a leaf with capacity
	for len(sc.queue[service]) > 0 && !sc.balancer.LinksLost() && !sc.closed {
		if sc.quarantiner.Empty() && len(sc.lister.Leafs(service)) > 0 && !sc.anyCapacity(now, service) {
			return // without a pass over a long queue, as each of its parts polls
		}
		q, ok := sc.first(now, service, func(q queuedPart) bool { return !q.isBlocked(blocked) })
		if !ok {
			return
		}
		if q.search.quarantined(now) {
			sc.dequeue(now, q.search, q.part)
			q.search.markLost(&q.search.parts[q.part], quarantinedReason)
			sc.wake(q.search)
			continue
		}
		leaf, _, found := sc.pickWithCapacity(now, q.search, &q.search.parts[q.part])
		switch {
		case found:
		case sc.dropUnplaced(now, q):
			continue
		case q.search.terms.regions.Restricted():
			blocked = append(blocked, q.search.terms.regions)
			continue
		default:
			if q, leaf, found = sc.firstWithLeaf(now, service); !found {
				return
			}
		}
		sc.drained(now, service)
		sc.dequeue(now, q.search, q.part)
		p := &q.search.parts[q.part]
		if p.nextIsExtra && !sc.budgeter.Take(now, service) {
			p.retryAt = now + retryDelay
			sc.wake(q.search)
			continue
		}
		p.retryAt = never
		q.search.pending = q.search.startCall(now, q.part, leaf, p.nextIsExtra, q.search.pending)
		sc.wake(q.search)
	}
}

// wake adds a search to the list of TakeWoken.
func (sc *Scheduler) wake(s *Search) {
	if !s.woken {
		s.woken = true
		sc.woken = append(sc.woken, s)
	}
}

// pickWithCapacity picks a leaf with capacity for a part: one that the part has not
// been sent to, or any leaf if there is no such one and no call is in flight.
func (sc *Scheduler) pickWithCapacity(now tier.Millis, s *Search, p *part) (lister.Leaf, float64, bool) {
	owner := sc.ownerCount(now, p.service) > 0
	allowTried := p.inFlight == 0 && !s.hasUntriedLeaf(now, p)
	return sc.balancer.Pick(now, s.terms.class, sc.usableLeafs(now, p.service, s.terms.regions), func(leaf lister.Leaf) bool {
		return sc.balancer.HasCapacity(now, leaf, owner) && (allowTried || !contains(p.tried, leaf.ID()))
	})
}

// QueueLength is the number of queued parts.
func (sc *Scheduler) QueueLength() int {
	n := 0
	for _, list := range sc.queue {
		n += len(list)
	}
	return n
}

// TakeWoken returns the searches that have got actions while another one was
// stepped. The caller has to call Resume for each.
func (sc *Scheduler) TakeWoken() []*Search {
	woken := sc.woken
	sc.woken = nil
	for _, s := range woken {
		s.woken = false
	}
	return woken
}

// SetUserData stores a value by which the caller recognises the search when it is
// woken.
func (s *Search) SetUserData(data any) { s.userData = data }

// UserData is the value of SetUserData.
func (s *Search) UserData() any { return s.userData }

// Resume returns the pending actions of a woken search.
func (s *Search) Resume(now tier.Millis) []Action {
	if s.done {
		return nil
	}
	actions := s.takePending(nil)
	if s.scheduler.balancer.LinksLost() {
		actions = s.handOver(now, s.overdue(now), actions)
	}
	return s.finishIfDone(now, s.takePending(actions))
}

func (s *Search) takePending(actions []Action) []Action {
	actions = append(actions, s.pending...)
	s.pending = nil
	return actions
}
