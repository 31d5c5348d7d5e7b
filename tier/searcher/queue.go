package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// waiter is a part that waits for room at a leaf of its service.
type waiter struct {
	search *Search
	part   int
}

// queue keeps the parts that wait, by service.
type queue map[string][]waiter

// before orders waiters: those that can still make their aim first, then by
// rank, then by aim, so that searches that came first stay together over all
// services.
func (w waiter) before(o waiter, now tier.Millis) bool {
	late, otherLate := w.late(now), o.late(now)
	if late != otherLate {
		return otherLate
	}
	if w.search.terms.rank != o.search.terms.rank {
		return w.search.terms.rank < o.search.terms.rank
	}
	return w.search.terms.aim < o.search.terms.aim
}

// late reports whether the part would come after the aim even if it were sent
// now: to the leaf that is expected to answer first.
func (w waiter) late(now tier.Millis) bool {
	c := w.search.core
	p := &w.search.parts[w.part]
	_, cost, found := c.balancer.Pick(now, w.search.terms.class, c.lister.Leafs(p.service), nil)
	return !found || now+tier.Millis(cost) > w.search.terms.aim
}

// enqueue has a part wait for room.
func (c *Scheduler) enqueue(now tier.Millis, s *Search, i int) {
	p := &s.parts[i]
	if p.waiting {
		return
	}
	p.waiting = true
	// Room may come without the end of a call, as when a leaf joins.
	p.retryAt = now + lookAgain
	c.queue[p.service] = append(c.queue[p.service], waiter{s, i})
}

// dequeue takes a part out of its queue.
func (c *Scheduler) dequeue(s *Search, i int) {
	p := &s.parts[i]
	if !p.waiting {
		return
	}
	p.waiting = false
	list := c.queue[p.service]
	for k, w := range list {
		if w.search == s && w.part == i {
			list[k] = list[len(list)-1]
			c.queue[p.service] = list[:len(list)-1]
			break
		}
	}
	if len(c.queue[p.service]) == 0 {
		delete(c.queue, p.service)
	}
}

// fill gives room at the leafs of a service to the parts that wait for it.
func (c *Scheduler) fill(now tier.Millis, service string) {
	for len(c.queue[service]) > 0 {
		list := c.queue[service]
		best := 0
		for k := 1; k < len(list); k++ {
			if list[k].before(list[best], now) {
				best = k
			}
		}
		w := list[best]
		f, _, found := c.roomFor(now, w.search, &w.search.parts[w.part])
		if !found {
			return
		}
		c.dequeue(w.search, w.part)
		p := &w.search.parts[w.part]
		if p.asked && !c.budgeter.Take(service) {
			p.retryAt = now + retryPause
			continue
		}
		p.retryAt = never
		w.search.pending = w.search.call(now, w.part, f, p.asked, w.search.pending)
		if !w.search.woken {
			w.search.woken = true
			c.woken = append(c.woken, w.search)
		}
	}
}

// roomFor picks a leaf with room for a part: one that it has not been sent to,
// or any if there is no such leaf and no call is out.
func (c *Scheduler) roomFor(now tier.Millis, s *Search, p *part) (lister.Leaf, float64, bool) {
	owner := c.owners(now, p.service) > 0
	again := p.open == 0 && !s.hasFresh(now, p)
	return c.balancer.Pick(now, s.terms.class, c.lister.Leafs(p.service), func(f lister.Leaf) bool {
		return c.balancer.HasCapacity(now, f, owner) && (again || !contains(p.tried, f.ID()))
	})
}

// QueueLength is the number of parts that wait for room.
func (c *Scheduler) QueueLength() int {
	n := 0
	for _, list := range c.queue {
		n += len(list)
	}
	return n
}

// TakeWoken returns the searches that have got actions while another one
// stepped. Their programs have to step them.
func (c *Scheduler) TakeWoken() []*Search {
	w := c.woken
	c.woken = nil
	for _, s := range w {
		s.woken = false
	}
	return w
}

// SetUserData keeps what the program needs to find its way from a woken search.
func (s *Search) SetUserData(program any) { s.program = program }

// UserData is what Attach was given.
func (s *Search) UserData() any { return s.program }

// Resume returns the actions of a woken search.
func (s *Search) Resume(now tier.Millis) []Action {
	if s.done {
		return nil
	}
	return s.settle(now, s.takePending(nil))
}

func (s *Search) takePending(actions []Action) []Action {
	actions = append(actions, s.pending...)
	s.pending = nil
	return actions
}
